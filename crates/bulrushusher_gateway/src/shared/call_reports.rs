//! Reports of this gateway's plain calls to its peers, and the calls that they report.

use std::sync::atomic::Ordering;

use bulrushusher_forward::{CallPoolReport, CallPoolUpdate, DeltaOutcome};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};

use super::SharedState;
use crate::runners::destination::Destination;

impl SharedState {
    /// Determines whether calls are shared now. When sharing begins, it is reported to the peers at once.
    pub(super) fn update_calls_shared(&self) -> bool {
        let is_shared = !self.shared_services().is_empty();
        if is_shared && !self.calls_shared.swap(true, Ordering::Relaxed) {
            log::info!("calls: sharing begins");
            self.calls.lock().is_full_due = true;
            self.report_due.notify_one();
        }
        is_shared
    }

    /// True once after sharing has begun.
    pub(crate) fn take_full_call_report_due(&self) -> bool {
        std::mem::take(&mut self.calls.lock().is_full_due)
    }

    /// Records that a full runner refused a call.
    pub(crate) fn record_full_runner(&self, service: &ServiceName) {
        let now = self.now();
        self.calls.lock().need(service).record_refusal(now);
    }

    /// Time between reports while a pool is busy; `None` where gateways do not share calls.
    pub(crate) fn call_report_interval(&self) -> Option<Millis> {
        if !self.calls_shared.load(Ordering::Relaxed) {
            return None;
        }
        let gateways = self.runs.lock().peer_count(self.now()) + 1;
        Some(self.calls.lock().pool.report_interval(gateways))
    }

    /// True if this gateway's calls must be reported to the peers before the usual time.
    pub(crate) fn is_call_report_due(&self) -> bool {
        let Some(interval) = self.call_report_interval() else { return false };
        if self.now().since(self.calls.lock().reported_at) < interval {
            return false;
        }
        self.shared_services().iter().any(|service| {
            self.with_call_pool(&Destination::anywhere(service), &[], |_, _, calls, pool, now| {
                calls.pool.is_report_due(pool, now)
            })
        })
    }

    /// This gateway's calls, for a full report to the peers; `None` where calls are not shared.
    pub(crate) fn call_report(&self) -> Option<CallPoolReport> {
        let is_shared = !self.shared_services().is_empty();
        match (self.calls_shared.swap(is_shared, Ordering::Relaxed), is_shared) {
            (false, true) => log::info!("calls: sharing begins"),
            (true, false) => log::info!("calls: sharing ends"),
            _ => {}
        }
        let is_needed = is_shared && self.is_call_sharing_needed();
        let now = self.now();
        let mut calls = self.calls.lock();
        calls.reported_at = now;
        is_shared.then(|| CallPoolReport { is_needed, ..calls.pool.report() })
    }

    /// True if this gateway's own calls show that sharing is needed.
    fn is_call_sharing_needed(&self) -> bool {
        let now = self.now();
        let services: Vec<ServiceName> = self.calls.lock().needs.keys().cloned().collect();
        services.iter().any(|service| {
            let size = self.pool_size(service);
            self.calls.lock().need(service).is_needed(size, now)
        })
    }

    /// The calls of the last full report, for a peer that has missed it.
    pub(crate) fn last_call_report(&self) -> Option<CallPoolReport> {
        let is_shared = self.calls_shared.load(Ordering::Relaxed);
        self.calls.lock().pool.last_report().filter(|_| is_shared).cloned()
    }

    /// Changes of this gateway's calls since the last full report; `None` where calls are not
    /// shared.
    pub(crate) fn call_update(&self) -> Option<CallPoolUpdate> {
        let is_shared = self.calls_shared.load(Ordering::Relaxed);
        let now = self.now();
        let mut calls = self.calls.lock();
        let update = if is_shared { calls.pool.update() } else { None }?;
        calls.reported_at = now;
        Some(update)
    }

    /// Merges the calls of a peer.
    pub(super) fn merge_calls(&self, peer: &str, incarnation: u64, report: CallPoolReport) {
        let now = self.now();
        if report.is_needed {
            let mut calls = self.calls.lock();
            calls.peer_needs_until = now.plus(calls.need_cfg.peer_lifetime);
        }
        if self.calls_shared.load(Ordering::Relaxed)
            || (report.is_needed && self.update_calls_shared())
        {
            self.calls.lock().pool.merge(peer, incarnation, report, now);
        }
    }

    /// Merges an update on the calls of a peer; a gateway that does not share calls ignores it.
    pub(crate) fn merge_call_update(&self, peer: &str, update: &CallPoolUpdate) -> DeltaOutcome {
        if !self.calls_shared.load(Ordering::Relaxed) {
            return DeltaOutcome::Stale;
        }
        let now = self.now();
        self.calls.lock().pool.merge_update(peer, update, now)
    }

    /// Forgets the calls at a runner that is gone or has restarted.
    pub(super) fn forget_calls(&self, runner: &RunnerId) {
        self.calls.lock().pool.forget(runner);
    }
}
