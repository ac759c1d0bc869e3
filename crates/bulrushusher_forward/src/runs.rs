//! The runs at decode runners: this gateway's own, and those that its peers tell of.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

use crate::{Born, RunCounts, RunShape, StartNews, Starts};

/// One run, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunNote {
    /// The decode runner.
    #[serde(rename = "r")]
    pub runner: RunnerId,
    /// Tokens of the prompt.
    #[serde(rename = "p")]
    pub prompt: u64,
    /// Tokens generated when this was written.
    #[serde(rename = "g")]
    pub made: u64,
    /// Tokens that the caller expects.
    #[serde(rename = "e")]
    pub expected: u64,
    /// The most tokens that may be generated.
    #[serde(rename = "m")]
    pub most: u64,
    /// True once it generates; before, memory is held and the prompt is read.
    #[serde(rename = "b")]
    pub begun: bool,
    /// True when its runner reads the prompt itself.
    #[serde(rename = "h")]
    pub reads_itself: bool,
}

impl RunNote {
    /// A run for which memory is held.
    pub fn new(runner: RunnerId, shape: RunShape) -> RunNote {
        RunNote {
            runner,
            prompt: shape.prompt as u64,
            made: shape.made as u64,
            expected: shape.expected as u64,
            most: shape.most as u64,
            begun: false,
            reads_itself: false,
        }
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
    #[serde(default)]
    pub waiting_late: u32,
    /// Its runs.
    pub runs: Vec<RunNote>,
    /// Prompt tokens that it has at prefill runners.
    pub reads: Vec<(RunnerId, u64)>,
    /// Runners that change their stage by its orders, or by others' that it knows of.
    #[serde(default)]
    pub changing: Vec<RunnerId>,
    /// How runs ended at runners that fail some.
    #[serde(default)]
    pub failing: Vec<RunCounts>,
    /// Runners that it could not reach lately.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<RunnerId>,
    /// The starts of the runners that this report speaks of, where runners tell them. What it says
    /// of an earlier start than the hearer knows does not count.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub starts: BTreeMap<RunnerId, Born>,
}

impl GatewayReport {
    /// Adds the starts of the runners that it speaks of, as far as they are known.
    pub fn add_starts(&mut self, starts: &Starts) {
        let runs = self.runs.iter().map(|note| &note.runner);
        let reads = self.reads.iter().map(|(runner, _)| runner);
        let failing = self.failing.iter().map(|counts| &counts.runner);
        let spoken_of = runs.chain(reads).chain(&self.changing).chain(&self.silent).chain(failing);
        let known = spoken_of.filter_map(|id| Some((id.clone(), starts.last(id)?)));
        self.starts = known.collect();
    }

    /// Drops what it says of runners for which `is_past` holds.
    fn drop_past(&mut self, is_past: impl Fn(&RunnerId) -> bool) {
        self.runs.retain(|note| !is_past(&note.runner));
        self.reads.retain(|(runner, _)| !is_past(runner));
        self.changing.retain(|runner| !is_past(runner));
        self.failing.retain(|counts| !is_past(&counts.runner));
        self.silent.retain(|runner| !is_past(runner));
    }
}

/// Bounds of what is believed of peers.
#[derive(Clone, Copy, Debug)]
pub struct PeersConfig {
    /// Silence after which a peer's report counts for nothing.
    pub forget_after: Millis,
}

impl Default for PeersConfig {
    /// Peers report at least once a second, and a report or two may be lost.
    fn default() -> PeersConfig {
        PeersConfig { forget_after: Millis(3_000) }
    }
}

#[derive(Clone, Debug)]
struct Heard {
    report: GatewayReport,
    at: Millis,
}

/// A run of this gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RunNumber(u64);

/// All runs that are known.
#[derive(Clone, Debug)]
pub struct Runs {
    cfg: PeersConfig,
    next: u64,
    own: HashMap<RunNumber, RunNote>,
    peers: HashMap<Arc<str>, Heard>,
    starts: Starts,
}

impl Runs {
    /// No run is known.
    pub fn new(cfg: PeersConfig) -> Runs {
        Runs { cfg, next: 0, own: HashMap::new(), peers: HashMap::new(), starts: Starts::default() }
    }

    /// Takes in a runner's start. Runs at an earlier one are over, those of peers too: what they
    /// tell of an earlier start counts no more.
    pub fn note_start(&mut self, id: &RunnerId, born: Option<Born>) -> StartNews {
        let news = self.starts.note(id, born);
        if news == StartNews::Later {
            self.own.retain(|_, note| note.runner != *id);
        }
        // Also after the first word of a start: what peers told without one is of an earlier one.
        if born.is_some() && matches!(news, StartNews::Same | StartNews::Later) {
            for heard in self.peers.values_mut() {
                let told = heard.report.starts.get(id).copied();
                if self.starts.is_past(id, told) {
                    heard.report.drop_past(|runner| runner == id);
                }
            }
        }
        news
    }

    /// The runners' starts that are known.
    pub fn starts(&self) -> &Starts {
        &self.starts
    }

    /// Memory for a run is held.
    pub fn hold(&mut self, note: RunNote) -> RunNumber {
        self.next += 1;
        self.own.insert(RunNumber(self.next), note);
        RunNumber(self.next)
    }

    /// The run's runner reads the prompt itself.
    pub fn reads_itself(&mut self, run: RunNumber) {
        if let Some(note) = self.own.get_mut(&run) {
            note.reads_itself = true;
        }
    }

    /// Prompt tokens that a decode runner reads itself now.
    pub fn tokens_read_by(&self, runner: &RunnerId, now: Millis) -> u64 {
        let theirs = self.heard(now).flat_map(|heard| &heard.report.runs);
        let reads = |note: &&RunNote| note.reads_itself && !note.begun && note.runner == *runner;
        self.own.values().chain(theirs).filter(reads).map(|note| note.prompt).sum()
    }

    /// The run has begun, or has made that many tokens.
    pub fn progress(&mut self, run: RunNumber, made: u64) {
        if let Some(note) = self.own.get_mut(&run) {
            note.begun = true;
            note.made = note.made.max(made);
        }
    }

    /// The run is over, or its memory was given back.
    pub fn end(&mut self, run: RunNumber) -> Option<RunNote> {
        self.own.remove(&run)
    }

    /// This gateway's runs.
    pub fn own(&self) -> impl Iterator<Item = &RunNote> {
        self.own.values()
    }

    /// Takes in a peer's report; false when a later one was heard already. After a silence any
    /// report counts: a peer that starts again with its clock set back has a lower `life` than
    /// before, and would not be heard for as long as it was set back.
    pub fn hear(&mut self, peer: &str, report: GatewayReport, now: Millis) -> bool {
        if let Some(heard) = self.peers.get(peer).filter(|heard| self.is_fresh(heard, now)) {
            let known = (heard.report.life, heard.report.number);
            if (report.life, report.number) <= known {
                return false;
            }
        }
        let mut report = report;
        // Once here, so that choices need not look at starts for each runner and peer.
        if !self.starts.is_empty() {
            let told = std::mem::take(&mut report.starts);
            report.drop_past(|runner| self.starts.is_past(runner, told.get(runner).copied()));
            report.starts = told;
        }
        self.peers.insert(peer.into(), Heard { report, at: now });
        true
    }

    /// Peers heard lately.
    pub fn peers(&self, now: Millis) -> usize {
        self.heard(now).count()
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
        self.heard(now)
            .flat_map(|heard| &heard.report.reads)
            .filter(|(at, _)| at == runner)
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// True while a peer knows that the runner changes its stage.
    pub fn is_changing(&self, runner: &RunnerId, now: Millis) -> bool {
        self.heard(now).any(|heard| heard.report.changing.contains(runner))
    }

    /// True while enough peers cannot reach the runner: two, so that one that is cut off itself
    /// does not speak against all runners; the only one where there is no other.
    pub fn is_silent_at_peers(&self, runner: &RunnerId, now: Millis) -> bool {
        let tell = self.heard(now).filter(|heard| heard.report.silent.contains(runner));
        match tell.take(2).count() {
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

    /// The runs at a runner. Those of peers are taken further by the time since their report.
    pub fn at(&self, runner: &RunnerId, tokens_per_ms: f64, now: Millis) -> Vec<RunShape> {
        let own = self.own.values().filter(|note| note.runner == *runner);
        let mut shapes: Vec<RunShape> = own.map(|note| shape(note, 0.0)).collect();
        for heard in self.heard(now) {
            let grown = now.since(heard.at).0 as f64 * tokens_per_ms;
            let theirs = heard.report.runs.iter().filter(|note| note.runner == *runner);
            shapes.extend(theirs.map(|note| shape(note, if note.begun { grown } else { 0.0 })));
        }
        shapes
    }

    fn heard(&self, now: Millis) -> impl Iterator<Item = &Heard> {
        self.peers.values().filter(move |heard| self.is_fresh(heard, now))
    }

    fn is_fresh(&self, heard: &Heard, now: Millis) -> bool {
        now.since(heard.at) < self.cfg.forget_after
    }
}

fn shape(note: &RunNote, grown: f64) -> RunShape {
    let most = note.most as f64;
    RunShape {
        prompt: note.prompt as f64,
        made: (note.made as f64 + grown).min((most - 1.0).max(0.0)),
        expected: note.expected as f64,
        most,
    }
}
