//! Estimate of a normally distributed quantity.

/// Exponentially weighted mean and variance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Normal {
    pub mean: f64,
    pub variance: f64,
}

impl Normal {
    /// Records an observation with this weight; the variance stays at or above `min_variance`.
    pub(crate) fn record(&mut self, observed: f64, weight: f64, min_variance: f64) {
        let deviation = observed - self.mean;
        self.mean += weight * deviation;
        self.variance += weight * (deviation * deviation - self.variance);
        self.variance = self.variance.max(min_variance);
    }

    /// Probability of a value above `bound`.
    pub(crate) fn probability_above(&self, bound: f64) -> f64 {
        let deviation = bound - self.mean;
        0.5 * erfc(deviation / (2.0 * self.variance).sqrt())
    }
}

/// The complementary error function, accurate to seven digits (Abramowitz and Stegun, 7.1.26).
fn erfc(x: f64) -> f64 {
    let t = 1.0 / (1.0 + 0.327_591_1 * x.abs());
    let poly = t
        * (0.254_829_592
            + t * (-0.284_496_736
                + t * (1.421_413_741 + t * (-1.453_152_027 + t * 1.061_405_429))));
    let tail = poly * (-x * x).exp();
    if x >= 0.0 { tail } else { 2.0 - tail }
}
