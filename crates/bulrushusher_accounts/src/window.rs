//! What was used within a sliding window.

use bulrushusher_time::Millis;

/// Parts of a window; its sum is off by one part at most.
const PARTS: usize = 8;

/// Sums over the last window, and the largest of them.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WindowSum {
    parts: [f64; PARTS],
    /// Number of the part that is filled now.
    current: u64,
    worst: f64,
}

impl WindowSum {
    /// Adds units that were used now, or takes back some.
    pub(crate) fn add(&mut self, units: f64, window: Millis, now: Millis) {
        self.advance(window, now);
        self.parts[self.current as usize % PARTS] += units;
        self.worst = self.worst.max(self.parts.iter().sum());
    }

    /// The sum over the window that ends now.
    pub(crate) fn sum(&mut self, window: Millis, now: Millis) -> f64 {
        self.advance(window, now);
        self.parts.iter().sum::<f64>().max(0.0)
    }

    /// The largest sum that there was.
    pub(crate) fn worst(&self) -> f64 {
        self.worst
    }

    fn advance(&mut self, window: Millis, now: Millis) {
        let length = (window.0 / PARTS as u64).max(1);
        let part = now.0 / length;
        let passed = part.saturating_sub(self.current).min(PARTS as u64);
        for nth in 1..=passed {
            self.parts[(part - passed + nth) as usize % PARTS] = 0.0;
        }
        self.current = self.current.max(part);
    }
}
