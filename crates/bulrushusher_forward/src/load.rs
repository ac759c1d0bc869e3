//! Load that this gateway puts on each runner, and the results of its calls there.

use std::collections::HashMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

/// How the results of calls change a runner's load estimate, and how long failed calls keep further
/// calls away from it.
#[derive(Clone, Copy, Debug)]
pub struct LoadConfig {
    /// Weight of the newest result in the moving averages.
    pub newest_weight: f64,
    /// First pause after a runner was unreachable or timed out; it doubles with each further
    /// failure.
    pub initial_pause: Millis,
    /// Maximum pause.
    pub max_pause: Millis,
    /// How long a refused hold or call counts against a runner.
    pub refusal_lifetime: Millis,
    /// How long a probe of an unreachable runner holds back other calls to it.
    pub probe_timeout: Millis,
}

impl Default for LoadConfig {
    /// With a weight of a quarter the averages follow a runner that becomes slow or failing within
    /// about ten calls. The pauses limit the cost of a dead runner to about one call in four
    /// seconds. A refusal expires when another run may have ended. A call to a runner that still
    /// does not respond is abandoned within a second; without the probe a dozen calls reached it at
    /// once after each pause.
    fn default() -> LoadConfig {
        LoadConfig {
            newest_weight: 0.25,
            initial_pause: Millis(300),
            max_pause: Millis(4_000),
            refusal_lifetime: Millis(60),
            probe_timeout: Millis(1_000),
        }
    }
}

/// Result of a call to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallResult {
    /// The runner answered after this time.
    Answered(Millis),
    /// The runner answered with an error of its own.
    Failed,
    /// The runner answered that it did not run the request.
    NotRun,
    /// The runner was unreachable, closed the connection or timed out.
    Unreachable,
    /// The call was withheld because of the runner's back-pressure; this does not count against it.
    Withheld,
}

/// Distinguishes the records kept before and after a runner was forgotten, so that the end of an
/// earlier call is not subtracted from the load of later ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadEpoch(u64);

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RunnerLoad {
    epoch: LoadEpoch,
    pub in_flight: u32,
    pub queued_prompt_tokens: u64,
    mean_ms: f64,
    failure_share: f64,
    consecutive_unreachable: u32,
    paused_until: Millis,
    /// When the last probe of the unreachable runner was sent.
    probed_at: Option<Millis>,
    refused_at: Option<Millis>,
}

/// Loads and call results of all runners, as this gateway sees them.
#[derive(Clone, Debug)]
pub struct RunnerLoads {
    cfg: LoadConfig,
    loads: HashMap<RunnerId, RunnerLoad>,
    last_epoch: u64,
}

impl RunnerLoads {
    /// Creates an empty record: no calls were sent yet.
    pub fn new(cfg: LoadConfig) -> RunnerLoads {
        RunnerLoads { cfg, loads: HashMap::new(), last_epoch: 0 }
    }

    pub(crate) fn get(&self, id: &RunnerId) -> RunnerLoad {
        self.loads.get(id).copied().unwrap_or_default()
    }

    /// The record of the runner, created if there is none.
    fn entry(&mut self, id: &RunnerId) -> &mut RunnerLoad {
        self.loads.entry(id.clone()).or_insert_with(|| {
            self.last_epoch += 1;
            RunnerLoad { epoch: LoadEpoch(self.last_epoch), ..RunnerLoad::default() }
        })
    }

    /// Counts a call to the runner, with the number of prompt tokens to prefill there.
    pub fn begin(&mut self, id: &RunnerId, prompt_tokens: u64) -> LoadEpoch {
        let entry = self.entry(id);
        entry.in_flight += 1;
        entry.queued_prompt_tokens += prompt_tokens;
        entry.epoch
    }

    /// Records that a call is about to be sent. If the runner was unreachable, this call is its
    /// probe and holds back others.
    pub fn record_probe(&mut self, id: &RunnerId, now: Millis) {
        if let Some(entry) =
            self.loads.get_mut(id).filter(|entry| entry.consecutive_unreachable > 0)
        {
            entry.probed_at = Some(now);
        }
    }

    /// Runners that could not be reached recently.
    pub fn unreachable(&self, now: Millis) -> Vec<RunnerId> {
        let is_unreachable = |entry: &RunnerLoad| entry.consecutive_unreachable > 0;
        let all = self
            .loads
            .iter()
            .filter(|(id, entry)| is_unreachable(entry) && self.is_paused(id, now));
        all.map(|(id, _)| id.clone()).collect()
    }

    /// Ends a call that was begun with the same `prompt_tokens`. A call from before the runner was
    /// forgotten is ignored.
    pub fn end(&mut self, id: &RunnerId, epoch: LoadEpoch, prompt_tokens: u64) {
        let Some(entry) = self.loads.get_mut(id).filter(|entry| entry.epoch == epoch) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.queued_prompt_tokens = entry.queued_prompt_tokens.saturating_sub(prompt_tokens);
    }

    /// Prompt tokens that this gateway has queued at a runner.
    pub fn queued_prompt_tokens(&self, id: &RunnerId) -> u64 {
        self.get(id).queued_prompt_tokens
    }

    /// Prompt tokens that this gateway has queued, by runner.
    pub fn queued_prompts(&self) -> Vec<(RunnerId, u64)> {
        let queued = self.loads.iter().filter(|(_, entry)| entry.queued_prompt_tokens > 0);
        queued.map(|(id, entry)| (id.clone(), entry.queued_prompt_tokens)).collect()
    }

    /// Records that the runner had no memory for a hold.
    pub fn record_hold_refusal(&mut self, id: &RunnerId, now: Millis) {
        self.entry(id).refused_at = Some(now);
    }

    /// Records the result of a call.
    pub fn record(&mut self, id: &RunnerId, result: CallResult, now: Millis) {
        if result == CallResult::Withheld {
            return;
        }
        let LoadConfig { newest_weight: weight, initial_pause, max_pause, .. } = self.cfg;
        let entry = self.entry(id);
        let failure = match result {
            CallResult::Answered(took) => {
                entry.mean_ms = moving_average(entry.mean_ms, took.0 as f64, weight);
                0.0
            }
            CallResult::Failed | CallResult::Unreachable => 1.0,
            CallResult::NotRun | CallResult::Withheld => entry.failure_share,
        };
        entry.failure_share = moving_average(entry.failure_share, failure, weight);
        if result == CallResult::NotRun {
            entry.refused_at = Some(now);
        }
        match result {
            CallResult::Unreachable => {
                let doublings = entry.consecutive_unreachable.min(8);
                entry.consecutive_unreachable += 1;
                let pause = (initial_pause.0 << doublings).min(max_pause.0);
                entry.paused_until = now.plus(Millis(pause));
                entry.probed_at = None;
            }
            CallResult::Answered(_) | CallResult::Failed | CallResult::NotRun => {
                entry.mark_reachable(now);
            }
            CallResult::Withheld => {}
        }
    }

    /// Records an answer that proves only that the runner is reachable.
    pub fn record_reachable(&mut self, id: &RunnerId, now: Millis) {
        if let Some(entry) = self.loads.get_mut(id) {
            entry.mark_reachable(now);
        }
    }

    /// Sends the runner no work until `until`.
    pub fn pause(&mut self, id: &RunnerId, until: Millis) {
        self.entry(id).paused_until = until;
    }

    /// Forgets a runner that is gone.
    pub fn forget(&mut self, id: &RunnerId) {
        self.loads.remove(id);
    }

    /// True while the runner should be skipped: it was unreachable recently, or a probe is in
    /// flight.
    pub fn is_paused(&self, id: &RunnerId, now: Millis) -> bool {
        let entry = self.get(id);
        let is_probing = entry.probed_at.is_some_and(|at| now.since(at) < self.cfg.probe_timeout);
        now < entry.paused_until || is_probing
    }

    /// Cost factor of a runner that fails more than half of its calls. Single failures are usual for
    /// some callers' requests and leave it at 1.
    pub(crate) fn failure_factor(&self, id: &RunnerId) -> f64 {
        let excess = (self.get(id).failure_share - 0.5).max(0.0);
        1.0 + FAILURE_COST * 2.0 * excess
    }

    /// True if the runner is neither paused nor has recently refused work.
    pub fn accepts_calls(&self, id: &RunnerId, now: Millis) -> bool {
        !self.is_paused(id, now) && !self.is_full(id, now)
    }

    /// True if the runner refused a hold or a call so recently that it is likely to refuse again.
    pub(crate) fn is_full(&self, id: &RunnerId, now: Millis) -> bool {
        let refused_at = self.get(id).refused_at;
        refused_at.is_some_and(|at| now.since(at) < self.cfg.refusal_lifetime)
    }
}

impl RunnerLoad {
    /// Ends the pause only if it was caused by unreachability: a runner that is changing its stage
    /// stays paused while it still answers the calls it has in flight.
    fn mark_reachable(&mut self, now: Millis) {
        if self.consecutive_unreachable > 0 {
            self.paused_until = now;
        }
        self.consecutive_unreachable = 0;
        self.probed_at = None;
    }

    /// Mean response time in ms; `None` if it has not answered yet.
    pub fn mean_ms(&self) -> Option<f64> {
        (self.mean_ms > 0.0).then_some(self.mean_ms)
    }

    /// Expected response time of one more call, in ms, with failures counted as lost time. A runner
    /// that has not answered yet is assumed to be as fast as the fastest of its pool
    /// (`fastest_ms`).
    pub fn expected_ms(&self, slots: u32, fastest_ms: f64) -> f64 {
        let queue = f64::from(self.in_flight + 1) / f64::from(slots.max(1));
        let mean = self.mean_ms().unwrap_or(fastest_ms).max(1.0);
        let failures = 1.0 + FAILURE_COST * self.failure_share;
        mean * failures * (1.0 + queue)
    }
}

/// Cost of a failed call, in calls: the lost call and the wait of the retry.
const FAILURE_COST: f64 = 4.0;

fn moving_average(old: f64, new: f64, weight: f64) -> f64 {
    if old == 0.0 { new } else { old + weight * (new - old) }
}
