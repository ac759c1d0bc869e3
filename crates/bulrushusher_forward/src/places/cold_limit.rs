//! Limits on the requests to cold runners, over all gateways and without coordination.
//!
//! A cold runner crashes well above a number of requests per second. The first few gateways in
//! rendezvous order for the runner, over all announced gateways, may each send a small number in any
//! second. The product is at most half of the bound: the other half covers as many gateways again
//! that see another list of gateways for a time.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::places::cold_runner::{COLD_MARGIN, PERMIT_TTL, RunnerState, Services, WINDOW};
use crate::places::cold_share::{ColdLimitConfig, ColdShare, KnownGateways};
use crate::rendezvous::is_among_first;
use crate::{BackPressureError, Runner, ServiceSpec, StartTime};

/// Number of runners beyond which the state of those without recent sends is dropped.
const MAX_RUNNERS: usize = 4_096;

/// Kind of a send to a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendKind {
    /// A send for which a permit was acquired.
    Permitted,
    /// A send without permit that may be left out.
    Optional,
    /// A send without permit that is made in any case.
    Mandatory,
}

/// A runner that became cold or warm, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ColdChange {
    /// The runner.
    pub runner: RunnerId,
    /// How long it stays cold; `None` if it is warm.
    pub cold_for: Option<Millis>,
    /// True if this gateway may send to it while it is cold.
    pub is_sharer: bool,
}

/// Which runners are cold, and what this gateway may send to them.
///
/// ```
/// use bulrushusher_forward::{
///     BackPressureError, ColdLimitConfig, ColdLimiter, ColdSpec, KnownGateways, Runner, SendKind,
///     ServiceSpec,
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
///     cold_for: Millis(3_000),
///     revision: 0,
///     version: "v1".into(),
/// };
/// let cold = ColdSpec { requests_per_second: 2.0, duration: Millis(3_000) };
/// let service = ServiceSpec {
///     name: runner.service.clone(), max_connections: 8, engine: None, cold: Some(cold),
/// };
/// let mut limiter = ColdLimiter::new("entry-1".into());
/// limiter.set_services([&service], ColdLimitConfig { overage: 1.5, slack: 1.0 }, Millis(0));
/// limiter.observe(&runner, Millis(0));
/// assert_eq!(limiter.acquire(&runner, 1, Millis(0)), Err(BackPressureError::Cold));
/// let certain_until = Some(Millis(60_000));
/// limiter.set_gateways(KnownGateways { others: vec![], certain_until }, Millis(0));
/// // The bound is 4: two for this gateway, two for one that sees another list.
/// assert_eq!(limiter.acquire(&runner, 2, Millis(1_100)), Ok(()));
/// limiter.record_send(&runner, SendKind::Permitted, Millis(1_105)).unwrap();
/// limiter.record_send(&runner, SendKind::Permitted, Millis(1_105)).unwrap();
/// assert_eq!(limiter.time_until_open(&runner, 1, Millis(1_105)), Millis(1_100));
/// assert!(limiter.is_open(&runner, 1, Millis(2_205)));
/// assert!(!limiter.is_cold(&runner, Millis(3_500)), "the stated time and a margin have passed");
/// ```
#[derive(Clone, Debug)]
pub struct ColdLimiter {
    own: Arc<str>,
    gateways: KnownGateways,
    /// When the sends of this process's previous start are out of the window; `None` before the
    /// gateways were first set.
    opens_at: Option<Millis>,
    services: Services,
    runners: HashMap<RunnerId, RunnerState>,
}

impl ColdLimiter {
    /// Creates a limiter for the gateway named `own`, without other gateways yet.
    pub fn new(own: Arc<str>) -> ColdLimiter {
        let (services, runners) = (HashMap::new(), HashMap::new());
        ColdLimiter { own, gateways: KnownGateways::default(), opens_at: None, services, runners }
    }

    /// Sets the services of the configuration.
    pub fn set_services<'a>(
        &mut self,
        services: impl IntoIterator<Item = &'a ServiceSpec>,
        cfg: ColdLimitConfig,
        now: Millis,
    ) {
        let with_share = |spec: &ServiceSpec| {
            let cold = spec.cold?;
            Some((spec.name.clone(), (cold, ColdShare::of(cold.requests_per_second, cfg))))
        };
        self.services = services.into_iter().filter_map(with_share).collect();
        self.runners.values_mut().for_each(|state| state.apply_duration(&self.services));
        self.update_sharing(now);
    }

    /// Sets the other gateways. The first call is made when the process starts: requests that its
    /// previous start has sent to cold runners count until [`WINDOW`] has passed.
    pub fn set_gateways(&mut self, gateways: KnownGateways, now: Millis) {
        self.opens_at.get_or_insert(now.plus(WINDOW));
        let is_same_list = self.gateways.others == gateways.others;
        self.gateways = gateways;
        if !is_same_list {
            self.update_sharing(now);
        }
    }

    /// Decides again which cold runners this gateway may send to.
    fn update_sharing(&mut self, now: Millis) {
        for (id, state) in &mut self.runners {
            if state.is_cold(now) {
                let share = self.services.get(&state.service).map(|(_, share)| *share);
                state.is_sharer = is_sharer(&self.own, &self.gateways, share, id);
            }
        }
    }

    /// Records the entry of a runner. Later entries of the same start never shorten the time for
    /// which it is cold, as they may arrive out of order. A later start, and a cold runner that was
    /// not known, are cold for at least the time that the configuration states.
    pub fn observe(&mut self, runner: &Runner, now: Millis) {
        self.drop_unused(now);
        let known = self.runners.get(&runner.id);
        if known.is_some_and(|known| runner.revision > 0 && runner.revision < known.revision) {
            return;
        }
        let is_known_revision =
            known.is_some_and(|it| runner.revision > 0 && it.revision == runner.revision);
        let is_cold = runner.cold_for > Millis(0) && !is_known_revision;
        let is_start = match known {
            Some(known) => known.born.is_some() && known.born != runner.born,
            None => is_cold,
        };
        let cold_until = now.plus(runner.cold_for).plus(COLD_MARGIN);
        let state = self.state(runner);
        (state.born, state.revision) = (runner.born, runner.revision);
        if is_cold {
            state.cold_until = state.cold_until.max(cold_until);
        }
        if is_start {
            state.started_at = Some(now);
        }
        self.update_runner(&runner.id, now);
    }

    /// Records a start of a known runner that became known before its entry.
    pub fn observe_start(&mut self, id: &RunnerId, born: Option<StartTime>, now: Millis) {
        let Some(state) = self.runners.get_mut(id).filter(|state| state.born != born) else {
            return;
        };
        if state.born.is_some() {
            state.started_at = Some(now);
        }
        state.born = born;
        self.update_runner(id, now);
    }

    fn update_runner(&mut self, id: &RunnerId, now: Millis) {
        let Some(state) = self.runners.get_mut(id) else { return };
        state.apply_duration(&self.services);
        if !state.is_cold(now) {
            return;
        }
        let share = self.services.get(&state.service).map(|(_, share)| *share);
        state.is_sharer = is_sharer(&self.own, &self.gateways, share, id);
    }

    /// True if the runner is cold and its service limits requests to cold runners.
    pub fn is_cold(&self, runner: &Runner, now: Millis) -> bool {
        self.cold_state(runner, now).is_some()
    }

    /// True if any known runner is cold.
    pub fn has_cold(&self, now: Millis) -> bool {
        !self.services.is_empty() && self.cold_count(now) > 0
    }

    /// Number of cold runners.
    pub fn cold_count(&self, now: Millis) -> usize {
        let is_limited = |state: &&RunnerState| self.services.contains_key(&state.service);
        self.runners.values().filter(is_limited).filter(|state| state.is_cold(now)).count()
    }

    /// True if this gateway may send the runner `requests` now.
    pub fn is_open(&self, runner: &Runner, requests: u32, now: Millis) -> bool {
        self.cold_state(runner, now).is_none_or(|(state, share)| {
            self.may_share(state, now) && state.used(now) + requests as usize <= share.per_second
        })
    }

    /// Time until this gateway may send the runner `requests`, at most until it is warm.
    pub fn time_until_open(&self, runner: &Runner, requests: u32, now: Millis) -> Millis {
        let Some((state, share)) = self.cold_state(runner, now) else { return Millis(0) };
        let until_warm = state.cold_until.since(now);
        let requests = requests as usize;
        if !self.may_share(state, now) || requests > share.per_second {
            return until_warm;
        }
        let excess = (state.used(now) + requests).saturating_sub(share.per_second);
        let ends = |times: &VecDeque<Millis>, span: Millis| {
            let ends = times.iter().map(|at| at.plus(span).since(now));
            ends.filter(|left| *left > Millis(0)).collect::<Vec<Millis>>()
        };
        let mut ends = [ends(&state.sends, WINDOW), ends(&state.acquired, PERMIT_TTL)].concat();
        ends.sort_unstable();
        match excess.checked_sub(1) {
            None => Millis(0),
            Some(last) => ends.get(last).map_or(until_warm, |left| until_warm.min(*left)),
        }
    }

    /// Acquires permits for requests that are about to be sent to the runner.
    ///
    /// # Errors
    /// [`BackPressureError::Cold`]; no permit is taken then.
    pub fn acquire(
        &mut self,
        runner: &Runner,
        requests: u32,
        now: Millis,
    ) -> Result<(), BackPressureError> {
        if !self.is_open(runner, requests, now) {
            return Err(BackPressureError::Cold);
        }
        if self.services.contains_key(&runner.service) {
            let state = self.state(runner);
            state.drop_expired(now);
            state.acquired.extend(std::iter::repeat_n(now, requests as usize));
        }
        Ok(())
    }

    /// Returns permits of requests that are not sent.
    pub fn release(&mut self, runner: &Runner, requests: u32) {
        if let Some(state) = self.runners.get_mut(&runner.id) {
            let left = state.acquired.len().saturating_sub(requests as usize);
            state.acquired.truncate(left);
        }
    }

    /// Records a request whose bytes are written next. The runner may have become cold, or this
    /// gateway may have lost its share, since the permit was acquired.
    ///
    /// # Errors
    /// [`BackPressureError::Cold`]: the request must not be sent.
    pub fn record_send(
        &mut self,
        runner: &Runner,
        kind: SendKind,
        now: Millis,
    ) -> Result<(), BackPressureError> {
        let Some((_, share)) = self.services.get(&runner.service).copied() else { return Ok(()) };
        if let Some((state, _)) = self.cold_state(runner, now) {
            let used = match kind {
                SendKind::Permitted => state.recent_sends(now),
                SendKind::Optional => state.used(now),
                SendKind::Mandatory => 0,
            };
            let is_allowed = self.may_share(state, now) && used < share.per_second;
            if kind != SendKind::Mandatory && !is_allowed {
                return Err(BackPressureError::Cold);
            }
        }
        let state = self.state(runner);
        state.drop_expired(now);
        if kind == SendKind::Permitted {
            state.acquired.pop_front();
        }
        state.sends.push_back(now);
        if state.sends.len() > share.per_second.max(1) {
            state.sends.pop_front();
        }
        Ok(())
    }

    /// Runners that became cold or warm since the last call, for the log.
    pub fn take_changes(&mut self, now: Millis) -> Vec<ColdChange> {
        let services = &self.services;
        let states = self.runners.iter_mut();
        let change = |(id, state): (&RunnerId, &mut RunnerState)| {
            let is_cold = state.is_cold(now) && services.contains_key(&state.service);
            if std::mem::replace(&mut state.is_reported_cold, is_cold) == is_cold {
                return None;
            }
            let cold_for = is_cold.then(|| state.cold_until.since(now));
            Some(ColdChange { runner: id.clone(), cold_for, is_sharer: state.is_sharer })
        };
        let mut changes: Vec<ColdChange> = states.filter_map(change).collect();
        changes.sort_unstable_by(|a, b| a.runner.cmp(&b.runner));
        changes
    }

    fn may_share(&self, state: &RunnerState, now: Millis) -> bool {
        state.is_sharer
            && self.opens_at.is_some_and(|at| now >= at)
            && self.gateways.certain_until.is_some_and(|until| now < until)
    }

    /// The state and the share of a cold runner; `None` if it is not limited now.
    fn cold_state(&self, runner: &Runner, now: Millis) -> Option<(&RunnerState, ColdShare)> {
        let (_, share) = self.services.get(&runner.service)?;
        let state = self.runners.get(&runner.id).filter(|state| state.is_cold(now))?;
        Some((state, *share))
    }

    fn state(&mut self, runner: &Runner) -> &mut RunnerState {
        self.runners.entry(runner.id.clone()).or_insert_with(|| RunnerState::new(runner))
    }

    fn drop_unused(&mut self, now: Millis) {
        if self.runners.len() > MAX_RUNNERS {
            self.runners.retain(|_, state| state.is_cold(now) || state.used(now) > 0);
        }
    }
}

fn is_sharer(
    own: &str,
    gateways: &KnownGateways,
    share: Option<ColdShare>,
    runner: &RunnerId,
) -> bool {
    let others = gateways.others.iter().map(|name| &**name);
    share.is_some_and(|it| is_among_first(it.sharers, runner.as_str(), own, others))
}
