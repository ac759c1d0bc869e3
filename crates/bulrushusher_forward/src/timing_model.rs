//! Estimates of prefill and generation times, learned from completed ones.

use bulrushusher_time::Millis;

use crate::{LengthModel, PauseModel, PrefillTiming, RunShape};

/// Initial estimates and margins.
#[derive(Clone, Copy, Debug)]
pub struct TimingConfig {
    /// Initial prefill time per prompt token, in ms.
    pub initial_prefill_ms_per_token: f64,
    /// Initial ratio of the prefill time at a decode runner to that at a prefill runner.
    pub initial_decode_prefill_factor: f64,
    /// Initial generation rate of a run, in tokens per ms.
    pub initial_tokens_per_ms: f64,
    /// Initial duration of a text generation.
    pub initial_generation_time: Millis,
    /// A prefill that takes this many times its expected duration is considered lost.
    pub prefill_timeout_factor: f64,
    /// Added to the expected duration times this factor, for a short queue at the runner.
    pub prefill_timeout_slack: Millis,
    /// Weight of the newest observation.
    pub newest_weight: f64,
}

impl Default for TimingConfig {
    /// The initial estimates are those of a large model on two accelerators. The queue at a runner
    /// is known except for the last milliseconds of other gateways, which the factor of 2.5 and the
    /// 200 ms cover.
    fn default() -> TimingConfig {
        TimingConfig {
            initial_prefill_ms_per_token: 0.02,
            initial_decode_prefill_factor: 2.0,
            initial_tokens_per_ms: 1.4,
            initial_generation_time: Millis(5_000),
            prefill_timeout_factor: 2.5,
            prefill_timeout_slack: Millis(200),
            newest_weight: 0.1,
        }
    }
}

/// Estimates of prefill and generation times at the runners of one service.
///
/// ```
/// use bulrushusher_forward::{TimingConfig, TimingModel};
/// use bulrushusher_time::Millis;
/// let mut timing = TimingModel::new(TimingConfig::default());
/// assert_eq!(timing.prefill_timeout(5_000), Millis(450));
/// for _ in 0..50 {
///     timing.record_prefill(5_000, Millis(200));
///     timing.record_generation(Millis(3_000), 4_000, 4_000);
/// }
/// assert!(timing.prefill_timeout(5_000) > Millis(600));
/// assert!(timing.generation_time_upper_bound() < Millis(4_500));
/// ```
#[derive(Clone, Debug)]
pub struct TimingModel {
    cfg: TimingConfig,
    prefill: PrefillTiming,
    decode: PrefillTiming,
    pauses: PauseModel,
    generation_ms: f64,
    tokens_per_ms: f64,
    lengths: LengthModel,
}

/// Duration within which nearly all generations end, as a multiple of the mean duration.
const GENERATION_UPPER_BOUND_FACTOR: f64 = 1.4;

impl TimingModel {
    /// Creates the initial estimates.
    pub fn new(cfg: TimingConfig) -> TimingModel {
        TimingModel {
            cfg,
            prefill: PrefillTiming::new(cfg.initial_prefill_ms_per_token),
            decode: PrefillTiming::new(
                cfg.initial_prefill_ms_per_token * cfg.initial_decode_prefill_factor,
            ),
            pauses: PauseModel::default(),
            tokens_per_ms: cfg.initial_tokens_per_ms,
            lengths: LengthModel::default(),
            generation_ms: cfg.initial_generation_time.0 as f64 / GENERATION_UPPER_BOUND_FACTOR,
        }
    }

    /// Records a prefill at a prefill runner; `tokens` includes the prompts queued ahead of it.
    pub fn record_prefill(&mut self, tokens: u64, took: Millis) {
        if tokens > 0 {
            self.prefill.record(tokens as f64, took.0 as f64);
        }
    }

    /// Records a prefill at a decode runner that had no other prompt to prefill.
    pub fn record_decode_prefill(&mut self, tokens: u64, took: Millis) {
        if tokens > 0 {
            self.decode.record(tokens as f64, took.0 as f64);
        }
    }

    /// Records the longest pause of a run while its decode runner prefilled a prompt.
    /// `uninterrupted_ms` is the pause if the prefill had run without interruption.
    pub fn record_pause(&mut self, uninterrupted_ms: f64, observed: Millis) {
        self.pauses.record(uninterrupted_ms, observed.0 as f64);
    }

    /// Prefill times of an idle prefill runner.
    pub fn prefill(&self) -> PrefillTiming {
        self.prefill
    }

    /// Prefill times of a decode runner that interleaves them with the tokens of its runs.
    pub fn decode(&self) -> PrefillTiming {
        self.decode
    }

    /// Pauses that prefills at decode runners cause for the other runs there.
    pub fn pauses(&self) -> PauseModel {
        self.pauses
    }

    /// Records a completed generation of `generated` tokens, where the caller expected
    /// `expected`.
    pub fn record_generation(&mut self, took: Millis, expected: u64, generated: u64) {
        let took_ms = took.0 as f64;
        self.generation_ms += self.cfg.newest_weight * (took_ms - self.generation_ms);
        if took.0 > 0 && generated > 0 {
            let rate = generated as f64 / took_ms;
            self.tokens_per_ms += self.cfg.newest_weight * (rate - self.tokens_per_ms);
        }
        self.lengths.record(expected as f64, generated as f64);
    }

    /// Generation rate of a run, in tokens per ms.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Distribution of output lengths relative to the callers' estimates.
    pub fn lengths(&self) -> LengthModel {
        self.lengths
    }

    /// Time after which a prefill is considered lost; `tokens` includes the prompts queued ahead of
    /// it.
    pub fn prefill_timeout(&self, tokens: u64) -> Millis {
        self.prefill_timeout_at(tokens, 1.0)
    }

    /// The same at a runner whose prefills take `factor` times as long as the mean.
    ///
    /// ```
    /// use bulrushusher_forward::{TimingConfig, TimingModel};
    /// use bulrushusher_time::Millis;
    /// let timing = TimingModel::new(TimingConfig::default());
    /// assert_eq!(timing.prefill_timeout_at(5_000, 2.0), Millis(700));
    /// ```
    pub fn prefill_timeout_at(&self, tokens: u64, factor: f64) -> Millis {
        let expected = self.prefill.scaled(factor).expected_ms(tokens as f64)
            * self.cfg.prefill_timeout_factor;
        Millis(expected as u64).plus(self.cfg.prefill_timeout_slack)
    }

    /// Probability that a run like this one ends within `left`, including its prefill.
    ///
    /// ```
    /// use bulrushusher_forward::{RunShape, TimingConfig, TimingModel};
    /// use bulrushusher_time::Millis;
    /// let timing = TimingModel::new(TimingConfig::default());
    /// let (expected, max_output) = (4_000.0, 9_000.0);
    /// let run = RunShape { prompt: 5_000.0, generated: 0.0, expected, max_output };
    /// assert!(timing.completion_probability(&run, Millis(14_000)) > 0.99);
    /// assert!(timing.completion_probability(&run, Millis(1_000)) < 0.05);
    /// ```
    pub fn completion_probability(&self, run: &RunShape, left: Millis) -> f64 {
        let prefill = Millis(self.prefill.expected_ms(run.prompt) as u64);
        let tokens = left.since(prefill).0 as f64 * self.tokens_per_ms;
        1.0 - self.lengths.survival(run, tokens)
    }

    /// Mean duration of a text generation.
    pub fn mean_generation_time(&self) -> Millis {
        Millis(self.generation_ms as u64)
    }

    /// Duration within which nearly all generations end.
    pub fn generation_time_upper_bound(&self) -> Millis {
        Millis((self.generation_ms * GENERATION_UPPER_BOUND_FACTOR) as u64)
    }
}
