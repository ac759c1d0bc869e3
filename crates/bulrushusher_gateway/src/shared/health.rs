//! Detects runners that fail runs, over all gateways.

use std::collections::BTreeSet;

use bulrushusher_forward::{RunCounts, Runner, Runs};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};

use super::{Runners, SharedState};

impl SharedState {
    /// Records whether a run or a prefill at the runner succeeded. A result of an earlier process
    /// start is ignored.
    pub(crate) fn record_run_end(&self, runner: &Runner, good: bool) {
        if self.is_superseded(runner) {
            return;
        }
        let runner = &runner.id;
        let now = self.now();
        let at_peers = self.runs.lock().failures_at_peers(now);
        let peers = at_peers.get(runner);
        let mut health = self.health.lock();
        let failed_before = health.is_failing(runner, peers, now);
        health.record(runner, good, now);
        if !failed_before && health.is_failing(runner, peers, now) {
            let (good, bad) = health.decayed_counts(runner, now);
            log::info!(
                "runners: passed over id={runner} cause=\"it fails too many runs\" good={good:.1} \
                 bad={bad:.1} bad_at_peers={:.1}",
                peers.map_or(0.0, |peers| peers.bad),
            );
        }
        if !good {
            self.report_due.notify_one();
        }
    }

    /// Forgets the run results of a runner that is gone.
    pub(crate) fn forget_run_ends(&self, runner: &RunnerId) {
        self.health.lock().forget(runner);
        self.forget_pauses(runner);
        self.forget_speeds(runner);
    }

    /// Runners of the service that fail too many runs. Empty if too many runners fail, since the
    /// cause must then be another one.
    pub(super) fn failing(
        &self,
        runners: &Runners,
        runs: &Runs,
        service: &ServiceName,
        now: Millis,
    ) -> BTreeSet<RunnerId> {
        let at_peers = runs.failures_at_peers(now);
        let health = self.health.lock();
        let usable = || runners.directory.usable(service, now);
        let fails = |id: &RunnerId| health.is_failing(id, at_peers.get(id), now);
        let failing: BTreeSet<RunnerId> =
            usable().filter(|r| fails(&r.id)).map(|r| r.id.clone()).collect();
        match failing.len() > health.max_excluded(usable().count()) {
            true => BTreeSet::new(),
            false => failing,
        }
    }

    /// The failure reports for the peers.
    pub(super) fn failure_reports(&self) -> Vec<RunCounts> {
        let now = self.now();
        let at_peers = self.runs.lock().failures_at_peers(now).into_keys().collect();
        self.health.lock().reports(&at_peers, now)
    }
}
