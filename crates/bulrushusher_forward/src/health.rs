//! Which runners fail runs that others would serve, judged by live traffic.
//!
//! A runner's own health check may be good while half of its runs fail. Each gateway counts how runs
//! ended, with older ends fading, and tells its peers of the runners that fail. A runner that fails
//! a good part of its runs gets none while others can take them; as its failures fade it is tried
//! again, by a run or two.

use std::collections::{BTreeSet, HashMap};

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

/// How failures are judged.
#[derive(Clone, Copy, Debug)]
pub struct HealthConfig {
    /// Time in which an end counts half.
    pub half_life: Millis,
    /// Fewest failures that speak against a runner.
    pub least_failures: f64,
    /// Least share of its runs.
    pub least_share: f64,
    /// Most failures that are remembered: they bound the time until a runner is tried again.
    pub most_failures: f64,
    /// Largest share of the runners that is passed over; where more fail, it is not the runners.
    pub most_passed_over: f64,
}

impl Default for HealthConfig {
    /// Two failures in some seconds, in a quarter of the runs: a runner that loses one run in
    /// twenty keeps its work, one that loses half is found by its second failure. Four remembered
    /// failures fade to one and a half in nine seconds.
    fn default() -> HealthConfig {
        HealthConfig {
            half_life: Millis(6_000),
            least_failures: 1.5,
            least_share: 0.25,
            most_failures: 4.0,
            most_passed_over: 0.34,
        }
    }
}

/// Ends of runs at one runner, faded, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunCounts {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Runs that ended well.
    #[serde(rename = "g")]
    pub good: f64,
    /// Runs that failed, broke off or stayed silent.
    #[serde(rename = "b")]
    pub bad: f64,
}

#[derive(Clone, Copy, Debug)]
struct Counts {
    good: f64,
    bad: f64,
    at: Millis,
}

/// How runs ended at each runner, as this gateway saw it.
///
/// ```
/// use bulrushusher_forward::{HealthConfig, RunnerHealth};
/// use bulrushusher_time::Millis;
/// let id = "i-1".try_into().unwrap();
/// let mut health = RunnerHealth::new(HealthConfig::default());
/// health.note(&id, false, Millis(0));
/// assert!(!health.is_failing(&id, None, Millis(0)), "one failure may be chance");
/// health.note(&id, false, Millis(100));
/// assert!(health.is_failing(&id, None, Millis(100)));
/// assert!(!health.is_failing(&id, None, Millis(9_000)), "it is tried again");
/// ```
#[derive(Clone, Debug)]
pub struct RunnerHealth {
    cfg: HealthConfig,
    counts: HashMap<RunnerId, Counts>,
}

/// A count below this is not worth telling.
const LEAST_TOLD: f64 = 0.2;

impl RunnerHealth {
    /// Nothing has ended yet.
    pub fn new(cfg: HealthConfig) -> RunnerHealth {
        RunnerHealth { cfg, counts: HashMap::new() }
    }

    /// A run ended well, or did not.
    pub fn note(&mut self, runner: &RunnerId, good: bool, now: Millis) {
        let (mut counts, cfg) = (self.counts_of(runner, now), self.cfg);
        match good {
            true => counts.good += 1.0,
            false => counts.bad = (counts.bad + 1.0).min(cfg.most_failures),
        }
        self.counts.insert(runner.clone(), counts);
    }

    /// Forgets a runner that is gone.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.counts.remove(runner);
    }

    /// What peers should hear: the runners that fail here, and those that fail at a peer.
    pub fn told(&self, at_peers: &BTreeSet<RunnerId>, now: Millis) -> Vec<RunCounts> {
        let all = self.counts.keys().map(|runner| (runner, self.counts_of(runner, now)));
        all.filter(|(runner, counts)| counts.bad > LEAST_TOLD || at_peers.contains(*runner))
            .map(|(runner, counts)| RunCounts {
                runner: runner.clone(),
                good: rounded(counts.good),
                bad: rounded(counts.bad),
            })
            .collect()
    }

    /// Ends at a runner as they count now: those that were good, and those that were not.
    pub fn ends(&self, runner: &RunnerId, now: Millis) -> (f64, f64) {
        let counts = self.counts_of(runner, now);
        (counts.good, counts.bad)
    }

    /// True when the runner fails too many of its runs; `at_peers` sums what peers told of it.
    pub fn is_failing(&self, runner: &RunnerId, at_peers: Option<&RunCounts>, now: Millis) -> bool {
        let own = self.counts_of(runner, now);
        let (good, bad) = at_peers.map_or((0.0, 0.0), |peers| (peers.good, peers.bad));
        let bad = bad + own.bad;
        bad >= self.cfg.least_failures && bad >= self.cfg.least_share * (bad + good + own.good)
    }

    /// How many of so many runners may be passed over.
    pub fn most_passed_over(&self, runners: usize) -> usize {
        (runners as f64 * self.cfg.most_passed_over) as usize
    }

    fn counts_of(&self, runner: &RunnerId, now: Millis) -> Counts {
        let Some(counts) = self.counts.get(runner) else {
            return Counts { good: 0.0, bad: 0.0, at: now };
        };
        let halvings = now.since(counts.at).0 as f64 / self.cfg.half_life.0.max(1) as f64;
        let left = 0.5_f64.powf(halvings);
        Counts { good: counts.good * left, bad: counts.bad * left, at: now }
    }
}

/// Reports carry tenths.
fn rounded(count: f64) -> f64 {
    (count * 10.0).round() / 10.0
}
