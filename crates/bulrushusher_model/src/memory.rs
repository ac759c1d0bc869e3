//! Allocation of decode memory: the choice of the gateway and the admission check of the engine.

use std::collections::BTreeSet;

use bulrushusher_forward::{
    ForecastConfig, MemoryForecast, PlaceView, RunReport, RunShape, Runner, SelectionContext,
    rank_for_decode, should_request_memory,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::RngExt;

use crate::engines::QueuedPrompt;
use crate::fleet::Admission;
use crate::load::Arrival;
use crate::simulation::{Caller, CallerState, Gateway, Simulation};

impl Simulation<'_> {
    /// The decode engine that the gateway prefers among those that admit the run.
    pub(crate) fn find_memory(
        &mut self,
        n: usize,
        peers_waiting: usize,
        now: Millis,
    ) -> Option<usize> {
        let Caller { arrival, gateway, .. } = self.callers[n];
        let gateway = &self.gateways[gateway];
        let failing = self.failing_runners(gateway, now);
        let forecast = self.memory_forecast(gateway);
        let run = forecast.need(&[run_shape(&arrival)]);
        let peak = |runner: &Runner| {
            let current = gateway.runs.need_at(&runner.id, &forecast, now);
            match self.fleet.admission {
                Admission::Reserve { .. } => Some(current.runs as f64),
                Admission::Forecast(_) => forecast.peak_if_it_fits(&current, &run),
            }
        };
        let draw = self.rng.random();
        let ranked = rank_for_decode(self.selection_context(&failing, now), &[], draw, peak);
        if !should_request_memory(self.rng.random(), peers_waiting, ranked.len()) {
            return None;
        }
        let engines =
            ranked.iter().filter_map(|r| self.runner_ids.iter().position(|id| *id == r.id));
        let engines: Vec<usize> = engines.collect();
        engines.into_iter().find(|decode| self.admits(*decode, &arrival))
    }

    /// The runners and loads among which a gateway selects.
    pub(crate) fn selection_context<'b>(
        &'b self,
        failing: &'b BTreeSet<RunnerId>,
        now: Millis,
    ) -> SelectionContext<'b> {
        SelectionContext {
            places: PlaceView::ANYWHERE,
            version: None,
            members: &self.runners,
            loads: &self.loads,
            service: &self.service,
            runs: None,
            failing: Some(failing),
            pressure: None,
            now,
        }
    }

    /// The memory forecast of a gateway, from its observed lengths and speed.
    pub(crate) fn memory_forecast(&self, gateway: &Gateway) -> MemoryForecast {
        let cfg = match self.fleet.admission {
            Admission::Reserve { .. } => ForecastConfig::default(),
            Admission::Forecast(cfg) => cfg,
        };
        MemoryForecast {
            lengths: gateway.timing.lengths(),
            tokens_per_ms: gateway.timing.tokens_per_ms(),
            memory: self.fleet.engine.memory_tokens,
            cfg,
        }
    }

    /// Engines that a gateway avoids because runs fail there.
    pub(crate) fn failing_runners(&self, gateway: &Gateway, now: Millis) -> BTreeSet<RunnerId> {
        if !self.fleet.avoids_failing {
            return BTreeSet::new();
        }
        let at_peers = gateway.runs.failures_at_peers(now);
        let fails = |id: &&RunnerId| gateway.health.is_failing(id, at_peers.get(id), now);
        self.runner_ids.iter().filter(fails).cloned().collect()
    }

    /// Whether the engine admits the run: its reservations, or their actual use where that is
    /// larger, and the new reservation must fit into its memory.
    fn admits(&self, decode: usize, arrival: &Arrival) -> bool {
        let engine = &self.decodes[decode];
        let reserved: f64 = self.reservations[decode]
            .iter()
            .map(|(owner, tokens)| {
                let run = engine.runs.iter().find(|run| run.caller == *owner);
                run.map_or(*tokens, |run| tokens.max(run.prompt + run.generated))
            })
            .sum();
        reserved + self.tokens_reserved(arrival) <= self.fleet.engine.memory_tokens
    }

    fn tokens_reserved(&self, arrival: &Arrival) -> f64 {
        match self.fleet.admission {
            Admission::Reserve { times } => {
                arrival.prompt + (arrival.expected * times).min(arrival.max_output)
            }
            Admission::Forecast(_) => arrival.prompt,
        }
    }

    /// Reserves memory at a decode engine and enqueues the prompt at the shortest prefill queue.
    pub(crate) fn reserve(&mut self, n: usize, decode: usize) {
        let Caller { arrival, gateway, .. } = self.callers[n];
        let reserved = self.tokens_reserved(&arrival);
        self.reservations[decode].push((n, reserved));
        let report = RunReport::new(self.runner_ids[decode].clone(), run_shape(&arrival));
        let run = self.gateways[gateway].runs.add(report);
        self.callers[n].state = CallerState::Prefilling { decode, run };
        let shortest =
            self.prefills.iter_mut().min_by(|a, b| a.queued_tokens().total_cmp(&b.queued_tokens()));
        if let Some(prefill) = shortest {
            prefill.queue.push(QueuedPrompt { caller: n, remaining_tokens: arrival.prompt });
        }
    }
}

fn run_shape(arrival: &Arrival) -> RunShape {
    let Arrival { prompt, expected, max_output, .. } = *arrival;
    RunShape { prompt, generated: 0.0, expected, max_output }
}
