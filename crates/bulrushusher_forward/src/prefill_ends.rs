//! Prefills that ended at each runner, at this gateway and as peers report: evidence that a runner
//! works.

use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::GatewayReport;

/// How long the ends of prefills are kept and reported.
#[derive(Clone, Copy, Debug)]
pub struct PrefillEndsConfig {
    /// How long an end is kept as evidence.
    pub keep: Millis,
    /// How long after its last end a runner stays in the reports to the peers.
    pub report: Millis,
    /// A prompt that was sent at least this much later is behind the other one in the queue.
    pub later_margin: Millis,
    /// Time without reports after which the counters of a peer are dropped.
    pub forget_peer: Millis,
}

impl Default for PrefillEndsConfig {
    /// Ends are kept for longer than any memory hold (2 s), and reported in several reports, since
    /// some are lost. A prompt of 20 KB takes 16 ms on a link of 10 Mbit/s, and several may be sent
    /// on it at once. A peer is gone after 3 s without reports.
    fn default() -> PrefillEndsConfig {
        PrefillEndsConfig {
            keep: Millis(5_000),
            report: Millis(3_000),
            later_margin: Millis(200),
            forget_peer: Millis(10_000),
        }
    }
}

/// Prefills of one gateway that ended at a runner between two moments.
#[derive(Clone, Copy, Debug)]
struct Ends {
    count: u64,
    /// They ended after this moment.
    after: Millis,
    /// When this gateway learned of it.
    at: Millis,
    /// Their prompts were sent after this moment; `None` if that is unknown.
    sent_after: Option<Millis>,
}

#[derive(Clone, Debug, Default)]
struct RunnerEnds {
    /// Prefills of this gateway that ended there.
    own: u64,
    last_own: Option<Millis>,
    recent: VecDeque<Ends>,
    last_answer: Option<Millis>,
}

/// The prefills in a peer's report.
#[derive(Clone, Debug, Default)]
pub struct PeerPrefills {
    incarnation: u64,
    ends: Vec<(RunnerId, u64)>,
    in_flight: HashSet<RunnerId>,
}

impl PeerPrefills {
    /// Takes the counters of ended prefills out of a report, with the runners that have others in
    /// flight.
    pub fn take(report: &mut GatewayReport) -> PeerPrefills {
        PeerPrefills {
            incarnation: report.incarnation,
            ends: std::mem::take(&mut report.prefill_ends),
            in_flight: report.prefill_tokens.iter().map(|(runner, _)| runner.clone()).collect(),
        }
    }
}

/// What a peer reported last.
#[derive(Clone, Debug, Default)]
struct PeerEnds {
    incarnation: u64,
    received_at: Millis,
    counters: HashMap<RunnerId, u64>,
    /// Runners at which the peer had prompts in flight, and the moment after which it sent all of them;
    /// `None` if that is unknown.
    in_flight: HashMap<RunnerId, Option<Millis>>,
}

impl PeerEnds {
    /// The moment after which the peer sent all prompts that may have ended at the runner since this
    /// report: that of the report, or an earlier one if it had some in flight.
    fn sent_after(&self, runner: &RunnerId) -> Option<Millis> {
        self.in_flight.get(runner).copied().unwrap_or(Some(self.received_at))
    }
}

/// What is known of a runner since a prompt was sent to it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillProgress {
    /// Other prefills that ended there since.
    pub ended: u64,
    /// Time since the last of them was known.
    pub last_end_ago: Option<Millis>,
    /// Time since it is known that a prompt sent later has ended there. Prefill runners process
    /// prompts in order, so the earlier prompt is done or lost.
    pub passed_ago: Option<Millis>,
}

/// Ends of prefills and answers, by runner.
///
/// ```
/// use bulrushusher_forward::{PrefillEnds, PrefillEndsConfig};
/// use bulrushusher_time::Millis;
/// let mut ends = PrefillEnds::new(PrefillEndsConfig::default());
/// let runner = "p0".try_into().unwrap();
/// ends.record_end(&runner, Millis(900), Millis(1_200));
/// let progress = ends.progress(&runner, Millis(1_000), Millis(1_250));
/// assert_eq!((progress.ended, progress.last_end_ago), (1, Some(Millis(50))));
/// assert_eq!(progress.passed_ago, None, "the prompt that ended was sent earlier");
/// assert_eq!(ends.progress(&runner, Millis(1_210), Millis(1_250)).ended, 0);
/// ```
#[derive(Clone, Debug)]
pub struct PrefillEnds {
    cfg: PrefillEndsConfig,
    runners: HashMap<RunnerId, RunnerEnds>,
    peers: HashMap<Arc<str>, PeerEnds>,
}

impl PrefillEnds {
    /// Creates an empty record.
    pub fn new(cfg: PrefillEndsConfig) -> PrefillEnds {
        PrefillEnds { cfg, runners: HashMap::new(), peers: HashMap::new() }
    }

    /// Records the end of a prefill of this gateway, whose prompt was sent at `sent`.
    pub fn record_end(&mut self, runner: &RunnerId, sent: Millis, now: Millis) {
        let state = self.runners.entry(runner.clone()).or_default();
        state.own = state.own.wrapping_add(1);
        state.last_own = Some(now);
        state.last_answer = Some(now);
        self.push(runner, Ends { count: 1, after: now, at: now, sent_after: Some(sent) });
    }

    /// Records that a runner has answered any request of this gateway. Only runners that prefilled
    /// prompts, or are watched, are kept.
    pub fn record_answer(&mut self, runner: &RunnerId, now: Millis) {
        if let Some(state) = self.runners.get_mut(runner) {
            state.last_answer = Some(now);
        }
    }

    /// Starts to keep the runner's answers.
    pub fn watch(&mut self, runner: &RunnerId) {
        self.runners.entry(runner.clone()).or_default();
    }

    /// True if the runner has answered a request at `since` or later.
    pub fn has_answered(&self, runner: &RunnerId, since: Millis) -> bool {
        let answered = self.runners.get(runner).and_then(|state| state.last_answer);
        answered.is_some_and(|at| at >= since)
    }

    /// Merges the counters in an accepted report of a peer. The first report of a peer, or of a new
    /// start of it, is a baseline: nothing in it is known to have ended recently.
    pub fn merge(&mut self, peer: &str, report: PeerPrefills, now: Millis) {
        let PeerPrefills { incarnation, ends, in_flight } = report;
        let known = self.peers.remove(peer).filter(|it| it.incarnation == incarnation);
        let sent_after = |runner: &RunnerId| known.as_ref()?.sent_after(runner);
        let in_flight =
            in_flight.into_iter().map(|runner| (runner.clone(), sent_after(&runner))).collect();
        let mut counters = match known {
            Some(before) => self.count_ends(before, &ends, now),
            None => {
                let forget_peer = self.cfg.forget_peer;
                self.peers.retain(|_, it| now.since(it.received_at) < forget_peer);
                HashMap::new()
            }
        };
        counters.extend(ends);
        self.peers
            .insert(peer.into(), PeerEnds { incarnation, received_at: now, counters, in_flight });
    }

    /// Records the ends between two reports of a peer; returns the earlier counters.
    fn count_ends(
        &mut self,
        before: PeerEnds,
        ends: &[(RunnerId, u64)],
        now: Millis,
    ) -> HashMap<RunnerId, u64> {
        for (runner, counter) in ends {
            // A runner without a counter was not listed since the baseline, so that its prefill
            // ended after it.
            let count = before.counters.get(runner).map_or(1, |old| counter.wrapping_sub(*old));
            // A counter that went back starts anew.
            if count > 0 && count < u64::MAX / 2 {
                let sent_after = before.sent_after(runner);
                self.push(runner, Ends { count, after: before.received_at, at: now, sent_after });
            }
        }
        before.counters
    }

    fn push(&mut self, runner: &RunnerId, ends: Ends) {
        let recent = &mut self.runners.entry(runner.clone()).or_default().recent;
        while recent.front().is_some_and(|old| ends.at.since(old.at) > self.cfg.keep) {
            recent.pop_front();
        }
        recent.push_back(ends);
    }

    /// What is known of a runner since a prompt was sent to it at `sent`. Ends that may have been
    /// before it are left out.
    pub fn progress(&self, runner: &RunnerId, sent: Millis, now: Millis) -> PrefillProgress {
        let recent = self.runners.get(runner).into_iter().flat_map(|state| &state.recent);
        let later = sent.plus(self.cfg.later_margin);
        let mut progress = PrefillProgress::default();
        for ends in recent.filter(|ends| ends.after >= sent) {
            progress.ended = progress.ended.saturating_add(ends.count);
            progress.last_end_ago = Some(now.since(ends.at));
            if ends.sent_after.is_some_and(|at| at >= later) {
                progress.passed_ago = progress.passed_ago.max(Some(now.since(ends.at)));
            }
        }
        progress
    }

    /// The counters for the next report: runners at which a prefill of this gateway ended in the
    /// last seconds.
    pub fn report(&self, now: Millis) -> Vec<(RunnerId, u64)> {
        let is_recent =
            |state: &RunnerEnds| state.last_own.is_some_and(|at| now.since(at) < self.cfg.report);
        let recent = self.runners.iter().filter(|(_, state)| is_recent(state));
        recent.map(|(runner, state)| (runner.clone(), state.own)).collect()
    }

    /// Forgets a runner that is gone or has started again.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.runners.remove(runner);
        for peer in self.peers.values_mut() {
            peer.counters.remove(runner);
        }
    }
}
