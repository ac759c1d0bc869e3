//! The lease on the configuration: no key is acted on longer than the bound after it was taken away,
//! whatever becomes of messages, and however long a gateway stands still.

use std::collections::HashSet;

use bulrushusher_accounts::{ConfigLease, Freshness, LeaseConfig};
use bulrushusher_time::Millis;
use proptest::prelude::*;

const CFG: LeaseConfig = LeaseConfig { bound: Millis(3), fresh_for: Millis(2) };

/// A question to the store, or its answer on the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Message {
    asked_at: u64,
    /// The version in force when the store read the question; `None` before.
    version: Option<u8>,
}

/// A store whose configuration is replaced at some times, and one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    /// When each version after the first was put in force.
    replaced_at: Vec<u64>,
    messages: Vec<Message>,
    known: u8,
    lease: ConfigLease,
}

/// What may happen next.
#[derive(Clone, Copy, Debug)]
enum Event {
    Time,
    Replace,
    Ask,
    /// The store reads a question.
    Read(usize),
    /// The gateway hears an answer; the message stays, and may come again.
    Hear(usize),
    /// A message is lost.
    Lose(usize),
    /// A peer tells that it knows the version in force.
    PeerTells,
}

const LAST: u64 = 8;
const MOST_MESSAGES: usize = 2;
const MOST_VERSIONS: usize = 2;

impl World {
    fn start() -> World {
        let lease = ConfigLease::default();
        World { now: 1, replaced_at: vec![], messages: vec![], known: 0, lease }
    }

    fn version(&self) -> u8 {
        self.replaced_at.len() as u8
    }

    fn events(&self) -> Vec<Event> {
        let mut events = vec![];
        if self.now < LAST {
            events.push(Event::Time);
        }
        if self.replaced_at.len() < MOST_VERSIONS {
            events.push(Event::Replace);
        }
        if self.messages.len() < MOST_MESSAGES {
            events.push(Event::Ask);
        }
        for (nth, message) in self.messages.iter().enumerate() {
            events.push(Event::Lose(nth));
            events.push(match message.version {
                None => Event::Read(nth),
                Some(_) => Event::Hear(nth),
            });
        }
        if self.known < self.version() {
            events.push(Event::PeerTells);
        }
        events
    }

    fn after(&self, event: Event) -> World {
        let mut next = self.clone();
        match event {
            Event::Time => next.now += 1,
            Event::Replace => next.replaced_at.push(self.now),
            Event::Ask => next.messages.push(Message { asked_at: self.now, version: None }),
            Event::Read(nth) => next.messages[nth].version = Some(self.version()),
            Event::Hear(nth) => {
                let Message { asked_at, version } = self.messages[nth];
                next.known = self.known.max(version.expect("it was read"));
                next.lease.renew(Millis(asked_at));
            }
            Event::Lose(nth) => {
                next.messages.remove(nth);
            }
            Event::PeerTells => next.lease.end(Millis(self.now)),
        }
        next.messages.sort_unstable();
        next
    }

    /// A key that the known version has and the next one has not is refused in time.
    fn check(&self) {
        let lapsed = self.lease.freshness(CFG, Millis(self.now)) == Freshness::Lapsed;
        if let Some(replaced_at) = self.replaced_at.get(usize::from(self.known)) {
            let may_be_used = self.now < replaced_at + CFG.bound.0;
            assert!(lapsed || may_be_used, "{self:?}");
        }
    }
}

#[test]
fn every_order_of_questions_answers_and_changes_keeps_the_bound() {
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

/// The same check finds the mistake of dating evidence by when the answer came.
#[test]
fn evidence_that_counts_from_its_answer_breaks_the_bound() {
    let mut world = World::start();
    for event in [Event::Ask, Event::Read(0), Event::Replace] {
        world = world.after(event);
    }
    for _ in 0..CFG.bound.0 {
        world = world.after(Event::Time);
    }
    // The answer lay on its way all the while; a careless gateway counts from now.
    world.lease.renew(Millis(world.now));
    let broken = std::panic::catch_unwind(|| world.check());
    assert!(broken.is_err());
}

/// One thing that happens to a gateway, after some time.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The store answers what was asked that long ago.
    Answer {
        asked_ago: u64,
    },
    PeerKnowsMore,
    Nothing,
}

fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let step = prop_oneof![
        (0_u64..20_000).prop_map(|asked_ago| Step::Answer { asked_ago }),
        Just(Step::PeerKnowsMore),
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
    fn a_lease_rests_on_a_question_that_is_younger_than_the_bound(steps in steps()) {
        let cfg = LeaseConfig { bound: Millis(5_000), fresh_for: Millis(3_000) };
        let mut lease = ConfigLease::default();
        let (mut now, mut last_question, mut ended_at) = (100_000, None, 0);
        for (passed, step) in steps {
            now += passed;
            match step {
                Step::Answer { asked_ago } => {
                    let asked_at = now - asked_ago.min(now);
                    lease.renew(Millis(asked_at));
                    if asked_at >= ended_at {
                        last_question = last_question.max(Some(asked_at));
                    }
                }
                Step::PeerKnowsMore => {
                    lease.end(Millis(now));
                    (last_question, ended_at) = (None, now);
                }
                Step::Nothing => {}
            }
            let freshness = lease.freshness(cfg, Millis(now));
            let age = last_question.map(|asked_at| now - asked_at);
            match freshness {
                Freshness::Fresh => prop_assert!(age.is_some_and(|age| age <= 3_000)),
                Freshness::Leased => prop_assert!(age.is_some_and(|age| age < 5_000)),
                Freshness::Lapsed => prop_assert!(age.is_none_or(|age| age >= 4_500)),
            }
            // Callers are sent elsewhere before keys are refused.
            prop_assert!(!lease.is_ready(cfg, Millis(now)) || freshness != Freshness::Lapsed);
            // It is asked for in time.
            let due = lease.renew_in(cfg, Millis(now));
            prop_assert!(due > Millis(0) || age.is_none_or(|age| age >= 2_000));
        }
    }
}
