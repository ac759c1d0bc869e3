//! Gateways that tell each other, over links that lose and repeat, of requests that end runners.
//!
//! The oracle knows which request crashes its runners; the gateways see only that a runner ended, and
//! which requests it had just begun.

use bulrushusher_routing::{
    CrashUpdate, Quarantine, QuarantineConfig, Quarantined, RequestDigest, Suspect, CrashVerdict,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Gateways that are played.
const GATEWAYS: usize = 5;

/// Requests that are played: the first one crashes each runner, the others none.
const REQUESTS: usize = 4;

/// Time between two steps.
const STEP: Millis = Millis(300);

fn digest(request: usize) -> RequestDigest {
    RequestDigest::of([&[request as u8][..]])
}

#[derive(Clone, Debug)]
enum Step {
    /// The crashing request comes; `beside` has just begun at the same runner, at another gateway.
    Crash { gateway: usize, beside: Option<(usize, usize)>, lost: Vec<bool> },
    /// Another request is answered.
    Answer { gateway: usize, request: usize },
    /// Many runners end at once, each with a run of the same request.
    EndTogether { request: usize },
    /// A gateway starts again and reads the store.
    Restart { gateway: usize },
    /// All start again.
    RestartAll,
}

fn step() -> impl Strategy<Value = Step> {
    let gateway = || 0..GATEWAYS;
    let other = || 1..REQUESTS;
    let lost = prop::collection::vec(prop::bool::weighted(0.1), GATEWAYS);
    prop_oneof![
        6 => (gateway(), prop::option::of((gateway(), other())), lost)
            .prop_map(|(gateway, beside, lost)| Step::Crash { gateway, beside, lost }),
        4 => (gateway(), other())
            .prop_map(|(gateway, request)| Step::Answer { gateway, request }),
        1 => other().prop_map(|request| Step::EndTogether { request }),
        2 => gateway().prop_map(|gateway| Step::Restart { gateway }),
        1 => Just(Step::RestartAll),
    ]
}

/// Gateways, what the store holds, and what has happened.
struct Fleet {
    gateways: Vec<Quarantine>,
    store: Vec<Quarantined>,
    now: Millis,
    /// Runners that the crashing request has ended.
    ended: usize,
    /// Crashes at a gateway that had not heard what another one knew, or started again since; and times
    /// that all started again.
    unheard: usize,
}

impl Fleet {
    fn new() -> Fleet {
        let gateways = vec![Quarantine::new(QuarantineConfig::default()); GATEWAYS];
        Fleet { gateways, store: Vec::new(), now: Millis(1_000_000), ended: 0, unheard: 0 }
    }

    /// A runner ends on a request; peers hear of it but for those whose datagrams are lost.
    fn crash(&mut self, gateway: usize, request: usize, before: u32, lost: &[bool]) {
        let now = self.now;
        let verdict = self.gateways[gateway].record_crash(digest(request), before, now);
        let mut news = CrashUpdate::default();
        match verdict {
            CrashVerdict::Known => {}
            CrashVerdict::Suspected { crashes } => {
                news.suspects.push(Suspect { digest: digest(request), crashes });
            }
            CrashVerdict::Quarantined => {
                let held = Quarantined { digest: digest(request), since: now };
                news.quarantined.push(held);
                self.store.push(held);
            }
        }
        self.tell(gateway, &news, lost);
    }

    fn tell(&mut self, from: usize, news: &CrashUpdate, lost: &[bool]) {
        for to in (0..GATEWAYS).filter(|to| *to != from) {
            if lost.get(to).copied().unwrap_or(false) {
                continue;
            }
            let beyond = self.gateways[to].apply_update(news, self.now);
            // What comes twice changes nothing.
            self.gateways[to].apply_update(news, self.now);
            self.gateways[from].apply_update(&beyond, self.now);
        }
    }

    fn restart(&mut self, gateway: usize) {
        let mut fresh = Quarantine::new(QuarantineConfig::default());
        for held in &self.store {
            fresh.insert(*held, self.now);
        }
        self.gateways[gateway] = fresh;
    }

    fn play(&mut self, step: &Step) {
        self.now = self.now.plus(STEP);
        match step {
            Step::Crash { gateway, beside, lost } => {
                if self.gateways[*gateway].remaining(digest(0), self.now).is_some() {
                    return;
                }
                self.ended += 1;
                let before = self.gateways[*gateway].crash_count(digest(0));
                let knows_more = |it: &Quarantine| {
                    it.remaining(digest(0), self.now).is_some() || it.crash_count(digest(0)) > before
                };
                self.unheard += usize::from(self.gateways.iter().any(knows_more));
                self.crash(*gateway, 0, before, lost);
                if let Some((other, request)) = beside {
                    let before = self.gateways[*other].crash_count(digest(*request));
                    self.crash(*other, *request, before, lost);
                }
            }
            Step::Answer { gateway, request } => {
                if self.gateways[*gateway].record_answer(digest(*request)) {
                    let cleared = vec![digest(*request)];
                    let news = CrashUpdate { cleared, ..CrashUpdate::default() };
                    self.tell(*gateway, &news, &[]);
                }
            }
            Step::EndTogether { request } => {
                let before: Vec<u32> =
                    self.gateways.iter().map(|it| it.crash_count(digest(*request))).collect();
                for (gateway, before) in before.into_iter().enumerate() {
                    self.crash(gateway, *request, before, &[]);
                }
            }
            Step::Restart { gateway } => self.restart(*gateway),
            Step::RestartAll => {
                self.unheard += 1;
                (0..GATEWAYS).for_each(|gateway| self.restart(gateway));
            }
        }
    }
}

fn config() -> Config {
    Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(25),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// Each crash that somebody still remembers brings the next one nearer to the last: whatever is
    /// lost or starts again, a crash more is the most that it costs.
    #[test]
    fn a_request_ends_no_more_runners_than_it_takes_to_be_sure(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut fleet = Fleet::new();
        steps.iter().for_each(|step| fleet.play(step));
        let enough = QuarantineConfig::default().crash_threshold as usize;
        let restarts = steps.iter().filter(|it| matches!(it, Step::Restart { .. })).count();
        prop_assert!(
            fleet.ended <= enough + fleet.unheard + restarts,
            "{} ended, {} unheard", fleet.ended, fleet.unheard
        );
    }

    /// Once it is in quarantine and everybody has heard, nobody runs it.
    #[test]
    fn what_is_in_quarantine_runs_nowhere(gateways in prop::collection::vec(0..GATEWAYS, 2..30)) {
        let mut fleet = Fleet::new();
        for gateway in gateways {
            fleet.play(&Step::Crash { gateway, beside: None, lost: Vec::new() });
        }
        prop_assert_eq!(fleet.ended, QuarantineConfig::default().crash_threshold as usize);
    }

    /// Runners that end together say nothing of what they ran, however many they are.
    #[test]
    fn runners_that_end_together_put_nothing_into_quarantine(times in 1_usize..20) {
        let mut fleet = Fleet::new();
        for _ in 0..times {
            fleet.play(&Step::EndTogether { request: 1 });
            fleet.play(&Step::Answer { gateway: 3, request: 1 });
        }
        let now = fleet.now;
        prop_assert!(fleet.gateways.iter().all(|it| it.remaining(digest(1), now).is_none()));
    }
}

#[test]
fn an_answer_between_two_crashes_clears_a_request() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    for round in 0..20 {
        let before = quarantine.crash_count(digest(1));
        let verdict = quarantine.record_crash(digest(1), before, Millis(round * 1_000));
        assert_eq!(verdict, CrashVerdict::Suspected { crashes: 1 });
        assert!(quarantine.record_answer(digest(1)));
    }
}

#[test]
fn crashes_long_ago_are_forgotten_and_a_quarantine_ends() {
    let cfg = QuarantineConfig::default();
    let mut quarantine = Quarantine::new(cfg);
    let crash = |quarantine: &mut Quarantine, now| {
        let before = quarantine.crash_count(digest(1));
        quarantine.record_crash(digest(1), before, now)
    };
    assert_eq!(crash(&mut quarantine, Millis(0)), CrashVerdict::Suspected { crashes: 1 });
    assert_eq!(crash(&mut quarantine, Millis(10)), CrashVerdict::Quarantined);
    assert_eq!(quarantine.remaining(digest(1), Millis(20)), Some(Millis(cfg.duration.0 - 10)));
    let over = Millis(10).plus(cfg.duration);
    assert_eq!(quarantine.remaining(digest(1), over), None);
    assert_eq!(crash(&mut quarantine, over), CrashVerdict::Suspected { crashes: 1 });
    // Another request's crash is the occasion at which old ones are forgotten.
    let later = over.plus(cfg.suspect_ttl);
    quarantine.record_crash(digest(2), 0, later);
    assert_eq!(quarantine.crash_count(digest(1)), 0);
}

#[test]
fn as_many_requests_are_remembered_as_are_allowed_and_no_more() {
    let cfg = QuarantineConfig { max_entries: 8, ..QuarantineConfig::default() };
    let mut quarantine = Quarantine::new(cfg);
    for request in 0..100 {
        let now = Millis(request as u64);
        quarantine.record_crash(digest(request), 0, now);
        quarantine.record_crash(digest(request), 1, now);
        quarantine.record_crash(digest(100 + request), 0, now);
    }
    assert_eq!(quarantine.entries(Millis(100)).len(), 8);
    let known = (100..200).filter(|request| quarantine.crash_count(digest(*request)) > 0).count();
    assert_eq!(known, 8, "the last ones");
}

#[test]
fn a_quarantine_of_a_gateway_whose_clock_is_ahead_lasts_no_longer() {
    let cfg = QuarantineConfig::default();
    let mut quarantine = Quarantine::new(cfg);
    let ahead = Quarantined { digest: digest(1), since: Millis(9_000_000) };
    assert!(quarantine.insert(ahead, Millis(1_000)));
    assert_eq!(quarantine.remaining(digest(1), Millis(1_000)), Some(cfg.duration));
}
