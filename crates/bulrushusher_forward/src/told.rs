//! What peers tell, by the runner that it is about.

use std::cell::Cell;
use std::collections::HashMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::{GatewayReport, MemoryNeed, RunNote, RunNumber};

/// A peer, by the order in which peers were heard first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerNumber(pub usize);

/// One thing that a peer told, and when it was heard.
#[derive(Clone, Debug)]
pub(crate) struct Told<T> {
    pub by: PeerNumber,
    pub at: Millis,
    pub what: T,
}

/// How long a runner's need is reckoned on from what was worked out, while its runs stay the same: a
/// gateway in a burst looks at each runner a hundred times a second.
const NEED_KEPT: Millis = Millis(30);

/// What is known of one runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct AtRunner {
    /// This gateway's runs.
    pub own: Vec<RunNumber>,
    /// Peers' runs.
    pub runs: Vec<Told<RunNote>>,
    /// Prompt tokens that peers have there to be read.
    pub reads: Vec<Told<u64>>,
    /// Peers that know that it changes its stage.
    pub changing: Vec<Told<()>>,
    /// Peers that cannot reach it.
    pub silent: Vec<Told<()>>,
    need: Cell<Option<(Millis, MemoryNeed)>>,
}

impl AtRunner {
    /// The need of its runs, which `work_out` finds when it is not known.
    pub(crate) fn need(&self, now: Millis, work_out: impl FnOnce() -> MemoryNeed) -> MemoryNeed {
        let known = self.need.get().filter(|(at, _)| now.since(*at) < NEED_KEPT);
        let (at, need) = known.unwrap_or_else(|| (now, work_out()));
        self.need.set(Some((at, need)));
        need.after(now.since(at))
    }

    /// Its runs are others than before.
    pub(crate) fn forget_need(&self) {
        self.need.set(None);
    }

    fn forget(&mut self, by: PeerNumber) {
        self.runs.retain(|told| told.by != by);
        self.forget_state(by);
    }

    /// Forgets all but the runs.
    fn forget_state(&mut self, by: PeerNumber) {
        self.reads.retain(|told| told.by != by);
        self.changing.retain(|told| told.by != by);
        self.silent.retain(|told| told.by != by);
    }

    fn is_empty(&self) -> bool {
        self.own.is_empty()
            && self.runs.is_empty()
            && self.reads.is_empty()
            && self.changing.is_empty()
            && self.silent.is_empty()
    }
}

/// All runners of which anything is known.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByRunner(HashMap<RunnerId, AtRunner>);

impl ByRunner {
    pub(crate) fn get(&self, runner: &RunnerId) -> Option<&AtRunner> {
        self.0.get(runner)
    }

    pub(crate) fn entry(&mut self, runner: &RunnerId) -> &mut AtRunner {
        if !self.0.contains_key(runner) {
            self.0.insert(runner.clone(), AtRunner::default());
        }
        self.0.get_mut(runner).expect("it was put there")
    }

    /// Puts what a peer tells in place of what it told `before`.
    pub(crate) fn replace(
        &mut self,
        by: PeerNumber,
        before: &GatewayReport,
        report: &GatewayReport,
        at: Millis,
    ) {
        for runner in before.runners() {
            self.entry(runner).forget(by);
        }
        self.put(by, report, at);
        let (changed, ended) = report.differences(before);
        // A run that went elsewhere is missed where it was.
        let elsewhere =
            before.runs.iter().filter(|note| changed.iter().any(|it| it.number == note.number));
        for note in elsewhere.chain(changed.iter().copied()).chain(ended) {
            self.entry(&note.runner).forget_need();
        }
        self.drop_empty(before.runners());
    }

    /// Takes in what changed at a peer: its runs that are `gone` or told anew, and all that it told
    /// `before` beside its runs.
    pub(crate) fn change(
        &mut self,
        by: PeerNumber,
        before: &GatewayReport,
        gone: &[RunNote],
        changes: &GatewayReport,
        at: Millis,
    ) {
        for runner in before.runners() {
            self.entry(runner).forget_state(by);
        }
        for note in gone {
            let there = self.entry(&note.runner);
            there.runs.retain(|told| told.by != by || told.what.number != note.number);
            there.forget_need();
        }
        self.put(by, changes, at);
        for note in &changes.runs {
            self.entry(&note.runner).forget_need();
        }
        self.drop_empty(before.runners().chain(gone.iter().map(|note| &note.runner)));
    }

    /// Drops runners of which nothing is known any more.
    fn drop_empty<'a>(&mut self, runners: impl Iterator<Item = &'a RunnerId>) {
        for runner in runners {
            if self.0.get(runner).is_some_and(AtRunner::is_empty) {
                self.0.remove(runner);
            }
        }
    }

    fn put(&mut self, by: PeerNumber, report: &GatewayReport, at: Millis) {
        for note in &report.runs {
            self.entry(&note.runner).runs.push(Told { by, at, what: note.clone() });
        }
        for (runner, tokens) in &report.reads {
            self.entry(runner).reads.push(Told { by, at, what: *tokens });
        }
        for runner in &report.changing {
            self.entry(runner).changing.push(Told { by, at, what: () });
        }
        for runner in &report.silent {
            self.entry(runner).silent.push(Told { by, at, what: () });
        }
    }

    /// Drops a run of this gateway's.
    pub(crate) fn end(&mut self, runner: &RunnerId, run: RunNumber) {
        let Some(there) = self.0.get_mut(runner) else { return };
        there.own.retain(|number| *number != run);
        there.forget_need();
        self.drop_empty(std::iter::once(runner));
    }
}
