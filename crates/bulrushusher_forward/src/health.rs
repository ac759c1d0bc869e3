//! Passive health checks: detects runners that fail runs which other runners would complete.
//!
//! A runner's own health check may pass while half of its runs fail. Each gateway counts the
//! outcomes of runs with exponential decay and reports the failing runners to its peers. A runner
//! with a high failure rate gets no runs while others can take them. As its failures decay it is
//! tried again with one or two runs.

use std::collections::{BTreeSet, HashMap};

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

/// Thresholds of the failure detection.
#[derive(Clone, Copy, Debug)]
pub struct HealthConfig {
    /// Half-life of a recorded outcome.
    pub half_life: Millis,
    /// Minimum number of failures for a runner to be considered failing.
    pub min_failures: f64,
    /// Minimum share of failures among its runs.
    pub min_failure_share: f64,
    /// Maximum number of failures that are kept; limits the time until a runner is tried again.
    pub max_failures: f64,
    /// Maximum share of runners that is excluded. If more are failing, the cause is not the
    /// runners.
    pub max_excluded_share: f64,
}

impl Default for HealthConfig {
    /// Two failures within seconds, in a quarter of the runs: a runner that fails one run in twenty
    /// keeps its work, one that fails half is detected at its second failure. Four failures decay
    /// to one and a half in nine seconds.
    fn default() -> HealthConfig {
        HealthConfig {
            half_life: Millis(6_000),
            min_failures: 1.5,
            min_failure_share: 0.25,
            max_failures: 4.0,
            max_excluded_share: 0.34,
        }
    }
}

/// Decayed outcome counts of one runner, as reported between gateways.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunCounts {
    /// The runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Runs that succeeded.
    #[serde(rename = "g")]
    pub good: f64,
    /// Runs that failed, broke off or timed out.
    #[serde(rename = "b")]
    pub bad: f64,
}

#[derive(Clone, Copy, Debug)]
struct Counts {
    good: f64,
    bad: f64,
    at: Millis,
}

/// Outcomes of runs by runner, as seen by this gateway.
///
/// ```
/// use bulrushusher_forward::{HealthConfig, RunnerHealth};
/// use bulrushusher_time::Millis;
/// let id = "i-1".try_into().unwrap();
/// let mut health = RunnerHealth::new(HealthConfig::default());
/// health.record(&id, false, Millis(0));
/// assert!(!health.is_failing(&id, None, Millis(0)), "one failure may be chance");
/// health.record(&id, false, Millis(100));
/// assert!(health.is_failing(&id, None, Millis(100)));
/// assert!(!health.is_failing(&id, None, Millis(9_000)), "it is tried again");
/// ```
#[derive(Clone, Debug)]
pub struct RunnerHealth {
    cfg: HealthConfig,
    counts: HashMap<RunnerId, Counts>,
}

/// Counts below this are not reported.
const MIN_REPORTED: f64 = 0.2;

impl RunnerHealth {
    /// Creates an empty record.
    pub fn new(cfg: HealthConfig) -> RunnerHealth {
        RunnerHealth { cfg, counts: HashMap::new() }
    }

    /// Records the outcome of a run.
    pub fn record(&mut self, runner: &RunnerId, good: bool, now: Millis) {
        let (mut counts, cfg) = (self.decayed(runner, now), self.cfg);
        match good {
            true => counts.good += 1.0,
            false => counts.bad = (counts.bad + 1.0).min(cfg.max_failures),
        }
        self.counts.insert(runner.clone(), counts);
    }

    /// Forgets a runner that is gone.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.counts.remove(runner);
    }

    /// The counts to report: those of runners that fail here or at a peer.
    pub fn reports(&self, at_peers: &BTreeSet<RunnerId>, now: Millis) -> Vec<RunCounts> {
        let all = self.counts.keys().map(|runner| (runner, self.decayed(runner, now)));
        all.filter(|(runner, counts)| counts.bad > MIN_REPORTED || at_peers.contains(*runner))
            .map(|(runner, counts)| RunCounts {
                runner: runner.clone(),
                good: round_to_tenth(counts.good),
                bad: round_to_tenth(counts.bad),
            })
            .collect()
    }

    /// Decayed counts of a runner's successful and failed runs.
    pub fn decayed_counts(&self, runner: &RunnerId, now: Millis) -> (f64, f64) {
        let counts = self.decayed(runner, now);
        (counts.good, counts.bad)
    }

    /// True if the runner's failure rate is too high; `at_peers` is the sum of the peers' counts.
    pub fn is_failing(&self, runner: &RunnerId, at_peers: Option<&RunCounts>, now: Millis) -> bool {
        let own = self.decayed(runner, now);
        let (good, bad) = at_peers.map_or((0.0, 0.0), |peers| (peers.good, peers.bad));
        let bad = bad + own.bad;
        bad >= self.cfg.min_failures && bad >= self.cfg.min_failure_share * (bad + good + own.good)
    }

    /// Maximum number of runners to exclude from a pool of `runners`.
    pub fn max_excluded(&self, runners: usize) -> usize {
        (runners as f64 * self.cfg.max_excluded_share) as usize
    }

    fn decayed(&self, runner: &RunnerId, now: Millis) -> Counts {
        let Some(counts) = self.counts.get(runner) else {
            return Counts { good: 0.0, bad: 0.0, at: now };
        };
        let halvings = now.since(counts.at).0 as f64 / self.cfg.half_life.0.max(1) as f64;
        let decay = 0.5_f64.powf(halvings);
        Counts { good: counts.good * decay, bad: counts.bad * decay, at: now }
    }
}

/// Rounds to tenths, the precision of reports.
fn round_to_tenth(count: f64) -> f64 {
    (count * 10.0).round() / 10.0
}
