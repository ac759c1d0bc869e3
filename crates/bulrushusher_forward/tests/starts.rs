//! Runners that start again under their identity: the last start counts, whatever order its words
//! come in.

use std::collections::BTreeMap;

use bulrushusher_forward::{
    Born, CallResult, LoadConfig, Members, MembersConfig, Runner, RunnerLoads, StartNews,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

fn runner(n: u8, born: Option<u64>, leaving: bool) -> Runner {
    Runner {
        id: format!("i-{n}").as_str().try_into().expect("a good name"),
        born: born.map(Born),
        service: "app".try_into().expect("a good name"),
        address: ([10, 0, 0, 1], 8_000 + u16::from(n)).into(),
        data_centre: "dc-1".try_into().expect("a good name"),
        slots: 4,
        stage: None,
        leaving,
    }
}

/// What is said of a runner.
#[derive(Clone, Debug)]
enum Said {
    Entry { n: u8, born: Option<u64>, leaving: bool },
    OwnWord { n: u8, born: u64 },
    Removed { n: u8 },
}

fn said() -> impl Strategy<Value = Vec<Said>> {
    let n = || 0_u8..3;
    let said = prop_oneof![
        4 => (n(), prop::option::weighted(0.8, 0_u64..4), any::<bool>())
            .prop_map(|(n, born, leaving)| Said::Entry { n, born, leaving }),
        2 => (n(), 0_u64..4).prop_map(|(n, born)| Said::OwnWord { n, born }),
        1 => n().prop_map(|n| Said::Removed { n }),
    ];
    prop::collection::vec(said, 1..30)
}

/// The oracle: the highest start told of each runner, and what its last good entry said.
#[derive(Default)]
struct Oracle {
    born: BTreeMap<u8, u64>,
    leaving: BTreeMap<u8, bool>,
}

impl Oracle {
    fn take_in(&mut self, said: &Said) {
        match *said {
            Said::Entry { n, born, leaving } => match (self.born.get(&n).copied(), born) {
                (Some(_), None) => drop(self.leaving.remove(&n)),
                (Some(last), Some(born)) if born < last => {}
                (_, born) => {
                    born.map(|born| self.born.insert(n, born));
                    self.leaving.insert(n, leaving);
                }
            },
            Said::OwnWord { n, born } => {
                let last = self.born.entry(n).or_insert(born);
                *last = (*last).max(born);
            }
            Said::Removed { n } => drop(self.leaving.remove(&n)),
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
    fn the_last_start_counts_in_whatever_order_words_come(said in said()) {
        let mut members = Members::new(MembersConfig::default());
        let mut oracle = Oracle::default();
        let now = Millis(1_000);
        members.store_answered(now);
        for said in &said {
            match *said {
                Said::Entry { n, born, leaving } => drop(members.put(runner(n, born, leaving))),
                Said::OwnWord { n, born } => {
                    members.note_start(&runner(n, None, false).id, Some(Born(born)));
                }
                Said::Removed { n } => members.remove(&runner(n, None, false).id, now),
            }
            oracle.take_in(said);
            for n in 0..3 {
                let known = members.get(&runner(n, None, false).id, now);
                prop_assert_eq!(known.map(|known| known.leaving), oracle.leaving.get(&n).copied());
                let last = oracle.born.get(&n).copied();
                for born in 0..4 {
                    let is_past = members.is_past(&runner(n, Some(born), false));
                    prop_assert_eq!(is_past, last.is_some_and(|last| last > born));
                }
            }
        }
    }
}

#[test]
fn a_list_tells_who_started_again() {
    let mut members = Members::new(MembersConfig::default());
    let now = Millis(1_000);
    members.replace_all(vec![runner(0, Some(5), false), runner(1, Some(5), false)], now);
    let news = members.replace_all(vec![runner(0, Some(6), false), runner(1, Some(4), true)], now);
    assert_eq!(news.started_again, vec![runner(0, None, false).id]);
    assert!(news.missing.is_empty());
    let kept = members.get(&runner(1, None, false).id, now).expect("it is listed");
    assert!(!kept.leaving, "an earlier start says nothing of this one");
    assert_eq!(members.put(runner(1, None, false)), StartNews::Untold);
    assert!(members.get(&kept_id(), now).is_none());
}

fn kept_id() -> bulrushusher_world::RunnerId {
    runner(1, None, false).id
}

#[test]
fn calls_to_a_forgotten_runner_do_not_count_off_later_ones() {
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
