//! What peers tell beside their runs: who speaks, what waits, which runners fail.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::runs::Heard;
use crate::{GatewayReport, NewsSeen, RelayPeer, RunCounts, Runs};

impl Runs {
    /// Peers heard lately.
    pub fn peers(&self, now: Millis) -> usize {
        self.heard(now).count()
    }

    /// What peers have with the store that were heard within some time.
    pub fn relay_peers(&self, within: Millis, now: Millis) -> Vec<RelayPeer> {
        let is_near = |heard: &Heard| {
            self.heard_at.get(&heard.number).is_some_and(|at| now.since(*at) < within)
        };
        let near = self.peers.iter().filter(|(_, heard)| is_near(heard));
        near.map(|(name, heard)| RelayPeer { name: name.clone(), contact: heard.report.contact })
            .collect()
    }

    /// The last changes of the store that one peer knows.
    pub fn news_of(&self, peer: &str) -> NewsSeen {
        self.peers.get(peer).map(|heard| heard.report.news).unwrap_or_default()
    }

    /// The last changes of the store that a peer knows.
    pub fn news_of_peers(&self, now: Millis) -> NewsSeen {
        self.heard(now).fold(NewsSeen::default(), |news, heard| news.max(heard.report.news))
    }

    /// True while a generation waits at a peer that can still be on time.
    pub fn peers_wait_on_time(&self, now: Millis) -> bool {
        self.heard(now).any(|heard| heard.report.waiting > 0)
    }

    /// Peers at which generations wait, be they late or not.
    pub fn peers_that_wait(&self, now: Millis) -> usize {
        let waits = |report: &GatewayReport| report.waiting + report.waiting_late > 0;
        self.heard(now).filter(|heard| waits(&heard.report)).count()
    }

    /// Prompt tokens that peers have at a prefill runner.
    pub fn reads_of_peers(&self, runner: &RunnerId, now: Millis) -> u64 {
        let reads = self.by_runner.get(runner).map(|there| there.reads.as_slice());
        self.fresh(reads, now).map(|told| told.what).sum()
    }

    /// True while a peer knows that the runner changes its stage.
    pub fn is_changing(&self, runner: &RunnerId, now: Millis) -> bool {
        let changing = self.by_runner.get(runner).map(|there| there.changing.as_slice());
        self.fresh(changing, now).next().is_some()
    }

    /// True while enough peers cannot reach the runner: two, so that one that is cut off itself
    /// does not speak against all runners; the only one where there is no other.
    pub fn is_silent_at_peers(&self, runner: &RunnerId, now: Millis) -> bool {
        let silent = self.by_runner.get(runner).map(|there| there.silent.as_slice());
        match self.fresh(silent, now).take(2).count() {
            0 => false,
            1 => self.peers(now) == 1,
            _ => true,
        }
    }

    /// How runs ended at runners that fail some, summed over all peers.
    pub fn failing_at_peers(&self, now: Millis) -> BTreeMap<RunnerId, RunCounts> {
        let mut sums: BTreeMap<RunnerId, RunCounts> = BTreeMap::new();
        for told in self.heard(now).flat_map(|heard| &heard.report.failing) {
            let empty = || RunCounts { runner: told.runner.clone(), good: 0.0, bad: 0.0 };
            let sum = sums.entry(told.runner.clone()).or_insert_with(empty);
            sum.good += told.good;
            sum.bad += told.bad;
        }
        sums
    }
}
