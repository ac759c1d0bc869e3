//! How many runners of a service read prompts and how many generate, and which one changes next.
//!
//! Runners hold a change for seconds, so the ratio follows the standing mix of requests and not
//! single bursts, and a change is ordered only when the ratio is off by more than half a runner.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RunnerId};

use crate::{Runner, Stage};

/// The wanted ratio.
#[derive(Clone, Copy, Debug)]
pub struct StagesConfig {
    /// Share of a service's runners that prompts keep busy in the mean; 0 leaves every stage as it
    /// is.
    pub prefill_share: f64,
    /// Added to that for bursts, in square roots of the number of runners.
    pub prefill_margin: f64,
    /// Fewest runners that read prompts.
    pub least_prefill: usize,
    /// How far the number may be off, in runners, before a change is ordered.
    pub slack: f64,
    /// How long the ratio must be off before a change is ordered.
    pub off_for: Millis,
}

impl Default for StagesConfig {
    /// Prompts of some 5,000 tokens at one a second for each runner keep a tenth of the runners
    /// busy. Bursts and crashes even out over more runners, so that the margin grows with the
    /// square root only: three of 12 are best (two served a day of crashes half as well), and 8 of
    /// 49 (mean worth of the days of two deployments 0.51, with 6 0.47, 10 0.50, 12 0.48). Runners
    /// that crash are back within some seconds, so what is off for a shorter time mends itself.
    fn default() -> StagesConfig {
        StagesConfig {
            prefill_share: 0.1,
            prefill_margin: 0.48,
            least_prefill: 2,
            slack: 0.6,
            off_for: Millis(8_000),
        }
    }
}

impl StagesConfig {
    /// How many of so many runners should read prompts.
    ///
    /// ```
    /// use bulrushusher_forward::StagesConfig;
    /// let cfg = StagesConfig::default();
    /// assert_eq!(cfg.wanted_prefill(12).round(), 3.0);
    /// assert_eq!(cfg.wanted_prefill(49).round(), 8.0);
    /// assert_eq!(cfg.wanted_prefill(3), 1.0, "half of the runners at the most");
    /// ```
    pub fn wanted_prefill(&self, runners: usize) -> f64 {
        let all = runners as f64;
        let wanted = all * self.prefill_share + all.sqrt() * self.prefill_margin;
        let most = (runners / 2) as f64;
        wanted.max(self.least_prefill as f64).min(most)
    }
}

/// A change that should be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The runner.
    pub runner: Runner,
    /// Its stage to be.
    pub stage: Stage,
}

/// The change that brings the ratio nearer to the wanted one, if it is off. `ordered` names the
/// runners whose change is under way.
///
/// ```
/// use bulrushusher_forward::{Runner, Stage, StagesConfig, next_stage_change};
/// let runner = |n: u16, stage| Runner {
///     id: format!("i-{n}").as_str().try_into().unwrap(),
///     born: None,
///     service: "llm".try_into().unwrap(),
///     address: ([10, 0, 0, 1], n).into(),
///     data_centre: "ba-ruzinov".try_into().unwrap(),
///     slots: 64,
///     stage: Some(stage),
///     leaving: false,
/// };
/// let mut runners: Vec<Runner> = (0..4).map(|n| runner(n, Stage::Prefill)).collect();
/// runners.extend((4..12).map(|n| runner(n, Stage::Decode)));
/// let change = next_stage_change(&runners, &Default::default(), StagesConfig::default()).unwrap();
/// assert_eq!(change.stage, Stage::Decode);
/// ```
pub fn next_stage_change(
    runners: &[Runner],
    ordered: &BTreeMap<RunnerId, Stage>,
    cfg: StagesConfig,
) -> Option<StageChange> {
    if cfg.prefill_share <= 0.0 {
        return None;
    }
    let staged: Vec<(&Runner, Stage)> = runners
        .iter()
        .filter_map(|runner| {
            let stage = ordered.get(&runner.id).copied().or(runner.stage)?;
            Some((runner, stage))
        })
        .collect();
    let prefill = staged.iter().filter(|(_, stage)| *stage == Stage::Prefill).count();
    let wanted = cfg.wanted_prefill(staged.len());
    let stage = if prefill as f64 > wanted + cfg.slack {
        Stage::Decode
    } else if (prefill as f64) < wanted - cfg.slack {
        Stage::Prefill
    } else {
        return None;
    };
    let runner = most_crowded(&staged, stage, ordered)?;
    Some(StageChange { runner: runner.clone(), stage })
}

/// A runner that may change to `to`, from the data centre with the most like it, so that both
/// halves stay spread. All gateways that see the same list find the same one.
fn most_crowded<'a>(
    staged: &[(&'a Runner, Stage)],
    to: Stage,
    ordered: &BTreeMap<RunnerId, Stage>,
) -> Option<&'a Runner> {
    let mut alike: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
    for (runner, _) in staged.iter().filter(|(_, stage)| *stage != to) {
        *alike.entry(&runner.data_centre).or_default() += 1;
    }
    staged
        .iter()
        .filter(|(runner, stage)| *stage != to && !ordered.contains_key(&runner.id))
        .map(|(runner, _)| *runner)
        .max_by_key(|runner| (alike.get(&runner.data_centre), std::cmp::Reverse(&runner.id)))
}

/// Bounds of the duty to give orders.
#[derive(Clone, Copy, Debug)]
pub struct DutyConfig {
    /// Least time between orders of two holders, counted at the runners.
    pub lease: Millis,
    /// Longest time between the write that allows an order and the order's arrival.
    pub order_within: Millis,
}

/// Whether this process may write the record of the duty, which allows it one order.
///
/// There is no heartbeat: every order is preceded by a conditional write of the record, whose new
/// revision is the order's fencing token. A process that did not write last waits until the record
/// has stood unchanged for the lease and the time of an order on its own clock, so that orders of
/// two holders are never closer than the lease, also when one was paused.
///
/// ```
/// use bulrushusher_forward::{DutyConfig, StageDuty};
/// use bulrushusher_time::Millis;
/// let cfg = DutyConfig { lease: Millis(3_000), order_within: Millis(500) };
/// let mut duty = StageDuty::new(cfg);
/// assert!(!duty.may_write(Some(7), Millis(1_000)), "another one may be ordering");
/// assert!(!duty.may_write(Some(7), Millis(4_000)));
/// assert!(duty.may_write(Some(7), Millis(7_600)));
/// duty.written(8);
/// assert!(duty.may_write(Some(8), Millis(7_700)), "it wrote last itself");
/// ```
#[derive(Clone, Debug)]
pub struct StageDuty {
    cfg: DutyConfig,
    own_revision: Option<u64>,
    seen: Option<(u64, Millis)>,
    /// When the store was seen to have come back from an older copy, which may lack the record.
    restored_at: Option<Millis>,
}

impl StageDuty {
    /// Nothing was seen of the record yet.
    pub fn new(cfg: DutyConfig) -> StageDuty {
        StageDuty { cfg, own_revision: None, seen: None, restored_at: None }
    }

    /// The store came back from an older copy: whoever wrote the record last may have ordered a moment ago.
    ///
    /// ```
    /// use bulrushusher_forward::{DutyConfig, StageDuty};
    /// use bulrushusher_time::Millis;
    /// let cfg = DutyConfig { lease: Millis(3_000), order_within: Millis(500) };
    /// let mut duty = StageDuty::new(cfg);
    /// assert!(duty.may_write(None, Millis(0)), "nobody ever ordered");
    /// duty.written(7);
    /// duty.note_restore(Millis(1_000));
    /// assert!(!duty.may_write(None, Millis(2_000)), "a record may be lost");
    /// assert!(duty.may_write(None, Millis(7_500)));
    /// ```
    pub fn note_restore(&mut self, now: Millis) {
        self.own_revision = None;
        self.seen = None;
        self.restored_at = Some(now);
    }

    /// True when the record, which was just read at `revision`, may be written now. `None` is a
    /// record that nobody ever wrote, or that was lost: nobody has given orders for a while.
    pub fn may_write(&mut self, revision: Option<u64>, now: Millis) -> bool {
        if self.restored_at.is_some_and(|at| now.since(at) < self.quiet()) {
            return false;
        }
        let Some(revision) = revision else { return true };
        if self.own_revision == Some(revision) {
            return true;
        }
        match self.seen {
            Some((seen, since)) if seen == revision => now.since(since) >= self.quiet(),
            _ => {
                self.seen = Some((revision, now));
                false
            }
        }
    }

    /// This process wrote the record.
    pub fn written(&mut self, revision: u64) {
        self.own_revision = Some(revision);
        self.seen = None;
    }

    /// How long the record must stand unchanged; twice the lease leaves room for an order that
    /// was held up on its way.
    fn quiet(&self) -> Millis {
        Millis(self.cfg.lease.0 * 2).plus(self.cfg.order_within)
    }
}
