//! Simulates callers on gateways and engines, with the router's own decision types.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use bulrushusher_forward::{
    AccountCost, GatewayDelta, GatewayReport, HealthConfig, LoadConfig, PeersConfig, QueueRank,
    RunNumber, Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerHealth, RunnerLoads,
    RunnerSpeeds, RunnerSpeedsConfig, Runs, Stage, TimingConfig, TimingModel, WaitQueue,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engines::{DecodeEngine, PrefillEngine, Run};
use crate::fleet::Fleet;
use crate::load::Arrival;
use crate::outcome::{DATA_CENTRES, Outcome};

/// Duration of a simulation step.
const STEP: Millis = Millis(5);

/// Interval at which a queued request retries to reserve memory: that of a gateway, in whole steps.
const MEMORY_RETRY_INTERVAL: Millis = Millis(10);

/// Target for the time from the first attempt to the first event.
pub(crate) const TTFT_TARGET: Millis = Millis(900);
/// Target for the gap between two events.
const GAP_TARGET: Millis = Millis(300);
/// Time from the first attempt to the deadline of a caller.
const CALLER_TIMEOUT: Millis = Millis(14_000);

/// Index of the decode engine that fails runs, if the fleet has one.
const FAILING_ENGINE: usize = 1;
/// Index of the decode engine that is slow, if the fleet has one.
const SLOW_ENGINE: usize = 2;
/// One in this number of decode engines is faster than the others, if some are.
const FAST_EVERY: usize = 4;

/// State of a caller.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallerState {
    /// Before the first attempt or a retry.
    Away {
        until: Millis,
    },
    /// In a gateway's wait queue.
    Queued {
        rank: QueueRank,
        until: Millis,
        retry_at: Millis,
    },
    Prefilling {
        decode: usize,
        run: RunNumber,
    },
    Running {
        decode: usize,
        run: RunNumber,
    },
    Ended,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub arrival: Arrival,
    pub gateway: usize,
    pub state: CallerState,
    refusals: u32,
    first_event: Option<Millis>,
    preempted: bool,
}

pub(crate) struct Gateway {
    queue: WaitQueue,
    pub runs: Runs,
    pub timing: TimingModel,
    pub health: RunnerHealth,
    /// Sequence number of the last report.
    reports_sent: u64,
    /// The last report.
    last_report: GatewayReport,
}

pub(crate) struct Simulation<'a> {
    pub fleet: &'a Fleet,
    pub service: ServiceName,
    pub runners: RunnerDirectory,
    pub loads: RunnerLoads,
    /// Ids of the decode engines, by index.
    pub runner_ids: Vec<RunnerId>,
    pub gateways: Vec<Gateway>,
    pub prefills: Vec<PrefillEngine>,
    pub decodes: Vec<DecodeEngine>,
    /// Generation rates of the decode engines, which all gateways learn within seconds.
    pub speeds: RunnerSpeeds,
    /// Reservations of each decode engine: caller and tokens.
    pub reservations: Vec<Vec<(usize, f64)>>,
    pub callers: Vec<Caller>,
    pub next_order: u64,
    pub rng: ChaCha8Rng,
    /// Reports in flight, oldest first.
    reports: VecDeque<InFlightReport>,
    pub outcome: Outcome,
}

/// A report in flight to all other gateways.
struct InFlightReport {
    sent_at: Millis,
    from: usize,
    message: Message,
}

/// A full report, or what changed since the report before it.
#[derive(Clone)]
enum Message {
    Full(GatewayReport),
    Delta(GatewayDelta),
}

/// Number of reports between two full ones of a gateway that sends deltas: they are a second apart.
const DELTAS_PER_FULL_REPORT: u64 = 1_000 / STEP.0;

/// Simulates the callers until all are served, refused, failed or disconnected.
pub fn simulate(fleet: &Fleet, callers: &[Arrival], seed: u64) -> Outcome {
    let mut simulation = Simulation::new(fleet, callers, seed);
    let last = callers.iter().map(|caller| caller.at).max().unwrap_or_default();
    let end = last.plus(CALLER_TIMEOUT).plus(CALLER_TIMEOUT);
    let mut now = Millis(0);
    while now < end {
        now = now.plus(STEP);
        simulation.step(now);
    }
    simulation.finish()
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, arrivals: &[Arrival], seed: u64) -> Simulation<'a> {
        let service: ServiceName = "llm".try_into().expect("the name is valid");
        let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
        let mut runner_ids = Vec::new();
        for n in 0..fleet.decodes {
            let runner = runner(&service, n);
            runner_ids.push(runner.id.clone());
            runners.put(runner, Millis(0));
        }
        let gateway = || Gateway {
            queue: WaitQueue::new(fleet.wait_queue),
            runs: Runs::new(PeersConfig::default()),
            timing: TimingModel::new(TimingConfig::default()),
            health: RunnerHealth::new(HealthConfig::default()),
            reports_sent: 0,
            last_report: GatewayReport::default(),
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let caller = |arrival: &Arrival| Caller {
            arrival: *arrival,
            gateway: rng.random_range(0..fleet.gateways),
            state: CallerState::Away { until: arrival.at },
            refusals: 0,
            first_event: None,
            preempted: false,
        };
        let callers: Vec<Caller> = arrivals.iter().map(caller).collect();
        Simulation {
            fleet,
            service,
            runners,
            loads: RunnerLoads::new(LoadConfig::default()),
            runner_ids,
            gateways: (0..fleet.gateways).map(|_| gateway()).collect(),
            prefills: vec![PrefillEngine::default(); fleet.prefills],
            decodes: vec![DecodeEngine::default(); fleet.decodes],
            speeds: RunnerSpeeds::new(RunnerSpeedsConfig::default()),
            reservations: vec![Vec::new(); fleet.decodes],
            outcome: Outcome { callers: callers.len(), ..Outcome::default() },
            callers,
            next_order: 0,
            reports: VecDeque::new(),
            rng,
        }
    }

    fn step(&mut self, now: Millis) {
        self.lose_engine(now);
        self.prefill(now);
        self.generate(now);
        if self.fleet.runs_move {
            self.move_runs(now);
        }
        for n in 0..self.callers.len() {
            self.advance_caller(n, now);
        }
        if self.fleet.peers_report {
            self.exchange_reports(now);
        }
        let used: f64 = self.decodes.iter().map(DecodeEngine::used).sum();
        let all = self.fleet.engine.memory_tokens * self.fleet.decodes as f64;
        if self.callers.iter().any(|c| matches!(c.state, CallerState::Queued { .. })) {
            self.outcome.memory_share_sum += used / all;
            self.outcome.steps += 1;
        }
    }

    fn lose_engine(&mut self, now: Millis) {
        if self.fleet.engine_lost_at.is_none_or(|at| now < at) || self.decodes[0].down {
            return;
        }
        self.decodes[0].down = true;
        self.runners.forget(&self.runner_ids[0].clone());
        let lost: Vec<usize> = self.decodes[0].runs.drain(..).map(|run| run.caller).collect();
        for caller in lost {
            self.release(caller);
            self.callers[caller].state = CallerState::Ended;
            self.outcome.refused += 1;
        }
    }

    fn prefill(&mut self, now: Millis) {
        let engine = self.fleet.engine;
        let done: Vec<usize> =
            self.prefills.iter_mut().flat_map(|p| p.step(&engine, STEP)).collect();
        for n in done {
            let CallerState::Prefilling { decode, run } = self.callers[n].state else {
                self.outcome.wasted_tokens += self.callers[n].arrival.prompt;
                continue;
            };
            if self.decodes[decode].down {
                self.release(n);
                self.refuse(n, now);
                continue;
            }
            let Caller { arrival, gateway, .. } = self.callers[n];
            let is_failing = decode == FAILING_ENGINE && self.fleet.failure_share > 0.0;
            if is_failing && self.rng.random::<f64>() < self.fleet.failure_share {
                self.fail(n, decode, now);
                continue;
            }
            self.next_order += 1;
            self.decodes[decode].runs.push(Run {
                caller: n,
                prompt: arrival.prompt,
                generated: 0.0,
                total: arrival.output,
                order: self.next_order,
                last_event: now,
                longest_gap: Millis(0),
            });
            self.gateways[gateway].runs.progress(run, 0);
            self.callers[n].state = CallerState::Running { decode, run };
            self.callers[n].first_event.get_or_insert(now);
        }
    }

    /// Ends a run that failed at its engine. It is not retried, as for non-idempotent requests.
    fn fail(&mut self, n: usize, decode: usize, now: Millis) {
        let gateway = self.callers[n].gateway;
        self.gateways[gateway].health.record(&self.runner_ids[decode], false, now);
        self.release(n);
        self.callers[n].state = CallerState::Ended;
        self.outcome.failed += 1;
    }

    /// Factor by which the steps of a decode engine take longer than usual.
    fn slowness(&self, decode: usize) -> f64 {
        match decode {
            SLOW_ENGINE => self.fleet.slowdown,
            _ if decode.is_multiple_of(FAST_EVERY) => 1.0 / self.fleet.speedup,
            _ => 1.0,
        }
    }

    fn generate(&mut self, now: Millis) {
        for decode in 0..self.decodes.len() {
            let engine = self.fleet.engine.slower(self.slowness(decode));
            let result = self.decodes[decode].step(&engine, now, STEP);
            for run in result.ended {
                self.end(run, decode, now);
            }
            for run in result.preempted {
                self.outcome.preempted += 1;
                self.outcome.wasted_tokens += run.prompt + run.generated;
                self.callers[run.caller].preempted = true;
                // The engine recomputes the run itself. It becomes its newest run, the first to be
                // preempted.
                self.next_order += 1;
                let readmitted = Run { order: self.next_order, ..run };
                self.readmit(decode, readmitted);
            }
            for run in &self.decodes[decode].runs {
                let caller = &self.callers[run.caller];
                if let CallerState::Running { run: number, .. } = caller.state {
                    self.gateways[caller.gateway].runs.progress(number, run.generated as u64);
                }
            }
        }
    }

    /// Readmits a preempted run if its engine has enough free memory, else counts it as late. The
    /// time of the recomputation is not simulated: its caller is late in either case.
    fn readmit(&mut self, decode: usize, run: Run) {
        let free = self.fleet.engine.memory_tokens - self.decodes[decode].used();
        if run.prompt + run.generated < free {
            self.decodes[decode].runs.push(run);
            return;
        }
        self.release(run.caller);
        self.callers[run.caller].state = CallerState::Ended;
        self.outcome.late += 1;
    }

    fn end(&mut self, run: Run, decode: usize, now: Millis) {
        let n = run.caller;
        let Caller { arrival, gateway, first_event, preempted, .. } = self.callers[n];
        let started = first_event.unwrap_or(Millis::MAX);
        let on_time =
            started.since(arrival.at) <= TTFT_TARGET && run.longest_gap <= GAP_TARGET && !preempted;
        match on_time {
            true => self.outcome.on_time += 1,
            false => self.outcome.late += 1,
        }
        self.outcome.on_time_by_data_centre[gateway % DATA_CENTRES] += usize::from(on_time);
        self.gateways[gateway].health.record(&self.runner_ids[decode], true, now);
        if is_large(&arrival, self.fleet) {
            self.outcome.large_served += 1;
        }
        let duration = match self.fleet.speedup > 1.0 {
            true => now.since(started),
            false => Millis((run.total * self.fleet.engine.step_ms * 1.25) as u64),
        };
        if self.fleet.uses_paces && !preempted && duration > Millis(0) {
            let pace = run.total / duration.0 as f64;
            self.speeds.record_pace(&self.runner_ids[decode], pace);
            self.speeds.evaluate(now);
        }
        let (expected, generated) = (arrival.expected as u64, run.total as u64);
        self.gateways[gateway].timing.record_generation(duration, expected, generated);
        self.release(n);
        self.callers[n].state = CallerState::Ended;
    }

    fn release(&mut self, n: usize) {
        let caller = self.callers[n];
        if let CallerState::Prefilling { decode, run } | CallerState::Running { decode, run } =
            caller.state
        {
            self.gateways[caller.gateway].runs.end(run);
            self.reservations[decode].retain(|(owner, _)| *owner != n);
        }
    }

    fn advance_caller(&mut self, n: usize, now: Millis) {
        let caller = self.callers[n];
        let has_disconnected = caller.arrival.disconnects_at.is_some_and(|at| at <= now);
        match caller.state {
            CallerState::Away { until } if until <= now => self.enqueue(n, now),
            CallerState::Queued { rank, .. } if has_disconnected => {
                self.gateways[caller.gateway].queue.leave(&rank);
                self.disconnect(n);
            }
            CallerState::Prefilling { .. } if has_disconnected => {
                self.release(n);
                self.disconnect(n);
            }
            CallerState::Queued { rank, until, retry_at } if retry_at <= now => {
                self.try_reserve(n, rank, until, now);
            }
            CallerState::Away { .. }
            | CallerState::Queued { .. }
            | CallerState::Prefilling { .. }
            | CallerState::Running { .. }
            | CallerState::Ended => {}
        }
    }

    fn disconnect(&mut self, n: usize) {
        self.callers[n].state = CallerState::Ended;
        self.outcome.disconnected += 1;
    }

    fn enqueue(&mut self, n: usize, now: Millis) {
        let late = now.since(self.callers[n].arrival.at) >= TTFT_TARGET;
        let queue = &mut self.gateways[self.callers[n].gateway].queue;
        let rank = queue.join(late, 1, AccountCost::default(), now);
        let until = now.plus(queue.max_wait(late, TTFT_TARGET));
        self.callers[n].state = CallerState::Queued { rank, until, retry_at: now };
    }

    /// Tries to reserve memory for a queued caller; refuses it when its time in the queue is over.
    fn try_reserve(&mut self, n: usize, rank: QueueRank, until: Millis, now: Millis) {
        let gateway = self.callers[n].gateway;
        let yields_to_peers =
            rank.late && self.gateways[gateway].runs.peers_have_on_time_waiting(now);
        let peers_waiting = self.gateways[gateway].runs.peers_with_waiting(now);
        if self.gateways[gateway].queue.may_request_memory(&rank)
            && !yields_to_peers
            && let Some(decode) = self.find_memory(n, peers_waiting, now)
        {
            self.gateways[gateway].queue.leave(&rank);
            self.reserve(n, decode);
            return;
        }
        if until <= now {
            self.gateways[gateway].queue.leave(&rank);
            self.refuse(n, now);
            return;
        }
        self.callers[n].state =
            CallerState::Queued { rank, until, retry_at: now.plus(MEMORY_RETRY_INTERVAL) };
    }

    /// Refuses a caller. It retries after its first refusal only.
    fn refuse(&mut self, n: usize, now: Millis) {
        let caller = &mut self.callers[n];
        caller.refusals += 1;
        if caller.refusals > 1 {
            caller.state = CallerState::Ended;
            self.outcome.refused += 1;
            self.outcome.refused_twice += 1;
            return;
        }
        let remaining = CALLER_TIMEOUT.since(now.since(caller.arrival.at));
        let retry_after = self.fleet.retry_after.retry_after(remaining, self.rng.random());
        let delay = if caller.arrival.impatient { Millis(0) } else { retry_after };
        caller.state = CallerState::Away { until: now.plus(delay) };
    }

    fn exchange_reports(&mut self, now: Millis) {
        while let Some(sent) =
            self.reports.pop_front_if(|it| now.since(it.sent_at) >= self.fleet.report_lag)
        {
            for to in (0..self.gateways.len()).filter(|to| *to != sent.from) {
                let name = format!("g{}", sent.from);
                let runs = &mut self.gateways[to].runs;
                match sent.message.clone() {
                    Message::Full(report) => drop(runs.apply_report(&name, report, now)),
                    Message::Delta(delta) => drop(runs.apply_delta(&name, delta, now)),
                }
            }
        }
        for from in 0..self.gateways.len() {
            self.gateways[from].reports_sent += 1;
            let sender = &self.gateways[from];
            let report = GatewayReport {
                incarnation: 1,
                sequence: sender.reports_sent,
                waiting: sender.queue.on_time() as u32,
                waiting_late: (sender.queue.len() - sender.queue.on_time()) as u32,
                runs: sender.runs.own().cloned().collect(),
                failing: sender.health.reports(&BTreeSet::new(), now),
                ..GatewayReport::default()
            };
            let message = self.next_message(from, report);
            self.reports.push_back(InFlightReport { sent_at: now, from, message });
        }
    }

    /// The message for a report: a delta, or a full report if one is due.
    fn next_message(&mut self, from: usize, report: GatewayReport) -> Message {
        let is_full = !self.fleet.sends_deltas
            || report.sequence == 1
            || (report.sequence + from as u64).is_multiple_of(DELTAS_PER_FULL_REPORT);
        let before = std::mem::replace(&mut self.gateways[from].last_report, report.clone());
        match is_full {
            true => Message::Full(report),
            false => Message::Delta(GatewayDelta::between(&before, &report)),
        }
    }

    fn finish(mut self) -> Outcome {
        for caller in &self.callers {
            self.outcome.callers_by_data_centre[caller.gateway % DATA_CENTRES] += 1;
        }
        self.outcome.large =
            self.callers.iter().filter(|c| is_large(&c.arrival, self.fleet)).count();
        self.outcome
    }
}

fn runner(service: &ServiceName, n: usize) -> Runner {
    let name = format!("d{n}");
    Runner {
        id: name.as_str().try_into().expect("the name is valid"),
        born: None,
        service: service.clone(),
        address: SocketAddr::from(([10, 0, 0, 1], n as u16)),
        data_centre: "dc-1".try_into().expect("the name is valid"),
        slots: 64,
        stage: Some(Stage::Decode),
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

/// Whether the caller is among the largest, about a tenth of all, by its use of decode memory.
fn is_large(arrival: &Arrival, fleet: &Fleet) -> bool {
    arrival.prompt + arrival.output > fleet.engine.memory_tokens * 0.165
}
