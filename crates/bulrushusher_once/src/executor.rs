//! What an agent knows of the keys that ran, or were barred, at its endpoint.

use std::collections::{HashMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::RequestKey;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{Ballot, KeyAge, RecordCoverage, key_time};

/// Bounds of an executor's table.
#[derive(Clone, Copy, Debug)]
pub struct ExecutorConfig {
    /// Records held at once; one more is refused.
    pub max_records: usize,
    /// Bytes of finished answers held at once; the oldest answers go first.
    pub max_answer_bytes: usize,
    /// When this agent vouches for a key that it has no record of.
    pub coverage: RecordCoverage,
}

/// How far a key that ran here has come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It runs now.
    #[display("running")]
    Running,
    /// It finished, and the answer is held.
    #[display("finished")]
    Finished,
    /// It finished, and the answer was dropped to keep a bound.
    #[display("finished, answer no longer kept")]
    AnswerGone,
    /// It began, and was stopped because nobody wanted the answer any more.
    #[display("cancelled")]
    Cancelled,
    /// It began, and the engine lost it.
    #[display("failed")]
    Failed,
}

/// The answer to an order to run a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// Run it now; the key is recorded as running.
    Run,
    /// It ran or runs here already; attach to it or replay it.
    AlreadyRan(RunStatus),
    /// A higher or different ballot was promised; not run here.
    Barred(Ballot),
    /// This agent cannot vouch for the key; not run here by this order.
    InDoubt,
    /// The key is older than the retry horizon; not run by this order.
    TooOld,
    /// The table is full; not run.
    TableFull,
}

/// The answer to a bar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BarReply {
    /// Never ran here, and will not at a lower ballot.
    Clean {
        /// The lower ballot that was promised before, if any: its owner may have run the key
        /// elsewhere.
        earlier: Option<Ballot>,
    },
    /// Ran or runs here.
    Ran(RunStatus),
    /// Will not run at a lower ballot from now on, but may have run before this agent's memory.
    CannotSay,
    /// A higher ballot is held.
    Higher(Ballot),
    /// The table is full; nothing was recorded.
    TableFull,
}

#[derive(Clone, Debug)]
enum State {
    Barred { ballot: Ballot, vouched: bool },
    Ran { ran: RunStatus, bytes: usize },
}

#[derive(Clone, Debug)]
struct Record {
    state: State,
    made: Millis,
}

/// Which keys ran at this endpoint, and which ballots it has promised to refuse.
///
/// ```
/// use bulrushusher_once::{Ballot, ExecutorConfig, ExecutorTable, OrderReply, RunStatus, RecordCoverage};
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

    /// This endpoint joined the list of its service: keys older than this may have run before, at
    /// endpoints that were barred without this one.
    pub fn joined(&mut self, now: Millis) {
        self.cfg.coverage.since = self.cfg.coverage.since.max(now);
    }

    /// An order to run `key` came. On [`OrderReply::Run`] the key counts as running.
    pub fn order(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> OrderReply {
        self.drop_old(now);
        match self.records.get(key).map(|record| &record.state) {
            Some(State::Ran { ran, .. }) => OrderReply::AlreadyRan(*ran),
            Some(State::Barred { ballot: held, .. }) if held == ballot => self.run(key, now),
            Some(State::Barred { ballot: held, .. }) => OrderReply::Barred(held.clone()),
            None => self.order_unseen(key, ballot, now),
        }
    }

    /// Whether an order for `key` at [`Ballot::Home`] would be refused for want of memory.
    pub fn is_in_doubt(&self, key: &RequestKey, now: Millis) -> bool {
        let unseen = !self.records.contains_key(key);
        unseen && self.cfg.coverage.key_age(key_time(key), now) == KeyAge::InDoubt
    }

    /// What is known of `key`, without changing anything; `None` when it never ran here.
    pub fn run_status(&self, key: &RequestKey) -> Option<RunStatus> {
        match self.records.get(key)?.state {
            State::Ran { ran, .. } => Some(ran),
            State::Barred { .. } => None,
        }
    }

    /// Promises to refuse orders for `key` below `ballot`, and tells what is known.
    pub fn bar(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> BarReply {
        self.drop_old(now);
        match self.records.get_mut(key).map(|record| &mut record.state) {
            Some(State::Ran { ran, .. }) => BarReply::Ran(*ran),
            Some(State::Barred { ballot: held, .. }) if *held > *ballot => {
                BarReply::Higher(held.clone())
            }
            Some(State::Barred { ballot: held, vouched }) => {
                let before = std::mem::replace(held, ballot.clone());
                let earlier = (before != *ballot).then_some(before);
                if *vouched { BarReply::Clean { earlier } } else { BarReply::CannotSay }
            }
            None => self.bar_unseen(key, ballot, now),
        }
    }

    /// A running key finished with an answer of `bytes`. The oldest answers are dropped to keep
    /// the bound; see [`ExecutorTable::take_dropped`].
    pub fn finish(&mut self, key: &RequestKey, bytes: usize) {
        if !self.set_ran(key, RunStatus::Finished, bytes) {
            return;
        }
        self.answers.push_back(key.clone());
        self.answer_bytes += bytes;
        while self.answer_bytes > self.cfg.max_answer_bytes {
            let Some(oldest) = self.answers.pop_front() else { return };
            self.forget_answer(&oldest);
            self.dropped.push(oldest);
        }
    }

    /// Keys whose answers need not be held any more, since the last call.
    pub fn take_dropped(&mut self) -> Vec<RequestKey> {
        std::mem::take(&mut self.dropped)
    }

    /// A key recorded as running certainly did not begin: it may be ordered again. The ballot it
    /// was ordered at stays promised.
    pub fn undo_start(&mut self, key: &RequestKey, ballot: &Ballot) {
        let Some(record) = self.records.get_mut(key) else { return };
        if !matches!(record.state, State::Ran { ran: RunStatus::Running, .. }) {
            return;
        }
        if *ballot == Ballot::Home {
            self.records.remove(key);
        } else {
            record.state = State::Barred { ballot: ballot.clone(), vouched: true };
        }
    }

    /// A running key ended without an answer: [`RunStatus::Cancelled`] or [`RunStatus::Failed`].
    pub fn end(&mut self, key: &RequestKey, ran: RunStatus) {
        self.set_ran(key, ran, 0);
    }

    /// Records held now.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Bytes of answers held now.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    fn order_unseen(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> OrderReply {
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

    fn bar_unseen(&mut self, key: &RequestKey, ballot: &Ballot, now: Millis) -> BarReply {
        if self.is_full() {
            return BarReply::TableFull;
        }
        let vouched = self.cfg.coverage.key_age(key_time(key), now) == KeyAge::Covered;
        self.insert(key, State::Barred { ballot: ballot.clone(), vouched }, now);
        if vouched { BarReply::Clean { earlier: None } } else { BarReply::CannotSay }
    }

    fn run(&mut self, key: &RequestKey, now: Millis) -> OrderReply {
        self.insert(key, State::Ran { ran: RunStatus::Running, bytes: 0 }, now);
        OrderReply::Run
    }

    fn insert(&mut self, key: &RequestKey, state: State, now: Millis) {
        self.records.insert(key.clone(), Record { state, made: now });
        self.by_age.push_back((now, key.clone()));
    }

    fn is_full(&self) -> bool {
        self.records.len() >= self.cfg.max_records
    }

    fn set_ran(&mut self, key: &RequestKey, next: RunStatus, size: usize) -> bool {
        match self.records.get_mut(key).map(|record| &mut record.state) {
            Some(State::Ran { ran, bytes }) if *ran == RunStatus::Running => {
                *ran = next;
                *bytes = size;
                true
            }
            Some(State::Ran { .. } | State::Barred { .. }) | None => false,
        }
    }

    fn forget_answer(&mut self, key: &RequestKey) {
        let Some(record) = self.records.get_mut(key) else { return };
        if let State::Ran { ran, bytes } = &mut record.state
            && *ran == RunStatus::Finished
        {
            self.answer_bytes = self.answer_bytes.saturating_sub(*bytes);
            *ran = RunStatus::AnswerGone;
            *bytes = 0;
        }
    }

    /// Drops records past their life. A running key is kept however old it is.
    fn drop_old(&mut self, now: Millis) {
        let life = self.cfg.coverage.retention();
        while let Some((made, key)) = self.by_age.front() {
            if now.since(*made) <= life {
                return;
            }
            let (made, key) = (*made, key.clone());
            self.by_age.pop_front();
            self.drop_record(&key, made, now);
        }
    }

    fn drop_record(&mut self, key: &RequestKey, made: Millis, now: Millis) {
        let Some(record) = self.records.get(key) else { return };
        if record.made != made {
            return;
        }
        if matches!(record.state, State::Ran { ran: RunStatus::Running, .. }) {
            self.insert_again(key, now);
            return;
        }
        self.forget_answer(key);
        self.records.remove(key);
        self.answers.retain(|held| held != key);
        self.dropped.push(key.clone());
    }

    fn insert_again(&mut self, key: &RequestKey, now: Millis) {
        if let Some(record) = self.records.get_mut(key) {
            record.made = now;
            self.by_age.push_back((now, key.clone()));
        }
    }
}
