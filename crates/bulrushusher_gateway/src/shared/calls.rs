//! Plain calls over all gateways: placement, waiting, and the calls of peers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bulrushusher_forward::{
    Admission, BackPressureView, CallPool, CallPoolConfig, CallPoolLoad, CallTicket, CallToPlace,
    PlaceView, PoolSize, Runner, SharingNeed, SharingNeedConfig, candidates_for_call, slots_of,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RunnerId, ServiceName};

use super::{Runners, SharedState};
use crate::runners::destination::Destination;
use crate::settings::CallSharing;

/// Plain calls of this gateway and its peers.
#[derive(Debug)]
pub(super) struct CallState {
    pub(super) pool: CallPool,
    /// Calls refused because the pool was full, by service.
    refused: HashMap<ServiceName, u64>,
    pub(super) reported_at: Millis,
    /// Whether this gateway's calls show that sharing is needed, by service.
    pub(super) needs: HashMap<ServiceName, SharingNeed>,
    pub(super) need_cfg: SharingNeedConfig,
    /// Until when a peer's need counts.
    pub(super) peer_needs_until: Millis,
    /// True if peers need a full report of the calls at once, because sharing has begun.
    pub(super) is_full_due: bool,
}

impl Default for CallState {
    fn default() -> CallState {
        let pool = CallPool::new(CallPoolConfig::default());
        CallState {
            pool,
            refused: HashMap::new(),
            reported_at: Millis(0),
            needs: HashMap::new(),
            need_cfg: SharingNeedConfig::default(),
            peer_needs_until: Millis(0),
            is_full_due: false,
        }
    }
}

impl CallState {
    pub(super) fn need(&mut self, service: &ServiceName) -> &mut SharingNeed {
        let cfg = self.need_cfg;
        self.needs.entry(service.clone()).or_insert_with(|| SharingNeed::new(cfg))
    }

    /// True if this gateway or a peer sees that the calls to such a pool need to be shared.
    fn is_sharing_needed(&mut self, service: &ServiceName, size: PoolSize, now: Millis) -> bool {
        self.need(service).is_needed(size, now)
            || (now < self.peer_needs_until && self.need_cfg.applies_to(size))
    }

    fn placement(
        &mut self,
        service: &ServiceName,
        pool: &[&Runner],
        admission: Admission,
    ) -> CallPlacement {
        match admission {
            Admission::Send(id) => match pool.iter().find(|runner| runner.id == id) {
                Some(runner) => CallPlacement::Send((*runner).clone()),
                None => CallPlacement::NoRunner,
            },
            Admission::Wait => CallPlacement::Wait(self.pool.poll_interval()),
            Admission::Refuse { retry_after, load } => {
                *self.refused.entry(service.clone()).or_default() += 1;
                CallPlacement::Refuse { retry_after, load }
            }
            Admission::NoRunner => CallPlacement::NoRunner,
        }
    }
}

/// Times of a call that needs a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimes {
    pub target: Millis,
    pub left_to_target: Millis,
    pub left: Millis,
    pub waited: Millis,
}

/// Decision on an attempt of a call.
#[derive(Debug)]
pub(crate) enum CallPlacement {
    Send(Runner),
    /// Decide again after this time.
    Wait(Millis),
    Refuse {
        retry_after: Millis,
        load: CallPoolLoad,
    },
    NoRunner,
}

impl SharedState {
    /// True where the gateways share their calls to a plain service.
    fn shares_calls(&self, service: &ServiceName) -> bool {
        let sharing = self.effective_call_sharing();
        if sharing == CallSharing::Off || self.engine(service).is_some() {
            return false;
        }
        let PoolSize { slots, gateways } = self.pool_size(service);
        let now = self.now();
        let mut calls = self.calls.lock();
        match sharing {
            CallSharing::On => calls.pool.may_share(gateways),
            CallSharing::Auto => calls.pool.is_scarce(slots, gateways),
            CallSharing::Observed => {
                calls.pool.is_scarce(slots, gateways)
                    || (calls.pool.may_share(gateways)
                        && calls.is_sharing_needed(service, PoolSize { slots, gateways }, now))
            }
            CallSharing::Off => false,
        }
    }

    /// Where gateways share their calls. With several regions a gateway sees mostly the runners of its
    /// own, and less of the load that others place there than the number of slots suggests.
    pub(super) fn effective_call_sharing(&self) -> CallSharing {
        let cfg = self.cfg.load();
        match cfg.call_sharing {
            CallSharing::Auto if cfg.topology.has_many_regions() => CallSharing::Observed,
            sharing => sharing,
        }
    }

    pub(super) fn pool_size(&self, service: &ServiceName) -> PoolSize {
        let gateways = self.runs.lock().peer_count(self.now()) + 1;
        let slots =
            self.with_runners(|runners, now| slots_of(runners.directory.usable(service, now)));
        PoolSize { slots, gateways }
    }

    /// Services whose calls the gateways share.
    pub(super) fn shared_services(&self) -> Vec<ServiceName> {
        let Some(routing) = self.routing() else { return Vec::new() };
        let names = routing.services().map(|service| &service.name);
        names.filter(|service| self.shares_calls(service)).cloned().collect()
    }

    /// Selects a runner for an attempt of a plain call. A later attempt neither waits nor is
    /// refused.
    pub(crate) fn place_call(
        &self,
        to: &Destination,
        tried: &[RunnerId],
        near: &DataCentreName,
        times: CallTimes,
    ) -> CallPlacement {
        let service = &to.service;
        if !self.shares_calls(service) {
            let picked = self.pick_for_call(to, tried, near);
            return picked.map_or(CallPlacement::NoRunner, CallPlacement::Send);
        }
        let (draw, admission_draw) = (self.draw(), self.draw());
        let CallTimes { target, left_to_target, left, waited } = times;
        self.with_call_pool(to, tried, |runners, places, calls, pool, now| {
            let call = CallToPlace {
                data_centre: near,
                loads: &runners.loads,
                places,
                target,
                left_to_target,
                left,
                waited,
                draw,
                admission_draw,
            };
            let admission = match tried {
                [] => calls.pool.admit(pool, call, now),
                _ => {
                    calls.pool.choose(pool, call, now).map_or(Admission::NoRunner, Admission::Send)
                }
            };
            calls.placement(service, pool, admission)
        })
    }

    /// False if a runner outside `tried` is expected to answer later than `left`.
    pub(crate) fn may_answer_within(
        &self,
        to: &Destination,
        tried: &[RunnerId],
        left: Millis,
    ) -> bool {
        !self.shares_calls(&to.service)
            || self.with_call_pool(to, tried, |_, _, calls, pool, now| {
                calls.pool.load(pool, now).expected_ms <= left.0 as f64
            })
    }

    pub(super) fn with_call_pool<T>(
        &self,
        to: &Destination,
        tried: &[RunnerId],
        f: impl FnOnce(&Runners, PlaceView<'_>, &mut CallState, &[&Runner], Millis) -> T,
    ) -> T {
        let draw = self.draw();
        self.with_runners(|runners, now| {
            let pressure = self.pressure_at(now);
            let view = BackPressureView { pressure: &pressure, draw };
            self.with_places(&to.residency, |places| {
                let cx = runners.candidates(to, view, places, now);
                let pool = candidates_for_call(cx, tried);
                let mut calls = self.calls.lock();
                calls.pool.remove_silent_peers(now);
                f(runners, places, &mut calls, &pool, now)
            })
        })
    }

    /// Load of each shared pool, with the number of calls refused there.
    pub(crate) fn call_pools(&self) -> Vec<(ServiceName, CallPoolLoad, u64)> {
        let of = |service: ServiceName| {
            let to = Destination::anywhere(&service);
            let (load, refused) = self.with_call_pool(&to, &[], |_, _, calls, pool, now| {
                let refused = calls.refused.get(&service).copied().unwrap_or(0);
                (calls.pool.load(pool, now), refused)
            });
            (service, load, refused)
        };
        self.shared_services().into_iter().map(of).collect()
    }
}

/// Counts a call as waiting until dropped.
#[derive(Debug)]
pub(crate) struct CallWait {
    shared: Arc<SharedState>,
    since: Millis,
}

impl CallWait {
    pub(crate) fn begin(shared: &Arc<SharedState>) -> CallWait {
        shared.calls.lock().pool.begin_waiting();
        CallWait { shared: shared.clone(), since: shared.now() }
    }

    /// Time since the call began to wait.
    pub(crate) fn length(&self) -> Millis {
        self.shared.now().since(self.since)
    }
}

impl Drop for CallWait {
    fn drop(&mut self) {
        self.shared.calls.lock().pool.end_waiting();
    }
}

/// Counts a call as in flight at its runner until dropped.
#[derive(Debug)]
pub(crate) struct CallInFlight {
    shared: Arc<SharedState>,
    service: ServiceName,
    runner: RunnerId,
    /// `None` where calls are not shared.
    ticket: Option<CallTicket>,
    started: Millis,
    /// Round trip to the runner beyond one inside this gateway's region.
    extra: Millis,
    is_answered: bool,
}

impl CallInFlight {
    pub(crate) fn begin(
        shared: &Arc<SharedState>,
        service: &ServiceName,
        runner: &Runner,
    ) -> CallInFlight {
        let started = shared.now();
        shared.calls.lock().need(service).begin(started);
        let ticket =
            shared.shares_calls(service).then(|| shared.calls.lock().pool.begin(runner, started));
        if ticket.is_some() && !shared.calls_shared.load(Ordering::Relaxed) {
            shared.update_calls_shared();
        }
        if ticket.is_some() && shared.is_call_report_due() {
            shared.call_report_due.notify_one();
        }
        let extra = shared.extra_time(&runner.data_centre);
        let (shared, service, runner) = (shared.clone(), service.clone(), runner.id.clone());
        CallInFlight { shared, service, runner, ticket, started, extra, is_answered: false }
    }

    /// Records that the runner has answered the call.
    pub(crate) fn record_answer(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for CallInFlight {
    fn drop(&mut self) {
        let now = self.shared.now();
        self.shared.calls.lock().need(&self.service).end(now);
        let Some(ticket) = self.ticket else { return };
        let response = self.is_answered.then(|| now.since(self.started).since(self.extra));
        self.shared.calls.lock().pool.end(&self.runner, ticket, response, now);
    }
}
