//! Gateways that tell each other changes, over a network that loses, doubles and reorders them.

use bulrushusher_forward::{
    ChangesNews, ForecastConfig, GatewayChanges, GatewayReport, LengthModel, MemoryForecast,
    PeersConfig, RunNote, RunNumber, RunShape, Runs,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use proptest::prelude::*;

/// Runners, and steps of one case.
const RUNNERS: u8 = 4;
const STEPS: usize = 60;

/// The most that a run makes.
const MOST_MADE: u64 = 4_000;

#[derive(Clone, Debug)]
enum Step {
    /// Memory is held at a runner.
    Hold(u8, u64),
    /// One of the runs begins or goes on.
    Progress(usize, u64),
    /// One of them makes nothing.
    Stall(usize),
    /// One of them ends.
    End(usize),
    /// What changed is told, and arrives that often: lost, once or twice.
    Tell(u8),
    /// The oldest of what was told before arrives again.
    TellOld,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..RUNNERS, 1_000..9_000_u64).prop_map(|(at, prompt)| Step::Hold(at, prompt)),
        2 => (any::<usize>(), 0..MOST_MADE).prop_map(|(run, made)| Step::Progress(run, made)),
        1 => any::<usize>().prop_map(Step::Stall),
        2 => any::<usize>().prop_map(Step::End),
        4 => (0..3_u8).prop_map(Step::Tell),
        1 => Just(Step::TellOld),
    ]
}

fn runner(n: u8) -> RunnerId {
    format!("i-{n}").as_str().try_into().expect("a good name")
}

fn forecast() -> MemoryForecast {
    MemoryForecast {
        lengths: LengthModel::default(),
        tokens_per_ms: 1.4,
        memory: 72_000.0,
        cfg: ForecastConfig::default(),
    }
}

/// One gateway that tells, and one that hears.
struct Pair {
    teller: Runs,
    live: Vec<RunNumber>,
    last: GatewayReport,
    told: Vec<GatewayChanges>,
    hearer: Runs,
    /// True while the hearer has missed nothing since the last whole report.
    in_step: bool,
}

impl Pair {
    fn new() -> Pair {
        let runs = || Runs::new(PeersConfig::default());
        let mut pair = Pair {
            teller: runs(),
            live: Vec::new(),
            last: GatewayReport { life: 1, number: 1, ..GatewayReport::default() },
            told: Vec::new(),
            hearer: runs(),
            in_step: true,
        };
        pair.hearer.hear("g", pair.last.clone(), Millis(0));
        pair
    }

    fn report(&self) -> GatewayReport {
        GatewayReport {
            life: 1,
            number: self.last.number + 1,
            runs: self.teller.own().cloned().collect(),
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
                self.live.push(self.teller.hold(RunNote::new(runner(at), shape)));
            }
            Step::Progress(run, made) if !self.live.is_empty() => {
                self.teller.progress(self.live[run % self.live.len()], made);
            }
            Step::Stall(run) if !self.live.is_empty() => {
                self.teller.stall(self.live[run % self.live.len()]);
            }
            Step::End(run) if !self.live.is_empty() => {
                let run = self.live.remove(run % self.live.len());
                assert!(self.teller.end(run).is_some());
            }
            Step::Progress(..) | Step::Stall(_) | Step::End(_) => {}
            Step::Tell(times) => self.tell(times),
            Step::TellOld => {
                if let Some(old) = self.told.first().cloned() {
                    let news = self.hearer.hear_changes("g", old, Millis(0));
                    assert!(news == ChangesNews::Old || !self.in_step, "{news:?}");
                }
            }
        }
    }

    fn tell(&mut self, times: u8) {
        let report = self.report();
        let changes = GatewayChanges::between(&self.last, &report);
        self.last = report;
        self.told.push(changes.clone());
        for _ in 0..times {
            let news = self.hearer.hear_changes("g", changes.clone(), Millis(0));
            if news == ChangesNews::Missed {
                self.hearer.hear(
                    "g",
                    GatewayReport { number: self.last.number + 1, ..self.last.clone() },
                    Millis(0),
                );
                self.last.number += 1;
                self.in_step = true;
            }
        }
        self.in_step &= times > 0;
    }

    /// What the hearer believes of a runner, but for what runs made: prompts and begun runs.
    fn check(&self) {
        for n in 0..RUNNERS {
            let prompts = |runs: &mut dyn Iterator<Item = f64>| {
                let mut all: Vec<u64> = runs.map(|prompt| prompt as u64).collect();
                all.sort_unstable();
                all
            };
            let told = self.last.runs.iter().filter(|note| note.runner == runner(n));
            let told = prompts(&mut told.map(|note| note.prompt as f64));
            let heard = self.hearer.at(&runner(n), 1.4, Millis(0));
            assert_eq!(prompts(&mut heard.iter().map(|run| run.prompt)), told, "runner {n}");
            // What runs make meanwhile may be some milliseconds old; which runs there are may not.
            let need = self.hearer.need_at(&runner(n), &forecast(), Millis(0));
            let prompts: f64 = heard.iter().map(|run| run.prompt).sum();
            assert_eq!(need.runs, heard.len(), "what is kept of runner {n} is out of date");
            let made = need.now - prompts;
            assert!(
                (0.0..=MOST_MADE as f64 * need.runs as f64).contains(&made),
                "runner {n}: {made}"
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

    /// Whoever has heard all since a whole report believes what was told; whoever has not knows that
    /// it has not.
    #[test]
    fn changes_say_the_same_as_whole_reports(steps in prop::collection::vec(step(), STEPS)) {
        let mut pair = Pair::new();
        for step in steps {
            pair.play(step);
            if pair.in_step {
                pair.check();
            }
        }
    }
}

#[test]
fn changes_of_a_peer_that_is_not_known_ask_for_a_whole_report() {
    let mut runs = Runs::new(PeersConfig::default());
    let report = GatewayReport { life: 1, number: 2, ..GatewayReport::default() };
    let changes = GatewayChanges { report: report.clone(), ended: Vec::new() };
    assert_eq!(runs.hear_changes("g", changes.clone(), Millis(0)), ChangesNews::Missed);
    runs.hear("g", report, Millis(0));
    let next = |number, life| GatewayChanges {
        report: GatewayReport { life, number, ..changes.report.clone() },
        ended: Vec::new(),
    };
    assert_eq!(runs.hear_changes("g", next(3, 1), Millis(0)), ChangesNews::Taken);
    assert_eq!(runs.hear_changes("g", next(3, 1), Millis(0)), ChangesNews::Old);
    assert_eq!(runs.hear_changes("g", next(5, 1), Millis(0)), ChangesNews::Missed, "4 is lost");
    assert_eq!(
        runs.hear_changes("g", next(1, 2), Millis(0)),
        ChangesNews::Missed,
        "it started again"
    );
    let silent = PeersConfig::default().forget_after;
    assert_eq!(runs.hear_changes("g", next(6, 1), silent), ChangesNews::Missed, "it was silent");
}

#[test]
fn runs_of_a_peer_that_is_silent_count_for_nothing() {
    let mut runs = Runs::new(PeersConfig::default());
    let shape =
        RunShape { prompt: 5_000.0, generated: 0.0, expected: 2_000.0, max_output: 9_000.0 };
    let note = RunNote { number: 1, begun: true, ..RunNote::new(runner(1), shape) };
    let report = GatewayReport { life: 1, number: 1, runs: vec![note], ..GatewayReport::default() };
    runs.hear("g", report.clone(), Millis(0));
    let nothing_new = GatewayChanges {
        report: GatewayReport { number: 2, runs: Vec::new(), ..report },
        ended: Vec::new(),
    };
    runs.hear_changes("g", nothing_new, Millis(1_000));
    let made = runs.at(&runner(1), 1.0, Millis(1_500))[0].generated;
    assert_eq!(made, 1_500.0, "it grows from when its own run was told");
    assert_eq!(runs.at(&runner(1), 1.0, Millis(3_900)).len(), 1, "its gateway still speaks");
    assert!(runs.at(&runner(1), 1.0, Millis(4_000)).is_empty());
}
