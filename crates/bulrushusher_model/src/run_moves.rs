//! Moves runs to another decode engine before memory runs out.

use bulrushusher_forward::{RunReport, pick_for_move};
use bulrushusher_time::Millis;
use rand::RngExt;

use crate::engines::Run;
use crate::simulation::{CallerState, Simulation};

impl Simulation<'_> {
    /// Lets each gateway move those of its runs that are due to move. A move takes less than a
    /// step.
    pub(crate) fn move_runs(&mut self, now: Millis) {
        for decode in 0..self.decodes.len() {
            let callers: Vec<usize> = self.decodes[decode].runs.iter().map(|r| r.caller).collect();
            for caller in callers {
                if let Some(to) = self.move_target(caller, now) {
                    self.move_run(caller, decode, to);
                }
            }
        }
    }

    /// The engine to which a caller's run should move, if it should.
    fn move_target(&mut self, caller: usize, now: Millis) -> Option<usize> {
        let CallerState::Running { run, .. } = self.callers[caller].state else { return None };
        let gateway = &self.gateways[self.callers[caller].gateway];
        let forecast = self.memory_forecast(gateway);
        let pace = self.speeds.pace(&gateway.runs.get(run)?.runner);
        let report = gateway.runs.run_due_to_move(run, &forecast, pace, now)?;
        let failing = self.failing_runners(gateway, now);
        let draw = self.rng.random();
        let candidates = self.selection_context(&failing, now);
        let best = pick_for_move(candidates, &gateway.runs, &forecast, report, draw)?;
        self.runner_ids.iter().position(|id| *id == best.id)
    }

    /// Moves a run if the other engine has enough free memory.
    fn move_run(&mut self, caller: usize, from: usize, to: usize) {
        let is_moved = |run: &Run| run.caller == caller;
        let Some(at) = self.decodes[from].runs.iter().position(is_moved) else { return };
        let size = self.decodes[from].runs[at].prompt + self.decodes[from].runs[at].generated;
        if self.decodes[to].used() + size > self.fleet.engine.memory_tokens {
            return;
        }
        let run = self.decodes[from].runs.remove(at);
        self.next_order += 1;
        self.decodes[to].runs.push(Run { order: self.next_order, ..run });
        self.reservations[from].retain(|(owner, _)| *owner != caller);
        self.reservations[to].push((caller, size));
        self.outcome.moved += 1;
        let gateway = self.callers[caller].gateway;
        let runs = &mut self.gateways[gateway].runs;
        if let CallerState::Running { run: old, .. } = self.callers[caller].state
            && let Some(report) = runs.end(old)
        {
            let generated = report.generated;
            let new = runs.add(RunReport {
                runner: self.runner_ids[to].clone(),
                generated_at_join: generated,
                ..report
            });
            runs.progress(new, generated);
            self.callers[caller].state = CallerState::Running { decode: to, run: new };
        }
    }
}
