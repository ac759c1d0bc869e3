//! Selection of the runner for a plain call, if runners refuse calls or have just started.

use std::collections::BTreeMap;

use bulrushusher_forward::{
    CallResult, CallSelection, LoadConfig, PlaceView, Runner, RunnerDirectory,
    RunnerDirectoryConfig, RunnerLoads, SelectionContext, pick_for_call,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 6;

/// A pool of runners of a plain service, as one gateway sees it.
struct Pool {
    members: RunnerDirectory,
    loads: RunnerLoads,
    rng: ChaCha8Rng,
    now: Millis,
}

fn runner(n: usize) -> Runner {
    Runner {
        id: format!("i-{n}").as_str().try_into().expect("valid name"),
        born: None,
        service: "app".try_into().expect("valid name"),
        address: ([10, 0, 0, n as u8], 8_000).into(),
        data_centre: "dc-1".try_into().expect("valid name"),
        slots: SLOTS,
        stage: None,
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

impl Pool {
    fn new(runners: usize) -> Pool {
        let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
        members.replace_all((0..runners).map(runner).collect(), 0, Millis(0));
        let loads = RunnerLoads::new(LoadConfig::default());
        Pool { members, loads, rng: ChaCha8Rng::seed_from_u64(7), now: Millis(10_000) }
    }

    fn pick(&mut self) -> RunnerId {
        let service = "app".try_into().expect("valid name");
        let data_centre = "dc-1".try_into().expect("valid name");
        let (members, loads, now) = (&self.members, &self.loads, self.now);
        let cx = SelectionContext {
            places: PlaceView::ANYWHERE,
            version: None,
            members,
            loads,
            service: &service,
            runs: None,
            failing: None,
            pressure: None,
            now,
        };
        let pick = CallSelection { tried: &[], data_centre: &data_centre, draw: self.rng.random() };
        pick_for_call(cx, pick).expect("the pool has runners").id
    }
}

/// A full runner refuses a call within a millisecond. Each refusal costs one retry of the budget
/// that all gateways share, which allows a burst of about five.
#[test]
fn a_refusing_runner_is_not_tried_with_every_call() {
    let mut pool = Pool::new(2);
    let full = runner(0).id;
    let mut refusals = 0;
    const CALLS: u64 = 200;
    const INTERVAL: Millis = Millis(3);
    for _ in 0..CALLS {
        pool.now = pool.now.plus(INTERVAL);
        let id = pool.pick();
        let result = match id == full {
            true => CallResult::NotRun,
            false => CallResult::Answered(INTERVAL),
        };
        refusals += u64::from(id == full);
        pool.loads.record(&id, result, pool.now);
    }
    let lifetime = LoadConfig::default().refusal_lifetime;
    assert!(refusals <= CALLS * INTERVAL.0 / lifetime.0 + 1, "{refusals} refusals");
}

/// If all runners have refused, one of them is tried anyway: a slot may have become free.
#[test]
fn if_all_runners_refused_one_is_tried() {
    let mut pool = Pool::new(2);
    for n in 0..2 {
        pool.loads.record(&runner(n).id, CallResult::NotRun, pool.now);
    }
    pool.pick();
}

/// A burst of calls arrives just after a third runner joined two whose mean response time is 60 ms.
/// The new runner, which has not answered any call yet, gets between a sixth and half of the calls.
#[test]
fn a_new_runner_gets_its_share_of_a_burst() {
    let mut pool = Pool::new(3);
    for n in 0..2 {
        pool.loads.record(&runner(n).id, CallResult::Answered(Millis(60)), pool.now);
    }
    let mut calls: BTreeMap<RunnerId, usize> = BTreeMap::new();
    const BURST: usize = 30;
    for _ in 0..BURST {
        let id = pool.pick();
        pool.loads.begin(&id, 0);
        *calls.entry(id).or_default() += 1;
    }
    let share = calls.get(&runner(2).id).copied().unwrap_or(0);
    assert!((BURST / 6..=BURST / 2).contains(&share), "{share} of {BURST}");
}

/// Under low load, with one of two runners faster than the other, a third runner that joins is
/// still tried.
#[test]
fn a_new_runner_is_tried_under_low_load() {
    let mut pool = Pool::new(3);
    pool.loads.record(&runner(0).id, CallResult::Answered(Millis(4)), pool.now);
    pool.loads.record(&runner(1).id, CallResult::Answered(Millis(60)), pool.now);
    let calls = (0..40).map(|_| pool.pick()).filter(|id| *id == runner(2).id).count();
    assert!(calls > 0, "the new runner was never tried");
}
