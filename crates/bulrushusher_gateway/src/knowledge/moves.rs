//! Which run should leave its decode runner, and for which other one.

use bulrushusher_forward::{RunNumber, RunReport, Runner, pick_for_move};
use bulrushusher_world::ServiceName;

use super::Knowledge;

/// What should become of a run.
#[derive(Clone, Debug)]
pub(crate) enum MoveDecision {
    /// It stays: its runner has memory, or another run is to leave first.
    Stay,
    /// It should leave, and no runner has room for it.
    NoCapacity,
    /// It should go on at that runner.
    Move { to: Runner, report: RunReport },
}

impl Knowledge {
    /// Whether the run should move now: its runner is about to run out of memory, and it is the one
    /// that would be preempted.
    pub(crate) fn move_decision(&self, service: &ServiceName, run: RunNumber) -> MoveDecision {
        if !self.engine(service).is_some_and(|engine| engine.can_move_runs) {
            return MoveDecision::Stay;
        }
        let forecast = self.forecast(service);
        let is_due = self.runs.lock().due_to_move(run, &forecast, self.now()).cloned();
        let Some(report) = is_due else { return MoveDecision::Stay };
        let draw = self.draw();
        match self
            .with_candidates(service, |cx, runs| pick_for_move(cx, runs, &forecast, &report, draw))
        {
            Some(to) => MoveDecision::Move { to, report },
            None => MoveDecision::NoCapacity,
        }
    }
}
