//! What gateways tell each other of their runs: whole reports, and what changed since the last one.

use std::collections::{BTreeMap, HashMap};

use bulrushusher_accounts::UsageReport;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

use crate::{Born, DrainReport, LimitReport, NewsSeen, RunCounts, RunShape, Starts, StoreContact};

/// One run, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunNote {
    /// Tells it apart from other runs of its gateway; 0 before memory is held for it.
    pub number: u64,
    /// The decode runner.
    pub runner: RunnerId,
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Tokens generated when this was written.
    pub made: u64,
    /// Tokens that it had when it came to this runner: more than none after a move.
    pub made_before: u64,
    /// Tokens that the caller expects.
    pub expected: u64,
    /// The most tokens that may be generated.
    pub most: u64,
    /// True while it generates; before, memory is held and the prompt is read, and a run that its
    /// engine has preempted waits.
    pub begun: bool,
    /// True when its runner reads the prompt itself.
    pub reads_itself: bool,
}

impl RunNote {
    /// A run for which memory is held.
    pub fn new(runner: RunnerId, shape: RunShape) -> RunNote {
        RunNote {
            number: 0,
            runner,
            prompt: shape.prompt as u64,
            made: shape.generated as u64,
            made_before: shape.generated as u64,
            expected: shape.expected as u64,
            most: shape.max_output as u64,
            begun: false,
            reads_itself: false,
        }
    }

    /// What the run needs of memory.
    pub fn shape(&self) -> RunShape {
        self.shape_after(0.0)
    }

    /// The same after it made `grown` tokens more.
    pub(crate) fn shape_after(&self, grown: f64) -> RunShape {
        let most = self.most as f64;
        RunShape {
            prompt: self.prompt as f64,
            generated: (self.made as f64 + grown).min((most - 1.0).max(0.0)),
            expected: self.expected as f64,
            max_output: most,
        }
    }

    /// Tokens that it has made at this runner.
    pub(crate) fn made_here(&self) -> u64 {
        self.made.saturating_sub(self.made_before)
    }

    /// True when it is where and what it was, whatever it has made meanwhile: those who hear of it
    /// reckon that themselves.
    fn is_as_before(&self, before: &RunNote) -> bool {
        RunNote { made: before.made, ..self.clone() } == *before
    }
}

/// What one gateway tells its peers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GatewayReport {
    /// Start of the gateway that tells, Unix time in ms; a later one replaces an earlier one.
    pub life: u64,
    /// Counts its reports; one that arrives behind a later one is dropped.
    pub number: u64,
    /// Its generations that wait for memory and can still be on time.
    pub waiting: u32,
    /// Those that wait and are late already.
    pub waiting_late: u32,
    /// Its runs.
    pub runs: Vec<RunNote>,
    /// Prompt tokens that it has at prefill runners.
    pub reads: Vec<(RunnerId, u64)>,
    /// Runners that change their stage by its orders, or by others' that it knows of.
    pub changing: Vec<RunnerId>,
    /// How runs ended at runners that fail some.
    pub failing: Vec<RunCounts>,
    /// Runners that it could not reach lately.
    pub silent: Vec<RunnerId>,
    /// Changes of the store that it knows.
    pub news: NewsSeen,
    /// What it has with the store.
    pub contact: StoreContact,
    /// What client accounts used of their quotas there.
    pub spends: UsageReport,
    /// Rate limits that runners name.
    pub limits: Vec<LimitReport>,
    /// Runners that have said themselves that they leave.
    pub leaving: Vec<DrainReport>,
    /// The starts of the runners that this report speaks of, where runners tell them. What it says
    /// of an earlier start than the hearer knows does not count.
    pub starts: BTreeMap<RunnerId, Born>,
}

impl GatewayReport {
    /// Adds the starts of the runners that it speaks of, as far as they are known.
    pub fn add_starts(&mut self, starts: &Starts) {
        let known = self.spoken_of().filter_map(|id| Some((id.clone(), starts.last(id)?)));
        self.starts = known.collect();
    }

    /// The runners whose runs, readings or state it tells; one may come several times.
    pub(crate) fn runners(&self) -> impl Iterator<Item = &RunnerId> {
        let runs = self.runs.iter().map(|note| &note.runner);
        let reads = self.reads.iter().map(|(runner, _)| runner);
        runs.chain(reads).chain(&self.changing).chain(&self.silent)
    }

    /// All runners that it speaks of.
    fn spoken_of(&self) -> impl Iterator<Item = &RunnerId> {
        self.runners().chain(self.failing.iter().map(|counts| &counts.runner))
    }

    /// True when it says anything of the runner.
    pub(crate) fn speaks_of(&self, runner: &RunnerId) -> bool {
        self.spoken_of().any(|spoken_of| spoken_of == runner)
    }

    /// The runs that are new or other than `before`, and those of then that are over.
    pub(crate) fn differences<'a>(
        &'a self,
        before: &'a GatewayReport,
    ) -> (Vec<&'a RunNote>, Vec<&'a RunNote>) {
        let mut known: HashMap<u64, &RunNote> =
            before.runs.iter().map(|note| (note.number, note)).collect();
        let is_other = |note: &&RunNote| {
            let before = known.remove(&note.number);
            !before.is_some_and(|before| note.is_as_before(before))
        };
        let changed = self.runs.iter().filter(is_other).collect();
        (changed, known.into_values().collect())
    }

    /// Drops what it says of runners for which `is_past` holds.
    pub(crate) fn drop_past(&mut self, is_past: impl Fn(&RunnerId) -> bool) {
        self.runs.retain(|note| !is_past(&note.runner));
        self.reads.retain(|(runner, _)| !is_past(runner));
        self.changing.retain(|runner| !is_past(runner));
        self.failing.retain(|counts| !is_past(&counts.runner));
        self.silent.retain(|runner| !is_past(runner));
    }
}

/// What changed since the report before: its runs that are new, went elsewhere, began or stalled, and
/// the numbers of those that ended. What a run made meanwhile is not told; all else is told whole.
///
/// ```
/// use bulrushusher_forward::{GatewayChanges, GatewayReport, RunNote, RunShape};
/// let run = RunShape { prompt: 5_000.0, generated: 0.0, expected: 3_000.0, max_output: 9_000.0 };
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
    /// The report, of whose runs only those stand here that changed.
    pub report: GatewayReport,
    /// Numbers of the runs that are over.
    pub ended: Vec<u64>,
}

impl GatewayChanges {
    /// What changed from one report to the next.
    pub fn between(before: &GatewayReport, now: &GatewayReport) -> GatewayChanges {
        let (changed, ended) = now.differences(before);
        let runs = changed.into_iter().cloned().collect();
        let ended = ended.into_iter().map(|note| note.number).collect();
        GatewayChanges { report: GatewayReport { runs, ..now.clone() }, ended }
    }

    /// The runs of which a peer's changes speak.
    pub(crate) fn speaks_of(&self, number: u64) -> bool {
        self.ended.contains(&number) || self.report.runs.iter().any(|note| note.number == number)
    }
}
