//! Stateful fuzzing of at-most-once execution: no non-idempotent key runs twice, and no attempt
//! that was answered "not run" runs, despite lost or delayed messages, restarts and list changes.
//!
//! For a longer run, set the seed and the number of cases:
//! `BULRUSH_FUZZ_SEED=7 BULRUSH_FUZZ_CASES=200000 cargo test --release -p bulrushusher_once --test fuzz -- --nocapture`

mod model;

use std::collections::BTreeMap;
use std::sync::Mutex;

use model::{Step, World, step};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const CASES: u32 = 3_000;
const SEED: u64 = 11;

/// How often each event of note happened, over all cases.
static EVENT_COUNTS: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The reference has no state of its own: the simulation counts the runs and reports violations.
struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct AtMostOnce;

impl StateMachineTest for AtMostOnce {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test((): &()) -> World {
        World::new()
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.apply(&step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        assert_eq!(world.violation, None);
    }

    fn teardown(world: World, (): ()) {
        let mut counts = EVENT_COUNTS.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (event, count) in world.event_counts {
            *counts.entry(event).or_default() += count;
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        cases: from_env("BULRUSH_FUZZ_CASES", CASES),
        rng_seed: RngSeed::Fixed(from_env("BULRUSH_FUZZ_SEED", SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    })]

    fn at_most_once(sequential 20..160 => AtMostOnce);
}

/// Guards against cases that end too early to test anything: every way to settle a key occurs.
#[test]
fn fuzzing_covers_every_way_to_settle() {
    at_most_once();
    let counts = EVENT_COUNTS.lock().expect("no test panicked").clone();
    println!("fuzz: {} cases, {counts:?}", from_env("BULRUSH_FUZZ_CASES", CASES));
    for event in ["settled by home", "settled by bar", "attached", "run", "outcome checked"] {
        assert!(counts.get(event).is_some_and(|count| *count > 50), "{event} is rare: {counts:?}");
    }
}
