//! Model runners of unequal speed: the generation and prefill rates of each runner, learned from
//! own measurements and those of peers.
//!
//! The rates of a pool are used only while the pool is *uneven*; in an even pool one rate per
//! service is more accurate, because it is learned from more runs.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

use crate::{StartTime, StartTimes};

/// When a runner counts as measured, and a pool as uneven.
#[derive(Clone, Copy, Debug)]
pub struct RunnerSpeedsConfig {
    /// Measurements of a runner below which it is neither reported nor used.
    pub min_measurements: u32,
    /// Measured runners below which a pool is even.
    pub min_runners: usize,
    /// Ratio of the 90th to the 10th percentile of the paces from which a pool is uneven.
    pub uneven_ratio: f64,
    /// Ratio below which an uneven pool is even again.
    pub even_ratio: f64,
    /// Bounds of a runner's prefill factor, and of its pace relative to the median of its pool. One
    /// wrong value would shift a mean, and with it the bounds.
    pub factors: (f64, f64),
    /// Minimum weight of the newest measurement in a runner's averages.
    pub newest_weight: f64,
    /// Time after which a peer's value is dropped unless it was repeated.
    pub forget_after: Millis,
    /// Runners in one report to the peers.
    pub per_report: usize,
    /// Minimum time between two evaluations of a pool.
    pub evaluation_interval: Millis,
}

impl Default for RunnerSpeedsConfig {
    /// Three measurements span 1.5 s, so that a slow phase of 600 ms at 2.5 times the gap lowers
    /// the mean to 0.76 at most: the ratio of 1.5 is then not reached by phases alone. With the
    /// smaller weight, ten measurements are remembered. Four runners a second take 88 bytes and
    /// name each of 35 runners within nine seconds. The factors are bounded because a wrong one
    /// must not exclude a runner.
    fn default() -> RunnerSpeedsConfig {
        RunnerSpeedsConfig {
            min_measurements: 3,
            min_runners: 8,
            uneven_ratio: 1.5,
            even_ratio: 1.3,
            factors: (0.25, 4.0),
            newest_weight: 0.1,
            forget_after: Millis(30_000),
            per_report: 4,
            evaluation_interval: Millis(200),
        }
    }
}

/// Rates of one runner, as one gateway measured them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedReport {
    /// The runner.
    pub runner: RunnerId,
    /// The process start of the runner that was measured, if it reports one.
    pub born: Option<StartTime>,
    /// Generation rate of one run, in hundredths of tokens per second; 0 if it was not measured.
    pub pace: u32,
    /// Number of measurements of the pace, at most 255.
    pub paces: u8,
    /// Duration of prefills relative to the service's mean, in hundredths; 0 if it was not
    /// measured.
    pub prefill: u16,
    /// Number of prefills that the reporting gateway saw end at this start of the runner.
    pub prefills: u32,
}

/// A moving average with the number of its measurements.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    value: f64,
    count: u32,
}

impl Average {
    /// Adds a measurement. The first ones count equally.
    fn add(&mut self, measured: f64, newest_weight: f64) {
        self.count = self.count.saturating_add(1);
        let weight = newest_weight.max(1.0 / f64::from(self.count));
        self.value += weight * (measured - self.value);
    }

    /// Adds another gateway's average.
    fn merge(&mut self, value: f64, count: u32) {
        let count = count.min(MAX_WEIGHT);
        if count > 0 {
            let total = self.count + count;
            self.value += f64::from(count) / f64::from(total) * (value - self.value);
            self.count = total;
        }
    }

    /// The average as a source of a merged one.
    fn limited(self) -> Average {
        Average { count: self.count.min(MAX_WEIGHT), ..self }
    }
}

/// Maximum weight of one gateway's average, in measurements; averages remember about that many.
const MAX_WEIGHT: u32 = 20;

/// This gateway's measurements of a runner.
#[derive(Clone, Copy, Debug, Default)]
struct Measured {
    pace: Average,
    prefill: Average,
    /// Number of measurements in the last report, and when it was taken.
    reported: u64,
    reported_at: Option<Millis>,
}

impl Measured {
    fn measurements(&self) -> u64 {
        u64::from(self.pace.count) + u64::from(self.prefill.count)
    }
}

/// Merged rates of a runner.
#[derive(Clone, Copy, Debug, Default)]
struct Merged {
    /// Tokens per ms.
    pace: Option<f64>,
    /// Duration of prefills relative to the service's mean.
    prefill: Option<f64>,
}

/// A pool became uneven or even, with the paces on which this was decided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolChange {
    /// True if the pool is now uneven.
    pub is_uneven: bool,
    /// 10th percentile of the paces, in tokens per ms.
    pub slowest: f64,
    /// 90th percentile of the paces, in tokens per ms.
    pub fastest: f64,
    /// Number of measured runners.
    pub measured: usize,
}

/// Rates of the runners of one service.
///
/// ```
/// use bulrushusher_forward::{RunnerSpeeds, RunnerSpeedsConfig};
/// use bulrushusher_time::Millis;
/// let mut speeds = RunnerSpeeds::new(RunnerSpeedsConfig::default());
/// let id = |n: usize| format!("m-{n}").as_str().try_into().unwrap();
/// for n in 0..8 {
///     for _ in 0..3 {
///         speeds.record_pace(&id(n), if n < 2 { 2.9 } else { 1.3 });
///     }
/// }
/// assert!(!speeds.is_uneven());
/// let change = speeds.evaluate(Millis(2_000)).unwrap();
/// assert!(change.is_uneven && change.measured == 8);
/// assert_eq!(speeds.pace(&id(0)), Some(2.9));
/// assert_eq!(speeds.pace(&id(9)), None, "not measured");
/// ```
#[derive(Clone, Debug)]
pub struct RunnerSpeeds {
    cfg: RunnerSpeedsConfig,
    own: HashMap<RunnerId, Measured>,
    peers: HashMap<Arc<str>, HashMap<RunnerId, (Millis, SpeedReport)>>,
    merged: HashMap<RunnerId, Merged>,
    is_uneven: bool,
    is_outdated: bool,
    evaluated_at: Option<Millis>,
}

impl RunnerSpeeds {
    /// Creates an empty record; the pool is even.
    pub fn new(cfg: RunnerSpeedsConfig) -> RunnerSpeeds {
        RunnerSpeeds {
            cfg,
            own: HashMap::new(),
            peers: HashMap::new(),
            merged: HashMap::new(),
            is_uneven: false,
            is_outdated: false,
            evaluated_at: None,
        }
    }

    /// Records the generation rate of a run, in tokens per ms, over about half a second.
    pub fn record_pace(&mut self, runner: &RunnerId, tokens_per_ms: f64) {
        let weight = self.cfg.newest_weight;
        self.own.entry(runner.clone()).or_default().pace.add(tokens_per_ms, weight);
        self.is_outdated = true;
    }

    /// Records a prefill that took `ratio` times what the service's mean rate predicts.
    pub fn record_prefill(&mut self, runner: &RunnerId, ratio: f64) {
        let weight = self.cfg.newest_weight;
        self.own.entry(runner.clone()).or_default().prefill.add(ratio, weight);
        self.is_outdated = true;
    }

    /// Merges the report of a peer, except for values of earlier process starts.
    pub fn merge(&mut self, peer: &str, reports: &[SpeedReport], starts: &StartTimes, now: Millis) {
        let known = match self.peers.get_mut(peer) {
            Some(known) => known,
            None if reports.is_empty() => return,
            None => self.peers.entry(peer.into()).or_default(),
        };
        let current = reports.iter().filter(|it| !starts.is_past(&it.runner, it.born));
        for report in current {
            known.insert(report.runner.clone(), (now, report.clone()));
            self.is_outdated = true;
        }
    }

    /// Forgets a runner that is gone or has restarted.
    pub fn forget(&mut self, runner: &RunnerId) {
        self.own.remove(runner);
        self.merged.remove(runner);
        self.peers.values_mut().for_each(|known| {
            known.remove(runner);
        });
        self.is_outdated = true;
    }

    /// The measurements for the next report to the peers: those that changed, the longest
    /// unreported first.
    pub fn take_reports(&mut self, starts: &StartTimes, now: Millis) -> Vec<SpeedReport> {
        let min = self.cfg.min_measurements;
        let is_due = |it: &Measured| {
            it.pace.count.max(it.prefill.count) >= min && it.measurements() > it.reported
        };
        let mut due: Vec<(&RunnerId, &mut Measured)> =
            self.own.iter_mut().filter(|(_, measured)| is_due(measured)).collect();
        due.sort_by(|a, b| (a.1.reported_at, a.0).cmp(&(b.1.reported_at, b.0)));
        due.truncate(self.cfg.per_report);
        let taken = due.into_iter().map(|(runner, measured)| {
            measured.reported = measured.measurements();
            measured.reported_at = Some(now);
            report_of(runner, measured, starts.latest(runner), min)
        });
        taken.collect()
    }

    /// Decides again whether the pool is uneven, if there are new measurements; returns a change.
    pub fn evaluate(&mut self, now: Millis) -> Option<PoolChange> {
        let is_due =
            self.evaluated_at.is_none_or(|at| now.since(at) >= self.cfg.evaluation_interval);
        if !self.is_outdated || !is_due {
            return None;
        }
        (self.is_outdated, self.evaluated_at) = (false, Some(now));
        self.drop_expired(now);
        self.merged = self.merge_all();
        let mut paces: Vec<f64> = self.merged.values().filter_map(|it| it.pace).collect();
        paces.sort_by(f64::total_cmp);
        let (slowest, fastest) = (percentile(&paces, 0.1), percentile(&paces, 0.9));
        let ratio = if slowest > 0.0 { fastest / slowest } else { 1.0 };
        let is_uneven = match self.is_uneven {
            true => ratio >= self.cfg.even_ratio,
            false => paces.len() >= self.cfg.min_runners && ratio >= self.cfg.uneven_ratio,
        };
        let was_uneven = std::mem::replace(&mut self.is_uneven, is_uneven);
        let measured = paces.len();
        (was_uneven != is_uneven).then_some(PoolChange { is_uneven, slowest, fastest, measured })
    }

    /// True while the runners of the pool differ in speed.
    pub fn is_uneven(&self) -> bool {
        self.is_uneven
    }

    /// Generation rate of a run at the runner, in tokens per ms; `None` in an even pool, and where
    /// it is not measured.
    pub fn pace(&self, runner: &RunnerId) -> Option<f64> {
        self.used(runner)?.pace
    }

    /// Duration of a prefill at the runner, relative to the service's mean; 1 in an even pool, and
    /// where it is not measured.
    pub fn prefill_factor(&self, runner: &RunnerId) -> f64 {
        self.used(runner).and_then(|merged| merged.prefill).unwrap_or(1.0)
    }

    /// The paces of an uneven pool, in tokens per ms.
    pub fn paces(&self) -> impl Iterator<Item = (&RunnerId, f64)> {
        let used = self.merged.iter().filter(|_| self.is_uneven);
        used.filter_map(|(runner, merged)| Some((runner, merged.pace?)))
    }

    fn used(&self, runner: &RunnerId) -> Option<&Merged> {
        self.merged.get(runner).filter(|_| self.is_uneven)
    }

    fn drop_expired(&mut self, now: Millis) {
        let forget_after = self.cfg.forget_after;
        for known in self.peers.values_mut() {
            known.retain(|_, (at, _)| now.since(*at) < forget_after);
        }
        self.peers.retain(|_, known| !known.is_empty());
    }

    /// Averages the measurements of all gateways.
    fn merge_all(&self) -> HashMap<RunnerId, Merged> {
        let own = self
            .own
            .iter()
            .map(|(runner, it)| (runner.clone(), (it.pace.limited(), it.prefill.limited())));
        let mut sums: HashMap<RunnerId, (Average, Average)> = own.collect();
        for (_, report) in self.peers.values().flat_map(HashMap::values) {
            let (pace, prefill) = sums.entry(report.runner.clone()).or_default();
            pace.merge(from_hundredths(report.pace) / 1_000.0, u32::from(report.paces));
            if report.prefill > 0 {
                prefill.merge(from_hundredths(report.prefill.into()), report.prefills);
            }
        }
        let min = self.cfg.min_measurements;
        let measured = |it: &Average| (it.count >= min && it.value > 0.0).then_some(it.value);
        let mut paces: Vec<f64> = sums.values().filter_map(|(pace, _)| measured(pace)).collect();
        paces.sort_by(f64::total_cmp);
        let (median, (least, most)) = (percentile(&paces, 0.5), self.cfg.factors);
        let merged = sums.into_iter().map(|(runner, (pace, prefill))| {
            let pace = measured(&pace).map(|pace| pace.clamp(least * median, most * median));
            let prefill = measured(&prefill).map(|factor| factor.clamp(least, most));
            (runner, Merged { pace, prefill })
        });
        merged.collect()
    }
}

/// The report of a runner; values of too few measurements are left out.
fn report_of(
    runner: &RunnerId,
    measured: &Measured,
    born: Option<StartTime>,
    min: u32,
) -> SpeedReport {
    let Measured { pace, prefill, .. } = *measured;
    let value = |it: Average| if it.count >= min { it.value } else { 0.0 };
    SpeedReport {
        runner: runner.clone(),
        born,
        pace: to_hundredths(value(pace) * 1_000.0),
        paces: if pace.count >= min { pace.count.min(u32::from(u8::MAX)) as u8 } else { 0 },
        prefill: to_hundredths(value(prefill)).try_into().unwrap_or(u16::MAX),
        prefills: prefill.count,
    }
}

fn to_hundredths(value: f64) -> u32 {
    (value * 100.0).round() as u32
}

fn from_hundredths(value: u32) -> f64 {
    f64::from(value) / 100.0
}

/// The value at `share` of the sorted values; 0 if there are none.
fn percentile(sorted: &[f64], share: f64) -> f64 {
    let at = (sorted.len().saturating_sub(1) as f64 * share) as usize;
    sorted.get(at).copied().unwrap_or(0.0)
}
