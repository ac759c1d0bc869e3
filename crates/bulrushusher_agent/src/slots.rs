//! Slots of the endpoint: the admission controller with its clock, and the calls that wait for its
//! replies.

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

type SlotReply = Result<Grant, Refusal>;

#[derive(Debug)]
struct Inner {
    admission: AdmissionController,
    waiters: HashMap<SlotRequestId, oneshot::Sender<SlotReply>>,
    next_id: u64,
}

/// The admission controller, shared by the agent's tasks.
#[derive(Debug)]
pub(crate) struct Slots {
    clock: Clock,
    inner: Mutex<Inner>,
}

impl Slots {
    pub(crate) fn new(cfg: AdmissionConfig, clock: Clock) -> Slots {
        let admission = AdmissionController::new(cfg);
        let inner = Inner { admission, waiters: HashMap::new(), next_id: 1 };
        Slots { clock, inner: Mutex::new(inner) }
    }

    /// Waits for a slot. Dropping the future cancels the request.
    pub(crate) async fn reserve(&self, req: &ReserveRequest) -> SlotReply {
        let (id, rx) = self.request(req);
        let mut queued = QueuedRequest { slots: self, id: Some(id) };
        let reply = rx.await.unwrap_or(Err(Refusal::Leaving));
        queued.id = None;
        reply
    }

    fn request(&self, req: &ReserveRequest) -> (SlotRequestId, oneshot::Receiver<SlotReply>) {
        let now = self.clock.now();
        let (tx, rx) = oneshot::channel();
        let mut inner = self.inner.lock();
        let id = SlotRequestId(inner.next_id);
        inner.next_id += 1;
        inner.waiters.insert(id, tx);
        let start_by = now.plus(req.start_within);
        let late_start_by = now.plus(req.late_within).max(start_by);
        let req = SlotRequest { id, start_by, late_start_by, wait_until: now.plus(req.wait) };
        let actions = inner.admission.request(req, now);
        inner.execute(actions, now);
        (id, rx)
    }

    /// Starts a reservation, whose order has arrived.
    pub(crate) fn start(&self, id: ReservationId) -> Result<(), Refusal> {
        self.inner.lock().admission.start(id, self.clock.now())
    }

    /// Releases a reservation, started or not.
    pub(crate) fn release(&self, id: ReservationId) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.admission.release(id, now);
        inner.execute(actions, now);
    }

    /// Handles expired reservations and waits.
    pub(crate) fn tick(&self) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.admission.tick(now);
        inner.execute(actions, now);
    }

    pub(crate) fn set_draining(&self, draining: bool) {
        let now = self.clock.now();
        let mut inner = self.inner.lock();
        let actions = inner.admission.set_draining(draining);
        inner.execute(actions, now);
    }

    /// Grants no slots for `duration`, as requested by the endpoint.
    pub(crate) fn back_off(&self, duration: Millis) {
        self.inner.lock().admission.back_off(duration, self.clock.now());
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.inner.lock().admission.is_draining()
    }

    /// Slots in use: reservations, started or not.
    pub(crate) fn used(&self) -> usize {
        self.inner.lock().admission.used()
    }

    /// The present use of the slots, and the queue for them.
    pub(crate) fn current_load(&self) -> AgentLoad {
        let inner = self.inner.lock();
        AgentLoad {
            used: inner.admission.used() as u32,
            places: inner.admission.slots() as u32,
            waiting: inner.admission.queued() as u32,
            expected_wait: inner.admission.expected_wait(self.clock.now()),
        }
    }
}

impl Inner {
    fn execute(&mut self, actions: Vec<AdmissionAction>, now: Millis) {
        for action in actions {
            match action {
                AdmissionAction::Grant(id, grant) => self.reply(id, Ok(grant), now),
                AdmissionAction::Refuse(id, refusal) => self.reply(id, Err(refusal), now),
                AdmissionAction::Expired(id) => {
                    log::info!("{LOG} reservation {id} expired without an order, slot released");
                }
            }
        }
    }

    /// Sends a reply to its waiter; releases a granted slot whose waiter is gone.
    fn reply(&mut self, id: SlotRequestId, reply: SlotReply, now: Millis) {
        let granted = reply.as_ref().ok().map(|grant| grant.id);
        let Some(waiter) = self.waiters.remove(&id) else { return };
        let undelivered = waiter.send(reply).is_err();
        if let Some(id) = granted
            && undelivered
        {
            let actions = self.admission.release(id, now);
            self.execute(actions, now);
        }
    }
}

/// A queued request; cancelled if it is dropped before the reply.
struct QueuedRequest<'a> {
    slots: &'a Slots,
    id: Option<SlotRequestId>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let Some(id) = self.id else { return };
        let now = self.slots.clock.now();
        let mut inner = self.slots.inner.lock();
        inner.waiters.remove(&id);
        let actions = inner.admission.cancel(id, now);
        inner.execute(actions, now);
    }
}
