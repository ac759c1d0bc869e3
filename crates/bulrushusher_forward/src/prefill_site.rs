//! Where the prefill of a text generation runs.

use bulrushusher_time::Millis;

use crate::{PauseModel, PrefillTiming};

/// The runner that prefills a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillSite {
    /// The prefill runner under consideration.
    Prefill,
    /// The decode runner that holds memory for the run.
    Decode,
}

/// A prompt to prefill, with the estimates that decide where.
#[derive(Clone, Copy, Debug)]
pub struct PrefillTask {
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Tokens queued at the least loaded prefill runner; `None` if there is no prefill runner.
    pub queued_tokens: Option<u64>,
    /// Time by which the region of the prefill runner delays the first event, in ms.
    pub distance_ms: f64,
    /// Prefill times of an idle prefill runner.
    pub prefill_timing: PrefillTiming,
    /// Prefill times of a decode runner that interleaves them with the tokens of its runs.
    pub decode_timing: PrefillTiming,
    /// Time between two events of a run.
    pub event_gap: Millis,
    /// Target for the longest pause between events; zero for no target.
    pub gap_target: Millis,
    /// Pauses that prefills cause for other runs.
    pub pauses: PauseModel,
    /// Mean duration of a text generation.
    pub generation_time: Millis,
    /// Time left until the response-time target.
    pub time_to_target: Millis,
}

/// Load of a decode runner that may prefill a prompt itself.
#[derive(Clone, Copy, Debug)]
pub struct DecodeLoad {
    /// Prompt tokens that it is prefilling itself.
    pub prefilling_tokens: u64,
    /// Other runs at the decode runner.
    pub runs: usize,
    /// Share of its memory that its runs are forecast to need. If they need all of it, a delay of
    /// these runs keeps other requests waiting for memory.
    pub fullness: f64,
    /// Duration of its prefills relative to the mean of decode runners.
    pub prefill_factor: f64,
}

/// Limits of the decision.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSiteConfig {
    /// Time from the end of the prefill to the first event at the caller.
    pub first_event_delay: Millis,
    /// Share of the remaining time up to which a prefill runner's queue accepts prompts that a
    /// decode runner may prefill too; the rest is reserved for prompts that need a prefill runner.
    pub shared_queue_share: f64,
}

impl Default for PrefillSiteConfig {
    /// A first event takes some 80 ms after the prefill. A fifth of all prompts are too long for
    /// the pause target of a decode runner's runs.
    fn default() -> PrefillSiteConfig {
        PrefillSiteConfig { first_event_delay: Millis(80), shared_queue_share: 0.5 }
    }
}

/// Maximum cost of a prefill at a decode runner, in text generations: other runs there that its
/// pause makes late, and generations that could have been served in the time by which it delays
/// these runs, as far as the runner's memory is in demand. One generation served on time offsets
/// one made late; the difference to 1 is a margin for errors of the estimate.
const MAX_DECODE_COST: f64 = 0.4;

/// The same limit where a prefill runner would be in time too and is only kept free for longer
/// prompts: close to zero. With more, a pool of 27 gateways lost 0.015 to 0.02 of its score to
/// pauses.
const MAX_DECODE_COST_TO_SPARE: f64 = 0.02;

impl PrefillTask {
    /// Time in ms until the prefill runner has finished the prompt, and the decode runner has its KV
    /// cache.
    fn prefill_runner_ms(&self) -> Option<f64> {
        let likely_ms = |queued| {
            self.prefill_timing.likely_ms((queued + self.tokens) as f64) + self.distance_ms
        };
        self.queued_tokens.map(likely_ms)
    }

    /// True if a prefill runner finishes the prompt within `longest`.
    pub fn prefill_runner_is_in_time(&self, longest: Millis) -> bool {
        self.prefill_runner_ms().is_some_and(|ms| ms <= longest.0 as f64)
    }

    /// True if the decode runner may prefill the prompt: the cost to its other runs and to requests
    /// that wait for their memory is less than the benefit of the generation.
    pub fn decode_may_prefill(&self, decode: DecodeLoad) -> bool {
        self.cost_at_decode(decode) <= MAX_DECODE_COST
    }

    /// Prefill times of this decode runner.
    fn timing_at(&self, decode: DecodeLoad) -> PrefillTiming {
        self.decode_timing.scaled(decode.prefill_factor)
    }

    /// Cost of the prefill at the decode runner, in generations.
    fn cost_at_decode(&self, decode: DecodeLoad) -> f64 {
        let prefill_ms =
            (decode.prefilling_tokens + self.tokens) as f64 * self.timing_at(decode).ms_per_token();
        let pause = prefill_ms + self.event_gap.0 as f64;
        let late_share = self.pauses.late_share(pause, self.gap_target.0 as f64);
        let delayed = decode.fullness.powi(4) * prefill_ms / self.generation_time.0.max(1) as f64;
        decode.runs as f64 * (late_share + delayed)
    }

    /// Selects the runner that prefills the prompt: a prefill runner, unless its queue makes the
    /// first event late, the decode runner would finish sooner, and the pauses of its other runs
    /// stay acceptable.
    ///
    /// ```
    /// use bulrushusher_forward::{
    ///     DecodeLoad, PauseModel, PrefillSite, PrefillSiteConfig, PrefillTask, PrefillTiming,
    /// };
    /// use bulrushusher_time::Millis;
    /// let prompt = PrefillTask {
    ///     tokens: 5_000,
    ///     queued_tokens: Some(10_000),
    ///     distance_ms: 0.0,
    ///     prefill_timing: PrefillTiming::new(0.02),
    ///     decode_timing: PrefillTiming::new(0.04),
    ///     event_gap: Millis(50),
    ///     gap_target: Millis(300),
    ///     pauses: PauseModel::default(),
    ///     generation_time: Millis(4_000),
    ///     time_to_target: Millis(800),
    /// };
    /// let busy =
    ///     DecodeLoad { prefilling_tokens: 0, runs: 7, fullness: 0.5, prefill_factor: 1.0 };
    /// let cfg = PrefillSiteConfig::default();
    /// assert_eq!(prompt.select_site(busy, cfg), PrefillSite::Prefill, "300 ms are in time");
    /// let late = PrefillTask { queued_tokens: Some(40_000), ..prompt };
    /// assert_eq!(late.select_site(busy, cfg), PrefillSite::Decode);
    /// let busier = DecodeLoad { prefilling_tokens: 5_000, ..busy };
    /// assert_eq!(late.select_site(busier, cfg), PrefillSite::Prefill);
    /// let longer = PrefillTask { tokens: 9_000, ..late };
    /// assert_eq!(longer.select_site(busy, cfg), PrefillSite::Prefill, "the runs pause too long");
    /// assert_eq!(longer.select_site(DecodeLoad { runs: 0, ..busy }, cfg), PrefillSite::Decode);
    /// let without_prefill = PrefillTask { queued_tokens: None, ..longer };
    /// assert_eq!(without_prefill.select_site(busy, cfg), PrefillSite::Decode);
    /// ```
    pub fn select_site(&self, decode: DecodeLoad, cfg: PrefillSiteConfig) -> PrefillSite {
        let Some(prefill_runner_ms) = self.prefill_runner_ms() else { return PrefillSite::Decode };
        let decode_runner_ms =
            self.timing_at(decode).expected_ms((decode.prefilling_tokens + self.tokens) as f64);
        let left = self.time_to_target.since(cfg.first_event_delay).0 as f64;
        // If the prefill runner's queue is long but still in time, other runs take precedence.
        let max_cost =
            if prefill_runner_ms > left { MAX_DECODE_COST } else { MAX_DECODE_COST_TO_SPARE };
        let queue_is_long = prefill_runner_ms > left * cfg.shared_queue_share
            && decode_runner_ms < prefill_runner_ms;
        match queue_is_long && self.cost_at_decode(decode) <= max_cost {
            true => PrefillSite::Decode,
            false => PrefillSite::Prefill,
        }
    }
}
