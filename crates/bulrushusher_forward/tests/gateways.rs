//! Gateways that come, go, are cut off and start again: who is known, told and cleaned away.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_forward::{Announced, Gateways, GatewaysConfig};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// How often each gateway reads the announcements.
const LOOK: Millis = Millis(15_000);

fn name(n: usize) -> Arc<str> {
    format!("entry-{n}").as_str().into()
}

fn address(n: usize, start: u64) -> SocketAddr {
    ([10, start as u8, (n / 250) as u8, (n % 250) as u8], 7_000).into()
}

/// Gateways that speak with each other by whole reports, and the store that holds announcements.
struct Fleet {
    gateways: BTreeMap<usize, Gateways>,
    /// Name, address and revision of each announcement.
    store: BTreeMap<usize, (SocketAddr, u64)>,
    starts: BTreeMap<usize, u64>,
    revision: u64,
    writes: usize,
    now: Millis,
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let mut fleet = Fleet {
            gateways: BTreeMap::new(),
            store: BTreeMap::new(),
            starts: BTreeMap::new(),
            revision: 0,
            writes: 0,
            now: Millis(1_000_000),
        };
        (0..count).for_each(|n| fleet.start(n));
        fleet
    }

    /// A gateway starts, perhaps again, at another address.
    fn start(&mut self, n: usize) {
        let start = self.starts.get(&n).map_or(0, |start| start + 1);
        self.starts.insert(n, start);
        self.gateways.insert(n, Gateways::new(GatewaysConfig::default(), name(n)));
        self.announce(n);
    }

    fn announce(&mut self, n: usize) {
        self.revision += 1;
        self.writes += 1;
        self.store.insert(n, (address(n, self.starts[&n]), self.revision));
    }

    /// All look at the store and clean up, then tell whomever they know.
    fn look(&mut self, is_cut: impl Fn(usize, usize) -> bool) {
        self.now = self.now.plus(LOOK);
        // They have spoken all the time.
        self.tell(&is_cut);
        let all: Vec<Announced> = self
            .store
            .iter()
            .map(|(n, (address, revision))| Announced {
                name: name(*n),
                address: *address,
                revision: *revision,
            })
            .collect();
        let mut missing = Vec::new();
        let mut removed = Vec::new();
        for (n, gateway) in &mut self.gateways {
            if gateway.list(&all, self.now).own_is_missing {
                missing.push(*n);
            }
            removed.extend(gateway.to_remove(self.now));
        }
        self.tell(&is_cut);
        for announced in removed {
            let found = self.store.iter().find(|(n, _)| name(**n) == announced.name);
            // Each is removed only at its revision.
            let n = found.filter(|(_, held)| held.1 == announced.revision).map(|(n, _)| *n);
            if let Some(n) = n {
                self.store.remove(&n);
                self.writes += 1;
            }
        }
        missing.into_iter().for_each(|n| self.announce(n));
    }

    fn tell(&mut self, is_cut: &impl Fn(usize, usize) -> bool) {
        let at: BTreeMap<SocketAddr, usize> =
            self.gateways.keys().map(|n| (address(*n, self.starts[n]), *n)).collect();
        let told: Vec<(usize, SocketAddr)> = self
            .gateways
            .iter()
            .flat_map(|(n, gateway)| gateway.all().into_iter().map(move |to| (*n, to)))
            .collect();
        for (from, to) in told {
            let Some(to) = at.get(&to).copied().filter(|to| !is_cut(from, *to)) else { continue };
            let heard_from = address(from, self.starts[&from]);
            if let Some(gateway) = self.gateways.get_mut(&to) {
                gateway.hear(&name(from), heard_from, self.now);
            }
        }
    }

    /// Gateways that each live one tells its changes.
    fn told(&self, n: usize) -> BTreeSet<SocketAddr> {
        self.gateways[&n].told(self.now).into_iter().collect()
    }

    fn others(&self, n: usize) -> BTreeSet<SocketAddr> {
        let others = self.gateways.keys().filter(|other| **other != n);
        others.map(|other| address(*other, self.starts[other])).collect()
    }
}

fn looks_until_cleaned() -> usize {
    (GatewaysConfig::default().gone_after.0 / LOOK.0) as usize + 2
}

/// Replaced VMs have new names. Their announcements go within some looks of the time after which they
/// count as gone, and nobody is told in vain meanwhile but by a whole report.
#[test]
fn announcements_of_gateways_that_are_gone_are_removed() {
    let mut fleet = Fleet::new(12);
    fleet.look(|_, _| false);
    for n in 0..5 {
        fleet.gateways.remove(&n);
    }
    fleet.look(|_, _| false);
    for n in 5..12 {
        assert_eq!(fleet.told(n), fleet.others(n), "the others, and none that is gone");
    }
    (0..looks_until_cleaned()).for_each(|_| fleet.look(|_, _| false));
    assert_eq!(fleet.store.keys().copied().collect::<Vec<_>>(), (5..12).collect::<Vec<_>>());
    assert_eq!(fleet.writes, 12 + 5, "each is removed once");
}

/// Two halves that do not hear each other for an hour keep finding each other's announcements again, at
/// a write or two a gateway in five minutes.
#[test]
fn halves_that_do_not_hear_each_other_write_little_and_find_each_other_again() {
    let mut fleet = Fleet::new(20);
    fleet.look(|_, _| false);
    let is_cut = |from: usize, to: usize| (from < 10) != (to < 10);
    const HOUR: usize = 240;
    let before = fleet.writes;
    (0..HOUR).for_each(|_| fleet.look(is_cut));
    let periods = HOUR * LOOK.0 as usize / GatewaysConfig::default().gone_after.0 as usize;
    assert!(fleet.writes - before <= 2 * 20 * periods, "{} writes", fleet.writes - before);
    (0..3).for_each(|_| fleet.look(|_, _| false));
    for n in 0..20 {
        assert_eq!(fleet.told(n), fleet.others(n));
    }
}

#[test]
fn no_more_gateways_are_known_than_allowed() {
    let cfg = GatewaysConfig { most: 50, ..GatewaysConfig::default() };
    let mut gateways = Gateways::new(cfg, name(9_999));
    for n in 0..1_000 {
        gateways.hear(&name(n), address(n, 0), Millis(n as u64));
    }
    let all = gateways.all();
    assert_eq!(all.len(), 50);
    assert!(all.contains(&address(999, 0)) && !all.contains(&address(0, 0)), "the last ones");
}

#[derive(Clone, Debug)]
enum Step {
    Leave(usize),
    Start(usize),
    Look { cut: Option<usize> },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..8_usize).prop_map(Step::Leave),
        2 => (0..8_usize).prop_map(Step::Start),
        4 => prop::option::weighted(0.3, 0..8_usize).prop_map(|cut| Step::Look { cut }),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 256, rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..Config::default()
    })]

    /// Whatever left, started again elsewhere or was cut off: after three quiet looks everybody tells
    /// exactly the others, and each that lives is announced.
    #[test]
    fn after_some_quiet_looks_everybody_tells_the_others(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut fleet = Fleet::new(8);
        for step in steps {
            match step {
                Step::Leave(n) => drop(fleet.gateways.remove(&n)),
                Step::Start(n) => fleet.start(n),
                Step::Look { cut } => {
                    fleet.look(|from, to| cut.is_some_and(|cut| cut == from || cut == to));
                }
            }
        }
        (0..3).for_each(|_| fleet.look(|_, _| false));
        for n in fleet.gateways.keys() {
            prop_assert_eq!(fleet.told(*n), fleet.others(*n));
            prop_assert!(fleet.store.contains_key(n));
        }
    }
}
