//! The gate: a bounded number of places, a bounded queue ordered by urgency, grants that lapse.

use std::collections::{BTreeMap, HashMap};

use bulrushusher_time::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::Refusal;

/// Names one request for a place, for as long as it waits. Chosen by the caller of the gate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AskId(pub u64);

/// Names one grant, never used twice by one gate.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ReservationId(pub u64);

/// Bounds of a gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateConfig {
    /// Requests that may hold a place at once.
    pub places: usize,
    /// Requests that may wait for a place.
    pub queue_bound: usize,
    /// How long a grant waits for its order.
    pub time_to_live: Millis,
}

impl Default for GateConfig {
    fn default() -> GateConfig {
        GateConfig { places: 20, queue_bound: 512, time_to_live: Millis(2_000) }
    }
}

/// A request for a place.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Who asks.
    pub id: AskId,
    /// When the work should have started to meet its target; the earliest is served first.
    pub start_by: Millis,
    /// The same once `start_by` has passed: the target is missed, and what can still meet its own
    /// goes first. Not before `start_by`.
    pub late_by: Millis,
    /// When the asker stops waiting.
    pub give_up: Millis,
}

/// A place held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The reservation to name in the order.
    pub id: ReservationId,
    /// When it lapses unless started, on the gate's clock.
    pub lapses: Millis,
}

/// What the agent has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum GateAction {
    /// Tell the asker that it has a place.
    Grant(AskId, Grant),
    /// Tell the asker that it has none.
    Refuse(AskId, Refusal),
    /// A grant lapsed before its order came; its place is free again.
    Lapsed(ReservationId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    Waiting { lapses: Millis },
    Started { since: Millis },
}

impl Held {
    fn has_lapsed(self, now: Millis) -> bool {
        matches!(self, Held::Waiting { lapses } if lapses <= now)
    }
}

/// Longest backoff that is granted at once; an endpoint that wants more says so again.
const LONGEST_BACKOFF: Millis = Millis(600_000);

/// Time that a place is taken to be held before any was given back, in milliseconds.
const FIRST_HOLD_MS: f64 = 100.0;

/// Decides who holds a place.
///
/// ```
/// use bulrushusher_admission::{Ask, AskId, Gate, GateAction, GateConfig};
/// use bulrushusher_time::Millis;
/// let mut gate = Gate::new(GateConfig { places: 1, ..GateConfig::default() });
/// let ask = |n| Ask {
///     id: AskId(n), start_by: Millis(100), late_by: Millis(500), give_up: Millis(50),
/// };
/// let actions = gate.ask(ask(1), Millis(0));
/// assert!(matches!(actions[0], GateAction::Grant(AskId(1), _)));
/// assert!(gate.ask(ask(2), Millis(0)).is_empty(), "the second waits");
/// assert!(matches!(gate.tick(Millis(50))[0], GateAction::Refuse(AskId(2), _)));
/// ```
#[derive(Debug)]
pub struct Gate {
    cfg: GateConfig,
    held: HashMap<ReservationId, Held>,
    queue: BTreeMap<(Millis, u64), Ask>,
    next_reservation: u64,
    next_arrival: u64,
    leaving: bool,
    /// The endpoint wants no work before.
    backs_off_until: Millis,
    /// Mean time that a place was held, in milliseconds.
    hold_ms: f64,
}

impl Gate {
    /// A gate with all places free.
    pub fn new(cfg: GateConfig) -> Gate {
        Gate {
            cfg,
            held: HashMap::new(),
            queue: BTreeMap::new(),
            next_reservation: 1,
            next_arrival: 0,
            leaving: false,
            backs_off_until: Millis(0),
            hold_ms: FIRST_HOLD_MS,
        }
    }

    /// Takes a request for a place: grants, queues or refuses it.
    pub fn ask(&mut self, ask: Ask, now: Millis) -> Vec<GateAction> {
        if self.leaving {
            return vec![GateAction::Refuse(ask.id, Refusal::Leaving)];
        }
        if self.queue.len() >= self.cfg.queue_bound {
            return vec![GateAction::Refuse(ask.id, self.full(now))];
        }
        let arrival = self.next_arrival;
        self.next_arrival += 1;
        self.queue.insert((ask.start_by, arrival), ask);
        let mut actions = self.lapse(now);
        self.yield_late(now);
        self.grant_free(now, &mut actions);
        self.refuse_late(now, &mut actions);
        actions
    }

    /// The asker is gone; frees what it had asked for, waiting or granted but not started.
    pub fn withdraw(&mut self, ask: AskId, now: Millis) -> Vec<GateAction> {
        self.queue.retain(|_, waiting| waiting.id != ask);
        self.tick(now)
    }

    /// The order for a grant came.
    ///
    /// # Errors
    /// [`Refusal::NoReservation`] when the grant lapsed, was used already or never was, or when the endpoint
    /// has asked for a backoff since.
    pub fn start(&mut self, id: ReservationId, now: Millis) -> Result<(), Refusal> {
        if now < self.backs_off_until {
            self.held.retain(|held, state| *held != id || matches!(state, Held::Started { .. }));
            return Err(Refusal::NoReservation);
        }
        match self.held.get_mut(&id) {
            Some(held @ Held::Waiting { .. }) if !held.has_lapsed(now) => {
                *held = Held::Started { since: now };
                Ok(())
            }
            Some(Held::Waiting { .. } | Held::Started { .. }) | None => Err(Refusal::NoReservation),
        }
    }

    /// The work of a grant ended, or the asker gave the grant back.
    pub fn finish(&mut self, id: ReservationId, now: Millis) -> Vec<GateAction> {
        if let Some(Held::Started { since }) = self.held.remove(&id) {
            self.learn_hold(now.since(since));
        }
        self.tick(now)
    }

    /// Lapses old grants, refuses those who waited long enough, grants free places.
    pub fn tick(&mut self, now: Millis) -> Vec<GateAction> {
        let mut actions = self.lapse(now);
        self.refuse_late(now, &mut actions);
        self.yield_late(now);
        self.grant_free(now, &mut actions);
        actions
    }

    /// Takes no new work from now on (or takes it again). Those who wait are refused.
    pub fn set_leaving(&mut self, leaving: bool) -> Vec<GateAction> {
        self.leaving = leaving;
        if !leaving {
            return Vec::new();
        }
        let waiting = std::mem::take(&mut self.queue);
        waiting.into_values().map(|ask| GateAction::Refuse(ask.id, Refusal::Leaving)).collect()
    }

    /// The endpoint has refused work and wants none for that long: no place is granted before. A shorter time
    /// does not cut a longer one.
    ///
    /// ```
    /// use bulrushusher_admission::{Ask, AskId, Gate, GateAction, GateConfig};
    /// use bulrushusher_time::Millis;
    /// let mut gate = Gate::new(GateConfig::default());
    /// gate.back_off(Millis(300), Millis(0));
    /// let ask = Ask {
    ///     id: AskId(1), start_by: Millis(100), late_by: Millis(500), give_up: Millis(900),
    /// };
    /// assert!(gate.ask(ask, Millis(0)).is_empty(), "it waits");
    /// assert_eq!(gate.expected_wait(Millis(100)), Millis(200));
    /// assert!(matches!(gate.tick(Millis(300))[0], GateAction::Grant(AskId(1), _)));
    /// ```
    pub fn back_off(&mut self, length: Millis, now: Millis) {
        let until = now.plus(length.min(LONGEST_BACKOFF));
        self.backs_off_until = self.backs_off_until.max(until);
    }

    /// True when the gate takes no new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Places held, started or not.
    pub fn used(&self) -> usize {
        self.held.len()
    }

    /// Places held and started.
    pub fn started(&self) -> usize {
        self.held.values().filter(|held| matches!(held, Held::Started { .. })).count()
    }

    /// Places in all.
    pub fn places(&self) -> usize {
        self.cfg.places
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The expected wait of a request that comes now: the endpoint's backoff, and the mean time a place was held
    /// for each turn that goes before.
    pub fn expected_wait(&self, now: Millis) -> Millis {
        let backoff = self.backs_off_until.since(now);
        if self.held.len() < self.cfg.places {
            return backoff;
        }
        let turns = (self.queue.len() + 1) as f64 / self.cfg.places.max(1) as f64;
        Millis((self.hold_ms * turns) as u64).max(backoff)
    }

    fn learn_hold(&mut self, length: Millis) {
        const WEIGHT: f64 = 0.1;
        self.hold_ms += WEIGHT * (length.0 as f64 - self.hold_ms);
    }

    fn full(&self, now: Millis) -> Refusal {
        Refusal::Full { retry_after: self.expected_wait(now).max(Millis(1)) }
    }

    fn lapse(&mut self, now: Millis) -> Vec<GateAction> {
        let lapsed = self.held.iter().filter(|(_, held)| held.has_lapsed(now));
        let mut old: Vec<ReservationId> = lapsed.map(|(id, _)| *id).collect();
        old.sort_unstable();
        for id in &old {
            self.held.remove(id);
        }
        old.into_iter().map(GateAction::Lapsed).collect()
    }

    fn refuse_late(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        let full = self.full(now);
        self.queue.retain(|_, ask| {
            if ask.give_up > now {
                return true;
            }
            actions.push(GateAction::Refuse(ask.id, full.clone()));
            false
        });
    }

    /// Puts those whose target is missed behind those who can still meet theirs.
    fn yield_late(&mut self, now: Millis) {
        while let Some(entry) = self.queue.first_entry() {
            let ((by, arrival), ask) = (*entry.key(), *entry.get());
            if by >= now || by >= ask.late_by {
                return;
            }
            entry.remove();
            self.queue.insert((ask.late_by, arrival), ask);
        }
    }

    fn grant_free(&mut self, now: Millis, actions: &mut Vec<GateAction>) {
        while now >= self.backs_off_until && self.held.len() < self.cfg.places {
            let Some((_, ask)) = self.queue.pop_first() else { return };
            let id = ReservationId(self.next_reservation);
            self.next_reservation += 1;
            let lapses = now.plus(self.cfg.time_to_live);
            self.held.insert(id, Held::Waiting { lapses });
            actions.push(GateAction::Grant(ask.id, Grant { id, lapses }));
        }
    }
}
