//! The runner directory keeps the latest state of each runner, in whatever order states arrive.

use bulrushusher_forward::{
    DrainReport, Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerRemoval, StartTime,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NOW: Millis = Millis(1_000);

fn runner(revision: u64, leaving: bool) -> Runner {
    Runner {
        id: "i-1".try_into().expect("valid name"),
        born: None,
        service: "app".try_into().expect("valid name"),
        address: "10.0.0.1:80".parse().expect("valid address"),
        data_centre: "dc-1".try_into().expect("valid name"),
        slots: 4,
        stage: None,
        leaving,
        cold_for: Millis(0),
        revision,
        version: "v1".into(),
    }
}

fn directory() -> RunnerDirectory {
    let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
    runners.store_answered(NOW);
    runners
}

fn gets_work(runners: &RunnerDirectory) -> bool {
    runners.get(&runner(0, false).id, NOW).is_some_and(|runner| !runner.leaving)
}

/// Guards against work for a draining runner after a list or an answer that was read earlier arrives
/// later.
#[test]
fn an_older_entry_does_not_replace_a_newer_one() {
    let mut runners = directory();
    runners.put(runner(8, true), NOW);
    runners.put(runner(5, false), NOW);
    assert!(!gets_work(&runners), "an older entry");
    runners.replace_all(vec![runner(5, false)], 6, NOW);
    assert!(!gets_work(&runners), "an older list");
    runners.put(runner(9, false), NOW);
    assert!(gets_work(&runners), "a newer entry");
}

/// Guards against work for a removed runner after an older entry of it arrives.
#[test]
fn an_older_entry_does_not_bring_a_removed_runner_back() {
    let mut runners = directory();
    runners.put(runner(5, false), NOW);
    runners.remove(&RunnerRemoval { id: runner(0, false).id, revision: 0 }, NOW);
    runners.put(runner(5, false), NOW);
    assert!(!gets_work(&runners), "the entry that was removed");
    runners.put(runner(7, false), NOW);
    assert!(gets_work(&runners), "registered again");
}

/// Guards against work for a runner that has announced its drain, once its start becomes known.
#[test]
fn a_drain_notice_binds_the_start_that_becomes_known_later() {
    let mut runners = directory();
    runners.put(runner(5, false), NOW);
    let id = runner(0, false).id;
    runners.record_drain_notice(&DrainReport { runner: id, born: None }, NOW);
    runners.put(Runner { born: Some(StartTime(100)), ..runner(6, false) }, NOW);
    assert!(!gets_work(&runners), "the same start");
    runners.put(Runner { born: Some(StartTime(200)), ..runner(7, false) }, NOW);
    assert!(gets_work(&runners), "the next start");
}

/// Guards against work for a removed runner beyond the time for which an expired entry stays
/// usable, while each further outage ends with another list that lacks it.
#[test]
fn a_later_outage_does_not_extend_the_use_of_an_expired_entry() {
    let cfg = RunnerDirectoryConfig::default();
    let mut runners = directory();
    runners.replace_all(vec![runner(5, false)], 5, NOW);
    let outage_ends = [NOW.plus(Millis(2_000)), NOW.plus(Millis(3_900))];
    for (revision, end) in (6..).zip(outage_ends) {
        runners.store_answered(end);
        runners.replace_all(Vec::new(), revision, end);
    }
    let id = runner(0, false).id;
    let until = outage_ends[0].plus(cfg.return_grace);
    assert!(runners.get(&id, until.since(Millis(1))).is_some(), "expired, and possibly alive");
    assert!(runners.get(&id, until).is_none(), "not registered again in time");
}

/// The state of the runner in the store from a revision on: `None` if it has no entry.
type History = Vec<Option<bool>>;

/// What a gateway receives about one revision of the store, in any order.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    /// The change made at that revision. A removal may have the revision of the entry before it.
    Change { at: usize, has_last_revision: bool },
    /// A full list read at that revision.
    List { at: usize },
}

fn deliveries() -> impl Strategy<Value = (History, Vec<Delivery>)> {
    let history = prop::collection::vec(prop::option::weighted(0.7, any::<bool>()), 2..10);
    history.prop_flat_map(|history| {
        let at = 0..history.len();
        let delivery = prop_oneof![
            (at.clone(), any::<bool>())
                .prop_map(|(at, has_last_revision)| Delivery::Change { at, has_last_revision }),
            at.prop_map(|at| Delivery::List { at }),
        ];
        (Just(history), prop::collection::vec(delivery, 1..12))
    })
}

/// Revision of the change at an index; 0 is no revision.
fn revision_of(at: usize) -> u64 {
    at as u64 + 1
}

fn deliver(runners: &mut RunnerDirectory, history: &History, delivery: Delivery) {
    match delivery {
        Delivery::Change { at, has_last_revision } => match history[at] {
            Some(leaving) => drop(runners.put(runner(revision_of(at), leaving), NOW)),
            None => {
                let last = (0..at).rev().find(|n| history[*n].is_some()).map_or(0, revision_of);
                let revision = if has_last_revision { last } else { revision_of(at) };
                // Without an entry before it there is nothing to remove.
                if last > 0 {
                    runners.remove(&RunnerRemoval { id: runner(0, false).id, revision }, NOW);
                }
            }
        },
        Delivery::List { at } => {
            let listed = history[at].map(|leaving| runner(revision_of(at), leaving));
            runners.replace_all(listed.into_iter().collect(), revision_of(at), NOW);
        }
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn the_latest_revision_takes_effect_in_any_order((history, deliveries) in deliveries()) {
        let mut runners = directory();
        let mut latest = 0;
        for delivery in deliveries {
            deliver(&mut runners, &history, delivery);
            let (Delivery::Change { at, .. } | Delivery::List { at }) = delivery;
            latest = latest.max(at);
            let has_entry = history[..=latest].iter().any(Option::is_some);
            if has_entry {
                prop_assert_eq!(gets_work(&runners), history[latest] == Some(false));
            }
        }
    }
}
