//! Linear model of prefill times: a constant part per prompt and a part per token.

/// Weighted linear regression of prefill time on tokens, with exponential decay.
///
/// A model without the constant part overestimates a queue of prompts by a third if the constant
/// part is 80 ms and a prompt takes 90 ms, because the constant parts of consecutive prompts
/// overlap.
///
/// ```
/// use bulrushusher_forward::PrefillTiming;
/// let mut timing = PrefillTiming::new(0.02);
/// for n in 0..200_u32 {
///     let tokens = 2_000.0 + 40.0 * f64::from(n);
///     timing.record(tokens, 80.0 + 0.018 * tokens);
/// }
/// assert!((timing.ms_per_token() - 0.018).abs() < 0.001);
/// assert!((timing.expected_ms(5_000.0) - 170.0).abs() < 5.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillTiming {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_by_ms: f64,
    /// Mean squared error of the predictions.
    error_squared: f64,
}

/// Decay of earlier weights with each new prefill: about thirty are remembered.
const DECAY: f64 = 0.97;

/// Prompt sizes at which the initial estimate counts as observed; they span common prompts.
const INITIAL_PROMPT_SIZES: [f64; 2] = [1_000.0, 9_000.0];

/// Weight of the initial estimate at each size, in prefills: a few observations outweigh it.
const INITIAL_WEIGHT: f64 = 1.0;

impl PrefillTiming {
    /// Creates the initial estimate of `ms_per_token`, without a constant part.
    pub fn new(ms_per_token: f64) -> PrefillTiming {
        let mut timing = PrefillTiming {
            weight: 0.0,
            tokens: 0.0,
            ms: 0.0,
            tokens_squared: 0.0,
            tokens_by_ms: 0.0,
            error_squared: 0.0,
        };
        for tokens in INITIAL_PROMPT_SIZES {
            timing.add(tokens, tokens * ms_per_token, INITIAL_WEIGHT);
        }
        timing
    }

    /// Records a prefill of `ms`; `tokens` includes the prompts queued ahead of it.
    pub fn record(&mut self, tokens: f64, ms: f64) {
        let error = ms - self.expected_ms(tokens);
        self.error_squared = DECAY * self.error_squared + (1.0 - DECAY) * error * error;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.ms,
            &mut self.tokens_squared,
            &mut self.tokens_by_ms,
        ] {
            *sum *= DECAY;
        }
        self.add(tokens, ms, 1.0);
    }

    /// The times at a runner whose prefills take `factor` times as long.
    ///
    /// ```
    /// use bulrushusher_forward::PrefillTiming;
    /// let timing = PrefillTiming::new(0.02).scaled(2.5);
    /// assert_eq!(timing.expected_ms(5_000.0).round(), 250.0);
    /// ```
    #[must_use]
    pub fn scaled(self, factor: f64) -> PrefillTiming {
        PrefillTiming {
            ms: self.ms * factor,
            tokens_by_ms: self.tokens_by_ms * factor,
            error_squared: self.error_squared * factor * factor,
            ..self
        }
    }

    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_by_ms += weight * tokens * ms;
    }

    /// Prefill time per token, in ms. At least half of what it would be without a constant part, so
    /// that a few outliers cannot reduce it to zero.
    pub fn ms_per_token(&self) -> f64 {
        let variance_term = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let covariance_term = self.weight * self.tokens_by_ms - self.tokens * self.ms;
        let without_constant = self.ms / self.tokens.max(1.0);
        let slope =
            if variance_term > 0.0 { covariance_term / variance_term } else { without_constant };
        slope.clamp(0.5 * without_constant, without_constant)
    }

    /// Constant part of a prefill, in ms.
    pub fn constant_ms(&self) -> f64 {
        let mean_ms = self.ms / self.weight;
        (mean_ms - self.ms_per_token() * self.tokens / self.weight).max(0.0)
    }

    /// Expected time in ms until `tokens` are prefilled, including the prompts queued ahead.
    pub fn expected_ms(&self, tokens: f64) -> f64 {
        self.constant_ms() + tokens * self.ms_per_token()
    }

    /// Time in ms within which five of six prefills of `tokens` end.
    pub fn likely_ms(&self, tokens: f64) -> f64 {
        self.expected_ms(tokens) + self.standard_error_ms()
    }

    /// Standard error of the predictions, in ms.
    pub fn standard_error_ms(&self) -> f64 {
        self.error_squared.sqrt()
    }
}
