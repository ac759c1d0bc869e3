//! Gateways that exchange crash updates over links that lose and duplicate datagrams.
//!
//! The oracle knows which request crashes its runners; the gateways see only that a runner ended,
//! and which requests it had just started.

use bulrushusher_routing::{
    CrashKey, CrashUpdate, CrashVerdict, KeySet, Quarantine, QuarantineConfig, Quarantined,
    RequestDigest, RequestKeys, SentRequest,
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

fn keys(request: usize) -> RequestKeys {
    RequestKeys::from(digest(request))
}

fn is_quarantined(quarantine: &Quarantine, request: usize, now: Millis) -> bool {
    quarantine.find(&keys(request), now).is_some()
}

/// The verdict that the request is suspected, with its number of crashes.
fn suspected_with(verdict: &CrashVerdict, crashes: u32) -> bool {
    let CrashVerdict::Suspected { suspects } = verdict else { return false };
    suspects.len() == 1 && suspects[0].crashes == crashes
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

    fn send(&self, gateway: usize, request: usize) -> SentRequest {
        self.gateways[gateway].record_send(&keys(request), self.now)
    }

    /// A runner ends while it runs a request; peers are informed unless their datagram is lost.
    fn crash(&mut self, gateway: usize, sent: &SentRequest, lost: &[bool]) {
        let verdict = self.gateways[gateway].record_crash(sent, self.now);
        let mut update = CrashUpdate::default();
        match verdict {
            CrashVerdict::Known => {}
            CrashVerdict::Suspected { suspects } => update.suspects = suspects,
            CrashVerdict::Quarantined { entries, .. } => {
                self.store.extend(entries.clone());
                update.quarantined = entries;
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
            restarted.insert(entry, self.now);
        }
        self.gateways[gateway] = restarted;
    }

    fn apply(&mut self, step: &Step) {
        self.now = self.now.plus(STEP);
        match step {
            Step::Crash { gateway, beside, lost } => {
                if is_quarantined(&self.gateways[*gateway], 0, self.now) {
                    return;
                }
                self.crashed += 1;
                let before = self.gateways[*gateway].crash_count(digest(0));
                let knows_more = |it: &Quarantine| {
                    is_quarantined(it, 0, self.now) || it.crash_count(digest(0)) > before
                };
                self.uninformed += usize::from(self.gateways.iter().any(knows_more));
                let sent = self.send(*gateway, 0);
                self.crash(*gateway, &sent, lost);
                if let Some((other, request)) = beside {
                    let sent = self.send(*other, *request);
                    self.crash(*other, &sent, lost);
                }
            }
            Step::Answer { gateway, request } => {
                let keys = keys(*request);
                let cleared = self.gateways[*gateway].record_sound_run(&keys, self.now);
                if !cleared.is_empty() {
                    let update = CrashUpdate { cleared, ..CrashUpdate::default() };
                    self.broadcast(*gateway, &update, &[]);
                }
            }
            Step::EndTogether { request } => {
                let sent: Vec<SentRequest> =
                    (0..GATEWAYS).map(|gateway| self.send(gateway, *request)).collect();
                for (gateway, sent) in sent.iter().enumerate() {
                    self.crash(gateway, sent, &[]);
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
        prop_assert!(fleet.gateways.iter().all(|it| !is_quarantined(it, 1, now)));
    }
}

#[test]
fn an_answer_between_two_crashes_clears_a_request() {
    let mut quarantine = Quarantine::new(QuarantineConfig::default());
    for round in 0..20 {
        let now = Millis(round * 1_000);
        let sent = quarantine.record_send(&keys(1), now);
        let verdict = quarantine.record_crash(&sent, now);
        assert!(suspected_with(&verdict, 1), "{verdict:?}");
        assert_eq!(quarantine.record_sound_run(&keys(1), now), [CrashKey::Request(digest(1))]);
    }
}

#[test]
fn suspects_and_quarantines_expire() {
    let cfg = QuarantineConfig::default();
    let mut quarantine = Quarantine::new(cfg);
    let crash = |quarantine: &mut Quarantine, now| {
        let sent = quarantine.record_send(&keys(1), now);
        quarantine.record_crash(&sent, now)
    };
    assert!(suspected_with(&crash(&mut quarantine, Millis(0)), 1));
    let verdict = crash(&mut quarantine, Millis(10));
    assert!(matches!(verdict, CrashVerdict::Quarantined { .. }), "{verdict:?}");
    let found = quarantine.find(&keys(1), Millis(20)).unwrap();
    assert_eq!(found.remaining, Millis(cfg.duration.0 - 10));
    let over = Millis(10).plus(cfg.duration);
    assert_eq!(quarantine.find(&keys(1), over), None);
    assert!(suspected_with(&crash(&mut quarantine, over), 1));
    // Expired suspects are removed when another request crashes a runner.
    let later = over.plus(cfg.suspect_ttl);
    let sent = quarantine.record_send(&keys(2), later);
    quarantine.record_crash(&sent, later);
    assert_eq!(quarantine.crash_count(digest(1)), 0);
}

#[test]
fn suspects_and_quarantined_requests_are_bounded() {
    let cfg = QuarantineConfig { max_entries: 8, ..QuarantineConfig::default() };
    let mut quarantine = Quarantine::new(cfg);
    for request in 0..100 {
        let now = Millis(request as u64);
        for request in [request, request, 100 + request] {
            let sent = quarantine.record_send(&keys(request), now);
            quarantine.record_crash(&sent, now);
        }
    }
    assert_eq!(quarantine.entries(Millis(100)).len(), 8);
    let known = (100..200).filter(|request| quarantine.crash_count(digest(*request)) > 0).count();
    assert_eq!(known, 8, "the latest suspects");
}

#[test]
fn a_quarantine_by_a_gateway_whose_clock_is_ahead_lasts_no_longer() {
    let cfg = QuarantineConfig::default();
    let mut quarantine = Quarantine::new(cfg);
    let of_request = KeySet::from(CrashKey::Request(digest(1)));
    let ahead = Quarantined { keys: of_request, since: Millis(9_000_000), crashes: 2 };
    assert!(quarantine.insert(&ahead, Millis(1_000)));
    let found = quarantine.find(&keys(1), Millis(1_000)).unwrap();
    assert_eq!(found.remaining, cfg.duration);
}
