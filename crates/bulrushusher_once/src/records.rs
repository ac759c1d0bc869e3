//! An agent's records of keys: its executor table, its home table and the endpoint list.

use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, RequestKey};

use crate::{
    AgentBarReply, Ballot, BarReply, ClaimReply, ExecutorConfig, ExecutorTable, HomeBarReply,
    HomeConfig, HomeTable, OrderReply, RecordCoverage, RunStatus, ServiceList, home_of,
};

/// Limits of an agent's records.
#[derive(Clone, Copy, Debug)]
pub struct RecordsConfig {
    /// Maximum records of the executor table, and also of the home table.
    pub max_keys: usize,
    /// Maximum total size of retained finished answers, in bytes.
    pub max_answer_bytes: usize,
    /// The period that the records cover: a key created within it that has no record was never
    /// seen by this agent.
    pub coverage: RecordCoverage,
}

/// An agent's records.
///
/// ```
/// use bulrushusher_once::{Ballot, KeyRecords, OrderReply, RecordCoverage, RecordsConfig};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::{EndpointName, RequestKey};
/// let name = |text| EndpointName::try_from(text).unwrap();
/// let coverage = RecordCoverage { since: Millis(0), skew: Millis(10), horizon: Millis(1_000) };
/// let cfg = RecordsConfig { max_keys: 10, max_answer_bytes: 1_000, coverage };
/// let mut records = KeyRecords::new(name("d1"), cfg);
/// let key = RequestKey::try_from("order-7").unwrap();
/// let now = Millis(5_000);
/// let shared = records.order(&key, true, &Ballot::Home, now);
/// assert_eq!(shared, OrderReply::InDoubt, "no list yet: this agent may be the key's home");
/// assert_eq!(records.order(&key, false, &Ballot::Home, now), OrderReply::Run);
/// ```
#[derive(Debug)]
pub struct KeyRecords {
    own_name: EndpointName,
    executor: ExecutorTable,
    home: HomeTable,
    executors: Vec<EndpointName>,
    /// The highest list revision received with requests to bar a key.
    seen_revision: u64,
}

impl KeyRecords {
    /// Empty records of the agent `own_name`.
    pub fn new(own_name: EndpointName, cfg: RecordsConfig) -> KeyRecords {
        let RecordsConfig { max_keys: max_records, max_answer_bytes, coverage } = cfg;
        let executor = ExecutorConfig { max_records, max_answer_bytes, coverage };
        KeyRecords {
            executor: ExecutorTable::new(executor),
            home: HomeTable::new(own_name.clone(), HomeConfig { max_records, coverage }),
            own_name,
            executors: Vec::new(),
            seen_revision: 0,
        }
    }

    /// Sets the endpoint list of the service. Returns false if its revision is not higher than the
    /// present one; it is ignored then.
    pub fn set_list(&mut self, list: ServiceList, now: Millis) -> bool {
        let executors = list.executors.clone();
        if !self.home.set_list(list, now) {
            return false;
        }
        if executors.contains(&self.own_name) && !self.executors.contains(&self.own_name) {
            self.executor.joined(now);
        }
        self.executors = executors;
        true
    }

    /// Whether an order for `key` at [`Ballot::Home`] would be refused because the key may be older
    /// than this agent's records.
    pub fn is_in_doubt(&self, key: &RequestKey, now: Millis) -> bool {
        self.executor.is_in_doubt(key, now)
    }

    /// Handles an entry's order to run `key`. `shared` is true if the caller chose the key, so that
    /// other requests may use it too. The home of a shared key does not run it, so that the loss of
    /// the home alone does not make it unknown whether the key ran.
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

    /// Handles a claim of an entry, by its list of `revision`, that `executor` shall run `key`.
    pub fn claim(
        &mut self,
        key: &RequestKey,
        executor: &EndpointName,
        revision: u64,
        now: Millis,
    ) -> ClaimReply {
        self.home.claim(key, executor, revision, now)
    }

    /// Handles an entry's request to bar `key`, that is, to refuse orders for it at ballots below
    /// `ballot`. `revision` is that of the endpoint list that the entry uses.
    pub fn bar(
        &mut self,
        key: &RequestKey,
        ballot: &Ballot,
        revision: u64,
        now: Millis,
    ) -> AgentBarReply {
        self.seen_revision = self.seen_revision.max(revision);
        let (reply, home) = match self.home.bar(key, now) {
            Ok(home) => (self.executor.bar(key, ballot, now), home),
            Err(_) => (BarReply::TableFull, HomeBarReply::NotGiven),
        };
        AgentBarReply { reply, home, revision: self.seen_revision.max(self.home.revision()) }
    }

    /// The status of the run of `key` at this endpoint; `None` if it has no run on record.
    pub fn run_status(&self, key: &RequestKey) -> Option<RunStatus> {
        self.executor.run_status(key)
    }

    /// Records that a running key finished with an answer of `bytes`; see
    /// [`ExecutorTable::finish`].
    pub fn finish(&mut self, key: &RequestKey, bytes: usize) {
        self.executor.finish(key, bytes);
    }

    /// Records that a running key ended without an answer; see [`ExecutorTable::end`].
    pub fn end(&mut self, key: &RequestKey, status: RunStatus) {
        self.executor.end(key, status);
    }

    /// Reverts a recorded start that certainly did not happen; see [`ExecutorTable::undo_start`].
    pub fn undo_start(&mut self, key: &RequestKey, ballot: &Ballot) {
        self.executor.undo_start(key, ballot);
    }

    /// Keys whose answers were dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<RequestKey> {
        self.executor.take_dropped()
    }

    /// Agents that have not acknowledged the present list yet.
    pub fn pending_acks(&self) -> Vec<EndpointName> {
        self.home.pending_acks()
    }

    /// Records that `agent` has the list of `revision`.
    pub fn record_ack(&mut self, agent: &EndpointName, revision: u64, now: Millis) {
        self.home.record_ack(agent, revision, now);
    }

    /// The revision of the present list; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.home.revision()
    }

    /// The number of executor records, the number of home records, and the bytes of retained
    /// answers.
    pub fn sizes(&self) -> (usize, usize, usize) {
        (self.executor.len(), self.home.len(), self.executor.answer_bytes())
    }

    fn may_be_home(&self, key: &RequestKey) -> bool {
        let has_others = self.executors.len() > 1;
        self.revision() == 0
            || (has_others && home_of(key, &self.executors) == Some(&self.own_name))
    }
}
