//! A burst of prompts at prefill runners that are slow for some hundred milliseconds at times.
//!
//! Guards against prompts that are processed twice: a late prefill is waited for while its runner
//! works, and the runner's death still costs no more than a timeout.

use std::collections::VecDeque;

use bulrushusher_forward::{
    GatewayReport, LatePrefill, OtherRunner, PatienceConfig, PeerPrefills, PrefillEnds,
    PrefillEndsConfig, PrefillPatience, SentPrefill, TimingConfig, TimingModel,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 31;
/// Speeds of the prefill runners: a quarter is faster.
const SPEEDS: [f64; 5] = [1.0, 0.83, 1.0, 2.2, 0.83];
const SEEDS: u64 = 8;
const HOLD: Millis = Millis(1_950);
/// Time for the prefill that leaves the first event in time.
const TARGET: Millis = Millis(800);
const REPORT_INTERVAL: u64 = 300;
const SLOW_PHASE: u64 = 600;
/// Time for which a runner that was given up is avoided.
const DEAD_PAUSE: Millis = Millis(2_000);
const SLOWDOWN: f64 = 2.5;

struct Prompt {
    gateway: usize,
    tokens: u64,
    arrived: Millis,
    /// Runners so far; the last one has the prompt.
    tried: Vec<usize>,
    sent: Millis,
    queued: u64,
    timeout: Millis,
    recheck: Millis,
}

#[derive(Default)]
struct Runner {
    /// Prompts in the queue, with the work left in ms.
    queue: VecDeque<(usize, f64)>,
    slow_until: u64,
    is_dead: bool,
    paused_until: Millis,
}

#[derive(Debug, Default)]
struct Outcome {
    prompts: usize,
    in_time: usize,
    refused: usize,
    /// Prompts that a runner had begun to process when they were given up.
    wasted: usize,
}

struct Load {
    patient: bool,
    now: Millis,
    rng: ChaCha8Rng,
    arrivals: ChaCha8Rng,
    phases: ChaCha8Rng,
    runners: Vec<Runner>,
    gateways: Vec<(PrefillEnds, TimingModel)>,
    prompts: Vec<Option<Prompt>>,
    reported: Vec<u64>,
    outcome: Outcome,
}

fn id(runner: usize) -> RunnerId {
    format!("p{runner}").as_str().try_into().expect("valid name")
}

impl Load {
    fn new(patient: bool, seed: u64) -> Load {
        let gateway = || {
            let ends = PrefillEnds::new(PrefillEndsConfig::default());
            (ends, TimingModel::new(TimingConfig::default()))
        };
        Load {
            patient,
            now: Millis(1_000),
            rng: ChaCha8Rng::seed_from_u64(seed),
            arrivals: ChaCha8Rng::seed_from_u64(seed + 100),
            phases: ChaCha8Rng::seed_from_u64(seed + 200),
            runners: SPEEDS.iter().map(|_| Runner::default()).collect(),
            gateways: (0..GATEWAYS).map(|_| gateway()).collect(),
            prompts: Vec::new(),
            reported: vec![0; SPEEDS.len()],
            outcome: Outcome::default(),
        }
    }

    fn queued(&self, runner: usize) -> u64 {
        let queue = self.runners[runner].queue.iter();
        let in_flight = queue.filter_map(|(prompt, _)| self.prompts[*prompt].as_ref());
        in_flight.filter(|it| it.tried.last() == Some(&runner)).map(|it| it.tokens).sum()
    }

    /// The runner with the shortest queue as of the last reports.
    fn pick(&mut self, tried: &[usize]) -> usize {
        let is_open = |it: &usize| self.runners[*it].paused_until <= self.now;
        let open = (0..SPEEDS.len()).filter(|runner| !tried.contains(runner));
        let open: Vec<usize> = open.filter(is_open).collect();
        let cost = |runner: &usize| (self.reported[*runner], *runner);
        let draw = self.rng.random_range(0..open.len());
        let near = open.iter().cycle().skip(draw).take(3);
        *near.min_by_key(|it| cost(it)).expect("a runner is left")
    }

    fn send(&mut self, nth: usize, mut prompt: Prompt) {
        let runner = self.pick(&prompt.tried);
        let hold_left = HOLD.since(self.now.since(prompt.arrived));
        prompt.tried.push(runner);
        prompt.sent = self.now;
        prompt.queued = self.reported[runner];
        let timing = &self.gateways[prompt.gateway].1;
        prompt.timeout = timing.prefill_timeout(prompt.queued + prompt.tokens).min(hold_left);
        prompt.recheck = self.now.plus(prompt.timeout);
        let work = prompt.tokens as f64 * 0.02 / SPEEDS[runner];
        self.reported[runner] += prompt.tokens;
        self.runners[runner].queue.push_back((nth, work));
        self.prompts[nth] = Some(prompt);
    }

    fn arrive(&mut self, per_second: f64) {
        if self.arrivals.random::<f64>() < per_second / 1_000.0 {
            let gateway = self.arrivals.random_range(0..GATEWAYS);
            let tokens = self.arrivals.random_range(2_400..8_000);
            let (arrived, sent, timeout, recheck) = (self.now, self.now, self.now, self.now);
            let tried = Vec::new();
            self.prompts.push(None);
            self.outcome.prompts += 1;
            let prompt =
                Prompt { gateway, tokens, arrived, tried, sent, queued: 0, timeout, recheck };
            self.send(self.prompts.len() - 1, prompt);
        }
    }

    /// One millisecond of work at a runner.
    fn work(&mut self, nth: usize) {
        let runner = &mut self.runners[nth];
        // Slow phases take 15 in 100 of the time.
        let draw = self.phases.random::<f64>();
        if self.now.0 >= runner.slow_until && draw < 0.15 / 0.85 / SLOW_PHASE as f64 {
            runner.slow_until = self.now.0 + SLOW_PHASE;
        }
        let done = if self.now.0 < runner.slow_until { 1.0 / SLOWDOWN } else { 1.0 };
        let Some((prompt, left)) = runner.queue.front_mut().filter(|_| !runner.is_dead) else {
            return;
        };
        *left -= done;
        if *left > 0.0 {
            return;
        }
        let ended = *prompt;
        runner.queue.pop_front();
        let is_here = |it: &mut Prompt| it.tried.last() == Some(&nth);
        let Some(prompt) = self.prompts[ended].take_if(is_here) else { return };
        let took = self.now.since(prompt.sent);
        let (ends, timing) = &mut self.gateways[prompt.gateway];
        ends.record_end(&id(nth), prompt.sent, self.now);
        timing.record_prefill(prompt.queued + prompt.tokens, took);
        self.outcome.in_time += usize::from(self.now.since(prompt.arrived) <= TARGET);
    }

    fn late(&self, prompt: &Prompt) -> LatePrefill {
        let runner = *prompt.tried.last().expect("it was sent");
        let (ends, timing) = &self.gateways[prompt.gateway];
        let elapsed = self.now.since(prompt.sent);
        let others = (0..SPEEDS.len()).filter(|it| !prompt.tried.contains(it));
        let shortest = others.map(|it| self.reported[it]).min().unwrap_or_default();
        let likely = timing.prefill().likely_ms((shortest + prompt.tokens) as f64);
        let Prompt { tokens, queued, .. } = *prompt;
        LatePrefill {
            sent: Some(SentPrefill { tokens, queued, elapsed, timing: timing.prefill() }),
            late_for: elapsed.since(prompt.timeout),
            progress: ends.progress(&id(runner), prompt.sent, self.now),
            single_timeout: timing.prefill_timeout(prompt.tokens),
            has_answered: !self.runners[runner].is_dead,
            hold_left: HOLD.since(self.now.since(prompt.arrived)),
            target_left: TARGET.since(self.now.since(prompt.arrived)),
            other: (prompt.tried.len() == 1).then_some(OtherRunner::Prefill(Millis(likely as u64))),
        }
    }

    /// Decides on a prompt that is late.
    fn decide(&mut self, nth: usize) {
        let Some(prompt) = self.prompts[nth].as_ref().filter(|it| self.now >= it.recheck) else {
            return;
        };
        let decision = self.late(prompt).decide(PatienceConfig::default());
        let Some(mut prompt) = self.prompts[nth].take() else { return };
        if let PrefillPatience::Wait(_, length) = decision
            && self.patient
        {
            prompt.recheck = self.now.plus(length);
            self.prompts[nth] = Some(prompt);
            return;
        }
        let runner = &mut self.runners[*prompt.tried.last().expect("it was sent")];
        // A runner that works processes the prompt nevertheless.
        self.outcome.wasted += usize::from(!runner.is_dead);
        if runner.is_dead {
            runner.paused_until = self.now.plus(DEAD_PAUSE);
        }
        let is_held = self.now.since(prompt.arrived) < HOLD;
        match prompt.tried.len() == 1 && is_held {
            true => self.send(nth, prompt),
            false => self.outcome.refused += 1,
        }
    }

    /// Every gateway reports at its own time; queue lengths are known to all a little later.
    fn report(&mut self) {
        if self.now.0.is_multiple_of(100) {
            self.reported = (0..SPEEDS.len()).map(|runner| self.queued(runner)).collect();
        }
        let slot = self.now.0 % REPORT_INTERVAL;
        for from in (0..GATEWAYS).filter(|from| *from as u64 * 9 == slot) {
            let sent = self.prompts.iter().flatten().filter(|it| it.gateway == from);
            let in_flight = sent.filter_map(|it| Some((id(*it.tried.last()?), it.tokens)));
            let report = GatewayReport {
                prefill_ends: self.gateways[from].0.report(self.now),
                prefill_tokens: in_flight.collect(),
                ..GatewayReport::default()
            };
            for to in (0..GATEWAYS).filter(|to| *to != from) {
                let heard = PeerPrefills::take(&mut report.clone());
                self.gateways[to].0.merge(&format!("g{from}"), heard, self.now);
            }
        }
    }

    /// Bursts of twice the usual load; a runner dies at `dies_at`.
    fn run(mut self, length: u64, dies_at: Option<u64>) -> Outcome {
        for ms in 0..length {
            let per_second = if ms % 12_000 < 8_000 { 32.0 } else { 58.0 };
            self.runners[0].is_dead = dies_at.is_some_and(|at| ms >= at);
            self.arrive(per_second);
            (0..SPEEDS.len()).for_each(|runner| self.work(runner));
            (0..self.prompts.len()).for_each(|nth| self.decide(nth));
            self.report();
            self.now = self.now.plus(Millis(1));
        }
        self.outcome
    }
}

/// Sums up some runs of 24 s, with late prefills waited for or given up at their timeout.
fn sum(patient: bool, dies_at: Option<u64>) -> Outcome {
    (1..=SEEDS).fold(Outcome::default(), |sum, seed| {
        let one = Load::new(patient, seed).run(24_000, dies_at);
        Outcome {
            prompts: sum.prompts + one.prompts,
            in_time: sum.in_time + one.in_time,
            refused: sum.refused + one.refused,
            wasted: sum.wasted + one.wasted,
        }
    })
}

#[test]
fn waiting_for_late_prefills_processes_fewer_prompts_twice() {
    let (before, now) = (sum(false, None), sum(true, None));
    println!("given up at the timeout: {before:?}\nwaited for: {now:?}");
    assert!(before.wasted > 20, "the load makes prefills late: {before:?}");
    assert!(now.wasted * 2 <= before.wasted, "{now:?} {before:?}");
    assert!(now.in_time >= before.in_time && now.refused <= before.refused, "{now:?} {before:?}");
}

#[test]
fn a_dead_runner_costs_no_more_than_with_timeouts_alone() {
    let (before, now) = (sum(false, Some(14_000)), sum(true, Some(14_000)));
    println!("given up at the timeout: {before:?}\nwaited for: {now:?}");
    assert!(now.wasted <= before.wasted && now.refused <= before.refused, "{now:?} {before:?}");
    assert!(now.in_time >= before.in_time, "{now:?} {before:?}");
}
