//! The runs at decode runners: this gateway's own, and those that its peers tell of.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::told::{ByRunner, PeerNumber, Told};
use crate::{
    Born, GatewayChanges, GatewayReport, MemoryForecast, MemoryNeed, RunNote, RunShape, StartNews,
    Starts,
};

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
pub(crate) struct Heard {
    pub number: PeerNumber,
    pub report: GatewayReport,
}

/// What became of a peer's changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangesNews {
    /// They follow what was known.
    Taken,
    /// They were told before what is known.
    Old,
    /// The report before them was not heard: a whole one is needed.
    Missed,
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
    pub(crate) peers: HashMap<Arc<str>, Heard>,
    next_peer: usize,
    pub(crate) by_runner: ByRunner,
    /// When each peer was heard last.
    pub(crate) heard_at: HashMap<PeerNumber, Millis>,
    starts: Starts,
}

impl Runs {
    /// No run is known.
    pub fn new(cfg: PeersConfig) -> Runs {
        Runs {
            cfg,
            next: 0,
            own: HashMap::new(),
            peers: HashMap::new(),
            next_peer: 0,
            by_runner: ByRunner::default(),
            heard_at: HashMap::new(),
            starts: Starts::default(),
        }
    }

    /// Takes in a runner's start. Runs at an earlier one are over, those of peers too: what they
    /// tell of an earlier start counts no more.
    pub fn note_start(&mut self, id: &RunnerId, born: Option<Born>) -> StartNews {
        let news = self.starts.note(id, born);
        if news == StartNews::Later {
            let there = self.by_runner.get(id).map(|there| there.own.clone());
            for run in there.unwrap_or_default() {
                self.end(run);
            }
        }
        // Also after the first word of a start: what peers told without one is of an earlier one.
        if born.is_some() && matches!(news, StartNews::Same | StartNews::Later) {
            for heard in self.peers.values_mut() {
                let told = heard.report.starts.get(id).copied();
                // A list of all runners comes here once for each, and most peers have nothing there.
                if self.starts.is_past(id, told) && heard.report.speaks_of(id) {
                    let before = heard.report.clone();
                    heard.report.drop_past(|runner| runner == id);
                    let number = heard.number;
                    let at = self.heard_at.get(&number).copied().unwrap_or_default();
                    self.by_runner.replace(number, &before, &heard.report, at);
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
    pub fn hold(&mut self, mut note: RunNote) -> RunNumber {
        self.next += 1;
        note.number = self.next;
        let run = RunNumber(self.next);
        let there = self.by_runner.entry(&note.runner);
        there.own.push(run);
        there.forget_need();
        self.own.insert(run, note);
        run
    }

    /// The run's runner reads the prompt itself.
    pub fn reads_itself(&mut self, run: RunNumber) {
        if let Some(note) = self.own.get_mut(&run) {
            note.reads_itself = true;
        }
    }

    /// Prompt tokens that a decode runner reads itself now.
    pub fn tokens_read_by(&self, runner: &RunnerId, now: Millis) -> u64 {
        let theirs = self.runs_of_peers(runner, now).map(|told| &told.what);
        let reads = |note: &&RunNote| note.reads_itself && !note.begun;
        self.own_at(runner).chain(theirs).filter(reads).map(|note| note.prompt).sum()
    }

    /// The run makes nothing at present: its engine has preempted it, or is held up.
    pub fn stall(&mut self, run: RunNumber) {
        if let Some(note) = self.own.get_mut(&run) {
            note.begun = false;
        }
    }

    /// The run has begun, or has made that many tokens. One that goes on after a stall is its engine's
    /// newest.
    pub fn progress(&mut self, run: RunNumber, made: u64) {
        if let Some(note) = self.own.get_mut(&run) {
            if !note.begun {
                note.made_before = note.made;
            }
            note.begun = true;
            note.made = note.made.max(made);
        }
    }

    /// The run is over, or its memory was given back.
    pub fn end(&mut self, run: RunNumber) -> Option<RunNote> {
        let note = self.own.remove(&run)?;
        self.by_runner.end(&note.runner, run);
        Some(note)
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
        self.drop_past_starts(&mut report);
        let Heard { number, report: before } = match self.peers.remove(peer) {
            Some(heard) => heard,
            None => Heard { number: self.new_peer(now), report: GatewayReport::default() },
        };
        self.by_runner.replace(number, &before, &report, now);
        self.heard_at.insert(number, now);
        self.peers.insert(peer.into(), Heard { number, report });
        true
    }

    /// Takes in what changed at a peer since its report before. When that was not heard, what is told
    /// counts all the same, and what was missed comes with the whole report that is due then.
    pub fn hear_changes(
        &mut self,
        peer: &str,
        changes: GatewayChanges,
        now: Millis,
    ) -> ChangesNews {
        let fresh = self.peers.get(peer).filter(|heard| self.is_fresh(heard, now));
        let Some((life, last)) = fresh.map(|heard| (heard.report.life, heard.report.number)) else {
            return ChangesNews::Missed;
        };
        let told = &changes.report;
        if (told.life, told.number) <= (life, last) {
            return ChangesNews::Old;
        }
        if told.life != life {
            return ChangesNews::Missed;
        }
        let follows = told.number == last + 1;
        let mut changes = changes;
        self.drop_past_starts(&mut changes.report);
        let Some(heard) = self.peers.get_mut(peer) else { return ChangesNews::Missed };
        let mut before = std::mem::take(&mut heard.report);
        let runs = std::mem::take(&mut before.runs);
        let (gone, stay): (Vec<RunNote>, Vec<RunNote>) =
            runs.into_iter().partition(|note| changes.speaks_of(note.number));
        self.by_runner.change(heard.number, &before, &gone, &changes.report, now);
        self.heard_at.insert(heard.number, now);
        heard.report = changes.report;
        heard.report.runs.extend(stay);
        for (runner, born) in before.starts {
            heard.report.starts.entry(runner).or_insert(born);
        }
        if follows { ChangesNews::Taken } else { ChangesNews::Missed }
    }

    /// Drops what a peer tells of earlier starts. Once here, so that choices need not look at starts
    /// for each runner and peer.
    fn drop_past_starts(&self, report: &mut GatewayReport) {
        if self.starts.is_empty() {
            return;
        }
        let told = std::mem::take(&mut report.starts);
        report.drop_past(|runner| self.starts.is_past(runner, told.get(runner).copied()));
        report.starts = told;
    }

    /// A number for a peer that was not heard before. Peers that are gone are forgotten then: names
    /// change with each VM that is replaced.
    fn new_peer(&mut self, now: Millis) -> PeerNumber {
        let forget_after = self.cfg.forget_after;
        self.heard_at.retain(|_, at| now.since(*at) < forget_after);
        let (by_runner, heard_at) = (&mut self.by_runner, &self.heard_at);
        self.peers.retain(|_, heard| {
            let stays = heard_at.contains_key(&heard.number);
            if !stays {
                by_runner.replace(heard.number, &heard.report, &GatewayReport::default(), now);
            }
            stays
        });
        self.next_peer += 1;
        PeerNumber(self.next_peer)
    }

    /// The runs at a runner. Those of peers are taken further by the time since their report.
    pub fn at(&self, runner: &RunnerId, tokens_per_ms: f64, now: Millis) -> Vec<RunShape> {
        let own = self.own_at(runner).map(|note| note.shape());
        let theirs = self.runs_of_peers(runner, now).map(|told| {
            let grown = now.since(told.at).0 as f64 * tokens_per_ms;
            told.what.shape_after(if told.what.begun { grown } else { 0.0 })
        });
        own.chain(theirs).collect()
    }

    /// The memory that the runs at a runner will need. It is worked out anew when its runs change,
    /// and now and then as they grow.
    pub fn need_at(&self, runner: &RunnerId, forecast: &MemoryForecast, now: Millis) -> MemoryNeed {
        let work_out = || forecast.need(&self.at(runner, forecast.tokens_per_ms, now));
        let there = self.by_runner.get(runner);
        there.map_or_else(MemoryNeed::default, |there| there.need(now, work_out))
    }

    fn own_at(&self, runner: &RunnerId) -> impl Iterator<Item = &RunNote> {
        let there = self.by_runner.get(runner).into_iter().flat_map(|there| &there.own);
        there.filter_map(|run| self.own.get(run))
    }

    fn runs_of_peers(
        &self,
        runner: &RunnerId,
        now: Millis,
    ) -> impl Iterator<Item = &Told<RunNote>> {
        self.fresh(self.by_runner.get(runner).map(|there| there.runs.as_slice()), now)
    }

    /// What was told lately.
    pub(crate) fn fresh<'a, T>(
        &'a self,
        told: Option<&'a [Told<T>]>,
        now: Millis,
    ) -> impl Iterator<Item = &'a Told<T>> {
        told.unwrap_or_default().iter().filter(move |told| self.was_heard(told.by, now))
    }

    /// A run of this gateway's, where it is and how far.
    pub fn note(&self, run: RunNumber) -> Option<&RunNote> {
        self.own.get(&run)
    }

    /// True when no other run that generates at its runner has made fewer tokens there, as far as is
    /// known: an engine without memory preempts the newest first.
    pub fn is_newest(&self, run: RunNumber, tokens_per_ms: f64, now: Millis) -> bool {
        let Some(note) = self.own.get(&run) else { return false };
        let own = self.own_at(&note.runner).filter(|other| !std::ptr::eq(*other, note));
        let own_is_newer = own.filter(|it| it.begun).any(|it| it.made_here() < note.made_here());
        let theirs_is_newer = self.runs_of_peers(&note.runner, now).any(|told| {
            let grown = (now.since(told.at).0 as f64 * tokens_per_ms) as u64;
            told.what.begun && told.what.made_here() + grown < note.made_here()
        });
        note.begun && !own_is_newer && !theirs_is_newer
    }

    pub(crate) fn heard(&self, now: Millis) -> impl Iterator<Item = &Heard> {
        self.peers.values().filter(move |heard| self.is_fresh(heard, now))
    }

    fn is_fresh(&self, heard: &Heard, now: Millis) -> bool {
        self.was_heard(heard.number, now)
    }

    /// True when the peer spoke lately.
    fn was_heard(&self, peer: PeerNumber, now: Millis) -> bool {
        let heard = self.heard_at.get(&peer);
        heard.is_some_and(|at| now.since(*at) < self.cfg.forget_after)
    }
}
