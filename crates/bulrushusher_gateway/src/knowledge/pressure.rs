//! Back-pressure that runners signalled in their answers, here and at peers.

use bulrushusher_forward::{
    BackPressure, BackPressureCounts, BackPressureError, DrainReport, LimitReport, Runner,
    RunnerSignals, Stage,
};
use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;
use parking_lot::MutexGuard;

use super::Knowledge;

impl Knowledge {
    /// Takes in what a runner's answer asks for; returns the kinds that it did not ask for before.
    pub(crate) fn record_signals(
        &self,
        runner: &Runner,
        signals: RunnerSignals,
    ) -> Vec<&'static str> {
        if self.is_superseded(runner) {
            return Vec::new();
        }
        let now = self.now();
        let previous = self.pressure.lock().record_signals(runner, signals, now);
        if previous == signals {
            return Vec::new();
        }
        log::info!(
            "runners: asks id={} rate_limit={} leaving={} retry_after_ms={} unreadable={}",
            runner.id,
            signals.rate_limit.map_or("none".to_owned(), |limit| limit.to_string()),
            signals.leaving,
            signals.retry_after.map_or(0, |length| length.0),
            signals.unreadable,
        );
        if previous.rate_limit != signals.rate_limit {
            self.report_due.notify_one();
        }
        let limit_is_new =
            signals.rate_limit.is_some() && signals.rate_limit != previous.rate_limit;
        let leaving_is_new = signals.leaving && self.record_own_drain_notice(runner);
        let kinds = [
            ("rate_limit", limit_is_new),
            ("leaving", leaving_is_new),
            ("retry_after", signals.retry_after.is_some()),
            ("unreadable", signals.unreadable && !previous.unreadable),
        ];
        kinds.into_iter().filter(|(_, is_new)| *is_new).map(|(kind, _)| kind).collect()
    }

    /// The runner has said itself that it leaves; returns whether that is new.
    fn record_own_drain_notice(&self, runner: &Runner) -> bool {
        let report = DrainReport { runner: runner.id.clone(), born: runner.born };
        let is_new =
            self.with_runners(|runners, now| runners.directory.record_drain_notice(&report, now));
        if is_new {
            self.report_due.notify_one();
        }
        is_new
    }

    /// Takes in of which runners a peer has heard that they leave.
    pub(super) fn merge_drain_reports(&self, peer: &str, reports: &[DrainReport]) {
        for report in reports {
            if self.with_runners(|runners, now| runners.directory.record_drain_notice(report, now))
            {
                log::info!("runners: leaving heard id={} peer={peer}", report.runner);
                self.report_due.notify_one();
            }
        }
    }

    /// Takes in what a peer tells of rate limits.
    pub(super) fn merge_limits(&self, peer: &str, reports: &[LimitReport]) {
        let now = self.now();
        let mut pressure = self.pressure.lock();
        pressure.record_gateway(peer, now);
        let previous = pressure.counts(now).limited;
        pressure.merge_reports(reports, now);
        let limited = pressure.counts(now).limited;
        drop(pressure);
        if limited != previous {
            log::info!("runners: limits heard peer={peer} limited={limited} before={previous}");
        }
    }

    /// What peers are told of rate limits.
    pub(super) fn limit_reports(&self) -> Vec<LimitReport> {
        self.pressure.lock().reports(self.now())
    }

    /// What is known of runners' signals, with this gateway's shares of limits as they are now.
    pub(super) fn pressure_at(&self, now: Millis) -> MutexGuard<'_, BackPressure> {
        let mut pressure = self.pressure.lock();
        pressure.refresh(now);
        pressure
    }

    /// Whether work that was counted before may still go to a runner.
    ///
    /// # Errors
    /// What the runner asked for meanwhile.
    pub(crate) fn check_send(&self, runner: &Runner) -> Result<(), BackPressureError> {
        let is_leaving = self
            .with_runners(|runners, _| runners.directory.has_drain_notice(&runner.id, runner.born));
        match is_leaving {
            true => Err(BackPressureError::Leaving),
            false => self.pressure.lock().check_backoff(runner, self.now()),
        }
    }

    /// Counts requests that are about to be sent to a runner.
    ///
    /// # Errors
    /// What the runner asked for when they may not be sent.
    pub(crate) fn acquire_permits(
        &self,
        runner: &Runner,
        requests: u32,
    ) -> Result<(), BackPressureError> {
        self.check_send(runner)?;
        let now = self.now();
        self.pressure_at(now).acquire(runner, requests, now)
    }

    /// Counts a request that is sent whatever its runner asked for.
    pub(crate) fn charge_permit(&self, runner: &Runner) {
        let now = self.now();
        self.pressure.lock().charge(runner, 1, now);
    }

    /// Requests that were counted are not sent after all.
    pub(crate) fn release_permits(&self, runner: &Runner, requests: u32) {
        let now = self.now();
        self.pressure.lock().release(runner, requests, now);
    }

    /// True until the time in the runner's last refusal is over.
    pub(crate) fn is_backing_off(&self, runner: &Runner) -> bool {
        self.pressure.lock().check_backoff(runner, self.now()).is_err()
    }

    /// When every runner of the service asked for what keeps this gateway from sending to it: the time
    /// until the first one may be sent to again. `None` when one is open, or there is none.
    ///
    /// `stage` narrows it to the runners that do that half of a generation.
    pub(crate) fn time_until_any_open(
        &self,
        service: &ServiceName,
        stage: Option<Stage>,
    ) -> Option<Millis> {
        self.with_runners(|runners, now| {
            let pressure = self.pressure_at(now);
            if pressure.is_empty() {
                return None;
            }
            let of_stage = |r: &&Runner| stage.is_none() || r.stage == stage;
            let usable = runners.directory.usable(service, now).filter(of_stage);
            let earliest = usable
                .map(|r| pressure.time_until_open(r, now).unwrap_or(OTHER_GATEWAY_RETRY))
                .min();
            earliest.filter(|opens_in| *opens_in > Millis(0))
        })
    }

    /// How many runners asked for something.
    pub(crate) fn pressure_counts(&self) -> BackPressureCounts {
        let now = self.now();
        self.pressure.lock().counts(now)
    }
}

/// When a caller comes back that is refused here while other gateways share the runner's whole limit: its
/// next attempt reaches another gateway.
const OTHER_GATEWAY_RETRY: Millis = Millis(300);
