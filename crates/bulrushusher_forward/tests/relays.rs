//! A fleet of gateways that follows one store while runners register one by one, relays end or
//! lose the store, and datagrams are lost.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bulrushusher_forward::{
    ChangeLog, DeltaPages, DeltaRequest, PageOutcome, RelayPeer, RelayView, Relays, RelaysConfig,
    Runner, RunnerChange, RunnerDelta, RunnerRemoval, StoreContact, StoreRole,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const STEP: Millis = Millis(100);
const REPORT_INTERVAL_MS: u64 = 700;
const LONG_POLL_MS: u64 = 2_500;
const REQUEST_AFTER_MS: u64 = 300;
const PAGE_SIZE: usize = 20;
/// Time within which every gateway must know a change.
const IN_FORCE_MS: u64 = 5_000;

fn id(n: usize) -> RunnerId {
    format!("i-{n:04}").as_str().try_into().expect("valid name")
}

fn entry(n: usize, slots: u32) -> RunnerChange {
    RunnerChange::Entry(Runner {
        id: id(n),
        born: None,
        service: "app".try_into().expect("valid name"),
        address: "10.0.0.1:80".parse().expect("valid address"),
        data_centre: "dc-1".try_into().expect("valid name"),
        slots,
        stage: None,
        leaving: false,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    })
}

type Table = BTreeMap<RunnerId, RunnerChange>;

fn put(table: &mut Table, change: &RunnerChange) {
    match change {
        RunnerChange::Entry(_) => table.insert(change.runner().clone(), change.clone()),
        RunnerChange::Removed(_) | RunnerChange::Unusable(_) => table.remove(change.runner()),
    };
}

struct Gateway {
    name: Arc<str>,
    relays: Relays,
    view: RelayView,
    contact: StoreContact,
    /// Time, store contact and revision in the last report of each peer.
    peers: HashMap<usize, (u64, StoreContact, u64)>,
    log: ChangeLog,
    pages: DeltaPages,
    seen: u64,
    table: Table,
    polled_at: u64,
    behind_since: Option<u64>,
    is_alive: bool,
    reaches_store: bool,
}

impl Gateway {
    fn new(n: usize) -> Gateway {
        let name: Arc<str> = format!("entry-{n}").into();
        let mut relays = Relays::new(
            RelaysConfig { silent_after: Millis(IN_FORCE_MS / 2), ..RelaysConfig::default() },
            name.clone(),
        );
        let view = relays.decide(StoreContact::Idle, &[], Millis(0));
        let mut log = ChangeLog::new(400);
        log.restart(1, 0);
        Gateway {
            name,
            relays,
            view,
            contact: StoreContact::Idle,
            peers: HashMap::new(),
            log,
            pages: DeltaPages::default(),
            seen: 1,
            table: Table::new(),
            polled_at: 0,
            behind_since: None,
            is_alive: true,
            reaches_store: true,
        }
    }

    fn apply(&mut self, delta: RunnerDelta) {
        delta.changes.iter().for_each(|change| put(&mut self.table, change));
        self.log.record(delta.request.after, delta.revision, delta.last_change, delta.changes);
        self.seen = delta.revision;
    }
}

struct Fleet {
    gateways: Vec<Gateway>,
    changes: Vec<RunnerChange>,
    calls: usize,
    loss: f64,
    now: u64,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(size: usize, loss: f64, seed: u64) -> Fleet {
        let gateways = (0..size).map(Gateway::new).collect();
        let rng = ChaCha8Rng::seed_from_u64(seed);
        Fleet { gateways, changes: vec![entry(0, 1)], calls: 0, loss, now: 0, rng }
    }

    fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.now += STEP.0;
            for n in 0..self.gateways.len() {
                if self.gateways[n].is_alive {
                    self.step(n);
                }
            }
        }
    }

    fn arrives(&mut self) -> bool {
        self.loss == 0.0 || !self.rng.random_bool(self.loss)
    }

    fn step(&mut self, n: usize) {
        if self.now % REPORT_INTERVAL_MS == (n as u64 * STEP.0) % REPORT_INTERVAL_MS {
            self.report(n);
        }
        let now = self.now;
        let gateway = &mut self.gateways[n];
        gateway.peers.retain(|_, (at, ..)| now - *at < IN_FORCE_MS / 2);
        let name_of = |n: &usize| -> Arc<str> { format!("entry-{n}").into() };
        let peers: Vec<RelayPeer> = gateway
            .peers
            .iter()
            .map(|(n, (_, contact, _))| RelayPeer { name: name_of(n), contact: *contact })
            .collect();
        gateway.view = gateway.relays.decide(gateway.contact, &peers, Millis(now));
        match gateway.view.role {
            StoreRole::Watch => self.watch(n),
            StoreRole::Listen => self.listen(n),
        }
    }

    fn report(&mut self, n: usize) {
        let report = (self.now, self.gateways[n].contact, self.gateways[n].seen);
        for to in (0..self.gateways.len()).filter(|to| *to != n) {
            if self.arrives() {
                self.gateways[to].peers.insert(n, report);
            }
        }
    }

    fn watch(&mut self, n: usize) {
        let (now, revision) = (self.now, self.changes.len() as u64);
        let gateway = &mut self.gateways[n];
        let is_due = revision > gateway.seen || now - gateway.polled_at >= LONG_POLL_MS;
        if !is_due || now - gateway.polled_at < 2 * STEP.0 {
            return;
        }
        gateway.polled_at = now;
        self.calls += 1;
        if !gateway.reaches_store {
            gateway.contact = StoreContact::Lost;
            return;
        }
        gateway.contact = StoreContact::Watching;
        let after = gateway.seen;
        let new = self.changes[after as usize..].to_vec();
        new.iter().for_each(|change| put(&mut gateway.table, change));
        gateway.log.record(after, revision, revision, new);
        gateway.seen = revision;
        if revision == after || !gateway.view.forwards {
            return;
        }
        let delta = gateway.log.since(&DeltaRequest { after, page_after: None }, PAGE_SIZE);
        let delta = delta.expect("recorded above");
        let view = gateway.view.clone();
        let listens = |it: &&Gateway| {
            it.is_alive && !view.watching.contains(&it.name) && it.name != self.gateways[n].name
        };
        let is_served =
            |it: &Gateway| self.gateways[n].relays.forwards_to(&view.watching, &it.name);
        let to: Vec<usize> = (0..self.gateways.len())
            .filter(|to| Some(&self.gateways[*to]).filter(listens).is_some_and(is_served))
            .collect();
        for to in to {
            if self.arrives() {
                self.receive(to, n, delta.clone());
            }
        }
    }

    /// Delivers a page to a gateway, which requests any missing ones from its sender.
    fn receive(&mut self, to: usize, from: usize, page: RunnerDelta) {
        let mut page = page;
        while self.gateways[to].view.role == StoreRole::Listen {
            let gateway = &mut self.gateways[to];
            match gateway.pages.add(page, gateway.seen) {
                PageOutcome::Apply(delta) => return gateway.apply(delta),
                PageOutcome::Missing(req) => {
                    if !self.arrives() || !self.arrives() {
                        return;
                    }
                    let Some(next) = self.gateways[from].log.since(&req, PAGE_SIZE) else {
                        return self.catch_up(to);
                    };
                    page = next;
                }
                PageOutcome::Known | PageOutcome::OtherEra => return,
            }
        }
    }

    /// Reads the missing changes from the store.
    fn catch_up(&mut self, n: usize) {
        self.calls += 1;
        let (gateway, revision) = (&mut self.gateways[n], self.changes.len() as u64);
        if gateway.reaches_store {
            let new = self.changes[gateway.seen as usize..].to_vec();
            new.iter().for_each(|change| put(&mut gateway.table, change));
            gateway.log.record(gateway.seen, revision, revision, new);
            gateway.seen = revision;
        }
    }

    fn listen(&mut self, n: usize) {
        let now = self.now;
        let gateway = &mut self.gateways[n];
        if gateway.contact == StoreContact::Watching {
            gateway.contact = StoreContact::Idle;
        }
        let known = gateway.peers.values().map(|(.., seen)| *seen).max().unwrap_or(0);
        if known <= gateway.seen {
            gateway.behind_since = None;
            return;
        }
        if now - *gateway.behind_since.get_or_insert(now) < REQUEST_AFTER_MS {
            return;
        }
        let watch = |(_, (_, contact, _)): &(&usize, &(u64, StoreContact, u64))| {
            *contact == StoreContact::Watching
        };
        let relays: Vec<usize> = gateway.peers.iter().filter(watch).map(|(n, _)| *n).collect();
        let req = DeltaRequest { after: gateway.seen, page_after: None };
        let Some(relay) = relays.get(self.rng.random_range(0..relays.len().max(1))).copied() else {
            return;
        };
        if self.gateways[relay].is_alive && self.arrives() && self.arrives() {
            match self.gateways[relay].log.since(&req, PAGE_SIZE) {
                Some(page) => self.receive(n, relay, page),
                None => self.catch_up(n),
            }
        }
    }

    fn relays(&self) -> Vec<usize> {
        (0..self.gateways.len()).filter(|n| self.gateways[*n].view.forwards).collect()
    }

    /// Runners register, change or are removed, one every two steps.
    fn change_runners(&mut self, count: usize) {
        for n in 0..count {
            let change = match n % 5 {
                4 => RunnerChange::Removed(RunnerRemoval { id: id(n / 2), revision: 0 }),
                _ => entry(n, n as u32),
            };
            self.changes.push(change);
            self.run(2 * STEP.0);
        }
    }

    /// Number of live gateways whose table differs from the store.
    fn behind(&self) -> usize {
        let mut stored = Table::new();
        self.changes[1..].iter().for_each(|change| put(&mut stored, change));
        self.gateways.iter().filter(|it| it.is_alive && it.table != stored).count()
    }
}

/// Number of calls to the store by a settled fleet of `size` gateways while `changes` runners
/// register one by one.
fn calls_for(size: usize, changes: usize) -> usize {
    let mut fleet = Fleet::new(size, 0.0, 1);
    fleet.run(6_000);
    let before = fleet.calls;
    fleet.change_runners(changes);
    fleet.run(IN_FORCE_MS);
    assert_eq!(fleet.behind(), 0, "of {size} gateways");
    fleet.calls - before
}

#[test]
fn single_registrations_wake_relays_only() {
    let changes = 60;
    let cfg = RelaysConfig::default();
    for size in [40, 160] {
        let waits = (changes as u64 * 2 * STEP.0 + IN_FORCE_MS) / LONG_POLL_MS + 2;
        let most = cfg.relays(size) * (changes + waits as usize);
        let calls = calls_for(size, changes);
        assert!(calls <= most, "{calls} calls of {size} gateways, expected at most {most}");
    }
}

#[test]
fn all_gateways_converge_despite_lost_datagrams_and_dead_relays() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(30, 0.1, seed);
        fleet.run(6_000);
        fleet.change_runners(20);
        for n in fleet.relays() {
            fleet.gateways[n].is_alive = false;
        }
        fleet.change_runners(20);
        fleet.run(IN_FORCE_MS);
        assert_eq!(fleet.behind(), 0, "seed {seed}");
    }
}

#[test]
fn other_gateways_watch_when_relays_lose_the_store() {
    for seed in 0..4 {
        let mut fleet = Fleet::new(30, 0.02, seed);
        fleet.run(6_000);
        for n in fleet.relays() {
            fleet.gateways[n].reaches_store = false;
        }
        fleet.change_runners(30);
        fleet.run(IN_FORCE_MS);
        assert_eq!(fleet.behind(), 0, "seed {seed}");
    }
}

#[test]
fn during_an_outage_the_number_of_watchers_grows_gradually() {
    let size = 160;
    let mut fleet = Fleet::new(size, 0.0, 1);
    fleet.run(6_000);
    let before = fleet.calls;
    fleet.gateways.iter_mut().for_each(|it| it.reaches_store = false);
    fleet.run(2_000);
    let calls = fleet.calls - before;
    assert!(calls < size / 2, "{calls} calls in two seconds");
    fleet.gateways.iter_mut().for_each(|it| it.reaches_store = true);
    fleet.change_runners(5);
    fleet.run(2 * IN_FORCE_MS);
    assert_eq!(fleet.behind(), 0);
}
