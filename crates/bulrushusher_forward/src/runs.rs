//! Runs at decode runners: this gateway's own, and those that peers report.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::by_runner::{ByRunner, PeerNumber, Reported};
use crate::{
    GatewayDelta, GatewayReport, MemoryForecast, MemoryNeed, RunReport, RunShape, StartStatus,
    StartTime, StartTimes,
};

/// Limits on the use of peers' reports.
#[derive(Clone, Copy, Debug)]
pub struct PeersConfig {
    /// Time without messages after which a peer's report is ignored.
    pub forget_after: Millis,
}

impl Default for PeersConfig {
    /// Peers report at least once a second, and one or two reports may be lost.
    fn default() -> PeersConfig {
        PeersConfig { forget_after: Millis(3_000) }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub number: PeerNumber,
    pub report: GatewayReport,
    /// True if a delta did not follow the report before it, and no full report has arrived since.
    pub has_gap: bool,
}

/// Result of applying a peer's delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeltaOutcome {
    /// It was applied and follows the last known report.
    Applied,
    /// It is not newer than the last known report.
    Stale,
    /// A report before it is missing; a full report is needed.
    Gap,
}

/// Number of a run of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunNumber(u64);

/// All known runs.
#[derive(Clone, Debug)]
pub struct Runs {
    cfg: PeersConfig,
    last_run: u64,
    own: HashMap<RunNumber, RunReport>,
    pub(crate) peers: HashMap<Arc<str>, Peer>,
    last_peer: usize,
    pub(crate) by_runner: ByRunner,
    /// Time of each peer's last message.
    pub(crate) last_message: HashMap<PeerNumber, Millis>,
    starts: StartTimes,
}

impl Runs {
    /// Creates an empty table of runs.
    pub fn new(cfg: PeersConfig) -> Runs {
        Runs {
            cfg,
            last_run: 0,
            own: HashMap::new(),
            peers: HashMap::new(),
            last_peer: 0,
            by_runner: ByRunner::default(),
            last_message: HashMap::new(),
            starts: StartTimes::default(),
        }
    }

    /// Sets a runner's latest start, as the directory of runners knows it. Runs of an earlier start
    /// have ended, including those of peers; reports about an earlier start are ignored from then on.
    pub fn set_start(&mut self, id: &RunnerId, born: StartTime) -> StartStatus {
        let status = self.starts.set(id, born);
        if status == StartStatus::Newer {
            let ended = self.by_runner.get(id).map(|state| state.own.clone());
            for run in ended.unwrap_or_default() {
                self.end(run);
            }
        }
        // This applies to the first reported start too: reports without a start concern an earlier
        // one.
        for peer in self.peers.values_mut() {
            let reported = peer.report.starts.get(id).copied();
            // A full list calls this once per runner, and most peers have nothing at that runner.
            if self.starts.is_past(id, reported) && peer.report.mentions(id) {
                let before = peer.report.clone();
                peer.report.remove_runners(|runner| runner == id);
                let number = peer.number;
                let at = self.last_message.get(&number).copied().unwrap_or_default();
                self.by_runner.replace(number, &before, &peer.report, at);
            }
        }
        status
    }

    /// The known start times of runners.
    pub fn starts(&self) -> &StartTimes {
        &self.starts
    }

    /// Adds a run for which memory has been reserved.
    pub fn add(&mut self, mut report: RunReport) -> RunNumber {
        self.last_run += 1;
        report.number = self.last_run;
        let run = RunNumber(self.last_run);
        let state = self.by_runner.entry(&report.runner);
        state.own.push(run);
        state.invalidate_memory_need();
        self.own.insert(run, report);
        run
    }

    /// Marks that the run's decode runner prefills the prompt itself.
    pub fn mark_prefills_itself(&mut self, run: RunNumber) {
        if let Some(report) = self.own.get_mut(&run) {
            report.prefills_itself = true;
        }
    }

    /// Prompt tokens that a decode runner is currently prefilling itself, instead of a prefill
    /// runner.
    pub fn decode_prefill_tokens(&self, runner: &RunnerId, now: Millis) -> u64 {
        let of_peers = self.runs_of_peers(runner, now).map(|reported| &reported.value);
        let is_prefilling = |report: &&RunReport| report.prefills_itself && !report.is_generating;
        self.own_at(runner).chain(of_peers).filter(is_prefilling).map(|report| report.prompt).sum()
    }

    /// Records that the run generates nothing at present: it is preempted, or its engine is stuck.
    pub fn stall(&mut self, run: RunNumber) {
        if let Some(report) = self.own.get_mut(&run) {
            report.is_generating = false;
        }
    }

    /// Records that the run has begun, or the number of tokens that it has generated. A run that
    /// resumes after a stall is the newest in its engine's batch.
    pub fn progress(&mut self, run: RunNumber, generated: u64) {
        if let Some(report) = self.own.get_mut(&run) {
            if !report.is_generating {
                report.generated_at_join = report.generated;
            }
            report.is_generating = true;
            report.generated = report.generated.max(generated);
        }
    }

    /// Removes a run that has ended or released its memory.
    pub fn end(&mut self, run: RunNumber) -> Option<RunReport> {
        let report = self.own.remove(&run)?;
        self.by_runner.remove_own(&report.runner, run);
        Some(report)
    }

    /// This gateway's runs.
    pub fn own(&self) -> impl Iterator<Item = &RunReport> {
        self.own.values()
    }

    /// Applies a peer's report; returns false when a later one was already received. After a
    /// silence any report is accepted: a peer that restarts with its clock set back has a lower
    /// `incarnation` than before, and would otherwise be ignored until its clock catches up.
    pub fn apply_report(&mut self, peer: &str, report: GatewayReport, now: Millis) -> bool {
        let live = self.peers.get(peer).filter(|known| self.is_peer_live(known, now));
        if let Some(known) = live {
            let latest = (known.report.incarnation, known.report.sequence);
            // The full report that is requested after a gap may be the delta's own.
            let is_repair = known.has_gap && (report.incarnation, report.sequence) == latest;
            if (report.incarnation, report.sequence) <= latest && !is_repair {
                return false;
            }
        }
        let mut report = report;
        self.drop_superseded(&mut report);
        let (number, before) = match self.peers.remove(peer) {
            Some(known) => (known.number, known.report),
            None => (self.add_peer(now), GatewayReport::default()),
        };
        self.by_runner.replace(number, &before, &report, now);
        self.last_message.insert(number, now);
        self.peers.insert(peer.into(), Peer { number, report, has_gap: false });
        true
    }

    /// Incarnation and sequence number of the last report of a peer.
    pub fn latest_report(&self, peer: &str) -> Option<(u64, u64)> {
        self.peers.get(peer).map(|known| (known.report.incarnation, known.report.sequence))
    }

    /// Applies a delta to a peer's last report. If the report before it is missing, the delta is
    /// applied nevertheless; the full report that is then due closes the gap.
    pub fn apply_delta(&mut self, peer: &str, delta: GatewayDelta, now: Millis) -> DeltaOutcome {
        let live = self.peers.get(peer).filter(|known| self.is_peer_live(known, now));
        let Some((incarnation, last)) = live.map(|it| (it.report.incarnation, it.report.sequence))
        else {
            return DeltaOutcome::Gap;
        };
        let report = &delta.report;
        if (report.incarnation, report.sequence) <= (incarnation, last) {
            return DeltaOutcome::Stale;
        }
        if report.incarnation != incarnation {
            return DeltaOutcome::Gap;
        }
        let follows = delta.base() == last;
        let mut delta = delta;
        self.drop_superseded(&mut delta.report);
        let Some(known) = self.peers.get_mut(peer) else { return DeltaOutcome::Gap };
        let mut before = std::mem::take(&mut known.report);
        let runs = std::mem::take(&mut before.runs);
        let (removed, kept): (Vec<RunReport>, Vec<RunReport>) =
            runs.into_iter().partition(|run| delta.mentions(run.number));
        self.by_runner.apply_delta(known.number, &before, &removed, &delta.report, now);
        self.last_message.insert(known.number, now);
        known.report = delta.report;
        known.report.runs.extend(kept);
        for (runner, born) in before.starts {
            known.report.starts.entry(runner).or_insert(born);
        }
        known.has_gap |= !follows;
        if known.has_gap { DeltaOutcome::Gap } else { DeltaOutcome::Applied }
    }

    /// Drops statements about earlier starts of runners. Done once on receipt, so that decisions
    /// need not compare start times for each runner and peer.
    fn drop_superseded(&self, report: &mut GatewayReport) {
        if self.starts.is_empty() {
            return;
        }
        let reported = std::mem::take(&mut report.starts);
        report.remove_runners(|runner| self.starts.is_past(runner, reported.get(runner).copied()));
        report.starts = reported;
    }

    /// Number for a new peer. Peers that are gone are dropped at the same time, because each
    /// replaced VM brings a new name.
    fn add_peer(&mut self, now: Millis) -> PeerNumber {
        let forget_after = self.cfg.forget_after;
        self.last_message.retain(|_, at| now.since(*at) < forget_after);
        let (by_runner, last_message) = (&mut self.by_runner, &self.last_message);
        self.peers.retain(|_, peer| {
            let stays = last_message.contains_key(&peer.number);
            if !stays {
                by_runner.replace(peer.number, &peer.report, &GatewayReport::default(), now);
            }
            stays
        });
        self.last_peer += 1;
        PeerNumber(self.last_peer)
    }

    /// The runs at a runner. Those of peers are extrapolated by the time since their report.
    pub fn shapes_at(&self, runner: &RunnerId, tokens_per_ms: f64, now: Millis) -> Vec<RunShape> {
        let own = self.own_at(runner).map(|report| report.shape());
        let of_peers = self.runs_of_peers(runner, now).map(|reported| {
            let grown = now.since(reported.at).0 as f64 * tokens_per_ms;
            reported.value.shape_after(if reported.value.is_generating { grown } else { 0.0 })
        });
        own.chain(of_peers).collect()
    }

    /// Memory that the runs at a runner will need. It is recomputed when its runs change, and
    /// periodically as they grow.
    pub fn need_at(&self, runner: &RunnerId, forecast: &MemoryForecast, now: Millis) -> MemoryNeed {
        let compute = || forecast.need(&self.shapes_at(runner, forecast.tokens_per_ms, now));
        let state = self.by_runner.get(runner);
        state.map_or_else(MemoryNeed::default, |state| state.need(now, compute))
    }

    fn own_at(&self, runner: &RunnerId) -> impl Iterator<Item = &RunReport> {
        let runs = self.by_runner.get(runner).into_iter().flat_map(|state| &state.own);
        runs.filter_map(|run| self.own.get(run))
    }

    fn runs_of_peers(
        &self,
        runner: &RunnerId,
        now: Millis,
    ) -> impl Iterator<Item = &Reported<RunReport>> {
        self.reported_by_live_peers(
            self.by_runner.get(runner).map(|state| state.runs.as_slice()),
            now,
        )
    }

    /// The values reported by live peers.
    pub(crate) fn reported_by_live_peers<'a, T>(
        &'a self,
        reported: Option<&'a [Reported<T>]>,
        now: Millis,
    ) -> impl Iterator<Item = &'a Reported<T>> {
        reported.unwrap_or_default().iter().filter(move |reported| self.is_live(reported.by, now))
    }

    /// A run of this gateway, with its runner and progress.
    pub fn get(&self, run: RunNumber) -> Option<&RunReport> {
        self.own.get(&run)
    }

    /// True when no other generating run is known to have generated fewer tokens at this run's
    /// runner; an engine that is out of memory preempts the newest run first.
    pub fn is_newest(&self, run: RunNumber, tokens_per_ms: f64, now: Millis) -> bool {
        let Some(report) = self.own.get(&run) else { return false };
        let own = self.own_at(&report.runner).filter(|other| !std::ptr::eq(*other, report));
        let own_run_is_newer = own
            .filter(|it| it.is_generating)
            .any(|it| it.generated_since_join() < report.generated_since_join());
        let peer_run_is_newer = self.runs_of_peers(&report.runner, now).any(|reported| {
            let grown = (now.since(reported.at).0 as f64 * tokens_per_ms) as u64;
            reported.value.is_generating
                && reported.value.generated_since_join() + grown < report.generated_since_join()
        });
        report.is_generating && !own_run_is_newer && !peer_run_is_newer
    }

    pub(crate) fn live_peers(&self, now: Millis) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| self.is_peer_live(peer, now))
    }

    fn is_peer_live(&self, peer: &Peer, now: Millis) -> bool {
        self.is_live(peer.number, now)
    }

    /// True when the peer's last message is recent.
    fn is_live(&self, peer: PeerNumber, now: Millis) -> bool {
        let last = self.last_message.get(&peer);
        last.is_some_and(|at| now.since(*at) < self.cfg.forget_after)
    }
}
