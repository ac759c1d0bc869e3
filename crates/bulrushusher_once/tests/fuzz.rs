//! Stateful fuzzing of at-most-once: no non-idempotent key runs twice, and no attempt that was told
//! "not run" runs, whatever is lost, late, restarted or changed meanwhile.
//!
//! A longer run takes its seed and cases from the environment:
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

static SEEN: Mutex<BTreeMap<&'static str, u64>> = Mutex::new(BTreeMap::new());

fn from_env<T: std::str::FromStr>(name: &str, default: T) -> T {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The oracle has no state of its own: it counts runs in the world.
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
        let mut seen = SEEN.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        for (what, count) in world.seen {
            *seen.entry(what).or_default() += count;
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

/// The fuzzing is worth nothing if its cases never get far: every way of settling is reached.
#[test]
fn the_fuzzing_reaches_every_way() {
    at_most_once();
    let seen = SEEN.lock().expect("no test panicked").clone();
    println!("fuzz: {} cases, {seen:?}", from_env("BULRUSH_FUZZ_CASES", CASES));
    for what in ["settled by home", "settled by bar", "attached", "run", "found out"] {
        assert!(seen.get(what).is_some_and(|count| *count > 50), "{what} is rare: {seen:?}");
    }
}
