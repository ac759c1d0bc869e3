//! Evidence that prefill runners work: prefills that ended there, and answers to other requests.

use bulrushusher_forward::{PrefillProgress, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};

use super::SharedState;

impl SharedState {
    /// True if late prefills of the service are waited for while their runner works.
    pub(crate) fn waits_for_late_prefills(&self, service: &ServiceName) -> bool {
        let setting = self.cfg.load().patient_prefills;
        setting.applies(self.is_uneven(service))
    }

    /// True if late prefills of some service are waited for, so that peers must hear of ended ones.
    fn waits_for_any_late_prefills(&self) -> bool {
        self.cfg.load().patient_prefills.applies(self.has_uneven_pool())
    }

    /// Ended prefills of this gateway, for a report to the peers; empty where none uses them.
    pub(super) fn prefill_end_report(&self) -> Vec<(RunnerId, u64)> {
        match self.waits_for_any_late_prefills() {
            true => self.prefill_ends.lock().report(self.now()),
            false => Vec::new(),
        }
    }

    /// Records the end of a prefill whose prompt was sent at `sent`. It is reported to the peers
    /// with the next report. An end at an earlier process start is ignored.
    pub(crate) fn record_prefill_end(&self, runner: &Runner, sent: Millis) {
        if !self.is_superseded(runner) {
            self.prefill_ends.lock().record_end(&runner.id, sent, self.now());
        }
    }

    /// Records that the runner has answered a request.
    pub(crate) fn record_runner_answer(&self, runner: &RunnerId) {
        self.prefill_ends.lock().record_answer(runner, self.now());
    }

    /// Starts to keep the times of the runner's answers.
    pub(crate) fn watch_answers(&self, runner: &RunnerId) {
        self.prefill_ends.lock().watch(runner);
    }

    /// True if the runner has answered a request at `since` or later.
    pub(crate) fn has_answered(&self, runner: &RunnerId, since: Millis) -> bool {
        self.prefill_ends.lock().has_answered(runner, since)
    }

    /// What is known of a runner since a prompt was sent to it.
    pub(crate) fn prefill_progress(&self, runner: &RunnerId, sent: Millis) -> PrefillProgress {
        self.prefill_ends.lock().progress(runner, sent, self.now())
    }
}
