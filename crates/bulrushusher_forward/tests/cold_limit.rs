//! The bound on requests to a cold runner, under pairs of faults among the gateways.
//!
//! Guards against gateways that together exceed the bound: each of them decides by its own list of
//! gateways, and lists differ after restarts, partitions and changes of the fleet. In every run all
//! gateways send the runner as much as their limiter allows.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bulrushusher_forward::{
    BackPressureError, ColdLimitConfig, ColdLimiter, ColdShare, ColdSpec, GatewayAnnouncement,
    GatewayDirectory, GatewayDirectoryConfig, KnownGateways, Runner, SendKind, ServiceSpec,
    StartTime,
};
use bulrushusher_time::Millis;

/// Interval at which a gateway reads the announcements.
const READ_INTERVAL: u64 = 15_000;

/// Interval at which a gateway reads them while its list is not certain.
const UNCERTAIN_READ_INTERVAL: u64 = 3_000;

const STEP: u64 = 100;

/// When the first fault begins; all lists are certain by then.
const FIRST_FAULT: u64 = 8_000;

/// Time within which gateways start anew, one after another. It is less than the 3 s after which a
/// gateway takes its list for certain.
const START_SPAN: u64 = 2_500;

/// How long partitions and silence last.
const FAULT_LENGTH: u64 = 20_000;

#[derive(Clone, Copy, Debug)]
struct Setup {
    per_second: f64,
    cfg: ColdLimitConfig,
    gateways: usize,
}

const fn setup(per_second: f64, overage: f64, slack: f64, gateways: usize) -> Setup {
    Setup { per_second, cfg: ColdLimitConfig { overage, slack }, gateways }
}

impl Setup {
    fn bound(&self) -> f64 {
        self.per_second * self.cfg.overage + self.cfg.slack
    }

    fn share(&self) -> ColdShare {
        ColdShare::of(self.per_second, self.cfg)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    /// All gateways restart, and reuse their announcements.
    RestartAll,
    /// All gateways restart one after another, and none has an announcement left.
    StartAnew,
    /// Half of the gateways get no messages from the other half.
    Partition,
    /// Half of the gateways do not reach the store and keep their lists.
    StoreCutOff,
    /// A third of the gateways send no messages.
    Silence,
    /// New gateways start.
    Add,
    /// Gateways end and their announcements are removed.
    Remove,
    /// Announcements of running gateways are removed from the store, and written again by them.
    LoseAnnouncements,
    /// The runner restarts, and reports less time than it stays cold.
    LateClock,
}

const FAULTS: [Fault; 9] = [
    Fault::RestartAll,
    Fault::StartAnew,
    Fault::Partition,
    Fault::StoreCutOff,
    Fault::Silence,
    Fault::Add,
    Fault::Remove,
    Fault::LoseAnnouncements,
    Fault::LateClock,
];

/// Time between the beginnings of the two faults, in ms.
const DISTANCES: [u64; 8] = [0, 100, 900, 2_000, 4_000, 9_000, 15_100, 21_000];

fn announcement(n: usize, revision: u64) -> GatewayAnnouncement {
    let address = ([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000).into();
    GatewayAnnouncement {
        name: format!("entry-{n}").as_str().into(),
        address,
        revision,
        data_centre: None,
    }
}

struct Gateway {
    directory: GatewayDirectory,
    limiter: ColdLimiter,
    next_read: u64,
}

struct Fleet {
    setup: Setup,
    runner: Runner,
    gateways: BTreeMap<usize, Gateway>,
    /// Revision of each announcement, and when it was written.
    store: BTreeMap<usize, (u64, u64)>,
    revision: u64,
    partitioned_until: u64,
    store_cut_off_until: u64,
    silent_until: u64,
    next_name: usize,
    /// Gateways that start later, with their time.
    to_start: Vec<(u64, usize)>,
    /// Gateways that others may not know from their lists. Messages of the others change nothing.
    unlisted: BTreeSet<usize>,
    /// Times and number of sends in the last second.
    sends: VecDeque<(u64, usize)>,
    most: usize,
}

fn runner(born: u64, cold_for: u64) -> Runner {
    Runner {
        id: "i-1".try_into().unwrap(),
        born: Some(StartTime(born)),
        service: "llm".try_into().unwrap(),
        address: "10.9.0.1:80".parse().unwrap(),
        data_centre: "dc-1".try_into().unwrap(),
        slots: 48,
        stage: None,
        leaving: false,
        cold_for: Millis(cold_for),
        revision: born,
        version: "v1".into(),
    }
}

/// How long the runner stays cold: throughout a run.
const COLD_FOR: u64 = 200_000;

fn service(per_second: f64) -> ServiceSpec {
    let cold = ColdSpec { requests_per_second: per_second, duration: Millis(COLD_FOR) };
    ServiceSpec {
        name: "llm".try_into().unwrap(),
        max_connections: 100,
        engine: None,
        cold: Some(cold),
    }
}

impl Fleet {
    fn new(setup: Setup) -> Fleet {
        let mut fleet = Fleet {
            setup,
            runner: runner(1, COLD_FOR),
            gateways: BTreeMap::new(),
            store: BTreeMap::new(),
            revision: 0,
            partitioned_until: 0,
            store_cut_off_until: 0,
            silent_until: 0,
            next_name: setup.gateways,
            to_start: Vec::new(),
            unlisted: BTreeSet::new(),
            sends: VecDeque::new(),
            most: 0,
        };
        (0..setup.gateways).for_each(|n| fleet.start(n, 0));
        fleet
    }

    /// Starts a gateway, which reuses its announcement if there is one.
    fn start(&mut self, n: usize, now: u64) {
        let name = announcement(n, 0).name;
        let cfg = GatewayDirectoryConfig { gone_after: Millis(300_000), ..Default::default() };
        let mut limiter = ColdLimiter::new(name.clone());
        limiter.set_services([&service(self.setup.per_second)], self.setup.cfg, Millis(now));
        limiter.observe(&self.runner, Millis(now));
        let directory = GatewayDirectory::new(cfg, name);
        self.gateways.insert(n, Gateway { directory, limiter, next_read: now });
        match self.store.get(&n) {
            Some((_, written_at)) => {
                let gateway = self.gateways.get_mut(&n).expect("it runs");
                gateway.directory.record_own_announcement(Millis(*written_at));
            }
            None => self.announce(n, now),
        }
    }

    fn announce(&mut self, n: usize, now: u64) {
        self.revision += 1;
        self.store.insert(n, (self.revision, now));
        let gateway = self.gateways.get_mut(&n).expect("it runs");
        gateway.directory.record_own_announcement(Millis(now));
        publish(gateway, now);
    }

    fn inject(&mut self, fault: Fault, now: u64) {
        let spare = self.setup.share().spare;
        // Two faults of the same kind change at most as many gateways as are spared for.
        let changed = spare.div_ceil(2).min(self.setup.gateways / 4).max(1);
        let names: Vec<usize> = self.gateways.keys().copied().collect();
        match fault {
            Fault::RestartAll => names.iter().for_each(|n| self.start(*n, now)),
            Fault::StartAnew => {
                self.gateways.clear();
                self.store.clear();
                let delay = |nth: usize| START_SPAN * nth as u64 / names.len() as u64;
                let starts = names.iter().enumerate().map(|(nth, n)| (now + delay(nth), *n));
                self.to_start = starts.collect();
            }
            Fault::Partition => self.partitioned_until = now + FAULT_LENGTH,
            Fault::StoreCutOff => self.store_cut_off_until = now + FAULT_LENGTH,
            Fault::Silence => self.silent_until = now + FAULT_LENGTH,
            Fault::Add => (0..changed).for_each(|_| {
                self.start(self.next_name, now);
                self.unlisted.insert(self.next_name);
                self.next_name += 1;
            }),
            Fault::Remove => names.iter().rev().take(changed).for_each(|n| {
                self.gateways.remove(n);
                self.unlisted.remove(n);
                self.store.remove(n);
            }),
            Fault::LoseAnnouncements => names.iter().take(changed).for_each(|n| {
                self.unlisted.insert(*n);
                self.store.remove(n);
            }),
            Fault::LateClock => {
                let born = self.runner.revision + 1;
                self.runner = runner(born, 300);
                for gateway in self.gateways.values_mut() {
                    gateway.limiter.observe(&self.runner, Millis(now));
                }
            }
        }
    }

    /// Messages arrive every 700 ms, from each gateway to all that hear it.
    fn exchange_messages(&mut self, now: u64) {
        let is_partitioned = now < self.partitioned_until;
        let is_silent = |n: usize| now < self.silent_until && n.is_multiple_of(3);
        for (n, gateway) in &mut self.gateways {
            let mut is_new = false;
            let heard = self.unlisted.iter().filter(|from| {
                *from != n && !is_silent(**from) && !(is_partitioned && *from % 2 != n % 2)
            });
            for from in heard {
                let GatewayAnnouncement { name, address, .. } = announcement(*from, 0);
                is_new |= gateway.directory.record_message(&name, address, Millis(now));
            }
            if is_new {
                publish(gateway, now);
            }
        }
    }

    fn read_store(&mut self, now: u64) {
        let is_cut_off = |n: usize| now < self.store_cut_off_until && n % 2 == 1;
        let due: Vec<usize> = self
            .gateways
            .iter()
            .filter(|(n, it)| now >= it.next_read && !is_cut_off(**n))
            .map(|(n, _)| *n)
            .collect();
        let mut listed = Vec::new();
        for n in due {
            if listed.len() != self.store.len() {
                let announced = self.store.iter();
                listed = announced.map(|(n, (revision, _))| announcement(*n, *revision)).collect();
            }
            let gateway = self.gateways.get_mut(&n).expect("it runs");
            let diff = gateway.directory.apply_announcements(&listed, Millis(now));
            publish(gateway, now);
            let is_certain = gateway.directory.known_gateways().certain_until.is_some();
            // Announcements written below are read by the gateways that read later.
            let interval = if is_certain { READ_INTERVAL } else { UNCERTAIN_READ_INTERVAL };
            // Not all gateways read at the same time.
            gateway.next_read = now + interval + n as u64 * 37 % 500;
            if diff.own_is_missing {
                self.announce(n, now);
            }
        }
    }

    /// Each gateway sends all that it may.
    fn send(&mut self, now: u64) {
        let mut sent = 0;
        for gateway in self.gateways.values_mut() {
            // A limiter that takes the runner for a warm one would never stop.
            for _ in 0..2 * self.setup.share().per_second {
                if gateway.limiter.acquire(&self.runner, 1, Millis(now)).is_err() {
                    break;
                }
                gateway
                    .limiter
                    .record_send(&self.runner, SendKind::Permitted, Millis(now))
                    .expect("a permit was acquired");
                sent += 1;
            }
        }
        self.sends.push_back((now, sent));
        while self.sends.front().is_some_and(|(at, _)| now - at >= 1_000) {
            self.sends.pop_front();
        }
        self.most = self.most.max(self.sends.iter().map(|(_, sent)| sent).sum());
    }

    fn run(&mut self, faults: [(u64, Fault); 2], end: u64) {
        for now in (0..end).step_by(STEP as usize) {
            let (due, later) = self.to_start.iter().partition(|(at, _)| *at <= now);
            self.to_start = later;
            let due: Vec<(u64, usize)> = due;
            due.iter().for_each(|(_, n)| self.start(*n, now));
            for (at, fault) in faults {
                if at == now {
                    self.inject(fault, now);
                }
            }
            if now % 700 == 0 {
                self.exchange_messages(now);
            }
            self.read_store(now);
            self.send(now);
        }
    }
}

fn publish(gateway: &mut Gateway, now: u64) {
    gateway.limiter.set_gateways(gateway.directory.known_gateways(), Millis(now));
}

fn assert_bound_holds(setup: Setup, distances: &[u64]) {
    let mut most = (0, None);
    for first in FAULTS {
        for second in FAULTS {
            for distance in distances {
                let mut fleet = Fleet::new(setup);
                let at = FIRST_FAULT + distance;
                fleet.run([(FIRST_FAULT, first), (at, second)], at + FAULT_LENGTH + 16_000);
                assert!(
                    fleet.most as f64 <= setup.bound(),
                    "{} sends in a second after {first:?} and {second:?} at {distance} ms; bound \
                     {}",
                    fleet.most,
                    setup.bound(),
                );
                assert!(fleet.most > 0, "the runner is used");
                if fleet.most > most.0 {
                    most = (fleet.most, Some((first, second, *distance)));
                }
            }
        }
    }
    println!("{setup:?}: at most {most:?} of {}", setup.bound());
}

#[test]
fn pairs_of_faults_keep_to_the_bound() {
    assert_bound_holds(setup(24.0, 1.5, 5.0, 26), &DISTANCES);
}

#[test]
fn pairs_of_faults_keep_to_a_low_bound() {
    assert_bound_holds(setup(2.0, 1.5, 1.0, 26), &DISTANCES);
}

#[test]
fn pairs_of_faults_keep_to_the_bound_of_a_large_fleet() {
    assert_bound_holds(setup(200.0, 1.2, 5.0, 300), &[900]);
}

/// The division must hold for any statement of the platform, also a tiny, huge or invalid one.
#[test]
fn shares_stay_within_every_bound() {
    let rates = [0.01, 0.5, 1.0, 2.0, 3.3, 24.0, 200.0, 1e4, 1e12, f64::NAN, f64::INFINITY, -5.0];
    for rate in rates {
        for overage in [0.0, 0.5, 1.0, 1.2, 1.5, 10.0] {
            for slack in [0.0, 0.5, 1.0, 5.0, 100.0] {
                let share = ColdShare::of(rate, ColdLimitConfig { overage, slack });
                let ColdShare { per_second, sharers, spare } = share;
                let bound = rate * overage + slack;
                let sent = (per_second * (sharers + spare)) as f64;
                assert!(
                    sent <= bound.max(0.0) || sent == 0.0,
                    "{rate} {overage} {slack} {share:?}"
                );
                if bound >= 4.0 {
                    assert!(per_second >= 2 && sharers >= 1, "{rate} {overage} {slack} {share:?}");
                    assert!(sent >= (bound.min(1e9) * 0.6).floor(), "{bound} {share:?}");
                }
            }
        }
    }
}

fn limiter(per_second: f64) -> ColdLimiter {
    let mut limiter = ColdLimiter::new("entry-1".into());
    let cfg = ColdLimitConfig { overage: 1.0, slack: 0.0 };
    limiter.set_services([&service(per_second)], cfg, Millis(0));
    let certain_until = Some(Millis(u64::MAX));
    // Long enough ago for the sends of the previous start to be out of the window.
    limiter.set_gateways(KnownGateways { others: vec![], certain_until }, Millis(0));
    limiter
}

/// Time from which the limiter of a test may open.
const START: Millis = Millis(10_000);

fn at(ms: u64) -> Millis {
    START.plus(Millis(ms))
}

/// Sends while the runner is warm count, as it may become cold within the same second; without
/// that the first window contained the warm sends and a full share.
#[test]
fn sends_before_a_runner_becomes_cold_count() {
    let mut limiter = limiter(4.0);
    let warm = runner(1, 0);
    limiter.observe(&warm, at(0));
    for _ in 0..50 {
        limiter.acquire(&warm, 1, at(1_000)).unwrap();
        limiter.record_send(&warm, SendKind::Permitted, at(1_000)).unwrap();
    }
    let cold = Runner { revision: 2, ..runner(1, 3_000) };
    limiter.observe(&cold, at(1_200));
    assert_eq!(limiter.acquire(&cold, 1, at(1_200)), Err(BackPressureError::Cold));
    let opens = limiter.time_until_open(&cold, 1, at(1_200));
    assert!(!limiter.is_open(&cold, 1, at(1_200 + opens.0 - 1)));
    assert!(limiter.is_open(&cold, 1, at(1_200).plus(opens)));
}

/// A permit that was acquired while the runner was warm gives no right to send to a cold one, and
/// unused permits count until they lapse.
#[test]
fn permits_count_until_they_are_used_or_lapse() {
    let mut limiter = limiter(4.0);
    limiter.observe(&runner(1, 0), at(0));
    limiter.acquire(&runner(1, 0), 30, at(0)).unwrap();
    let cold = Runner { revision: 2, ..runner(1, 60_000) };
    limiter.observe(&cold, at(100));
    let sent = (0..30)
        .filter(|_| limiter.record_send(&cold, SendKind::Permitted, at(100)).is_ok())
        .count();
    assert_eq!(sent, 2);
    assert!(!limiter.is_open(&cold, 1, at(2_900)), "permits are left");
    assert!(limiter.is_open(&cold, 2, at(3_000)), "they have lapsed");
    limiter.acquire(&cold, 2, at(3_000)).unwrap();
    assert!(limiter.acquire(&cold, 1, at(3_001)).is_err());
    limiter.release(&cold, 2);
    assert!(limiter.acquire(&cold, 2, at(3_001)).is_ok());
}

/// A gateway that does not know the others must not take itself for one of the first.
#[test]
fn a_gateway_without_a_certain_list_sends_nothing() {
    let mut limiter = limiter(1_000.0);
    limiter.observe(&runner(1, 0), at(0));
    let cold = Runner { revision: 2, ..runner(1, 3_000) };
    limiter.observe(&cold, at(0));
    assert!(limiter.is_open(&cold, 1, at(0)));
    limiter.set_gateways(KnownGateways::default(), at(0));
    assert_eq!(limiter.acquire(&cold, 1, at(0)), Err(BackPressureError::Cold));
    assert_eq!(
        limiter.record_send(&cold, SendKind::Permitted, at(0)),
        Err(BackPressureError::Cold)
    );
    assert_eq!(limiter.time_until_open(&cold, 1, at(0)), Millis(3_500), "until it is warm");
    limiter.record_send(&cold, SendKind::Mandatory, at(0)).unwrap();
}

/// Entries may arrive out of order, and a start may be known before its entry; neither makes a cold
/// runner look warm.
#[test]
fn a_runner_stays_cold_for_the_longest_known_time() {
    let mut limiter = limiter(4.0);
    limiter.observe(&runner(1, 0), at(0));
    limiter.observe(&Runner { revision: 2, ..runner(1, 3_000) }, at(0));
    limiter.observe(&Runner { revision: 3, ..runner(1, 0) }, at(100));
    assert!(limiter.is_cold(&runner(1, 0), at(3_499)));
    assert!(!limiter.is_cold(&runner(1, 0), at(3_500)));
    // The same entry again, from another list.
    limiter.observe(&Runner { revision: 3, ..runner(1, 3_000) }, at(4_000));
    assert!(!limiter.is_cold(&runner(1, 0), at(4_000)));
    limiter.observe_start(&"i-1".try_into().unwrap(), Some(StartTime(9)), at(5_000));
    assert!(limiter.is_cold(&runner(9, 0), at(5_000 + COLD_FOR)));
}

/// Runners of a service that states no rate are never limited, whatever their entries say.
/// Guards against unlimited requests to a started runner whose clock was set back.
#[test]
fn a_runner_that_starts_with_a_lower_start_time_is_cold() {
    let mut limiter = limiter(4.0);
    let warm = Runner { revision: 7, ..runner(9, 0) };
    limiter.observe(&warm, Millis(1_000));
    assert!(!limiter.is_cold(&warm, Millis(1_000)));
    let again = Runner { revision: 8, ..runner(3, 0) };
    limiter.observe(&again, Millis(2_000));
    assert!(limiter.is_cold(&again, Millis(2_000)));
    limiter.observe(&warm, Millis(2_010));
    assert!(limiter.is_cold(&again, Millis(2_020)), "an entry that arrives late");
}

#[test]
fn services_without_a_stated_rate_are_not_limited() {
    let mut limiter = ColdLimiter::new("entry-1".into());
    let spec = ServiceSpec { cold: None, ..service(1.0) };
    limiter.set_services([&spec], ColdLimitConfig::default(), at(0));
    let cold = runner(1, 3_000);
    limiter.observe(&cold, at(0));
    for _ in 0..1_000 {
        limiter.acquire(&cold, 1, at(0)).unwrap();
        limiter.record_send(&cold, SendKind::Permitted, at(0)).unwrap();
    }
    assert!(!limiter.is_cold(&cold, at(0)) && !limiter.has_cold(at(0)));
    assert!(limiter.take_changes(at(0)).is_empty());
}

/// All gateways agree on who sends, and each runner has other senders.
#[test]
fn runners_are_spread_over_the_gateways() {
    let names: Vec<_> = (0..26).map(|n| announcement(n, 0).name).collect();
    let share = setup(24.0, 1.5, 5.0, 26);
    let mut senders: BTreeMap<usize, BTreeSet<usize>> = BTreeMap::new();
    for (n, own) in names.iter().enumerate() {
        let mut limiter = ColdLimiter::new(own.clone());
        limiter.set_services([&service(24.0)], share.cfg, Millis(0));
        let others = names.iter().filter(|name| *name != own).cloned().collect();
        let certain_until = Some(Millis(60_000));
        limiter.set_gateways(KnownGateways { others, certain_until }, Millis(0));
        for id in 0..47 {
            let cold =
                Runner { id: format!("i-{id}").as_str().try_into().unwrap(), ..runner(1, 3_000) };
            limiter.observe(&cold, Millis(0));
            if limiter.is_open(&cold, 2, Millis(1_100)) {
                senders.entry(id).or_default().insert(n);
            }
        }
    }
    assert_eq!(senders.len(), 47);
    assert!(senders.values().all(|gateways| gateways.len() == 4));
    let used: BTreeSet<usize> = senders.into_values().flatten().collect();
    assert_eq!(used.len(), 26, "every gateway may send to some runner");
}
