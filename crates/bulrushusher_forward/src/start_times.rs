//! The latest known start of each runner.
//!
//! A start time is read from the clock of the runner's machine, which may be set back between two
//! starts. It tells starts apart and does not order them. The order comes from the store: of two
//! entries of a runner, the one with the higher revision is later.

use std::collections::HashMap;

use bulrushusher_world::RunnerId;

use crate::StartTime;

/// Maximum number of runners whose start is remembered. They stay after removal from the list,
/// because an entry of an earlier start may arrive late. A fleet of 2,700 runners that replaces a
/// third of them per day stays below this for weeks; beyond it all are dropped and learned again.
const MAX_RUNNERS: usize = 65_536;

/// Number of past starts that are remembered of each runner. Statements are late by seconds, in
/// which a runner starts a few times at most.
const MAX_PAST: usize = 8;

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

/// What is known of one runner.
#[derive(Clone, Debug)]
struct KnownStart {
    latest: StartTime,
    /// Revision of the latest entry; 0 if no entry had one.
    revision: u64,
    /// Starts before the latest one, oldest first.
    past: Vec<StartTime>,
}

/// The latest known start of each runner that reports one.
///
/// ```
/// use bulrushusher_forward::{StartTime, StartStatus, StartTimes};
/// let id = "i-1".try_into().unwrap();
/// let mut starts = StartTimes::default();
/// assert_eq!(starts.record_entry(&id, Some(StartTime(3_000)), 7), StartStatus::Current);
/// // The clock of the runner's machine was set back before its next start.
/// assert_eq!(starts.record_entry(&id, Some(StartTime(2_000)), 9), StartStatus::Newer);
/// assert_eq!(starts.record_entry(&id, Some(StartTime(3_000)), 7), StartStatus::Stale);
/// assert_eq!(starts.record_entry(&id, None, 10), StartStatus::Missing);
/// assert!(starts.is_superseded(&id, Some(StartTime(3_000))));
/// assert!(!starts.is_superseded(&id, Some(StartTime(2_000))));
/// ```
#[derive(Clone, Debug, Default)]
pub struct StartTimes {
    known: HashMap<RunnerId, KnownStart>,
}

impl StartTimes {
    /// Records the start in an entry that was written at `revision`; 0 if that is not known.
    pub fn record_entry(
        &mut self,
        id: &RunnerId,
        born: Option<StartTime>,
        revision: u64,
    ) -> StartStatus {
        let is_later = self.known.get(id).is_none_or(|known| revision > known.revision);
        let status = match self.compare(id, born) {
            // A later entry decides, also against what the runner has reported itself.
            StartStatus::Stale | StartStatus::Newer if is_later => StartStatus::Newer,
            // The runner has reported another start since it wrote this entry.
            StartStatus::Newer if revision > 0 => StartStatus::Stale,
            status => status,
        };
        self.apply(id, born, status);
        if let Some(known) = self.known.get_mut(id).filter(|it| Some(it.latest) == born) {
            known.revision = known.revision.max(revision);
        }
        status
    }

    /// Records a start that the runner reported itself, which has no place in the order of entries:
    /// it is later than the known one unless it is known to be an earlier one.
    pub fn record_own(&mut self, id: &RunnerId, born: Option<StartTime>) -> StartStatus {
        let status = self.compare(id, born);
        self.apply(id, born, status);
        status
    }

    /// Sets the latest start, which another table has determined.
    pub fn set(&mut self, id: &RunnerId, born: StartTime) -> StartStatus {
        let status = match self.compare(id, Some(born)) {
            StartStatus::Stale => StartStatus::Newer,
            status => status,
        };
        self.apply(id, Some(born), status);
        status
    }

    fn compare(&self, id: &RunnerId, born: Option<StartTime>) -> StartStatus {
        match (self.known.get(id), born) {
            (None, _) => StartStatus::Current,
            (Some(_), None) => StartStatus::Missing,
            (Some(known), Some(born)) if known.latest == born => StartStatus::Current,
            (Some(known), Some(born)) if known.past.contains(&born) => StartStatus::Stale,
            (Some(_), Some(_)) => StartStatus::Newer,
        }
    }

    fn apply(&mut self, id: &RunnerId, born: Option<StartTime>, status: StartStatus) {
        let Some(born) = born else { return };
        match (status, self.known.get_mut(id)) {
            (StartStatus::Newer, Some(known)) => {
                known.past.retain(|past| *past != born);
                known.past.push(known.latest);
                if known.past.len() > MAX_PAST {
                    known.past.remove(0);
                }
                known.latest = born;
            }
            (StartStatus::Current, None) => {
                if self.known.len() >= MAX_RUNNERS {
                    self.known.clear();
                }
                let known = KnownStart { latest: born, revision: 0, past: Vec::new() };
                self.known.insert(id.clone(), known);
            }
            _ => {}
        }
    }

    /// True when another start of the runner is known to be the latest. For state of this gateway,
    /// which concerns a start that was the latest once.
    pub fn is_superseded(&self, id: &RunnerId, born: Option<StartTime>) -> bool {
        self.known.get(id).is_some_and(|known| Some(known.latest) != born)
    }

    /// True when the start is known to be an earlier one. For statements of other gateways, which may
    /// know a later start than this one does.
    pub fn is_past(&self, id: &RunnerId, born: Option<StartTime>) -> bool {
        matches!(self.compare(id, born), StartStatus::Stale | StartStatus::Missing)
    }

    /// True while no runner has reported a start.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The latest known start of a runner.
    pub fn latest(&self, id: &RunnerId) -> Option<StartTime> {
        self.known.get(id).map(|known| known.latest)
    }
}
