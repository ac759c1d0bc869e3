//! Gateways that start, end, restart and are partitioned: who is known, active and cleaned up.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_forward::{GatewayAnnouncement, GatewayDirectory, GatewayDirectoryConfig};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Interval at which each gateway reads the announcements.
const READ_INTERVAL: Millis = Millis(15_000);

fn name(n: usize) -> Arc<str> {
    format!("entry-{n}").as_str().into()
}

fn address(n: usize, start: u64) -> SocketAddr {
    ([10, start as u8, (n / 250) as u8, (n % 250) as u8], 7_000).into()
}

/// Gateways that exchange full reports, and the store with their announcements.
struct Fleet {
    gateways: BTreeMap<usize, GatewayDirectory>,
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

    /// Starts a gateway; a restart gets a new address.
    fn start(&mut self, n: usize) {
        let start = self.starts.get(&n).map_or(0, |start| start + 1);
        self.starts.insert(n, start);
        self.gateways.insert(n, GatewayDirectory::new(GatewayDirectoryConfig::default(), name(n)));
        self.announce(n);
    }

    fn announce(&mut self, n: usize) {
        self.revision += 1;
        self.writes += 1;
        self.store.insert(n, (address(n, self.starts[&n]), self.revision));
    }

    /// All gateways read the announcements, clean up, and send reports to all that they know.
    fn run_round(&mut self, is_partitioned: impl Fn(usize, usize) -> bool) {
        self.now = self.now.plus(READ_INTERVAL);
        // Reports were exchanged during the whole interval.
        self.exchange_reports(&is_partitioned);
        let announcements: Vec<GatewayAnnouncement> = self
            .store
            .iter()
            .map(|(n, (address, revision))| GatewayAnnouncement {
                name: name(*n),
                address: *address,
                revision: *revision,
                data_centre: None,
            })
            .collect();
        let mut missing = Vec::new();
        let mut removed = Vec::new();
        for (n, gateway) in &mut self.gateways {
            if gateway.apply_announcements(&announcements, self.now).own_is_missing {
                missing.push(*n);
            }
            removed.extend(gateway.expired_announcements(self.now));
        }
        self.exchange_reports(&is_partitioned);
        for announcement in removed {
            let found = self.store.iter().find(|(n, _)| name(**n) == announcement.name);
            // An announcement is removed only at its expected revision.
            let n = found.filter(|(_, held)| held.1 == announcement.revision).map(|(n, _)| *n);
            if let Some(n) = n {
                self.store.remove(&n);
                self.writes += 1;
            }
        }
        missing.into_iter().for_each(|n| self.announce(n));
    }

    fn exchange_reports(&mut self, is_partitioned: &impl Fn(usize, usize) -> bool) {
        let at: BTreeMap<SocketAddr, usize> =
            self.gateways.keys().map(|n| (address(*n, self.starts[n]), *n)).collect();
        let sent: Vec<(usize, SocketAddr)> = self
            .gateways
            .iter()
            .flat_map(|(n, gateway)| gateway.all_addresses().into_iter().map(move |to| (*n, to)))
            .collect();
        for (from, to) in sent {
            let Some(to) = at.get(&to).copied().filter(|to| !is_partitioned(from, *to)) else {
                continue;
            };
            let sender_address = address(from, self.starts[&from]);
            if let Some(gateway) = self.gateways.get_mut(&to) {
                gateway.record_message(&name(from), sender_address, self.now);
            }
        }
    }

    /// Addresses to which a gateway sends each change.
    fn recipients(&self, n: usize) -> BTreeSet<SocketAddr> {
        self.gateways[&n].active_addresses(self.now).into_iter().collect()
    }

    fn others(&self, n: usize) -> BTreeSet<SocketAddr> {
        let others = self.gateways.keys().filter(|other| **other != n);
        others.map(|other| address(*other, self.starts[other])).collect()
    }
}

fn rounds_until_cleanup() -> usize {
    (GatewayDirectoryConfig::default().gone_after.0 / READ_INTERVAL.0) as usize + 2
}

/// Replaced VMs have new names. Announcements of the old ones are removed shortly after
/// `gone_after`; until then they are sent full reports only, and no changes.
#[test]
fn announcements_of_dead_gateways_are_removed() {
    let mut fleet = Fleet::new(12);
    fleet.run_round(|_, _| false);
    for n in 0..5 {
        fleet.gateways.remove(&n);
    }
    fleet.run_round(|_, _| false);
    for n in 5..12 {
        assert_eq!(fleet.recipients(n), fleet.others(n), "exactly the live gateways");
    }
    (0..rounds_until_cleanup()).for_each(|_| fleet.run_round(|_, _| false));
    assert_eq!(fleet.store.keys().copied().collect::<Vec<_>>(), (5..12).collect::<Vec<_>>());
    assert_eq!(fleet.writes, 12 + 5, "each dead announcement is removed once");
}

/// During a partition of an hour, two halves repeatedly remove and rewrite each other's
/// announcements, with at most two writes per gateway in each `gone_after`.
#[test]
fn partitioned_halves_write_rarely_and_rediscover_each_other() {
    let mut fleet = Fleet::new(20);
    fleet.run_round(|_, _| false);
    let is_partitioned = |from: usize, to: usize| (from < 10) != (to < 10);
    const HOUR: usize = 240;
    let before = fleet.writes;
    (0..HOUR).for_each(|_| fleet.run_round(is_partitioned));
    let periods =
        HOUR * READ_INTERVAL.0 as usize / GatewayDirectoryConfig::default().gone_after.0 as usize;
    assert!(fleet.writes - before <= 2 * 20 * periods, "{} writes", fleet.writes - before);
    (0..3).for_each(|_| fleet.run_round(|_, _| false));
    for n in 0..20 {
        assert_eq!(fleet.recipients(n), fleet.others(n));
    }
}

#[test]
fn the_number_of_known_gateways_is_bounded() {
    let cfg = GatewayDirectoryConfig { max_gateways: 50, ..GatewayDirectoryConfig::default() };
    let mut gateways = GatewayDirectory::new(cfg, name(9_999));
    for n in 0..1_000 {
        gateways.record_message(&name(n), address(n, 0), Millis(n as u64));
    }
    let all = gateways.all_addresses();
    assert_eq!(all.len(), 50);
    assert!(
        all.contains(&address(999, 0)) && !all.contains(&address(0, 0)),
        "the most recent ones are kept"
    );
}

#[derive(Clone, Debug)]
enum Step {
    Leave(usize),
    Start(usize),
    Round { isolated: Option<usize> },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..8_usize).prop_map(Step::Leave),
        2 => (0..8_usize).prop_map(Step::Start),
        4 => prop::option::weighted(0.3, 0..8_usize).prop_map(|isolated| Step::Round { isolated }),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 256, rng_seed: RngSeed::Fixed(21), failure_persistence: None, ..Config::default()
    })]

    /// After any sequence of departures, restarts and partitions, three undisturbed rounds suffice
    /// for each gateway to be announced and to send changes to exactly the other live ones.
    #[test]
    fn after_quiet_rounds_changes_go_to_exactly_the_other_gateways(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut fleet = Fleet::new(8);
        for step in steps {
            match step {
                Step::Leave(n) => drop(fleet.gateways.remove(&n)),
                Step::Start(n) => fleet.start(n),
                Step::Round { isolated } => {
                    fleet.run_round(|from, to| isolated.is_some_and(|n| n == from || n == to));
                }
            }
        }
        (0..3).for_each(|_| fleet.run_round(|_, _| false));
        for n in fleet.gateways.keys() {
            prop_assert_eq!(fleet.recipients(*n), fleet.others(*n));
            prop_assert!(fleet.store.contains_key(n));
        }
    }
}
