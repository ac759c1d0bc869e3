//! Gateways that look for the part of prompts on which runners crash, without a network.
//!
//! Sound requests share parts with those that crash runners, and runners also crash for no cause of a
//! request. The oracle knows the guilty part; the gateways see only which runs were young when a runner
//! ended, and which runs outlived the crash window. Run `cargo test --release -p bulrushusher_routing
//! --test crash_simulation -- --ignored --nocapture` for the rates over many seeds.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, HashMap};

use bulrushusher_routing::{
    CrashKey, CrashUpdate, CrashVerdict, Quarantine, QuarantineConfig, RequestDigest, RequestKeys,
    SentRequest,
};
use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Length of a simulated day.
const DAY: Millis = Millis(60_000);

/// Time that a runner takes to start again.
const RESTART: Millis = Millis(3_000);

/// Time from the first token of a guilty request to the crash.
const CRASHES_AFTER: Millis = Millis(60);

/// Crashes by a part after which gateways in touch must refuse it.
const RULE_CRASHES: usize = 5;

/// Time after which a gateway that hears of the others again counts as in touch.
const CONTACT: Millis = Millis(3_000);

/// Guilty requests that may reach runners after that.
const RULE_ARRIVALS: usize = 3;

/// Requests per second and runner.
const REQUESTS_PER_RUNNER: f64 = 1.5;

/// What happens on a day.
#[derive(Clone, Copy, Debug)]
struct Day {
    gateways: usize,
    runners: usize,
    /// Guilty requests per second, between a sixth and two thirds of the day; 0 for none.
    guilty_per_s: f64,
    /// Crashes without a cause per second.
    crashes_per_s: f64,
    /// A fifth of the runners crash together at these times.
    racks: &'static [u64],
    /// All gateways lose their memory at these times.
    restarts: &'static [u64],
}

/// What came of a day.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    crashes: usize,
    guilty_crashes: usize,
    /// Guilty requests that reached runners later than [`CONTACT`] after the fifth such crash.
    late_arrivals: usize,
    /// Sound requests that were refused.
    refused: usize,
    /// Entries without the guilty part.
    false_verdicts: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { is_guilty: bool },
    Send { run: usize },
    Begin { run: usize, attempt: u32 },
    Survive { run: usize, attempt: u32 },
    End { run: usize, attempt: u32 },
    CrashByRun { run: usize, attempt: u32 },
    CrashForNoCause,
    CrashRack,
    RestartGateways,
    Observe { run: usize, attempt: u32 },
    Deliver { to: usize, message: usize },
}

#[derive(Clone, Debug)]
struct Run {
    gateway: usize,
    keys: RequestKeys,
    is_guilty: bool,
    attempt: u32,
    runner: usize,
    sent: Option<SentRequest>,
    /// When the first event came.
    began: Option<Millis>,
    is_open: bool,
}

struct Simulation {
    day: Day,
    rng: ChaCha8Rng,
    now: Millis,
    gateways: Vec<Quarantine>,
    stored: CrashUpdate,
    dead_until: Vec<Millis>,
    at_runner: Vec<BTreeSet<usize>>,
    runs: Vec<Run>,
    messages: Vec<(usize, CrashUpdate)>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    outcome: Outcome,
    false_sets: HashMap<String, Millis>,
    documents: u64,
    /// When the guilty part crashed a runner for the fifth time.
    fifth_at: Option<Millis>,
}

fn digest(kind: &str, n: u64) -> RequestDigest {
    RequestDigest::of([kind.as_bytes(), &n.to_le_bytes()])
}

fn guilty_part() -> CrashKey {
    CrashKey::Part(digest("guilty", 0))
}

impl Simulation {
    fn new(day: Day, cfg: QuarantineConfig, seed: u64) -> Simulation {
        let mut sim = Simulation {
            day,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis(0),
            gateways: vec![Quarantine::new(cfg); day.gateways],
            stored: CrashUpdate::default(),
            dead_until: vec![Millis(0); day.runners],
            at_runner: vec![BTreeSet::new(); day.runners],
            runs: Vec::new(),
            messages: Vec::new(),
            events: BinaryHeap::new(),
            sequence: 0,
            outcome: Outcome::default(),
            false_sets: HashMap::new(),
            documents: 0,
            fifth_at: None,
        };
        sim.schedule_poisson(
            REQUESTS_PER_RUNNER * day.runners as f64,
            (0, DAY.0),
            Event::Arrive { is_guilty: false },
        );
        sim.schedule_poisson(
            day.guilty_per_s,
            (DAY.0 / 6, DAY.0 * 2 / 3),
            Event::Arrive { is_guilty: true },
        );
        sim.schedule_poisson(day.crashes_per_s, (2_000, DAY.0), Event::CrashForNoCause);
        day.racks.iter().for_each(|at| sim.schedule(Millis(*at), Event::CrashRack));
        day.restarts.iter().for_each(|at| sim.schedule(Millis(*at), Event::RestartGateways));
        sim
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn schedule_poisson(&mut self, per_s: f64, span: (u64, u64), event: Event) {
        if per_s <= 0.0 {
            return;
        }
        let mut at = span.0 as f64;
        loop {
            at -= self.rng.random::<f64>().max(1e-9).ln() * 1_000.0 / per_s;
            if at >= span.1 as f64 {
                return;
            }
            self.schedule(Millis(at as u64), event.clone());
        }
    }

    fn between(&mut self, min: u64, max: u64) -> Millis {
        Millis(self.rng.random_range(min..=max))
    }

    fn run(mut self) -> Outcome {
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            self.handle(event);
        }
        self.outcome.false_verdicts = self.false_sets.len();
        self.outcome
    }

    fn is_current(&self, run: usize, attempt: u32) -> bool {
        self.runs[run].is_open && self.runs[run].attempt == attempt
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { is_guilty } => self.arrive(is_guilty),
            Event::Send { run } => self.send(run),
            Event::Begin { run, attempt } if self.is_current(run, attempt) => {
                self.runs[run].began = Some(self.now);
                let window = QuarantineConfig::default().crash_window.plus(Millis(1));
                self.schedule(self.now.plus(window), Event::Survive { run, attempt });
                if self.runs[run].is_guilty {
                    let at = self.now.plus(CRASHES_AFTER);
                    self.schedule(at, Event::CrashByRun { run, attempt });
                }
            }
            Event::Survive { run, attempt } if self.is_current(run, attempt) => self.survive(run),
            Event::End { run, attempt } if self.is_current(run, attempt) => {
                self.survive(run);
                self.runs[run].is_open = false;
                self.at_runner[self.runs[run].runner].remove(&run);
            }
            Event::CrashByRun { run, attempt } if self.is_current(run, attempt) => {
                self.outcome.guilty_crashes += 1;
                if self.outcome.guilty_crashes == RULE_CRASHES {
                    self.fifth_at = Some(self.now);
                }
                self.crash(self.runs[run].runner);
            }
            Event::CrashForNoCause => {
                let runner = self.rng.random_range(0..self.day.runners);
                self.crash(runner);
            }
            Event::CrashRack => (0..self.day.runners / 5).for_each(|runner| self.crash(runner)),
            Event::RestartGateways => self.restart_gateways(),
            Event::Observe { run, attempt } => self.observe(run, attempt),
            Event::Deliver { to, message } => self.deliver(to, message),
            Event::Begin { .. }
            | Event::Survive { .. }
            | Event::End { .. }
            | Event::CrashByRun { .. } => {}
        }
    }

    /// A request whose prompt begins with one of two parts that nearly all share.
    fn arrive(&mut self, is_guilty: bool) {
        let mut parts = vec![digest("first", self.rng.random_range(0..2))];
        // Low numbers are frequent.
        let common = (self.rng.random::<f64>().powi(3) * 60.0) as u64;
        parts.push(digest("second", common));
        match (is_guilty, self.rng.random::<f64>()) {
            (true, _) => parts.push(digest("guilty", 0)),
            // A document that some requests of the next seconds have in common.
            (false, draw) if draw < 0.3 => {
                if self.rng.random::<f64>() < 0.3 {
                    self.documents += 1;
                }
                let recent = self.documents.saturating_sub(self.rng.random_range(0..10));
                parts.push(digest("document", recent));
            }
            (false, _) => {}
        }
        let run = self.runs.len();
        self.runs.push(Run {
            gateway: self.rng.random_range(0..self.day.gateways),
            keys: RequestKeys::new(digest("request", run as u64), parts),
            is_guilty,
            attempt: 0,
            runner: 0,
            sent: None,
            began: None,
            is_open: true,
        });
        self.send(run);
    }

    fn send(&mut self, run: usize) {
        let alive: Vec<usize> =
            (0..self.day.runners).filter(|it| self.dead_until[*it] <= self.now).collect();
        if alive.is_empty() {
            self.runs[run].is_open = false;
            return;
        }
        let runner = alive[self.rng.random_range(0..alive.len())];
        let begin = self.between(20, 250);
        let length = self.between(200, 5_000);
        let Run { gateway, keys, is_guilty, .. } = self.runs[run].clone();
        if self.gateways[gateway].find(&keys, self.now).is_some() {
            self.runs[run].is_open = false;
            self.outcome.refused += usize::from(!is_guilty);
            return;
        }
        let is_late = self.fifth_at.is_some_and(|at| self.now > at.plus(CONTACT));
        self.outcome.late_arrivals += usize::from(is_guilty && is_late);
        let it = &mut self.runs[run];
        it.attempt += 1;
        it.runner = runner;
        it.began = None;
        it.sent = Some(self.gateways[gateway].record_send(&keys, self.now));
        let attempt = it.attempt;
        self.at_runner[runner].insert(run);
        self.schedule(self.now.plus(begin), Event::Begin { run, attempt });
        self.schedule(self.now.plus(begin).plus(length), Event::End { run, attempt });
    }

    fn survive(&mut self, run: usize) {
        let Run { gateway, keys, .. } = self.runs[run].clone();
        let cleared = self.gateways[gateway].record_sound_run(&keys, self.now);
        if !cleared.is_empty() {
            self.broadcast(gateway, CrashUpdate { cleared, ..CrashUpdate::default() });
        }
    }

    fn crash(&mut self, runner: usize) {
        if self.dead_until[runner] > self.now {
            return;
        }
        self.outcome.crashes += 1;
        self.dead_until[runner] = self.now.plus(RESTART);
        let window = QuarantineConfig::default().crash_window;
        for run in std::mem::take(&mut self.at_runner[runner]) {
            let attempt = self.runs[run].attempt;
            let is_young = self.runs[run].began.is_none_or(|began| self.now.since(began) <= window);
            let delay = self.between(2, 30);
            if is_young {
                self.schedule(self.now.plus(delay), Event::Observe { run, attempt });
            }
            // Most requests are sent again, by the gateway or by the caller.
            self.runs[run].attempt += 1;
            if self.runs[run].attempt < 6 && self.rng.random::<f64>() < 0.7 {
                let pause = self.between(30, 800);
                self.schedule(self.now.plus(delay).plus(pause), Event::Send { run });
            } else {
                self.runs[run].is_open = false;
            }
        }
    }

    fn observe(&mut self, run: usize, _attempt: u32) {
        let Run { gateway, sent, .. } = self.runs[run].clone();
        let Some(sent) = sent else { return };
        let mut update = CrashUpdate::default();
        match self.gateways[gateway].record_crash(&sent, self.now) {
            CrashVerdict::Known => return,
            CrashVerdict::Suspected { suspects } => update.suspects = suspects,
            CrashVerdict::Quarantined { entries, suspects } => {
                (update.suspects, update.quarantined) = (suspects, entries);
            }
        }
        for entry in &update.quarantined {
            let is_part = entry.keys.iter().any(|key| matches!(key, CrashKey::Part(_)));
            if is_part && !entry.keys.contains(guilty_part()) {
                self.false_sets.entry(entry.keys.to_string()).or_insert(self.now);
            }
        }
        let mut stored = update.clone();
        stored.suspects.retain(|it| it.crashes >= 2);
        self.stored.merge(stored);
        self.broadcast(gateway, update);
    }

    fn broadcast(&mut self, from: usize, update: CrashUpdate) {
        let message = self.messages.len();
        self.stored.suspects.retain(|it| !update.cleared.contains(&it.key));
        self.messages.push((from, update));
        for to in (0..self.day.gateways).filter(|to| *to != from) {
            // One in twenty datagrams is lost, and sent again after 300 ms.
            let resent = if self.rng.random::<f64>() < 0.05 { 300 } else { 0 };
            let at = self.now.plus(Millis(self.rng.random_range(1..10) + resent));
            self.schedule(at, Event::Deliver { to, message });
        }
    }

    fn deliver(&mut self, to: usize, message: usize) {
        let (from, update) = self.messages[message].clone();
        let missing = self.gateways[to].apply_update(&update, self.now);
        if !missing.is_empty() {
            self.gateways[from].apply_update(&missing, self.now);
        }
    }

    fn restart_gateways(&mut self) {
        for gateway in &mut self.gateways {
            *gateway = Quarantine::new(QuarantineConfig::default());
            self.stored.suspects.iter().for_each(|it| gateway.add_suspect(*it, self.now));
            for entry in &self.stored.quarantined {
                gateway.insert(entry, self.now);
            }
        }
    }
}

/// Runners of a deployment with so many gateways.
fn runners(gateways: usize) -> usize {
    4 + gateways * 2
}

fn day(gateways: usize, guilty_per_s: f64, crashes_per_s: f64) -> Day {
    let runners = runners(gateways);
    Day { gateways, runners, guilty_per_s, crashes_per_s, racks: &[], restarts: &[] }
}

/// The worst outcome over the seeds, with the false verdicts of all added up.
fn play(day: Day, cfg: QuarantineConfig, seeds: std::ops::Range<u64>) -> Outcome {
    let mut worst = Outcome::default();
    for seed in seeds {
        let outcome = Simulation::new(day, cfg, seed).run();
        worst.crashes = worst.crashes.max(outcome.crashes);
        worst.guilty_crashes = worst.guilty_crashes.max(outcome.guilty_crashes);
        worst.late_arrivals = worst.late_arrivals.max(outcome.late_arrivals);
        worst.refused = worst.refused.max(outcome.refused);
        worst.false_verdicts += outcome.false_verdicts;
    }
    worst
}

#[test]
fn a_guilty_part_is_found_beside_crashes_without_a_cause() {
    for gateways in [1, 5, 21] {
        let crashes_per_s = runners(gateways) as f64 / 20.0;
        let day = day(gateways, 3.0, crashes_per_s);
        let outcome = play(day, QuarantineConfig::default(), 0..12);
        assert!(outcome.guilty_crashes > 0);
        assert!(outcome.late_arrivals <= RULE_ARRIVALS, "{gateways}: {outcome:?}");
        assert_eq!(outcome.false_verdicts, 0, "{gateways}: {outcome:?}");
    }
}

#[test]
fn a_guilty_part_is_found_although_all_gateways_restart() {
    let restarts = &[10_700, 12_500, 30_000][..];
    let day = Day { restarts, ..day(5, 3.0, 0.5) };
    let outcome = play(day, QuarantineConfig::default(), 0..20);
    assert!(outcome.late_arrivals <= RULE_ARRIVALS, "{outcome:?}");
}

#[test]
fn crashes_without_a_cause_convict_no_part() {
    for gateways in [1, 5, 21] {
        let crashes_per_s = runners(gateways) as f64 / 20.0;
        let day = Day { racks: &[20_000, 25_000, 40_000], ..day(gateways, 0.0, crashes_per_s) };
        let outcome = play(day, QuarantineConfig::default(), 0..12);
        assert!(outcome.crashes >= 20, "{outcome:?}");
        assert_eq!(outcome.false_verdicts, 0, "{gateways}: {outcome:?}");
    }
}

/// The rates of CAPACITY.md: for each size and policy, the most crashes by the guilty part and the false
/// verdicts over all seeds.
#[test]
#[ignore = "takes minutes; run by hand for the figures of the design"]
fn rates_by_size_and_policy() {
    let chosen = QuarantineConfig::default();
    let policies = [
        ("3, or 5 if survived before", chosen),
        (
            "2 or 2 in a row",
            QuarantineConfig { part_threshold: 2, sound_part_threshold: 2, ..chosen },
        ),
        ("3 or 3 in a row", QuarantineConfig { sound_part_threshold: 3, ..chosen }),
        ("4, or 5 if survived before", QuarantineConfig { part_threshold: 4, ..chosen }),
    ];
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|it| it.parse().ok()).unwrap_or(50);
    let sizes: Vec<usize> = std::env::var("GATEWAYS")
        .map(|it| it.split(',').filter_map(|n| n.parse().ok()).collect())
        .unwrap_or(vec![1, 5, 21, 66, 300]);
    for (name, cfg) in policies {
        for gateways in sizes.clone() {
            let seeds = if gateways > 100 { seeds / 5 } else { seeds };
            let calm = runners(gateways) as f64;
            let guilty = play(day(gateways, 3.0, 1.0), cfg, 0..seeds);
            let rough = day(gateways, 0.0, calm / 20.0);
            let rough = play(Day { racks: &[20_000, 25_000, 40_000], ..rough }, cfg, 0..seeds);
            let worst = play(day(gateways, 0.0, calm / 8.0), cfg, 0..seeds);
            println!(
                "{name:28} gateways={gateways:3} days={seeds} guilty: crashes<={} late<={} false={} | each runner \
                 crashes once in 20 s, and racks: false={} refused<={} | once in 8 s: false={} refused<={}",
                guilty.guilty_crashes,
                guilty.late_arrivals,
                guilty.false_verdicts,
                rough.false_verdicts,
                rough.refused,
                worst.false_verdicts,
                worst.refused,
            );
        }
    }
}
