//! Forecasts of memory at decode runners, and prompts at prefill runners, over all gateways.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_accounts::UsageReport;
use bulrushusher_forward::{
    DecodeLoad, DeltaOutcome, GatewayDelta, GatewayReport, MemoryForecast, PeerPrefills,
    PrefillTask, RunNumber, RunReport, RunShape, Runner, SoftwareVersion, Stage, WaitQueue,
    rank_for_decode, should_request_memory,
};
use bulrushusher_world::{RunnerId, ServiceName};

use super::SharedState;
use crate::runners::destination::Destination;

/// The inputs of a memory forecast, for the log: the number of decode runners, the lowest forecast
/// peak among them in tokens, the highest peak that is allowed in tokens, and the number of live
/// peers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ForecastSummary {
    pub runners: usize,
    pub lowest: u64,
    pub room: u64,
    pub peers: usize,
}

/// The runners that could prefill a prompt in time for a run that is placed now.
#[derive(Clone, Copy, Debug)]
pub(crate) enum PrefillOptions {
    /// A prefill runner, and the decode runners without one of their version for which the task permits
    /// it.
    Any(PrefillTask),
    /// Only decode runners for which the task permits it.
    Decode(PrefillTask),
}

impl SharedState {
    /// Decode runners that are forecast to have room for the run, in the order in which to request
    /// memory from them. Those for which no prefill runner can prefill the prompt in time, or none of
    /// their version, are left out unless they may prefill it themselves.
    pub(crate) fn rank_for_decode(
        &self,
        to: &Destination,
        tried: &[RunnerId],
        run: RunShape,
        options: PrefillOptions,
    ) -> Vec<Runner> {
        let draw = self.draw();
        let service = &to.service;
        let forecast = self.forecast(service);
        let run = forecast.need(&[run]);
        self.with_candidates(to, |cx, runs| {
            let is_prefill = |r: &&Runner| r.stage == Some(Stage::Prefill);
            let prefills = cx.members.usable(service, cx.now).filter(is_prefill);
            let versions: BTreeSet<&SoftwareVersion> = prefills.map(|r| &r.version).collect();
            let own_prefill = |runner: &Runner| match &options {
                PrefillOptions::Any(_) if versions.contains(&runner.version) => None,
                PrefillOptions::Any(task) | PrefillOptions::Decode(task) => Some(*task),
            };
            let peak = |runner: &Runner| {
                let load = runs.need_at(&runner.id, &forecast, cx.now);
                let peak = forecast.peak_if_it_fits(&load, &run)?;
                let may_prefill = |prompt: &PrefillTask| {
                    prompt.decode_may_prefill(DecodeLoad {
                        prefilling_tokens: runs.decode_prefill_tokens(&runner.id, cx.now),
                        runs: load.runs,
                        fullness: forecast.fullness(peak),
                        prefill_factor: self.prefill_factor(service, &runner.id),
                    })
                };
                own_prefill(runner).as_ref().is_none_or(may_prefill).then_some(peak)
            };
            rank_for_decode(cx, tried, draw, peak)
        })
    }

    /// Summarises why a run got no memory.
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

    /// The forecast parameters of a service: output lengths, speed and memory of its runners.
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

    /// Adds a run for which memory is reserved.
    pub(crate) fn add_run(&self, report: RunReport) -> RunNumber {
        self.report_due.notify_one();
        self.runs.lock().add(report)
    }

    /// Records that a run has started or has generated `made` tokens. Peers extrapolate the growth
    /// of a run, so no report is due.
    pub(crate) fn record_run_progress(&self, run: RunNumber, made: u64) {
        self.runs.lock().progress(run, made);
    }

    /// Records that a run is not generating tokens at present, and reports it to the peers.
    pub(crate) fn record_run_stall(&self, run: RunNumber) {
        self.runs.lock().stall(run);
        self.report_due.notify_one();
    }

    /// Removes a run that has ended.
    pub(crate) fn end_run(&self, run: RunNumber) {
        self.runs.lock().end(run);
        self.report_due.notify_one();
    }

    /// Sets the runners of a service that are switching stage, and reports a change to the peers.
    pub(crate) fn set_switching(&self, service: &ServiceName, runners: Vec<RunnerId>) {
        let old = self.switching.lock().insert(service.clone(), runners.clone());
        if old.unwrap_or_default() != runners {
            self.report_due.notify_one();
        }
    }

    /// Merges the full report of a peer.
    pub(crate) fn merge_report(&self, peer: &str, mut report: GatewayReport) {
        let now = self.now();
        let (incarnation, usage) = (report.incarnation, std::mem::take(&mut report.spends));
        let (demand, limits) = (report.demand, std::mem::take(&mut report.limits));
        let leaving = std::mem::take(&mut report.leaving);
        let speeds = std::mem::take(&mut report.speeds);
        let prefills = PeerPrefills::take(&mut report);
        let calls = std::mem::take(&mut report.calls);
        // A report that was requested for its calls only has the sequence number of the last delta.
        let latest = (incarnation, report.sequence);
        let is_repeated = self.runs.lock().latest_report(peer) == Some(latest);
        let is_applied = self.runs.lock().apply_report(peer, report, now);
        if let Some(calls) = calls.filter(|_| is_applied || is_repeated) {
            self.merge_calls(peer, incarnation, calls);
        }
        if is_applied {
            self.merge_speeds(peer, speeds);
            self.merge_limits(peer, demand, &limits);
            self.merge_drain_reports(peer, &leaving);
            self.prefill_ends.lock().merge(peer, prefills, now);
            self.merge_usage(peer, incarnation, &usage, true);
        }
    }

    /// Applies the delta report of a peer.
    pub(crate) fn apply_delta(&self, peer: &str, mut delta: GatewayDelta) -> DeltaOutcome {
        let now = self.now();
        let report = &mut delta.report;
        let (incarnation, usage) = (report.incarnation, std::mem::take(&mut report.spends));
        let (demand, limits) = (report.demand, std::mem::take(&mut report.limits));
        let leaving = std::mem::take(&mut report.leaving);
        let prefills = PeerPrefills::take(report);
        let outcome = self.runs.lock().apply_delta(peer, delta, now);
        if outcome != DeltaOutcome::Stale {
            self.merge_limits(peer, demand, &limits);
            self.merge_drain_reports(peer, &leaving);
            self.prefill_ends.lock().merge(peer, prefills, now);
            self.merge_usage(peer, incarnation, &usage, false);
        }
        outcome
    }

    /// True while a peer has a queued generation that can still be on time.
    pub(crate) fn peers_have_on_time_waiting(&self) -> bool {
        let now = self.now();
        self.runs.lock().peers_have_on_time_waiting(now)
    }

    /// True if this gateway may request memory from one of `open` runners now. Gateways with queued
    /// requests take turns.
    pub(crate) fn may_request_memory(&self, open: usize) -> bool {
        let now = self.now();
        let peers = self.runs.lock().peers_with_waiting(now);
        should_request_memory(self.draw(), peers, open)
    }

    /// Queued generations of this gateway: those that can still be on time, and those that are
    /// late.
    fn waiting_counts(&self) -> (u32, u32) {
        let queues = self.queues.lock();
        let all: usize = queues.values().map(WaitQueue::len).sum();
        let on_time: usize = queues.values().map(WaitQueue::on_time).sum();
        (on_time as u32, (all - on_time) as u32)
    }

    /// Builds the next report to the peers, without the calls, which only full reports contain.
    pub(crate) fn report(&self, incarnation: u64, sequence: u64) -> GatewayReport {
        let (prefill_tokens, silent) = self.with_runners(|runners, now| {
            (runners.loads.queued_prompts(), runners.loads.unreachable(now))
        });
        let (waiting, waiting_late) = self.waiting_counts();
        let switching: Vec<RunnerId> = self.switching.lock().values().flatten().cloned().collect();
        let failing = self.failure_reports();
        let limits = self.limit_reports();
        let leaving = self.with_runners(|runners, now| runners.directory.drain_reports(now));
        let prefill_ends = self.prefill_end_report();
        let runs = self.runs.lock();
        let starts = BTreeMap::new();
        let own = runs.own().cloned().collect();
        let mut report = GatewayReport {
            incarnation,
            sequence,
            waiting,
            waiting_late,
            demand: self.report_demand(),
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
            speeds: Vec::new(),
            prefill_ends,
            calls: None,
        };
        report.add_starts(runs.starts());
        report
    }

    /// Prompt tokens queued at a prefill runner, over all gateways.
    pub(crate) fn queued_prefill_tokens(&self, runner: &RunnerId) -> u64 {
        self.with_runners(|runners, now| {
            runners.loads.queued_prompt_tokens(runner)
                + self.runs.lock().prefill_tokens_of_peers(runner, now)
        })
    }

    /// Tokens in one stream event of the service's engine.
    pub(crate) fn tokens_per_event(&self, service: &ServiceName) -> u64 {
        self.engine(service).map_or(1, |engine| engine.tokens_per_event)
    }

    /// Load of a decode runner apart from one run of this gateway, over all gateways: prompts that
    /// the runner prefills itself, and other runs.
    pub(crate) fn decode_load(&self, service: &ServiceName, runner: &RunnerId) -> DecodeLoad {
        let now = self.now();
        let forecast = self.forecast(service);
        let runs = self.runs.lock();
        let load = runs.need_at(runner, &forecast, now);
        DecodeLoad {
            prefilling_tokens: runs.decode_prefill_tokens(runner, now),
            runs: load.runs.saturating_sub(1),
            fullness: forecast.fullness(forecast.peak(&load)),
            prefill_factor: self.prefill_factor(service, runner),
        }
    }

    /// Records that the decode runner of a run prefills the prompt itself.
    pub(crate) fn mark_run_prefills_itself(&self, run: RunNumber) {
        self.runs.lock().mark_prefills_itself(run);
        self.report_due.notify_one();
    }
}
