//! Concurrency slots with a bounded queue in deadline order, and reservations that expire.

use std::collections::{BTreeMap, HashMap};

use bulrushusher_time::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Refusal;

/// Identifies a queued slot request. Chosen by the caller of the controller.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SlotRequestId(pub u64);

/// Identifies a granted slot. A controller never reuses one.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReservationId(pub u64);

/// Limits of an admission controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Number of slots: requests that may be in flight at once.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub max_queued: usize,
    /// Time within which a granted reservation must be started.
    pub time_to_live: Millis,
}

impl Default for AdmissionConfig {
    fn default() -> AdmissionConfig {
        AdmissionConfig { slots: 20, max_queued: 512, time_to_live: Millis(2_000) }
    }
}

/// A request for a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Identifies the request.
    pub id: SlotRequestId,
    /// Time by which the work should start to meet its latency target; the earliest is served
    /// first.
    pub start_by: Millis,
    /// Replaces `start_by` in the queue order once that has passed and the target is missed, so
    /// that requests that can still meet their targets go first. Not before `start_by`.
    pub late_start_by: Millis,
    /// Time at which the request is refused if it is still queued.
    pub wait_until: Millis,
}

/// A granted slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Identifies the reservation; the order has to include it.
    pub id: ReservationId,
    /// Time at which the reservation expires unless it was started, on the controller's clock.
    #[serde(rename = "lapses")]
    pub expires_at: Millis,
}

/// Action for the agent to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionAction {
    /// Send the grant to the requester.
    Grant(SlotRequestId, Grant),
    /// Send the refusal to the requester.
    Refuse(SlotRequestId, Refusal),
    /// A reservation expired before it was started, and its slot was freed. For logging only.
    Expired(ReservationId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    Reserved { expires_at: Millis },
    Started { since: Millis },
}

impl SlotState {
    fn is_expired(self, now: Millis) -> bool {
        matches!(self, SlotState::Reserved { expires_at } if expires_at <= now)
    }
}

/// Upper limit of a single backoff; an endpoint that needs longer can request it again.
const MAX_BACKOFF: Millis = Millis(600_000);

/// Assumed time for which a slot is held, in milliseconds, until the first one is measured.
const INITIAL_HOLD_MS: f64 = 100.0;

/// Grants a limited number of concurrency slots to requests, in deadline order.
///
/// ```
/// use bulrushusher_admission::{
///     AdmissionAction, AdmissionConfig, AdmissionController, SlotRequest, SlotRequestId,
/// };
/// use bulrushusher_time::Millis;
/// let cfg = AdmissionConfig { slots: 1, ..AdmissionConfig::default() };
/// let mut controller = AdmissionController::new(cfg);
/// let request = |n| SlotRequest {
///     id: SlotRequestId(n),
///     start_by: Millis(100),
///     late_start_by: Millis(500),
///     wait_until: Millis(50),
/// };
/// let actions = controller.request(request(1), Millis(0));
/// assert!(matches!(actions[0], AdmissionAction::Grant(SlotRequestId(1), _)));
/// assert!(controller.request(request(2), Millis(0)).is_empty(), "the second request is queued");
/// assert!(matches!(controller.tick(Millis(50))[0], AdmissionAction::Refuse(SlotRequestId(2), _)));
/// ```
#[derive(Debug)]
pub struct AdmissionController {
    cfg: AdmissionConfig,
    held: HashMap<ReservationId, SlotState>,
    /// Ordered by the current start deadline, then by arrival.
    queue: BTreeMap<(Millis, u64), SlotRequest>,
    next_reservation: u64,
    next_arrival: u64,
    is_draining: bool,
    /// No slot is granted before this time.
    backoff_until: Millis,
    /// Moving average of the time for which slots are held, in milliseconds.
    mean_hold_ms: f64,
}

impl AdmissionController {
    /// Creates a controller with all slots free.
    pub fn new(cfg: AdmissionConfig) -> AdmissionController {
        AdmissionController {
            cfg,
            held: HashMap::new(),
            queue: BTreeMap::new(),
            next_reservation: 1,
            next_arrival: 0,
            is_draining: false,
            backoff_until: Millis(0),
            mean_hold_ms: INITIAL_HOLD_MS,
        }
    }

    /// Handles a request for a slot: grants, queues or refuses it.
    pub fn request(&mut self, request: SlotRequest, now: Millis) -> Vec<AdmissionAction> {
        if self.is_draining {
            return vec![AdmissionAction::Refuse(request.id, Refusal::Leaving)];
        }
        if self.queue.len() >= self.cfg.max_queued {
            return vec![AdmissionAction::Refuse(request.id, self.full(now))];
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.queue.insert((request.start_by, arrival), request);
        let mut actions = self.expire_reservations(now);
        self.demote_late(now);
        self.grant_free(now, &mut actions);
        self.refuse_overdue(now, &mut actions);
        actions
    }

    /// Removes the queued request of a requester that has gone. A slot that was already granted has
    /// to be freed with [`AdmissionController::release`].
    pub fn cancel(&mut self, id: SlotRequestId, now: Millis) -> Vec<AdmissionAction> {
        self.queue.retain(|_, queued| queued.id != id);
        self.tick(now)
    }

    /// Starts the work of a granted reservation.
    ///
    /// # Errors
    /// [`Refusal::NoReservation`] when the reservation has expired, was already started or never
    /// existed, or during a backoff; a reservation that is refused during a backoff is dropped.
    pub fn start(&mut self, id: ReservationId, now: Millis) -> Result<(), Refusal> {
        if now < self.backoff_until {
            let is_started = |state: &SlotState| matches!(state, SlotState::Started { .. });
            self.held.retain(|held, state| *held != id || is_started(state));
            return Err(Refusal::NoReservation);
        }
        match self.held.get_mut(&id) {
            Some(state @ SlotState::Reserved { .. }) if !state.is_expired(now) => {
                *state = SlotState::Started { since: now };
                Ok(())
            }
            Some(SlotState::Reserved { .. } | SlotState::Started { .. }) | None => {
                Err(Refusal::NoReservation)
            }
        }
    }

    /// Frees a slot whose work has ended, or whose reservation the requester has given up.
    pub fn release(&mut self, id: ReservationId, now: Millis) -> Vec<AdmissionAction> {
        if let Some(SlotState::Started { since }) = self.held.remove(&id) {
            self.record_hold(now.since(since));
        }
        self.tick(now)
    }

    /// Expires old reservations, refuses requests that have waited too long, and grants free slots.
    pub fn tick(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let mut actions = self.expire_reservations(now);
        self.refuse_overdue(now, &mut actions);
        self.demote_late(now);
        self.grant_free(now, &mut actions);
        actions
    }

    /// Starts draining, or accepts new work again. Draining refuses new and queued requests;
    /// granted reservations and started work are kept.
    pub fn set_draining(&mut self, is_draining: bool) -> Vec<AdmissionAction> {
        self.is_draining = is_draining;
        if !is_draining {
            return Vec::new();
        }
        let refuse = |queued: SlotRequest| AdmissionAction::Refuse(queued.id, Refusal::Leaving);
        std::mem::take(&mut self.queue).into_values().map(refuse).collect()
    }

    /// Grants no slot for `duration`, because the endpoint has refused work and asked for a
    /// backoff. A new backoff never shortens one that is already in effect. The duration is limited
    /// to 10 minutes.
    ///
    /// ```
    /// use bulrushusher_admission::{
    ///     AdmissionAction, AdmissionConfig, AdmissionController, SlotRequest, SlotRequestId,
    /// };
    /// use bulrushusher_time::Millis;
    /// let mut controller = AdmissionController::new(AdmissionConfig::default());
    /// controller.back_off(Millis(300), Millis(0));
    /// let request = SlotRequest {
    ///     id: SlotRequestId(1),
    ///     start_by: Millis(100),
    ///     late_start_by: Millis(500),
    ///     wait_until: Millis(900),
    /// };
    /// assert!(controller.request(request, Millis(0)).is_empty(), "the request is queued");
    /// assert_eq!(controller.expected_wait(Millis(100)), Millis(200));
    /// let actions = controller.tick(Millis(300));
    /// assert!(matches!(actions[0], AdmissionAction::Grant(SlotRequestId(1), _)));
    /// ```
    pub fn back_off(&mut self, duration: Millis, now: Millis) {
        let until = now.plus(duration.min(MAX_BACKOFF));
        self.backoff_until = self.backoff_until.max(until);
    }

    /// True while new work is refused.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Number of slots in use, reserved or started.
    pub fn used(&self) -> usize {
        self.held.len()
    }

    /// Number of slots whose work has started.
    pub fn started(&self) -> usize {
        self.held.values().filter(|state| matches!(state, SlotState::Started { .. })).count()
    }

    /// Total number of slots.
    pub fn slots(&self) -> usize {
        self.cfg.slots
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Expected queueing time of a request that arrives now: the mean time for which a slot is
    /// held, times the number of rounds ahead of it, but at least the remaining backoff.
    pub fn expected_wait(&self, now: Millis) -> Millis {
        let backoff = self.backoff_until.since(now);
        if self.held.len() < self.cfg.slots {
            return backoff;
        }
        let rounds = (self.queue.len() + 1) as f64 / self.cfg.slots.max(1) as f64;
        Millis((self.mean_hold_ms * rounds) as u64).max(backoff)
    }

    fn record_hold(&mut self, duration: Millis) {
        const WEIGHT: f64 = 0.1;
        self.mean_hold_ms += WEIGHT * (duration.0 as f64 - self.mean_hold_ms);
    }

    fn full(&self, now: Millis) -> Refusal {
        Refusal::Full { retry_after: self.expected_wait(now).max(Millis(1)) }
    }

    fn expire_reservations(&mut self, now: Millis) -> Vec<AdmissionAction> {
        let expired = self.held.iter().filter(|(_, state)| state.is_expired(now));
        let mut ids: Vec<ReservationId> = expired.map(|(id, _)| *id).collect();
        ids.sort_unstable();
        for id in &ids {
            self.held.remove(id);
        }
        ids.into_iter().map(AdmissionAction::Expired).collect()
    }

    fn refuse_overdue(&mut self, now: Millis, actions: &mut Vec<AdmissionAction>) {
        let full = self.full(now);
        self.queue.retain(|_, queued| {
            if queued.wait_until > now {
                return true;
            }
            actions.push(AdmissionAction::Refuse(queued.id, full.clone()));
            false
        });
    }

    /// Moves requests that have missed their targets behind those that can still meet theirs.
    fn demote_late(&mut self, now: Millis) {
        while let Some(entry) = self.queue.first_entry() {
            let ((start_by, arrival), queued) = (*entry.key(), *entry.get());
            if start_by >= now || start_by >= queued.late_start_by {
                return;
            }
            entry.remove();
            self.queue.insert((queued.late_start_by, arrival), queued);
        }
    }

    fn grant_free(&mut self, now: Millis, actions: &mut Vec<AdmissionAction>) {
        while now >= self.backoff_until && self.held.len() < self.cfg.slots {
            let Some((_, queued)) = self.queue.pop_first() else { return };
            let id = ReservationId(self.next_reservation);
            self.next_reservation += 1;
            let expires_at = now.plus(self.cfg.time_to_live);
            self.held.insert(id, SlotState::Reserved { expires_at });
            actions.push(AdmissionAction::Grant(queued.id, Grant { id, expires_at }));
        }
    }
}
