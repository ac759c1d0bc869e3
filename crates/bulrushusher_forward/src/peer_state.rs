//! State of peers other than their runs: store contact, text generations that wait for memory,
//! failing runners.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::runs::Peer;
use crate::{GatewayReport, RelayPeer, RunCounts, Runs, SeenRevisions};

impl Runs {
    /// Number of peers whose last message is recent.
    pub fn peer_count(&self, now: Millis) -> usize {
        self.live_peers(now).count()
    }

    /// Store contact of the peers whose last message is less than `within` old.
    pub fn relay_peers(&self, within: Millis, now: Millis) -> Vec<RelayPeer> {
        let is_recent = |peer: &Peer| {
            self.last_message.get(&peer.number).is_some_and(|at| now.since(*at) < within)
        };
        let recent = self.peers.iter().filter(|(_, peer)| is_recent(peer));
        recent
            .map(|(name, peer)| RelayPeer { name: name.clone(), contact: peer.report.contact })
            .collect()
    }

    /// Latest store revisions seen by one peer.
    pub fn revisions_seen_by(&self, peer: &str) -> SeenRevisions {
        self.peers.get(peer).map(|peer| peer.report.seen_revisions).unwrap_or_default()
    }

    /// Latest store revisions seen by any live peer.
    pub fn revisions_seen_by_peers(&self, now: Millis) -> SeenRevisions {
        self.live_peers(now)
            .fold(SeenRevisions::default(), |seen, peer| seen.max(peer.report.seen_revisions))
    }

    /// True while a peer has a text generation that waits for decode memory and can still meet its
    /// response-time target.
    pub fn peers_have_on_time_waiting(&self, now: Millis) -> bool {
        self.live_peers(now).any(|peer| peer.report.waiting > 0)
    }

    /// Number of peers with text generations that wait for decode memory, including generations
    /// that can no longer meet their target.
    pub fn peers_with_waiting(&self, now: Millis) -> usize {
        let waits = |report: &GatewayReport| report.waiting > 0 || report.waiting_late > 0;
        self.live_peers(now).filter(|peer| waits(&peer.report)).count()
    }

    /// Prompt tokens that peers have in flight at a prefill runner.
    pub fn prefill_tokens_of_peers(&self, runner: &RunnerId, now: Millis) -> u64 {
        let tokens = self.by_runner.get(runner).map(|state| state.prefill_tokens.as_slice());
        self.reported_by_live_peers(tokens, now).map(|reported| reported.value).sum()
    }

    /// True while a peer reports that the runner is switching its stage.
    pub fn is_switching_stage(&self, runner: &RunnerId, now: Millis) -> bool {
        let switching = self.by_runner.get(runner).map(|state| state.switching_stage.as_slice());
        self.reported_by_live_peers(switching, now).next().is_some()
    }

    /// True while enough peers report the runner as unreachable. Two are required, so that a single
    /// partitioned peer cannot take all runners out of use; one is enough when it is the only peer.
    pub fn is_silent_at_peers(&self, runner: &RunnerId, now: Millis) -> bool {
        let silent = self.by_runner.get(runner).map(|state| state.silent.as_slice());
        match self.reported_by_live_peers(silent, now).take(2).count() {
            0 => false,
            1 => self.peer_count(now) == 1,
            _ => true,
        }
    }

    /// Success and failure counts of failing runners, summed over all live peers.
    pub fn failures_at_peers(&self, now: Millis) -> BTreeMap<RunnerId, RunCounts> {
        let mut sums: BTreeMap<RunnerId, RunCounts> = BTreeMap::new();
        for counts in self.live_peers(now).flat_map(|peer| &peer.report.failing) {
            let empty = || RunCounts { runner: counts.runner.clone(), good: 0.0, bad: 0.0 };
            let sum = sums.entry(counts.runner.clone()).or_insert_with(empty);
            sum.good += counts.good;
            sum.bad += counts.bad;
        }
        sums
    }
}
