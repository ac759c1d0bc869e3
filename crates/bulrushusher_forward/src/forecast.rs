//! Forecast of a decode runner's memory use, from the sizes of its runs and the distribution of
//! output lengths.
//!
//! A run's memory grows from its prompt by one token a step until it ends. Reserving the maximum
//! for every run leaves half of the memory idle. The forecast lets the expected end of some runs
//! make room for the growth of others, as far as output lengths can be predicted.

use bulrushusher_time::Millis;

use crate::PromptSize;
use crate::normal::Normal;

/// Size of one run at a decode runner, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunShape {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens generated so far.
    pub generated: f64,
    /// Output tokens that the caller expects.
    pub expected: f64,
    /// Maximum number of output tokens.
    pub max_output: f64,
}

impl RunShape {
    /// A run that has not started. A generation without a declared size counts as one output token.
    pub fn of(size: Option<&PromptSize>) -> RunShape {
        RunShape {
            prompt: size.map_or(0.0, |size| size.prompt as f64),
            generated: 0.0,
            expected: size.map_or(1.0, |size| size.expected() as f64),
            max_output: size.map_or(1.0, |size| size.max_output as f64),
        }
    }

    pub(crate) fn size(&self) -> f64 {
        self.prompt + self.generated
    }
}

/// Distribution of output lengths relative to the callers' estimates: the logarithm of the ratio is
/// modelled as normal and learned from finished runs.
///
/// ```
/// use bulrushusher_forward::{LengthModel, RunShape};
/// let model = LengthModel::default();
/// let run = RunShape { prompt: 0.0, generated: 0.0, expected: 1_000.0, max_output: 5_000.0 };
/// assert!((model.survival(&run, 1_000.0) - 0.5).abs() < 0.01, "the median is the estimate");
/// assert_eq!(model.survival(&run, 5_000.0), 0.0, "never above the maximum");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthModel {
    /// Distribution of the logarithm of the ratio.
    ratio: Normal,
}

/// Weight of the newest output in the learned model: it remembers about a hundred outputs.
const NEWEST_WEIGHT: f64 = 0.01;

/// Minimum variance; a smaller one would treat callers' estimates as exact.
const MIN_VARIANCE: f64 = 0.01;

impl Default for LengthModel {
    /// Prior: the median output equals the estimate, and two thirds of the outputs lie within a
    /// factor of 1.65.
    fn default() -> LengthModel {
        LengthModel { ratio: Normal { mean: 0.0, variance: 0.25 } }
    }
}

impl LengthModel {
    /// Records the length of a finished output.
    pub fn record(&mut self, expected: f64, generated: f64) {
        if expected < 1.0 || generated < 1.0 {
            return;
        }
        self.ratio.record((generated / expected).ln(), NEWEST_WEIGHT, MIN_VARIANCE);
    }

    /// Probability that the run generates at least `more` further tokens.
    pub fn survival(&self, run: &RunShape, more: f64) -> f64 {
        let reached = run.generated + more;
        if reached >= run.max_output {
            return 0.0;
        }
        let so_far = self.probability_longer_than(run.expected, run.generated);
        let later = self.probability_longer_than(run.expected, reached);
        (later / so_far.max(MIN_TAIL_PROBABILITY)).min(1.0)
    }

    fn probability_longer_than(&self, expected: f64, tokens: f64) -> f64 {
        if tokens < 1.0 {
            return 1.0;
        }
        self.ratio.probability_above((tokens / expected.max(1.0)).ln())
    }
}

/// Tail probability below which the model is not reliable.
const MIN_TAIL_PROBABILITY: f64 = 1e-6;

/// Safety margins of a forecast.
#[derive(Clone, Copy, Debug)]
pub struct ForecastConfig {
    /// Standard deviations above the mean memory need that must fit.
    pub caution: f64,
    /// Share of a runner's memory up to which the forecast peak of its runs may rise.
    pub max_fill: f64,
}

impl Default for ForecastConfig {
    /// Under sustained overload of twelve runners, caution 1.0 and fill 0.97 preempted 428 of 933
    /// runs, 2.0 and 0.9 107 of 927, 2.5 and 0.9 65 of 917, 3.0 and 0.9 39 of 890; the numbers of
    /// runs on time were 392, 656, 716 and 687. The unfilled part covers the blocks in which memory
    /// is allocated and runs that other gateways started within the last milliseconds.
    fn default() -> ForecastConfig {
        ForecastConfig { caution: 2.5, max_fill: 0.92 }
    }
}

/// Parameters of a service that apply to the memory forecast of any of its runners.
#[derive(Clone, Copy, Debug)]
pub struct MemoryForecast {
    /// Distribution of output lengths.
    pub lengths: LengthModel,
    /// Generation rate of one run, in tokens per ms.
    pub tokens_per_ms: f64,
    /// Memory of one runner, in tokens.
    pub memory: f64,
    /// Safety margins.
    pub cfg: ForecastConfig,
}

impl MemoryForecast {
    /// The forecast for a runner that generates at `pace` tokens per ms; `None` for the service's
    /// rate.
    ///
    /// ```
    /// use bulrushusher_forward::{ForecastConfig, LengthModel, MemoryForecast};
    /// let forecast = MemoryForecast {
    ///     lengths: LengthModel::default(),
    ///     tokens_per_ms: 1.4,
    ///     memory: 20_000.0,
    ///     cfg: ForecastConfig::default(),
    /// };
    /// assert_eq!(forecast.at_pace(Some(2.9)).tokens_per_ms, 2.9);
    /// assert_eq!(forecast.at_pace(None).tokens_per_ms, 1.4);
    /// ```
    #[must_use]
    pub fn at_pace(self, pace: Option<f64>) -> MemoryForecast {
        MemoryForecast { tokens_per_ms: pace.unwrap_or(self.tokens_per_ms), ..self }
    }

    /// Upper limit of the forecast peak of a runner's memory use, in tokens.
    pub fn room(&self) -> f64 {
        self.memory * self.cfg.max_fill
    }

    /// Memory that `runs` will need over the next seconds. Needs are additive: the need of a
    /// runner's current runs is computed once, and each candidate run is added to it.
    pub fn need(&self, runs: &[RunShape]) -> MemoryNeed {
        MemoryNeed::of(runs, &self.lengths, self.tokens_per_ms)
    }

    /// Forecast peak of memory use, in tokens.
    pub fn peak(&self, need: &MemoryNeed) -> f64 {
        need.peak(self.cfg.caution)
    }

    /// The forecast `peak` as a share of [`MemoryForecast::room`], in `0.0..=1.0`.
    pub fn fullness(&self, peak: f64) -> f64 {
        (peak / self.room()).clamp(0.0, 1.0)
    }

    /// Forecast peak with one more run; `None` if it does not fit. A runner without runs accepts a
    /// run of any size.
    pub fn peak_if_it_fits(&self, at_runner: &MemoryNeed, run: &MemoryNeed) -> Option<f64> {
        let peak = self.peak(&at_runner.with(run));
        (at_runner.runs == 0 || peak <= self.room()).then_some(peak)
    }
}

/// Sampled times, in ms from now; the longest outputs take about seven seconds.
const SAMPLE_TIMES_MS: [f64; 9] =
    [0.0, 400.0, 800.0, 1_300.0, 1_900.0, 2_600.0, 3_500.0, 4_700.0, 6_000.0];

/// Forecast memory need of a set of runs over the next seconds.
///
/// ```
/// use bulrushusher_forward::{LengthModel, MemoryNeed, RunShape};
/// let run = RunShape { prompt: 5_000.0, generated: 0.0, expected: 4_000.0, max_output: 9_000.0 };
/// let need = |runs: &[RunShape]| MemoryNeed::of(runs, &LengthModel::default(), 1.4);
/// let (one, ten) = (need(&[run]).peak(2.5), need(&[run; 10]).peak(2.5));
/// assert!(one > 5_000.0 && one < 20_000.0);
/// assert!(ten < 10.0 * one, "not all of the runs are long");
/// let sum = need(&[run; 4]).with(&need(&[run; 6])).peak(2.5);
/// assert!((sum - ten).abs() < 1.0, "needs are additive");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryNeed {
    /// Number of runs.
    pub runs: usize,
    /// Tokens that the runs hold now.
    pub now: f64,
    /// Mean and variance of the tokens held at each sampled time.
    samples: [(f64, f64); SAMPLE_TIMES_MS.len()],
}

impl MemoryNeed {
    /// Forecasts the need of `runs`.
    pub fn of(runs: &[RunShape], model: &LengthModel, tokens_per_ms: f64) -> MemoryNeed {
        let mut need = MemoryNeed { runs: runs.len(), ..MemoryNeed::default() };
        for run in runs {
            need.now += run.size();
            for (ms, (mean, variance)) in SAMPLE_TIMES_MS.into_iter().zip(&mut need.samples) {
                let more = ms * tokens_per_ms;
                let survival = model.survival(run, more);
                let memory = run.size() + more;
                *mean += survival * memory;
                *variance += survival * (1.0 - survival) * memory * memory;
            }
        }
        need
    }

    /// The memory that `runs` hold now, without a forecast.
    pub(crate) fn held_by(runs: &[RunShape]) -> MemoryNeed {
        let now = runs.iter().map(RunShape::size).sum();
        MemoryNeed { runs: runs.len(), now, ..MemoryNeed::default() }
    }

    /// The combined need of both sets of runs.
    #[must_use]
    pub fn with(&self, other: &MemoryNeed) -> MemoryNeed {
        let mut sum = *self;
        sum.runs += other.runs;
        sum.now += other.now;
        for ((mean, variance), (other_mean, other_variance)) in
            sum.samples.iter_mut().zip(other.samples)
        {
            *mean += other_mean;
            *variance += other_variance;
        }
        sum
    }

    /// The same need `passed` later, if no run was added, removed or updated meanwhile. Values
    /// between two sampled times are interpolated linearly.
    #[must_use]
    pub(crate) fn after(&self, passed: Millis) -> MemoryNeed {
        let mut later = *self;
        for n in 0..SAMPLE_TIMES_MS.len() - 1 {
            let share = passed.0 as f64 / (SAMPLE_TIMES_MS[n + 1] - SAMPLE_TIMES_MS[n]);
            let ((mean, variance), (next_mean, next_variance)) =
                (self.samples[n], self.samples[n + 1]);
            later.samples[n].0 = mean + share * (next_mean - mean);
            later.samples[n].1 = variance + share * (next_variance - variance);
        }
        later
    }

    /// Forecast peak of memory use, `caution` standard deviations above the mean.
    pub fn peak(&self, caution: f64) -> f64 {
        let at = |(mean, variance): (f64, f64)| mean + caution * variance.sqrt();
        self.samples.into_iter().map(at).fold(0.0, f64::max)
    }
}
