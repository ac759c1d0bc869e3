//! The quarantine of parts of prompts: which part of several is refused, and what clears it.

use bulrushusher_routing::{
    CrashKey, CrashUpdate, CrashVerdict, Quarantine, QuarantineConfig, RequestDigest, RequestKeys,
    Suspect,
};
use bulrushusher_time::Millis;

const FIRST: &str = "first";
const OTHER: &str = "other";
const GUILTY: &str = "guilty";

fn digest(text: &str) -> RequestDigest {
    RequestDigest::of([text.as_bytes()])
}

fn part(name: &str) -> CrashKey {
    CrashKey::Part(digest(name))
}

/// A request unlike all others.
fn prompt(n: u64, parts: &[&str]) -> RequestKeys {
    RequestKeys::new(digest(&format!("request {n}")), parts.iter().map(|name| digest(name)))
}

/// A gateway and the time, which advances with each event.
struct Gateway {
    quarantine: Quarantine,
    now: Millis,
}

impl Gateway {
    fn new() -> Gateway {
        let quarantine = Quarantine::new(QuarantineConfig::default());
        Gateway { quarantine, now: Millis(1_000) }
    }

    fn next(&mut self) -> u64 {
        self.now = self.now.plus(Millis(100));
        self.now.0
    }

    fn crash(&mut self, parts: &[&str]) -> CrashVerdict {
        let n = self.next();
        let sent = self.quarantine.record_send(&prompt(n, parts), self.now);
        self.quarantine.record_crash(&sent, self.now)
    }

    fn crash_with_contrast(&mut self, parts: &[&str], times: usize) {
        for _ in 0..times {
            self.contrast();
            self.crash(parts);
        }
    }

    fn survive(&mut self, parts: &[&str]) -> Vec<CrashKey> {
        let n = self.next();
        self.quarantine.record_sound_run(&prompt(n, parts), self.now)
    }

    /// A request with no part in common with others survives.
    fn contrast(&mut self) {
        self.survive(&["elsewhere"]);
    }

    fn refuses(&mut self, parts: &[&str]) -> bool {
        let n = self.next();
        self.quarantine.find(&prompt(n, parts), self.now).is_some()
    }
}

#[test]
fn the_part_that_sound_prompts_lack_is_refused_after_three_crashes() {
    let mut gateway = Gateway::new();
    gateway.survive(&[FIRST, OTHER]);
    for _ in 0..3 {
        assert!(!gateway.refuses(&[FIRST, GUILTY]));
        gateway.crash(&[FIRST, GUILTY]);
        gateway.contrast();
    }
    assert!(gateway.refuses(&[FIRST, GUILTY]) && gateway.refuses(&[GUILTY]));
    assert!(!gateway.refuses(&[FIRST]) && !gateway.refuses(&[FIRST, OTHER]));
}

/// Guards against the refusal of an innocent part: while two parts cannot be told apart, a prompt with
/// one of them may be sound.
#[test]
fn of_parts_that_always_come_together_only_both_are_refused() {
    let mut gateway = Gateway::new();
    gateway.crash_with_contrast(&[OTHER, GUILTY], 3);
    assert!(gateway.refuses(&[OTHER, GUILTY]));
    assert!(!gateway.refuses(&[OTHER]) && !gateway.refuses(&[GUILTY]));
    assert!(gateway.survive(&[OTHER]).contains(&part(OTHER)));
    assert!(gateway.refuses(&[GUILTY]), "it is the one that is left");
    assert!(!gateway.refuses(&[OTHER]));
}

#[test]
fn a_part_that_runners_survived_before_needs_more_crashes_in_a_row() {
    let mut gateway = Gateway::new();
    gateway.survive(&[FIRST]);
    gateway.crash_with_contrast(&[FIRST], 4);
    assert!(!gateway.refuses(&[FIRST]));
    gateway.survive(&[FIRST]);
    gateway.crash_with_contrast(&[FIRST], 4);
    assert!(!gateway.refuses(&[FIRST]), "the run between began the count anew");
    gateway.crash(&[FIRST]);
    assert!(gateway.refuses(&[FIRST]));
}

#[test]
fn two_guilty_parts_are_both_found() {
    let mut gateway = Gateway::new();
    gateway.survive(&[FIRST]);
    for _ in 0..3 {
        gateway.crash_with_contrast(&[FIRST, GUILTY], 1);
        gateway.crash_with_contrast(&[FIRST, OTHER], 1);
    }
    assert!(gateway.refuses(&[FIRST, GUILTY]) && gateway.refuses(&[FIRST, OTHER]));
    assert!(!gateway.refuses(&[FIRST]));
}

/// Several runs at one runner, at one gateway or at several, are one crash.
#[test]
fn young_runs_at_one_crashed_runner_count_once() {
    let mut gateway = Gateway::new();
    let sent: Vec<_> = (0..5)
        .map(|n| gateway.quarantine.record_send(&prompt(n, &[GUILTY]), gateway.now))
        .collect();
    for sent in &sent {
        gateway.quarantine.record_crash(sent, gateway.now);
    }
    assert_eq!(gateway.quarantine.crash_count(part(GUILTY)), 1);
}

/// A run that began before a part was cleared says nothing new against it.
#[test]
fn a_crash_of_a_run_from_before_a_sound_one_does_not_count() {
    let mut gateway = Gateway::new();
    gateway.crash(&[OTHER]);
    gateway.crash(&[OTHER]);
    let sent = gateway.quarantine.record_send(&prompt(1, &[OTHER]), gateway.now);
    gateway.survive(&[OTHER]);
    gateway.quarantine.record_crash(&sent, gateway.now);
    assert!(!gateway.refuses(&[OTHER]));
    assert_eq!(gateway.quarantine.crash_count(part(OTHER)), 0);
}

/// A caller who makes up a part for each request does not push out a suspicion.
#[test]
fn made_up_parts_push_out_no_suspicion() {
    let mut gateway = Gateway::new();
    gateway.crash(&[GUILTY]);
    gateway.crash(&[GUILTY]);
    for n in 0..2_000 {
        gateway.crash(&[&format!("made up {n}")]);
        gateway.survive(&[&format!("sound {n}")]);
    }
    gateway.crash(&[GUILTY]);
    assert!(gateway.refuses(&[GUILTY]));
}

/// A peer that has seen a part survive says so once, and the next crashes need more.
#[test]
fn peers_tell_that_runners_survived_a_suspect() {
    let (mut here, mut there) = (Gateway::new(), Gateway::new());
    there.survive(&[FIRST]);
    let CrashVerdict::Suspected { suspects } = here.crash(&[FIRST]) else { panic!("suspected") };
    let update = CrashUpdate { suspects, ..CrashUpdate::default() };
    let reply = there.quarantine.apply_update(&update, there.now);
    let survived = |it: &Suspect| it.key == part(FIRST) && it.crashes == 1 && it.was_sound;
    assert!(reply.suspects.iter().any(survived), "{reply:?}");
    here.quarantine.apply_update(&reply, here.now);
    here.crash_with_contrast(&[FIRST], 3);
    assert!(!here.refuses(&[FIRST]));
}

#[test]
fn what_the_operator_releases_may_run_again() {
    let mut gateway = Gateway::new();
    gateway.crash_with_contrast(&[GUILTY], 3);
    let entry = gateway.quarantine.entries(gateway.now).remove(0);
    assert_eq!(entry.crashes, 3);
    assert_eq!(gateway.quarantine.release(&entry.keys), std::slice::from_ref(&entry.keys));
    assert!(!gateway.refuses(&[GUILTY]));
    gateway.crash_with_contrast(&[GUILTY], 2);
    assert!(!gateway.refuses(&[GUILTY]), "the count began anew");
}

/// Guards against the refusal of sound prompts while all gateways have just started: all that begins at
/// a runner is cut off by the crash of another run there, before any run could have shown that its parts
/// are sound.
#[test]
fn while_nothing_survives_no_part_is_refused_in_haste() {
    let mut gateway = Gateway::new();
    (0..8).for_each(|_| drop(gateway.crash(&[FIRST, OTHER])));
    assert!(!gateway.refuses(&[FIRST, OTHER]));
    gateway.survive(&[FIRST, OTHER]);
    gateway.crash_with_contrast(&[FIRST, GUILTY], 3);
    assert!(gateway.refuses(&[FIRST, GUILTY]) && !gateway.refuses(&[FIRST, OTHER]));
}

/// Without other traffic a part is refused after some more crashes and seconds.
#[test]
fn a_part_that_all_requests_have_is_refused_in_the_end() {
    let mut gateway = Gateway::new();
    (0..22).for_each(|_| drop(gateway.crash(&[GUILTY])));
    assert!(gateway.refuses(&[GUILTY]));
}
