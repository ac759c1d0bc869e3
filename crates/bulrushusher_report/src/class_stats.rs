//! Latency, goodput and error-budget statistics per deliverable class.

use bulrushusher_time::Millis;
use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest recordable time in milliseconds; longer times are recorded as this.
const MAX_MS: u64 = 3_600_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Latency targets of a class.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTargets {
    /// Time to the first token.
    pub ttft: Millis,
    /// Mean time between tokens.
    pub per_token: Millis,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

/// Statistics of one class over a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Requests that passed the entry's checks.
    pub accepted: u64,
    /// Requests with a complete response.
    pub answered: u64,
    /// Requests with a complete response within both latency targets.
    pub good: u64,
    /// `good` per second of the run.
    pub goodput: f64,
    /// Time to the first token, milliseconds.
    pub ttft_ms: Percentiles,
    /// Mean time between tokens, milliseconds.
    pub per_token_ms: Percentiles,
    /// Burn rate of the error budget: the share of answered requests that missed a target, divided
    /// by the 5 % that the objective of 95 % allows. Above 1 the budget is being exceeded.
    pub burn: f64,
}

/// Collects the statistics of one class.
///
/// ```
/// use bulrushusher_report::{ClassStats, LatencyTargets};
/// use bulrushusher_time::Millis;
/// let targets = LatencyTargets { ttft: Millis(600), per_token: Millis(71) };
/// let mut stats = ClassStats::new("rationale", targets);
/// stats.record_accepted();
/// stats.record_answered(Millis(200), Some(30.0));
/// let report = stats.report(2.0);
/// assert_eq!((report.good, report.goodput), (1, 0.5));
/// ```
#[derive(Clone, Debug)]
pub struct ClassStats {
    class: String,
    targets: LatencyTargets,
    accepted: u64,
    answered: u64,
    good: u64,
    ttft: Histogram<u64>,
    per_token_us: Histogram<u64>,
}

impl ClassStats {
    /// Creates empty statistics.
    ///
    /// # Panics
    /// Never: the bounds of the histograms are valid constants.
    pub fn new(class: &str, targets: LatencyTargets) -> ClassStats {
        let histogram = |max| {
            Histogram::new_with_bounds(1, max, SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid")
        };
        ClassStats {
            class: class.to_owned(),
            targets,
            accepted: 0,
            answered: 0,
            good: 0,
            ttft: histogram(MAX_MS),
            per_token_us: histogram(MAX_MS * 1000),
        }
    }

    /// Records a request that passed the entry's checks.
    pub fn record_accepted(&mut self) {
        self.accepted += 1;
    }

    /// Records a complete response: the time to the first token, and the mean time between tokens
    /// in milliseconds if there was more than one.
    pub fn record_answered(&mut self, ttft: Millis, per_token_ms: Option<f64>) {
        self.answered += 1;
        self.ttft.saturating_record(ttft.0.max(1));
        if let Some(ms) = per_token_ms {
            self.per_token_us.saturating_record((ms * 1000.0) as u64);
        }
        let is_within_per_token =
            per_token_ms.is_none_or(|ms| ms <= self.targets.per_token.0 as f64);
        if ttft <= self.targets.ttft && is_within_per_token {
            self.good += 1;
        }
    }

    /// The statistics of a run of `seconds`.
    pub fn report(&self, seconds: f64) -> ClassReport {
        /// Share of requests that may miss a target.
        const ERROR_BUDGET: f64 = 0.05;
        let missed = (self.answered - self.good) as f64 / self.answered.max(1) as f64;
        ClassReport {
            class: self.class.clone(),
            accepted: self.accepted,
            answered: self.answered,
            good: self.good,
            goodput: self.good as f64 / seconds.max(f64::MIN_POSITIVE),
            ttft_ms: percentiles(&self.ttft, 1.0),
            per_token_ms: percentiles(&self.per_token_us, 1000.0),
            burn: missed / ERROR_BUDGET,
        }
    }
}

/// Percentiles in milliseconds of a histogram with `units_per_ms`.
fn percentiles(histogram: &Histogram<u64>, units_per_ms: f64) -> Percentiles {
    let at = |q: f64| match histogram.is_empty() {
        true => 0.0,
        false => histogram.value_at_quantile(q) as f64 / units_per_ms,
    };
    Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}
