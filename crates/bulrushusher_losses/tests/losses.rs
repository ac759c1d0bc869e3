//! Counts the outcomes in two sample logs, and in input that is truncated or no log at all.

use std::collections::BTreeMap;

use bulrushusher_losses::{GroupBy, LogReader, Losses, ReadStats, Request};

const FIRST: &[u8] = include_bytes!("logs/gateway-1.log");
const SECOND: &[u8] = include_bytes!("logs/gateway-2.log");

fn read_samples() -> (Vec<Request>, ReadStats) {
    let mut reader = LogReader::default();
    reader.read("gateway-1", FIRST);
    reader.read("gateway-2", SECOND);
    reader.finish()
}

fn causes(route: &str) -> BTreeMap<String, u64> {
    let losses = Losses::by_group(&read_samples().0, GroupBy::Cause);
    let of_route = losses.groups.into_iter().filter_map(|(name, sums)| {
        let cause = name.strip_prefix(route)?.strip_prefix(": ")?.to_owned();
        Some((cause, sums.attempts))
    });
    of_route.collect()
}

#[test]
fn streams_are_classified_by_cause() {
    let expected = [
        "on time",
        "late by reading",
        "late by waiting for memory",
        "late by a pause",
        "late by a refusal and the return",
        "refused: no runner can read the prompt in time",
        "broken off by its runner",
        "broken off by silence of its runner",
        "broken off by the deadline",
        "given up by its caller",
        "no end in the log",
    ];
    assert_eq!(causes("digest"), expected.map(|cause| (cause.to_owned(), 1)).into());
}

#[test]
fn calls_are_classified_by_cause() {
    let redeem = [
        ("on time", 1),
        ("late by the runner's answer", 1),
        ("broken off by its runner", 1),
        ("broken off by the deadline", 1),
        ("broken off by the gateway's stop", 1),
        ("given up by its caller", 1),
    ];
    assert_eq!(causes("redeem"), redeem.map(|(cause, n)| (cause.to_owned(), n)).into());
    let balance = [("late by a repeat", 1), ("failed at its runner", 1)];
    assert_eq!(causes("balance"), balance.map(|(cause, n)| (cause.to_owned(), n)).into());
}

#[test]
fn every_request_is_counted_once_per_grouping() {
    let (requests, _) = read_samples();
    let total = Losses::total(&requests);
    assert_eq!((total.attempts, total.total_ends()), (19, 19));
    assert_eq!(total.returns, 1);
    for (word, group) in GroupBy::ALL {
        let losses = Losses::by_group(&requests, group);
        let sum: u64 = losses.groups.values().map(|sums| sums.attempts).sum();
        assert_eq!(sum, 19, "{word}");
        assert!(losses.groups.values().all(|sums| sums.total_ends() == sums.attempts), "{word}");
    }
    let by_centre = Losses::by_group(&requests, GroupBy::DataCentre);
    let names: Vec<&str> = by_centre.groups.keys().map(String::as_str).collect();
    assert_eq!(names, ["dc-1", "dc-2"]);
    let by_size = Losses::by_group(&requests, GroupBy::Size);
    assert_eq!(by_size.groups["digest: largest tenth"].late, 1, "the prompt of 9,000 tokens");
}

#[test]
fn unusable_lines_are_counted_and_skipped() {
    let (_, stats) = read_samples();
    let expected =
        ReadStats { lines: 67, foreign: 2, truncated: 1, dropped: 12, unknown_requests: 1 };
    assert_eq!(stats, expected);
}

#[test]
fn split_logs_and_random_bytes_do_not_panic() {
    for at in (0..FIRST.len()).step_by(7) {
        let mut reader = LogReader::default();
        reader.read("gateway-1", &FIRST[..at]);
        reader.read("gateway-1", &FIRST[at..]);
        reader.read("rubbish", &FIRST[at..].iter().map(|b| b ^ 0x55).collect::<Vec<u8>>());
        let (requests, _) = reader.finish();
        assert!(requests.len() <= 11);
    }
}

#[test]
fn a_plot_is_drawn() {
    let file = std::env::temp_dir().join(format!("bulrush-losses-{}.svg", std::process::id()));
    let by_second = Losses::by_group(&read_samples().0, GroupBy::Second);
    bulrushusher_losses::draw_losses(&file, &by_second).expect("the plot is written");
    let svg = std::fs::read_to_string(&file).expect("the plot is readable");
    std::fs::remove_file(&file).ok();
    assert!(svg.contains("on time") && svg.contains("refused"));
}

/// Requests that were in flight when a gateway was killed are attributed to the gateway once the
/// log contains its restart.
#[test]
fn requests_in_flight_at_a_restart_are_broken_by_the_gateway() {
    const LOG: &str = "\
[2026-04-26T01:23:20.000Z INFO ] gateway: start name=g data_centre=a
[2026-04-26T01:23:28.000Z INFO ] front: accepted id=r1 route=digest kind=stream left_ms=9000 target_ms=900
[2026-04-26T01:23:28.200Z INFO ] front: answered id=r1 kind=stream status=200 outcome=answered ms=200
[2026-04-26T01:23:28.300Z INFO ] front: accepted id=r2 route=digest kind=stream left_ms=9000 target_ms=900
[2026-04-26T01:23:28.400Z INFO ] front: accepted id=r3 route=digest kind=stream left_ms=9000 target_ms=900
[2026-04-26T01:23:28.500Z INFO ] front: answered id=r3 kind=stream status=200 outcome=answered ms=100
[2026-04-26T01:23:29.000Z INFO ] stream: run ended id=r3 runner=d0 result=moved cause=\"\" last_event=3 longest_gap_ms=50 ms=500
";
    let causes = |log: &str| {
        let mut reader = LogReader::default();
        reader.read("g", log.as_bytes());
        Losses::by_group(&reader.finish().0, GroupBy::Cause)
            .groups
            .into_keys()
            .collect::<Vec<String>>()
    };
    let without_restart = ["digest: given up by its caller", "digest: no end in the log"];
    assert_eq!(causes(LOG), without_restart);
    let with_restart =
        format!("{LOG}[2026-04-26T01:23:30.000Z INFO ] gateway: start name=g data_centre=a\n");
    assert_eq!(causes(&with_restart), ["digest: broken off by the gateway's stop"]);
}

#[test]
fn a_refused_caller_retry_has_its_own_cause() {
    const LOG: &str = "\
[2026-04-26T01:23:28.000Z INFO ] front: accepted id=r1 route=digest kind=stream left_ms=9000 target_ms=900 elapsed_before_ms=4000
[2026-04-26T01:23:28.100Z INFO ] front: refused id=r1 reason=\"no decode memory is free\" patience_ms=9000
[2026-04-26T01:23:28.100Z INFO ] front: answered id=r1 kind=stream status=503 outcome=refused ms=100
";
    let mut reader = LogReader::default();
    reader.read("g", LOG.as_bytes());
    let losses = Losses::by_group(&reader.finish().0, GroupBy::Cause);
    let names: Vec<&String> = losses.groups.keys().collect();
    assert_eq!(names, ["digest: refused: no decode memory is free, when it came back"]);
}
