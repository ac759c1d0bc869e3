//! Points and their straight line.

use std::fmt;

/// Values at some sizes.
pub struct Slope {
    /// What was measured.
    pub what: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// What the sizes count.
    pub per: &'static str,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
}

impl Slope {
    /// Least squares: the value at size 0, and the growth per one of the size.
    pub fn line(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let covariance: f64 = self.points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let growth = if variance == 0.0 { 0.0 } else { covariance / variance };
        (mean_y - growth * mean_x, growth)
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
        let (start, growth) = self.line();
        write!(
            f,
            "| {} | {} | {} | {start:.1} + {growth:.4} per {} |",
            self.what,
            self.unit,
            points.join(", "),
            self.per
        )
    }
}
