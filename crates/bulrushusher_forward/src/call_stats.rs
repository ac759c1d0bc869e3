//! Recent service times and call rate of one runner, over all gateways.

use bulrushusher_time::Millis;

/// Sums whose weight decays exponentially with time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunnerStats {
    memory_ms: f64,
    at: Millis,
    starts: f64,
    answers: f64,
    service_ms: f64,
}

impl RunnerStats {
    /// Stats with a time constant of `memory`.
    pub(crate) fn new(memory: Millis) -> RunnerStats {
        let memory_ms = memory.0.max(1) as f64;
        RunnerStats { memory_ms, at: Millis(0), starts: 0.0, answers: 0.0, service_ms: 0.0 }
    }

    fn decay(&self, now: Millis) -> f64 {
        (-(now.since(self.at).0 as f64) / self.memory_ms).exp()
    }

    fn advance(&mut self, now: Millis) {
        let decay = self.decay(now);
        self.starts *= decay;
        self.answers *= decay;
        self.service_ms *= decay;
        self.at = self.at.max(now);
    }

    /// Records calls that were sent.
    pub(crate) fn record_starts(&mut self, calls: u64, now: Millis) {
        self.advance(now);
        self.starts += calls as f64;
    }

    /// Records answers with the sum of their service times.
    pub(crate) fn record_answers(&mut self, answers: u64, service_ms: f64, now: Millis) {
        self.advance(now);
        self.answers += answers as f64;
        self.service_ms += service_ms;
    }

    /// Calls sent per ms.
    pub(crate) fn rate(&self, now: Millis) -> f64 {
        self.starts * self.decay(now) / self.memory_ms
    }

    /// Number of recent answers, and the sum of their service times in ms.
    pub(crate) fn answers(&self, now: Millis) -> (f64, f64) {
        let decay = self.decay(now);
        (self.answers * decay, self.service_ms * decay)
    }

    /// Mean service time of the recent answers, in ms.
    pub(crate) fn mean_service_ms(&self) -> Option<f64> {
        (self.answers > 0.0).then(|| self.service_ms / self.answers)
    }
}

/// Step of the projection, in ms; a few steps for each service time.
const STEP_MS: f64 = 10.0;

/// Calls in flight `age` ms after `in_flight` were reported: calls arrive at the recent rate and
/// leave at the rate of the slots in use.
pub(crate) fn project_in_flight(
    in_flight: f64,
    stats: &RunnerStats,
    slots: f64,
    age: f64,
    now: Millis,
) -> f64 {
    let Some(service_ms) = stats.mean_service_ms() else { return in_flight };
    let rate = stats.rate(now);
    let (mut level, mut left) = (in_flight, age);
    while left > 0.0 {
        let step = left.min(STEP_MS);
        level = (level + step * (rate - level.min(slots) / service_ms.max(STEP_MS))).max(0.0);
        left -= step;
    }
    level
}
