//! Plain calls while a quarter of the runners comes back cold in a burst and the others are full.
//!
//! Guards against two ways to lose such a quarter: the waiting load crashes it as soon as it is back,
//! or it stays unused after it has become warm.

use std::collections::VecDeque;

use bulrushusher_forward::{
    BackPressure, BackPressureConfig, BackPressureView, CallResult, CallSelection, ColdLimitConfig,
    ColdSpec, KnownGateways, LoadConfig, LoadEpoch, PlaceView, Runner, RunnerDirectory,
    RunnerDirectoryConfig, RunnerLoads, SelectionContext, SendKind, ServiceSpec, StartTime,
    pick_for_call,
};
use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const GATEWAYS: usize = 26;
const RUNNERS: usize = 16;
/// Runners that come back at [`RETURN`].
const RETURNING: usize = 4;
const SLOTS: usize = 6;
const CALL: u64 = 60;
const RETURN: u64 = 2_000;
const COLD_FOR: u64 = 3_000;
const END: u64 = 12_000;
/// Calls per second: somewhat above what the twelve others can serve.
const RATE: f64 = 1_250.0;
const LIMIT: ColdLimitConfig = ColdLimitConfig { overage: 1.5, slack: 5.0 };
const COLD_RATE: f64 = 24.0;

fn runner(n: usize, start: u64, cold_for: u64) -> Runner {
    Runner {
        id: format!("i-{n}").as_str().try_into().unwrap(),
        born: Some(StartTime(start)),
        service: "app".try_into().unwrap(),
        address: ([10, 0, 0, n as u8], 80).into(),
        data_centre: "dc-1".try_into().unwrap(),
        slots: SLOTS as u32,
        stage: None,
        leaving: false,
        cold_for: Millis(cold_for),
        revision: start,
        version: "v1".into(),
    }
}

struct Gateway {
    directory: RunnerDirectory,
    loads: RunnerLoads,
    pressure: BackPressure,
}

impl Gateway {
    fn new(n: usize, is_limiting: bool) -> Gateway {
        let own = format!("entry-{n}");
        let mut gateway = Gateway {
            directory: RunnerDirectory::new(RunnerDirectoryConfig::default()),
            loads: RunnerLoads::new(LoadConfig::default()),
            pressure: BackPressure::new(BackPressureConfig::default(), own.as_str().into()),
        };
        let requests_per_second = COLD_RATE;
        let cold = ColdSpec { requests_per_second, duration: Millis(COLD_FOR) };
        let service = ServiceSpec {
            name: "app".try_into().unwrap(),
            max_connections: 100,
            engine: None,
            cold: is_limiting.then_some(cold),
        };
        let cold = &mut gateway.pressure.cold;
        cold.set_services([&service], LIMIT, Millis(0));
        let others = (0..GATEWAYS).filter(|other| *other != n);
        let others = others.map(|other| format!("entry-{other}").as_str().into()).collect();
        let certain_until = Some(Millis(u64::MAX));
        cold.set_gateways(KnownGateways { others, certain_until }, Millis(0));
        (0..RUNNERS).for_each(|n| gateway.put(runner(n, 1, 0), 0));
        gateway
    }

    fn put(&mut self, runner: Runner, now: u64) {
        self.pressure.cold.observe(&runner, Millis(now));
        self.directory.put(runner, Millis(now));
    }

    fn pick(&self, tried: &[Runner], rng: &mut ChaCha8Rng, now: u64) -> Option<Runner> {
        let service = "app".try_into().unwrap();
        let near = "dc-1".try_into().unwrap();
        let view = BackPressureView { pressure: &self.pressure, draw: rng.random() };
        let cx = SelectionContext {
            members: &self.directory,
            loads: &self.loads,
            service: &service,
            runs: None,
            failing: None,
            pressure: Some(view),
            places: PlaceView::ANYWHERE,
            version: None,
            now: Millis(now),
        };
        let tried: Vec<_> = tried.iter().map(|runner| runner.id.clone()).collect();
        let draw = rng.random();
        pick_for_call(cx, CallSelection { tried: &tried, data_centre: &near, draw })
    }
}

#[derive(Debug, Default)]
struct Outcome {
    /// The most requests in a second at a runner while it was cold.
    most_while_cold: usize,
    /// Calls served by the returning runners while they were cold, and in the last five seconds.
    served_cold: usize,
    served_by_returned: usize,
    /// Calls served at all while the runners were cold, and in the last five seconds.
    served_while_cold: usize,
    served_at_end: usize,
    calls_at_end: usize,
}

/// Each call goes to at most two runners.
fn simulate(is_limiting: bool, seed: u64) -> Outcome {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|n| Gateway::new(n, is_limiting)).collect();
    let mut busy = [0; RUNNERS];
    let mut arrived: Vec<Vec<u64>> = vec![Vec::new(); RUNNERS];
    // All calls take equally long, so they end in this order.
    let mut running: VecDeque<(u64, usize, usize, LoadEpoch)> = VecDeque::new();
    let mut outcome = Outcome::default();
    let is_cold_time = |now: u64| (RETURN..RETURN + COLD_FOR).contains(&now);
    for now in 0..END {
        while running.front().is_some_and(|(end, ..)| *end <= now) {
            let Some((_, gateway, at, epoch)) = running.pop_front() else { break };
            busy[at] -= 1;
            let (loads, id) = (&mut gateways[gateway].loads, runner(at, 1, 0).id);
            loads.end(&id, epoch, 0);
            loads.record(&id, CallResult::Answered(Millis(CALL)), Millis(now));
            outcome.served_while_cold += usize::from(is_cold_time(now));
            outcome.served_cold += usize::from(is_cold_time(now) && at < RETURNING);
            outcome.served_at_end += usize::from(now >= END - 5_000);
            outcome.served_by_returned += usize::from(now >= END - 5_000 && at < RETURNING);
        }
        if now == RETURN {
            for gateway in &mut gateways {
                (0..RETURNING).for_each(|n| gateway.put(runner(n, 2, COLD_FOR), now));
            }
        }
        let calls = (RATE / 1_000.0 + rng.random::<f64>()) as usize;
        outcome.calls_at_end += if now >= END - 5_000 { calls } else { 0 };
        for _ in 0..calls {
            let at_gateway = rng.random_range(0..GATEWAYS);
            let gateway = &mut gateways[at_gateway];
            let mut tried = Vec::new();
            while let Some(to) = gateway.pick(&tried, &mut rng, now).filter(|_| tried.len() < 2) {
                tried.push(to.clone());
                let at = (0..RUNNERS).find(|n| runner(*n, 1, 0).id == to.id).unwrap();
                if gateway.pressure.acquire(&to, 1, Millis(now)).is_err() {
                    continue;
                }
                let cold = &mut gateway.pressure.cold;
                cold.record_send(&to, SendKind::Permitted, Millis(now)).expect("a permit");
                arrived[at].push(now);
                // Runners that are to come back are away until then.
                if busy[at] == SLOTS || at < RETURNING && now < RETURN {
                    gateway.loads.record(&to.id, CallResult::NotRun, Millis(now));
                    continue;
                }
                busy[at] += 1;
                let epoch = gateway.loads.begin(&to.id, 0);
                running.push_back((now + CALL, at_gateway, at, epoch));
                break;
            }
        }
    }
    for times in &arrived[..RETURNING] {
        let cold: Vec<u64> = times.iter().copied().filter(|at| is_cold_time(*at)).collect();
        let within =
            |from: &u64| cold.iter().filter(|at| (*from..from + 1_000).contains(at)).count();
        outcome.most_while_cold =
            outcome.most_while_cold.max(cold.iter().map(within).max().unwrap_or(0));
    }
    outcome
}

#[test]
fn a_quarter_that_comes_back_cold_is_spared_and_then_used() {
    let bound = (COLD_RATE * LIMIT.overage + LIMIT.slack) as usize;
    for seed in 0..4 {
        let outcome = simulate(true, seed);
        println!("seed {seed}: {outcome:?}");
        assert!(outcome.most_while_cold <= bound, "{outcome:?}; bound {bound}");
        assert!(outcome.served_cold > 0, "cold runners serve what they may: {outcome:?}");
        let capacity = (RUNNERS - RETURNING) * SLOTS * COLD_FOR as usize / CALL as usize;
        assert!(outcome.served_while_cold * 100 >= capacity * 85, "the others serve: {outcome:?}");
        let share = outcome.served_by_returned as f64 / outcome.served_at_end as f64;
        assert!((0.15..0.35).contains(&share), "a quarter of the work returns: {outcome:?}");
        // As much is served in the end as if the runners had come back warm, which cost nothing here.
        let served = |it: &Outcome| it.served_at_end as f64 / it.calls_at_end as f64;
        let without_limit = served(&simulate(false, seed));
        assert!(served(&outcome) > without_limit - 0.01, "{outcome:?} {without_limit}");
    }
}

/// The load of this test does crash the runners if nothing limits it.
#[test]
fn the_load_exceeds_the_bound_without_a_limit() {
    let outcome = simulate(false, 0);
    println!("{outcome:?}");
    assert!(outcome.most_while_cold > 2 * (COLD_RATE * LIMIT.overage + LIMIT.slack) as usize);
}
