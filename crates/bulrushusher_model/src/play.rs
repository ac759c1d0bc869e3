//! Plays callers on gateways and engines, with the router's own decisions.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;

use bulrushusher_forward::{
    AccountCost, GatewayReport, HealthConfig, LoadConfig, PeersConfig, QueueRank, RunNumber,
    Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerHealth, RunnerLoads, Runs, Stage,
    TimingConfig, TimingModel, WaitQueue,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::engines::{DecodeEngine, PrefillEngine, Run};
use crate::fleet::Fleet;
use crate::load::Arrival;
use crate::outcome::{DATA_CENTRES, Outcome};

/// Length of a step.
const STEP: Millis = Millis(5);

/// Pause before a waiting request asks for memory again, as at a gateway, in whole steps.
const ASK_AGAIN: Millis = Millis(10);

/// The response-time target, the target for pauses, and the patience of callers.
pub(crate) const TARGET: Millis = Millis(900);
const GAP_TARGET: Millis = Millis(300);
const PATIENCE: Millis = Millis(14_000);

/// The decode engine that fails runs, and the one that is slow, where a fleet has them.
const GREY: usize = 1;
const SLOW: usize = 2;

/// Where a caller is.
#[derive(Clone, Copy, Debug)]
pub(crate) enum State {
    Away { until: Millis },
    Waiting { rank: QueueRank, until: Millis, ask_at: Millis },
    Read { decode: usize, run: RunNumber },
    Running { decode: usize, run: RunNumber },
    Over,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Caller {
    pub arrival: Arrival,
    pub gateway: usize,
    pub state: State,
    refusals: u32,
    first_event: Option<Millis>,
    preempted: bool,
}

pub(crate) struct Gateway {
    line: WaitQueue,
    pub runs: Runs,
    pub pace: TimingModel,
    pub health: RunnerHealth,
    reports: u64,
}

pub(crate) struct Played<'a> {
    pub fleet: &'a Fleet,
    pub service: ServiceName,
    pub members: RunnerDirectory,
    pub loads: RunnerLoads,
    pub ids: Vec<RunnerId>,
    pub gateways: Vec<Gateway>,
    pub prefills: Vec<PrefillEngine>,
    pub decodes: Vec<DecodeEngine>,
    pub held: Vec<Vec<(usize, f64)>>,
    pub callers: Vec<Caller>,
    pub next_order: u64,
    pub rng: ChaCha8Rng,
    /// Reports on their way, oldest first.
    reports: VecDeque<Sent>,
    pub outcome: Outcome,
}

/// A report on its way to all other gateways.
struct Sent {
    at: Millis,
    from: usize,
    report: GatewayReport,
}

/// Plays the callers until all are served, refused or gone.
pub fn play(fleet: &Fleet, callers: &[Arrival], seed: u64) -> Outcome {
    let mut played = Played::new(fleet, callers, seed);
    let last = callers.iter().map(|caller| caller.at).max().unwrap_or_default();
    let end = last.plus(PATIENCE).plus(PATIENCE);
    let mut now = Millis(0);
    while now < end {
        now = now.plus(STEP);
        played.step(now);
    }
    played.finish()
}

impl<'a> Played<'a> {
    fn new(fleet: &'a Fleet, arrivals: &[Arrival], seed: u64) -> Played<'a> {
        let service: ServiceName = "llm".try_into().expect("a good name");
        let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
        let mut ids = Vec::new();
        for n in 0..fleet.decodes {
            let runner = runner(&service, n);
            ids.push(runner.id.clone());
            members.put(runner);
        }
        let gateway = || Gateway {
            line: WaitQueue::new(fleet.waiting),
            runs: Runs::new(PeersConfig::default()),
            pace: TimingModel::new(TimingConfig::default()),
            health: RunnerHealth::new(HealthConfig::default()),
            reports: 0,
        };
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let caller = |arrival: &Arrival| Caller {
            arrival: *arrival,
            gateway: rng.random_range(0..fleet.gateways),
            state: State::Away { until: arrival.at },
            refusals: 0,
            first_event: None,
            preempted: false,
        };
        let callers: Vec<Caller> = arrivals.iter().map(caller).collect();
        Played {
            fleet,
            service,
            members,
            loads: RunnerLoads::new(LoadConfig::default()),
            ids,
            gateways: (0..fleet.gateways).map(|_| gateway()).collect(),
            prefills: vec![PrefillEngine::default(); fleet.prefills],
            decodes: vec![DecodeEngine::default(); fleet.decodes],
            held: vec![Vec::new(); fleet.decodes],
            outcome: Outcome { callers: callers.len(), ..Outcome::default() },
            callers,
            next_order: 0,
            reports: VecDeque::new(),
            rng,
        }
    }

    fn step(&mut self, now: Millis) {
        self.lose_engine(now);
        self.read_prompts(now);
        self.generate(now);
        if self.fleet.runs_move {
            self.move_runs(now);
        }
        for n in 0..self.callers.len() {
            self.move_caller(n, now);
        }
        if self.fleet.peers_speak {
            self.tell_peers(now);
        }
        let used: f64 = self.decodes.iter().map(DecodeEngine::used).sum();
        let all = self.fleet.figures.memory_tokens * self.fleet.decodes as f64;
        if self.callers.iter().any(|c| matches!(c.state, State::Waiting { .. })) {
            self.outcome.memory_share += used / all;
            self.outcome.steps += 1;
        }
    }

    fn lose_engine(&mut self, now: Millis) {
        if self.fleet.loses.is_none_or(|at| now < at) || self.decodes[0].down {
            return;
        }
        self.decodes[0].down = true;
        self.members.forget(&self.ids[0].clone());
        let lost: Vec<usize> = self.decodes[0].runs.drain(..).map(|run| run.caller).collect();
        for caller in lost {
            self.release(caller);
            self.callers[caller].state = State::Over;
            self.outcome.refused += 1;
        }
    }

    fn read_prompts(&mut self, now: Millis) {
        let figures = self.fleet.figures;
        let done: Vec<usize> =
            self.prefills.iter_mut().flat_map(|p| p.step(&figures, STEP)).collect();
        for n in done {
            let State::Read { decode, run } = self.callers[n].state else {
                self.outcome.wasted_tokens += self.callers[n].arrival.prompt;
                continue;
            };
            if self.decodes[decode].down {
                self.release(n);
                self.refuse(n, now);
                continue;
            }
            let Caller { arrival, gateway, .. } = self.callers[n];
            let is_grey = decode == GREY && self.fleet.grey > 0.0;
            if is_grey && self.rng.random::<f64>() < self.fleet.grey {
                self.fail(n, decode, now);
                continue;
            }
            self.next_order += 1;
            self.decodes[decode].runs.push(Run {
                caller: n,
                prompt: arrival.prompt,
                made: 0.0,
                total: arrival.output,
                order: self.next_order,
                last_event: now,
                longest_gap: Millis(0),
            });
            self.gateways[gateway].runs.progress(run, 0);
            self.callers[n].state = State::Running { decode, run };
            self.callers[n].first_event.get_or_insert(now);
        }
    }

    /// The engine fails the run; it may not be repeated.
    fn fail(&mut self, n: usize, decode: usize, now: Millis) {
        let gateway = self.callers[n].gateway;
        self.gateways[gateway].health.record(&self.ids[decode], false, now);
        self.release(n);
        self.callers[n].state = State::Over;
        self.outcome.failed += 1;
    }

    fn generate(&mut self, now: Millis) {
        for decode in 0..self.decodes.len() {
            let times = if decode == SLOW { self.fleet.slow } else { 1.0 };
            let figures = self.fleet.figures.slower(times);
            let stepped = self.decodes[decode].step(&figures, now, STEP);
            for run in stepped.ended {
                self.end(run, decode, now);
            }
            for run in stepped.preempted {
                self.outcome.preempted += 1;
                self.outcome.wasted_tokens += run.prompt + run.made;
                self.callers[run.caller].preempted = true;
                // It is read in again by its own engine, behind what runs there.
                self.next_order += 1;
                let again = Run { order: self.next_order, ..run };
                self.read_again(decode, again);
            }
            for run in &self.decodes[decode].runs {
                let caller = &self.callers[run.caller];
                if let State::Running { run: number, .. } = caller.state {
                    self.gateways[caller.gateway].runs.progress(number, run.made as u64);
                }
            }
        }
    }

    /// A preempted run waits for memory at its engine; that its caller sees a pause is enough here.
    fn read_again(&mut self, decode: usize, run: Run) {
        let free = self.fleet.figures.memory_tokens - self.decodes[decode].used();
        if run.prompt + run.made < free {
            self.decodes[decode].runs.push(run);
            return;
        }
        self.release(run.caller);
        self.callers[run.caller].state = State::Over;
        self.outcome.late += 1;
    }

    fn end(&mut self, run: Run, decode: usize, now: Millis) {
        let n = run.caller;
        let Caller { arrival, gateway, first_event, preempted, .. } = self.callers[n];
        let started = first_event.unwrap_or(Millis::MAX);
        let on_time =
            started.since(arrival.at) <= TARGET && run.longest_gap <= GAP_TARGET && !preempted;
        match on_time {
            true => self.outcome.on_time += 1,
            false => self.outcome.late += 1,
        }
        self.outcome.on_time_by_centre[gateway % DATA_CENTRES] += usize::from(on_time);
        self.gateways[gateway].health.record(&self.ids[decode], true, now);
        if is_large(&arrival, self.fleet) {
            self.outcome.large_served += 1;
        }
        let took = Millis((run.total * self.fleet.figures.step_ms * 1.25) as u64);
        let (expected, made) = (arrival.expected as u64, run.total as u64);
        self.gateways[gateway].pace.record_generation(took, expected, made);
        self.release(n);
        self.callers[n].state = State::Over;
    }

    fn release(&mut self, n: usize) {
        let caller = self.callers[n];
        if let State::Read { decode, run } | State::Running { decode, run } = caller.state {
            self.gateways[caller.gateway].runs.end(run);
            self.held[decode].retain(|(of, _)| *of != n);
        }
    }

    fn move_caller(&mut self, n: usize, now: Millis) {
        let caller = self.callers[n];
        let has_left = caller.arrival.leaves.is_some_and(|at| at <= now);
        match caller.state {
            State::Away { until } if until <= now => self.come(n, now),
            State::Waiting { rank, .. } if has_left => {
                self.gateways[caller.gateway].line.leave(&rank);
                self.leave(n);
            }
            State::Read { .. } if has_left => {
                self.release(n);
                self.leave(n);
            }
            State::Waiting { rank, until, ask_at } if ask_at <= now => {
                self.wait(n, rank, until, now);
            }
            State::Away { .. }
            | State::Waiting { .. }
            | State::Read { .. }
            | State::Running { .. }
            | State::Over => {}
        }
    }

    fn leave(&mut self, n: usize) {
        self.callers[n].state = State::Over;
        self.outcome.left += 1;
    }

    fn come(&mut self, n: usize, now: Millis) {
        let late = now.since(self.callers[n].arrival.at) >= TARGET;
        let line = &mut self.gateways[self.callers[n].gateway].line;
        let rank = line.join(late, 1, AccountCost::default(), now);
        let until = now.plus(line.max_wait(late, TARGET));
        self.callers[n].state = State::Waiting { rank, until, ask_at: now };
    }

    fn wait(&mut self, n: usize, rank: QueueRank, until: Millis, now: Millis) {
        let gateway = self.callers[n].gateway;
        let late_behind = rank.late && self.gateways[gateway].runs.peers_have_on_time_waiting(now);
        let others = self.gateways[gateway].runs.peers_with_waiting(now);
        if self.gateways[gateway].line.may_request_memory(&rank)
            && !late_behind
            && let Some(decode) = self.find_memory(n, others, now)
        {
            self.gateways[gateway].line.leave(&rank);
            self.hold(n, decode);
            return;
        }
        if until <= now {
            self.gateways[gateway].line.leave(&rank);
            self.refuse(n, now);
            return;
        }
        self.callers[n].state = State::Waiting { rank, until, ask_at: now.plus(ASK_AGAIN) };
    }

    fn refuse(&mut self, n: usize, now: Millis) {
        let caller = &mut self.callers[n];
        caller.refusals += 1;
        if caller.refusals > 1 {
            caller.state = State::Over;
            self.outcome.refused += 1;
            self.outcome.refused_twice += 1;
            return;
        }
        let left = PATIENCE.since(now.since(caller.arrival.at));
        let told = self.fleet.returns.retry_after(left, self.rng.random());
        let comes = if caller.arrival.impatient { Millis(0) } else { told };
        caller.state = State::Away { until: now.plus(comes) };
    }

    fn tell_peers(&mut self, now: Millis) {
        while let Some(sent) =
            self.reports.pop_front_if(|s| now.since(s.at) >= self.fleet.report_lag)
        {
            for to in (0..self.gateways.len()).filter(|to| *to != sent.from) {
                let name = format!("g{}", sent.from);
                self.gateways[to].runs.apply_report(&name, sent.report.clone(), now);
            }
        }
        for from in 0..self.gateways.len() {
            self.gateways[from].reports += 1;
            let teller = &self.gateways[from];
            let report = GatewayReport {
                incarnation: 1,
                sequence: teller.reports,
                waiting: teller.line.on_time() as u32,
                waiting_late: (teller.line.len() - teller.line.on_time()) as u32,
                runs: teller.runs.own().cloned().collect(),
                failing: teller.health.reports(&BTreeSet::new(), now),
                ..GatewayReport::default()
            };
            self.reports.push_back(Sent { at: now, from, report });
        }
    }

    fn finish(mut self) -> Outcome {
        for caller in &self.callers {
            self.outcome.callers_by_centre[caller.gateway % DATA_CENTRES] += 1;
        }
        self.outcome.large =
            self.callers.iter().filter(|c| is_large(&c.arrival, self.fleet)).count();
        self.outcome
    }
}

fn runner(service: &ServiceName, n: usize) -> Runner {
    let name = format!("d{n}");
    Runner {
        id: name.as_str().try_into().expect("a good name"),
        born: None,
        service: service.clone(),
        address: SocketAddr::from(([10, 0, 0, 1], n as u16)),
        data_centre: "dc-1".try_into().expect("a good name"),
        slots: 64,
        stage: Some(Stage::Decode),
        leaving: false,
    }
}

/// About the largest tenth of the callers, by what they take of a decode engine.
fn is_large(arrival: &Arrival, fleet: &Fleet) -> bool {
    arrival.prompt + arrival.output > fleet.figures.memory_tokens * 0.165
}
