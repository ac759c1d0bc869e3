//! Back-pressure is binding, in whatever order signals and requests arrive.

use bulrushusher_forward::{
    BackPressure, BackPressureConfig, BackPressureError, LimitReport, RateLimit, Runner,
    RunnerSignals, StartTime, StartTimes,
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
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

fn pressure() -> BackPressure {
    BackPressure::new(BackPressureConfig::default(), "gateway-1".into())
}

fn limit(text: &str) -> Option<RateLimit> {
    Some(RateLimit::try_from(text).unwrap())
}

fn with_limit(text: &str) -> RunnerSignals {
    RunnerSignals { rate_limit: limit(text), ..RunnerSignals::default() }
}

fn retry_after(length: u64) -> RunnerSignals {
    RunnerSignals { retry_after: Some(Millis(length)), ..RunnerSignals::default() }
}

/// An event at a gateway.
#[derive(Clone, Debug)]
enum Step {
    Wait(u64),
    Refused { retry_after: u64 },
    Answered { limit: Option<u8> },
    Send,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..900_u64).prop_map(Step::Wait),
        (0..4_000_u64).prop_map(|retry_after| Step::Refused { retry_after }),
        prop::option::of(0..9_u8).prop_map(|limit| Step::Answered { limit }),
        Just(Step::Send),
    ]
}

proptest! {
    /// No request is sent during a backoff, and answers that were already in flight do not end it.
    #[test]
    fn nothing_is_sent_during_a_backoff(steps in prop::collection::vec(step(), 1..120)) {
        let (mut pressure, runner) = (pressure(), runner(1));
        let (mut now, mut until) = (Millis(1_000), Millis(0));
        for step in steps {
            match step {
                Step::Wait(length) => now = now.plus(Millis(length)),
                Step::Refused { retry_after: length } => {
                    pressure.record_signals(&runner, retry_after(length), now);
                    until = until.max(now.plus(Millis(length)));
                }
                Step::Answered { limit } => {
                    let signals = limit.map(|it| with_limit(&it.to_string())).unwrap_or_default();
                    pressure.record_signals(&runner, signals, now);
                }
                Step::Send => {
                    let sent = pressure.acquire(&runner, 1, now);
                    prop_assert!(sent.is_err() || now >= until, "sent at {now} before {until}");
                }
            }
        }
    }

    /// A single gateway sends at most one and a half times the limit plus five requests in four
    /// seconds.
    #[test]
    fn a_single_gateway_respects_a_limit(
        per_second in 0.0..40.0_f64,
        gaps in prop::collection::vec(0..200_u64, 1..400),
    ) {
        let (mut pressure, runner) = (pressure(), runner(1));
        let signals = with_limit(&per_second.to_string());
        let mut now = Millis(1_000);
        pressure.record_signals(&runner, signals, now);
        let mut sent: Vec<Millis> = Vec::new();
        for gap in gaps {
            now = now.plus(Millis(gap));
            if pressure.is_open(&runner, 0.0, now) && pressure.acquire(&runner, 1, now).is_ok() {
                sent.push(now);
                pressure.record_signals(&runner, signals, now);
            }
        }
        for (nth, first) in sent.iter().enumerate() {
            let within = sent[nth..].iter().filter(|at| at.since(*first) < Millis(4_000)).count();
            prop_assert!(within as f64 <= 6.0 * per_second + 5.0, "{within} at {per_second}");
        }
    }
}

#[test]
fn signals_of_an_earlier_process_start_do_not_apply_to_a_later_one() {
    let mut pressure = pressure();
    pressure.record_signals(&runner(1), retry_after(3_000), Millis(0));
    assert_eq!(pressure.acquire(&runner(1), 1, Millis(10)), Err(BackPressureError::RetryAfter));
    assert!(pressure.acquire(&runner(2), 1, Millis(10)).is_ok());
    pressure.record_signals(&runner(2), RunnerSignals::default(), Millis(20));
    pressure.record_signals(&runner(1), retry_after(3_000), Millis(30));
    assert!(
        pressure.acquire(&runner(2), 1, Millis(40)).is_ok(),
        "the backoff is of an earlier process start"
    );
}

#[test]
fn a_backoff_has_a_maximum_length() {
    let cfg = BackPressureConfig::default();
    let mut pressure = pressure();
    pressure.record_signals(&runner(1), retry_after(u64::MAX), Millis(0));
    assert!(pressure.acquire(&runner(1), 1, cfg.max_backoff.since(Millis(1))).is_err());
    assert!(pressure.acquire(&runner(1), 1, cfg.max_backoff).is_ok());
}

/// Answers may arrive out of order: one without a limit does not end a limit that was just
/// signalled.
#[test]
fn a_limit_lingers_after_its_last_signal() {
    let mut pressure = pressure();
    pressure.record_signals(&runner(1), with_limit("0"), Millis(0));
    pressure.record_signals(&runner(1), RunnerSignals::default(), Millis(10));
    assert_eq!(pressure.acquire(&runner(1), 1, Millis(20)), Err(BackPressureError::RateLimit));
    pressure.record_signals(&runner(1), RunnerSignals::default(), Millis(1_200));
    assert!(pressure.acquire(&runner(1), 1, Millis(1_210)).is_ok());
}

/// Reports of peers are ordered by age: an older one does not restore a limit that has ended.
#[test]
fn the_latest_report_of_a_limit_applies() {
    let report = |limit, age| LimitReport {
        runner: "i-1".try_into().unwrap(),
        born: Some(StartTime(1)),
        limit,
        age: Millis(age),
    };
    let mut pressure = pressure();
    let starts = StartTimes::default();
    let open = |pressure: &BackPressure, at| pressure.is_open(&runner(1), 0.99, Millis(at));
    pressure.merge_reports(&[report(limit("0"), 100)], &starts, Millis(10_000));
    assert!(!open(&pressure, 10_010));
    pressure.merge_reports(&[report(None, 0)], &starts, Millis(12_000));
    assert!(open(&pressure, 12_010));
    pressure.merge_reports(&[report(limit("0"), 1_500)], &starts, Millis(12_020));
    assert!(open(&pressure, 12_030), "signalled before the limit ended");
    pressure.merge_reports(&[report(limit("0"), 0)], &starts, Millis(12_040));
    assert!(!open(&pressure, 12_050));
}

/// Guards against a limit of an earlier start that closes the latest one, whatever their clocks showed,
/// and against one that replaces what the latest start has signalled.
#[test]
fn a_limit_of_an_earlier_start_does_not_bind_the_latest() {
    let mut starts = StartTimes::default();
    starts.record_entry(&runner(1).id, Some(StartTime(5)), 7);
    starts.record_entry(&runner(1).id, Some(StartTime(1)), 8);
    let report = |born, limit| LimitReport {
        runner: runner(1).id,
        born: Some(StartTime(born)),
        limit,
        age: Millis(0),
    };
    let mut pressure = pressure();
    pressure.merge_reports(&[report(5, limit("0"))], &starts, Millis(10_000));
    assert!(pressure.is_open(&runner(1), 0.99, Millis(10_010)));
    pressure.merge_reports(&[report(1, limit("0"))], &starts, Millis(10_020));
    assert!(!pressure.is_open(&runner(1), 0.99, Millis(10_030)));
    for born in [5, 9] {
        pressure.merge_reports(&[report(born, None)], &starts, Millis(10_040));
        assert!(!pressure.is_open(&runner(1), 0.99, Millis(10_050)), "a limit of start {born}");
    }
}
