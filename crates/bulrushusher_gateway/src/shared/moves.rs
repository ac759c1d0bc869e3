//! Decides which run should move to another decode runner.

use bulrushusher_forward::{RunNumber, RunReport, Runner, pick_for_move};

use super::SharedState;
use crate::runners::destination::Destination;

/// Whether a run should move.
#[derive(Clone, Debug)]
pub(crate) enum MoveDecision {
    /// The run stays: its runner has memory, or another run is to move first.
    Stay,
    /// The run should move, but no runner has room for it.
    NoCapacity,
    /// The run should continue at the runner `to`.
    Move { to: Box<Runner>, report: RunReport },
}

impl SharedState {
    /// Decides whether the run should move now, because its runner is about to run out of memory
    /// and would preempt it.
    pub(crate) fn move_decision(&self, to: &Destination, run: RunNumber) -> MoveDecision {
        let service = &to.service;
        if !self.engine(service).is_some_and(|engine| engine.can_move_runs) {
            return MoveDecision::Stay;
        }
        let forecast = self.forecast(service);
        let runs = self.runs.lock();
        let pace = runs.get(run).and_then(|report| self.pace(service, &report.runner));
        let is_due = runs.run_due_to_move(run, &forecast, pace, self.now()).cloned();
        drop(runs);
        let Some(report) = is_due else { return MoveDecision::Stay };
        let draw = self.draw();
        match self.with_candidates(to, |cx, runs| pick_for_move(cx, runs, &forecast, &report, draw))
        {
            Some(to) => MoveDecision::Move { to: Box::new(to), report },
            None => MoveDecision::NoCapacity,
        }
    }
}
