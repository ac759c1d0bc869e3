//! What callers saw, per deliverable class.

use bulrushusher_time::Millis;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The largest time that a histogram tells apart, in milliseconds.
const MAX_MS: u64 = 3_600_000;
const DIGITS: u8 = 3;

/// Targets of a class.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// Time to the first token.
    pub ttft: Millis,
    /// Mean time between tokens.
    pub per_token: Millis,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Half are at most this.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

/// Figures of one class as a report shows them.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ClassReport {
    /// The class.
    pub class: String,
    /// Requests that got past the entry's checks.
    pub accepted: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests answered whole within both targets.
    pub good: u64,
    /// `good` per second of the run.
    pub goodput: f64,
    /// Time to the first token, milliseconds.
    pub ttft_ms: Percentiles,
    /// Mean time between tokens, milliseconds.
    pub per_token_ms: Percentiles,
    /// Share of the answered requests that missed a target, over the share that the objective of
    /// 95 in 100 allows; above 1 the error budget shrinks.
    pub burn: f64,
}

/// Collects the figures of one class.
///
/// ```
/// use bulrushusher_report::{ClassFigures, Targets};
/// use bulrushusher_time::Millis;
/// let targets = Targets { ttft: Millis(600), per_token: Millis(71) };
/// let mut figures = ClassFigures::new("rationale", targets);
/// figures.accepted();
/// figures.answered(Millis(200), Some(30.0));
/// let report = figures.report(2.0);
/// assert_eq!((report.good, report.goodput), (1, 0.5));
/// ```
#[derive(Clone, Debug)]
pub struct ClassFigures {
    class: String,
    targets: Targets,
    accepted: u64,
    answered: u64,
    good: u64,
    ttft: Histogram<u64>,
    per_token_us: Histogram<u64>,
}

impl ClassFigures {
    /// No request yet.
    ///
    /// # Panics
    /// Never: the histograms' bounds are constants.
    pub fn new(class: &str, targets: Targets) -> ClassFigures {
        let histogram =
            |max| Histogram::new_with_bounds(1, max, DIGITS).expect("constant bounds are valid");
        ClassFigures {
            class: class.to_owned(),
            targets,
            accepted: 0,
            answered: 0,
            good: 0,
            ttft: histogram(MAX_MS),
            per_token_us: histogram(MAX_MS * 1000),
        }
    }

    /// A request got past the checks.
    pub fn accepted(&mut self) {
        self.accepted += 1;
    }

    /// A request was answered whole: time to the first token, and mean milliseconds between tokens
    /// where there were several.
    pub fn answered(&mut self, ttft: Millis, per_token_ms: Option<f64>) {
        self.answered += 1;
        self.ttft.saturating_record(ttft.0.max(1));
        if let Some(ms) = per_token_ms {
            self.per_token_us.saturating_record((ms * 1000.0) as u64);
        }
        let fast = per_token_ms.is_none_or(|ms| ms <= self.targets.per_token.0 as f64);
        if ttft <= self.targets.ttft && fast {
            self.good += 1;
        }
    }

    /// The figures over a run of `seconds`.
    pub fn report(&self, seconds: f64) -> ClassReport {
        /// Share of requests that may miss a target.
        const BUDGET: f64 = 0.05;
        let missed = (self.answered - self.good) as f64 / self.answered.max(1) as f64;
        ClassReport {
            class: self.class.clone(),
            accepted: self.accepted,
            answered: self.answered,
            good: self.good,
            goodput: self.good as f64 / seconds.max(f64::MIN_POSITIVE),
            ttft_ms: percentiles(&self.ttft, 1.0),
            per_token_ms: percentiles(&self.per_token_us, 1000.0),
            burn: missed / BUDGET,
        }
    }
}

fn percentiles(histogram: &Histogram<u64>, unit: f64) -> Percentiles {
    let at = |q: f64| match histogram.is_empty() {
        true => 0.0,
        false => histogram.value_at_quantile(q) as f64 / unit,
    };
    Percentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99) }
}
