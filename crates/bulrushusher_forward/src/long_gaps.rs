//! Detects slow runners by consecutive long gaps in their streams.

use bulrushusher_time::Millis;

/// Share of a route's gap target beyond which a gap is long in an even pool: about three times the
/// usual gap, and close to being late.
const LONG_GAP_SHARE: f64 = 0.5;

/// Consecutive long gaps after which a runner counts as slow. A prefill or a preemption causes one
/// long gap, and rarely two.
const SLOW_RUNNER_GAPS: u32 = 4;

/// Counts consecutive long gaps of one stream.
///
/// ```
/// use bulrushusher_forward::LongGaps;
/// use bulrushusher_time::Millis;
/// let mut gaps = LongGaps::default();
/// let target = Millis(300);
/// let is_slow = [160; 5].map(|gap| gaps.record(Millis(gap), target, || false));
/// assert_eq!(is_slow, [false, false, false, true, false], "reported once");
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct LongGaps {
    consecutive: u32,
}

impl LongGaps {
    /// Records a gap; returns true once the runner counts as slow. Routes without a gap target
    /// (zero) have no long gaps. In an uneven pool a gap is long only beyond the whole target: the
    /// slower runners are in time there, and with the lower limit a slow phase of 600 ms excluded
    /// them for seconds.
    pub fn record(
        &mut self,
        gap: Millis,
        gap_target: Millis,
        is_uneven: impl FnOnce() -> bool,
    ) -> bool {
        let (gap, target) = (gap.0 as f64, gap_target.0 as f64);
        let is_long =
            target > 0.0 && gap > target * LONG_GAP_SHARE && (gap > target || !is_uneven());
        self.consecutive = if is_long { self.consecutive + 1 } else { 0 };
        self.consecutive == SLOW_RUNNER_GAPS
    }
}
