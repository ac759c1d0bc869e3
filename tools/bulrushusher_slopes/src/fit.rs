//! Measured points and their linear fit.

use std::fmt;

/// A quantity measured at several sizes.
pub struct Measurement {
    /// The quantity measured.
    pub quantity: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// The item whose number is the size.
    pub per: &'static str,
    /// Pairs of a size and the value measured.
    pub points: Vec<(f64, f64)>,
}

impl Measurement {
    /// Least-squares fit: the intercept, and the slope per item.
    pub fn fit(&self) -> (f64, f64) {
        let n = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / n;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let covariance: f64 = self.points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let variance: f64 = self.points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let slope = if variance == 0.0 { 0.0 } else { covariance / variance };
        (mean_y - slope * mean_x, slope)
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x:.0}: {y:.1}")).collect();
        let (intercept, slope) = self.fit();
        write!(
            f,
            "| {} | {} | {} | {intercept:.1} + {slope:.4} per {} |",
            self.quantity,
            self.unit,
            points.join(", "),
            self.per
        )
    }
}
