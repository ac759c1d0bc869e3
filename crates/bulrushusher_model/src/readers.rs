//! Who reads prompts, played on engines of several shapes: prefill runners with a line each, decode
//! runners that read in pieces between the tokens of their runs.
//!
//! The gateways' knowledge is exact here, so that what is measured is the choice itself.

use bulrushusher_forward::{
    DecodeLoad, PrefillSite, PrefillSiteConfig, PrefillTask, TimingConfig, TimingModel,
};
use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// An engine, as far as reading goes.
#[derive(Clone, Copy, Debug)]
pub struct ReadingShape {
    /// Time of a token at a prefill runner, in ms; a decode runner takes twice as long.
    pub ms_per_token: f64,
    /// The part that each prompt takes beside, in ms; those of several prompts overlap.
    pub constant_ms: f64,
    /// Tokens that a decode runner reads between two tokens of its runs.
    pub piece: f64,
    /// Tokens in one event.
    pub stride: f64,
    /// Time of one token of all runs at a runner, in ms.
    pub step_ms: f64,
}

impl ReadingShape {
    /// Many tokens an event, short steps, small pieces.
    pub const QUICK: ReadingShape = ReadingShape {
        ms_per_token: 0.018,
        constant_ms: 20.0,
        piece: 512.0,
        stride: 57.0,
        step_ms: 0.6,
    };

    /// Few tokens an event, long steps, larger pieces.
    pub const SLOW: ReadingShape = ReadingShape {
        ms_per_token: 0.018,
        constant_ms: 80.0,
        piece: 1_024.0,
        stride: 11.0,
        step_ms: 4.5,
    };

    /// One token an event: a reading is spread over as many events as it has pieces.
    pub const SINGLE: ReadingShape = ReadingShape {
        ms_per_token: 0.018,
        constant_ms: 80.0,
        piece: 1_024.0,
        stride: 1.0,
        step_ms: 20.0,
    };
}

/// A load on some runners.
#[derive(Clone, Copy, Debug)]
pub struct ReadingLoad {
    /// Prefill runners.
    pub prefills: usize,
    /// Decode runners.
    pub decodes: usize,
    /// Runs at each decode runner, and the share of its memory that they need.
    pub runs: usize,
    /// The share of its memory.
    pub fullness: f64,
    /// Prompts a second.
    pub per_second: f64,
    /// How long it lasts, in ms.
    pub length_ms: f64,
}

impl ReadingLoad {
    /// Capacity is lost just before a burst: one of two prefill runners and a decode runner are gone
    /// when twice the usual prompts come for five seconds.
    pub const LOST_BEFORE_A_BURST: ReadingLoad = ReadingLoad {
        prefills: 1,
        decodes: 6,
        runs: 6,
        fullness: 0.6,
        per_second: 21.0,
        length_ms: 5_000.0,
    };

    /// A burst on a whole pool whose decode memory is all needed.
    pub const BURST_ON_FULL_MEMORY: ReadingLoad = ReadingLoad {
        prefills: 2,
        decodes: 7,
        runs: 11,
        fullness: 1.0,
        per_second: 23.0,
        length_ms: 4_000.0,
    };
}

/// How it is decided who reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadingPolicy {
    /// Rates, constant parts and pauses are learned.
    Learned,
    /// One reading at a time at a decode runner, of 0.6 of the target for pauses at most.
    Fixed,
}

/// What became of the prompts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadingOutcome {
    /// Prompts that came.
    pub asked: u32,
    /// First events within the target.
    pub on_time: u32,
    /// Prompts that nobody could read in time.
    pub refused: u32,
    /// Other runs that a reading made late by a pause.
    pub made_late: u32,
    /// Time that decode runners spent on readings, in ms.
    pub decode_ms: f64,
}

impl ReadingOutcome {
    /// Generations won: those on time, less runs made late.
    pub fn won(&self) -> f64 {
        f64::from(self.on_time) - f64::from(self.made_late)
    }
}

const TARGET_MS: f64 = 900.0;
const GAP_TARGET_MS: f64 = 300.0;
const LONGEST_WAIT_MS: f64 = 450.0;
const ASK_AGAIN_MS: f64 = 12.0;
const GENERATION: Millis = Millis(3_700);
const MEAN_TOKENS: f64 = 5_200.0;
const MOST_TOKENS: f64 = 11_000.0;

/// Readings by which a pool has learned before the load begins.
const LEARNED_FROM: u32 = 40;

struct Play {
    shape: ReadingShape,
    load: ReadingLoad,
    policy: ReadingPolicy,
    rng: ChaCha8Rng,
    /// Where the events of runs lie; drawn apart, so that all policies meet the same prompts.
    phases: ChaCha8Rng,
    pace: TimingModel,
    /// When each runner has read what it has.
    prefill_free: Vec<f64>,
    decode_free: Vec<f64>,
    outcome: ReadingOutcome,
}

/// Plays a load on an engine's shape.
pub fn play_readings(
    shape: ReadingShape,
    load: ReadingLoad,
    policy: ReadingPolicy,
    seed: u64,
) -> ReadingOutcome {
    let mut play = Play {
        shape,
        load,
        policy,
        rng: ChaCha8Rng::seed_from_u64(seed),
        phases: ChaCha8Rng::seed_from_u64(seed + 1_000),
        pace: TimingModel::new(TimingConfig::default()),
        prefill_free: vec![0.0; load.prefills],
        decode_free: vec![0.0; load.decodes],
        outcome: ReadingOutcome::default(),
    };
    play.learn();
    let mut waiting: Vec<(f64, f64)> = Vec::new();
    let mut next = 0.0;
    let mut now = 0.0;
    while now < load.length_ms + LONGEST_WAIT_MS {
        while next <= now && next < load.length_ms {
            waiting.push((next, play.draw_tokens()));
            play.outcome.asked += 1;
            next += play.draw_gap();
        }
        waiting.retain(|(came, tokens)| !play.try_one(now, *came, *tokens));
        now += ASK_AGAIN_MS;
    }
    play.outcome
}

impl Play {
    fn draw_gap(&mut self) -> f64 {
        let draw: f64 = self.rng.random();
        -(1.0 - draw).ln() * 1_000.0 / self.load.per_second
    }

    /// Sizes lie around the mean by a factor of 1.65 for two thirds of the prompts.
    fn draw_tokens(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (MEAN_TOKENS * (0.5 * normal - 0.125).exp()).min(MOST_TOKENS)
    }

    /// What the gateways saw on an ordinary day before.
    fn learn(&mut self) {
        for _ in 0..LEARNED_FROM {
            let tokens = self.draw_tokens();
            let ahead = self.draw_tokens() * f64::from(self.rng.random_range(0..3_u8));
            let took = self.shape.constant_ms + (ahead + tokens) * self.shape.ms_per_token;
            self.pace.record_prefill((ahead + tokens) as u64, Millis(took as u64));
        }
    }

    /// True when the prompt needs no further try.
    fn try_one(&mut self, now: f64, came: f64, tokens: f64) -> bool {
        if now - came > LONGEST_WAIT_MS {
            self.outcome.refused += 1;
            return true;
        }
        let left = TARGET_MS - (now - came);
        let prefill = first_free(&self.prefill_free);
        let ahead = (self.prefill_free[prefill] - now).max(0.0) / self.shape.ms_per_token;
        let decode = first_free(&self.decode_free);
        let there = (self.decode_free[decode] - now).max(0.0) / (2.0 * self.shape.ms_per_token);
        match self.choose(tokens, ahead, there, left) {
            Some(PrefillSite::Prefill) => {
                let begin = self.prefill_free[prefill].max(now);
                self.prefill_free[prefill] = begin + tokens * self.shape.ms_per_token;
                let read = self.prefill_free[prefill] + self.shape.constant_ms;
                self.pace.record_prefill((ahead + tokens) as u64, Millis((read - now) as u64));
                self.note_first_event(read - came);
            }
            Some(PrefillSite::Decode) => self.read_at_decode(now, came, tokens, there, decode),
            None => return false,
        }
        true
    }

    fn choose(&self, tokens: f64, ahead: f64, there: f64, left: f64) -> Option<PrefillSite> {
        let event_gap = self.shape.stride * self.shape.step_ms;
        if self.policy == ReadingPolicy::Fixed {
            let whole = (self.shape.constant_ms / MEAN_TOKENS + self.shape.ms_per_token) * tokens;
            let rate = whole / tokens;
            let may = there == 0.0 && 2.0 * whole + event_gap <= 0.6 * GAP_TARGET_MS;
            return match (ahead + tokens) * rate <= left {
                true => Some(PrefillSite::Prefill),
                false => may.then_some(PrefillSite::Decode),
            };
        }
        let prompt = PrefillTask {
            tokens: tokens as u64,
            queued_tokens: Some(ahead as u64),
            prefill_timing: self.pace.prefill(),
            decode_timing: self.pace.decode(),
            event_gap: Millis(event_gap as u64),
            gap_target: Millis(GAP_TARGET_MS as u64),
            pauses: self.pace.pauses(),
            generation_time: GENERATION,
            time_to_target: Millis(left as u64),
        };
        let load = DecodeLoad {
            prefilling_tokens: there as u64,
            runs: self.load.runs,
            fullness: self.load.fullness,
        };
        let cfg = PrefillSiteConfig::default();
        let in_time = Millis(left as u64).since(cfg.first_event_delay);
        match (prompt.select_site(load, cfg), prompt.prefill_runner_is_in_time(in_time)) {
            (PrefillSite::Prefill, true) => Some(PrefillSite::Prefill),
            (PrefillSite::Prefill, false) => {
                prompt.decode_may_prefill(load).then_some(PrefillSite::Decode)
            }
            (PrefillSite::Decode, _) => Some(PrefillSite::Decode),
        }
    }

    fn read_at_decode(&mut self, now: f64, came: f64, tokens: f64, there: f64, decode: usize) {
        let shape = self.shape;
        let pieces = ((there + tokens) / shape.piece).ceil();
        let reading = 2.0 * tokens * shape.ms_per_token;
        let begin = self.decode_free[decode].max(now);
        self.decode_free[decode] = begin + reading;
        self.outcome.decode_ms += reading;
        let read = begin + reading + pieces * shape.step_ms + shape.constant_ms;
        if there == 0.0 {
            self.pace.record_decode_prefill(tokens as u64, Millis((read - now) as u64));
        }
        let piece_ms = 2.0 * shape.piece * shape.ms_per_token;
        let whole = pieces * piece_ms + shape.stride * shape.step_ms;
        let mut longest: f64 = 0.0;
        for _ in 0..self.load.runs {
            // Pieces before the run's next event, and in the events after it.
            let first = (self.phases.random::<f64>() * shape.stride).ceil().min(pieces);
            let later = (pieces - first).min(shape.stride);
            let pause = first.max(later) * piece_ms + shape.stride * shape.step_ms;
            longest = longest.max(pause);
            self.outcome.made_late += u32::from(pause > GAP_TARGET_MS);
        }
        self.pace.record_pause(whole, Millis(longest as u64));
        self.note_first_event(read - came);
    }

    fn note_first_event(&mut self, read_ms: f64) {
        let first_event = PrefillSiteConfig::default().first_event_delay.0 as f64;
        self.outcome.on_time += u32::from(read_ms + first_event <= TARGET_MS);
    }
}

fn first_free(free: &[f64]) -> usize {
    let by_time = |a: &usize, b: &usize| free[*a].total_cmp(&free[*b]);
    (0..free.len()).min_by(by_time).unwrap_or(0)
}
