//! Measures how prefills at decode runners delay the other runs there.

use std::sync::Arc;

use bulrushusher_forward::Runner;
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};

use super::SharedState;

/// Pauses in this gateway's streams at one runner, while the runner prefills a prompt of this
/// gateway.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PauseStats {
    prefills: u32,
    longest: Millis,
}

/// A prefill of this gateway at a decode runner, from start to end, even if it fails or is
/// abandoned.
#[derive(Debug)]
pub(crate) struct PrefillTracker {
    shared: Arc<SharedState>,
    runner: Runner,
    started: Millis,
    /// Prompt tokens that the runner prefills, including this prompt.
    prompt_tokens: u64,
}

impl Drop for PrefillTracker {
    fn drop(&mut self) {
        let mut pauses = self.shared.pauses.lock();
        if let Some(stats) = pauses.get_mut(&self.runner.id) {
            stats.prefills = stats.prefills.saturating_sub(1);
            if stats.prefills == 0 {
                pauses.remove(&self.runner.id);
            }
        }
    }
}

impl PrefillTracker {
    /// Records that the prompt of `tokens` was prefilled. The delay of other runs shows with their
    /// next events, which arrive within the pause target `gap_target` or are late.
    pub(crate) fn finish(self, service: &ServiceName, tokens: u64, gap_target: Millis) {
        let extra = self.shared.extra_time(&self.runner.data_centre);
        let took = self.shared.now().since(self.started).since(extra);
        if self.prompt_tokens <= tokens {
            let ratio = self.shared.with_timing(service, |timing| {
                let expected = timing.decode().expected_ms(tokens as f64);
                timing.record_decode_prefill(tokens, took);
                took.0 as f64 / expected.max(1.0)
            });
            self.shared.record_prefill_ratio(&self.runner, ratio);
        }
        let service = service.clone();
        tokio::spawn(async move {
            tokio::time::sleep(gap_target.duration()).await;
            self.record_longest_pause(&service);
        });
    }

    /// Records the longest pause that was observed, with the pause that an uninterrupted prefill
    /// would cause.
    fn record_longest_pause(&self, service: &ServiceName) {
        let stats = self.shared.pauses.lock().get(&self.runner.id).copied();
        let Some(longest) = stats.map(|stats| stats.longest).filter(|ms| *ms > Millis(0)) else {
            return;
        };
        let tokens_per_event = self.shared.tokens_per_event(service) as f64;
        self.shared.with_timing(service, |timing| {
            let prefill_ms = self.prompt_tokens as f64 * timing.decode().ms_per_token();
            timing.record_pause(prefill_ms + tokens_per_event / timing.tokens_per_ms(), longest);
        });
    }
}

impl SharedState {
    /// Records a pause in a stream.
    pub(crate) fn record_stream_pause(&self, runner: &RunnerId, pause: Millis) {
        if let Some(stats) = self.pauses.lock().get_mut(runner) {
            stats.longest = stats.longest.max(pause);
        }
    }

    /// Starts tracking a prefill at a decode runner.
    pub(crate) fn track_prefill(self: &Arc<Self>, runner: &Runner) -> PrefillTracker {
        let prompt_tokens = self.runs.lock().decode_prefill_tokens(&runner.id, self.now());
        self.pauses.lock().entry(runner.id.clone()).or_default().prefills += 1;
        let shared = self.clone();
        PrefillTracker { shared, runner: runner.clone(), started: self.now(), prompt_tokens }
    }

    /// Forgets the pauses at a runner that is gone.
    pub(super) fn forget_pauses(&self, runner: &RunnerId) {
        self.pauses.lock().remove(runner);
    }
}
