//! Runners that stay silent: one call tries them again, and peers speak for each other.

use bulrushusher_forward::{CallResult, GatewayReport, LoadConfig, PeersConfig, RunnerLoads, Runs};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

fn id() -> RunnerId {
    "p0".try_into().expect("a good name")
}

#[test]
fn after_its_pause_one_call_tries_a_silent_runner_and_others_pass_it_over() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    loads.record(&id(), CallResult::Unreachable, Millis(0));
    assert!(loads.is_paused(&id(), Millis(299)) && !loads.is_paused(&id(), Millis(300)));
    loads.record_probe(&id(), Millis(310));
    assert!(loads.is_paused(&id(), Millis(320)), "a call is trying it");
    assert_eq!(loads.unreachable(Millis(320)), [id()], "peers hear of it meanwhile");
    loads.record(&id(), CallResult::Answered(Millis(90)), Millis(400));
    assert!(!loads.is_paused(&id(), Millis(400)) && loads.unreachable(Millis(400)).is_empty());
    loads.record_probe(&id(), Millis(410));
    assert!(!loads.is_paused(&id(), Millis(410)), "a runner that answers needs no trial");
}

#[test]
fn memory_that_is_held_shows_that_a_runner_is_there_again() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    loads.record(&id(), CallResult::Unreachable, Millis(0));
    loads.record_probe(&id(), Millis(300));
    loads.record_reachable(&id(), Millis(304));
    assert!(!loads.is_paused(&id(), Millis(304)) && loads.unreachable(Millis(304)).is_empty());
}

#[test]
fn a_trial_that_is_given_up_keeps_nobody_from_the_runner_for_long() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    loads.record(&id(), CallResult::Unreachable, Millis(0));
    loads.record_probe(&id(), Millis(300));
    assert!(loads.is_paused(&id(), Millis(1_299)) && !loads.is_paused(&id(), Millis(1_300)));
}

fn told(silent: Vec<RunnerId>, number: u64) -> GatewayReport {
    GatewayReport { life: 1, number, silent, ..GatewayReport::default() }
}

#[test]
fn two_peers_that_cannot_reach_a_runner_speak_for_it_and_one_of_many_does_not() {
    let mut runs = Runs::new(PeersConfig::default());
    runs.hear("g1", told(vec![id()], 1), Millis(0));
    assert!(runs.is_silent_at_peers(&id(), Millis(0)), "there is no other to ask");
    runs.hear("g2", told(Vec::new(), 1), Millis(0));
    assert!(!runs.is_silent_at_peers(&id(), Millis(0)), "one may be cut off itself");
    runs.hear("g3", told(vec![id()], 1), Millis(0));
    assert!(runs.is_silent_at_peers(&id(), Millis(0)));
    assert!(!runs.is_silent_at_peers(&id(), Millis(4_000)), "old words count for nothing");
}
