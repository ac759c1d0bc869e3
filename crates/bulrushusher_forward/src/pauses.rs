//! How long runs pause while their decode runner reads a prompt.

use crate::normal::Normal;

/// What readings at decode runners did to the other runs there.
///
/// A decode runner reads in pieces between the tokens of its runs. How much of a reading falls between
/// two events depends on the size of the pieces and the tokens of an event, which differ by engine.
/// So the longest pause seen is compared with the one that the whole reading would make; the ratio's
/// mean and spread are learned.
///
/// ```
/// use bulrushusher_forward::PauseModel;
/// let mut pauses = PauseModel::default();
/// assert!(pauses.late_share(200.0, 300.0) < 0.05);
/// assert!(pauses.late_share(500.0, 300.0) > 0.9);
/// for _ in 0..30 {
///     pauses.note(400.0, 100.0);
/// }
/// assert!(pauses.late_share(500.0, 300.0) < 0.05, "an event has a quarter of the reading");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseModel {
    ratio: Normal,
}

/// Weight of the newest reading: some seven are remembered, as runners and engines change.
const NEWEST_WEIGHT: f64 = 0.15;

/// Least spread: engines' steps and the network vary by as much.
const LEAST_VARIANCE: f64 = 0.005;

impl Default for PauseModel {
    /// Before anything was seen: nine tenths of a reading fall between two events.
    fn default() -> PauseModel {
        PauseModel { ratio: Normal { mean: 0.9, variance: 0.015 } }
    }
}

impl PauseModel {
    /// A run paused for `seen` ms during a reading that would have made `whole` ms.
    pub fn note(&mut self, whole: f64, seen: f64) {
        if whole <= 0.0 {
            return;
        }
        self.ratio.note(seen / whole, NEWEST_WEIGHT, LEAST_VARIANCE);
    }

    /// Share of the runs that pause for longer than `target` when the whole reading makes `whole`
    /// ms; none where there is no target.
    pub fn late_share(&self, whole: f64, target: f64) -> f64 {
        if target <= 0.0 || whole <= 0.0 {
            return 0.0;
        }
        self.ratio.share_above(target / whole)
    }
}
