//! Evacuations at a gateway, for random histories of the store and any order in which lists,
//! changes and sets of relays arrive.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_forward::{
    EvacuationChange, EvacuationSet, EvacuationUpdate, Evacuations, era_of, revision_in_era,
};
use bulrushusher_world::DataCentreName;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn name(n: u8) -> DataCentreName {
    format!("dc-{n}").as_str().try_into().expect("valid name")
}

/// A write to the store.
#[derive(Clone, Copy, Debug)]
enum Write {
    Begin(u8),
    End(u8),
    /// An object of another kind, which only advances the revision.
    Other,
    /// Restores the backup of this many writes ago; the revisions since are assigned again.
    Restore(u64),
}

/// The states of the store, and the change that led to each, by combined revision.
#[derive(Clone, Debug, Default)]
struct History {
    states: BTreeMap<u64, BTreeSet<DataCentreName>>,
    changes: BTreeMap<u64, EvacuationChange>,
}

impl History {
    fn of(writes: &[Write]) -> History {
        let mut history = History::default();
        let (mut era, mut number) = (0, 10);
        let mut state = BTreeSet::new();
        history.states.insert(number, state.clone());
        for write in writes {
            let before = revision_in_era(era, number);
            number += 1;
            let change = match write {
                Write::Begin(n) if state.insert(name(*n)) => EvacuationChange::Began(name(*n)),
                Write::End(n) if state.remove(&name(*n)) => EvacuationChange::Ended(name(*n)),
                Write::Restore(back) => {
                    let first = revision_in_era(era, 0);
                    let backup = before.saturating_sub(*back).max(first);
                    let found = history.states.range(first..=backup).next_back();
                    let (at, content) = found.unwrap_or((&before, &state));
                    (number, state) = (at - first, content.clone());
                    era += 1;
                    history.states.insert(revision_in_era(era, number), state.clone());
                    continue;
                }
                Write::Begin(_) | Write::End(_) | Write::Other => {
                    history.states.insert(revision_in_era(era, number), state.clone());
                    continue;
                }
            };
            history.states.insert(revision_in_era(era, number), state.clone());
            history.changes.insert(revision_in_era(era, number), change);
        }
        history
    }

    fn set_at(&self, nth: usize) -> EvacuationSet {
        let (revision, state) = self.states.iter().nth(nth % self.states.len()).expect("a state");
        EvacuationSet { revision: *revision, data_centres: state.clone() }
    }

    fn message(&self, kind: &Message) -> EvacuationUpdate {
        match *kind {
            Message::List(at) => EvacuationUpdate::List(self.set_at(at)),
            Message::Relayed(at) => EvacuationUpdate::Relayed(self.set_at(at)),
            Message::Changes(from, to) => {
                let (from, to) = (self.set_at(from).revision, self.set_at(to).revision);
                let (revision, earlier) = (from.max(to), from.min(to));
                // The store answers a watch only within one era.
                let after = if era_of(earlier) == era_of(revision) { earlier } else { revision };
                let between =
                    self.changes.iter().filter(|(at, _)| after < **at && **at <= revision);
                let changes = between.map(|(_, change)| change.clone()).collect();
                EvacuationUpdate::Changes { after, revision, changes }
            }
        }
    }
}

/// A message that reaches the gateway, with the states that it is made of.
#[derive(Clone, Debug)]
enum Message {
    List(usize),
    Relayed(usize),
    Changes(usize, usize),
}

fn writes() -> impl Strategy<Value = Vec<Write>> {
    let write = prop_oneof![
        4 => (0_u8..3).prop_map(Write::Begin),
        4 => (0_u8..3).prop_map(Write::End),
        2 => Just(Write::Other),
        1 => (0_u64..6).prop_map(Write::Restore),
    ];
    proptest::collection::vec(write, 0..25)
}

fn messages() -> impl Strategy<Value = Vec<Message>> {
    let message = prop_oneof![
        1 => (0_usize..50).prop_map(Message::List),
        3 => (0_usize..50).prop_map(Message::Relayed),
        4 => (0_usize..50, 0_usize..50).prop_map(|(from, to)| Message::Changes(from, to)),
    ];
    proptest::collection::vec(message, 1..40)
}

proptest! {
    #![proptest_config(Config {
        cases: 2_000, rng_seed: RngSeed::Fixed(11), failure_persistence: None, ..Config::default()
    })]

    /// A lower revision that replaces a higher one, a change that is applied over a gap, or a set
    /// of an earlier era would each send work into an evacuated data centre, or keep work away from
    /// one that is not.
    #[test]
    fn a_set_equals_the_stores_at_its_revision_and_never_moves_back(
        writes in writes(), messages in messages(),
    ) {
        let history = History::of(&writes);
        let mut evacuations = Evacuations::default();
        let mut known: Option<EvacuationSet> = None;
        for message in &messages {
            let diff = evacuations.update(history.message(message));
            let is_list = matches!(message, Message::List(_));
            let Some(set) = evacuations.listed().cloned() else {
                prop_assert!(!is_list && diff == Default::default());
                continue;
            };
            prop_assert_eq!(&history.states[&set.revision], &set.data_centres);
            let old = known.unwrap_or_default();
            prop_assert!(set.revision >= old.revision, "{} after {}", set.revision, old.revision);
            let mut rebuilt = old.data_centres;
            rebuilt.extend(diff.began);
            diff.ended.iter().for_each(|name| { rebuilt.remove(name); });
            prop_assert_eq!(&rebuilt, &set.data_centres, "the reported difference");
            known = Some(set);
        }
        let last = history.set_at(history.states.len() - 1);
        if known.is_some() {
            evacuations.update(EvacuationUpdate::Relayed(last.clone()));
            prop_assert_eq!(evacuations.listed(), Some(&last), "a later set is not held back");
        }
    }
}
