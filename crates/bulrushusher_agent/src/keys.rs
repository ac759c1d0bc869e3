//! The at-most-once records of this agent, by idempotency key, with the answers of its runs.
//!
//! The agent that is the *home* of a key also records which executor the key is assigned to. A
//! *bar* makes the agent refuse orders for a key at lower ballots.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_once::{
    Ballot, ClaimReply, KeyRecords, OrderReply, RecordCoverage, RecordsConfig, RunStatus,
    ServiceList,
};
use bulrushusher_time::{Clock, Millis};
use bulrushusher_wire::{
    BarRequest, BarResponse, ClaimRequest, OpenStreamId, OrderRejection, RunOrder,
};
use bulrushusher_world::{EndpointName, RequestKey};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::answer::Answer;
use crate::{AgentConfig, LOG};

#[derive(Debug)]
struct Inner {
    records: KeyRecords,
    answers: HashMap<RequestKey, Arc<Answer>>,
}

/// What to do with an accepted order.
pub(crate) enum AcceptedOrder {
    /// Run it, and write its answer here.
    Run(Arc<Answer>),
    /// The key is running or has run: attach to this answer.
    Attach(Arc<Answer>),
}

/// Records and answers, shared by the agent's tasks.
#[derive(Debug)]
pub(crate) struct Keys {
    clock: Clock,
    incarnation: u64,
    inner: Mutex<Inner>,
    /// Notified when a run starts.
    run_started: Notify,
}

impl Keys {
    pub(crate) fn new(cfg: &AgentConfig, clock: Clock, incarnation: u64) -> Keys {
        let coverage = RecordCoverage { since: clock.now(), skew: cfg.skew, horizon: cfg.horizon };
        let records = RecordsConfig {
            max_keys: cfg.max_keys,
            max_answer_bytes: cfg.max_answer_bytes,
            coverage,
        };
        let records = KeyRecords::new(cfg.name.clone(), records);
        let inner = Inner { records, answers: HashMap::new() };
        Keys { clock, incarnation, inner: Mutex::new(inner), run_started: Notify::new() }
    }

    /// Handles an order to run a key. `start` starts its reservation, and is called only if the key
    /// may run.
    pub(crate) fn order(
        &self,
        order: &RunOrder,
        start: impl FnOnce() -> Result<(), OrderRejection>,
    ) -> Result<AcceptedOrder, OrderRejection> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        match inner.records.order(&order.key, order.shared_key, &order.ballot, now) {
            OrderReply::Run => {
                if let Err(rejection) = start() {
                    inner.records.undo_start(&order.key, &order.ballot);
                    return Err(rejection);
                }
                let answer = Arc::new(Answer::default());
                inner.answers.insert(order.key.clone(), Arc::clone(&answer));
                inner.remove_dropped_answers();
                drop(inner);
                self.run_started.notify_waiters();
                Ok(AcceptedOrder::Run(answer))
            }
            OrderReply::AlreadyRan(status) => {
                inner.answer(&order.key, status).map(AcceptedOrder::Attach)
            }
            OrderReply::Barred(ballot) => Err(OrderRejection::Barred { ballot }),
            OrderReply::InDoubt => Err(OrderRejection::InDoubt),
            OrderReply::TooOld => Err(OrderRejection::TooOld),
            OrderReply::TableFull => {
                let table = "keys".to_owned();
                let refusal = bulrushusher_admission::Refusal::TableFull { table };
                Err(OrderRejection::Refused { refusal })
            }
        }
    }

    /// True if an order for the key would be rejected now because the key may be older than this
    /// agent's records.
    pub(crate) fn is_in_doubt(&self, key: &RequestKey) -> bool {
        self.inner.lock().records.is_in_doubt(key, self.clock.now())
    }

    /// Finds the answer of a key that is running or has run here. Waits up to `wait` for the run to
    /// start. If it has not started by then, calls `revoke` while the records are locked, so that
    /// an order that arrives later is handled after it.
    pub(crate) async fn attach(
        &self,
        key: &RequestKey,
        wait: Millis,
        revoke: impl FnOnce(),
    ) -> Result<Arc<Answer>, OrderRejection> {
        let end = tokio::time::Instant::now() + wait.duration();
        loop {
            let run_started = self.run_started.notified();
            if let Some(found) = self.inner.lock().find_answer(key) {
                return found;
            }
            if tokio::time::timeout_at(end, run_started).await.is_err() {
                break;
            }
        }
        let inner = self.inner.lock();
        if let Some(found) = inner.find_answer(key) {
            return found;
        }
        revoke();
        drop(inner);
        Err(OrderRejection::NotHere { incarnation: self.incarnation })
    }

    /// Records that a run finished with an answer of `bytes`.
    pub(crate) fn finish(&self, key: &RequestKey, bytes: usize) {
        let mut inner = self.inner.lock();
        inner.records.finish(key, bytes);
        inner.remove_dropped_answers();
    }

    /// Records that a run started and ended without an answer.
    pub(crate) fn end(&self, key: &RequestKey, status: RunStatus) {
        self.inner.lock().records.end(key, status);
    }

    /// Reverts the recorded start of the run of a key that certainly did not start.
    pub(crate) fn undo_start(&self, key: &RequestKey, ballot: &Ballot) {
        let mut inner = self.inner.lock();
        inner.records.undo_start(key, ballot);
        inner.answers.remove(key);
    }

    pub(crate) fn claim(&self, req: &ClaimRequest) -> ClaimReply {
        let now = self.clock.now();
        self.inner.lock().records.claim(&req.key, &req.executor, req.revision, now)
    }

    pub(crate) fn bar(&self, req: &BarRequest) -> BarResponse {
        let now = self.clock.now();
        let reply = self.inner.lock().records.bar(&req.key, &req.ballot, req.revision, now);
        log::debug!("{LOG} key {} barred at {}: {reply:?}", req.key, req.ballot);
        BarResponse { reply: reply.reply, home: reply.home, revision: reply.revision }
    }

    /// Sets the endpoint list; returns false, and ignores it, unless its revision is higher.
    pub(crate) fn set_list(&self, list: ServiceList) -> bool {
        let now = self.clock.now();
        self.inner.lock().records.set_list(list, now)
    }

    /// Agents that have not acknowledged the present list yet.
    pub(crate) fn pending_acks(&self) -> Vec<EndpointName> {
        self.inner.lock().records.pending_acks()
    }

    /// Records the list revision that an agent uses.
    pub(crate) fn record_ack(&self, agent: &EndpointName, revision: u64) {
        self.inner.lock().records.record_ack(agent, revision, self.clock.now());
    }

    pub(crate) fn revision(&self) -> u64 {
        self.inner.lock().records.revision()
    }

    /// The number of executor records, the number of home records, and the bytes of retained
    /// answers.
    pub(crate) fn sizes(&self) -> (usize, usize, usize) {
        self.inner.lock().records.sizes()
    }

    /// Records that an entry still reads these streams.
    pub(crate) fn keep_alive(&self, streams: &[OpenStreamId]) {
        let inner = self.inner.lock();
        for open in streams {
            if let Some(answer) = inner.answers.get(&open.key) {
                answer.keep_alive(&open.stream);
            }
        }
    }

    /// Abandons a stream of a key; returns true if it was attached here.
    pub(crate) fn abandon_stream(&self, key: &RequestKey, stream: &str) -> bool {
        let answer = self.inner.lock().answers.get(key).cloned();
        answer.is_some_and(|answer| answer.abandon(stream))
    }
}

impl Inner {
    fn find_answer(&self, key: &RequestKey) -> Option<Result<Arc<Answer>, OrderRejection>> {
        let status = self.records.run_status(key)?;
        Some(self.answer(key, status))
    }

    fn answer(&self, key: &RequestKey, status: RunStatus) -> Result<Arc<Answer>, OrderRejection> {
        let answer = self.answers.get(key).cloned();
        match (status, answer) {
            (RunStatus::Running | RunStatus::Finished, Some(answer)) => Ok(answer),
            (ran, _) => Err(OrderRejection::RanWithoutAnswer { ran }),
        }
    }

    fn remove_dropped_answers(&mut self) {
        for key in self.records.take_dropped() {
            self.answers.remove(&key);
        }
    }
}
