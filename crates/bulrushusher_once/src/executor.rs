//! The executor table of an agent: keys that ran at its endpoint, and keys that were barred there,
//! that is, are refused at lower ballots.

use std::collections::{HashMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::RequestKey;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Ballot, KeyAge, RecordCoverage, key_time};

/// Limits of an executor table.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorConfig {
    /// Maximum number of records; further orders and requests to bar are refused for new keys.
    pub max_records: usize,
    /// Maximum total size of retained finished answers, in bytes; the oldest are dropped first.
    pub max_answer_bytes: usize,
    /// The period that the records cover: a key created within it that has no record was never
    /// seen at this endpoint.
    pub coverage: RecordCoverage,
}

/// The status of a run at this endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// The run is in progress.
    #[display("running")]
    Running,
    /// The run finished, and its answer is retained.
    #[display("finished")]
    Finished,
    /// The run finished, and its answer was dropped to stay within the size limit.
    #[display("finished, answer no longer kept")]
    AnswerGone,
    /// The run started, and was cancelled because no caller was waiting for the answer any more.
    #[display("cancelled")]
    Cancelled,
    /// The run started, and the engine lost it.
    #[display("failed")]
    Failed,
}

/// The reply to an order, that is, an entry's request that this agent run a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Run it now; the key is recorded as running.
    Run,
    /// The key ran or is running here already; attach to the run or replay its answer.
    AlreadyRan(RunStatus),
    /// Another ballot was promised for the key, so that this order was refused; not run by it.
    Barred(Ballot),
    /// The key may be older than this agent's records; not run by this order.
    InDoubt,
    /// The key is older than the retry horizon; not run by this order.
    TooOld,
    /// The table is full; not run.
    TableFull,
}

/// The executor table's part of the reply to a request to bar a key, that is, to refuse it at lower
/// ballots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BarReply {
    /// The key never ran here, and will not run here at a lower ballot.
    Clean {
        /// The lower ballot that was promised before, if any. Its owner may have run the key
        /// elsewhere.
        earlier: Option<Ballot>,
    },
    /// The key ran or is running here.
    Ran(RunStatus),
    /// The key will not run here at a lower ballot, but may have run before this agent's records
    /// began.
    CannotSay,
    /// A higher ballot was promised before.
    Higher(Ballot),
    /// The table is full, so that the promise to refuse lower ballots was not recorded.
    TableFull,
}

#[derive(Clone, Debug)]
enum State {
    /// Orders at lower ballots are refused. `covered` is true if, when the key was barred, the
    /// absence of a record proved that it had not run here.
    Barred {
        ballot: Ballot,
        covered: bool,
    },
    Ran {
        status: RunStatus,
        bytes: usize,
    },
}

#[derive(Clone, Debug)]
struct Record {
    state: State,
    made: Millis,
}

/// Records which keys ran at this endpoint, and below which ballot it refuses a key.
///
/// ```
/// use bulrushusher_once::{
///     Ballot, ExecutorConfig, ExecutorTable, OrderReply, RecordCoverage, RunStatus,
/// };
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::RequestKey;
/// let coverage = RecordCoverage { since: Millis(0), skew: Millis(10), horizon: Millis(1_000) };
/// let cfg = ExecutorConfig { max_records: 10, max_answer_bytes: 1_000, coverage };
/// let mut table = ExecutorTable::new(cfg);
/// let key = RequestKey::try_from("order-7").unwrap();
/// assert_eq!(table.order(&key, &Ballot::Home, Millis(5_000)), OrderReply::Run);
/// let again = table.order(&key, &Ballot::Home, Millis(5_001));
/// assert_eq!(again, OrderReply::AlreadyRan(RunStatus::Running));
/// ```
#[derive(Debug)]
pub struct ExecutorTable {
    cfg: ExecutorConfig,
    records: HashMap<RequestKey, Record>,
    by_age: VecDeque<(Millis, RequestKey)>,
    answers: VecDeque<RequestKey>,
    answer_bytes: usize,
    dropped: Vec<RequestKey>,
}

impl ExecutorTable {
    /// An empty table.
    pub fn new(cfg: ExecutorConfig) -> ExecutorTable {
        ExecutorTable {
            cfg,
            records: HashMap::new(),
            by_age: VecDeque::new(),
            answers: VecDeque::new(),
            answer_bytes: 0,
            dropped: Vec::new(),
        }
    }

    /// Records that this endpoint joined the list of its service. Keys older than `now` are in
    /// doubt from then on: an entry may have barred them at the other agents only, and have run
    /// them elsewhere.
    pub fn joined(&mut self, now: Millis) {
        self.cfg.coverage.since = self.cfg.coverage.since.max(now);
    }

    /// Handles an order to run `key`. On [`OrderReply::Run`] the key is recorded as running.
    pub fn order(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> OrderReply {
        self.remove_expired(now);
        match self.records.get(key).map(|record| &record.state) {
            Some(State::Ran { status, .. }) => OrderReply::AlreadyRan(*status),
            Some(State::Barred { ballot: held, .. }) if held == ballot => self.run(key, now),
            Some(State::Barred { ballot: held, .. }) => OrderReply::Barred(held.clone()),
            None => self.order_new_key(key, ballot, now),
        }
    }

    /// Whether an order for `key` at [`Ballot::Home`] would be refused because the key may be older
    /// than this agent's records.
    pub fn is_in_doubt(&self, key: &RequestKey, now: Millis) -> bool {
        let is_new = !self.records.contains_key(key);
        is_new && self.cfg.coverage.key_age(key_time(key), now) == KeyAge::InDoubt
    }

    /// The status of the run of `key`; `None` if it has no run on record. Changes nothing.
    pub fn run_status(&self, key: &RequestKey) -> Option<RunStatus> {
        match self.records.get(key)?.state {
            State::Ran { status, .. } => Some(status),
            State::Barred { .. } => None,
        }
    }

    /// Promises to refuse orders for `key` below `ballot`, and reports what is on record.
    pub fn bar(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> BarReply {
        self.remove_expired(now);
        match self.records.get_mut(key).map(|record| &mut record.state) {
            Some(State::Ran { status, .. }) => BarReply::Ran(*status),
            Some(State::Barred { ballot: held, .. }) if *held > *ballot => {
                BarReply::Higher(held.clone())
            }
            Some(State::Barred { ballot: held, covered }) => {
                let before = std::mem::replace(held, ballot.clone());
                let earlier = (before != *ballot).then_some(before);
                if *covered { BarReply::Clean { earlier } } else { BarReply::CannotSay }
            }
            None => self.bar_new_key(key, ballot, now),
        }
    }

    /// Records that a running key finished with an answer of `bytes`. The oldest answers are
    /// dropped to stay within the size limit; see [`ExecutorTable::take_dropped`].
    pub fn finish(&mut self, key: &RequestKey, bytes: usize) {
        if !self.set_status(key, RunStatus::Finished, bytes) {
            return;
        }
        self.answers.push_back(key.clone());
        self.answer_bytes += bytes;
        while self.answer_bytes > self.cfg.max_answer_bytes {
            let Some(oldest) = self.answers.pop_front() else { return };
            self.drop_answer(&oldest);
            self.dropped.push(oldest);
        }
    }

    /// Keys whose answers were dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<RequestKey> {
        std::mem::take(&mut self.dropped)
    }

    /// Reverts the start of a key recorded as running whose run certainly did not begin: it may be
    /// ordered again. The ballot of the order stays promised.
    pub fn undo_start(&mut self, key: &RequestKey, ballot: &Ballot) {
        let Some(record) = self.records.get_mut(key) else { return };
        if !matches!(record.state, State::Ran { status: RunStatus::Running, .. }) {
            return;
        }
        if *ballot == Ballot::Home {
            self.records.remove(key);
        } else {
            record.state = State::Barred { ballot: ballot.clone(), covered: true };
        }
    }

    /// Records that a running key ended without an answer, by [`RunStatus::Cancelled`] or
    /// [`RunStatus::Failed`].
    pub fn end(&mut self, key: &RequestKey, status: RunStatus) {
        self.set_status(key, status, 0);
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Total size of the retained answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn order_new_key(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> OrderReply {
        if *ballot != Ballot::Home {
            return OrderReply::InDoubt;
        }
        match self.cfg.coverage.key_age(key_time(key), now) {
            KeyAge::Covered if self.is_full() => OrderReply::TableFull,
            KeyAge::Covered => self.run(key, now),
            KeyAge::InDoubt => OrderReply::InDoubt,
            KeyAge::TooOld => OrderReply::TooOld,
        }
    }

    fn bar_new_key(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> BarReply {
        if self.is_full() {
            return BarReply::TableFull;
        }
        let covered = self.cfg.coverage.key_age(key_time(key), now) == KeyAge::Covered;
        self.insert(key, State::Barred { ballot: ballot.clone(), covered }, now);
        if covered { BarReply::Clean { earlier: None } } else { BarReply::CannotSay }
    }

    fn run(&mut self, key: &RequestKey, now: Millis) -> OrderReply {
        self.insert(key, State::Ran { status: RunStatus::Running, bytes: 0 }, now);
        OrderReply::Run
    }

    fn insert(&mut self, key: &RequestKey, state: State, now: Millis) {
        self.records.insert(key.clone(), Record { state, made: now });
        self.by_age.push_back((now, key.clone()));
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.cfg.max_records
    }

    fn set_status(&mut self, key: &RequestKey, next: RunStatus, size: usize) -> bool {
        match self.records.get_mut(key).map(|record| &mut record.state) {
            Some(State::Ran { status, bytes }) if *status == RunStatus::Running => {
                *status = next;
                *bytes = size;
                true
            }
            Some(State::Ran { .. } | State::Barred { .. }) | None => false,
        }
    }

    fn drop_answer(&mut self, key: &RequestKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let State::Ran { status, bytes } = &mut record.state
            && *status == RunStatus::Finished
        {
            self.answer_bytes = self.answer_bytes.saturating_sub(*bytes);
            *status = RunStatus::AnswerGone;
            *bytes = 0;
        }
    }

    /// Removes expired records. The record of a running key is kept whatever its age.
    fn remove_expired(&mut self, now: Millis) {
        let retention = self.cfg.coverage.retention();
        while let Some((made, key)) = self.by_age.front() {
            if now.since(*made) <= retention {
                return;
            }
            let (made, key) = (*made, key.clone());
            self.by_age.pop_front();
            self.remove_record(&key, made, now);
        }
    }

    fn remove_record(&mut self, key: &RequestKey, made: Millis, now: Millis) {
        let Some(record) = self.records.get(key) else { return };
        if record.made != made {
            return;
        }
        if matches!(record.state, State::Ran { status: RunStatus::Running, .. }) {
            self.renew_record(key, now);
            return;
        }
        self.drop_answer(key);
        self.records.remove(key);
        self.answers.retain(|retained| retained != key);
        self.dropped.push(key.clone());
    }

    fn renew_record(&mut self, key: &RequestKey, now: Millis) {
        if let Some(record) = self.records.get_mut(key) {
            record.made = now;
            self.by_age.push_back((now, key.clone()));
        }
    }
}
