//! The latest known start time of each runner.

use std::collections::HashMap;

use bulrushusher_world::RunnerId;

use crate::StartTime;

/// Maximum number of runners whose start is remembered. They stay after removal from the list,
/// because an entry of an earlier start may arrive late. A fleet of 2,700 runners that replaces a
/// third of them per day stays below this for weeks; beyond it all are dropped and learned again.
const MAX_RUNNERS: usize = 65_536;

/// How a reported start compares with the latest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartStatus {
    /// It is the latest known start or the first one reported, or the runner never reported one.
    Current,
    /// It is later than the latest known start; all earlier state of the runner is invalid.
    Newer,
    /// It is earlier than the latest known start and must be ignored.
    Stale,
    /// No start is given although the runner has reported one before, so the statement is not the
    /// runner's own.
    Missing,
}

/// The latest known start of each runner that reports one.
///
/// ```
/// use bulrushusher_forward::{StartTime, StartStatus, StartTimes};
/// let id = "i-1".try_into().unwrap();
/// let mut starts = StartTimes::default();
/// assert_eq!(starts.record(&id, Some(StartTime(2_000))), StartStatus::Current);
/// assert_eq!(starts.record(&id, Some(StartTime(3_000))), StartStatus::Newer);
/// assert_eq!(starts.record(&id, Some(StartTime(2_000))), StartStatus::Stale);
/// assert_eq!(starts.record(&id, None), StartStatus::Missing);
/// assert!(starts.is_superseded(&id, Some(StartTime(2_000))));
/// assert!(!starts.is_superseded(&id, Some(StartTime(3_000))));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    latest: HashMap<RunnerId, StartTime>,
}

impl StartTimes {
    /// Records a reported start.
    pub fn record(&mut self, id: &RunnerId, born: Option<StartTime>) -> StartStatus {
        let known = self.latest.get(id).copied();
        let Some(born) = born else {
            return if known.is_some() { StartStatus::Missing } else { StartStatus::Current };
        };
        if known.is_some_and(|known| born < known) {
            return StartStatus::Stale;
        }
        if self.latest.len() >= MAX_RUNNERS && known.is_none() {
            self.latest.clear();
        }
        self.latest.insert(id.clone(), born);
        match known.is_some_and(|known| born > known) {
            true => StartStatus::Newer,
            false => StartStatus::Current,
        }
    }

    /// True when a later start of the runner is known.
    pub fn is_superseded(&self, id: &RunnerId, born: Option<StartTime>) -> bool {
        self.latest.get(id).is_some_and(|latest| Some(*latest) > born)
    }

    /// True while no runner has reported a start.
    pub fn is_empty(&self) -> bool {
        self.latest.is_empty()
    }

    /// The latest known start of a runner.
    pub fn latest(&self, id: &RunnerId) -> Option<StartTime> {
        self.latest.get(id).copied()
    }
}
