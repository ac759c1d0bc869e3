//! What runners asked for binds, whatever comes in which order.

use bulrushusher_forward::{
    BackPressure, BackPressureConfig, LimitReport, Pressure, RateLimit, Runner, RunnerSignals,
    StartTime,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;

fn runner(born: u64) -> Runner {
    Runner {
        id: "i-1".try_into().unwrap(),
        born: Some(StartTime(born)),
        service: "board-app".try_into().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc-1".try_into().unwrap(),
        slots: 6,
        stage: None,
        leaving: false,
    }
}

fn pressure() -> BackPressure {
    BackPressure::new(BackPressureConfig::default(), "gateway-1".into())
}

fn limit(text: &str) -> Option<RateLimit> {
    Some(RateLimit::try_from(text).unwrap())
}

fn names(text: &str) -> RunnerSignals {
    RunnerSignals { rate_limit: limit(text), ..RunnerSignals::default() }
}

fn retry_after(length: u64) -> RunnerSignals {
    RunnerSignals { retry_after: Some(Millis(length)), ..RunnerSignals::default() }
}

/// Something that happens at a gateway.
#[derive(Clone, Debug)]
enum Step {
    Pass(u64),
    Refused { retry_after: u64 },
    Answered { limit: Option<u8> },
    Send,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..900_u64).prop_map(Step::Pass),
        (0..4_000_u64).prop_map(|retry_after| Step::Refused { retry_after }),
        prop::option::of(0..9_u8).prop_map(|limit| Step::Answered { limit }),
        Just(Step::Send),
    ]
}

proptest! {
    /// No request goes out in a backoff, and answers that were on their way do not end it.
    #[test]
    fn nothing_is_sent_in_a_backoff(steps in prop::collection::vec(step(), 1..120)) {
        let (mut pressure, runner) = (pressure(), runner(1));
        let (mut now, mut until) = (Millis(1_000), Millis(0));
        for step in steps {
            match step {
                Step::Pass(length) => now = now.plus(Millis(length)),
                Step::Refused { retry_after: length } => {
                    pressure.hear(&runner, retry_after(length), now);
                    until = until.max(now.plus(Millis(length)));
                }
                Step::Answered { limit } => {
                    let signals = limit.map_or(RunnerSignals::default(), |it| names(&it.to_string()));
                    pressure.hear(&runner, signals, now);
                }
                Step::Send => {
                    let sent = pressure.take(&runner, 1, now);
                    prop_assert!(sent.is_err() || now >= until, "sent at {now}, backs off until {until}");
                }
            }
        }
    }

    /// A gateway alone never goes beyond one and a half times a limit, and five requests, in four seconds.
    #[test]
    fn a_gateway_alone_keeps_to_a_limit(
        per_second in 0.0..40.0_f64,
        gaps in prop::collection::vec(0..200_u64, 1..400),
    ) {
        let (mut pressure, runner) = (pressure(), runner(1));
        let signals = names(&per_second.to_string());
        let mut now = Millis(1_000);
        pressure.hear(&runner, signals, now);
        let mut sent: Vec<Millis> = Vec::new();
        for gap in gaps {
            now = now.plus(Millis(gap));
            if pressure.is_open(&runner, 0.0, now) && pressure.take(&runner, 1, now).is_ok() {
                sent.push(now);
                pressure.hear(&runner, signals, now);
            }
        }
        for (nth, first) in sent.iter().enumerate() {
            let within = sent[nth..].iter().filter(|at| at.since(*first) < Millis(4_000)).count();
            prop_assert!(within as f64 <= 6.0 * per_second + 5.0, "{within} at {per_second}");
        }
    }
}

#[test]
fn a_later_start_owes_nothing_of_the_word_of_an_earlier_one() {
    let mut pressure = pressure();
    pressure.hear(&runner(1), retry_after(3_000), Millis(0));
    assert_eq!(pressure.take(&runner(1), 1, Millis(10)), Err(Pressure::RetryAfter));
    assert!(pressure.take(&runner(2), 1, Millis(10)).is_ok());
    pressure.hear(&runner(2), RunnerSignals::default(), Millis(20));
    pressure.hear(&runner(1), retry_after(3_000), Millis(30));
    assert!(pressure.take(&runner(2), 1, Millis(40)).is_ok(), "a late answer of the start before");
}

#[test]
fn a_backoff_has_a_longest_length() {
    let cfg = BackPressureConfig::default();
    let mut pressure = pressure();
    pressure.hear(&runner(1), retry_after(u64::MAX), Millis(0));
    assert!(pressure.take(&runner(1), 1, cfg.longest_backoff.since(Millis(1))).is_err());
    assert!(pressure.take(&runner(1), 1, cfg.longest_backoff).is_ok());
}

/// Answers overtake each other: one without a limit does not end it while others just named it.
#[test]
fn a_limit_ends_a_moment_after_it_was_named_last() {
    let mut pressure = pressure();
    pressure.hear(&runner(1), names("0"), Millis(0));
    pressure.hear(&runner(1), RunnerSignals::default(), Millis(10));
    assert_eq!(pressure.take(&runner(1), 1, Millis(20)), Err(Pressure::RateLimit));
    pressure.hear(&runner(1), RunnerSignals::default(), Millis(1_200));
    assert!(pressure.take(&runner(1), 1, Millis(1_210)).is_ok());
}

/// What a peer tells counts by its age: an older word does not bring a limit back.
#[test]
fn the_latest_word_of_a_limit_counts() {
    let word = |limit, age| LimitReport {
        runner: "i-1".try_into().unwrap(),
        born: Some(StartTime(1)),
        limit,
        age: Millis(age),
    };
    let mut pressure = pressure();
    let open = |pressure: &BackPressure, at| pressure.is_open(&runner(1), 0.99, Millis(at));
    pressure.hear_reports(&[word(limit("0"), 100)], Millis(10_000));
    assert!(!open(&pressure, 10_010));
    pressure.hear_reports(&[word(None, 0)], Millis(12_000));
    assert!(open(&pressure, 12_010));
    pressure.hear_reports(&[word(limit("0"), 1_500)], Millis(12_020));
    assert!(open(&pressure, 12_030), "it was named before it ended");
    pressure.hear_reports(&[word(limit("0"), 0)], Millis(12_040));
    assert!(!open(&pressure, 12_050));
}
