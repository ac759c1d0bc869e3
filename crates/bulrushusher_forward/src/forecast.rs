//! How much decode memory the runs at a runner will need, from what they hold and how long answers
//! tend to get.
//!
//! A run's memory grows from its prompt by a token a step until it ends. Holding the most that each
//! may need leaves half of the memory idle; here the ends of some make room for the growth of
//! others, as far as answers' lengths can be told.

use bulrushusher_time::Millis;

use crate::PromptSize;
use crate::normal::Normal;

/// One run at a runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunShape {
    /// Tokens of the prompt.
    pub prompt: f64,
    /// Tokens generated so far.
    pub made: f64,
    /// Tokens that the caller expects.
    pub expected: f64,
    /// The most tokens that may be generated.
    pub most: f64,
}

impl RunShape {
    /// A run that has not begun. Nothing is known of a generation that states no size.
    pub fn of(size: Option<&PromptSize>) -> RunShape {
        RunShape {
            prompt: size.map_or(0.0, |size| size.prompt as f64),
            made: 0.0,
            expected: size.map_or(1.0, |size| size.expected() as f64),
            most: size.map_or(1.0, |size| size.max_output as f64),
        }
    }

    pub(crate) fn size(&self) -> f64 {
        self.prompt + self.made
    }
}

/// How answers' lengths lie around what callers expect: the logarithm of their ratio is about
/// normal. Learned from answers that ended.
///
/// ```
/// use bulrushusher_forward::{LengthModel, RunShape};
/// let model = LengthModel::default();
/// let run = RunShape { prompt: 0.0, made: 0.0, expected: 1_000.0, most: 5_000.0 };
/// assert!((model.survival(&run, 1_000.0) - 0.5).abs() < 0.01, "the median is what is expected");
/// assert_eq!(model.survival(&run, 5_000.0), 0.0, "never more than the most");
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LengthModel {
    /// Of the logarithm of that ratio.
    ratio: Normal,
}

/// Weight of the newest answer in the learned model: some hundred answers are remembered.
const NEWEST_WEIGHT: f64 = 0.01;

/// A spread below this would take callers' estimates for certainties.
const LEAST_VARIANCE: f64 = 0.01;

impl Default for LengthModel {
    /// Before answers were seen: estimates are right at the median, and two thirds of the answers
    /// lie within a factor of 1.65.
    fn default() -> LengthModel {
        LengthModel { ratio: Normal { mean: 0.0, variance: 0.25 } }
    }
}

impl LengthModel {
    /// An answer ended with that many tokens.
    pub fn note_end(&mut self, expected: f64, made: f64) {
        if expected < 1.0 || made < 1.0 {
            return;
        }
        self.ratio.note((made / expected).ln(), NEWEST_WEIGHT, LEAST_VARIANCE);
    }

    /// Probability that the run makes `more` tokens beyond those that it has made.
    pub fn survival(&self, run: &RunShape, more: f64) -> f64 {
        let reached = run.made + more;
        if reached >= run.most {
            return 0.0;
        }
        let so_far = self.longer_than(run.expected, run.made);
        let later = self.longer_than(run.expected, reached);
        (later / so_far.max(SMALLEST_SHARE)).min(1.0)
    }

    fn longer_than(&self, expected: f64, tokens: f64) -> f64 {
        if tokens < 1.0 {
            return 1.0;
        }
        self.ratio.share_above((tokens / expected.max(1.0)).ln())
    }
}

/// Beyond this share of answers the model says nothing reliable.
const SMALLEST_SHARE: f64 = 1e-6;

/// How cautious a forecast is.
#[derive(Clone, Copy, Debug)]
pub struct ForecastConfig {
    /// Standard deviations above the mean that must fit.
    pub caution: f64,
    /// Share of a runner's memory that may be forecast to be used.
    pub fill: f64,
}

impl Default for ForecastConfig {
    /// Under steady overload of twelve runners, 428 of 933 runs were preempted with 1.0 and 0.97,
    /// 107 of 927 with 2.0 and 0.9, 65 of 917 with 2.5 and 0.9, 39 of 890 with 3.0 and 0.9; on
    /// time were 392, 656, 716 and 687. What is not filled covers the blocks in which memory is
    /// given out, and runs that other gateways began in the last milliseconds.
    fn default() -> ForecastConfig {
        ForecastConfig { caution: 2.5, fill: 0.92 }
    }
}

/// What is known of a service's runs in general, to forecast the memory of one of its runners.
#[derive(Clone, Copy, Debug)]
pub struct MemoryForecast {
    /// How long answers get.
    pub lengths: LengthModel,
    /// Tokens that a run generates in one ms.
    pub tokens_per_ms: f64,
    /// Memory of a runner, in tokens.
    pub memory: f64,
    /// How cautious to be.
    pub cfg: ForecastConfig,
}

impl MemoryForecast {
    /// Memory that may be forecast to be used, in tokens.
    pub fn room(&self) -> f64 {
        self.memory * self.cfg.fill
    }

    /// What runs will need over the next seconds. Needs add up: those of a runner's runs are worked
    /// out once, and each run that might come is added to them.
    pub fn need(&self, runs: &[RunShape]) -> MemoryNeed {
        MemoryNeed::of(runs, &self.lengths, self.tokens_per_ms)
    }

    /// Memory that is needed at most.
    pub fn peak(&self, need: &MemoryNeed) -> f64 {
        need.peak(self.cfg.caution)
    }

    /// Share of the memory that may be used which a peak takes up.
    pub fn fullness(&self, peak: f64) -> f64 {
        (peak / self.room()).clamp(0.0, 1.0)
    }

    /// Memory that is needed at most with one more run; `None` where it does not fit. A runner that
    /// has no run takes any.
    pub fn peak_if_it_fits(&self, there: &MemoryNeed, run: &MemoryNeed) -> Option<f64> {
        let peak = self.peak(&there.with(run));
        (there.runs == 0 || peak <= self.room()).then_some(peak)
    }
}

/// Times looked at, in ms from now: the longest answers take some seven seconds.
const LOOK_AHEAD_MS: [f64; 9] =
    [0.0, 400.0, 800.0, 1_300.0, 1_900.0, 2_600.0, 3_500.0, 4_700.0, 6_000.0];

/// Memory that runs will need over the next seconds, as far as can be told.
///
/// ```
/// use bulrushusher_forward::{LengthModel, MemoryNeed, RunShape};
/// let run = RunShape { prompt: 5_000.0, made: 0.0, expected: 4_000.0, most: 9_000.0 };
/// let need = |runs: &[RunShape]| MemoryNeed::of(runs, &LengthModel::default(), 1.4);
/// let (one, ten) = (need(&[run]).peak(2.5), need(&[run; 10]).peak(2.5));
/// assert!(one > 5_000.0 && one < 20_000.0);
/// assert!(ten < 10.0 * one, "not all of them are long");
/// let sum = need(&[run; 4]).with(&need(&[run; 6])).peak(2.5);
/// assert!((sum - ten).abs() < 1.0, "needs add up");
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MemoryNeed {
    /// How many runs it is of.
    pub runs: usize,
    /// Tokens that they have now.
    pub now: f64,
    /// Mean and variance of the tokens that they will have at each time looked at.
    ahead: [(f64, f64); LOOK_AHEAD_MS.len()],
}

impl MemoryNeed {
    /// What these runs will need.
    pub fn of(runs: &[RunShape], model: &LengthModel, tokens_per_ms: f64) -> MemoryNeed {
        let mut need = MemoryNeed { runs: runs.len(), ..MemoryNeed::default() };
        for run in runs {
            need.now += run.size();
            for (ms, (mean, variance)) in LOOK_AHEAD_MS.into_iter().zip(&mut need.ahead) {
                let more = ms * tokens_per_ms;
                let alive = model.survival(run, more);
                let memory = run.size() + more;
                *mean += alive * memory;
                *variance += alive * (1.0 - alive) * memory * memory;
            }
        }
        need
    }

    /// The need of both.
    #[must_use]
    pub fn with(&self, other: &MemoryNeed) -> MemoryNeed {
        let mut sum = *self;
        sum.runs += other.runs;
        sum.now += other.now;
        for ((mean, variance), (other_mean, other_variance)) in
            sum.ahead.iter_mut().zip(other.ahead)
        {
            *mean += other_mean;
            *variance += other_variance;
        }
        sum
    }

    /// The same need as it is `passed` later, while no run came, went or was heard of anew: between two
    /// times looked at it grows or falls evenly.
    #[must_use]
    pub(crate) fn after(&self, passed: Millis) -> MemoryNeed {
        let mut later = *self;
        for n in 0..LOOK_AHEAD_MS.len() - 1 {
            let share = passed.0 as f64 / (LOOK_AHEAD_MS[n + 1] - LOOK_AHEAD_MS[n]);
            let ((mean, variance), (next_mean, next_variance)) = (self.ahead[n], self.ahead[n + 1]);
            later.ahead[n].0 = mean + share * (next_mean - mean);
            later.ahead[n].1 = variance + share * (next_variance - variance);
        }
        later
    }

    /// The most that is needed at one time, `caution` standard deviations above the mean.
    pub fn peak(&self, caution: f64) -> f64 {
        let at = |(mean, variance): (f64, f64)| mean + caution * variance.sqrt();
        self.ahead.into_iter().map(at).fold(0.0, f64::max)
    }
}
