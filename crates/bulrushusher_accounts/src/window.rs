//! Usage within a sliding window.

use bulrushusher_time::Millis;

/// Buckets of a window. The sum deviates from the exact one by at most one bucket.
const BUCKETS: usize = 8;

/// Sum over a sliding window, and the largest sum so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WindowSum {
    buckets: [f64; BUCKETS],
    /// Number of the current bucket, counted from time zero.
    current: u64,
    peak: f64,
}

impl WindowSum {
    /// Adds units at the time `now`; a negative number subtracts a refund.
    pub(crate) fn add(&mut self, units: f64, window: Millis, now: Millis) {
        self.advance(window, now);
        self.buckets[self.current as usize % BUCKETS] += units;
        self.peak = self.peak.max(self.buckets.iter().sum());
    }

    /// The sum over the window that ends at `now`.
    pub(crate) fn sum(&mut self, window: Millis, now: Millis) -> f64 {
        self.advance(window, now);
        self.buckets.iter().sum::<f64>().max(0.0)
    }

    /// The largest sum over a window so far.
    pub(crate) fn peak(&self) -> f64 {
        self.peak
    }

    fn advance(&mut self, window: Millis, now: Millis) {
        let length = (window.0 / BUCKETS as u64).max(1);
        let bucket = now.0 / length;
        let passed = bucket.saturating_sub(self.current).min(BUCKETS as u64);
        for nth in 1..=passed {
            self.buckets[(bucket - passed + nth) as usize % BUCKETS] = 0.0;
        }
        self.current = self.current.max(bucket);
    }
}
