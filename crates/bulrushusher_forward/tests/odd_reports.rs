//! Reports of peers with numbers beyond all bounds.

use bulrushusher_forward::{
    CallPool, CallPoolConfig, CallPoolReport, GatewayDelta, GatewayReport, MAX_TOKENS, RunReport,
    RunShape, RunnerCalls,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

const NOW: Millis = Millis(10_000);

fn runner() -> RunnerId {
    "i-1".try_into().expect("a valid id")
}

fn calls(of_all: u64) -> CallPoolReport {
    let in_flight = u32::try_from(of_all).unwrap_or(u32::MAX);
    let (started, answered, service_ms) = (of_all, of_all, of_all);
    let calls = RunnerCalls { runner: runner(), in_flight, started, answered, service_ms };
    CallPoolReport { waiting: in_flight, runners: vec![calls], is_needed: true }
}

/// Guards against a report that overflows the sum over all peers: each call at this gateway ended in a
/// panic until the peer's report was replaced.
#[test]
fn calls_of_peers_are_added_up_without_an_overflow() {
    let mut pool = CallPool::new(CallPoolConfig::default());
    for (peer, incarnation) in [("g1", 1), ("g2", 1), ("g3", 1), ("g1", u64::MAX)] {
        for of_all in [1, u64::MAX, u64::MAX - 1] {
            pool.merge(peer, incarnation, calls(of_all), NOW);
            pool.begin_waiting();
            assert!(pool.load(&[], NOW).waiting > 0);
        }
    }
    let load = pool.load(&[], NOW);
    assert_eq!((load.waiting, load.peers), (3 * u64::from(u32::MAX) + 12, 3));
}

/// Guards against totals of a peer that leave no room for what its next update adds.
#[test]
fn an_update_of_the_highest_totals_is_applied() {
    let (mut sender, mut receiver) =
        (CallPool::new(CallPoolConfig::default()), CallPool::new(CallPoolConfig::default()));
    let base = sender.report();
    receiver.merge("g1", 1, base, NOW);
    receiver.merge("g2", 1, calls(u64::MAX), NOW);
    let update = sender.update().expect("a report was sent");
    receiver.merge_update("g1", &update, NOW);
    assert_eq!(receiver.load(&[], NOW).peers, 2);
}

/// Guards against counts of tokens that overflow where those of some peers are added up.
#[test]
fn counts_of_tokens_of_a_peer_are_limited() {
    let shape = RunShape { prompt: 1e300, generated: 1e300, expected: 1e300, max_output: 1e300 };
    let run = RunReport { number: u64::MAX, ..RunReport::new(runner(), shape) };
    let mut report = GatewayReport {
        incarnation: u64::MAX,
        sequence: u64::MAX,
        runs: vec![run],
        prefill_tokens: vec![(runner(), u64::MAX)],
        ..GatewayReport::default()
    };
    assert_eq!(report.runs[0].prompt, u64::MAX, "as a peer could send it");
    report.limit_counts();
    let RunReport { prompt, generated, generated_at_join, expected, max_output, .. } =
        report.runs[0];
    let counts = [prompt, generated, generated_at_join, expected, max_output];
    assert_eq!(counts, [MAX_TOKENS; 5]);
    assert_eq!(report.prefill_tokens[0].1, MAX_TOKENS);
    assert_eq!(GatewayDelta::between(&report, &report).skipped, 0);
}
