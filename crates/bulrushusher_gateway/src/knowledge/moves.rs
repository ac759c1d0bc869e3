//! Which run should leave its decode runner, and for which other one.

use bulrushusher_forward::{
    MemoryForecast, MoveConfig, RunNote, RunNumber, Runner, rank_for_decode,
};
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
    Moves { to: Runner, note: RunNote },
}

impl Knowledge {
    /// Whether the run should move now: its runner is about to run out of memory, and it is the one
    /// that would be preempted.
    pub(crate) fn run_fate(&self, service: &ServiceName, run: RunNumber) -> RunFate {
        if !self.engine(service).is_some_and(|engine| engine.moves_runs) {
            return RunFate::Stays;
        }
        let forecast = self.forecast(service);
        let is_due = {
            let now = self.now();
            let runs = self.runs.lock();
            let overflows = |note: &RunNote| {
                let there = runs.need_at(&note.runner, &forecast, now);
                forecast.overflows_soon(&there, MoveConfig::default())
            };
            let is_newest = |_: &&RunNote| runs.is_newest(run, forecast.tokens_per_ms, now);
            runs.note(run).filter(|note| overflows(note)).filter(is_newest).cloned()
        };
        let Some(note) = is_due else { return RunFate::Stays };
        match self.runner_with_room(service, &forecast, &note) {
            Some(to) => RunFate::Moves { to, note },
            None => RunFate::NoRoom,
        }
    }

    /// The decode runner to which a run should move.
    fn runner_with_room(
        &self,
        service: &ServiceName,
        forecast: &MemoryForecast,
        note: &RunNote,
    ) -> Option<Runner> {
        let draw = self.draw();
        let need = forecast.need(&[note.shape()]);
        self.with_pool(service, |cx, runs| {
            let peak = |runner: &Runner| {
                let there = runs.need_at(&runner.id, forecast, cx.now);
                let has_slot = there.runs < runner.slots as usize;
                has_slot.then(|| forecast.peak_after_move(&there, &need, MoveConfig::default()))?
            };
            let here = std::slice::from_ref(&note.runner);
            rank_for_decode(cx, here, draw, peak).into_iter().next()
        })
    }
}
