//! State machine test of the decode memory use that gateways report to one another, against a model
//! that only counts the runs of each gateway and keeps the last report that each peer received.
//!
//! Reports are lost, delayed, duplicated and reordered; callers leave; gateways restart, also with
//! a clock that was set back; runners restart under the same id, which each gateway learns at a
//! different time. Seeds are fixed, so every run has the same cases. `BULRUSH_FUZZ_CASES` sets
//! their number.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_forward::{
    GatewayReport, PeersConfig, RunNumber, RunReport, RunShape, Runs, StartTime, StartTimes,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const DEFAULT_CASES: u32 = 2_000;
const GATEWAYS: usize = 3;
const RUNNERS: u8 = 3;

/// Start of the simulated time, far enough from zero that clocks can be set back.
const START: Millis = Millis(1_000_000);

/// A transition. Indices are taken modulo the number of items.
#[derive(Clone, Debug)]
enum Step {
    /// A gateway holds memory for a run.
    Hold { gateway: usize, runner: u8, prompt: u64 },
    /// A run has generated that many tokens.
    Progress { gateway: usize, run: usize, made: u64 },
    /// A run is over: answered, cancelled, refused or lost.
    End { gateway: usize, run: usize },
    /// A gateway sends its report to all peers.
    Send { gateway: usize },
    /// A peer receives a report that was sent, possibly more than once.
    Receive { gateway: usize, message: usize },
    /// Time passes.
    Wait { ms: u64 },
    /// A gateway crashes and restarts without state; its clock may be behind its earlier time.
    Restart { gateway: usize, clock_back_ms: u64 },
    /// A runner restarts; no gateway has learned of it yet.
    RunnerRestart { runner: u8 },
    /// A gateway learns the current process start of a runner, or an earlier one that arrives late.
    Learn { gateway: usize, runner: u8, late: bool },
}

/// A sent report in the model: its sender and the number of runs at each runner.
#[derive(Clone, Debug)]
struct SentReport {
    from: usize,
    life: u64,
    number: u64,
    runs: BTreeMap<u8, usize>,
    /// Process starts of runners that the sender knew.
    starts: BTreeMap<u8, u64>,
}

/// The last report that a gateway received from a peer.
#[derive(Clone, Debug)]
struct Received {
    message: usize,
    at: Millis,
}

/// The model: plain counts.
#[derive(Clone, Debug)]
struct Model {
    now: Millis,
    /// Runners of the live runs of each gateway, in the order of their holds.
    live: Vec<Vec<u8>>,
    boot_times: Vec<u64>,
    numbers: Vec<u64>,
    sent: Vec<SentReport>,
    received: BTreeMap<(usize, usize), Received>,
    /// Number of the process start of each runner, and the one that each gateway knows.
    start: BTreeMap<u8, u64>,
    known: Vec<BTreeMap<u8, u64>>,
    /// Starts that each gateway knows to be earlier ones.
    past: Vec<BTreeSet<(u8, u64)>>,
}

impl Model {
    fn by_runner(&self, gateway: usize) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for runner in &self.live[gateway] {
            *counts.entry(*runner).or_insert(0) += 1;
        }
        counts
    }

    fn is_fresh(&self, received: &Received) -> bool {
        self.now.since(received.at) < PeersConfig::default().forget_after
    }

    /// True if a later report of the same peer was received and has not expired.
    fn is_outdated(&self, gateway: usize, message: &SentReport) -> bool {
        self.received.get(&(gateway, message.from)).is_some_and(|received| {
            let known = &self.sent[received.message];
            self.is_fresh(received) && (message.life, message.number) <= (known.life, known.number)
        })
    }

    /// Number of runs at a runner that a gateway should know of.
    fn known_runs(&self, gateway: usize, runner: u8) -> usize {
        let own = self.by_runner(gateway).get(&runner).copied().unwrap_or(0);
        let fresh = self
            .received
            .iter()
            .filter(|((to, _), received)| *to == gateway && self.is_fresh(received));
        let known = self.known[gateway].get(&runner);
        let of_this_start =
            fresh.map(|(_, received)| &self.sent[received.message]).filter(|sent| {
                match sent.starts.get(&runner) {
                    Some(start) => !self.past[gateway].contains(&(runner, *start)),
                    None => known.is_none(),
                }
            });
        own + of_this_start.filter_map(|sent| sent.runs.get(&runner)).sum::<usize>()
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Hold { gateway, runner, .. } => self.live[gateway].push(runner),
            Step::Progress { .. } => {}
            Step::End { gateway, run } => {
                let runs = &mut self.live[gateway];
                if !runs.is_empty() {
                    runs.remove(run % runs.len());
                }
            }
            Step::Send { gateway } => {
                self.numbers[gateway] += 1;
                self.sent.push(SentReport {
                    from: gateway,
                    life: self.boot_times[gateway],
                    number: self.numbers[gateway],
                    runs: self.by_runner(gateway),
                    starts: self.known[gateway].clone(),
                });
            }
            Step::Receive { gateway, message } => {
                if self.sent.is_empty() {
                    return;
                }
                let message = message % self.sent.len();
                let sent = self.sent[message].clone();
                if sent.from != gateway && !self.is_outdated(gateway, &sent) {
                    let received = Received { message, at: self.now };
                    self.received.insert((gateway, sent.from), received);
                }
            }
            Step::Wait { ms } => self.now = self.now.plus(Millis(ms)),
            Step::Restart { gateway, clock_back_ms } => {
                self.live[gateway].clear();
                self.boot_times[gateway] = self.now.since(Millis(clock_back_ms)).0;
                self.numbers[gateway] = 0;
                self.received.retain(|(to, _), _| *to != gateway);
                self.known[gateway].clear();
                self.past[gateway].clear();
            }
            Step::RunnerRestart { runner } => *self.start.entry(runner).or_insert(0) += 1,
            Step::Learn { gateway, runner, late } => {
                let start = learned_start(self.start.get(&runner).copied().unwrap_or(0), late);
                let known = self.known[gateway].get(&runner).copied();
                if known.is_none_or(|known| start >= known) {
                    self.known[gateway].insert(runner, start);
                }
                if let Some(known) = known.filter(|known| start > *known) {
                    self.past[gateway].insert((runner, known));
                    self.live[gateway].retain(|at| *at != runner);
                }
            }
        }
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        Just(Model {
            now: START,
            live: vec![Vec::new(); GATEWAYS],
            boot_times: vec![START.0; GATEWAYS],
            numbers: vec![0; GATEWAYS],
            sent: Vec::new(),
            received: BTreeMap::new(),
            start: BTreeMap::new(),
            known: vec![BTreeMap::new(); GATEWAYS],
            past: vec![BTreeSet::new(); GATEWAYS],
        })
        .boxed()
    }

    fn transitions(_: &Model) -> BoxedStrategy<Step> {
        let gateway = || 0..GATEWAYS;
        prop_oneof![
            4 => (gateway(), 0..RUNNERS, 1_u64..9_000)
                .prop_map(|(gateway, runner, prompt)| Step::Hold { gateway, runner, prompt }),
            2 => (gateway(), any::<usize>(), 0_u64..9_000)
                .prop_map(|(gateway, run, made)| Step::Progress { gateway, run, made }),
            2 => (gateway(), any::<usize>())
                .prop_map(|(gateway, run)| Step::End { gateway, run }),
            5 => gateway().prop_map(|gateway| Step::Send { gateway }),
            8 => (gateway(), any::<usize>())
                .prop_map(|(gateway, message)| Step::Receive { gateway, message }),
            2 => (1_u64..2_000).prop_map(|ms| Step::Wait { ms }),
            1 => (gateway(), prop_oneof![Just(0), 1_u64..6_000])
                .prop_map(|(gateway, clock_back_ms)| Step::Restart { gateway, clock_back_ms }),
            1 => (0..RUNNERS).prop_map(|runner| Step::RunnerRestart { runner }),
            3 => (gateway(), 0..RUNNERS, any::<bool>())
                .prop_map(|(gateway, runner, late)| Step::Learn { gateway, runner, late }),
        ]
        .boxed()
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        model.apply(step);
        model
    }
}

/// The process start that a gateway learns: the current one, or the one before it.
fn learned_start(start: u64, late: bool) -> u64 {
    if late { start.saturating_sub(1) } else { start }
}

/// The start time that the runner's clock showed, which is set forward and back between starts.
fn clock_of(start: u64) -> StartTime {
    StartTime(start * 37 % 101)
}

/// One gateway under test.
struct Gateway {
    runs: Runs,
    /// Starts of runners by their entries, as the directory of runners knows them.
    starts: StartTimes,
    /// Runs and their runners, in the order of their holds.
    live: Vec<(RunNumber, u8)>,
    life: u64,
    number: u64,
}

/// All gateways under test, and the reports they sent.
struct Fleet {
    now: Millis,
    gateways: Vec<Gateway>,
    sent: Vec<(usize, GatewayReport)>,
    start: BTreeMap<u8, u64>,
}

fn gateway(life: u64) -> Gateway {
    Gateway {
        runs: Runs::new(PeersConfig::default()),
        starts: StartTimes::default(),
        live: Vec::new(),
        life,
        number: 0,
    }
}

fn runner(n: u8) -> RunnerId {
    format!("i-{n}").as_str().try_into().expect("valid name")
}

fn note(n: u8, prompt: u64) -> RunReport {
    let shape =
        RunShape { prompt: prompt as f64, generated: 0.0, expected: 3_000.0, max_output: 9_000.0 };
    RunReport::new(runner(n), shape)
}

impl Fleet {
    fn apply(&mut self, step: Step) {
        match step {
            Step::Hold { gateway, runner, prompt } => {
                let gateway = &mut self.gateways[gateway];
                gateway.live.push((gateway.runs.add(note(runner, prompt)), runner));
            }
            Step::Progress { gateway, run, made } => {
                let gateway = &mut self.gateways[gateway];
                if !gateway.live.is_empty() {
                    gateway.runs.progress(gateway.live[run % gateway.live.len()].0, made);
                }
            }
            Step::End { gateway, run } => {
                let gateway = &mut self.gateways[gateway];
                if !gateway.live.is_empty() {
                    let (run, _) = gateway.live.remove(run % gateway.live.len());
                    assert!(gateway.runs.end(run).is_some(), "a live run was unknown");
                    assert!(gateway.runs.end(run).is_none(), "a run ended twice");
                }
            }
            Step::Send { gateway } => self.send_report(gateway),
            Step::Receive { gateway, message } => {
                if let Some((from, report)) =
                    self.sent.get(message.checked_rem(self.sent.len()).unwrap_or(0)).cloned()
                    && from != gateway
                {
                    self.gateways[gateway].runs.apply_report(&format!("g{from}"), report, self.now);
                }
            }
            Step::Wait { ms } => self.now = self.now.plus(Millis(ms)),
            Step::Restart { gateway: n, clock_back_ms } => {
                self.gateways[n] = gateway(self.now.since(Millis(clock_back_ms)).0);
            }
            Step::RunnerRestart { runner } => *self.start.entry(runner).or_insert(0) += 1,
            Step::Learn { gateway, runner: n, late } => {
                let start = learned_start(self.start.get(&n).copied().unwrap_or(0), late);
                let Gateway { runs, starts, live, .. } = &mut self.gateways[gateway];
                starts.record_entry(&runner(n), Some(clock_of(start)), start + 1);
                if let Some(latest) = starts.latest(&runner(n)) {
                    runs.set_start(&runner(n), latest);
                }
                // Runs at an earlier process start are forgotten; ending them has no effect.
                let own = runs.own().filter(|note| note.runner == runner(n)).count();
                if own == 0 {
                    for (run, _) in live.extract_if(.., |(_, at)| *at == n) {
                        assert!(
                            runs.end(run).is_none(),
                            "a run outlived the process start of its runner"
                        );
                    }
                }
            }
        }
    }

    fn send_report(&mut self, from: usize) {
        let gateway = &mut self.gateways[from];
        gateway.number += 1;
        let mut report = GatewayReport {
            incarnation: gateway.life,
            sequence: gateway.number,
            runs: gateway.runs.own().cloned().collect(),
            ..GatewayReport::default()
        };
        report.add_starts(gateway.runs.starts());
        self.sent.push((from, report));
    }
}

struct MemoryAccounting;

impl StateMachineTest for MemoryAccounting {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test(_: &Model) -> Fleet {
        let gateways = (0..GATEWAYS).map(|_| gateway(START.0)).collect();
        Fleet { now: START, gateways, sent: Vec::new(), start: BTreeMap::new() }
    }

    fn apply(mut fleet: Fleet, _: &Model, step: Step) -> Fleet {
        fleet.apply(step);
        fleet
    }

    fn check_invariants(fleet: &Fleet, model: &Model) {
        for (n, gateway) in fleet.gateways.iter().enumerate() {
            for at in 0..RUNNERS {
                let shapes = gateway.runs.shapes_at(&runner(at), 1.4, fleet.now);
                assert_eq!(shapes.len(), model.known_runs(n, at), "runs at {at} as known to {n}");
                for shape in shapes {
                    assert!(
                        shape.generated < shape.max_output,
                        "a run is extrapolated beyond its maximum output"
                    );
                }
            }
        }
    }
}

fn config() -> Config {
    let cases = std::env::var("BULRUSH_FUZZ_CASES").ok().and_then(|n| n.parse().ok());
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn memory_of_live_runs_is_counted_once_and_of_no_others(
        sequential 1..60 => MemoryAccounting
    );
}
