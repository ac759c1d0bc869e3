//! A quantity that is about normal, learned from what was seen of it.

/// Its mean and variance; older observations fade.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Normal {
    pub mean: f64,
    pub variance: f64,
}

impl Normal {
    /// Takes in an observation with that weight; the variance stays above the least.
    pub(crate) fn note(&mut self, seen: f64, weight: f64, least_variance: f64) {
        let off = seen - self.mean;
        self.mean += weight * off;
        self.variance += weight * (off * off - self.variance);
        self.variance = self.variance.max(least_variance);
    }

    /// Share of what is to come that lies above `bound`.
    pub(crate) fn share_above(&self, bound: f64) -> f64 {
        let off = bound - self.mean;
        0.5 * erfc(off / (2.0 * self.variance).sqrt())
    }
}

/// The complementary error function, to seven digits (Abramowitz and Stegun, 7.1.26).
fn erfc(x: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.327_591_1 * x.abs());
    let poly = t
        * (0.254_829_592
            + t * (-0.284_496_736
                + t * (1.421_413_741 + t * (-1.453_152_027 + t * 1.061_405_429))));
    let tail = poly * (-x * x).exp();
    if x >= 0.0 { tail } else { 2.0 - tail }
}
