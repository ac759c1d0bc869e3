//! Report deltas between two gateways over a network that loses, duplicates and reorders messages.

use bulrushusher_forward::{
    DeltaOutcome, ForecastConfig, GatewayDelta, GatewayReport, LengthModel, MemoryForecast,
    PeersConfig, RunNumber, RunReport, RunShape, Runs,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use proptest::prelude::*;

/// Number of runners, and of steps per case.
const RUNNERS: u8 = 4;
const STEPS: usize = 60;

/// Maximum number of tokens that a run generates.
const MAX_GENERATED: u64 = 4_000;

#[derive(Clone, Debug)]
enum Step {
    /// Reserves memory at a runner for a new run.
    Hold(u8, u64),
    /// A run begins or continues.
    Progress(usize, u64),
    /// A run stalls.
    Stall(usize),
    /// A run ends.
    End(usize),
    /// The next delta is sent and arrives that many times: lost, once or duplicated.
    Send(u8),
    /// The first delta ever sent arrives again.
    Replay,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..RUNNERS, 1_000..9_000_u64).prop_map(|(at, prompt)| Step::Hold(at, prompt)),
        2 => (any::<usize>(), 0..MAX_GENERATED)
            .prop_map(|(run, generated)| Step::Progress(run, generated)),
        1 => any::<usize>().prop_map(Step::Stall),
        2 => any::<usize>().prop_map(Step::End),
        4 => (0..3_u8).prop_map(Step::Send),
        1 => Just(Step::Replay),
    ]
}

fn runner(n: u8) -> RunnerId {
    format!("i-{n}").as_str().try_into().expect("valid name")
}

fn forecast() -> MemoryForecast {
    MemoryForecast {
        lengths: LengthModel::default(),
        tokens_per_ms: 1.4,
        memory: 72_000.0,
        cfg: ForecastConfig::default(),
    }
}

/// A sending and a receiving gateway.
struct Link {
    sender: Runs,
    live: Vec<RunNumber>,
    last: GatewayReport,
    sent: Vec<GatewayDelta>,
    receiver: Runs,
    /// True while the receiver has missed no delta since the last full report.
    has_all: bool,
}

impl Link {
    fn new() -> Link {
        let runs = || Runs::new(PeersConfig::default());
        let mut link = Link {
            sender: runs(),
            live: Vec::new(),
            last: GatewayReport { incarnation: 1, sequence: 1, ..GatewayReport::default() },
            sent: Vec::new(),
            receiver: runs(),
            has_all: true,
        };
        link.receiver.apply_report("g", link.last.clone(), Millis(0));
        link
    }

    fn report(&self) -> GatewayReport {
        GatewayReport {
            incarnation: 1,
            sequence: self.last.sequence + 1,
            runs: self.sender.own().cloned().collect(),
            ..GatewayReport::default()
        }
    }

    fn play(&mut self, step: Step) {
        match step {
            Step::Hold(at, prompt) => {
                let shape = RunShape {
                    prompt: prompt as f64,
                    generated: 0.0,
                    expected: 2e3,
                    max_output: 9e3,
                };
                self.live.push(self.sender.add(RunReport::new(runner(at), shape)));
            }
            Step::Progress(run, generated) if !self.live.is_empty() => {
                self.sender.progress(self.live[run % self.live.len()], generated);
            }
            Step::Stall(run) if !self.live.is_empty() => {
                self.sender.stall(self.live[run % self.live.len()]);
            }
            Step::End(run) if !self.live.is_empty() => {
                let run = self.live.remove(run % self.live.len());
                assert!(self.sender.end(run).is_some());
            }
            Step::Progress(..) | Step::Stall(_) | Step::End(_) => {}
            Step::Send(times) => self.send(times),
            Step::Replay => {
                if let Some(old) = self.sent.first().cloned() {
                    let outcome = self.receiver.apply_delta("g", old, Millis(0));
                    assert!(outcome == DeltaOutcome::Stale || !self.has_all, "{outcome:?}");
                }
            }
        }
    }

    fn send(&mut self, times: u8) {
        let report = self.report();
        let delta = GatewayDelta::between(&self.last, &report);
        self.last = report;
        self.sent.push(delta.clone());
        for _ in 0..times {
            let outcome = self.receiver.apply_delta("g", delta.clone(), Millis(0));
            if outcome == DeltaOutcome::Gap {
                self.receiver.apply_report(
                    "g",
                    GatewayReport { sequence: self.last.sequence + 1, ..self.last.clone() },
                    Millis(0),
                );
                self.last.sequence += 1;
                self.has_all = true;
            }
        }
        self.has_all &= times > 0;
    }

    /// Checks that the receiver knows the same runs as the last report; tokens generated may
    /// differ.
    fn check(&self) {
        for n in 0..RUNNERS {
            let prompts = |runs: &mut dyn Iterator<Item = f64>| {
                let mut all: Vec<u64> = runs.map(|prompt| prompt as u64).collect();
                all.sort_unstable();
                all
            };
            let sent = self.last.runs.iter().filter(|note| note.runner == runner(n));
            let sent = prompts(&mut sent.map(|note| note.prompt as f64));
            let known = self.receiver.shapes_at(&runner(n), 1.4, Millis(0));
            assert_eq!(prompts(&mut known.iter().map(|run| run.prompt)), sent, "runner {n}");
            // The cached need may count generated tokens of a few ms ago, but must have the current
            // runs.
            let need = self.receiver.need_at(&runner(n), &forecast(), Millis(0));
            let prompts: f64 = known.iter().map(|run| run.prompt).sum();
            assert_eq!(need.runs, known.len(), "the cached need of runner {n} is outdated");
            let generated = need.now - prompts;
            assert!(
                (0.0..=MAX_GENERATED as f64 * need.runs as f64).contains(&generated),
                "runner {n}: {generated}"
            );
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// A receiver of all deltas since a full report knows the reported state; one that missed a
    /// delta detects the gap.
    #[test]
    fn deltas_are_equivalent_to_full_reports(steps in prop::collection::vec(step(), STEPS)) {
        let mut link = Link::new();
        for step in steps {
            link.play(step);
            if link.has_all {
                link.check();
            }
        }
    }
}

#[test]
fn a_delta_that_does_not_follow_a_known_report_is_a_gap() {
    let mut runs = Runs::new(PeersConfig::default());
    let report = GatewayReport { incarnation: 1, sequence: 2, ..GatewayReport::default() };
    let delta = GatewayDelta { report: report.clone(), ..GatewayDelta::default() };
    assert_eq!(runs.apply_delta("g", delta.clone(), Millis(0)), DeltaOutcome::Gap);
    runs.apply_report("g", report, Millis(0));
    let next = |sequence, incarnation| GatewayDelta {
        report: GatewayReport { incarnation, sequence, ..delta.report.clone() },
        ..GatewayDelta::default()
    };
    assert_eq!(runs.apply_delta("g", next(3, 1), Millis(0)), DeltaOutcome::Applied);
    assert_eq!(runs.apply_delta("g", next(3, 1), Millis(0)), DeltaOutcome::Stale);
    assert_eq!(
        runs.apply_delta("g", next(5, 1), Millis(0)),
        DeltaOutcome::Gap,
        "report 4 was lost"
    );
    assert_eq!(
        runs.apply_delta("g", next(1, 2), Millis(0)),
        DeltaOutcome::Gap,
        "the peer restarted"
    );
    let silent = PeersConfig::default().forget_after;
    assert_eq!(runs.apply_delta("g", next(6, 1), silent), DeltaOutcome::Gap, "the peer was silent");
}

#[test]
fn runs_of_a_silent_peer_are_ignored() {
    let mut runs = Runs::new(PeersConfig::default());
    let shape =
        RunShape { prompt: 5_000.0, generated: 0.0, expected: 2_000.0, max_output: 9_000.0 };
    let note = RunReport { number: 1, is_generating: true, ..RunReport::new(runner(1), shape) };
    let report =
        GatewayReport { incarnation: 1, sequence: 1, runs: vec![note], ..GatewayReport::default() };
    runs.apply_report("g", report.clone(), Millis(0));
    let empty_delta = GatewayDelta {
        report: GatewayReport { sequence: 2, runs: Vec::new(), ..report },
        ..GatewayDelta::default()
    };
    runs.apply_delta("g", empty_delta, Millis(1_000));
    let generated = runs.shapes_at(&runner(1), 1.0, Millis(1_500))[0].generated;
    assert_eq!(generated, 1_500.0, "the run is extrapolated from the report that contained it");
    assert_eq!(
        runs.shapes_at(&runner(1), 1.0, Millis(3_900)).len(),
        1,
        "its gateway is still live"
    );
    assert!(runs.shapes_at(&runner(1), 1.0, Millis(4_000)).is_empty());
}
