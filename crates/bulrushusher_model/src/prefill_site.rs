//! Simulates the choice between prefill at a prefill runner and at a decode runner, for engines of
//! several shapes. Prefill runners process a queue; decode runners prefill in chunks between the
//! tokens of their runs.
//!
//! The gateway has exact knowledge of the load here, so that only the choice itself is measured.

use bulrushusher_forward::{
    DecodeLoad, PrefillSite, PrefillSiteConfig, PrefillTask, TimingConfig, TimingModel,
};
use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Prefill performance of an engine.
#[derive(Clone, Copy, Debug)]
pub struct PrefillShape {
    /// Prefill time per token at a prefill runner, in ms. A decode runner takes twice as long.
    pub ms_per_token: f64,
    /// Constant latency of a prefill, in ms. It overlaps with the prefill of other prompts.
    pub constant_ms: f64,
    /// Chunk size of a decode runner: tokens that it prefills between two tokens of its runs.
    pub chunk_tokens: f64,
    /// Tokens per event of a stream.
    pub tokens_per_event: f64,
    /// Duration of a decode step, which generates one token of every run, in ms.
    pub step_ms: f64,
}

impl PrefillShape {
    /// Many tokens per event, short steps and small chunks.
    pub const QUICK: PrefillShape = PrefillShape {
        ms_per_token: 0.018,
        constant_ms: 20.0,
        chunk_tokens: 512.0,
        tokens_per_event: 57.0,
        step_ms: 0.6,
    };

    /// Few tokens per event, long steps and larger chunks.
    pub const SLOW: PrefillShape = PrefillShape {
        ms_per_token: 0.018,
        constant_ms: 80.0,
        chunk_tokens: 1_024.0,
        tokens_per_event: 11.0,
        step_ms: 4.5,
    };

    /// One token per event, so that a prefill is spread over as many events as it has chunks.
    pub const SINGLE: PrefillShape = PrefillShape {
        ms_per_token: 0.018,
        constant_ms: 80.0,
        chunk_tokens: 1_024.0,
        tokens_per_event: 1.0,
        step_ms: 20.0,
    };
}

/// Runners and the load on them.
#[derive(Clone, Copy, Debug)]
pub struct PrefillLoad {
    /// Number of prefill runners.
    pub prefills: usize,
    /// Number of decode runners.
    pub decodes: usize,
    /// Number of runs at each decode runner.
    pub runs: usize,
    /// Share of a decode runner's memory that its runs need.
    pub fullness: f64,
    /// Rate of prompts, per second.
    pub per_second: f64,
    /// Duration of the load, in ms.
    pub length_ms: f64,
}

impl PrefillLoad {
    /// Loss of capacity just before a burst: one of two prefill runners and a decode runner are
    /// gone when twice the usual prompts arrive for 5 s.
    pub const LOST_BEFORE_A_BURST: PrefillLoad = PrefillLoad {
        prefills: 1,
        decodes: 6,
        runs: 6,
        fullness: 0.6,
        per_second: 21.0,
        length_ms: 5_000.0,
    };

    /// A burst on a complete pool whose decode memory is fully needed.
    pub const BURST_ON_FULL_MEMORY: PrefillLoad = PrefillLoad {
        prefills: 2,
        decodes: 7,
        runs: 11,
        fullness: 1.0,
        per_second: 23.0,
        length_ms: 4_000.0,
    };
}

/// How the site of a prefill is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillPolicy {
    /// By learned speeds, constant latencies and gaps between events.
    Learned,
    /// Decode runners prefill one prompt at a time, for at most 0.6 of the target for gaps.
    Fixed,
}

/// Results over all prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct PrefillOutcome {
    /// Number of prompts.
    pub prompts: u32,
    /// Prompts whose first event was within the target.
    pub on_time: u32,
    /// Prompts refused because no runner could prefill them in time.
    pub refused: u32,
    /// Other runs that missed the target for gaps because of a prefill.
    pub delayed_runs: u32,
    /// Time that decode runners spent on prefill, in ms.
    pub decode_ms: f64,
}

impl PrefillOutcome {
    /// Net gain: prompts on time minus delayed runs.
    pub fn net_on_time(&self) -> f64 {
        f64::from(self.on_time) - f64::from(self.delayed_runs)
    }
}

const TTFT_TARGET_MS: f64 = 900.0;
const GAP_TARGET_MS: f64 = 300.0;
/// Maximum time in the queue.
const MAX_WAIT_MS: f64 = 450.0;
/// Interval between attempts to place a queued prompt.
const RETRY_INTERVAL_MS: f64 = 12.0;
/// Duration of a generation.
const GENERATION_TIME: Millis = Millis(3_700);
const MEAN_TOKENS: f64 = 5_200.0;
const MAX_TOKENS: f64 = 11_000.0;

/// Number of prefills from which the gateway learns before the load starts.
const WARM_UP_PREFILLS: u32 = 40;

struct PrefillSimulation {
    shape: PrefillShape,
    load: PrefillLoad,
    policy: PrefillPolicy,
    rng: ChaCha8Rng,
    /// Phases of the runs' events. Separate from `rng`, so that all policies get the same prompts.
    phase_rng: ChaCha8Rng,
    timing: TimingModel,
    /// Time at which each prefill runner becomes idle, in ms.
    prefill_idle_at: Vec<f64>,
    /// Time at which each decode runner has no more prefill, in ms.
    decode_idle_at: Vec<f64>,
    outcome: PrefillOutcome,
}

/// Simulates a load on engines of a shape.
pub fn simulate_prefill_site(
    shape: PrefillShape,
    load: PrefillLoad,
    policy: PrefillPolicy,
    seed: u64,
) -> PrefillOutcome {
    let mut simulation = PrefillSimulation {
        shape,
        load,
        policy,
        rng: ChaCha8Rng::seed_from_u64(seed),
        phase_rng: ChaCha8Rng::seed_from_u64(seed + 1_000),
        timing: TimingModel::new(TimingConfig::default()),
        prefill_idle_at: vec![0.0; load.prefills],
        decode_idle_at: vec![0.0; load.decodes],
        outcome: PrefillOutcome::default(),
    };
    simulation.warm_up();
    let mut queue: Vec<(f64, f64)> = Vec::new();
    let mut next_arrival = 0.0;
    let mut now = 0.0;
    while now < load.length_ms + MAX_WAIT_MS {
        while next_arrival <= now && next_arrival < load.length_ms {
            queue.push((next_arrival, simulation.draw_tokens()));
            simulation.outcome.prompts += 1;
            next_arrival += simulation.draw_interval();
        }
        queue.retain(|(arrived, tokens)| !simulation.try_place(now, *arrived, *tokens));
        now += RETRY_INTERVAL_MS;
    }
    simulation.outcome
}

impl PrefillSimulation {
    fn draw_interval(&mut self) -> f64 {
        let draw: f64 = self.rng.random();
        -(1.0 - draw).ln() * 1_000.0 / self.load.per_second
    }

    /// Draws a prompt length. Two thirds of them are within a factor of 1.65 around the median.
    fn draw_tokens(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (MEAN_TOKENS * (0.5 * normal - 0.125).exp()).min(MAX_TOKENS)
    }

    /// Records prefills under ordinary load, so that the gateway has learned before the load
    /// starts.
    fn warm_up(&mut self) {
        for _ in 0..WARM_UP_PREFILLS {
            let tokens = self.draw_tokens();
            let queued = self.draw_tokens() * f64::from(self.rng.random_range(0..3_u8));
            let duration = self.shape.constant_ms + (queued + tokens) * self.shape.ms_per_token;
            self.timing.record_prefill((queued + tokens) as u64, Millis(duration as u64));
        }
    }

    /// Tries to place a prompt; returns true once it is placed or refused.
    fn try_place(&mut self, now: f64, arrived: f64, tokens: f64) -> bool {
        if now - arrived > MAX_WAIT_MS {
            self.outcome.refused += 1;
            return true;
        }
        let remaining = TTFT_TARGET_MS - (now - arrived);
        let prefill = first_idle(&self.prefill_idle_at);
        let queued = (self.prefill_idle_at[prefill] - now).max(0.0) / self.shape.ms_per_token;
        let decode = first_idle(&self.decode_idle_at);
        let prefilling =
            (self.decode_idle_at[decode] - now).max(0.0) / (2.0 * self.shape.ms_per_token);
        match self.choose(tokens, queued, prefilling, remaining) {
            Some(PrefillSite::Prefill) => {
                let start = self.prefill_idle_at[prefill].max(now);
                self.prefill_idle_at[prefill] = start + tokens * self.shape.ms_per_token;
                let end = self.prefill_idle_at[prefill] + self.shape.constant_ms;
                self.timing.record_prefill((queued + tokens) as u64, Millis((end - now) as u64));
                self.record_first_event(end - arrived);
            }
            Some(PrefillSite::Decode) => {
                self.prefill_at_decode(now, arrived, tokens, prefilling, decode);
            }
            None => return false,
        }
        true
    }

    fn choose(
        &self,
        tokens: f64,
        queued: f64,
        prefilling: f64,
        remaining: f64,
    ) -> Option<PrefillSite> {
        let event_gap = self.shape.tokens_per_event * self.shape.step_ms;
        if self.policy == PrefillPolicy::Fixed {
            let whole = (self.shape.constant_ms / MEAN_TOKENS + self.shape.ms_per_token) * tokens;
            let rate = whole / tokens;
            let may_prefill_at_decode =
                prefilling == 0.0 && 2.0 * whole + event_gap <= 0.6 * GAP_TARGET_MS;
            return match (queued + tokens) * rate <= remaining {
                true => Some(PrefillSite::Prefill),
                false => may_prefill_at_decode.then_some(PrefillSite::Decode),
            };
        }
        let prompt = PrefillTask {
            tokens: tokens as u64,
            queued_tokens: Some(queued as u64),
            distance_ms: 0.0,
            prefill_timing: self.timing.prefill(),
            decode_timing: self.timing.decode(),
            event_gap: Millis(event_gap as u64),
            gap_target: Millis(GAP_TARGET_MS as u64),
            pauses: self.timing.pauses(),
            generation_time: GENERATION_TIME,
            time_to_target: Millis(remaining as u64),
        };
        let load = DecodeLoad {
            prefilling_tokens: prefilling as u64,
            runs: self.load.runs,
            fullness: self.load.fullness,
            prefill_factor: 1.0,
        };
        let cfg = PrefillSiteConfig::default();
        let in_time = Millis(remaining as u64).since(cfg.first_event_delay);
        match (prompt.select_site(load, cfg), prompt.prefill_runner_is_in_time(in_time)) {
            (PrefillSite::Prefill, true) => Some(PrefillSite::Prefill),
            (PrefillSite::Prefill, false) => {
                prompt.decode_may_prefill(load).then_some(PrefillSite::Decode)
            }
            (PrefillSite::Decode, _) => Some(PrefillSite::Decode),
        }
    }

    fn prefill_at_decode(
        &mut self,
        now: f64,
        arrived: f64,
        tokens: f64,
        prefilling: f64,
        decode: usize,
    ) {
        let shape = self.shape;
        let chunks = ((prefilling + tokens) / shape.chunk_tokens).ceil();
        let prefill = 2.0 * tokens * shape.ms_per_token;
        let start = self.decode_idle_at[decode].max(now);
        self.decode_idle_at[decode] = start + prefill;
        self.outcome.decode_ms += prefill;
        let end = start + prefill + chunks * shape.step_ms + shape.constant_ms;
        if prefilling == 0.0 {
            self.timing.record_decode_prefill(tokens as u64, Millis((end - now) as u64));
        }
        let chunk_ms = 2.0 * shape.chunk_tokens * shape.ms_per_token;
        let whole = chunks * chunk_ms + shape.tokens_per_event * shape.step_ms;
        let mut longest: f64 = 0.0;
        for _ in 0..self.load.runs {
            // Chunks before the run's next event, and within each event after it.
            let first =
                (self.phase_rng.random::<f64>() * shape.tokens_per_event).ceil().min(chunks);
            let later = (chunks - first).min(shape.tokens_per_event);
            let gap = first.max(later) * chunk_ms + shape.tokens_per_event * shape.step_ms;
            longest = longest.max(gap);
            self.outcome.delayed_runs += u32::from(gap > GAP_TARGET_MS);
        }
        self.timing.record_pause(whole, Millis(longest as u64));
        self.record_first_event(end - arrived);
    }

    fn record_first_event(&mut self, prefill_ms: f64) {
        let first_event = PrefillSiteConfig::default().first_event_delay.0 as f64;
        self.outcome.on_time += u32::from(prefill_ms + first_event <= TTFT_TARGET_MS);
    }
}

fn first_idle(idle_at: &[f64]) -> usize {
    let by_time = |a: &usize, b: &usize| idle_at[*a].total_cmp(&idle_at[*b]);
    (0..idle_at.len()).min_by(by_time).unwrap_or(0)
}
