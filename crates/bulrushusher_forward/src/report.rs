//! Reports between gateways: full reports of a gateway's state, and deltas between two reports.

use std::collections::{BTreeMap, HashMap};

use bulrushusher_accounts::UsageReport;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

use crate::{
    CallPoolReport, DrainReport, LimitReport, MAX_TOKENS, RunCounts, RunShape, SeenRevisions,
    SpeedReport, StartTime, StartTimes, StoreContact,
};

/// One run in a report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Identifies the run within its gateway; 0 before memory is reserved for it.
    pub number: u64,
    /// The decode runner.
    pub runner: RunnerId,
    /// Prompt tokens.
    pub prompt: u64,
    /// Tokens generated when the report was written.
    pub generated: u64,
    /// Tokens already generated when the run last joined its runner's batch; above zero after a
    /// move or a preemption.
    pub generated_at_join: u64,
    /// Output tokens expected by the caller.
    pub expected: u64,
    /// Maximum output tokens.
    pub max_output: u64,
    /// True while the run generates. False while only memory is reserved, while the prompt is being
    /// processed, and while the run is preempted.
    pub is_generating: bool,
    /// True when the decode runner prefills the prompt itself.
    pub prefills_itself: bool,
}

impl RunReport {
    /// A run for which memory has been reserved.
    pub fn new(runner: RunnerId, shape: RunShape) -> RunReport {
        RunReport {
            number: 0,
            runner,
            prompt: shape.prompt as u64,
            generated: shape.generated as u64,
            generated_at_join: shape.generated as u64,
            expected: shape.expected as u64,
            max_output: shape.max_output as u64,
            is_generating: false,
            prefills_itself: false,
        }
    }

    /// Limits each count of tokens to [`MAX_TOKENS`], so that counts can be added up.
    fn limit_counts(&mut self) {
        let RunReport { prompt, generated, generated_at_join, expected, max_output, .. } = self;
        for count in [prompt, generated, generated_at_join, expected, max_output] {
            *count = MAX_TOKENS.min(*count);
        }
    }

    /// Memory shape of the run.
    pub fn shape(&self) -> RunShape {
        self.shape_after(0.0)
    }

    /// Memory shape after `grown` more tokens.
    pub(crate) fn shape_after(&self, grown: f64) -> RunShape {
        let max_output = self.max_output as f64;
        RunShape {
            prompt: self.prompt as f64,
            generated: (self.generated as f64 + grown).min((max_output - 1.0).max(0.0)),
            expected: self.expected as f64,
            max_output,
        }
    }

    /// Tokens generated since the run last joined its runner's batch.
    pub(crate) fn generated_since_join(&self) -> u64 {
        self.generated.saturating_sub(self.generated_at_join)
    }

    /// True when nothing but the number of generated tokens differs from `before`; receivers
    /// extrapolate that number themselves.
    fn is_unchanged_since(&self, before: &RunReport) -> bool {
        RunReport { generated: before.generated, ..self.clone() } == *before
    }
}

/// State that a gateway reports to its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Start of the reporting gateway in Unix ms; a later start supersedes an earlier one.
    pub incarnation: u64,
    /// Sequence number of the report; a report that arrives after a later one is dropped.
    pub sequence: u64,
    /// Text generations that wait for decode memory and can still meet their response-time target.
    pub waiting: u32,
    /// Text generations that wait for decode memory and can no longer meet their target.
    pub waiting_late: u32,
    /// Requests per second that the gateway gets.
    pub demand: u32,
    /// The gateway's runs.
    pub runs: Vec<RunReport>,
    /// Prompt tokens that the gateway has in flight at prefill runners.
    pub prefill_tokens: Vec<(RunnerId, u64)>,
    /// Runners that are switching stage because this gateway ordered it, or because another did
    /// as far as this gateway knows.
    pub switching_stage: Vec<RunnerId>,
    /// Success and failure counts of runners with failed runs.
    pub failing: Vec<RunCounts>,
    /// Runners that the gateway recently failed to reach.
    pub silent: Vec<RunnerId>,
    /// Latest store revisions that the gateway has seen.
    pub seen_revisions: SeenRevisions,
    /// The gateway's contact with the store.
    pub contact: StoreContact,
    /// Quota that client accounts have used at the gateway.
    pub spends: UsageReport,
    /// Rate limits that runners requested.
    pub limits: Vec<LimitReport>,
    /// Drain notices of runners.
    pub leaving: Vec<DrainReport>,
    /// Start times of the runners in this report, for runners that report one. The receiver ignores
    /// statements about an earlier start than it knows.
    pub starts: BTreeMap<RunnerId, StartTime>,
    /// Measured speeds of some runners; empty in deltas.
    pub speeds: Vec<SpeedReport>,
    /// Number of prefills of the gateway that ended at each runner since its start, wrapping; only
    /// runners at which one ended in the last seconds.
    pub prefill_ends: Vec<(RunnerId, u64)>,
    /// Plain calls of the gateway, by runner; `None` where it does not share them, and in deltas,
    /// see [`crate::CallPoolUpdate`].
    pub calls: Option<CallPoolReport>,
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
        let runs = self.runs.iter().map(|run| &run.runner);
        let prefills = self.prefill_tokens.iter().map(|(runner, _)| runner);
        runs.chain(prefills).chain(&self.switching_stage).chain(&self.silent)
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
    ) -> (Vec<&'a RunReport>, Vec<&'a RunReport>) {
        let mut known: HashMap<u64, &RunReport> =
            before.runs.iter().map(|run| (run.number, run)).collect();
        let is_changed = |run: &&RunReport| {
            let before = known.remove(&run.number);
            !before.is_some_and(|before| run.is_unchanged_since(before))
        };
        let changed = self.runs.iter().filter(is_changed).collect();
        (changed, known.into_values().collect())
    }

    /// Limits the counts of a report of a peer, so that they can be added to those of other gateways.
    pub fn limit_counts(&mut self) {
        self.runs.iter_mut().for_each(RunReport::limit_counts);
        for (_, tokens) in &mut self.prefill_tokens {
            *tokens = MAX_TOKENS.min(*tokens);
        }
    }

    /// Removes the runners for which `matches` returns true.
    pub(crate) fn remove_runners(&mut self, matches: impl Fn(&RunnerId) -> bool) {
        self.runs.retain(|run| !matches(&run.runner));
        self.prefill_tokens.retain(|(runner, _)| !matches(runner));
        self.switching_stage.retain(|runner| !matches(runner));
        self.failing.retain(|counts| !matches(&counts.runner));
        self.silent.retain(|runner| !matches(runner));
    }
}

/// A delta between two reports: runs that are new, moved, began or stalled, and the
/// numbers of runs that ended. Progress of runs is omitted; all other fields are sent in full.
///
/// ```
/// use bulrushusher_forward::{GatewayDelta, GatewayReport, RunReport, RunShape};
/// let shape =
///     RunShape { prompt: 5_000.0, generated: 0.0, expected: 3_000.0, max_output: 9_000.0 };
/// let run = RunReport { number: 1, ..RunReport::new("i-1".try_into().unwrap(), shape) };
/// let before = GatewayReport { sequence: 1, runs: vec![run.clone()], ..GatewayReport::default() };
/// let grown = GatewayReport {
///     sequence: 2,
///     runs: vec![RunReport { generated: 70, ..run.clone() }],
///     ..before.clone()
/// };
/// let delta = GatewayDelta::between(&before, &grown);
/// assert!(delta.report.runs.is_empty() && delta.ended.is_empty());
/// let ended = GatewayReport { sequence: 3, runs: Vec::new(), ..grown.clone() };
/// assert_eq!(GatewayDelta::between(&grown, &ended).ended, [1]);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayDelta {
    /// The later report, with changed runs only.
    pub report: GatewayReport,
    /// Numbers of runs that ended.
    pub ended: Vec<u64>,
    /// Number of reports between the two, which the receiver was not sent; see
    /// [`crate::FarReports`].
    pub skipped: u64,
}

impl GatewayDelta {
    /// The delta from one report to the next.
    pub fn between(before: &GatewayReport, now: &GatewayReport) -> GatewayDelta {
        let (changed, ended) = now.diff(before);
        let runs = changed.into_iter().cloned().collect();
        let ended = ended.into_iter().map(|run| run.number).collect();
        let skipped = now.sequence.saturating_sub(before.sequence.saturating_add(1));
        GatewayDelta { report: GatewayReport { runs, ..now.clone() }, ended, skipped }
    }

    /// Sequence number of the report that the delta builds on.
    pub(crate) fn base(&self) -> u64 {
        self.report.sequence.saturating_sub(self.skipped.saturating_add(1))
    }

    /// True when the delta contains the run.
    pub(crate) fn mentions(&self, number: u64) -> bool {
        self.ended.contains(&number) || self.report.runs.iter().any(|run| run.number == number)
    }
}
