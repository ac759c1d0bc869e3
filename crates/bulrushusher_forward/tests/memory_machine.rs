//! What gateways know of each other's decode memory, as a state machine against an oracle that only
//! counts: which runs each gateway holds, and which report each peer heard last.
//!
//! Reports are lost, late, doubled and overtaken; callers leave; gateways restart, also with a clock
//! that was set back; runners start again under their identity, which each gateway learns at another
//! time. Fixed seeds: every run plays the same cases. `BULRUSH_FUZZ_CASES` sets their
//! number.

use std::collections::BTreeMap;

use bulrushusher_forward::{
    GatewayReport, PeersConfig, RunNumber, RunReport, RunShape, Runs, StartTime,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const USUAL_CASES: u32 = 2_000;
const GATEWAYS: usize = 3;
const RUNNERS: u8 = 3;

/// When the play begins; far enough from zero that clocks can be set back.
const START: Millis = Millis(1_000_000);

/// What happens next. Indices are taken modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    /// A gateway holds memory for a run.
    Hold { gateway: usize, runner: u8, prompt: u64 },
    /// A run goes on: it made that many tokens.
    Progress { gateway: usize, run: usize, made: u64 },
    /// A run is over: answered, cancelled, refused or lost.
    End { gateway: usize, run: usize },
    /// A gateway writes its report, which is now on its way to all peers.
    Tell { gateway: usize },
    /// A peer hears a report that is on its way. It may be heard again.
    Hear { gateway: usize, message: usize },
    /// Time passes.
    Pass { ms: u64 },
    /// A gateway dies and starts again with nothing; its clock may be behind that of its last life.
    Restart { gateway: usize, clock_back_ms: u64 },
    /// A runner starts again; nobody knows yet.
    StartAgain { runner: u8 },
    /// A gateway learns the present start of a runner, or an earlier one that comes late.
    Learn { gateway: usize, runner: u8, late: bool },
}

/// A report on its way, as the oracle sees it: who wrote it, and the runs at each runner then.
#[derive(Clone, Debug)]
struct Written {
    from: usize,
    life: u64,
    number: u64,
    runs: BTreeMap<u8, usize>,
    /// The runners' starts that the writer knew.
    starts: BTreeMap<u8, u64>,
}

/// What a peer heard last of another gateway.
#[derive(Clone, Debug)]
struct Heard {
    message: usize,
    at: Millis,
}

/// The oracle: plain counts.
#[derive(Clone, Debug)]
struct Counts {
    now: Millis,
    /// Runners of the live runs of each gateway, in the order in which they were held.
    live: Vec<Vec<u8>>,
    lives: Vec<u64>,
    numbers: Vec<u64>,
    written: Vec<Written>,
    heard: BTreeMap<(usize, usize), Heard>,
    /// Start of each runner, and what each gateway knows of it.
    born: BTreeMap<u8, u64>,
    known: Vec<BTreeMap<u8, u64>>,
}

impl Counts {
    fn by_runner(&self, gateway: usize) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for runner in &self.live[gateway] {
            *counts.entry(*runner).or_insert(0) += 1;
        }
        counts
    }

    fn is_fresh(&self, heard: &Heard) -> bool {
        self.now.since(heard.at) < PeersConfig::default().forget_after
    }

    /// A later report of the same peer was heard, and that peer is not silent since.
    fn is_overtaken(&self, gateway: usize, message: &Written) -> bool {
        self.heard.get(&(gateway, message.from)).is_some_and(|heard| {
            let known = &self.written[heard.message];
            self.is_fresh(heard) && (message.life, message.number) <= (known.life, known.number)
        })
    }

    /// Runs at a runner in the sight of a gateway.
    fn seen(&self, gateway: usize, runner: u8) -> usize {
        let own = self.by_runner(gateway).get(&runner).copied().unwrap_or(0);
        let told =
            self.heard.iter().filter(|((to, _), heard)| *to == gateway && self.is_fresh(heard));
        let known = self.known[gateway].get(&runner);
        let of_this_start = told
            .map(|(_, heard)| &self.written[heard.message])
            .filter(|written| written.starts.get(&runner) >= known);
        own + of_this_start.filter_map(|written| written.runs.get(&runner)).sum::<usize>()
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
            Step::Tell { gateway } => {
                self.numbers[gateway] += 1;
                self.written.push(Written {
                    from: gateway,
                    life: self.lives[gateway],
                    number: self.numbers[gateway],
                    runs: self.by_runner(gateway),
                    starts: self.known[gateway].clone(),
                });
            }
            Step::Hear { gateway, message } => {
                if self.written.is_empty() {
                    return;
                }
                let message = message % self.written.len();
                let written = self.written[message].clone();
                if written.from != gateway && !self.is_overtaken(gateway, &written) {
                    let heard = Heard { message, at: self.now };
                    self.heard.insert((gateway, written.from), heard);
                }
            }
            Step::Pass { ms } => self.now = self.now.plus(Millis(ms)),
            Step::Restart { gateway, clock_back_ms } => {
                self.live[gateway].clear();
                self.lives[gateway] = self.now.since(Millis(clock_back_ms)).0;
                self.numbers[gateway] = 0;
                self.heard.retain(|(to, _), _| *to != gateway);
                self.known[gateway].clear();
            }
            Step::StartAgain { runner } => *self.born.entry(runner).or_insert(0) += 1,
            Step::Learn { gateway, runner, late } => {
                let born = told_start(self.born.get(&runner).copied().unwrap_or(0), late);
                let known = self.known[gateway].get(&runner).copied();
                if known.is_none_or(|known| born >= known) {
                    self.known[gateway].insert(runner, born);
                }
                if known.is_some_and(|known| born > known) {
                    self.live[gateway].retain(|at| *at != runner);
                }
            }
        }
    }
}

impl ReferenceStateMachine for Counts {
    type State = Counts;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Counts> {
        Just(Counts {
            now: START,
            live: vec![Vec::new(); GATEWAYS],
            lives: vec![START.0; GATEWAYS],
            numbers: vec![0; GATEWAYS],
            written: Vec::new(),
            heard: BTreeMap::new(),
            born: BTreeMap::new(),
            known: vec![BTreeMap::new(); GATEWAYS],
        })
        .boxed()
    }

    fn transitions(_: &Counts) -> BoxedStrategy<Step> {
        let gateway = || 0..GATEWAYS;
        prop_oneof![
            4 => (gateway(), 0..RUNNERS, 1_u64..9_000)
                .prop_map(|(gateway, runner, prompt)| Step::Hold { gateway, runner, prompt }),
            2 => (gateway(), any::<usize>(), 0_u64..9_000)
                .prop_map(|(gateway, run, made)| Step::Progress { gateway, run, made }),
            2 => (gateway(), any::<usize>())
                .prop_map(|(gateway, run)| Step::End { gateway, run }),
            5 => gateway().prop_map(|gateway| Step::Tell { gateway }),
            8 => (gateway(), any::<usize>())
                .prop_map(|(gateway, message)| Step::Hear { gateway, message }),
            2 => (1_u64..2_000).prop_map(|ms| Step::Pass { ms }),
            1 => (gateway(), prop_oneof![Just(0), 1_u64..6_000])
                .prop_map(|(gateway, clock_back_ms)| Step::Restart { gateway, clock_back_ms }),
            1 => (0..RUNNERS).prop_map(|runner| Step::StartAgain { runner }),
            3 => (gateway(), 0..RUNNERS, any::<bool>())
                .prop_map(|(gateway, runner, late)| Step::Learn { gateway, runner, late }),
        ]
        .boxed()
    }

    fn apply(mut counts: Counts, step: &Step) -> Counts {
        counts.apply(step);
        counts
    }
}

/// The start that a gateway is told: the present one, or the one before it.
fn told_start(born: u64, late: bool) -> u64 {
    if late { born.saturating_sub(1) } else { born }
}

/// One gateway's part of what is under test.
struct Gateway {
    runs: Runs,
    /// Runs and their runners, in the order in which they were held.
    live: Vec<(RunNumber, u8)>,
    life: u64,
    number: u64,
}

/// All gateways, and the reports on their way.
struct Fleet {
    now: Millis,
    gateways: Vec<Gateway>,
    written: Vec<(usize, GatewayReport)>,
    born: BTreeMap<u8, u64>,
}

fn gateway(life: u64) -> Gateway {
    Gateway { runs: Runs::new(PeersConfig::default()), live: Vec::new(), life, number: 0 }
}

fn runner(n: u8) -> RunnerId {
    format!("i-{n}").as_str().try_into().expect("a good name")
}

fn note(n: u8, prompt: u64) -> RunReport {
    let shape = RunShape { prompt: prompt as f64, made: 0.0, expected: 3_000.0, most: 9_000.0 };
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
                    assert!(gateway.runs.end(run).is_some(), "a live run was not known");
                    assert!(gateway.runs.end(run).is_none(), "a run ended twice");
                }
            }
            Step::Tell { gateway } => self.tell(gateway),
            Step::Hear { gateway, message } => {
                if let Some((from, report)) =
                    self.written.get(message.checked_rem(self.written.len()).unwrap_or(0)).cloned()
                    && from != gateway
                {
                    self.gateways[gateway].runs.apply_report(&format!("g{from}"), report, self.now);
                }
            }
            Step::Pass { ms } => self.now = self.now.plus(Millis(ms)),
            Step::Restart { gateway: n, clock_back_ms } => {
                self.gateways[n] = gateway(self.now.since(Millis(clock_back_ms)).0);
            }
            Step::StartAgain { runner } => *self.born.entry(runner).or_insert(0) += 1,
            Step::Learn { gateway, runner: n, late } => {
                let born = told_start(self.born.get(&n).copied().unwrap_or(0), late);
                let Gateway { runs, live, .. } = &mut self.gateways[gateway];
                runs.record_start(&runner(n), Some(StartTime(born)));
                // What was at an earlier start is not known any more, and its end changes nothing.
                let own = runs.own().filter(|note| note.runner == runner(n)).count();
                if own == 0 {
                    for (run, _) in live.extract_if(.., |(_, at)| *at == n) {
                        assert!(runs.end(run).is_none(), "a run outlived its runner");
                    }
                }
            }
        }
    }

    fn tell(&mut self, from: usize) {
        let gateway = &mut self.gateways[from];
        gateway.number += 1;
        let mut report = GatewayReport {
            incarnation: gateway.life,
            sequence: gateway.number,
            runs: gateway.runs.own().cloned().collect(),
            ..GatewayReport::default()
        };
        report.add_starts(gateway.runs.starts());
        self.written.push((from, report));
    }
}

struct MemoryIsCountedOnce;

impl StateMachineTest for MemoryIsCountedOnce {
    type SystemUnderTest = Fleet;
    type Reference = Counts;

    fn init_test(_: &Counts) -> Fleet {
        let gateways = (0..GATEWAYS).map(|_| gateway(START.0)).collect();
        Fleet { now: START, gateways, written: Vec::new(), born: BTreeMap::new() }
    }

    fn apply(mut fleet: Fleet, _: &Counts, step: Step) -> Fleet {
        fleet.apply(step);
        fleet
    }

    fn check_invariants(fleet: &Fleet, counts: &Counts) {
        for (n, gateway) in fleet.gateways.iter().enumerate() {
            for at in 0..RUNNERS {
                let shapes = gateway.runs.shapes_at(&runner(at), 1.4, fleet.now);
                assert_eq!(shapes.len(), counts.seen(n, at), "runs at {at} in the sight of {n}");
                for shape in shapes {
                    assert!(shape.made < shape.most, "a run is taken beyond its most tokens");
                }
            }
        }
    }
}

fn config() -> Config {
    let cases = std::env::var("BULRUSH_FUZZ_CASES").ok().and_then(|n| n.parse().ok());
    Config {
        cases: cases.unwrap_or(USUAL_CASES),
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
        sequential 1..60 => MemoryIsCountedOnce
    );
}
