//! One gateway's record of a runner that may be cold, and of its sends to it.

use std::collections::{HashMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;

use crate::places::cold_share::ColdShare;
use crate::{ColdSpec, Runner, StartTime};

/// Span in which the sends to a cold runner are limited. It exceeds a second by the difference in
/// delivery time that is usual between two requests of one gateway.
pub(super) const WINDOW: Millis = Millis(1_100);

/// Time for which a runner counts as cold after its own statement, for the delay of its entry and
/// for clocks that run at different rates.
pub(super) const COLD_MARGIN: Millis = Millis(500);

/// Time after which an acquired permit that was not used lapses. Holds on memory, the longest use,
/// last up to two seconds.
pub(super) const PERMIT_TTL: Millis = Millis(3_000);

/// Services whose runners start cold.
pub(super) type Services = HashMap<ServiceName, (ColdSpec, ColdShare)>;

/// What is known of one runner, and what was sent to it.
#[derive(Clone, Debug)]
pub(super) struct RunnerState {
    pub service: ServiceName,
    pub born: Option<StartTime>,
    /// Revision of the last entry.
    pub revision: u64,
    pub cold_until: Millis,
    /// When a start was first known here that had begun recently. It is cold for at least the time
    /// that the configuration states, as its own statement may be too short.
    pub started_at: Option<Millis>,
    /// True while this gateway is among those that may send to the cold runner.
    pub is_sharer: bool,
    /// Times of the latest sends, also those while it was warm.
    pub sends: VecDeque<Millis>,
    /// Times at which permits were acquired that are not used yet.
    pub acquired: VecDeque<Millis>,
    /// True from the report that it is cold to the report that it is warm.
    pub is_reported_cold: bool,
}

impl RunnerState {
    /// A warm runner, to which nothing was sent yet.
    pub fn new(runner: &Runner) -> RunnerState {
        RunnerState {
            service: runner.service.clone(),
            born: runner.born,
            revision: 0,
            cold_until: Millis(0),
            started_at: None,
            is_sharer: false,
            sends: VecDeque::new(),
            acquired: VecDeque::new(),
            is_reported_cold: false,
        }
    }

    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.cold_until
    }

    /// Applies the time for which a started runner is cold.
    pub fn apply_duration(&mut self, services: &Services) {
        if let (Some(at), Some((spec, _))) = (self.started_at, services.get(&self.service)) {
            self.cold_until = self.cold_until.max(at.plus(spec.duration).plus(COLD_MARGIN));
        }
    }

    pub fn recent_sends(&self, now: Millis) -> usize {
        count_since(&self.sends, WINDOW, now)
    }

    /// Sends in the window, and permits that are acquired and not used.
    pub fn used(&self, now: Millis) -> usize {
        self.recent_sends(now) + count_since(&self.acquired, PERMIT_TTL, now)
    }

    pub fn drop_expired(&mut self, now: Millis) {
        drop_older(&mut self.sends, WINDOW, now);
        drop_older(&mut self.acquired, PERMIT_TTL, now);
    }
}

fn count_since(times: &VecDeque<Millis>, span: Millis, now: Millis) -> usize {
    times.iter().rev().take_while(|at| now.since(**at) < span).count()
}

fn drop_older(times: &mut VecDeque<Millis>, span: Millis, now: Millis) {
    while times.front().is_some_and(|at| now.since(*at) >= span) {
        times.pop_front();
    }
}
