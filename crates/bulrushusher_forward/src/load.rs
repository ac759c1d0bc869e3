//! What this process has at each runner, and how its calls there went.

use std::collections::HashMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

/// How results are weighed.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// Weight of the newest result in the running means.
    pub newest_weight: f64,
    /// First pause after a runner could not be reached or stayed silent; doubles each time.
    pub first_pause: Millis,
    /// Longest such pause.
    pub longest_pause: Millis,
    /// How long a refused hold or call speaks against a runner.
    pub refusal_fades: Millis,
    /// How long a call that tries a silent runner again keeps others from it.
    pub trial: Millis,
}

impl Default for LoadConfig {
    /// A quarter follows a runner that turns slow or failing within some ten calls. The pauses
    /// bound what a dead runner costs to about one call in four seconds; a refusal is stale
    /// once one more answer may have ended there. A call to a runner that is still silent is given
    /// up within a second; without the trial a dozen calls met it at once after each pause.
    fn default() -> LoadConfig {
        LoadConfig {
            newest_weight: 0.25,
            first_pause: Millis(300),
            longest_pause: Millis(4_000),
            refusal_fades: Millis(60),
            trial: Millis(1_000),
        }
    }
}

/// How a call to a runner ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// It answered after that time.
    Answered(Millis),
    /// It answered with a failure of its own.
    Failed,
    /// It said that it did not run the request.
    NotRun,
    /// It could not be reached, broke off or stayed silent.
    Unreachable,
    /// It was not called: it had asked for that, which says nothing against it.
    Withheld,
}

/// Tells apart what is known of a runner before and after it was forgotten: a call that began
/// before does not count off one that began after.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadLife(u64);

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunnerLoad {
    life: LoadLife,
    pub in_flight: u32,
    pub prompt_tokens: u64,
    mean_ms: f64,
    failure_share: f64,
    unreachable_in_row: u32,
    paused_until: Millis,
    /// When a call began that tries a silent runner again.
    tried_at: Option<Millis>,
    refused: Option<Millis>,
}

/// Loads and results of all runners, as this process sees them.
#[derive(Clone, Debug)]
pub struct RunnerLoads {
    cfg: LoadConfig,
    loads: HashMap<RunnerId, RunnerLoad>,
    lives: u64,
}

impl RunnerLoads {
    /// Nothing was sent yet.
    pub fn new(cfg: LoadConfig) -> RunnerLoads {
        RunnerLoads { cfg, loads: HashMap::new(), lives: 0 }
    }

    pub(crate) fn get(&self, id: &RunnerId) -> RunnerLoad {
        self.loads.get(id).copied().unwrap_or_default()
    }

    /// What is known of the runner; nothing yet if it is new.
    fn load(&mut self, id: &RunnerId) -> &mut RunnerLoad {
        self.loads.entry(id.clone()).or_insert_with(|| {
            self.lives += 1;
            RunnerLoad { life: LoadLife(self.lives), ..RunnerLoad::default() }
        })
    }

    /// A call to the runner begins; `prompt_tokens` are to be read there.
    pub fn begin(&mut self, id: &RunnerId, prompt_tokens: u64) -> LoadLife {
        let load = self.load(id);
        load.in_flight += 1;
        load.prompt_tokens += prompt_tokens;
        load.life
    }

    /// A call to the runner is about to be made. If it was silent, this one tries it for all others.
    pub fn note_trial(&mut self, id: &RunnerId, now: Millis) {
        if let Some(load) = self.loads.get_mut(id).filter(|load| load.unreachable_in_row > 0) {
            load.tried_at = Some(now);
        }
    }

    /// Runners that could not be reached lately.
    pub fn silent(&self, now: Millis) -> Vec<RunnerId> {
        let silent = |load: &RunnerLoad| load.unreachable_in_row > 0;
        let all = self.loads.iter().filter(|(id, load)| silent(load) && self.is_paused(id, now));
        all.map(|(id, _)| id.clone()).collect()
    }

    /// A call begun with the same `prompt_tokens` is over. One that began before the runner was
    /// forgotten is not counted any more.
    pub fn end(&mut self, id: &RunnerId, life: LoadLife, prompt_tokens: u64) {
        let Some(load) = self.loads.get_mut(id).filter(|load| load.life == life) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        load.prompt_tokens = load.prompt_tokens.saturating_sub(prompt_tokens);
    }

    /// Prompt tokens that are to be read at a runner.
    pub fn prompt_tokens(&self, id: &RunnerId) -> u64 {
        self.get(id).prompt_tokens
    }

    /// Prompt tokens that are to be read, by runner.
    pub fn reads(&self) -> Vec<(RunnerId, u64)> {
        let reading = self.loads.iter().filter(|(_, load)| load.prompt_tokens > 0);
        reading.map(|(id, load)| (id.clone(), load.prompt_tokens)).collect()
    }

    /// The runner had no room for a hold.
    pub fn hold_refused(&mut self, id: &RunnerId, now: Millis) {
        self.load(id).refused = Some(now);
    }

    /// Takes in how a call went.
    pub fn note(&mut self, id: &RunnerId, result: CallResult, now: Millis) {
        if result == CallResult::Withheld {
            return;
        }
        let LoadConfig { newest_weight: weight, first_pause, longest_pause, .. } = self.cfg;
        let load = self.load(id);
        let failure = match result {
            CallResult::Answered(took) => {
                load.mean_ms = mix(load.mean_ms, took.0 as f64, weight);
                0.0
            }
            CallResult::Failed | CallResult::Unreachable => 1.0,
            CallResult::NotRun | CallResult::Withheld => load.failure_share,
        };
        load.failure_share = mix(load.failure_share, failure, weight);
        if result == CallResult::NotRun {
            load.refused = Some(now);
        }
        match result {
            CallResult::Unreachable => {
                let doublings = load.unreachable_in_row.min(8);
                load.unreachable_in_row += 1;
                let pause = (first_pause.0 << doublings).min(longest_pause.0);
                load.paused_until = now.plus(Millis(pause));
                load.tried_at = None;
            }
            CallResult::Answered(_) | CallResult::Failed | CallResult::NotRun => {
                load.reached(now);
            }
            CallResult::Withheld => {}
        }
    }

    /// The runner answered a call that says nothing else of it.
    pub fn note_reached(&mut self, id: &RunnerId, now: Millis) {
        if let Some(load) = self.loads.get_mut(id) {
            load.reached(now);
        }
    }

    /// The runner takes no work until then.
    pub fn pause(&mut self, id: &RunnerId, until: Millis) {
        self.load(id).paused_until = until;
    }

    /// Forgets a runner that is gone.
    pub fn forget(&mut self, id: &RunnerId) {
        self.loads.remove(id);
    }

    /// True while the runner should be passed over: it was unreachable a moment ago, or a call is
    /// trying whether it still is.
    pub fn is_paused(&self, id: &RunnerId, now: Millis) -> bool {
        let load = self.get(id);
        let is_tried = load.tried_at.is_some_and(|at| now.since(at) < self.cfg.trial);
        now < load.paused_until || is_tried
    }

    /// True while nothing that happened a moment ago speaks against another call.
    pub fn takes_calls(&self, id: &RunnerId, now: Millis) -> bool {
        !self.is_paused(id, now) && !self.is_full(id, now)
    }

    /// True when the runner refused a hold or a call so lately that it will refuse again.
    pub(crate) fn is_full(&self, id: &RunnerId, now: Millis) -> bool {
        let refused = self.get(id).refused;
        refused.is_some_and(|at| now.since(at) < self.cfg.refusal_fades)
    }
}

impl RunnerLoad {
    /// An answer ends only a pause for silence: a runner that changes its stage still ends what it
    /// had.
    fn reached(&mut self, now: Millis) {
        if self.unreachable_in_row > 0 {
            self.paused_until = now;
        }
        self.unreachable_in_row = 0;
        self.tried_at = None;
    }

    /// Mean time of its answers, in ms; `None` when it has not answered yet.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.mean_ms > 0.0).then_some(self.mean_ms)
    }

    /// Expected time of one more call, in ms, with failures counted as time lost. A runner that has not
    /// answered yet is taken to be as quick as the quickest of its pool, which takes `quickest_ms`.
    pub fn expected_ms(&self, slots: u32, quickest_ms: f64) -> f64 {
        let queue = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        let mean = self.mean_ms().unwrap_or(quickest_ms).max(1.0);
        let failures = 1.0 + FAILURE_COST * self.failure_share;
        mean * failures * (1.0 + queue)
    }
}

/// A failed call costs the caller about this many calls: the lost one, and the repeat's wait.
const FAILURE_COST: f64 = 4.0;

fn mix(old: f64, new: f64, weight: f64) -> f64 {
    if old == 0.0 { new } else { old + weight * (new - old) }
}
