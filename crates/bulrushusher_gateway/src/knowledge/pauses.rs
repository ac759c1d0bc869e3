//! What readings at decode runners do to the other runs there.

use std::sync::Arc;

use bulrushusher_forward::Runner;
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};

use super::Knowledge;

/// Pauses in this gateway's streams at one runner, while that reads a prompt for it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SeenPauses {
    readings: u32,
    longest: Millis,
}

/// A reading of this gateway's at a decode runner, from its beginning to its end; also one that fails
/// or is given up.
#[derive(Debug)]
pub(crate) struct ReadingWatch {
    knowledge: Arc<Knowledge>,
    runner: RunnerId,
    began: Millis,
    /// Tokens that the runner reads, this prompt's included.
    reading: u64,
}

impl Drop for ReadingWatch {
    fn drop(&mut self) {
        let mut pauses = self.knowledge.pauses.lock();
        if let Some(seen) = pauses.get_mut(&self.runner) {
            seen.readings = seen.readings.saturating_sub(1);
            if seen.readings == 0 {
                pauses.remove(&self.runner);
            }
        }
    }
}

impl ReadingWatch {
    /// The prompt of `tokens` is read. What that did to other runs shows with their next events,
    /// which come within the target for pauses or are late.
    pub(crate) fn finish(self, service: &ServiceName, tokens: u64, gap_target: Millis) {
        let took = self.knowledge.now().since(self.began);
        if self.reading <= tokens {
            self.knowledge.with_pace(service, |pace| pace.record_decode_prefill(tokens, took));
        }
        let service = service.clone();
        tokio::spawn(async move {
            tokio::time::sleep(gap_target.duration()).await;
            self.learn(&service);
        });
    }

    /// Compares the longest pause that was seen with the one that the whole reading would make.
    fn learn(&self, service: &ServiceName) {
        let seen = self.knowledge.pauses.lock().get(&self.runner).copied();
        let Some(longest) = seen.map(|seen| seen.longest).filter(|ms| *ms > Millis(0)) else {
            return;
        };
        let per_event = self.knowledge.tokens_per_event(service) as f64;
        self.knowledge.with_pace(service, |pace| {
            let reading = self.reading as f64 * pace.decode().ms_per_token();
            pace.record_pause(reading + per_event / pace.tokens_per_ms(), longest);
        });
    }
}

impl Knowledge {
    /// A stream paused for that long.
    pub(crate) fn note_stream_pause(&self, runner: &RunnerId, pause: Millis) {
        if let Some(seen) = self.pauses.lock().get_mut(runner) {
            seen.longest = seen.longest.max(pause);
        }
    }

    /// A decode runner begins to read a prompt.
    pub(crate) fn watch_reading(self: &Arc<Self>, runner: &Runner) -> ReadingWatch {
        let reading = self.runs.lock().decode_prefill_tokens(&runner.id, self.now());
        self.pauses.lock().entry(runner.id.clone()).or_default().readings += 1;
        let knowledge = self.clone();
        ReadingWatch { knowledge, runner: runner.id.clone(), began: self.now(), reading }
    }

    /// Forgets the pauses at a runner that is gone.
    pub(super) fn forget_pauses(&self, runner: &RunnerId) {
        self.pauses.lock().remove(runner);
    }
}
