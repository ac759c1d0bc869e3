//! What is known of memory at decode runners and of prompts at prefill runners, over all gateways.

use std::collections::BTreeMap;

use bulrushusher_accounts::UsageReport;
use bulrushusher_forward::{
    DecodeLoad, DeltaOutcome, GatewayDelta, GatewayReport, MemoryForecast, PrefillTask, RunNumber,
    RunReport, RunShape, Runner, Stage, WaitQueue, rank_for_decode, should_request_memory,
};
use bulrushusher_world::{RunnerId, ServiceName};

use super::Knowledge;

/// What a forecast rests on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastSummary {
    pub runners: usize,
    pub lowest: u64,
    pub room: u64,
    pub peers: usize,
}

impl Knowledge {
    /// Decode runners with room for the run, as far as can be forecast, in the order in which to
    /// ask them for memory. Where no prefill runner can read the prompt in time, `reads_itself`
    /// leaves those that may read it.
    pub(crate) fn rank_for_decode(
        &self,
        service: &ServiceName,
        tried: &[RunnerId],
        run: RunShape,
        prefills_itself: Option<PrefillTask>,
    ) -> Vec<Runner> {
        let draw = self.draw();
        let forecast = self.forecast(service);
        let run = forecast.need(&[run]);
        self.with_candidates(service, |cx, runs| {
            let peak = |runner: &Runner| {
                let load = runs.need_at(&runner.id, &forecast, cx.now);
                let peak = forecast.peak_if_it_fits(&load, &run)?;
                let may_prefill = |prompt: &PrefillTask| {
                    prompt.decode_may_prefill(DecodeLoad {
                        prefilling_tokens: runs.self_prefill_tokens(&runner.id, cx.now),
                        runs: load.runs,
                        fullness: forecast.fullness(peak),
                    })
                };
                prefills_itself.as_ref().is_none_or(may_prefill).then_some(peak)
            };
            rank_for_decode(cx, tried, draw, peak)
        })
    }

    /// What decided that a run got no memory, for the log: the lowest forecast among the decode
    /// runners, what may be forecast at most, how many runners and peers that rests on.
    pub(crate) fn forecast_summary(&self, service: &ServiceName, run: RunShape) -> ForecastSummary {
        let forecast = self.forecast(service);
        let run = forecast.need(&[run]);
        self.with_runners(|runners, now| {
            let runs = self.runs.lock();
            let peak = |runner: &Runner| {
                let load = runs.need_at(&runner.id, &forecast, now);
                forecast.peak(&load.with(&run)) as u64
            };
            let usable = runners.directory.usable(service, now);
            let peaks: Vec<u64> =
                usable.filter(|r| r.stage == Some(Stage::Decode)).map(peak).collect();
            ForecastSummary {
                runners: peaks.len(),
                lowest: peaks.iter().copied().min().unwrap_or(0),
                room: forecast.room() as u64,
                peers: runs.peer_count(now),
            }
        })
    }

    /// What a forecast of a runner's memory rests on, beside its runs.
    pub(super) fn forecast(&self, service: &ServiceName) -> MemoryForecast {
        let engine = self.engine(service);
        let memory = engine.map_or(f64::INFINITY, |engine| engine.memory_tokens as f64);
        let settings = self.cfg.load();
        let mut cfg = settings.forecast;
        if engine.is_some_and(|engine| engine.can_move_runs) {
            cfg.caution = settings.caution_with_moves;
        }
        self.with_timing(service, |timing| MemoryForecast {
            lengths: timing.lengths(),
            tokens_per_ms: timing.tokens_per_ms(),
            memory,
            cfg,
        })
    }

    /// Memory for a run is held.
    pub(crate) fn add_run(&self, report: RunReport) -> RunNumber {
        self.report_due.notify_one();
        self.runs.lock().add(report)
    }

    /// A run has begun, or has made that many tokens; peers reckon its growth themselves.
    pub(crate) fn record_run_progress(&self, run: RunNumber, made: u64) {
        self.runs.lock().progress(run, made);
    }

    /// A run makes nothing at present; peers are told.
    pub(crate) fn record_run_stall(&self, run: RunNumber) {
        self.runs.lock().stall(run);
        self.report_due.notify_one();
    }

    /// A run is over.
    pub(crate) fn end_run(&self, run: RunNumber) {
        self.runs.lock().end(run);
        self.report_due.notify_one();
    }

    /// Runners of a service whose stage changes, as far as this gateway knows; peers are told.
    pub(crate) fn set_switching(&self, service: &ServiceName, runners: Vec<RunnerId>) {
        let old = self.switching.lock().insert(service.clone(), runners.clone());
        if old.unwrap_or_default() != runners {
            self.report_due.notify_one();
        }
    }

    /// Takes in a peer's report.
    pub(crate) fn merge_report(&self, peer: &str, mut report: GatewayReport) {
        let now = self.now();
        let (incarnation, usage) = (report.incarnation, std::mem::take(&mut report.spends));
        let limits = std::mem::take(&mut report.limits);
        let leaving = std::mem::take(&mut report.leaving);
        if self.runs.lock().apply_report(peer, report, now) {
            self.merge_limits(peer, &limits);
            self.merge_drain_reports(peer, &leaving);
            self.merge_usage(peer, incarnation, &usage, true);
        }
    }

    /// Takes in what changed at a peer.
    pub(crate) fn apply_delta(&self, peer: &str, mut delta: GatewayDelta) -> DeltaOutcome {
        let now = self.now();
        let report = &mut delta.report;
        let (incarnation, usage) = (report.incarnation, std::mem::take(&mut report.spends));
        let limits = std::mem::take(&mut report.limits);
        let leaving = std::mem::take(&mut report.leaving);
        let outcome = self.runs.lock().apply_delta(peer, delta, now);
        if outcome != DeltaOutcome::Stale {
            self.merge_limits(peer, &limits);
            self.merge_drain_reports(peer, &leaving);
            self.merge_usage(peer, incarnation, &usage, false);
        }
        outcome
    }

    /// True while a peer has a generation in line that can still be on time.
    pub(crate) fn peers_have_on_time_waiting(&self) -> bool {
        let now = self.now();
        self.runs.lock().peers_have_on_time_waiting(now)
    }

    /// True when this gateway may ask one of `open` runners for memory now, with regard to peers
    /// that wait for it too.
    pub(crate) fn may_request_memory(&self, open: usize) -> bool {
        let now = self.now();
        let peers = self.runs.lock().peers_with_waiting(now);
        should_request_memory(self.draw(), peers, open)
    }

    /// Generations that wait here: those that can still be on time, and the late ones.
    fn waiting_counts(&self) -> (u32, u32) {
        let queues = self.queues.lock();
        let all: usize = queues.values().map(WaitQueue::len).sum();
        let on_time: usize = queues.values().map(WaitQueue::on_time).sum();
        (on_time as u32, (all - on_time) as u32)
    }

    /// What peers are told.
    pub(crate) fn report(&self, incarnation: u64, sequence: u64) -> GatewayReport {
        let (prefill_tokens, silent) = self.with_runners(|runners, now| {
            (runners.loads.queued_prompts(), runners.loads.unreachable(now))
        });
        let (waiting, waiting_late) = self.waiting_counts();
        let switching: Vec<RunnerId> = self.switching.lock().values().flatten().cloned().collect();
        let failing = self.failure_reports();
        let limits = self.limit_reports();
        let leaving = self.with_runners(|runners, now| runners.directory.drain_reports(now));
        let runs = self.runs.lock();
        let starts = BTreeMap::new();
        let own = runs.own().cloned().collect();
        let mut report = GatewayReport {
            incarnation,
            sequence,
            waiting,
            waiting_late,
            runs: own,
            prefill_tokens,
            switching_stage: switching,
            failing,
            silent,
            starts,
            seen_revisions: self.own_revisions(),
            contact: self.contact(),
            spends: UsageReport::default(),
            limits,
            leaving,
        };
        report.add_starts(runs.starts());
        report
    }

    /// Prompt tokens that wait at a prefill runner, over all gateways.
    pub(crate) fn queued_prefill_tokens(&self, runner: &RunnerId) -> u64 {
        self.with_runners(|runners, now| {
            runners.loads.queued_prompt_tokens(runner)
                + self.runs.lock().prefill_tokens_of_peers(runner, now)
        })
    }

    /// Tokens in one event of the service's engine.
    pub(crate) fn tokens_per_event(&self, service: &ServiceName) -> u64 {
        self.engine(service).map_or(1, |engine| engine.tokens_per_event)
    }

    /// What a decode runner does beside one run of this gateway's, over all gateways: prompts that
    /// it reads itself, and other runs.
    pub(crate) fn decode_load(&self, service: &ServiceName, runner: &RunnerId) -> DecodeLoad {
        let now = self.now();
        let forecast = self.forecast(service);
        let runs = self.runs.lock();
        let load = runs.need_at(runner, &forecast, now);
        DecodeLoad {
            prefilling_tokens: runs.self_prefill_tokens(runner, now),
            runs: load.runs.saturating_sub(1),
            fullness: forecast.fullness(forecast.peak(&load)),
        }
    }

    /// The runner of a run reads its prompt itself.
    pub(crate) fn mark_run_prefills_itself(&self, run: RunNumber) {
        self.runs.lock().mark_prefills_itself(run);
        self.report_due.notify_one();
    }
}
