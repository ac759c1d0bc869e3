//! Pauses of runs while their decode runner prefills a prompt.

use crate::normal::Normal;

/// Model of the pauses that prefills at decode runners cause for the other runs there.
///
/// A decode runner prefills in chunks between the tokens of its runs. The part of a prefill that
/// falls between two events depends on the chunk size and the tokens per event, which differ by
/// engine. The model therefore learns the mean and variance of the ratio of the longest observed
/// pause to the pause that an uninterrupted prefill would cause.
///
/// ```
/// use bulrushusher_forward::PauseModel;
/// let mut pauses = PauseModel::default();
/// assert!(pauses.late_share(200.0, 300.0) < 0.05);
/// assert!(pauses.late_share(500.0, 300.0) > 0.9);
/// for _ in 0..30 {
///     pauses.record(400.0, 100.0);
/// }
/// assert!(pauses.late_share(500.0, 300.0) < 0.05, "a quarter falls between two events");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PauseModel {
    ratio: Normal,
}

/// Weight of the newest prefill: about seven are remembered, as runners and engines change.
const NEWEST_WEIGHT: f64 = 0.15;

/// Minimum variance: step times of engines and network delays vary by as much.
const MIN_VARIANCE: f64 = 0.005;

impl Default for PauseModel {
    /// Prior: nine tenths of a prefill fall between two events.
    fn default() -> PauseModel {
        PauseModel { ratio: Normal { mean: 0.9, variance: 0.015 } }
    }
}

impl PauseModel {
    /// Records a pause of `observed_ms` during a prefill that would pause runs for
    /// `uninterrupted_ms` if it was not interrupted.
    pub fn record(&mut self, uninterrupted_ms: f64, observed_ms: f64) {
        if uninterrupted_ms <= 0.0 {
            return;
        }
        self.ratio.record(observed_ms / uninterrupted_ms, NEWEST_WEIGHT, MIN_VARIANCE);
    }

    /// Share of the runs that pause for longer than `target_ms` if an uninterrupted prefill takes
    /// `uninterrupted_ms`; 0 without a target, that is, if `target_ms` is zero.
    pub fn late_share(&self, uninterrupted_ms: f64, target_ms: f64) -> f64 {
        if target_ms <= 0.0 || uninterrupted_ms <= 0.0 {
            return 0.0;
        }
        self.ratio.probability_above(target_ms / uninterrupted_ms)
    }
}
