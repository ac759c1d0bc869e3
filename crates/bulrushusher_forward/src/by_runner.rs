//! Runs and reported state, indexed by runner.

use std::cell::Cell;
use std::collections::HashMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::{GatewayReport, MemoryNeed, RunNumber, RunReport};

/// A peer, numbered in the order of first contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PeerNumber(pub usize);

/// A reported value, with its peer and the time of receipt.
#[derive(Clone, Debug)]
pub(crate) struct Reported<T> {
    pub by: PeerNumber,
    pub at: Millis,
    pub value: T,
}

/// How long a computed memory need is extrapolated before it is recomputed, if the set of runs
/// stays the same. In a burst, a gateway reads the need of each runner a hundred times a second.
const NEED_CACHE_TTL: Millis = Millis(30);

/// Runs and reported state of one runner.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunnerState {
    /// This gateway's runs.
    pub own: Vec<RunNumber>,
    /// Runs of peers.
    pub runs: Vec<Reported<RunReport>>,
    /// Prompt tokens that peers have in flight there.
    pub prefill_tokens: Vec<Reported<u64>>,
    /// Peers that report that the runner is switching its stage.
    pub switching_stage: Vec<Reported<()>>,
    /// Peers that cannot reach the runner.
    pub silent: Vec<Reported<()>>,
    need: Cell<Option<(Millis, MemoryNeed)>>,
}

impl RunnerState {
    /// Memory need of the runs, from the cache or computed by `compute`.
    pub(crate) fn need(&self, now: Millis, compute: impl FnOnce() -> MemoryNeed) -> MemoryNeed {
        let known = self.need.get().filter(|(at, _)| now.since(*at) < NEED_CACHE_TTL);
        let (at, need) = known.unwrap_or_else(|| (now, compute()));
        self.need.set(Some((at, need)));
        need.after(now.since(at))
    }

    /// Invalidates the cached memory need after a change of the runs.
    pub(crate) fn invalidate_memory_need(&self) {
        self.need.set(None);
    }

    fn remove(&mut self, by: PeerNumber) {
        self.runs.retain(|reported| reported.by != by);
        self.remove_state(by);
    }

    /// Drops all that the peer reported except its runs.
    fn remove_state(&mut self, by: PeerNumber) {
        self.prefill_tokens.retain(|reported| reported.by != by);
        self.switching_stage.retain(|reported| reported.by != by);
        self.silent.retain(|reported| reported.by != by);
    }

    fn is_empty(&self) -> bool {
        self.own.is_empty()
            && self.runs.is_empty()
            && self.prefill_tokens.is_empty()
            && self.switching_stage.is_empty()
            && self.silent.is_empty()
    }
}

/// Index of all runners with runs or reported state.
#[derive(Clone, Debug, Default)]
pub(crate) struct ByRunner(HashMap<RunnerId, RunnerState>);

impl ByRunner {
    pub(crate) fn get(&self, runner: &RunnerId) -> Option<&RunnerState> {
        self.0.get(runner)
    }

    pub(crate) fn entry(&mut self, runner: &RunnerId) -> &mut RunnerState {
        if !self.0.contains_key(runner) {
            self.0.insert(runner.clone(), RunnerState::default());
        }
        self.0.get_mut(runner).expect("inserted above")
    }

    /// Replaces a peer's previous report.
    pub(crate) fn replace(
        &mut self,
        by: PeerNumber,
        previous: &GatewayReport,
        report: &GatewayReport,
        at: Millis,
    ) {
        for runner in previous.runners() {
            self.entry(runner).remove(by);
        }
        self.insert(by, report, at);
        let (changed, ended) = report.diff(previous);
        // A moved run is no longer at its former runner, whose memory need changes too.
        let moved =
            previous.runs.iter().filter(|run| changed.iter().any(|it| it.number == run.number));
        for run in moved.chain(changed.iter().copied()).chain(ended) {
            self.entry(&run.runner).invalidate_memory_need();
        }
        self.remove_empty(previous.runners());
    }

    /// Applies a peer's delta: removes the runs in `removed`, adds the runs in `delta`, and
    /// replaces the peer's other state, which was reported in `previous`.
    pub(crate) fn apply_delta(
        &mut self,
        by: PeerNumber,
        previous: &GatewayReport,
        removed: &[RunReport],
        delta: &GatewayReport,
        at: Millis,
    ) {
        for runner in previous.runners() {
            self.entry(runner).remove_state(by);
        }
        for run in removed {
            let state = self.entry(&run.runner);
            state.runs.retain(|reported| reported.by != by || reported.value.number != run.number);
            state.invalidate_memory_need();
        }
        self.insert(by, delta, at);
        for run in &delta.runs {
            self.entry(&run.runner).invalidate_memory_need();
        }
        self.remove_empty(previous.runners().chain(removed.iter().map(|run| &run.runner)));
    }

    /// Drops the index entries of runners without any state.
    fn remove_empty<'a>(&mut self, runners: impl Iterator<Item = &'a RunnerId>) {
        for runner in runners {
            if self.0.get(runner).is_some_and(RunnerState::is_empty) {
                self.0.remove(runner);
            }
        }
    }

    fn insert(&mut self, by: PeerNumber, report: &GatewayReport, at: Millis) {
        for run in &report.runs {
            self.entry(&run.runner).runs.push(Reported { by, at, value: run.clone() });
        }
        for (runner, tokens) in &report.prefill_tokens {
            self.entry(runner).prefill_tokens.push(Reported { by, at, value: *tokens });
        }
        for runner in &report.switching_stage {
            self.entry(runner).switching_stage.push(Reported { by, at, value: () });
        }
        for runner in &report.silent {
            self.entry(runner).silent.push(Reported { by, at, value: () });
        }
    }

    /// Removes a run of this gateway.
    pub(crate) fn remove_own(&mut self, runner: &RunnerId, run: RunNumber) {
        let Some(state) = self.0.get_mut(runner) else { return };
        state.own.retain(|number| *number != run);
        state.invalidate_memory_need();
        self.remove_empty(std::iter::once(runner));
    }
}
