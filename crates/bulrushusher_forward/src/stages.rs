//! Ratio of prefill to decode runners of a service, and the selection of runners
//! that change stage.
//!
//! A stage change takes a runner out of service for seconds. The ratio therefore follows the
//! sustained mix of requests instead of single bursts, and a change is ordered only if the ratio is
//! off by more than half a runner.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RegionName, RunnerId, Topology};

use crate::{Runner, Stage};

/// Target ratio of prefill to decode runners.
#[derive(Clone, Copy, Debug)]
pub struct StagesConfig {
    /// Share of a service's runners that prefills keep busy on average; 0 disables stage changes.
    pub prefill_share: f64,
    /// Headroom for bursts, as a multiple of the square root of the number of runners.
    pub prefill_margin: f64,
    /// Minimum number of prefill runners.
    pub min_prefill: usize,
    /// Deviation from the target, in runners, up to which no change is ordered.
    pub slack: f64,
    /// How long the deviation must persist before a change is ordered.
    pub min_imbalance_time: Millis,
}

impl Default for StagesConfig {
    /// At one prompt of some 5,000 tokens per second and runner, prefills keep a tenth of the
    /// runners busy. Bursts and crashes average out over more runners, so the headroom grows only
    /// with the square root: 3 of 12 runners are best (2 served a day with crashes half as well),
    /// and 8 of 49 (mean score over the days of two deployments 0.51; 6 scored 0.47, 10 0.50, 12
    /// 0.48). Crashed runners are back within seconds, so shorter deviations correct themselves.
    fn default() -> StagesConfig {
        StagesConfig {
            prefill_share: 0.1,
            prefill_margin: 0.48,
            min_prefill: 2,
            slack: 0.6,
            min_imbalance_time: Millis(8_000),
        }
    }
}

impl StagesConfig {
    /// Target number of prefill runners in a pool of `runners`.
    ///
    /// ```
    /// use bulrushusher_forward::StagesConfig;
    /// let cfg = StagesConfig::default();
    /// assert_eq!(cfg.target_prefill(12).round(), 3.0);
    /// assert_eq!(cfg.target_prefill(49).round(), 8.0);
    /// assert_eq!(cfg.target_prefill(3), 1.0, "half of the runners at most");
    /// ```
    pub fn target_prefill(&self, runners: usize) -> f64 {
        let all = runners as f64;
        let target = all * self.prefill_share + all.sqrt() * self.prefill_margin;
        let max_prefill = (runners / 2) as f64;
        target.max(self.min_prefill as f64).min(max_prefill)
    }

    /// Target number of prefill runners among `runners`, which are part of a pool of `all`.
    ///
    /// The headroom is midway between the part's share of the pool's headroom and what the part
    /// would need by itself, as a burst overflows into other regions, but late: 9 of 49 runners in
    /// three regions, compared with 8 for all together and 11 for three separate pools. A single
    /// prefill runner is enough, as those of other regions stand in for it.
    ///
    /// ```
    /// use bulrushusher_forward::StagesConfig;
    /// let cfg = StagesConfig::default();
    /// assert_eq!(cfg.target_in_group(16, 49).round(), 3.0);
    /// assert_eq!(cfg.target_in_group(17, 49).round(), 3.0);
    /// assert_eq!(cfg.target_in_group(4, 12).round(), 1.0);
    /// assert_eq!(cfg.target_in_group(49, 49), cfg.target_prefill(49));
    /// ```
    pub fn target_in_group(&self, runners: usize, all: usize) -> f64 {
        if runners == all {
            return self.target_prefill(all);
        }
        let (part, whole) = (runners as f64, all as f64);
        let headroom = self.prefill_margin * f64::midpoint(part / whole.sqrt(), part.sqrt());
        (part * self.prefill_share + headroom).max(1.0).min((runners / 2) as f64)
    }
}

/// A stage change to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The runner to change.
    pub runner: Runner,
    /// Its new stage.
    pub stage: Stage,
    /// The region whose ratio is off; `None` for runners that are not counted by region.
    pub region: Option<RegionName>,
}

/// Minimum number of a service's runners in a region with a target of its own. With fewer, one
/// prefill runner would be a third of them or more.
const MIN_REGION_RUNNERS: usize = 4;

/// The changes that bring the ratios closer to their targets, one for each region that is off,
/// those furthest off first. `ordered` maps runners with a pending change to their new stage.
///
/// Each region with at least four runners has its own target. With one target for all, a region
/// could end up with prefill runners only, or with none: its generations then run elsewhere or
/// prefill elsewhere, which takes two round trips more before each first event. Regions with fewer
/// runners are counted together.
///
/// ```
/// use bulrushusher_forward::{Runner, Stage, StagesConfig, needed_stage_changes};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::Topology;
/// let runner = |n: u16, stage| Runner {
///     id: format!("i-{n}").as_str().try_into().unwrap(),
///     born: None,
///     service: "llm".try_into().unwrap(),
///     address: ([10, 0, 0, 1], n).into(),
///     data_centre: "ba-ruzinov".try_into().unwrap(),
///     slots: 64,
///     stage: Some(stage),
///     leaving: false,
///     cold_for: Millis(0),
///     revision: 0,
///     version: "v1".into(),
/// };
/// let mut runners: Vec<Runner> = (0..4).map(|n| runner(n, Stage::Prefill)).collect();
/// runners.extend((4..12).map(|n| runner(n, Stage::Decode)));
/// let (topology, cfg) = (Topology::default(), StagesConfig::default());
/// let changes = needed_stage_changes(&runners, &Default::default(), &topology, cfg);
/// assert_eq!(changes[0].stage, Stage::Decode);
/// ```
pub fn needed_stage_changes(
    runners: &[Runner],
    ordered: &BTreeMap<RunnerId, Stage>,
    topology: &Topology,
    cfg: StagesConfig,
) -> Vec<StageChange> {
    if cfg.prefill_share <= 0.0 {
        return Vec::new();
    }
    let with_stage: Vec<(&Runner, Stage)> = runners
        .iter()
        .filter_map(|runner| {
            let stage = ordered.get(&runner.id).copied().or(runner.stage)?;
            Some((runner, stage))
        })
        .collect();
    let groups = by_region(&with_stage, topology);
    let mut changes: Vec<(f64, StageChange)> = Vec::new();
    for (region, group) in &groups {
        let prefill = group.iter().filter(|(_, stage)| *stage == Stage::Prefill).count();
        let excess = prefill as f64 - cfg.target_in_group(group.len(), with_stage.len());
        if excess.abs() <= cfg.slack {
            continue;
        }
        let stage = if excess > 0.0 { Stage::Decode } else { Stage::Prefill };
        if let Some(runner) = runner_to_change(group, stage, ordered) {
            let change = StageChange { runner: runner.clone(), stage, region: region.cloned() };
            changes.push((excess.abs(), change));
        }
    }
    changes.sort_by(|a, b| b.0.total_cmp(&a.0));
    changes.into_iter().map(|(_, change)| change).collect()
}

/// The runners by region, those of small regions and without a known region under `None`. Where
/// the deployment has one region, all are under `None`.
fn by_region<'a, 'b>(
    with_stage: &[(&'a Runner, Stage)],
    topology: &'b Topology,
) -> BTreeMap<Option<&'b RegionName>, Vec<(&'a Runner, Stage)>> {
    let region_of = |runner: &Runner| {
        topology.region_of(&runner.data_centre).filter(|_| topology.has_many_regions())
    };
    let mut counts: BTreeMap<Option<&RegionName>, usize> = BTreeMap::new();
    for (runner, _) in with_stage {
        *counts.entry(region_of(runner)).or_default() += 1;
    }
    let mut groups: BTreeMap<Option<&RegionName>, Vec<(&Runner, Stage)>> = BTreeMap::new();
    for (runner, stage) in with_stage {
        let region = region_of(runner);
        let region = region.filter(|_| counts[&region] >= MIN_REGION_RUNNERS);
        groups.entry(region).or_default().push((runner, *stage));
    }
    groups
}

/// A runner that may change to `to`, taken from the data centre with the most runners of the other
/// stage, which keeps both stages spread over the data centres. Gateways with the same list select
/// the same runner.
fn runner_to_change<'a>(
    with_stage: &[(&'a Runner, Stage)],
    to: Stage,
    ordered: &BTreeMap<RunnerId, Stage>,
) -> Option<&'a Runner> {
    let mut per_data_centre: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
    for (runner, _) in with_stage.iter().filter(|(_, stage)| *stage != to) {
        *per_data_centre.entry(&runner.data_centre).or_default() += 1;
    }
    with_stage
        .iter()
        .filter(|(runner, stage)| *stage != to && !ordered.contains_key(&runner.id))
        .map(|(runner, _)| *runner)
        .max_by_key(|runner| {
            (per_data_centre.get(&runner.data_centre), std::cmp::Reverse(&runner.id))
        })
}

/// Timing of the lease that lets one gateway at a time order runners to change their stage.
#[derive(Clone, Copy, Debug)]
pub struct OrderLeaseConfig {
    /// Minimum time between the stage-change orders of two lease holders, measured at the runners.
    pub lease: Millis,
    /// Maximum time from the write of the lease record, which permits one order, to the arrival of
    /// that order at its runner.
    pub max_order_delay: Millis,
}

/// Decides whether this gateway may write the lease record in the store. Each write permits one
/// order to a runner to change its stage.
///
/// There is no heartbeat: every order is preceded by a conditional write of the record, and the new
/// revision is the fencing token of the order. A gateway that was not the last writer waits until
/// the record has been unchanged on its own clock for twice the lease plus the maximum delay of an
/// order. Orders of two holders are therefore never closer together than the lease, even if one of
/// them was paused.
///
/// ```
/// use bulrushusher_forward::{OrderLease, OrderLeaseConfig};
/// use bulrushusher_time::Millis;
/// let cfg = OrderLeaseConfig { lease: Millis(3_000), max_order_delay: Millis(500) };
/// let mut lease = OrderLease::new(cfg);
/// assert!(!lease.may_write(Some(7), Millis(1_000)), "another gateway may be sending orders");
/// assert!(!lease.may_write(Some(7), Millis(4_000)));
/// assert!(lease.may_write(Some(7), Millis(7_600)));
/// lease.record_write(8);
/// assert!(lease.may_write(Some(8), Millis(7_700)), "it was the last writer");
/// ```
#[derive(Clone, Debug)]
pub struct OrderLease {
    cfg: OrderLeaseConfig,
    own_revision: Option<u64>,
    /// The revision read last, and when it was first read.
    last_read: Option<(u64, Millis)>,
    /// When the store was found to be restored from an older copy, which may lack the record.
    restored_at: Option<Millis>,
}

impl OrderLease {
    /// Creates the state of a gateway that has not read the record yet.
    pub fn new(cfg: OrderLeaseConfig) -> OrderLease {
        OrderLease { cfg, own_revision: None, last_read: None, restored_at: None }
    }

    /// The store was restored from an older copy, so the previous holder may have sent an order
    /// just before.
    ///
    /// ```
    /// use bulrushusher_forward::{OrderLease, OrderLeaseConfig};
    /// use bulrushusher_time::Millis;
    /// let cfg = OrderLeaseConfig { lease: Millis(3_000), max_order_delay: Millis(500) };
    /// let mut lease = OrderLease::new(cfg);
    /// assert!(lease.may_write(None, Millis(0)), "no order was ever sent");
    /// lease.record_write(7);
    /// lease.record_restore(Millis(1_000));
    /// assert!(!lease.may_write(None, Millis(2_000)), "the record may be lost");
    /// assert!(lease.may_write(None, Millis(7_500)));
    /// ```
    pub fn record_restore(&mut self, now: Millis) {
        self.own_revision = None;
        self.last_read = None;
        self.restored_at = Some(now);
    }

    /// True if the record, just read at `revision`, may be written now. `None` means that the
    /// record was never written or was lost; the lease is then free.
    pub fn may_write(&mut self, revision: Option<u64>, now: Millis) -> bool {
        if self.restored_at.is_some_and(|at| now.since(at) < self.required_quiet_time()) {
            return false;
        }
        let Some(revision) = revision else { return true };
        if self.own_revision == Some(revision) {
            return true;
        }
        match self.last_read {
            Some((read, since)) if read == revision => {
                now.since(since) >= self.required_quiet_time()
            }
            _ => {
                self.last_read = Some((revision, now));
                false
            }
        }
    }

    /// Records that this gateway wrote the record, at `revision`.
    pub fn record_write(&mut self, revision: u64) {
        self.own_revision = Some(revision);
        self.last_read = None;
    }

    /// How long the record must stay unchanged. Twice the lease leaves room for an order that is
    /// delayed on its way.
    fn required_quiet_time(&self) -> Millis {
        Millis(self.cfg.lease.0 * 2).plus(self.cfg.max_order_delay)
    }
}
