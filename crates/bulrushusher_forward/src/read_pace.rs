//! How long a runner takes for a prompt: a part that every prompt takes, and one for each token.

/// A line through what was seen: time by tokens, older readings fading.
///
/// Taking the whole time for that of the tokens makes a line of prompts look a third longer than it
/// is, where the constant part is 80 ms and a prompt takes 90: the constant parts of prompts that
/// follow each other overlap.
///
/// ```
/// use bulrushusher_forward::ReadPace;
/// let mut pace = ReadPace::new(0.02);
/// for n in 0..200_u32 {
///     let tokens = 2_000.0 + 40.0 * f64::from(n);
///     pace.note(tokens, 80.0 + 0.018 * tokens);
/// }
/// assert!((pace.ms_per_token() - 0.018).abs() < 0.001);
/// assert!((pace.expected(5_000.0) - 170.0).abs() < 5.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadPace {
    weight: f64,
    tokens: f64,
    ms: f64,
    tokens_squared: f64,
    tokens_by_ms: f64,
    /// Mean square of what readings took beyond or below what was expected.
    error_squared: f64,
}

/// What is left of a reading's weight with the next one: some thirty are remembered.
const KEPT: f64 = 0.97;

/// Sizes at which the first guess counts as seen; they span usual prompts.
const GUESSED_AT: [f64; 2] = [1_000.0, 9_000.0];

/// Weight of the first guess, in readings: it is outweighed after a few.
const GUESS_WEIGHT: f64 = 1.0;

impl ReadPace {
    /// Nothing was seen yet; a token is guessed to take `ms_per_token`.
    pub fn new(ms_per_token: f64) -> ReadPace {
        let mut pace = ReadPace {
            weight: 0.0,
            tokens: 0.0,
            ms: 0.0,
            tokens_squared: 0.0,
            tokens_by_ms: 0.0,
            error_squared: 0.0,
        };
        for tokens in GUESSED_AT {
            pace.add(tokens, tokens * ms_per_token, GUESS_WEIGHT);
        }
        pace
    }

    /// So many tokens, a prompt and those in front of it, took `ms`.
    pub fn note(&mut self, tokens: f64, ms: f64) {
        let error = ms - self.expected(tokens);
        self.error_squared = KEPT * self.error_squared + (1.0 - KEPT) * error * error;
        for sum in [
            &mut self.weight,
            &mut self.tokens,
            &mut self.ms,
            &mut self.tokens_squared,
            &mut self.tokens_by_ms,
        ] {
            *sum *= KEPT;
        }
        self.add(tokens, ms, 1.0);
    }

    fn add(&mut self, tokens: f64, ms: f64, weight: f64) {
        self.weight += weight;
        self.tokens += weight * tokens;
        self.ms += weight * ms;
        self.tokens_squared += weight * tokens * tokens;
        self.tokens_by_ms += weight * tokens * ms;
    }

    /// Time of one token, in ms: at least half of what it would be without a constant part, so that
    /// a few odd readings do not make it nothing.
    pub fn ms_per_token(&self) -> f64 {
        let spread = self.weight * self.tokens_squared - self.tokens * self.tokens;
        let together = self.weight * self.tokens_by_ms - self.tokens * self.ms;
        let whole = self.ms / self.tokens.max(1.0);
        let slope = if spread > 0.0 { together / spread } else { whole };
        slope.clamp(0.5 * whole, whole)
    }

    /// The part that every prompt takes, in ms.
    pub fn constant_ms(&self) -> f64 {
        let mean_ms = self.ms / self.weight;
        (mean_ms - self.ms_per_token() * self.tokens / self.weight).max(0.0)
    }

    /// Time until so many tokens are read, those in front of the last prompt included.
    pub fn expected(&self, tokens: f64) -> f64 {
        self.constant_ms() + tokens * self.ms_per_token()
    }

    /// Time within which five of six readings of so many tokens end.
    pub fn likely(&self, tokens: f64) -> f64 {
        self.expected(tokens) + self.spread_ms()
    }

    /// How far readings lie from what is expected, in ms.
    pub fn spread_ms(&self) -> f64 {
        self.error_squared.sqrt()
    }
}
