//! Which start of each runner is the last one that is known.

use std::collections::HashMap;

use bulrushusher_world::RunnerId;

use crate::Born;

/// Runners whose last start is remembered, also when they are no longer listed: an entry of an
/// earlier start may come late. A fleet of 2,700 runners of which a third is replaced in a day
/// stays below it for weeks; beyond, all are forgotten at once and learned anew.
const MOST_REMEMBERED: usize = 65_536;

/// What is learned of a runner's start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartNews {
    /// The start that is known, or the first that is heard of.
    Same,
    /// A later start than the one known: what is believed of the runner is void.
    Later,
    /// An earlier start than the one known; it must change nothing.
    Earlier,
    /// No start, of a runner that has told one before: these are not its own words.
    Untold,
}

/// The last known start of each runner that tells one.
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
    /// Takes in what was said of a runner's start.
    pub fn note(&mut self, id: &RunnerId, born: Option<Born>) -> StartNews {
        let known = self.last.get(id).copied();
        let Some(born) = born else {
            return if known.is_some() { StartNews::Untold } else { StartNews::Same };
        };
        if known.is_some_and(|known| born < known) {
            return StartNews::Earlier;
        }
        if self.last.len() >= MOST_REMEMBERED && known.is_none() {
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

    /// True while no runner has told a start.
    pub fn is_empty(&self) -> bool {
        self.last.is_empty()
    }

    /// The last known start of a runner.
    pub fn last(&self, id: &RunnerId) -> Option<Born> {
        self.last.get(id).copied()
    }
}
