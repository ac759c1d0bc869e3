//! Plain calls that peers report.

use std::collections::BTreeMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::call_report::BaseTag;
use crate::{CallPoolReport, CallPoolUpdate, DeltaOutcome, RunnerCalls};

/// Time for which the last report of a silent peer is kept; a quiet peer sends a full report every
/// 1.4 s, and a few of them may be lost.
const KEEP_SILENT: Millis = Millis(5_000);

/// The last report of a peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerCalls {
    pub incarnation: u64,
    at: Millis,
    waiting: u32,
    runners: BTreeMap<RunnerId, RunnerCalls>,
    base: Arc<CallPoolReport>,
    tag: BaseTag,
    /// Number of the last update of the base.
    number: u32,
}

/// The last reports of all peers, with their sums: decisions are far more frequent than reports.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeersCalls {
    peers: BTreeMap<Arc<str>, PeerCalls>,
    /// Peers whose calls no longer count. Their next update still builds on their last full report:
    /// without it a burst after a quiet time would be seen a round trip later.
    silent: BTreeMap<Arc<str>, PeerCalls>,
    in_flight: BTreeMap<RunnerId, u64>,
    waiting: u64,
    /// Sum of the times of the reports, in ms.
    times: u64,
    latest: Millis,
}

impl PeerCalls {
    pub(crate) fn new(incarnation: u64, report: CallPoolReport, at: Millis) -> PeerCalls {
        let tag = report.tag();
        let runners = by_runner(&report);
        let (waiting, base) = (report.waiting, Arc::new(report));
        PeerCalls { incarnation, at, waiting, runners, base, tag, number: 0 }
    }

    /// The calls after an update.
    ///
    /// # Errors
    /// [`DeltaOutcome::Stale`] if the update is not newer, [`DeltaOutcome::Gap`] if its base is not
    /// known.
    pub(crate) fn update(
        &self,
        update: &CallPoolUpdate,
        at: Millis,
    ) -> Result<PeerCalls, DeltaOutcome> {
        if update.base() != self.tag {
            return Err(DeltaOutcome::Gap);
        }
        if update.number() <= self.number {
            return Err(DeltaOutcome::Stale);
        }
        let report = update.apply_to(&self.base);
        let (waiting, runners) = (report.waiting, by_runner(&report));
        Ok(PeerCalls { at, waiting, runners, number: update.number(), ..self.clone() })
    }

    /// True if an update of the same base was applied, so that the base itself is older.
    fn is_newer_than(&self, base: &PeerCalls) -> bool {
        self.number > 0 && (self.incarnation, self.tag) == (base.incarnation, base.tag)
    }

    /// Calls of this report with those of the report before it, for the runners in both.
    pub(crate) fn since<'a>(
        &'a self,
        before: &'a PeerCalls,
    ) -> impl Iterator<Item = (&'a RunnerCalls, &'a RunnerCalls)> {
        let both =
            |(id, calls): (&RunnerId, &'a RunnerCalls)| Some((before.runners.get(id)?, calls));
        self.runners.iter().filter_map(both)
    }
}

fn by_runner(report: &CallPoolReport) -> BTreeMap<RunnerId, RunnerCalls> {
    report.runners.iter().map(|calls| (calls.runner.clone(), calls.clone())).collect()
}

impl PeersCalls {
    /// The last report of a peer, also of a silent one.
    pub(crate) fn get(&self, peer: &str) -> Option<&PeerCalls> {
        self.peers.get(peer).or_else(|| self.silent.get(peer))
    }

    /// True if an update of the peer's calls was received after `calls` was written.
    pub(crate) fn is_outdated(&self, peer: &str, calls: &PeerCalls) -> bool {
        self.get(peer).is_some_and(|known| known.is_newer_than(calls))
    }

    /// Replaces the report of a peer, and returns the one before.
    pub(crate) fn replace(&mut self, peer: &str, calls: PeerCalls) -> Option<PeerCalls> {
        let before = self.remove(peer);
        self.silent.remove(peer);
        for (runner, calls) in &calls.runners {
            *self.in_flight.entry(runner.clone()).or_default() += u64::from(calls.in_flight);
        }
        self.waiting += u64::from(calls.waiting);
        self.times += calls.at.0;
        self.latest = self.latest.max(calls.at);
        self.peers.insert(peer.into(), calls);
        before
    }

    fn remove(&mut self, peer: &str) -> Option<PeerCalls> {
        let calls = self.peers.remove(peer)?;
        for (runner, calls) in &calls.runners {
            if let Some(sum) = self.in_flight.get_mut(runner) {
                *sum = sum.saturating_sub(calls.in_flight.into());
            }
        }
        self.waiting = self.waiting.saturating_sub(calls.waiting.into());
        self.times = self.times.saturating_sub(calls.at.0);
        Some(calls)
    }

    /// Removes the peers that are silent since `lifetime`.
    pub(crate) fn remove_silent(&mut self, lifetime: Millis, now: Millis) {
        let is_silent = |(_, calls): &(&Arc<str>, &PeerCalls)| now.since(calls.at) >= lifetime;
        let silent: Vec<Arc<str>> =
            self.peers.iter().filter(is_silent).map(|(peer, _)| peer.clone()).collect();
        for peer in silent {
            if let Some(calls) = self.remove(&peer) {
                self.silent.insert(peer, calls);
            }
        }
        self.silent.retain(|_, calls| now.since(calls.at) < KEEP_SILENT);
    }

    /// Removes a runner from all reports.
    pub(crate) fn forget(&mut self, runner: &RunnerId) {
        self.in_flight.remove(runner);
        for peer in self.peers.values_mut() {
            peer.runners.remove(runner);
        }
    }

    /// Number of peers; none once all are silent.
    pub(crate) fn count(&self, lifetime: Millis, now: Millis) -> usize {
        if now.since(self.latest) < lifetime { self.peers.len() } else { 0 }
    }

    /// Number of peers that reported since their last silence, including silent ones.
    pub(crate) fn known(&self) -> usize {
        self.peers.len()
    }

    /// Calls in flight at a runner when the peers reported.
    pub(crate) fn in_flight(&self, runner: &RunnerId) -> u64 {
        self.in_flight.get(runner).copied().unwrap_or(0)
    }

    /// Calls that waited at the peers when they reported.
    pub(crate) fn waiting(&self) -> u64 {
        self.waiting
    }

    /// Mean age of the reports, in ms.
    pub(crate) fn mean_age_ms(&self, now: Millis) -> f64 {
        let peers = self.peers.len() as u64;
        (now.0 * peers).saturating_sub(self.times) as f64 / peers.max(1) as f64
    }
}
