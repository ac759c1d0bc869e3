//! Unreachable runners: a single trial call after the pause, and reports of peers about them.

use bulrushusher_forward::{CallResult, GatewayReport, LoadConfig, PeersConfig, RunnerLoads, Runs};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

fn id() -> RunnerId {
    "p0".try_into().expect("valid name")
}

#[test]
fn after_the_pause_a_single_call_probes_a_silent_runner() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    loads.record(&id(), CallResult::Unreachable, Millis(0));
    assert!(loads.is_paused(&id(), Millis(299)) && !loads.is_paused(&id(), Millis(300)));
    loads.record_probe(&id(), Millis(310));
    assert!(loads.is_paused(&id(), Millis(320)), "a trial call is in flight");
    assert_eq!(loads.unreachable(Millis(320)), [id()], "still reported to peers");
    loads.record(&id(), CallResult::Answered(Millis(90)), Millis(400));
    assert!(!loads.is_paused(&id(), Millis(400)) && loads.unreachable(Millis(400)).is_empty());
    loads.record_probe(&id(), Millis(410));
    assert!(!loads.is_paused(&id(), Millis(410)), "a reachable runner needs no trial");
}

#[test]
fn a_granted_memory_hold_ends_the_pause_of_a_runner() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    loads.record(&id(), CallResult::Unreachable, Millis(0));
    loads.record_probe(&id(), Millis(300));
    loads.record_reachable(&id(), Millis(304));
    assert!(!loads.is_paused(&id(), Millis(304)) && loads.unreachable(Millis(304)).is_empty());
}

#[test]
fn an_abandoned_trial_expires() {
    let mut loads = RunnerLoads::new(LoadConfig::default());
    loads.record(&id(), CallResult::Unreachable, Millis(0));
    loads.record_probe(&id(), Millis(300));
    assert!(loads.is_paused(&id(), Millis(1_299)) && !loads.is_paused(&id(), Millis(1_300)));
}

fn report(silent: Vec<RunnerId>, sequence: u64) -> GatewayReport {
    GatewayReport { incarnation: 1, sequence, silent, ..GatewayReport::default() }
}

#[test]
fn a_runner_is_silent_if_two_peers_or_the_only_peer_report_it() {
    let mut runs = Runs::new(PeersConfig::default());
    runs.apply_report("g1", report(vec![id()], 1), Millis(0));
    assert!(runs.is_silent_at_peers(&id(), Millis(0)), "the only peer decides");
    runs.apply_report("g2", report(Vec::new(), 1), Millis(0));
    assert!(!runs.is_silent_at_peers(&id(), Millis(0)), "a single peer may be partitioned itself");
    runs.apply_report("g3", report(vec![id()], 1), Millis(0));
    assert!(runs.is_silent_at_peers(&id(), Millis(0)));
    assert!(!runs.is_silent_at_peers(&id(), Millis(4_000)), "outdated reports are ignored");
}
