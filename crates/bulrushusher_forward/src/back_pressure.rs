//! Back-pressure signalled by runners, and the requests that it allows.
//!
//! Back-pressure is binding, unlike estimates of a runner's load: if this gateway is backing off
//! from all runners of a service, or has used up their rate limits, it refuses callers. A signal
//! applies only to the process start of the runner that sent it.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::limit_share::{LimitBucket, LimitShare, Sharer, Sharers};
use crate::{ColdLimiter, RateLimit, Runner, RunnerSignals, StartTime, StartTimes};

/// Lifetimes of signals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BackPressureConfig {
    /// Time without reports after which another gateway loses its share of runners' rate limits.
    pub gateway_timeout: Millis,
    /// How long a runner's rate limit outlives the last answer that contained it, because answers
    /// may arrive out of order.
    pub limit_linger: Millis,
    /// Age of a rate limit's last signal after which one request may probe whether the limit still
    /// applies.
    pub limit_stale_after: Millis,
    /// How long such a probe, or the first request after a backoff, holds back other requests.
    pub probe_timeout: Millis,
    /// How long gateways report the end of a rate limit to one another.
    pub limit_end_report_time: Millis,
    /// Maximum backoff that one answer can request.
    pub max_backoff: Millis,
    /// How long a runner's entry is kept after its backoff ended or its limit was last signalled.
    pub retention: Millis,
}

impl Default for BackPressureConfig {
    /// A restarted gateway is back within ten seconds and keeps its share of the limits. Reports
    /// are sent every 0.7 s, and one may be lost. A runner that needs a backoff of more than ten
    /// minutes can signal it again.
    fn default() -> BackPressureConfig {
        BackPressureConfig {
            gateway_timeout: Millis(10_000),
            limit_linger: Millis(1_000),
            limit_stale_after: Millis(5_000),
            probe_timeout: Millis(1_000),
            limit_end_report_time: Millis(3_000),
            max_backoff: Millis(600_000),
            retention: Millis(60_000),
        }
    }
}

/// Why no request may be sent to a runner now.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum BackPressureError {
    /// The runner sent a Retry-After that has not expired.
    #[display("the runner's Retry-After time has not passed")]
    RetryAfter,
    /// The runner signalled that it is leaving, or its entry is marked as leaving or was removed.
    #[display("the runner is leaving")]
    Leaving,
    /// The runner's data centre is evacuated.
    #[display("the runner's data centre is evacuated")]
    Evacuated,
    /// This gateway's share of the runner's rate limit is used up.
    #[display("this gateway's share of the runner's rate limit is used up")]
    RateLimit,
    /// The runner is cold, and this gateway may send it no more requests now.
    #[display("the runner is cold, and this gateway's share of its requests is used up")]
    Cold,
}

/// Back-pressure of all runners, for one selection.
#[derive(Clone, Copy, Debug)]
pub struct BackPressureView<'a> {
    /// The state of all runners.
    pub pressure: &'a BackPressure,
    /// A random number in `0.0..1.0`, see [`BackPressure::is_open`].
    pub draw: f64,
}

impl BackPressureView<'_> {
    /// True if a request may be sent to the runner.
    pub fn is_open(&self, runner: &Runner, now: Millis) -> bool {
        self.pressure.is_open(runner, self.draw, now)
    }

    /// True if the runner is cold and may be sent few requests.
    pub fn is_cold(&self, runner: &Runner, now: Millis) -> bool {
        self.pressure.cold.is_cold(runner, now)
    }
}

/// Numbers of runners whose back-pressure restricts this gateway's requests, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackPressureCounts {
    /// Runners that signal a rate limit.
    pub limited: usize,
    /// Runners that this gateway is backing off from.
    pub backing_off: usize,
    /// Cold runners.
    pub cold: usize,
}

/// A runner's rate limit, as reported between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The runner.
    pub runner: RunnerId,
    /// The process start that signalled the limit.
    pub born: Option<StartTime>,
    /// The limit; `None` if it has ended.
    pub limit: Option<RateLimit>,
    /// Time since the runner signalled it.
    pub age: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: Millis,
    /// When the first request after the backoff was sent.
    probed_at: Option<Millis>,
}

/// Back-pressure of one process start of a runner.
#[derive(Clone, Copy, Debug, Default)]
struct RunnerEntry {
    born: Option<StartTime>,
    last_signals: RunnerSignals,
    backoff: Option<Backoff>,
    limit: Option<LimitBucket>,
    /// When its limit ended.
    limit_ended_at: Option<Millis>,
}

/// Back-pressure of all runners, as recorded at this gateway.
///
/// ```
/// use bulrushusher_forward::{
///     BackPressure, BackPressureConfig, BackPressureError, RateLimit, Runner, RunnerSignals,
/// };
/// use bulrushusher_time::Millis;
/// let runner = Runner {
///     id: "i-1".try_into().unwrap(),
///     born: None,
///     service: "board-app".try_into().unwrap(),
///     address: "10.0.0.1:80".parse().unwrap(),
///     data_centre: "ba-ruzinov".try_into().unwrap(),
///     slots: 6,
///     stage: None,
///     leaving: false,
///     cold_for: Millis(0),
///     revision: 0,
///     version: "v1".into(),
/// };
/// let mut pressure = BackPressure::new(BackPressureConfig::default(), "entry-1".into());
/// let signals = RunnerSignals { retry_after: Some(Millis(3_000)), ..RunnerSignals::default() };
/// pressure.record_signals(&runner, signals, Millis(0));
/// assert_eq!(pressure.acquire(&runner, 1, Millis(2_999)), Err(BackPressureError::RetryAfter));
/// assert!(pressure.acquire(&runner, 1, Millis(3_000)).is_ok(), "the first one is a probe");
/// assert_eq!(pressure.acquire(&runner, 1, Millis(3_001)), Err(BackPressureError::RetryAfter));
/// pressure.record_signals(&runner, RunnerSignals::default(), Millis(3_010));
///
/// let limit = RateLimit::try_from("2").unwrap();
/// let signals = RunnerSignals { rate_limit: Some(limit), ..RunnerSignals::default() };
/// pressure.record_signals(&runner, signals, Millis(4_000));
/// assert_eq!(pressure.acquire(&runner, 1, Millis(4_499)), Err(BackPressureError::RateLimit));
/// assert!(pressure.acquire(&runner, 1, Millis(4_500)).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct BackPressure {
    cfg: BackPressureConfig,
    /// Name of this gateway.
    own: Arc<str>,
    /// Requests per second that this gateway gets, as it has reported it.
    own_demand: u32,
    /// The other gateways.
    gateways: HashMap<Arc<str>, ReportingGateway>,
    /// Number of other gateways that are announced.
    announced: usize,
    runners: HashMap<RunnerId, RunnerEntry>,
    shares_computed_at: Option<Millis>,
    /// Limits on the requests to cold runners.
    pub cold: ColdLimiter,
}

/// Another gateway, by its last report.
#[derive(Clone, Copy, Debug)]
struct ReportingGateway {
    reported_at: Millis,
    /// Requests per second that it gets.
    demand: u32,
}

/// How long shares are kept before they are recomputed.
const SHARE_REFRESH_INTERVAL: Millis = Millis(200);

impl BackPressure {
    /// Creates the state without any back-pressure.
    pub fn new(cfg: BackPressureConfig, own: Arc<str>) -> BackPressure {
        BackPressure {
            cfg,
            cold: ColdLimiter::new(own.clone()),
            own,
            own_demand: 0,
            gateways: HashMap::new(),
            announced: 0,
            runners: HashMap::new(),
            shares_computed_at: None,
        }
    }

    /// Records a report of another gateway, with the requests per second that it gets.
    pub fn record_gateway(&mut self, name: &str, demand: u32, now: Millis) {
        let report = ReportingGateway { reported_at: now, demand };
        match self.gateways.get_mut(name) {
            Some(known) => *known = report,
            None => {
                self.drop_silent_gateways(now);
                self.gateways.insert(name.into(), report);
                self.shares_computed_at = None;
            }
        }
    }

    fn drop_silent_gateways(&mut self, now: Millis) {
        let gateway_timeout = self.cfg.gateway_timeout;
        self.gateways.retain(|_, it| now.since(it.reported_at) < gateway_timeout);
    }

    /// Sets the requests per second that this gateway gets, as it reports it to the others.
    pub fn set_own_demand(&mut self, demand: u32) {
        self.own_demand = demand;
    }

    /// Sets the number of other gateways that are announced.
    pub fn set_announced(&mut self, others: usize) {
        self.announced = others;
    }

    /// Records the signals of a runner's answer; returns those of its previous answer.
    pub fn record_signals(
        &mut self,
        runner: &Runner,
        signals: RunnerSignals,
        now: Millis,
    ) -> RunnerSignals {
        let is_empty = signals == RunnerSignals::default();
        if is_empty && !self.runners.contains_key(&runner.id) {
            return signals;
        }
        let cfg = self.cfg;
        let entry = self.entry_for_start(&runner.id, runner.born);
        let before = std::mem::replace(&mut entry.last_signals, signals);
        entry.record_retry_after(signals.retry_after, &cfg, now);
        self.record_limit(&runner.id, signals.rate_limit, now, now);
        before
    }

    /// Merges rate limits of runners that another gateway reported. `starts` are the starts that this
    /// gateway knows: what is known of the latest one is not replaced by a limit of another start.
    pub fn merge_reports(&mut self, reports: &[LimitReport], starts: &StartTimes, now: Millis) {
        for report in reports {
            let LimitReport { runner, born, .. } = report;
            let known = self.runners.get(runner).map(|entry| entry.born);
            let replaces_latest =
                known.is_some_and(|known| known != *born && !starts.is_superseded(runner, known));
            if starts.is_past(runner, *born) || replaces_latest {
                continue;
            }
            self.entry_for_start(runner, *born);
            self.record_limit(runner, report.limit, now.since(report.age), now);
        }
    }

    /// The rate limits of runners to report to the other gateways, including limits that ended
    /// recently.
    pub fn reports(&self, now: Millis) -> Vec<LimitReport> {
        let report = |(runner, entry): (&RunnerId, &RunnerEntry)| {
            let ended =
                entry.limit_ended_at.filter(|at| now.since(*at) < self.cfg.limit_end_report_time);
            let (limit, at) = match (entry.limit, ended) {
                (Some(signalled), _) => (Some(signalled.limit), signalled.signalled_at),
                (None, Some(at)) => (None, at),
                (None, None) => return None,
            };
            Some(LimitReport {
                runner: runner.clone(),
                born: entry.born,
                limit,
                age: now.since(at),
            })
        };
        let mut reports: Vec<LimitReport> = self.runners.iter().filter_map(report).collect();
        reports.sort_unstable_by(|a, b| a.runner.cmp(&b.runner));
        reports
    }

    /// True if a request may be sent to the runner. `draw` is a random number in `0.0..1.0`: it
    /// selects the gateway that probes a limit for which no gateway has seen a signal for some
    /// time.
    pub fn is_open(&self, runner: &Runner, draw: f64, now: Millis) -> bool {
        if !self.cold.is_open(runner, 1, now) {
            return false;
        }
        let Some(entry) = self.entry(runner) else { return true };
        let is_backing_off = entry.backoff.is_some_and(|backoff| backoff.is_active(&self.cfg, now));
        let probes_here = draw * ((self.gateways.len() + 1) as f64) < 1.0;
        let limit_allows = entry.limit.is_none_or(|limit| {
            limit.is_open(now) || probes_here && may_probe(&limit, &self.cfg, now)
        });
        !is_backing_off && limit_allows
    }

    /// Acquires permits for `requests` that are about to be sent to the runner.
    ///
    /// # Errors
    /// The back-pressure that forbids the requests; no permit is taken then.
    pub fn acquire(
        &mut self,
        runner: &Runner,
        requests: u32,
        now: Millis,
    ) -> Result<(), BackPressureError> {
        self.acquire_signalled(runner, requests, now)?;
        let cold = self.cold.acquire(runner, requests, now);
        if cold.is_err() {
            self.release_limit(runner, requests, now);
        }
        cold
    }

    /// Acquires permits under the back-pressure that the runner has signalled.
    fn acquire_signalled(
        &mut self,
        runner: &Runner,
        requests: u32,
        now: Millis,
    ) -> Result<(), BackPressureError> {
        let cfg = self.cfg;
        let Some(entry) = self.entry_mut(runner) else { return Ok(()) };
        if entry.backoff.is_some_and(|backoff| backoff.is_active(&cfg, now)) {
            return Err(BackPressureError::RetryAfter);
        }
        if let Some(limit) = &mut entry.limit {
            if !limit.is_open(now) {
                if !may_probe(limit, &cfg, now) {
                    return Err(BackPressureError::RateLimit);
                }
                limit.probed_at = Some(now);
            }
            limit.charge(f64::from(requests), now);
        }
        if let Some(backoff) = &mut entry.backoff {
            backoff.probed_at = Some(now);
        }
        Ok(())
    }

    /// Checks the runner's backoff for requests that already have permits.
    ///
    /// # Errors
    /// [`BackPressureError::RetryAfter`] while the backoff lasts.
    pub fn check_backoff(&self, runner: &Runner, now: Millis) -> Result<(), BackPressureError> {
        let backoff = self.entry(runner).and_then(|entry| entry.backoff);
        match backoff.is_some_and(|backoff| now < backoff.until) {
            true => Err(BackPressureError::RetryAfter),
            false => Ok(()),
        }
    }

    /// Charges requests that are sent regardless of back-pressure to this gateway's share of the
    /// runner's rate limit.
    pub fn charge_rate_limit(&mut self, runner: &Runner, requests: u32, now: Millis) {
        if let Some(limit) = self.entry_mut(runner).and_then(|entry| entry.limit.as_mut()) {
            limit.charge(f64::from(requests), now);
        }
    }

    /// Returns permits of requests that were not sent after all.
    pub fn release(&mut self, runner: &Runner, requests: u32, now: Millis) {
        self.cold.release(runner, requests);
        self.release_limit(runner, requests, now);
    }

    fn release_limit(&mut self, runner: &Runner, requests: u32, now: Millis) {
        if let Some(limit) = self.entry_mut(runner).and_then(|entry| entry.limit.as_mut()) {
            limit.charge(-f64::from(requests), now);
        }
    }

    /// Time until this gateway may send to the runner; `None` if other gateways share the whole
    /// limit.
    pub fn time_until_open(&self, runner: &Runner, now: Millis) -> Option<Millis> {
        let Some(entry) = self.entry(runner) else { return Some(Millis(0)) };
        let backoff = entry.backoff.map_or(Millis(0), |backoff| backoff.remaining(&self.cfg, now));
        match entry.limit {
            None => Some(backoff),
            Some(limit) => limit.time_until_open(now).map(|wait| wait.max(backoff)),
        }
    }

    /// Recomputes shares, and drops silent gateways and expired entries.
    pub fn refresh(&mut self, now: Millis) {
        if self.runners.is_empty()
            || self.shares_computed_at.is_some_and(|at| now.since(at) < SHARE_REFRESH_INTERVAL)
        {
            return;
        }
        self.shares_computed_at = Some(now);
        let cfg = self.cfg;
        self.drop_silent_gateways(now);
        self.runners.retain(|_, entry| !entry.is_expired(&cfg, now));
        let reporting: Vec<Sharer<'_>> =
            self.gateways.iter().map(|(name, it)| Sharer { name, demand: it.demand }).collect();
        let own = Sharer { name: &self.own, demand: self.own_demand };
        let sharers = Sharers::new(own, reporting, self.announced + 1);
        for (id, entry) in &mut self.runners {
            if let Some(limit) = &mut entry.limit {
                limit.set_share(LimitShare::of(limit.limit, id, &sharers), now);
            }
        }
    }

    /// True if no runner signals back-pressure.
    pub fn is_empty(&self) -> bool {
        self.runners.is_empty()
    }

    /// Numbers of runners whose back-pressure restricts this gateway's requests, by kind.
    pub fn counts(&self, now: Millis) -> BackPressureCounts {
        let limited = self.runners.values().filter(|entry| entry.limit.is_some()).count();
        let is_backing_off =
            |entry: &&RunnerEntry| entry.backoff.is_some_and(|backoff| now < backoff.until);
        BackPressureCounts {
            limited,
            backing_off: self.runners.values().filter(is_backing_off).count(),
            cold: self.cold.cold_count(now),
        }
    }

    fn entry(&self, runner: &Runner) -> Option<&RunnerEntry> {
        self.runners.get(&runner.id).filter(|entry| entry.born == runner.born)
    }

    fn entry_mut(&mut self, runner: &Runner) -> Option<&mut RunnerEntry> {
        self.runners.get_mut(&runner.id).filter(|entry| entry.born == runner.born)
    }

    /// The entry for this process start of a runner, replacing that of another start.
    fn entry_for_start(&mut self, id: &RunnerId, born: Option<StartTime>) -> &mut RunnerEntry {
        let entry = self
            .runners
            .entry(id.clone())
            .or_insert(RunnerEntry { born, ..RunnerEntry::default() });
        if entry.born != born {
            *entry = RunnerEntry { born, ..RunnerEntry::default() };
        }
        entry
    }

    /// Records at `now` that the runner signalled this limit, or none, at `at`.
    fn record_limit(&mut self, id: &RunnerId, limit: Option<RateLimit>, at: Millis, now: Millis) {
        let lingers = self.cfg.limit_linger;
        let Some(entry) = self.runners.get_mut(id) else { return };
        match (limit, &mut entry.limit) {
            (Some(signalled), Some(known)) if at >= known.signalled_at => {
                known.signalled_at = at;
                if signalled != known.limit {
                    known.limit = signalled;
                    self.shares_computed_at = None;
                }
            }
            (Some(signalled), None) if entry.limit_ended_at.is_none_or(|ended| at > ended) => {
                let no_share = LimitShare::none();
                entry.limit = Some(LimitBucket::new(signalled, no_share, at, now));
                entry.limit_ended_at = None;
                self.shares_computed_at = None;
            }
            (None, Some(known)) if at >= known.signalled_at.plus(lingers) => {
                entry.limit = None;
                entry.limit_ended_at = Some(at);
            }
            _ => {}
        }
        self.refresh(now);
    }
}

/// True if a request may probe whether the limit still applies.
fn may_probe(limit: &LimitBucket, cfg: &BackPressureConfig, now: Millis) -> bool {
    let is_stale = now.since(limit.signalled_at) >= cfg.limit_stale_after;
    is_stale && limit.probed_at.is_none_or(|at| now.since(at) >= cfg.probe_timeout)
}

impl RunnerEntry {
    fn record_retry_after(
        &mut self,
        retry_after: Option<Millis>,
        cfg: &BackPressureConfig,
        now: Millis,
    ) {
        match (retry_after, self.backoff) {
            (Some(length), before) => {
                let until = now.plus(length.min(cfg.max_backoff));
                let until = before.map_or(until, |before| before.until.max(until));
                self.backoff = Some(Backoff { until, probed_at: None });
            }
            (None, Some(before)) if now >= before.until => self.backoff = None,
            (None, _) => {}
        }
    }

    /// True if the entry can be dropped. A runner that is gone sends no more answers, and its list
    /// entry may yet come back.
    fn is_expired(&self, cfg: &BackPressureConfig, now: Millis) -> bool {
        let is_old = |at: Millis| now.since(at) >= cfg.retention;
        let end_was_reported =
            self.limit_ended_at.is_none_or(|at| now.since(at) >= cfg.limit_end_report_time);
        let backoff_is_over = self.backoff.is_none_or(|backoff| is_old(backoff.until));
        let limit_is_over = self.limit.is_none_or(|limit| is_old(limit.signalled_at));
        end_was_reported && backoff_is_over && limit_is_over
    }
}

impl Backoff {
    /// True while requests are held back, also by the first request after the backoff.
    fn is_active(&self, cfg: &BackPressureConfig, now: Millis) -> bool {
        self.remaining(cfg, now) > Millis(0)
    }

    fn remaining(&self, cfg: &BackPressureConfig, now: Millis) -> Millis {
        let probe_until = self.probed_at.map_or(Millis(0), |at| at.plus(cfg.probe_timeout));
        self.until.max(probe_until).since(now)
    }
}
