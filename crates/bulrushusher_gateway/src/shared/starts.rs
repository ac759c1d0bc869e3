//! Process starts of runners that restart with the same identity.

use std::collections::HashSet;

use bulrushusher_forward::{Runner, RunnerListDiff, StartStatus, StartTime};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use super::SharedState;

/// Start times further ahead than this are rejected, since clocks differ by seconds only: the entry
/// was not written by its runner.
const MAX_CLOCK_AHEAD: Millis = Millis(3_600_000);

impl SharedState {
    /// Applies the entry of a runner.
    pub(crate) fn put_runner(&self, runner: Runner) -> StartStatus {
        if self.is_implausible(runner.born) {
            self.forget_runner(&runner.id);
            return StartStatus::Missing;
        }
        self.log_unknown_data_centre(&runner);
        let observed = runner.clone();
        let status = self.with_runners(|runners, now| runners.directory.put(runner, now));
        if matches!(status, StartStatus::Current | StartStatus::Newer) {
            self.observe_cold(&observed);
            self.observe_version(&observed);
        }
        self.apply_start(&observed.id, status);
        status
    }

    /// Applies a full list of runners that was read at `revision`.
    pub(crate) fn replace_runners(&self, mut listed: Vec<Runner>, revision: u64) -> RunnerListDiff {
        let is_bad = |runner: &Runner| self.is_implausible(runner.born);
        let implausible: Vec<RunnerId> =
            listed.iter().filter(|runner| is_bad(runner)).map(|r| r.id.clone()).collect();
        listed.retain(|runner| !is_bad(runner));
        listed.iter().for_each(|runner| self.log_unknown_data_centre(runner));
        let observed = listed.clone();
        let diff =
            self.with_runners(|runners, now| runners.directory.replace_all(listed, revision, now));
        implausible.iter().for_each(|id| self.forget_runner(id));
        let passed_over: HashSet<&RunnerId> = diff.passed_over.iter().collect();
        let restarted: HashSet<&RunnerId> = diff.restarted.iter().collect();
        for runner in observed.iter().filter(|runner| !passed_over.contains(&runner.id)) {
            self.observe_cold(runner);
            self.observe_version(runner);
            let is_later = restarted.contains(&runner.id);
            let status = if is_later { StartStatus::Newer } else { StartStatus::Current };
            self.apply_start(&runner.id, status);
        }
        diff
    }

    /// Records the start that a runner reports itself, possibly before its entry does.
    pub(crate) fn record_start(&self, id: &RunnerId, born: Option<StartTime>) -> StartStatus {
        if self.is_implausible(born) {
            return StartStatus::Missing;
        }
        let status = self.with_runners(|runners, _| runners.directory.record_start(id, born));
        if status == StartStatus::Newer {
            self.observe_cold_start(id, born);
        }
        self.apply_start(id, status);
        status
    }

    /// Forgets a runner whose entry is unusable. Its back-pressure signals are kept: the entry may
    /// come back, and they do not apply to a later start.
    pub(crate) fn forget_runner(&self, id: &RunnerId) {
        self.with_runners(|runners, _| {
            runners.directory.forget(id);
            runners.loads.forget(id);
        });
        self.prefill_ends.lock().forget(id);
        self.forget_calls(id);
        self.forget_run_ends(id);
    }

    /// True if a later start of the runner is known, so that its earlier reservations are gone.
    pub(crate) fn is_superseded(&self, runner: &Runner) -> bool {
        self.with_runners(|runners, _| runners.directory.is_superseded(runner))
    }

    /// Applies a process start of a runner that the directory has recorded. If it is newer than the
    /// one before, discards the state that belongs to that one.
    fn apply_start(&self, id: &RunnerId, status: StartStatus) {
        let born = self.with_runners(|runners, _| runners.directory.latest_start(id));
        if let Some(born) = born {
            self.runs.lock().set_start(id, born);
        }
        if status != StartStatus::Newer {
            return;
        }
        self.with_runners(|runners, _| runners.loads.forget(id));
        self.prefill_ends.lock().forget(id);
        self.forget_calls(id);
        self.forget_run_ends(id);
        for switching in self.switching.lock().values_mut() {
            switching.retain(|runner| runner != id);
        }
        self.report_due.notify_one();
        log::info!(
            "runners: started again id={id} born={} dropped=\"state of the previous start\"",
            born.map_or(0, |born| born.0),
        );
    }

    fn is_implausible(&self, born: Option<StartTime>) -> bool {
        born.is_some_and(|born| born.0 > self.now().plus(MAX_CLOCK_AHEAD).0)
    }
}
