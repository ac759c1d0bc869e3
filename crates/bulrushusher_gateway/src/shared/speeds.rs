//! Speeds of model runners, learned from this gateway's runs and prefills and the reports of peers.

use bulrushusher_forward::{PoolChange, Runner, RunnerSpeeds, RunnerSpeedsConfig, SpeedReport};
use bulrushusher_world::{RunnerId, ServiceName};

use super::SharedState;

/// Gateways above which speeds are not reported: at 88 bytes a second to each peer, reports would
/// take more than the network budget of 8 KB/s. Each gateway then relies on its own measurements.
const MAX_REPORTING_GATEWAYS: usize = 90;

impl SharedState {
    /// True while the model runners of the service differ in speed.
    pub(crate) fn is_uneven(&self, service: &ServiceName) -> bool {
        self.uses_speeds() && self.speeds.lock().get(service).is_some_and(RunnerSpeeds::is_uneven)
    }

    /// True while the model runners of some service differ in speed.
    pub(super) fn has_uneven_pool(&self) -> bool {
        self.uses_speeds() && self.speeds.lock().values().any(RunnerSpeeds::is_uneven)
    }

    /// Duration of a prefill at the runner relative to the service's mean; 1 in an even pool.
    pub(crate) fn prefill_factor(&self, service: &ServiceName, runner: &RunnerId) -> f64 {
        if !self.uses_speeds() {
            return 1.0;
        }
        self.speeds.lock().get(service).map_or(1.0, |pool| pool.prefill_factor(runner))
    }

    /// Generation rate of a run at the runner, in tokens per ms; `None` in an even pool.
    pub(crate) fn pace(&self, service: &ServiceName, runner: &RunnerId) -> Option<f64> {
        self.speeds.lock().get(service).filter(|_| self.uses_speeds())?.pace(runner)
    }

    /// Records the generation rate of a run, in tokens per ms. A measurement of an earlier process
    /// start is ignored.
    pub(crate) fn record_pace(&self, runner: &Runner, tokens_per_ms: f64) {
        self.record_speed(runner, |speeds| speeds.record_pace(&runner.id, tokens_per_ms));
    }

    /// Records a prefill that took `ratio` times as long as the service's mean rate predicts.
    pub(crate) fn record_prefill_ratio(&self, runner: &Runner, ratio: f64) {
        self.record_speed(runner, |speeds| speeds.record_prefill(&runner.id, ratio));
    }

    /// Measurements of this gateway for the next full report.
    pub(crate) fn take_speed_reports(&self) -> Vec<SpeedReport> {
        let (runs, now) = (self.runs.lock(), self.now());
        if runs.peer_count(now) >= MAX_REPORTING_GATEWAYS {
            return Vec::new();
        }
        let mut speeds = self.speeds.lock();
        speeds.values_mut().flat_map(|pool| pool.take_reports(runs.starts(), now)).collect()
    }

    /// Merges the measurements of a peer.
    pub(super) fn merge_speeds(&self, peer: &str, reports: Vec<SpeedReport>) {
        if reports.is_empty() || !self.uses_speeds() {
            return;
        }
        let with_services = self.with_runners(|runners, now| {
            let service = |id: &RunnerId| Some(runners.directory.get(id, now)?.service.clone());
            let known = reports.into_iter().filter_map(|it| Some((service(&it.runner)?, it)));
            known.collect::<Vec<(ServiceName, SpeedReport)>>()
        });
        let (runs, now) = (self.runs.lock(), self.now());
        for (service, report) in with_services {
            let mut speeds = self.speeds.lock();
            let pool = speeds.entry(service.clone()).or_insert_with(new_pool);
            pool.merge(peer, std::slice::from_ref(&report), runs.starts(), now);
            log_change(&service, pool.evaluate(now));
        }
    }

    /// Forgets the speed of a runner that is gone or has restarted.
    pub(super) fn forget_speeds(&self, runner: &RunnerId) {
        self.speeds.lock().values_mut().for_each(|pool| pool.forget(runner));
    }

    /// Paces of the runners in uneven pools, in tokens per ms, for the metrics.
    pub(crate) fn runner_paces(&self) -> Vec<(RunnerId, f64)> {
        if !self.uses_speeds() {
            return Vec::new();
        }
        let speeds = self.speeds.lock();
        let paces = speeds.values().flat_map(RunnerSpeeds::paces);
        paces.map(|(runner, pace)| (runner.clone(), pace)).collect()
    }

    fn record_speed(&self, runner: &Runner, record: impl FnOnce(&mut RunnerSpeeds)) {
        if runner.stage.is_none() || !self.uses_speeds() || self.is_superseded(runner) {
            return;
        }
        let now = self.now();
        let mut speeds = self.speeds.lock();
        let pool = speeds.entry(runner.service.clone()).or_insert_with(new_pool);
        record(pool);
        log_change(&runner.service, pool.evaluate(now));
    }

    fn uses_speeds(&self) -> bool {
        self.cfg.load().runner_speeds
    }
}

fn new_pool() -> RunnerSpeeds {
    RunnerSpeeds::new(RunnerSpeedsConfig::default())
}

fn log_change(service: &ServiceName, change: Option<PoolChange>) {
    let Some(PoolChange { is_uneven, slowest, fastest, measured }) = change else { return };
    let state = if is_uneven { "uneven" } else { "even again" };
    log::info!(
        "runners: pool {state} service={service} slowest={slowest:.2} fastest={fastest:.2} \
         measured={measured}"
    );
}
