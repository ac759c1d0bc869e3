//! Memory for a run: which engine a gateway asks, and what the engine says.

use std::collections::BTreeSet;

use bulrushusher_forward::{
    ForecastConfig, MemoryForecast, RunReport, RunShape, Runner, SelectionContext, rank_for_decode,
    should_request_memory,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::RngExt;

use crate::engines::Reading;
use crate::fleet::Admission;
use crate::load::Arrival;
use crate::play::{Caller, Gateway, Played, State};

impl Played<'_> {
    /// The decode engine that the run may go to, if its own word agrees.
    pub(crate) fn find_memory(&mut self, n: usize, others: usize, now: Millis) -> Option<usize> {
        let Caller { arrival, gateway, .. } = self.callers[n];
        let gateway = &self.gateways[gateway];
        let failing = self.failing(gateway, now);
        let forecast = self.forecast_of(gateway);
        let run = forecast.need(&[shape(&arrival)]);
        let peak = |runner: &Runner| {
            let there = gateway.runs.need_at(&runner.id, &forecast, now);
            match self.fleet.admission {
                Admission::Hold { .. } => Some(there.runs as f64),
                Admission::Forecast(_) => forecast.peak_if_it_fits(&there, &run),
            }
        };
        let draw = self.rng.random();
        let ranked = rank_for_decode(self.candidate(&failing, now), &[], draw, peak);
        if !should_request_memory(self.rng.random(), others, ranked.len()) {
            return None;
        }
        let places = ranked.iter().filter_map(|r| self.ids.iter().position(|id| *id == r.id));
        let places: Vec<usize> = places.collect();
        places.into_iter().find(|decode| self.has_room(*decode, &arrival))
    }

    /// The engines that a choice looks at.
    pub(crate) fn candidate<'b>(
        &'b self,
        failing: &'b BTreeSet<RunnerId>,
        now: Millis,
    ) -> SelectionContext<'b> {
        SelectionContext {
            members: &self.members,
            loads: &self.loads,
            service: &self.service,
            runs: None,
            failing: Some(failing),
            pressure: None,
            now,
        }
    }

    /// What a gateway's forecasts rest on.
    pub(crate) fn forecast_of(&self, gateway: &Gateway) -> MemoryForecast {
        let cfg = match self.fleet.admission {
            Admission::Hold { .. } => ForecastConfig::default(),
            Admission::Forecast(cfg) => cfg,
        };
        MemoryForecast {
            lengths: gateway.pace.lengths(),
            tokens_per_ms: gateway.pace.tokens_per_ms(),
            memory: self.fleet.figures.memory_tokens,
            cfg,
        }
    }

    /// Engines that a gateway passes over.
    pub(crate) fn failing(&self, gateway: &Gateway, now: Millis) -> BTreeSet<RunnerId> {
        if !self.fleet.heeds_failures {
            return BTreeSet::new();
        }
        let at_peers = gateway.runs.failures_at_peers(now);
        let fails = |id: &&RunnerId| gateway.health.is_failing(id, at_peers.get(id), now);
        self.ids.iter().filter(fails).cloned().collect()
    }

    /// The engine's own word: what is used or held, whichever is more, and the new hold fit.
    fn has_room(&self, decode: usize, arrival: &Arrival) -> bool {
        let engine = &self.decodes[decode];
        let taken: f64 = self.held[decode]
            .iter()
            .map(|(of, tokens)| {
                let run = engine.runs.iter().find(|run| run.caller == *of);
                run.map_or(*tokens, |run| tokens.max(run.prompt + run.made))
            })
            .sum();
        taken + self.tokens_held(arrival) <= self.fleet.figures.memory_tokens
    }

    fn tokens_held(&self, arrival: &Arrival) -> f64 {
        match self.fleet.admission {
            Admission::Hold { times } => {
                arrival.prompt + (arrival.expected * times).min(arrival.most)
            }
            Admission::Forecast(_) => arrival.prompt,
        }
    }

    pub(crate) fn hold(&mut self, n: usize, decode: usize) {
        let Caller { arrival, gateway, .. } = self.callers[n];
        let held = self.tokens_held(&arrival);
        self.held[decode].push((n, held));
        let note = RunReport::new(self.ids[decode].clone(), shape(&arrival));
        let run = self.gateways[gateway].runs.add(note);
        self.callers[n].state = State::Read { decode, run };
        let shortest = self.prefills.iter_mut().min_by(|a, b| a.waiting().total_cmp(&b.waiting()));
        if let Some(prefill) = shortest {
            prefill.line.push(Reading { caller: n, tokens_left: arrival.prompt });
        }
    }
}

fn shape(arrival: &Arrival) -> RunShape {
    let Arrival { prompt, expected, most, .. } = *arrival;
    RunShape { prompt, generated: 0.0, expected, max_output: most }
}
