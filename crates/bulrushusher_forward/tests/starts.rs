//! Runners that restart under the same identity: the start with the latest entry in the store takes
//! effect, in whatever order statements about starts arrive and whatever their clocks showed.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_forward::{
    CallResult, DrainReport, LoadConfig, Runner, RunnerDirectory, RunnerDirectoryConfig,
    RunnerLoads, RunnerRemoval, StartStatus, StartTime, revision_in_era,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const NOW: Millis = Millis(1_000);

/// Gateways of one test, and runners.
const GATEWAYS: usize = 3;
const RUNNERS: u8 = 2;

fn runner(n: u8, born: Option<u64>, leaving: bool, revision: u64) -> Runner {
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
        revision,
        version: "v1".into(),
    }
}

fn id(n: u8) -> bulrushusher_world::RunnerId {
    runner(n, None, false, 0).id
}

fn directory() -> RunnerDirectory {
    let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
    runners.store_answered(NOW);
    runners
}

/// What happens to the runners, to the store and at the gateways.
#[derive(Clone, Debug)]
enum Step {
    /// A process starts under the runner's id. Its clock shows any time.
    Start { n: u8, born: u64 },
    /// The current process of the runner writes its entry.
    Write { n: u8, leaving: bool },
    /// The entry of the runner is removed.
    Remove { n: u8 },
    /// A gateway receives some change of the store, late, early or again.
    Deliver { gateway: usize, change: usize },
    /// A gateway receives the list of the store as it was after some change.
    List { gateway: usize, change: usize },
    /// A gateway learns a start from the runner's own statement, perhaps a late one.
    OwnStatement { gateway: usize, n: u8, nth: usize },
    /// A gateway hears that some start of the runner is leaving.
    DrainNotice { gateway: usize, n: u8, nth: usize },
    /// A gateway starts anew and knows nothing.
    Restart { gateway: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let n = || 0..RUNNERS;
    let gateway = || 0..GATEWAYS;
    let any_of = any::<usize>;
    let step = prop_oneof![
        3 => (n(), 0_u64..4).prop_map(|(n, born)| Step::Start { n, born }),
        5 => (n(), any::<bool>()).prop_map(|(n, leaving)| Step::Write { n, leaving }),
        1 => n().prop_map(|n| Step::Remove { n }),
        8 => (gateway(), any_of()).prop_map(|(gateway, change)| Step::Deliver { gateway, change }),
        2 => (gateway(), any_of()).prop_map(|(gateway, change)| Step::List { gateway, change }),
        3 => (gateway(), n(), any_of())
            .prop_map(|(gateway, n, nth)| Step::OwnStatement { gateway, n, nth }),
        2 => (gateway(), n(), any_of())
            .prop_map(|(gateway, n, nth)| Step::DrainNotice { gateway, n, nth }),
        1 => gateway().prop_map(|gateway| Step::Restart { gateway }),
    ];
    prop::collection::vec(step, 1..60)
}

/// A change of the store: the entry of a runner, or its removal.
#[derive(Clone, Debug)]
struct Change {
    n: u8,
    entry: Option<Runner>,
    revision: u64,
}

/// The store, the runners, and the gateways under test.
struct Fleet {
    /// All starts of each runner, the latest last.
    starts: BTreeMap<u8, Vec<u64>>,
    /// All changes, by revision.
    changes: Vec<Change>,
    gateways: Vec<RunnerDirectory>,
    /// The highest revision of each runner that a gateway has received.
    received: Vec<BTreeMap<u8, u64>>,
    /// Starts that gateways know to be leaving.
    notices: Vec<BTreeSet<(u8, u64)>>,
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            starts: BTreeMap::new(),
            changes: Vec::new(),
            gateways: (0..GATEWAYS).map(|_| directory()).collect(),
            received: vec![BTreeMap::new(); GATEWAYS],
            notices: vec![BTreeSet::new(); GATEWAYS],
        }
    }

    fn born(&self, n: u8, nth: usize) -> Option<u64> {
        let starts = self.starts.get(&n)?;
        starts.get(nth % starts.len()).copied()
    }

    fn change(&mut self, n: u8, entry: Option<Runner>) {
        let revision = self.changes.len() as u64 + 1;
        let entry = entry.map(|entry| Runner { revision, ..entry });
        self.changes.push(Change { n, entry, revision });
    }

    /// The latest change of each runner up to a revision.
    fn state_at(&self, revision: u64) -> BTreeMap<u8, &Change> {
        let until = self.changes.iter().take_while(|change| change.revision <= revision);
        until.map(|change| (change.n, change)).collect()
    }

    fn deliver(&mut self, gateway: usize, change: &Change) {
        let runners = &mut self.gateways[gateway];
        match change.entry.clone() {
            Some(entry) => drop(runners.put(entry, NOW)),
            None => {
                runners.remove(&RunnerRemoval { id: id(change.n), revision: change.revision }, NOW);
            }
        }
        let received = self.received[gateway].entry(change.n).or_default();
        *received = change.revision.max(*received);
    }

    fn list(&mut self, gateway: usize, revision: u64) {
        let state = self.state_at(revision);
        let listed = state.values().filter_map(|change| change.entry.clone()).collect();
        self.gateways[gateway].replace_all(listed, revision, NOW);
        for n in 0..RUNNERS {
            let received = self.received[gateway].entry(n).or_default();
            *received = revision.max(*received);
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Start { n, born } => {
                let starts = self.starts.entry(n).or_default();
                // Two starts of one runner never have the same time.
                if !starts.contains(&born) {
                    starts.push(born);
                }
            }
            Step::Write { n, leaving } => {
                if let Some(born) = self.starts.get(&n).and_then(|starts| starts.last().copied()) {
                    self.change(n, Some(runner(n, Some(born), leaving, 0)));
                }
            }
            Step::Remove { n } => self.change(n, None),
            Step::Deliver { gateway, change } if !self.changes.is_empty() => {
                let change = self.changes[change % self.changes.len()].clone();
                self.deliver(gateway, &change);
            }
            Step::List { gateway, change } if !self.changes.is_empty() => {
                let revision = self.changes[change % self.changes.len()].revision;
                self.list(gateway, revision);
            }
            Step::OwnStatement { gateway, n, nth } => {
                if let Some(born) = self.born(n, nth) {
                    self.gateways[gateway].record_start(&id(n), Some(StartTime(born)));
                }
            }
            Step::DrainNotice { gateway, n, nth } => {
                if let Some(born) = self.born(n, nth) {
                    let report = DrainReport { runner: id(n), born: Some(StartTime(born)) };
                    if self.gateways[gateway].record_drain_notice(&report, NOW) {
                        self.notices[gateway].insert((n, born));
                    }
                }
            }
            Step::Restart { gateway } => {
                self.gateways[gateway] = directory();
                self.received[gateway].clear();
                self.notices[gateway].clear();
            }
            Step::Deliver { .. } | Step::List { .. } => {}
        }
    }

    /// No gateway uses an entry below the highest revision that it has received, and none sends work
    /// to a start that it knows to be leaving.
    fn check(&self) -> Result<(), TestCaseError> {
        for (gateway, runners) in self.gateways.iter().enumerate() {
            for n in 0..RUNNERS {
                let Some(used) = runners.get(&id(n), NOW) else { continue };
                let received = self.received[gateway].get(&n).copied().unwrap_or(0);
                let latest = self.state_at(received).get(&n).and_then(|it| it.entry.clone());
                let latest = latest.expect("a removed runner is not used");
                prop_assert_eq!(used.revision, latest.revision);
                prop_assert!(used.leaving || !latest.leaving, "its entry is leaving");
                let is_noted = |born: StartTime| self.notices[gateway].contains(&(n, born.0));
                prop_assert!(
                    used.leaving || !used.born.is_some_and(is_noted),
                    "its start is leaving"
                );
                prop_assert!(!runners.is_superseded(used));
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 4_000,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Guards against work for a draining runner whose clock was set back before its last start.
    #[test]
    fn the_latest_entry_takes_effect_in_any_order_of_statements(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in &steps {
            fleet.apply(step);
            fleet.check()?;
        }
        // Once everything has arrived, all gateways know the same.
        for gateway in 0..GATEWAYS {
            for change in fleet.changes.clone() {
                fleet.deliver(gateway, &change);
            }
            fleet.check()?;
            for n in 0..RUNNERS {
                let state = fleet.state_at(u64::MAX);
                let latest = state.get(&n).and_then(|change| change.entry.as_ref());
                let known = fleet.gateways[gateway].get(&id(n), NOW);
                prop_assert_eq!(known.map(|it| it.revision), latest.map(|it| it.revision));
            }
        }
    }
}

/// Guards against work for a runner of which only the entry of a lower start time says that it is
/// leaving.
#[test]
fn a_later_entry_takes_effect_although_its_start_time_is_lower() {
    let mut runners = directory();
    assert_eq!(runners.put(runner(0, Some(3_000), false, 5), NOW), StartStatus::Current);
    let before = runners.get(&id(0), NOW).expect("it is known").clone();
    assert_eq!(runners.put(runner(0, Some(2_000), false, 7), NOW), StartStatus::Newer);
    assert!(runners.is_superseded(&before), "its holds and caches are gone");
    assert_eq!(runners.put(runner(0, Some(2_000), true, 9), NOW), StartStatus::Current);
    assert!(runners.get(&id(0), NOW).expect("it is known").leaving);
    assert_eq!(runners.put(runner(0, Some(3_000), false, 5), NOW), StartStatus::Stale);
    let diff = runners.replace_all(vec![runner(0, Some(3_000), false, 5)], 6, NOW);
    assert_eq!(diff.passed_over, [id(0)], "a list that was read earlier");
    assert!(runners.get(&id(0), NOW).expect("it is known").leaving);
}

/// Guards against a drain notice that is forgotten for one of another start.
#[test]
fn a_late_notice_of_another_start_replaces_no_notice() {
    let mut runners = directory();
    runners.put(runner(0, Some(2_000), false, 7), NOW);
    for born in [2_000, 3_000] {
        let report = DrainReport { runner: id(0), born: Some(StartTime(born)) };
        runners.record_drain_notice(&report, NOW);
    }
    runners.put(runner(0, Some(2_000), false, 8), NOW);
    assert!(runners.get(&id(0), NOW).expect("it is known").leaving);
}

/// Guards against work for a draining runner after a restore of the store from before its restart.
#[test]
fn a_restored_entry_of_an_earlier_start_changes_nothing() {
    let mut runners = directory();
    runners.replace_all(vec![runner(0, Some(3_000), false, 5)], 6, NOW);
    runners.put(runner(0, Some(2_000), true, 9), NOW);
    runners.record_store_restore(NOW);
    let restored = runner(0, Some(3_000), false, revision_in_era(1, 5));
    runners.replace_all(vec![restored], revision_in_era(1, 6), NOW);
    let known = runners.get(&id(0), NOW).expect("it is listed");
    assert!(known.leaving);
    assert_eq!(known.born, Some(StartTime(2_000)));
    let again = runner(0, Some(1_000), false, revision_in_era(1, 8));
    assert_eq!(runners.put(again, NOW), StartStatus::Newer, "it has started again");
    assert!(!runners.get(&id(0), NOW).expect("it is listed").leaving);
}

#[test]
fn a_full_list_reports_restarted_runners() {
    let mut runners = directory();
    let first = vec![runner(0, Some(5), false, 2), runner(1, Some(5), false, 3)];
    runners.replace_all(first, 3, NOW);
    runners.record_start(&id(1), Some(StartTime(6)));
    let later = vec![runner(0, Some(4), false, 5), runner(1, Some(5), true, 3)];
    let diff = runners.replace_all(later, 6, NOW);
    assert_eq!(diff.restarted, [id(0)]);
    assert_eq!(diff.passed_over, [id(1)]);
    assert!(diff.missing.is_empty());
    let kept = runners.get(&id(1), NOW).expect("still listed");
    assert!(!kept.leaving, "the entry of an earlier start is ignored");
    assert_eq!(runners.put(runner(1, None, false, 7), NOW), StartStatus::Missing);
    assert!(runners.get(&id(1), NOW).is_none());
}

#[test]
fn ending_a_call_to_a_forgotten_runner_leaves_later_calls_counted() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    let id = id(0);
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
