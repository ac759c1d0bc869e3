//! Reports between gateways: full reports of a gateway's state, and deltas between two reports.

use std::collections::{BTreeMap, HashMap};

use bulrushusher_accounts::Spends;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

use crate::{
    DrainReport, LimitReport, RunCounts, RunShape, SeenRevisions, StartTime, StartTimes,
    StoreContact,
};

/// One run in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunNote {
    /// Identifies the run within its gateway; 0 before memory is reserved for it.
    pub number: u64,
    /// The decode runner.
    pub runner: RunnerId,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens generated when the report was written.
    pub made: u64,
    /// Tokens already generated when the run last joined its runner's batch; above zero after a
    /// move or a preemption.
    pub made_before: u64,
    /// Output tokens expected by the caller.
    pub expected: u64,
    /// Maximum output tokens.
    pub most: u64,
    /// True while the run generates. False while only memory is reserved, while the prompt is being
    /// processed, and while the run is preempted.
    pub begun: bool,
    /// True when the decode runner prefills the prompt itself.
    pub reads_itself: bool,
}

impl RunNote {
    /// A run for which memory has been reserved.
    pub fn new(runner: RunnerId, shape: RunShape) -> RunNote {
        RunNote {
            number: 0,
            runner,
            prompt: shape.prompt as u64,
            made: shape.made as u64,
            made_before: shape.made as u64,
            expected: shape.expected as u64,
            most: shape.most as u64,
            begun: false,
            reads_itself: false,
        }
    }

    /// Memory shape of the run.
    pub fn shape(&self) -> RunShape {
        self.shape_after(0.0)
    }

    /// Memory shape after `grown` more tokens.
    pub(crate) fn shape_after(&self, grown: f64) -> RunShape {
        let most = self.most as f64;
        RunShape {
            prompt: self.prompt as f64,
            made: (self.made as f64 + grown).min((most - 1.0).max(0.0)),
            expected: self.expected as f64,
            most,
        }
    }

    /// Tokens generated since the run last joined its runner's batch.
    pub(crate) fn generated_since_join(&self) -> u64 {
        self.made.saturating_sub(self.made_before)
    }

    /// True when nothing but the number of generated tokens differs from `before`; receivers
    /// extrapolate that number themselves.
    fn is_unchanged_since(&self, before: &RunNote) -> bool {
        RunNote { made: before.made, ..self.clone() } == *before
    }
}

/// State that a gateway reports to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Start of the reporting gateway in Unix ms; a later start supersedes an earlier one.
    pub life: u64,
    /// Sequence number of the report; a report that arrives after a later one is dropped.
    pub number: u64,
    /// Generations that wait for memory and can still meet their target.
    pub waiting: u32,
    /// Generations that wait for memory and are already late.
    pub waiting_late: u32,
    /// The gateway's runs.
    pub runs: Vec<RunNote>,
    /// Prompt tokens that the gateway has in flight at prefill runners.
    pub reads: Vec<(RunnerId, u64)>,
    /// Runners that are switching stage by an order of this gateway, or of others known to it.
    pub changing: Vec<RunnerId>,
    /// Success and failure counts of runners with failed runs.
    pub failing: Vec<RunCounts>,
    /// Runners that the gateway recently failed to reach.
    pub silent: Vec<RunnerId>,
    /// Latest store revisions that the gateway has seen.
    pub seen_revisions: SeenRevisions,
    /// The gateway's contact with the store.
    pub contact: StoreContact,
    /// Quota that client accounts have used at the gateway.
    pub spends: Spends,
    /// Rate limits that runners requested.
    pub limits: Vec<LimitReport>,
    /// Drain notices of runners.
    pub leaving: Vec<DrainReport>,
    /// Start times of the runners in this report, for runners that report one. The receiver ignores
    /// statements about an earlier start than it knows.
    pub starts: BTreeMap<RunnerId, StartTime>,
}

impl GatewayReport {
    /// Adds the known start times of the runners in this report.
    pub fn add_starts(&mut self, starts: &StartTimes) {
        let known =
            self.mentioned_runners().filter_map(|id| Some((id.clone(), starts.latest(id)?)));
        self.starts = known.collect();
    }

    /// The runners that have runs, prefills or state in this report, possibly with duplicates.
    pub(crate) fn runners(&self) -> impl Iterator<Item = &RunnerId> {
        let runs = self.runs.iter().map(|note| &note.runner);
        let reads = self.reads.iter().map(|(runner, _)| runner);
        runs.chain(reads).chain(&self.changing).chain(&self.silent)
    }

    /// All runners in this report, including those with failure counts only.
    fn mentioned_runners(&self) -> impl Iterator<Item = &RunnerId> {
        self.runners().chain(self.failing.iter().map(|counts| &counts.runner))
    }

    /// True when the report contains the runner.
    pub(crate) fn mentions(&self, runner: &RunnerId) -> bool {
        self.mentioned_runners().any(|mentioned| mentioned == runner)
    }

    /// Runs that are new or differ from `before`, and runs of `before` that have ended.
    pub(crate) fn diff<'a>(
        &'a self,
        before: &'a GatewayReport,
    ) -> (Vec<&'a RunNote>, Vec<&'a RunNote>) {
        let mut known: HashMap<u64, &RunNote> =
            before.runs.iter().map(|note| (note.number, note)).collect();
        let is_changed = |note: &&RunNote| {
            let before = known.remove(&note.number);
            !before.is_some_and(|before| note.is_unchanged_since(before))
        };
        let changed = self.runs.iter().filter(is_changed).collect();
        (changed, known.into_values().collect())
    }

    /// Removes the runners for which `matches` returns true.
    pub(crate) fn remove_runners(&mut self, matches: impl Fn(&RunnerId) -> bool) {
        self.runs.retain(|note| !matches(&note.runner));
        self.reads.retain(|(runner, _)| !matches(runner));
        self.changing.retain(|runner| !matches(runner));
        self.failing.retain(|counts| !matches(&counts.runner));
        self.silent.retain(|runner| !matches(runner));
    }
}

/// A delta between two consecutive reports: runs that are new, moved, began or stalled, and the
/// numbers of runs that ended. Progress of runs is omitted; all other fields are sent in full.
///
/// ```
/// use bulrushusher_forward::{GatewayChanges, GatewayReport, RunNote, RunShape};
/// let run = RunShape { prompt: 5_000.0, made: 0.0, expected: 3_000.0, most: 9_000.0 };
/// let note = RunNote { number: 1, ..RunNote::new("i-1".try_into().unwrap(), run) };
/// let before = GatewayReport { number: 1, runs: vec![note.clone()], ..GatewayReport::default() };
/// let grown = GatewayReport {
///     number: 2,
///     runs: vec![RunNote { made: 70, ..note.clone() }],
///     ..before.clone()
/// };
/// let changes = GatewayChanges::between(&before, &grown);
/// assert!(changes.report.runs.is_empty() && changes.ended.is_empty());
/// let ended = GatewayReport { number: 3, runs: Vec::new(), ..grown.clone() };
/// assert_eq!(GatewayChanges::between(&grown, &ended).ended, [1]);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayChanges {
    /// The later report, with changed runs only.
    pub report: GatewayReport,
    /// Numbers of runs that ended.
    pub ended: Vec<u64>,
}

impl GatewayChanges {
    /// The delta from one report to the next.
    pub fn between(before: &GatewayReport, now: &GatewayReport) -> GatewayChanges {
        let (changed, ended) = now.diff(before);
        let runs = changed.into_iter().cloned().collect();
        let ended = ended.into_iter().map(|note| note.number).collect();
        GatewayChanges { report: GatewayReport { runs, ..now.clone() }, ended }
    }

    /// True when the delta contains the run.
    pub(crate) fn mentions(&self, number: u64) -> bool {
        self.ended.contains(&number) || self.report.runs.iter().any(|note| note.number == number)
    }
}
