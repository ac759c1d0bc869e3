//! Everything an agent remembers of keys: as their executor, as their home, and of the list.

use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, RequestKey};

use crate::{
    Ballot, BarReply, BarResponse, ClaimReply, ExecutorConfig, ExecutorTable, HomeBarReply,
    HomeConfig, HomeTable, OrderReply, RecordCoverage, RunStatus, ServiceList, home_of,
};

/// Bounds of an agent's records.
#[derive(Clone, Copy, Debug)]
pub struct RecordsConfig {
    /// Keys on record, as executor and again as home.
    pub max_keys: usize,
    /// Bytes of finished answers held at once.
    pub max_answer_bytes: usize,
    /// When this agent vouches for a key that it has no record of.
    pub coverage: RecordCoverage,
}

/// An agent's records.
///
/// ```
/// use bulrushusher_once::{Ballot, KeyRecords, OrderReply, RecordsConfig, RecordCoverage};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::{EndpointName, RequestKey};
/// let name = |text| EndpointName::try_from(text).unwrap();
/// let coverage = RecordCoverage { since: Millis(0), skew: Millis(10), horizon: Millis(1_000) };
/// let cfg = RecordsConfig { max_keys: 10, max_answer_bytes: 1_000, coverage };
/// let mut records = KeyRecords::new(name("d1"), cfg);
/// let key = RequestKey::try_from("order-7").unwrap();
/// let now = Millis(5_000);
/// let shared = records.order(&key, true, &Ballot::Home, now);
/// assert_eq!(shared, OrderReply::InDoubt, "no list yet: it may be the key's home");
/// assert_eq!(records.order(&key, false, &Ballot::Home, now), OrderReply::Run);
/// ```
#[derive(Debug)]
pub struct KeyRecords {
    me: EndpointName,
    executor: ExecutorTable,
    home: HomeTable,
    executors: Vec<EndpointName>,
    heard_revision: u64,
}

impl KeyRecords {
    /// Empty records of the agent `me`.
    pub fn new(me: EndpointName, cfg: RecordsConfig) -> KeyRecords {
        let RecordsConfig { max_keys: max_records, max_answer_bytes, coverage } = cfg;
        let executor = ExecutorConfig { max_records, max_answer_bytes, coverage };
        KeyRecords {
            executor: ExecutorTable::new(executor),
            home: HomeTable::new(me.clone(), HomeConfig { max_records, coverage }),
            me,
            executors: Vec::new(),
            heard_revision: 0,
        }
    }

    /// The list of this service's endpoints. Lower or equal revisions are ignored; false then.
    pub fn set_list(&mut self, list: ServiceList, now: Millis) -> bool {
        let executors = list.executors.clone();
        if !self.home.set_list(list, now) {
            return false;
        }
        if executors.contains(&self.me) && !self.executors.contains(&self.me) {
            self.executor.joined(now);
        }
        self.executors = executors;
        true
    }

    /// Whether an order for `key` at [`Ballot::Home`] would be refused for want of memory.
    pub fn is_in_doubt(&self, key: &RequestKey, now: Millis) -> bool {
        self.executor.is_in_doubt(key, now)
    }

    /// An order to run `key` came; `shared` when its caller chose the key. A home does not run the
    /// keys that it homes, so that its loss leaves no doubt about them.
    pub fn order(
        &mut self,
        key: &RequestKey,
        shared: bool,
        ballot: &Ballot,
        now: Millis,
    ) -> OrderReply {
        if shared && self.may_be_home(key) {
            return OrderReply::InDoubt;
        }
        self.executor.order(key, ballot, now)
    }

    /// An entry that holds the list of `revision` wants `executor` to run `key`.
    pub fn claim(
        &mut self,
        key: &RequestKey,
        executor: &EndpointName,
        revision: u64,
        now: Millis,
    ) -> ClaimReply {
        self.home.claim(key, executor, revision, now)
    }

    /// An entry that holds the list of `revision` bars `key`.
    pub fn bar(
        &mut self,
        key: &RequestKey,
        ballot: &Ballot,
        revision: u64,
        now: Millis,
    ) -> BarResponse {
        self.heard_revision = self.heard_revision.max(revision);
        let (reply, home) = match self.home.bar(key, now) {
            Ok(home) => (self.executor.bar(key, ballot, now), home),
            Err(_) => (BarReply::TableFull, HomeBarReply::NotGiven),
        };
        BarResponse { reply, home, revision: self.heard_revision.max(self.home.revision()) }
    }

    /// What is known of `key` as its executor; `None` when it never ran here.
    pub fn run_status(&self, key: &RequestKey) -> Option<RunStatus> {
        self.executor.run_status(key)
    }

    /// A running key finished with an answer of `bytes`; see [`ExecutorTable::finish`].
    pub fn finish(&mut self, key: &RequestKey, bytes: usize) {
        self.executor.finish(key, bytes);
    }

    /// A running key ended without an answer.
    pub fn end(&mut self, key: &RequestKey, ran: RunStatus) {
        self.executor.end(key, ran);
    }

    /// A key recorded as running certainly did not begin; see [`ExecutorTable::undo_start`].
    pub fn undo_start(&mut self, key: &RequestKey, ballot: &Ballot) {
        self.executor.undo_start(key, ballot);
    }

    /// Keys whose answers need not be held any more, since the last call.
    pub fn take_dropped(&mut self) -> Vec<RequestKey> {
        self.executor.take_dropped()
    }

    /// Agents that have still to acknowledge the present list.
    pub fn pending_acks(&self) -> Vec<EndpointName> {
        self.home.pending_acks()
    }

    /// `agent` holds the list of `revision`.
    pub fn record_ack(&mut self, agent: &EndpointName, revision: u64, now: Millis) {
        self.home.record_ack(agent, revision, now);
    }

    /// The revision of the list held; 0 for none.
    pub fn revision(&self) -> u64 {
        self.home.revision()
    }

    /// Keys on record as executor and as home, and bytes of answers held.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.executor.len(), self.home.len(), self.executor.answer_bytes())
    }

    fn may_be_home(&self, key: &RequestKey) -> bool {
        let others = self.executors.len() > 1;
        self.revision() == 0 || (others && home_of(key, &self.executors) == Some(&self.me))
    }
}
