//! Prefill and decode engines.

use bulrushusher_time::Millis;

/// Speeds and sizes of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineFigures {
    /// Tokens that fit into a decode engine's memory.
    pub memory_tokens: f64,
    /// Time of a step that makes one token of every run, in ms, with no run.
    pub step_ms: f64,
    /// Added to a step for each run, in ms.
    pub step_ms_per_run: f64,
    /// Added to a step for each thousand tokens in memory, in ms.
    pub step_ms_per_thousand: f64,
    /// Tokens of prompts that a prefill engine reads in one ms.
    pub read_tokens_per_ms: f64,
    /// Tokens of an event.
    pub tokens_per_event: f64,
}

impl Default for EngineFigures {
    /// A 70-billion-parameter model on two accelerators, as its operators publish it: a half
    /// millisecond a step, 98,000 tokens of memory, a prompt of 5,000 tokens in a tenth of a
    /// second.
    fn default() -> EngineFigures {
        EngineFigures {
            memory_tokens: 97_920.0,
            step_ms: 0.554,
            step_ms_per_run: 0.002_43,
            step_ms_per_thousand: 0.001_42,
            read_tokens_per_ms: 55.6,
            tokens_per_event: 77.0,
        }
    }
}

impl EngineFigures {
    /// An engine that takes that many times as long for a step.
    #[must_use]
    pub fn slower(self, times: f64) -> EngineFigures {
        EngineFigures {
            step_ms: self.step_ms * times,
            step_ms_per_run: self.step_ms_per_run * times,
            step_ms_per_thousand: self.step_ms_per_thousand * times,
            ..self
        }
    }
}

/// A run at a decode engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
    pub caller: usize,
    pub prompt: f64,
    pub made: f64,
    pub total: f64,
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

/// What happened in a step of a decode engine.
#[derive(Debug, Default)]
pub(crate) struct Stepped {
    pub ended: Vec<Run>,
    pub preempted: Vec<Run>,
}

impl DecodeEngine {
    /// Tokens in memory.
    pub fn used(&self) -> f64 {
        self.runs.iter().map(|run| run.prompt + run.made).sum()
    }

    pub(crate) fn tokens_per_ms(&self, cfg: &EngineFigures) -> f64 {
        let runs = self.runs.len() as f64;
        let thousands = self.used() / 1_000.0;
        1.0 / (cfg.step_ms + cfg.step_ms_per_run * runs + cfg.step_ms_per_thousand * thousands)
    }

    /// Lets every run make tokens for `length`. When memory runs out the newest runs go.
    pub(crate) fn step(&mut self, cfg: &EngineFigures, now: Millis, length: Millis) -> Stepped {
        let mut stepped = Stepped::default();
        let grown = self.tokens_per_ms(cfg) * length.0 as f64;
        for run in &mut self.runs {
            let events_before = (run.made / cfg.tokens_per_event).floor();
            run.made = (run.made + grown).min(run.total);
            if (run.made / cfg.tokens_per_event).floor() > events_before {
                run.longest_gap = run.longest_gap.max(now.since(run.last_event));
                run.last_event = now;
            }
        }
        let (ended, going): (Vec<Run>, Vec<Run>) =
            self.runs.drain(..).partition(|run| run.made >= run.total);
        self.runs = going;
        stepped.ended = ended;
        while self.used() > cfg.memory_tokens {
            let newest = self.runs.iter().enumerate().max_by_key(|(_, run)| run.order);
            let Some(newest) = newest.map(|(at, _)| at) else { break };
            stepped.preempted.push(self.runs.remove(newest));
        }
        stepped
    }
}

/// A prompt in the line of a prefill engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    pub caller: usize,
    pub tokens_left: f64,
}

/// A prefill engine: one line, read in order.
#[derive(Clone, Debug, Default)]
pub struct PrefillEngine {
    pub(crate) line: Vec<Reading>,
}

impl PrefillEngine {
    /// Tokens that wait.
    pub fn waiting(&self) -> f64 {
        self.line.iter().map(|reading| reading.tokens_left).sum()
    }

    /// Reads for `length`; returns the callers whose prompts are done.
    pub(crate) fn step(&mut self, cfg: &EngineFigures, length: Millis) -> Vec<usize> {
        let mut budget = cfg.read_tokens_per_ms * length.0 as f64;
        let mut done = Vec::new();
        while let Some(first) = self.line.first_mut() {
            let read = first.tokens_left.min(budget);
            first.tokens_left -= read;
            budget -= read;
            if first.tokens_left > 0.0 {
                break;
            }
            done.push(self.line.remove(0).caller);
        }
        done
    }
}
