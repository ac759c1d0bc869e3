//! The configuration lease: a revoked key is refused within the time bound, whichever messages are
//! lost, delayed or duplicated, and however long a gateway is paused.

use std::collections::HashSet;

use bulrushusher_accounts::{ConfigLease, Freshness, LeaseConfig};
use bulrushusher_time::Millis;
use proptest::prelude::*;

const CFG: LeaseConfig = LeaseConfig { revocation_bound: Millis(3), fresh_for: Millis(2) };

/// A request to the store, or the response in transit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    requested_at: u64,
    /// The version in force when the store handled the request; `None` for a request in transit.
    version: Option<u8>,
}

/// A store whose configuration is replaced from time to time, and one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// Time at which each version after the first came into force.
    replaced_at: Vec<u64>,
    messages: Vec<Message>,
    loaded: u8,
    lease: ConfigLease,
}

/// A possible next event.
#[derive(Clone, Copy, Debug)]
enum Event {
    Tick,
    Replace,
    SendRequest,
    /// The store handles a request.
    Handle(usize),
    /// The gateway receives a response. The message stays in transit and may arrive again.
    Receive(usize),
    /// A message is lost.
    Lose(usize),
    /// A peer reports the version that is in force.
    PeerReports,
}

const LAST_TIME: u64 = 8;
const MAX_MESSAGES: usize = 2;
const MAX_REPLACEMENTS: usize = 2;

impl World {
    fn start() -> World {
        let lease = ConfigLease::default();
        World { now: 1, replaced_at: vec![], messages: vec![], loaded: 0, lease }
    }

    fn version(&self) -> u8 {
        self.replaced_at.len() as u8
    }

    fn events(&self) -> Vec<Event> {
        let mut events = vec![];
        if self.now < LAST_TIME {
            events.push(Event::Tick);
        }
        if self.replaced_at.len() < MAX_REPLACEMENTS {
            events.push(Event::Replace);
        }
        if self.messages.len() < MAX_MESSAGES {
            events.push(Event::SendRequest);
        }
        for (nth, message) in self.messages.iter().enumerate() {
            events.push(Event::Lose(nth));
            events.push(match message.version {
                None => Event::Handle(nth),
                Some(_) => Event::Receive(nth),
            });
        }
        if self.loaded < self.version() {
            events.push(Event::PeerReports);
        }
        events
    }

    fn after(&self, event: Event) -> World {
        let mut next = self.clone();
        match event {
            Event::Tick => next.now += 1,
            Event::Replace => next.replaced_at.push(self.now),
            Event::SendRequest => {
                next.messages.push(Message { requested_at: self.now, version: None });
            }
            Event::Handle(nth) => next.messages[nth].version = Some(self.version()),
            Event::Receive(nth) => {
                let Message { requested_at, version } = self.messages[nth];
                next.loaded = self.loaded.max(version.expect("the store has handled the request"));
                next.lease.renew(Millis(requested_at));
            }
            Event::Lose(nth) => {
                next.messages.remove(nth);
            }
            Event::PeerReports => next.lease.revoke(Millis(self.now)),
        }
        next.messages.sort_unstable();
        next
    }

    /// A key of the loaded version that the next version revokes is refused within the bound.
    fn check(&self) {
        let lapsed = self.lease.freshness(CFG, Millis(self.now)) == Freshness::Lapsed;
        if let Some(replaced_at) = self.replaced_at.get(usize::from(self.loaded)) {
            let may_be_used = self.now < replaced_at + CFG.revocation_bound.0;
            assert!(lapsed || may_be_used, "{self:?}");
        }
    }
}

#[test]
fn every_order_of_requests_responses_and_changes_keeps_the_bound() {
    let mut seen = HashSet::from([World::start()]);
    let mut todo = vec![World::start()];
    while let Some(world) = todo.pop() {
        world.check();
        for event in world.events() {
            let next = world.after(event);
            if seen.insert(next.clone()) {
                todo.push(next);
            }
        }
    }
    assert!(seen.len() > 10_000, "{} states", seen.len());
}

/// The same check detects a lease that counts from the arrival of the response.
#[test]
fn a_lease_that_counts_from_the_response_breaks_the_bound() {
    let mut world = World::start();
    for event in [Event::SendRequest, Event::Handle(0), Event::Replace] {
        world = world.after(event);
    }
    for _ in 0..CFG.revocation_bound.0 {
        world = world.after(Event::Tick);
    }
    // The response was delayed until now, and an incorrect gateway counts from its arrival.
    world.lease.renew(Millis(world.now));
    let broken = std::panic::catch_unwind(|| world.check());
    assert!(broken.is_err());
}

/// An event at a gateway.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store responds to a request that was sent `age` ms ago.
    Response {
        age: u64,
    },
    PeerHasNewerVersion,
    Nothing,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        (0_u64..20_000).prop_map(|age| Step::Response { age }),
        Just(Step::PeerHasNewerVersion),
        Just(Step::Nothing),
    ];
    prop::collection::vec((0_u64..9_000, step), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512, rng_seed: prop::test_runner::RngSeed::Fixed(28), failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_valid_lease_has_a_confirmation_younger_than_the_bound(steps in steps()) {
        let cfg = LeaseConfig { revocation_bound: Millis(5_000), fresh_for: Millis(3_000) };
        let mut lease = ConfigLease::default();
        let (mut now, mut last_request, mut revoked_at) = (100_000, None, 0);
        for (passed, step) in steps {
            now += passed;
            match step {
                Step::Response { age } => {
                    let requested_at = now - age.min(now);
                    lease.renew(Millis(requested_at));
                    if requested_at >= revoked_at {
                        last_request = last_request.max(Some(requested_at));
                    }
                }
                Step::PeerHasNewerVersion => {
                    lease.revoke(Millis(now));
                    (last_request, revoked_at) = (None, now);
                }
                Step::Nothing => {}
            }
            let freshness = lease.freshness(cfg, Millis(now));
            let age = last_request.map(|requested_at| now - requested_at);
            match freshness {
                Freshness::Fresh => prop_assert!(age.is_some_and(|age| age <= 3_000)),
                Freshness::Leased => prop_assert!(age.is_some_and(|age| age < 5_000)),
                Freshness::Lapsed => prop_assert!(age.is_none_or(|age| age >= 4_500)),
            }
            // The gateway reports itself not ready before it refuses keys.
            prop_assert!(!lease.is_ready(cfg, Millis(now)) || freshness != Freshness::Lapsed);
            // Renewal is due in time.
            let due = lease.renew_in(cfg, Millis(now));
            prop_assert!(due > Millis(0) || age.is_none_or(|age| age >= 2_000));
        }
    }
}
