//! Learned speeds of model runners: merging, restarts, hysteresis, and what slow phases change.

use bulrushusher_forward::{
    LongGaps, PaceMeter, RunnerSpeeds, RunnerSpeedsConfig, SpeedReport, StartTime, StartTimes,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn id(n: usize) -> RunnerId {
    format!("m-{n}").as_str().try_into().expect("valid name")
}

/// A pool of `runners` that were each measured `times`.
fn measured(runners: usize, times: usize, pace: impl Fn(usize) -> f64) -> RunnerSpeeds {
    let mut speeds = RunnerSpeeds::new(RunnerSpeedsConfig::default());
    for n in 0..runners {
        (0..times).for_each(|_| speeds.record_pace(&id(n), pace(n)));
    }
    speeds
}

fn quarter_is_fast(n: usize) -> f64 {
    if n.is_multiple_of(4) { 2.9 } else { 1.3 }
}

/// A report with a pace in tokens per ms.
fn report(n: usize, pace: f64, paces: u8) -> SpeedReport {
    let pace = (pace * 100_000.0) as u32;
    SpeedReport { runner: id(n), born: None, pace, paces, prefill: 0, prefills: 0 }
}

#[test]
fn a_pool_with_a_fast_quarter_is_uneven_once_eight_runners_are_measured() {
    for (runners, times, is_uneven) in [(29, 3, true), (8, 3, true), (7, 3, false), (29, 2, false)]
    {
        let mut speeds = measured(runners, times, quarter_is_fast);
        assert_eq!(speeds.evaluate(Millis(0)).is_some(), is_uneven, "{runners} {times}");
    }
}

#[test]
fn factors_apply_to_uneven_pools_only() {
    let mut speeds = measured(29, 5, |n| 1.3 + 0.01 * n as f64);
    (0..5).for_each(|_| speeds.record_prefill(&id(3), 2.0));
    assert_eq!(speeds.evaluate(Millis(0)), None);
    assert_eq!((speeds.pace(&id(3)), speeds.prefill_factor(&id(3))), (None, 1.0));
    assert_eq!(speeds.paces().count(), 0);
    let mut speeds = measured(29, 5, quarter_is_fast);
    (0..5).for_each(|_| speeds.record_prefill(&id(3), 2.0));
    speeds.evaluate(Millis(0)).expect("the pool is uneven");
    assert!((speeds.pace(&id(3)).expect("measured") - 1.3).abs() < 0.01);
    assert_eq!((speeds.prefill_factor(&id(3)), speeds.prefill_factor(&id(4))), (2.0, 1.0));
}

#[test]
fn an_uneven_pool_stays_uneven_until_the_ratio_is_clearly_lower() {
    let mut speeds = measured(12, 3, quarter_is_fast);
    assert!(speeds.evaluate(Millis(0)).is_some_and(|change| change.is_uneven));
    let mut approach = |fast: f64, at: u64| {
        for n in (0..12).step_by(4) {
            (0..60).for_each(|_| speeds.record_pace(&id(n), fast));
        }
        speeds.evaluate(Millis(at))
    };
    assert_eq!(approach(1.3 * 1.4, 1_000), None, "a ratio of 1.4 changes nothing");
    let change = approach(1.3 * 1.2, 2_000).expect("a ratio of 1.2 is even");
    assert!(!change.is_uneven && change.measured == 12);
    assert_eq!(approach(1.3 * 1.4, 3_000), None, "a ratio of 1.4 changes nothing");
}

#[test]
fn the_reports_of_peers_reveal_an_uneven_pool_to_a_gateway_without_measurements() {
    let mut speeds = RunnerSpeeds::new(RunnerSpeedsConfig::default());
    for n in 0..12 {
        let pace = quarter_is_fast(n);
        speeds.merge(&format!("g{n}"), &[report(n, pace, 3)], &StartTimes::default(), Millis(0));
    }
    assert!(speeds.evaluate(Millis(0)).is_some_and(|change| change.is_uneven));
}

/// Guards against a peer with few measurements, or many that are old, outweighing others.
#[test]
fn values_are_weighted_by_their_number_of_measurements() {
    let mut speeds = measured(12, 3, quarter_is_fast);
    speeds.merge("g1", &[report(1, 2.0, 9)], &StartTimes::default(), Millis(0));
    speeds.evaluate(Millis(0));
    let merged = speeds.pace(&id(1)).expect("measured");
    assert!((merged - (3.0 * 1.3 + 9.0 * 2.0) / 12.0).abs() < 0.01, "{merged}");
    speeds.record_pace(&id(2), 1.3);
    speeds.evaluate(Millis(30_000));
    let own = speeds.pace(&id(1)).expect("measured");
    assert!((own - 1.3).abs() < 0.01, "the value of a silent peer expires: {own}");
}

#[test]
fn a_restarted_runner_loses_its_factors_and_values_of_its_earlier_start() {
    let mut speeds = measured(12, 3, quarter_is_fast);
    let mut starts = StartTimes::default();
    starts.record_entry(&id(0), Some(StartTime(1_000)), 3);
    speeds.merge("g1", &[report(1, 1.3, 9)], &starts, Millis(0));
    speeds.evaluate(Millis(0));
    assert!(speeds.pace(&id(0)).is_some());
    speeds.forget(&id(0));
    assert_eq!(speeds.pace(&id(0)), None);
    // The clock of its machine was set back meanwhile.
    starts.record_entry(&id(0), Some(StartTime(500)), 5);
    let earlier = SpeedReport { born: Some(StartTime(1_000)), ..report(0, 2.9, 9) };
    speeds.merge("g1", &[earlier], &starts, Millis(1_000));
    speeds.evaluate(Millis(1_000));
    assert_eq!(speeds.pace(&id(0)), None);
}

#[test]
fn a_wrong_value_is_bounded() {
    let mut speeds = measured(29, 3, quarter_is_fast);
    speeds.merge("g1", &[report(1, 1_000.0, 200)], &StartTimes::default(), Millis(0));
    (0..3).for_each(|_| speeds.record_prefill(&id(1), 1_000.0));
    speeds.evaluate(Millis(0));
    let (wrong, others) = (speeds.pace(&id(1)), speeds.pace(&id(2)));
    assert!(wrong.is_some_and(|pace| (pace - 4.0 * 1.3).abs() < 0.01), "{wrong:?}");
    assert!(others.is_some_and(|pace| (pace - 1.3).abs() < 0.01), "{others:?}");
    assert_eq!(speeds.prefill_factor(&id(1)), 4.0);
}

#[test]
fn reports_name_changed_runners_in_turn() {
    let mut speeds = measured(20, 3, quarter_is_fast);
    (0..2).for_each(|_| speeds.record_pace(&id(99), 1.3));
    let starts = StartTimes::default();
    let take = |speeds: &mut RunnerSpeeds, at| speeds.take_reports(&starts, Millis(at));
    let counts: Vec<usize> = (1..7).map(|at| take(&mut speeds, at).len()).collect();
    assert_eq!(counts, [4, 4, 4, 4, 4, 0], "each once, and none with two measurements");
    speeds.record_pace(&id(7), 1.3);
    let again = take(&mut speeds, 7);
    assert_eq!(again.len(), 1);
    assert_eq!((&again[0].runner, again[0].pace, again[0].paces), (&id(7), 130_000, 4));
}

/// The paces that a meter measures over three seconds in which the runner is 2.5 times slower from
/// the start for `slow_ms`.
fn paces_with_slow_phase(slow_ms: u64, gap_ms: u64) -> Vec<f64> {
    let (mut meter, mut now, mut generated) = (PaceMeter::new(Millis(300)), 0, 0);
    let mut paces = Vec::new();
    while now < 3_000 {
        paces.extend(meter.record(generated, Millis(now)));
        now += if now < slow_ms { gap_ms * 5 / 2 } else { gap_ms };
        generated += 86;
    }
    paces
}

/// Guards against an even pool that counts as uneven because a few of its runners were first
/// measured during a slow phase.
#[test]
fn slow_phases_do_not_make_an_even_pool_uneven() {
    let mut speeds = RunnerSpeeds::new(RunnerSpeedsConfig::default());
    for n in 0..29 {
        let paces = paces_with_slow_phase(if n < 10 { 600 } else { 0 }, 66);
        paces[..3].iter().for_each(|pace| speeds.record_pace(&id(n), *pace));
    }
    assert_eq!(speeds.evaluate(Millis(0)), None);
}

#[test]
fn a_generation_of_two_seconds_is_measured_three_times() {
    assert!(paces_with_slow_phase(0, 66).iter().all(|pace| (pace - 1.3).abs() < 0.01));
    let (mut meter, events) = (PaceMeter::new(Millis(300)), 0..30);
    let measured = events.filter_map(|event| meter.record(event * 86, Millis(event * 66)));
    assert_eq!(measured.count(), 3);
}

/// Guards against preempted runs and slow callers lowering the pace of a runner.
#[test]
fn a_pause_discards_the_measurement() {
    let mut meter = PaceMeter::new(Millis(300));
    assert_eq!(meter.record(0, Millis(0)), None);
    assert_eq!(meter.record(250, Millis(250)), None);
    assert_eq!(meter.record(300, Millis(750)), None, "a pause of 500 ms");
    assert_eq!(meter.record(550, Millis(1_000)), None);
    assert_eq!(meter.record(800, Millis(1_250)), Some(1.0));
    meter.restart();
    assert_eq!(meter.record(850, Millis(1_500)), None);
    assert_eq!(meter.record(1_100, Millis(1_750)), None);
    assert_eq!(meter.record(1_350, Millis(2_000)), Some(1.0));
}

/// The gaps of a stream whose runner has a slow phase, after which it is as fast as before.
fn slow_phase(gap_ms: u64) -> impl Iterator<Item = Millis> {
    let gaps = std::iter::repeat_n(gap_ms * 5 / 2, 600 / (gap_ms * 5 / 2) as usize + 1);
    gaps.chain(std::iter::repeat_n(gap_ms, 10)).map(Millis)
}

fn counts_as_slow(gaps: impl IntoIterator<Item = Millis>, is_uneven: bool) -> bool {
    let mut long_gaps = LongGaps::default();
    gaps.into_iter().any(|gap| long_gaps.record(gap, Millis(300), || is_uneven))
}

/// Guards against slow phases that exclude runners for seconds though their streams are on time.
#[test]
fn in_an_uneven_pool_a_slow_phase_within_the_gap_target_excludes_no_runner() {
    assert!(!counts_as_slow(slow_phase(66), true));
    assert!(counts_as_slow(slow_phase(66), false), "as before in an even pool");
    assert!(counts_as_slow([Millis(301); 4], true), "beyond the target");
    assert!(!counts_as_slow([Millis(301), Millis(301), Millis(301), Millis(300)], true));
}

/// Runs of 31 gateways at 29 runners from a cold start; returns the time until all gateways know
/// that the pool is uneven. The gateways report once a second.
fn time_until_known(seed: u64, pace: impl Fn(usize) -> f64) -> Option<Millis> {
    const GATEWAYS: usize = 31;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut pools: Vec<RunnerSpeeds> = (0..GATEWAYS).map(|_| measured(0, 0, |_| 0.0)).collect();
    // Each run with its gateway, runner, start and end.
    let runs: Vec<(usize, usize, u64, u64)> = (0..500)
        .map(|n| {
            let (start, length) = (n * 23, rng.random_range(2_000..5_000));
            (rng.random_range(0..GATEWAYS), rng.random_range(0..29), start, start + length)
        })
        .collect();
    (1..=20)
        .map(|n| n * 500)
        .find(|now| {
            // A slow phase of 600 ms begins at each runner at another time.
            let slow = |runner: usize| (now + 137 * runner as u64) % 4_000 < 600;
            for (gateway, runner, _, _) in
                runs.iter().filter(|(_, _, start, end)| start + 500 <= *now && now < end)
            {
                let factor = if slow(*runner) { 0.4 } else { 1.0 };
                pools[*gateway].record_pace(&id(*runner), pace(*runner) * factor);
            }
            for from in (0..GATEWAYS).filter(|from| from % 2 == (now / 500 % 2) as usize) {
                let reports = pools[from].take_reports(&StartTimes::default(), Millis(*now));
                for to in (0..GATEWAYS).filter(|to| *to != from) {
                    let peer = format!("g{from}");
                    pools[to].merge(&peer, &reports, &StartTimes::default(), Millis(*now));
                }
            }
            pools.iter_mut().for_each(|pool| {
                pool.evaluate(Millis(*now));
            });
            pools.iter().all(RunnerSpeeds::is_uneven)
        })
        .map(Millis)
}

/// Guards against a gateway that learns too late: each ends only 1.4 generations a second.
#[test]
fn all_gateways_know_of_an_uneven_pool_within_five_seconds() {
    for seed in 0..10 {
        let known = time_until_known(seed, quarter_is_fast);
        assert!(known.is_some_and(|at| at <= Millis(5_000)), "seed {seed}: {known:?}");
        assert_eq!(time_until_known(seed, |_| 1.3), None, "seed {seed}: an even pool");
    }
}
