//! Which run should leave its decode runner, and for which other one.

use bulrushusher_forward::{RunNumber, RunReport, Runner, pick_for_move};
use bulrushusher_world::ServiceName;

use super::Knowledge;

/// What should become of a run.
#[derive(Clone, Debug)]
pub(crate) enum RunFate {
    /// It stays: its runner has memory, or another run is to leave first.
    Stays,
    /// It should leave, and no runner has room for it.
    NoRoom,
    /// It should go on at that runner.
    Moves { to: Runner, note: RunReport },
}

impl Knowledge {
    /// Whether the run should move now: its runner is about to run out of memory, and it is the one
    /// that would be preempted.
    pub(crate) fn run_fate(&self, service: &ServiceName, run: RunNumber) -> RunFate {
        if !self.engine(service).is_some_and(|engine| engine.can_move_runs) {
            return RunFate::Stays;
        }
        let forecast = self.forecast(service);
        let is_due = self.runs.lock().run_due_to_move(run, &forecast, self.now()).cloned();
        let Some(note) = is_due else { return RunFate::Stays };
        let draw = self.draw();
        match self.with_pool(service, |cx, runs| pick_for_move(cx, runs, &forecast, &note, draw)) {
            Some(to) => RunFate::Moves { to, note },
            None => RunFate::NoRoom,
        }
    }
}
