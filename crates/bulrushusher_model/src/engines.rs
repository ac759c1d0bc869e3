//! Simulated prefill and decode engines.

use bulrushusher_time::Millis;

/// Speed and memory of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpec {
    /// Capacity of a decode engine's memory, in tokens.
    pub memory_tokens: f64,
    /// Constant part of the duration of a step, in ms. A step generates one token of every run.
    pub step_ms: f64,
    /// Additional duration of a step per run, in ms.
    pub step_ms_per_run: f64,
    /// Additional duration of a step per thousand tokens in memory, in ms.
    pub step_ms_per_thousand: f64,
    /// Prefill speed of a prefill engine, in tokens per ms.
    pub prefill_tokens_per_ms: f64,
    /// Tokens per event of a stream.
    pub tokens_per_event: f64,
}

impl Default for EngineSpec {
    /// Values published by operators of a 70-billion-parameter model on two accelerators: half a
    /// millisecond per step, 98,000 tokens of memory, and prefill of 5,000 tokens in 0.1 s.
    fn default() -> EngineSpec {
        EngineSpec {
            memory_tokens: 97_920.0,
            step_ms: 0.554,
            step_ms_per_run: 0.002_43,
            step_ms_per_thousand: 0.001_42,
            prefill_tokens_per_ms: 55.6,
            tokens_per_event: 77.0,
        }
    }
}

impl EngineSpec {
    /// An engine whose steps take `times` as long.
    #[must_use]
    pub fn slower(self, times: f64) -> EngineSpec {
        EngineSpec {
            step_ms: self.step_ms * times,
            step_ms_per_run: self.step_ms_per_run * times,
            step_ms_per_thousand: self.step_ms_per_thousand * times,
            ..self
        }
    }
}

/// A run at a decode engine, with lengths in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub caller: usize,
    pub prompt: f64,
    pub generated: f64,
    pub total: f64,
    /// Order of admission; the newest runs are preempted first.
    pub order: u64,
    pub last_event: Millis,
    pub longest_gap: Millis,
}

/// A decode engine.
#[derive(Clone, Debug, Default)]
pub struct DecodeEngine {
    pub(crate) runs: Vec<Run>,
    pub(crate) down: bool,
}

/// Runs that left a decode engine in a step.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    pub ended: Vec<Run>,
    pub preempted: Vec<Run>,
}

impl DecodeEngine {
    /// Memory in use, in tokens.
    pub fn used(&self) -> f64 {
        self.runs.iter().map(|run| run.prompt + run.generated).sum()
    }

    pub(crate) fn tokens_per_ms(&self, cfg: &EngineSpec) -> f64 {
        let runs = self.runs.len() as f64;
        let thousands = self.used() / 1_000.0;
        1.0 / (cfg.step_ms + cfg.step_ms_per_run * runs + cfg.step_ms_per_thousand * thousands)
    }

    /// Generates tokens of every run for `length`. If memory runs out, the newest runs are
    /// preempted.
    pub(crate) fn step(&mut self, cfg: &EngineSpec, now: Millis, length: Millis) -> StepResult {
        let mut result = StepResult::default();
        let tokens = self.tokens_per_ms(cfg) * length.0 as f64;
        for run in &mut self.runs {
            let events_before = (run.generated / cfg.tokens_per_event).floor();
            run.generated = (run.generated + tokens).min(run.total);
            if (run.generated / cfg.tokens_per_event).floor() > events_before {
                run.longest_gap = run.longest_gap.max(now.since(run.last_event));
                run.last_event = now;
            }
        }
        let (ended, remaining): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.generated >= run.total);
        self.runs = remaining;
        result.ended = ended;
        while self.used() > cfg.memory_tokens {
            let newest = self.runs.iter().enumerate().max_by_key(|(_, run)| run.order);
            let Some(newest) = newest.map(|(at, _)| at) else { break };
            result.preempted.push(self.runs.remove(newest));
        }
        result
    }
}

/// A prompt in the queue of a prefill engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedPrompt {
    pub caller: usize,
    pub remaining_tokens: f64,
}

/// A prefill engine, which processes its queue in FIFO order.
#[derive(Clone, Debug, Default)]
pub struct PrefillEngine {
    pub(crate) queue: Vec<QueuedPrompt>,
}

impl PrefillEngine {
    /// Remaining tokens of all queued prompts.
    pub fn queued_tokens(&self) -> f64 {
        self.queue.iter().map(|prompt| prompt.remaining_tokens).sum()
    }

    /// Processes prompts for `length`; returns the callers whose prefill is complete.
    pub(crate) fn step(&mut self, cfg: &EngineSpec, length: Millis) -> Vec<usize> {
        let mut budget = cfg.prefill_tokens_per_ms * length.0 as f64;
        let mut done = Vec::new();
        while let Some(first) = self.queue.first_mut() {
            let processed = first.remaining_tokens.min(budget);
            first.remaining_tokens -= processed;
            budget -= processed;
            if first.remaining_tokens > 0.0 {
                break;
            }
            done.push(self.queue.remove(0).caller);
        }
        done
    }
}
