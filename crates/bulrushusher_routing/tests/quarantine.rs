//! Gateways that exchange crash updates over links that lose and duplicate datagrams.
//!
//! The oracle knows which request crashes its runners; the gateways see only that a runner ended,
//! and which requests it had just started.

use bulrushusher_routing::{
    CrashUpdate, CrashVerdict, Quarantine, QuarantineConfig, Quarantined, RequestDigest, Suspect,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

/// Number of simulated gateways.
const GATEWAYS: usize = 5;

/// Number of simulated requests. The first one crashes every runner, the others none.
const REQUESTS: usize = 4;

/// Time between two steps.
const STEP: Millis = Millis(300);

fn digest(request: usize) -> RequestDigest {
    RequestDigest::of([&[request as u8][..]])
}

#[derive(Clone, Debug)]
enum Step {
    /// The crashing request arrives. `beside`: another gateway with its request that has just
    /// started at the same runner.
    Crash { gateway: usize, beside: Option<(usize, usize)>, lost: Vec<bool> },
    /// Another request is answered.
    Answer { gateway: usize, request: usize },
    /// Many runners end at once, each while it runs the same request.
    EndTogether { request: usize },
    /// A gateway restarts and reads the store.
    Restart { gateway: usize },
    /// All gateways restart.
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

/// The gateways, the content of the store, and counts of events.
struct Fleet {
    gateways: Vec<Quarantine>,
    store: Vec<Quarantined>,
    now: Millis,
    /// Runners that the crashing request has crashed.
    crashed: usize,
    /// Crashes at a gateway that lacked information of another one, plus restarts of all gateways.
    uninformed: usize,
}

impl Fleet {
    fn new() -> Fleet {
        let gateways = vec![Quarantine::new(QuarantineConfig::default()); GATEWAYS];
        Fleet { gateways, store: Vec::new(), now: Millis(1_000_000), crashed: 0, uninformed: 0 }
    }

    /// A runner ends while it runs a request; peers are informed unless their datagram is lost.
    fn crash(&mut self, gateway: usize, request: usize, before: u32, lost: &[bool]) {
        let now = self.now;
        let verdict = self.gateways[gateway].record_crash(digest(request), before, now);
        let mut update = CrashUpdate::default();
        match verdict {
            CrashVerdict::Known => {}
            CrashVerdict::Suspected { crashes } => {
                update.suspects.push(Suspect { digest: digest(request), crashes });
            }
            CrashVerdict::Quarantined => {
                let entry = Quarantined { digest: digest(request), since: now };
                update.quarantined.push(entry);
                self.store.push(entry);
            }
        }
        self.broadcast(gateway, &update, lost);
    }

    fn broadcast(&mut self, from: usize, update: &CrashUpdate, lost: &[bool]) {
        for to in (0..GATEWAYS).filter(|to| *to != from) {
            if lost.get(to).copied().unwrap_or(false) {
                continue;
            }
            let missing = self.gateways[to].apply_update(update, self.now);
            // A duplicate must change nothing.
            self.gateways[to].apply_update(update, self.now);
            self.gateways[from].apply_update(&missing, self.now);
        }
    }

    fn restart(&mut self, gateway: usize) {
        let mut restarted = Quarantine::new(QuarantineConfig::default());
        for entry in &self.store {
            restarted.insert(*entry, self.now);
        }
        self.gateways[gateway] = restarted;
    }

    fn apply(&mut self, step: &Step) {
        self.now = self.now.plus(STEP);
        match step {
            Step::Crash { gateway, beside, lost } => {
                if self.gateways[*gateway].remaining(digest(0), self.now).is_some() {
                    return;
                }
                self.crashed += 1;
                let before = self.gateways[*gateway].crash_count(digest(0));
                let knows_more = |it: &Quarantine| {
                    it.remaining(digest(0), self.now).is_some()
                        || it.crash_count(digest(0)) > before
                };
                self.uninformed += usize::from(self.gateways.iter().any(knows_more));
                self.crash(*gateway, 0, before, lost);
                if let Some((other, request)) = beside {
                    let before = self.gateways[*other].crash_count(digest(*request));
                    self.crash(*other, *request, before, lost);
                }
            }
            Step::Answer { gateway, request } => {
                if self.gateways[*gateway].record_answer(digest(*request)) {
                    let cleared = vec![digest(*request)];
                    let update = CrashUpdate { cleared, ..CrashUpdate::default() };
                    self.broadcast(*gateway, &update, &[]);
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
                self.uninformed += 1;
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

    /// A crash that any gateway still has on record counts towards the threshold. Each crash at an
    /// uninformed gateway and each restart therefore costs at most one runner more.
    #[test]
    fn a_request_crashes_few_runners_beyond_the_threshold(
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut fleet = Fleet::new();
        steps.iter().for_each(|step| fleet.apply(step));
        let threshold = QuarantineConfig::default().crash_threshold as usize;
        let restarts = steps.iter().filter(|it| matches!(it, Step::Restart { .. })).count();
        prop_assert!(
            fleet.crashed <= threshold + fleet.uninformed + restarts,
            "{} crashed, {} uninformed", fleet.crashed, fleet.uninformed
        );
    }

    /// Once all gateways know that a request is in quarantine, none runs it.
    #[test]
    fn a_quarantined_request_runs_nowhere(gateways in prop::collection::vec(0..GATEWAYS, 2..30)) {
        let mut fleet = Fleet::new();
        for gateway in gateways {
            fleet.apply(&Step::Crash { gateway, beside: None, lost: Vec::new() });
        }
        prop_assert_eq!(fleet.crashed, QuarantineConfig::default().crash_threshold as usize);
    }

    /// Runners that end together are no evidence against the request that they ran, however many.
    #[test]
    fn runners_that_end_together_put_nothing_into_quarantine(times in 1_usize..20) {
        let mut fleet = Fleet::new();
        for _ in 0..times {
            fleet.apply(&Step::EndTogether { request: 1 });
            fleet.apply(&Step::Answer { gateway: 3, request: 1 });
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
fn suspects_and_quarantines_expire() {
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
    // Expired suspects are removed when another request crashes a runner.
    let later = over.plus(cfg.suspect_ttl);
    quarantine.record_crash(digest(2), 0, later);
    assert_eq!(quarantine.crash_count(digest(1)), 0);
}

#[test]
fn suspects_and_quarantined_requests_are_bounded() {
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
    assert_eq!(known, 8, "the latest suspects");
}

#[test]
fn a_quarantine_by_a_gateway_whose_clock_is_ahead_lasts_no_longer() {
    let cfg = QuarantineConfig::default();
    let mut quarantine = Quarantine::new(cfg);
    let ahead = Quarantined { digest: digest(1), since: Millis(9_000_000) };
    assert!(quarantine.insert(ahead, Millis(1_000)));
    assert_eq!(quarantine.remaining(digest(1), Millis(1_000)), Some(cfg.duration));
}
