//! Which runner gets a plain call: where runners refuse, and where one has just started.

use std::collections::BTreeMap;

use bulrushusher_forward::{
    CallResult, Candidate, LoadConfig, PlainPick, Runner, RunnerDirectory, RunnerDirectoryConfig,
    RunnerLoads, pick_for_call,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SLOTS: u32 = 6;

/// A pool of plain runners, as one gateway sees it.
struct Pool {
    members: RunnerDirectory,
    loads: RunnerLoads,
    rng: ChaCha8Rng,
    now: Millis,
}

fn runner(n: usize) -> Runner {
    Runner {
        id: format!("i-{n}").as_str().try_into().expect("a good name"),
        born: None,
        service: "app".try_into().expect("a good name"),
        address: ([10, 0, 0, n as u8], 8_000).into(),
        data_centre: "dc-1".try_into().expect("a good name"),
        slots: SLOTS,
        stage: None,
        leaving: false,
    }
}

impl Pool {
    fn new(runners: usize) -> Pool {
        let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
        members.replace_all((0..runners).map(runner).collect(), Millis(0));
        let loads = RunnerLoads::new(LoadConfig::default());
        Pool { members, loads, rng: ChaCha8Rng::seed_from_u64(7), now: Millis(10_000) }
    }

    fn pick(&mut self) -> RunnerId {
        let service = "app".try_into().expect("a good name");
        let near = "dc-1".try_into().expect("a good name");
        let (members, loads, now) = (&self.members, &self.loads, self.now);
        let cx = Candidate {
            members,
            loads,
            service: &service,
            runs: None,
            failing: None,
            pressure: None,
            now,
        };
        let pick = PlainPick { tried: &[], near: &near, draw: self.rng.random() };
        pick_for_call(cx, pick).expect("there are runners").id
    }
}

/// A full runner answers that it does not run a call within a millisecond. Each such answer costs one of
/// the repeats that all gateways share, some five in a burst.
#[test]
fn a_runner_that_refuses_is_not_asked_with_each_call() {
    let mut pool = Pool::new(2);
    let full = runner(0).id;
    let mut refusals = 0;
    const CALLS: u64 = 200;
    const APART: Millis = Millis(3);
    for _ in 0..CALLS {
        pool.now = pool.now.plus(APART);
        let id = pool.pick();
        let result = match id == full {
            true => CallResult::NotRun,
            false => CallResult::Answered(APART),
        };
        refusals += u64::from(id == full);
        pool.loads.note(&id, result, pool.now);
    }
    let fades = LoadConfig::default().refusal_fades;
    assert!(refusals <= CALLS * APART.0 / fades.0 + 1, "{refusals} refusals");
}

/// When all refuse, one of them is asked all the same: a slot may be free by now.
#[test]
fn where_all_refuse_one_is_asked() {
    let mut pool = Pool::new(2);
    for n in 0..2 {
        pool.loads.note(&runner(n).id, CallResult::NotRun, pool.now);
    }
    pool.pick();
}

/// A burst while a third runner has just joined two that take 60 ms: it gets its part, and not all.
#[test]
fn a_runner_that_has_just_started_gets_its_part_of_a_burst() {
    let mut pool = Pool::new(3);
    for n in 0..2 {
        pool.loads.note(&runner(n).id, CallResult::Answered(Millis(60)), pool.now);
    }
    let mut calls: BTreeMap<RunnerId, usize> = BTreeMap::new();
    const BURST: usize = 30;
    for _ in 0..BURST {
        let id = pool.pick();
        pool.loads.begin(&id, 0);
        *calls.entry(id).or_default() += 1;
    }
    let part = calls.get(&runner(2).id).copied().unwrap_or(0);
    assert!((BURST / 6..=BURST / 2).contains(&part), "{part} of {BURST}");
}

/// Little is asked for, and one of two runners is quicker than the other: a third one that joins is tried
/// all the same.
#[test]
fn a_runner_that_has_just_started_is_tried_while_little_is_asked_for() {
    let mut pool = Pool::new(3);
    pool.loads.note(&runner(0).id, CallResult::Answered(Millis(4)), pool.now);
    pool.loads.note(&runner(1).id, CallResult::Answered(Millis(60)), pool.now);
    let calls = (0..40).map(|_| pool.pick()).filter(|id| *id == runner(2).id).count();
    assert!(calls > 0, "it was never tried");
}
