//! Back-pressure that runners signalled in their responses to this gateway and its peers.

use bulrushusher_forward::{
    BackPressure, BackPressureCounts, BackPressureError, DrainReport, LimitReport, Runner,
    RunnerSignals, Stage,
};
use bulrushusher_time::Millis;
use parking_lot::MutexGuard;

use super::SharedState;
use crate::runners::destination::Destination;

impl SharedState {
    /// Records the back-pressure signals of a runner's response. Returns the kinds of signals that
    /// are new.
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

    /// Records that the runner announced its shutdown. Returns whether that is new.
    fn record_own_drain_notice(&self, runner: &Runner) -> bool {
        let report = DrainReport { runner: runner.id.clone(), born: runner.born };
        let is_new =
            self.with_runners(|runners, now| runners.directory.record_drain_notice(&report, now));
        if is_new {
            self.report_due.notify_one();
        }
        is_new
    }

    /// Merges the runners that a peer reports as draining.
    pub(super) fn merge_drain_reports(&self, peer: &str, reports: &[DrainReport]) {
        for report in reports {
            if self.with_runners(|runners, now| runners.directory.record_drain_notice(report, now))
            {
                log::info!("runners: leaving heard id={} peer={peer}", report.runner);
                self.report_due.notify_one();
            }
        }
    }

    /// Merges the rate limits that a peer reports.
    pub(super) fn merge_limits(&self, peer: &str, demand: u32, reports: &[LimitReport]) {
        let now = self.now();
        let runs = self.runs.lock();
        let mut pressure = self.pressure.lock();
        pressure.record_gateway(peer, demand, now);
        let previous = pressure.counts(now).limited;
        pressure.merge_reports(reports, runs.starts(), now);
        let limited = pressure.counts(now).limited;
        drop((pressure, runs));
        if limited != previous {
            log::info!("runners: limits heard peer={peer} limited={limited} before={previous}");
        }
    }

    /// Requests per second that this gateway gets. Its shares are by what it has reported, as those of
    /// the others are.
    pub(super) fn report_demand(&self) -> u32 {
        let demand = self.demand.lock().per_second(self.now());
        self.pressure.lock().set_own_demand(demand);
        demand
    }

    /// Records a request of a caller.
    pub(crate) fn record_demand(&self) {
        self.demand.lock().record(self.now());
    }

    /// The rate limit reports for the peers.
    pub(super) fn limit_reports(&self) -> Vec<LimitReport> {
        self.pressure.lock().reports(self.now())
    }

    /// The runners' signals, with this gateway's shares of rate limits updated to `now`.
    pub(super) fn pressure_at(&self, now: Millis) -> MutexGuard<'_, BackPressure> {
        let mut pressure = self.pressure.lock();
        pressure.refresh(now);
        pressure
    }

    /// Checks whether a request that already has a permit may still be sent to a runner.
    ///
    /// # Errors
    ///
    /// The back-pressure that the runner has signalled meanwhile.
    pub(crate) fn check_send(&self, runner: &Runner) -> Result<(), BackPressureError> {
        let is_leaving = self
            .with_runners(|runners, _| runners.directory.has_drain_notice(&runner.id, runner.born));
        match is_leaving {
            true => Err(BackPressureError::Leaving),
            false => self.check_probe(runner),
        }
    }

    /// Checks whether a status request that already has a permit may still be sent to a runner, which
    /// may be leaving.
    ///
    /// # Errors
    ///
    /// The back-pressure that the runner has signalled meanwhile.
    pub(crate) fn check_probe(&self, runner: &Runner) -> Result<(), BackPressureError> {
        self.pressure.lock().check_backoff(runner, self.now())
    }

    /// Acquires permits for requests that are about to be sent to a runner.
    ///
    /// # Errors
    ///
    /// The back-pressure that forbids sending them.
    pub(crate) fn acquire_permits(
        &self,
        runner: &Runner,
        requests: u32,
    ) -> Result<(), BackPressureError> {
        self.check_send(runner)?;
        let now = self.now();
        self.pressure_at(now).acquire(runner, requests, now)
    }

    /// Acquires a permit for a status request, which a leaving runner may be sent too.
    ///
    /// # Errors
    ///
    /// The back-pressure that forbids sending it.
    pub(crate) fn acquire_probe_permit(&self, runner: &Runner) -> Result<(), BackPressureError> {
        let now = self.now();
        self.pressure_at(now).acquire(runner, 1, now)
    }

    /// Time until a status request may be sent to a runner; `None` if other gateways share its whole rate
    /// limit.
    pub(crate) fn time_until_probe(&self, runner: &Runner) -> Option<Millis> {
        let now = self.now();
        let pressure = self.pressure_at(now);
        let signalled = pressure.time_until_open(runner, now)?;
        Some(signalled.max(pressure.cold.time_until_open(runner, 1, now)))
    }

    /// Charges a request that is sent regardless of back-pressure.
    pub(crate) fn charge_permit(&self, runner: &Runner) {
        let now = self.now();
        self.pressure.lock().charge_rate_limit(runner, 1, now);
    }

    /// Releases the permits of requests that are not sent.
    pub(crate) fn release_permits(&self, runner: &Runner, requests: u32) {
        let now = self.now();
        self.pressure.lock().release(runner, requests, now);
    }

    /// True until the Retry-After time of the runner's last refusal is over.
    pub(crate) fn is_backing_off(&self, runner: &Runner) -> bool {
        self.pressure.lock().check_backoff(runner, self.now()).is_err()
    }

    /// Time until any runner of the service may be sent a request, if back-pressure closes all of
    /// them. `None` if one is open or the service has no runner.
    ///
    /// `stage` restricts the check to prefill or decode runners.
    pub(crate) fn time_until_any_open(
        &self,
        to: &Destination,
        stage: Option<Stage>,
    ) -> Option<Millis> {
        self.with_runners(|runners, now| {
            let pressure = self.pressure_at(now);
            if pressure.is_empty() && !pressure.cold.has_cold(now) {
                return None;
            }
            let of_stage = |r: &&Runner| stage.is_none() || r.stage == stage;
            let is_permitted = |r: &&Runner| self.permits_place(&to.residency, &r.data_centre);
            let usable = runners.directory.usable(&to.service, now).filter(is_permitted);
            let usable = usable.filter(of_stage);
            let earliest = usable
                .map(|r| {
                    let signalled = pressure.time_until_open(r, now);
                    let cold = pressure.cold.time_until_open(r, requests_at(r.stage), now);
                    signalled.unwrap_or(OTHER_GATEWAY_RETRY).max(cold)
                })
                .min();
            earliest.filter(|opens_in| *opens_in > Millis(0))
        })
    }

    /// Number of runners with each kind of back-pressure.
    pub(crate) fn pressure_counts(&self) -> BackPressureCounts {
        let now = self.now();
        self.pressure.lock().counts(now)
    }
}

/// Requests that one attempt sends to a runner: a decode runner gets the hold and the run.
fn requests_at(stage: Option<Stage>) -> u32 {
    match stage {
        Some(Stage::Decode) => 2,
        Some(Stage::Prefill) | None => 1,
    }
}

/// Retry-After time of a request that is refused because other gateways use the whole rate limit of
/// the runner. The next attempt reaches another gateway.
const OTHER_GATEWAY_RETRY: Millis = Millis(300);
