//! The at-most-once records of this agent, and the answers that go with them.

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

/// What an order comes to.
pub(crate) enum Taken {
    /// Run it, and fill this answer.
    Run(Arc<Answer>),
    /// It ran or runs already: attach to this answer.
    Attach(Arc<Answer>),
}

/// The records, shared by the agent's tasks.
#[derive(Debug)]
pub(crate) struct Keys {
    clock: Clock,
    incarnation: u64,
    inner: Mutex<Inner>,
    begun: Notify,
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
        Keys { clock, incarnation, inner: Mutex::new(inner), begun: Notify::new() }
    }

    /// An order to run a key came. `start` takes its place at the gate, and is called only when the
    /// key may run.
    pub(crate) fn order(
        &self,
        order: &RunOrder,
        start: impl FnOnce() -> Result<(), OrderRejection>,
    ) -> Result<Taken, OrderRejection> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        match inner.records.order(&order.key, order.shared_key, &order.ballot, now) {
            OrderReply::Run => {
                if let Err(refused) = start() {
                    inner.records.undo_start(&order.key, &order.ballot);
                    return Err(refused);
                }
                let answer = Arc::new(Answer::default());
                inner.answers.insert(order.key.clone(), Arc::clone(&answer));
                inner.drop_answers();
                drop(inner);
                self.begun.notify_waiters();
                Ok(Taken::Run(answer))
            }
            OrderReply::AlreadyRan(ran) => inner.answer(&order.key, ran).map(Taken::Attach),
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

    /// Whether this agent could not vouch for a key if it were ordered now.
    pub(crate) fn is_in_doubt(&self, key: &RequestKey) -> bool {
        self.inner.lock().records.is_in_doubt(key, self.clock.now())
    }

    /// Finds the answer of a key that runs or ran here, waiting up to `wait` for it to begin.
    /// `give_up` is called when it has not; an order that comes later finds it done.
    pub(crate) async fn attach(
        &self,
        key: &RequestKey,
        wait: Millis,
        give_up: impl FnOnce(),
    ) -> Result<Arc<Answer>, OrderRejection> {
        let end = tokio::time::Instant::now() + wait.duration();
        loop {
            let begun = self.begun.notified();
            if let Some(found) = self.inner.lock().look(key) {
                return found;
            }
            if tokio::time::timeout_at(end, begun).await.is_err() {
                break;
            }
        }
        let inner = self.inner.lock();
        if let Some(found) = inner.look(key) {
            return found;
        }
        give_up();
        drop(inner);
        Err(OrderRejection::NotHere { incarnation: self.incarnation })
    }

    /// A run finished with an answer of `bytes`.
    pub(crate) fn finish(&self, key: &RequestKey, bytes: usize) {
        let mut inner = self.inner.lock();
        inner.records.finish(key, bytes);
        inner.drop_answers();
    }

    /// A run began and ended without an answer.
    pub(crate) fn end(&self, key: &RequestKey, ran: RunStatus) {
        self.inner.lock().records.end(key, ran);
    }

    /// A run certainly did not begin.
    pub(crate) fn not_begun(&self, key: &RequestKey, ballot: &Ballot) {
        let mut inner = self.inner.lock();
        inner.records.undo_start(key, ballot);
        inner.answers.remove(key);
    }

    pub(crate) fn claim(&self, ask: &ClaimRequest) -> ClaimReply {
        let now = self.clock.now();
        self.inner.lock().records.claim(&ask.key, &ask.executor, ask.revision, now)
    }

    pub(crate) fn bar(&self, ask: &BarRequest) -> BarResponse {
        let now = self.clock.now();
        let heard = self.inner.lock().records.bar(&ask.key, &ask.ballot, ask.revision, now);
        log::debug!("{LOG} key {} barred at {}: {heard:?}", ask.key, ask.ballot);
        BarResponse { reply: heard.reply, home: heard.home, revision: heard.revision }
    }

    /// Takes a later endpoint list; false when it is not later.
    pub(crate) fn set_list(&self, list: ServiceList) -> bool {
        let now = self.clock.now();
        self.inner.lock().records.set_list(list, now)
    }

    /// Agents that have still to acknowledge the present list.
    pub(crate) fn unacknowledged(&self) -> Vec<EndpointName> {
        self.inner.lock().records.pending_acks()
    }

    pub(crate) fn acknowledged(&self, agent: &EndpointName, revision: u64) {
        self.inner.lock().records.record_ack(agent, revision, self.clock.now());
    }

    pub(crate) fn revision(&self) -> u64 {
        self.inner.lock().records.revision()
    }

    /// Keys on record as executor and as home, and bytes of answers kept.
    pub(crate) fn sizes(&self) -> (usize, usize, usize) {
        self.inner.lock().records.sizes()
    }

    /// An entry still reads these streams.
    pub(crate) fn keep_alive(&self, streams: &[OpenStreamId]) {
        let inner = self.inner.lock();
        for open in streams {
            if let Some(answer) = inner.answers.get(&open.key) {
                answer.keep_alive(&open.stream);
            }
        }
    }

    /// Gives up a stream of a key; true when it was attached here.
    pub(crate) fn give_up(&self, key: &RequestKey, stream: &str) -> bool {
        let answer = self.inner.lock().answers.get(key).cloned();
        answer.is_some_and(|answer| answer.give_up(stream))
    }
}

impl Inner {
    fn look(&self, key: &RequestKey) -> Option<Result<Arc<Answer>, OrderRejection>> {
        let ran = self.records.run_status(key)?;
        Some(self.answer(key, ran))
    }

    fn answer(&self, key: &RequestKey, ran: RunStatus) -> Result<Arc<Answer>, OrderRejection> {
        let held = self.answers.get(key).cloned();
        match (ran, held) {
            (RunStatus::Running | RunStatus::Finished, Some(answer)) => Ok(answer),
            (ran, _) => Err(OrderRejection::RanWithoutAnswer { ran }),
        }
    }

    fn drop_answers(&mut self) {
        for key in self.records.take_dropped() {
            self.answers.remove(&key);
        }
    }
}
