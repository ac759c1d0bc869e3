//! The latest known start time of each runner.

use std::collections::HashMap;

use bulrushusher_world::RunnerId;

use crate::Born;

/// Maximum number of runners whose start is remembered. They stay after removal from the list,
/// because an entry of an earlier start may arrive late. A fleet of 2,700 runners that replaces a
/// third of them per day stays below this for weeks; beyond it all are dropped and learned again.
const MAX_RUNNERS: usize = 65_536;

/// How a reported start compares with the latest known one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartNews {
    /// It is the latest known start, or the first one reported.
    Same,
    /// It is later than the latest known start; all earlier state of the runner is invalid.
    Later,
    /// It is earlier than the latest known start and must be ignored.
    Earlier,
    /// No start is given although the runner has reported one before, so the statement is not the
    /// runner's own.
    Untold,
}

/// The latest known start of each runner that reports one.
///
/// ```
/// use bulrushusher_forward::{Born, StartNews, Starts};
/// let id = "i-1".try_into().unwrap();
/// let mut starts = Starts::default();
/// assert_eq!(starts.note(&id, Some(Born(2_000))), StartNews::Same);
/// assert_eq!(starts.note(&id, Some(Born(3_000))), StartNews::Later);
/// assert_eq!(starts.note(&id, Some(Born(2_000))), StartNews::Earlier);
/// assert_eq!(starts.note(&id, None), StartNews::Untold);
/// assert!(starts.is_past(&id, Some(Born(2_000))) && !starts.is_past(&id, Some(Born(3_000))));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Starts {
    last: HashMap<RunnerId, Born>,
}

impl Starts {
    /// Records a reported start.
    pub fn note(&mut self, id: &RunnerId, born: Option<Born>) -> StartNews {
        let known = self.last.get(id).copied();
        let Some(born) = born else {
            return if known.is_some() { StartNews::Untold } else { StartNews::Same };
        };
        if known.is_some_and(|known| born < known) {
            return StartNews::Earlier;
        }
        if self.last.len() >= MAX_RUNNERS && known.is_none() {
            self.last.clear();
        }
        self.last.insert(id.clone(), born);
        match known.is_some_and(|known| born > known) {
            true => StartNews::Later,
            false => StartNews::Same,
        }
    }

    /// True when a later start of the runner is known.
    pub fn is_past(&self, id: &RunnerId, born: Option<Born>) -> bool {
        self.last.get(id).is_some_and(|last| Some(*last) > born)
    }

    /// True while no runner has reported a start.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    /// The latest known start of a runner.
    pub fn last(&self, id: &RunnerId) -> Option<Born> {
        self.last.get(id).copied()
    }
}
