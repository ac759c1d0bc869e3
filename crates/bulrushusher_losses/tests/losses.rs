//! The losses in two kept logs, and of lines that are no such thing.

use std::collections::BTreeMap;

use bulrushusher_losses::{Group, Losses, Reader, Request, Seen};

const FIRST: &[u8] = include_bytes!("logs/gateway-1.log");
const SECOND: &[u8] = include_bytes!("logs/gateway-2.log");

fn read() -> (Vec<Request>, Seen) {
    let mut reader = Reader::default();
    reader.read("gateway-1", FIRST);
    reader.read("gateway-2", SECOND);
    reader.finish()
}

fn causes(route: &str) -> BTreeMap<String, u64> {
    let losses = Losses::of(&read().0, Group::Cause);
    let of_route = losses.groups.into_iter().filter_map(|(name, sums)| {
        let cause = name.strip_prefix(route)?.strip_prefix(": ")?.to_owned();
        Some((cause, sums.attempts))
    });
    of_route.collect()
}

#[test]
fn each_stream_is_told_by_what_bound() {
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
fn each_call_is_told_by_what_bound() {
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
fn every_request_is_counted_once_in_each_group() {
    let (requests, _) = read();
    let total = Losses::total(&requests);
    assert_eq!((total.attempts, total.ends()), (19, 19));
    assert_eq!(total.returns, 1);
    for (word, group) in Group::ALL {
        let losses = Losses::of(&requests, group);
        let sum: u64 = losses.groups.values().map(|sums| sums.attempts).sum();
        assert_eq!(sum, 19, "{word}");
        assert!(losses.groups.values().all(|sums| sums.ends() == sums.attempts), "{word}");
    }
    let by_centre = Losses::of(&requests, Group::DataCentre);
    let names: Vec<&str> = by_centre.groups.keys().map(String::as_str).collect();
    assert_eq!(names, ["dc-1", "dc-2"]);
    let by_size = Losses::of(&requests, Group::Size);
    assert_eq!(by_size.groups["digest: largest tenth"].late, 1, "the prompt of 9,000 tokens");
}

#[test]
fn lines_that_say_nothing_are_counted_and_passed_over() {
    let (_, seen) = read();
    let expected = Seen { lines: 67, foreign: 2, cut: 1, left_out: 12, unknown_requests: 1 };
    assert_eq!(seen, expected);
}

#[test]
fn no_cut_of_a_log_and_no_bytes_are_fatal() {
    for at in (0..FIRST.len()).step_by(7) {
        let mut reader = Reader::default();
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
    let by_second = Losses::of(&read().0, Group::Second);
    bulrushusher_losses::draw(&file, &by_second).expect("it is written");
    let svg = std::fs::read_to_string(&file).expect("it is there");
    std::fs::remove_file(&file).ok();
    assert!(svg.contains("on time") && svg.contains("refused"));
}

/// What a gateway left open when its process was killed shows once it starts again.
#[test]
fn what_a_killed_gateway_left_open_is_its_own() {
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
        let mut reader = Reader::default();
        reader.read("g", log.as_bytes());
        Losses::of(&reader.finish().0, Group::Cause).groups.into_keys().collect::<Vec<String>>()
    };
    let open = ["digest: given up by its caller", "digest: no end in the log"];
    assert_eq!(causes(LOG), open);
    let again =
        format!("{LOG}[2026-04-26T01:23:30.000Z INFO ] gateway: start name=g data_centre=a\n");
    assert_eq!(causes(&again), ["digest: broken off by the gateway's stop"]);
}

#[test]
fn a_refusal_on_a_return_is_told_apart() {
    const LOG: &str = "\
[2026-04-26T01:23:28.000Z INFO ] front: accepted id=r1 route=digest kind=stream left_ms=9000 target_ms=900 elapsed_before_ms=4000
[2026-04-26T01:23:28.100Z INFO ] front: refused id=r1 reason=\"no decode memory is free\" patience_ms=9000
[2026-04-26T01:23:28.100Z INFO ] front: answered id=r1 kind=stream status=503 outcome=refused ms=100
";
    let mut reader = Reader::default();
    reader.read("g", LOG.as_bytes());
    let losses = Losses::of(&reader.finish().0, Group::Cause);
    let names: Vec<&String> = losses.groups.keys().collect();
    assert_eq!(names, ["digest: refused: no decode memory is free, when it came back"]);
}
