//! When a needed stage change is due.
//!
//! Each region's ratio is timed by itself: with one time for all of them, short deviations in turn
//! in several regions would look like one that persists.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RegionName;

use crate::StageChange;

/// Further orders follow one at once within this time: a ratio that is off by two has been off for
/// as long.
const FOLLOW_UP_WINDOW: Millis = Millis(3_000);

/// A deviation that begins within this time after the gateway learned of an evacuation is caused by
/// it, and is corrected at once. The ratio is checked more often than this.
const EVACUATION_WINDOW: Millis = Millis(2_000);

/// The last order that was sent.
#[derive(Clone, Debug)]
struct LastOrder {
    at: Millis,
    region: Option<RegionName>,
    /// Regions whose ratio was off at this time already may follow as well.
    others_since: Option<Millis>,
}

/// Since when the ratios of a service's regions have been off.
///
/// ```
/// use bulrushusher_forward::{Runner, Stage, StageChange, StagePacing};
/// use bulrushusher_time::Millis;
/// let runner = Runner {
///     id: "i-1".try_into().unwrap(),
///     born: None,
///     service: "llm".try_into().unwrap(),
///     address: ([10, 0, 0, 1], 8_000).into(),
///     data_centre: "ba-ruzinov".try_into().unwrap(),
///     slots: 64,
///     stage: Some(Stage::Prefill),
///     leaving: false,
///     cold_for: Millis(0),
///     revision: 0,
///     version: "v1".into(),
/// };
/// let change = StageChange { runner, stage: Stage::Decode, region: None };
/// let mut pacing = StagePacing::new(Millis(8_000));
/// pacing.update(std::slice::from_ref(&change), Millis(0));
/// assert!(!pacing.is_due(&change, false, Millis(7_900)));
/// assert!(pacing.is_due(&change, false, Millis(8_000)));
/// assert!(pacing.is_due(&change, true, Millis(0)), "no order was ever sent");
/// ```
#[derive(Clone, Debug)]
pub struct StagePacing {
    /// How long a deviation must persist.
    min_time: Millis,
    since: BTreeMap<Option<RegionName>, Millis>,
    last_order: Option<LastOrder>,
    last_evacuation: Option<Millis>,
}

impl StagePacing {
    /// Creates the state of a gateway that has seen no deviation yet. A change is due after
    /// `min_time`.
    pub fn new(min_time: Millis) -> StagePacing {
        StagePacing { min_time, since: BTreeMap::new(), last_order: None, last_evacuation: None }
    }

    /// Sets the time for which a deviation must persist.
    pub fn set_min_time(&mut self, min_time: Millis) {
        self.min_time = min_time;
    }

    /// Sets when the gateway last learned of an evacuated data centre.
    pub fn set_last_evacuation(&mut self, at: Option<Millis>) {
        self.last_evacuation = at;
    }

    /// Records the changes that are needed now.
    pub fn update(&mut self, changes: &[StageChange], now: Millis) {
        self.since.retain(|region, _| changes.iter().any(|change| change.region == *region));
        for change in changes {
            self.since.entry(change.region.clone()).or_insert(now);
        }
    }

    /// True if the change may be ordered now; `is_first` if the service never had an order.
    pub fn is_due(&self, change: &StageChange, is_first: bool, now: Millis) -> bool {
        let Some(since) = self.since.get(&change.region).copied() else { return false };
        let is_evacuation =
            self.last_evacuation.is_some_and(|at| since < at.plus(EVACUATION_WINDOW));
        is_first
            || is_evacuation
            || now.since(since) >= self.min_time
            || self.follows(change, since, now)
    }

    fn follows(&self, change: &StageChange, since: Millis, now: Millis) -> bool {
        let Some(last) = &self.last_order else { return false };
        let may_follow =
            last.region == change.region || last.others_since.is_some_and(|others| since <= others);
        may_follow && now.since(last.at) < FOLLOW_UP_WINDOW
    }

    /// Records that the change is ordered now. After the first order of a service, those of the
    /// other regions follow at once.
    pub fn record_order(&mut self, change: &StageChange, is_first: bool, now: Millis) {
        let follows_first = self
            .last_order
            .as_ref()
            .filter(|last| last.others_since.is_some() && now.since(last.at) < FOLLOW_UP_WINDOW);
        let others_since = match follows_first {
            Some(last) => last.others_since,
            None => is_first.then_some(now),
        };
        self.last_order = Some(LastOrder { at: now, region: change.region.clone(), others_since });
    }
}
