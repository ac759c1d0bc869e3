//! How long prompts take to read and generations to end, learned from those that did.

use bulrushusher_time::Millis;

use crate::{LengthModel, PauseModel, ReadPace, RunShape};

/// First guesses and margins.
#[derive(Clone, Copy, Debug)]
pub struct PaceConfig {
    /// Reading time of one prompt token before any was seen, in ms.
    pub first_read_ms_per_token: f64,
    /// How much longer a decode runner takes for a prompt before any was seen.
    pub first_decode_factor: f64,
    /// Tokens that a run generates in one ms before any was seen.
    pub first_tokens_per_ms: f64,
    /// Duration of a generation before any was seen.
    pub first_generation: Millis,
    /// A reading that takes this many times as long as expected counts as lost.
    pub read_margin: f64,
    /// Added to that: what a short queue at the runner takes.
    pub read_slack: Millis,
    /// Weight of the newest observation.
    pub newest_weight: f64,
}

impl Default for PaceConfig {
    /// First guesses are those of a large model on two accelerators. What waits at a runner is
    /// known from all gateways but for the last milliseconds, hence two and a half times and a
    /// fifth of a second.
    fn default() -> PaceConfig {
        PaceConfig {
            first_read_ms_per_token: 0.02,
            first_decode_factor: 2.0,
            first_tokens_per_ms: 1.4,
            first_generation: Millis(5_000),
            read_margin: 2.5,
            read_slack: Millis(200),
            newest_weight: 0.1,
        }
    }
}

/// Running means.
///
/// ```
/// use bulrushusher_forward::{Pace, PaceConfig};
/// use bulrushusher_time::Millis;
/// let mut pace = Pace::new(PaceConfig::default());
/// assert_eq!(pace.longest_read(5_000), Millis(450));
/// for _ in 0..50 {
///     pace.note_read(5_000, Millis(200));
///     pace.note_generation(Millis(3_000), 4_000, 4_000);
/// }
/// assert!(pace.longest_read(5_000) > Millis(600));
/// assert!(pace.expected_generation() < Millis(4_500));
/// ```
#[derive(Clone, Debug)]
pub struct Pace {
    cfg: PaceConfig,
    prefill: ReadPace,
    decode: ReadPace,
    pauses: PauseModel,
    generation_ms: f64,
    tokens_per_ms: f64,
    lengths: LengthModel,
}

/// An expected generation is this many times the mean: all but a few end within it.
const GENERATION_MARGIN: f64 = 1.4;

impl Pace {
    /// Nothing was seen yet.
    pub fn new(cfg: PaceConfig) -> Pace {
        Pace {
            cfg,
            prefill: ReadPace::new(cfg.first_read_ms_per_token),
            decode: ReadPace::new(cfg.first_read_ms_per_token * cfg.first_decode_factor),
            pauses: PauseModel::default(),
            tokens_per_ms: cfg.first_tokens_per_ms,
            lengths: LengthModel::default(),
            generation_ms: cfg.first_generation.0 as f64 / GENERATION_MARGIN,
        }
    }

    /// So many tokens, a prompt and those in front of it, were read at a prefill runner.
    pub fn note_read(&mut self, tokens: u64, took: Millis) {
        if tokens > 0 {
            self.prefill.note(tokens as f64, took.0 as f64);
        }
    }

    /// A decode runner that read no other prompt has read one for a run of its own.
    pub fn note_decode_read(&mut self, tokens: u64, took: Millis) {
        if tokens > 0 {
            self.decode.note(tokens as f64, took.0 as f64);
        }
    }

    /// A run paused for `seen` while its decode runner read a prompt, whose whole reading would have
    /// made a pause of `whole` ms.
    pub fn note_pause(&mut self, whole: f64, seen: Millis) {
        self.pauses.note(whole, seen.0 as f64);
    }

    /// How fast an idle prefill runner reads.
    pub fn prefill(&self) -> ReadPace {
        self.prefill
    }

    /// How fast a decode runner reads between the tokens of its runs.
    pub fn decode(&self) -> ReadPace {
        self.decode
    }

    /// What readings at decode runners did to the other runs there.
    pub fn pauses(&self) -> PauseModel {
        self.pauses
    }

    /// A generation ended whole after `took`, with `made` tokens where `expected` were expected.
    pub fn note_generation(&mut self, took: Millis, expected: u64, made: u64) {
        let seen = took.0 as f64;
        self.generation_ms += self.cfg.newest_weight * (seen - self.generation_ms);
        if took.0 > 0 && made > 0 {
            let rate = made as f64 / seen;
            self.tokens_per_ms += self.cfg.newest_weight * (rate - self.tokens_per_ms);
        }
        self.lengths.note_end(expected as f64, made as f64);
    }

    /// Tokens that a run generates in one ms.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// How answers' lengths lie around what callers expect.
    pub fn lengths(&self) -> LengthModel {
        self.lengths
    }

    /// Time after which a reading counts as lost that ends when `tokens` were read.
    pub fn longest_read(&self, tokens: u64) -> Millis {
        let expected = self.prefill.expected(tokens as f64) * self.cfg.read_margin;
        Millis(expected as u64).plus(self.cfg.read_slack)
    }

    /// Share of the generations like this one that end within `left`, its prompt's reading included.
    ///
    /// ```
    /// use bulrushusher_forward::{Pace, PaceConfig, RunShape};
    /// use bulrushusher_time::Millis;
    /// let pace = Pace::new(PaceConfig::default());
    /// let run = RunShape { prompt: 5_000.0, made: 0.0, expected: 4_000.0, most: 9_000.0 };
    /// assert!(pace.share_that_ends(&run, Millis(14_000)) > 0.99);
    /// assert!(pace.share_that_ends(&run, Millis(1_000)) < 0.05);
    /// ```
    pub fn share_that_ends(&self, run: &RunShape, left: Millis) -> f64 {
        let reading = Millis(self.prefill.expected(run.prompt) as u64);
        let tokens = left.since(reading).0 as f64 * self.tokens_per_ms;
        1.0 - self.lengths.survival(run, tokens)
    }

    /// Time that a generation takes in the mean.
    pub fn mean_generation(&self) -> Millis {
        Millis(self.generation_ms as u64)
    }

    /// Time within which nearly all generations end.
    pub fn expected_generation(&self) -> Millis {
        Millis((self.generation_ms * GENERATION_MARGIN) as u64)
    }
}
