//! Runs that move to another decode engine before memory runs out.

use bulrushusher_forward::{RunReport, pick_for_move};
use bulrushusher_time::Millis;
use rand::RngExt;

use crate::engines::Run;
use crate::play::{Played, State};

impl Played<'_> {
    /// Each gateway moves those of its runs that are due to; a move takes less than a step.
    pub(crate) fn move_runs(&mut self, now: Millis) {
        for decode in 0..self.decodes.len() {
            let callers: Vec<usize> = self.decodes[decode].runs.iter().map(|r| r.caller).collect();
            for caller in callers {
                if let Some(to) = self.moves_to(caller, now) {
                    self.move_run(caller, decode, to);
                }
            }
        }
    }

    /// The engine that a caller's run should move to.
    fn moves_to(&mut self, caller: usize, now: Millis) -> Option<usize> {
        let State::Running { run, .. } = self.callers[caller].state else { return None };
        let gateway = &self.gateways[self.callers[caller].gateway];
        let forecast = self.forecast_of(gateway);
        let note = gateway.runs.run_due_to_move(run, &forecast, now)?;
        let failing = self.failing(gateway, now);
        let draw = self.rng.random();
        let candidate = self.candidate(&failing, now);
        let best = pick_for_move(candidate, &gateway.runs, &forecast, note, draw)?;
        self.ids.iter().position(|id| *id == best.id)
    }

    /// Moves a run if the other engine has room for it.
    fn move_run(&mut self, caller: usize, from: usize, to: usize) {
        let moves = |run: &Run| run.caller == caller;
        let Some(at) = self.decodes[from].runs.iter().position(moves) else { return };
        let size = self.decodes[from].runs[at].prompt + self.decodes[from].runs[at].made;
        if self.decodes[to].used() + size > self.fleet.figures.memory_tokens {
            return;
        }
        let run = self.decodes[from].runs.remove(at);
        self.next_order += 1;
        self.decodes[to].runs.push(Run { order: self.next_order, ..run });
        self.held[from].retain(|(of, _)| *of != caller);
        self.held[to].push((caller, size));
        self.outcome.moved += 1;
        let gateway = self.callers[caller].gateway;
        let runs = &mut self.gateways[gateway].runs;
        if let State::Running { run: old, .. } = self.callers[caller].state
            && let Some(note) = runs.end(old)
        {
            let made = note.generated;
            let new = runs.add(RunReport {
                runner: self.ids[to].clone(),
                generated_at_join: made,
                ..note
            });
            runs.progress(new, made);
            self.callers[caller].state = State::Running { decode: to, run: new };
        }
    }
}
