//! Runners that restart under the same identity: the latest start takes effect, in whatever order
//! statements about starts arrive.

use std::collections::BTreeMap;

use bulrushusher_forward::{
    CallResult, LoadConfig, Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerLoads,
    RunnerRemoval, StartStatus, StartTime,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn runner(n: u8, born: Option<u64>, leaving: bool) -> Runner {
    Runner {
        id: format!("i-{n}").as_str().try_into().expect("valid name"),
        born: born.map(StartTime),
        service: "app".try_into().expect("valid name"),
        address: ([10, 0, 0, 1], 8_000 + u16::from(n)).into(),
        data_centre: "dc-1".try_into().expect("valid name"),
        slots: 4,
        stage: None,
        leaving,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

/// A statement about a runner.
#[derive(Clone, Debug)]
enum Statement {
    Entry { n: u8, born: Option<u64>, leaving: bool },
    OwnReport { n: u8, born: u64 },
    Removed { n: u8 },
}

fn statements() -> impl Strategy<Value = Vec<Statement>> {
    let n = || 0_u8..3;
    let statement = prop_oneof![
        4 => (n(), prop::option::weighted(0.8, 0_u64..4), any::<bool>())
            .prop_map(|(n, born, leaving)| Statement::Entry { n, born, leaving }),
        2 => (n(), 0_u64..4).prop_map(|(n, born)| Statement::OwnReport { n, born }),
        1 => n().prop_map(|n| Statement::Removed { n }),
    ];
    prop::collection::vec(statement, 1..30)
}

/// Reference model: the latest reported start of each runner, and its last accepted entry.
#[derive(Default)]
struct Model {
    born: BTreeMap<u8, u64>,
    leaving: BTreeMap<u8, bool>,
}

impl Model {
    fn apply(&mut self, statement: &Statement) {
        match *statement {
            Statement::Entry { n, born, leaving } => match (self.born.get(&n).copied(), born) {
                (Some(_), None) => drop(self.leaving.remove(&n)),
                (Some(last), Some(born)) if born < last => {}
                (_, born) => {
                    born.map(|born| self.born.insert(n, born));
                    self.leaving.insert(n, leaving);
                }
            },
            Statement::OwnReport { n, born } => {
                let last = self.born.entry(n).or_insert(born);
                *last = (*last).max(born);
            }
            Statement::Removed { n } => drop(self.leaving.remove(&n)),
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_latest_start_takes_effect_in_any_order_of_statements(statements in statements()) {
        let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
        let mut model = Model::default();
        let now = Millis(1_000);
        runners.store_answered(now);
        for statement in &statements {
            match *statement {
                Statement::Entry { n, born, leaving } => {
                    runners.put(runner(n, born, leaving), now);
                }
                Statement::OwnReport { n, born } => {
                    runners.record_start(&runner(n, None, false).id, Some(StartTime(born)));
                }
                Statement::Removed { n } => {
                    let id = runner(n, None, false).id;
                    runners.remove(&RunnerRemoval { id, revision: 0 }, now);
                }
            }
            model.apply(statement);
            for n in 0..3 {
                let known = runners.get(&runner(n, None, false).id, now);
                prop_assert_eq!(known.map(|known| known.leaving), model.leaving.get(&n).copied());
                let last = model.born.get(&n).copied();
                for born in 0..4 {
                    let is_past = runners.is_superseded(&runner(n, Some(born), false));
                    prop_assert_eq!(is_past, last.is_some_and(|last| last > born));
                }
            }
        }
    }
}

#[test]
fn a_full_list_reports_restarted_runners() {
    let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
    let now = Millis(1_000);
    runners.replace_all(vec![runner(0, Some(5), false), runner(1, Some(5), false)], 0, now);
    let later = vec![runner(0, Some(6), false), runner(1, Some(4), true)];
    let diff = runners.replace_all(later, 0, now);
    assert_eq!(diff.restarted, vec![runner(0, None, false).id]);
    assert!(diff.missing.is_empty());
    let kept = runners.get(&runner(1, None, false).id, now).expect("still listed");
    assert!(!kept.leaving, "the entry of an earlier start is ignored");
    assert_eq!(runners.put(runner(1, None, false), now), StartStatus::Missing);
    assert!(runners.get(&second_id(), now).is_none());
}

fn second_id() -> bulrushusher_world::RunnerId {
    runner(1, None, false).id
}

#[test]
fn ending_a_call_to_a_forgotten_runner_leaves_later_calls_counted() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    let id = runner(0, None, false).id;
    let before = loads.begin(&id, 5_000);
    loads.record(&id, CallResult::Unreachable, Millis(10));
    assert!(loads.is_paused(&id, Millis(20)));
    loads.forget(&id);
    assert!(!loads.is_paused(&id, Millis(20)));
    let after = loads.begin(&id, 700);
    loads.end(&id, before, 5_000);
    assert_eq!(loads.queued_prompt_tokens(&id), 700);
    loads.end(&id, after, 700);
    assert_eq!(loads.queued_prompt_tokens(&id), 0);
}
