//! The desk: the gate with its clock, and the askers who wait for its answers.

use std::collections::HashMap;

use bulrushusher_admission::{
    AdmissionAction, AdmissionConfig, AdmissionController, Grant, Refusal, ReservationId,
    SlotRequest, SlotRequestId,
};
use bulrushusher_time::{Clock, Millis};
use bulrushusher_wire::{AgentLoad, ReserveRequest};
use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::LOG;

type Answer = Result<Grant, Refusal>;

#[derive(Debug)]
struct Inner {
    gate: AdmissionController,
    askers: HashMap<SlotRequestId, oneshot::Sender<Answer>>,
    next_ask: u64,
}

/// The gate, shared by the agent's tasks.
#[derive(Debug)]
pub(crate) struct Desk {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl Desk {
    pub(crate) fn new(cfg: AdmissionConfig, clock: Clock) -> Desk {
        let inner =
            Inner { gate: AdmissionController::new(cfg), askers: HashMap::new(), next_ask: 1 };
        Desk { clock, inner: Mutex::new(inner) }
    }

    /// Waits for a place. Dropping the future withdraws the request.
    pub(crate) async fn reserve(&self, ask: &ReserveRequest) -> Answer {
        let (id, rx) = self.ask(ask);
        let mut waiting = Waiting { desk: self, id: Some(id) };
        let answer = rx.await.unwrap_or(Err(Refusal::Leaving));
        waiting.id = None;
        answer
    }

    fn ask(&self, ask: &ReserveRequest) -> (SlotRequestId, oneshot::Receiver<Answer>) {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut inner = self.inner.lock();
        let id = SlotRequestId(inner.next_ask);
        inner.next_ask += 1;
        inner.askers.insert(id, tx);
        let start_by = now.plus(ask.start_within);
        let late_start_by = now.plus(ask.late_within).max(start_by);
        let ask = SlotRequest { id, start_by, late_start_by, wait_until: now.plus(ask.wait) };
        let actions = inner.gate.request(ask, now);
        inner.carry_out(actions, now);
        (id, rx)
    }

    /// The order for a reservation came.
    pub(crate) fn start(&self, id: ReservationId) -> Result<(), Refusal> {
        self.inner.lock().gate.start(id, self.clock.now())
    }

    /// The work of a reservation ended, or it was given back.
    pub(crate) fn finish(&self, id: ReservationId) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.gate.release(id, now);
        inner.carry_out(actions, now);
    }

    /// Lets time pass for the gate.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.gate.tick(now);
        inner.carry_out(actions, now);
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.gate.set_draining(leaving);
        inner.carry_out(actions, now);
    }

    /// The endpoint has refused work and wants none for that long.
    pub(crate) fn back_off(&self, length: Millis) {
        self.inner.lock().gate.back_off(length, self.clock.now());
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.inner.lock().gate.is_draining()
    }

    /// Places held, started or not.
    pub(crate) fn used(&self) -> usize {
        self.inner.lock().gate.used()
    }

    pub(crate) fn load(&self) -> AgentLoad {
        let inner = self.inner.lock();
        AgentLoad {
            used: inner.gate.used() as u32,
            places: inner.gate.slots() as u32,
            waiting: inner.gate.queued() as u32,
            expected_wait: inner.gate.expected_wait(self.clock.now()),
        }
    }
}

impl Inner {
    fn carry_out(&mut self, actions: Vec<AdmissionAction>, now: Millis) {
        for action in actions {
            match action {
                AdmissionAction::Grant(ask, grant) => self.answer(ask, Ok(grant), now),
                AdmissionAction::Refuse(ask, refusal) => self.answer(ask, Err(refusal), now),
                AdmissionAction::Expired(id) => {
                    log::info!("{LOG} reservation {id} lapsed without an order, place freed");
                }
            }
        }
    }

    fn answer(&mut self, ask: SlotRequestId, answer: Answer, now: Millis) {
        let granted = answer.as_ref().ok().map(|grant| grant.id);
        let Some(asker) = self.askers.remove(&ask) else { return };
        let undelivered = asker.send(answer).is_err();
        if let Some(id) = granted
            && undelivered
        {
            let actions = self.gate.release(id, now);
            self.carry_out(actions, now);
        }
    }
}

/// Withdraws the request of an asker who went away.
struct Waiting<'a> {
    desk: &'a Desk,
    id: Option<SlotRequestId>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let now = self.desk.clock.now();
        let mut inner = self.desk.inner.lock();
        inner.askers.remove(&id);
        let actions = inner.gate.cancel(id, now);
        inner.carry_out(actions, now);
    }
}
