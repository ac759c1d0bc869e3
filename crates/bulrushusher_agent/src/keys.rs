//! The at-most-once records of this agent, and the answers that go with them.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_once::{
    Ballot, BarReply, ClaimReply, ExecutorConfig, ExecutorTable, HomeBar, HomeConfig, HomeTable,
    OrderReply, Ran, Vouch, home_of,
};
use bulrushusher_time::{Clock, Millis};
use bulrushusher_wire::{BarAnswer, BarAsk, ClaimAsk, ListPush, NotTaken, RunOrder};
use bulrushusher_world::{EndpointName, RequestKey, Role};
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::answer::Answer;
use crate::{AgentConfig, LOG};

#[derive(Debug)]
struct Inner {
    executor: ExecutorTable,
    home: HomeTable,
    answers: HashMap<RequestKey, Arc<Answer>>,
    peers: Vec<EndpointName>,
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
    me: EndpointName,
    clock: Clock,
    incarnation: u64,
    inner: Mutex<Inner>,
    begun: Notify,
}

impl Keys {
    pub(crate) fn new(cfg: &AgentConfig, clock: Clock, incarnation: u64) -> Keys {
        let vouch = Vouch { since: clock.now(), skew: cfg.skew, horizon: cfg.horizon };
        let executor = ExecutorTable::new(ExecutorConfig {
            max_records: cfg.max_keys,
            max_answer_bytes: cfg.max_answer_bytes,
            vouch,
        });
        let home = HomeConfig { max_records: cfg.max_keys, vouch };
        let home = HomeTable::new(cfg.name.clone(), home);
        let inner = Inner { executor, home, answers: HashMap::new(), peers: Vec::new() };
        Keys {
            me: cfg.name.clone(),
            clock,
            incarnation,
            inner: Mutex::new(inner),
            begun: Notify::new(),
        }
    }

    /// An order to run a key came. `start` takes its place at the gate, and is called only when the
    /// key may run.
    pub(crate) fn order(
        &self,
        order: &RunOrder,
        start: impl FnOnce() -> Result<(), NotTaken>,
    ) -> Result<Taken, NotTaken> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        if order.shared_key && inner.is_home(&self.me, &order.key) {
            return Err(NotTaken::InDoubt);
        }
        match inner.executor.order(&order.key, &order.ballot, now) {
            OrderReply::Run => {
                if let Err(refused) = start() {
                    inner.executor.not_begun(&order.key, &order.ballot);
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
            OrderReply::Barred(ballot) => Err(NotTaken::Barred { ballot }),
            OrderReply::InDoubt => Err(NotTaken::InDoubt),
            OrderReply::TooOld => Err(NotTaken::TooOld),
            OrderReply::TableFull => {
                let table = "keys".to_owned();
                let refusal = bulrushusher_admission::Refusal::TableFull { table };
                Err(NotTaken::Refused { refusal })
            }
        }
    }

    /// Whether this agent could not vouch for a key if it were ordered now.
    pub(crate) fn is_in_doubt(&self, key: &RequestKey) -> bool {
        self.inner.lock().executor.is_in_doubt(key, self.clock.now())
    }

    /// Finds the answer of a key that runs or ran here, waiting up to `wait` for it to begin.
    /// `give_up` is called when it has not; an order that comes later finds it done.
    pub(crate) async fn attach(
        &self,
        key: &RequestKey,
        wait: Millis,
        give_up: impl FnOnce(),
    ) -> Result<Arc<Answer>, NotTaken> {
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
        Err(NotTaken::NotHere { incarnation: self.incarnation })
    }

    /// A run finished with an answer of `bytes`.
    pub(crate) fn finish(&self, key: &RequestKey, bytes: usize) {
        let mut inner = self.inner.lock();
        inner.executor.finish(key, bytes);
        inner.drop_answers();
    }

    /// A run began and ended without an answer.
    pub(crate) fn end(&self, key: &RequestKey, ran: Ran) {
        self.inner.lock().executor.end(key, ran);
    }

    /// A run certainly did not begin.
    pub(crate) fn not_begun(&self, key: &RequestKey, ballot: &Ballot) {
        let mut inner = self.inner.lock();
        inner.executor.not_begun(key, ballot);
        inner.answers.remove(key);
    }

    pub(crate) fn claim(&self, ask: &ClaimAsk) -> ClaimReply {
        let now = self.clock.now();
        self.inner.lock().home.claim(&ask.key, &ask.executor, ask.revision, now)
    }

    pub(crate) fn bar(&self, ask: &BarAsk) -> BarAnswer {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let (reply, home) = match inner.home.bar(&ask.key, now) {
            Ok(home) => (inner.executor.bar(&ask.key, &ask.ballot, now), home),
            Err(_) => (BarReply::TableFull, HomeBar::NotGiven),
        };
        log::debug!("{LOG} key {} barred at {}: {reply:?}", ask.key, ask.ballot);
        BarAnswer { reply, home, revision: inner.home.revision(), incarnation: self.incarnation }
    }

    /// Takes a later endpoint list; true when this endpoint is marked as leaving in it.
    pub(crate) fn set_list(&self, push: &ListPush) -> Option<bool> {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        if push.revision <= inner.home.revision() {
            return None;
        }
        let me = push.endpoints.iter().find(|endpoint| endpoint.name == self.me)?;
        let homes = |e: &&bulrushusher_world::Endpoint| {
            e.service == me.service && matches!(e.role, Role::Decode | Role::Service)
        };
        let peers: Vec<EndpointName> =
            push.endpoints.iter().filter(homes).map(|endpoint| endpoint.name.clone()).collect();
        if peers.contains(&self.me) && !inner.peers.contains(&self.me) {
            inner.executor.joined(now);
        }
        inner.home.set_list(push.revision, peers.clone(), now);
        inner.peers = peers;
        Some(me.leaving)
    }

    /// Agents that have still to acknowledge the present list.
    pub(crate) fn unacknowledged(&self) -> Vec<EndpointName> {
        self.inner.lock().home.unacknowledged()
    }

    pub(crate) fn acknowledged(&self, agent: &EndpointName, revision: u64) {
        self.inner.lock().home.acknowledged(agent, revision);
    }

    pub(crate) fn revision(&self) -> u64 {
        self.inner.lock().home.revision()
    }

    /// Keys on record as executor and as home, and bytes of answers kept.
    pub(crate) fn sizes(&self) -> (usize, usize, usize) {
        let inner = self.inner.lock();
        (inner.executor.len(), inner.home.len(), inner.executor.answer_bytes())
    }

    /// Gives up a stream of a key; true when it was attached here.
    pub(crate) fn give_up(&self, key: &RequestKey, stream: &str) -> bool {
        let answer = self.inner.lock().answers.get(key).cloned();
        answer.is_some_and(|answer| answer.give_up(stream))
    }
}

impl Inner {
    /// True when this agent is the key's home and others could run it.
    fn is_home(&self, me: &EndpointName, key: &RequestKey) -> bool {
        self.peers.len() > 1 && home_of(key, &self.peers) == Some(me)
    }

    fn look(&self, key: &RequestKey) -> Option<Result<Arc<Answer>, NotTaken>> {
        let ran = self.executor.look(key)?;
        Some(self.answer(key, ran))
    }

    fn answer(&self, key: &RequestKey, ran: Ran) -> Result<Arc<Answer>, NotTaken> {
        let held = self.answers.get(key).cloned();
        match (ran, held) {
            (Ran::Running | Ran::Finished, Some(answer)) => Ok(answer),
            (ran, _) => Err(NotTaken::RanWithoutAnswer { ran }),
        }
    }

    fn drop_answers(&mut self) {
        for key in self.executor.take_dropped() {
            self.answers.remove(&key);
        }
    }
}
