//! Gateways that share a runner's rate limit while their traffic moves, over links that lose reports.

use std::collections::VecDeque;

use bulrushusher_forward::{
    BackPressure, BackPressureConfig, DemandMeter, RateLimit, Runner, RunnerSignals,
};
use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Millis = Millis(10);

/// Time between two reports of a gateway.
const REPORT_STEPS: u64 = 70;

/// Steps for which the traffic stays as it is.
const PHASE_STEPS: u64 = 800;

/// Steps after a change until the share must follow it.
const CONTACT_STEPS: u64 = 300;

/// Span over which the platform checks a limit.
const SPAN: Millis = Millis(4_000);

struct Fleet {
    gateways: Vec<(BackPressure, DemandMeter)>,
    runner: Runner,
    rng: ChaCha8Rng,
    sent: VecDeque<Millis>,
    most_in_span: usize,
}

fn runner() -> Runner {
    Runner {
        id: "i-1".try_into().unwrap(),
        born: None,
        service: "board-app".try_into().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc-1".try_into().unwrap(),
        slots: 6,
        stage: None,
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

fn signals(limit: f64) -> RunnerSignals {
    let rate_limit = Some(RateLimit::try_from(limit.to_string().as_str()).unwrap());
    RunnerSignals { rate_limit, ..RunnerSignals::default() }
}

impl Fleet {
    fn new(count: usize, limit: f64, seed: u64) -> Fleet {
        let gateway = |n: usize| {
            let mut pressure =
                BackPressure::new(BackPressureConfig::default(), format!("gateway-{n}").into());
            pressure.set_announced(count - 1);
            (0..count).filter(|other| *other != n).for_each(|other| {
                pressure.record_gateway(&format!("gateway-{other}"), 0, Millis(0));
            });
            pressure.record_signals(&runner(), signals(limit), Millis(0));
            (pressure, DemandMeter::default())
        };
        Fleet {
            gateways: (0..count).map(gateway).collect(),
            runner: runner(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: VecDeque::new(),
            most_in_span: 0,
        }
    }

    /// Requests at a gateway; returns true if the runner may get it.
    fn request(&mut self, at: usize, limit: f64, now: Millis) -> bool {
        let (pressure, demand) = &mut self.gateways[at];
        demand.record(now);
        pressure.refresh(now);
        let is_sent = pressure.acquire(&self.runner, 1, now).is_ok();
        if is_sent {
            pressure.record_signals(&self.runner, signals(limit), now);
            self.sent.push_back(now);
            while self.sent.front().is_some_and(|first| now.since(*first) >= SPAN) {
                self.sent.pop_front();
            }
            self.most_in_span = self.most_in_span.max(self.sent.len());
        }
        is_sent
    }

    /// Gateway `from` reports to the others; one report in ten is lost.
    fn report(&mut self, from: usize, now: Millis) {
        let demand = self.gateways[from].1.per_second(now);
        self.gateways[from].0.set_own_demand(demand);
        for to in (0..self.gateways.len()).filter(|to| *to != from) {
            if self.rng.random::<f64>() >= 0.1 {
                self.gateways[to].0.record_gateway(&format!("gateway-{from}"), demand, now);
            }
        }
    }
}

/// Plays phases in which a few gateways get all requests, `load` times what the limit allows. Returns
/// the worst share of the requests that was sent from the contact time of a phase on, and the most
/// requests in a span.
fn play(count: usize, limit: f64, load: f64, seed: u64) -> (f64, usize) {
    let mut fleet = Fleet::new(count, limit, seed);
    let mut worst = 1.0_f64;
    let mut now = Millis(1_000);
    for phase in 0..6 {
        let busy = match phase % 3 {
            0 => count,
            1 => 1,
            _ => count.div_ceil(4),
        };
        let first = fleet.rng.random_range(0..count);
        let (mut asked, mut served, mut due) = (0, 0, 0.0);
        for step in 0..PHASE_STEPS {
            due += limit * load * STEP.0 as f64 / 1_000.0;
            while due >= 1.0 {
                due -= 1.0;
                let at = (first + fleet.rng.random_range(0..busy)) % count;
                let is_sent = fleet.request(at, limit, now);
                if step >= CONTACT_STEPS {
                    asked += 1;
                    served += usize::from(is_sent);
                }
            }
            for from in 0..count {
                if (step + from as u64 * 7).is_multiple_of(REPORT_STEPS) {
                    fleet.report(from, now);
                }
            }
            now = now.plus(STEP);
        }
        if phase > 0 && busy == 1 {
            worst = worst.min(served as f64 / asked as f64);
        }
    }
    (worst, fleet.most_in_span)
}

/// The platform allows half of the limit more, and five requests.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN.0 as f64 / 1_000.0) as usize + 5
}

#[test]
fn a_gateway_that_gets_all_requests_has_nearly_the_whole_limit() {
    for (count, limit) in [(3, 20.0), (5, 8.0), (21, 40.0), (31, 12.0)] {
        for seed in 0..4 {
            let (worst, most) = play(count, limit, 0.7, seed);
            assert!(worst >= 0.75, "{count} gateways, {limit}/s, seed {seed}: {worst:.2}");
            assert!(most <= allowed(limit), "{count} gateways, {limit}/s, seed {seed}: {most}");
        }
    }
}

#[test]
fn traffic_that_moves_exceeds_no_limit() {
    for (count, limit) in [(2, 5.0), (3, 20.0), (5, 2.0), (21, 6.0), (21, 60.0), (66, 10.0)] {
        for seed in 0..4 {
            let (_, most) = play(count, limit, 4.0, seed);
            assert!(most <= allowed(limit), "{count} gateways, {limit}/s, seed {seed}: {most}");
        }
    }
}
