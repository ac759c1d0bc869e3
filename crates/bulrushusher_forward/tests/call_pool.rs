//! Plain calls of many gateways at few runners.

use bulrushusher_forward::{
    Admission, CallPool, CallPoolConfig, CallPoolReport, CallToPlace, DeltaOutcome, LoadConfig,
    PlaceView, Runner, RunnerCalls, RunnerLoads,
};
use bulrushusher_time::Millis;
use bulrushusher_world::DataCentreName;

use call_load::{Choice, GATEWAYS, Load, Outcome, SLOTS, TARGET, run, runner};

mod call_load;

const SHARED: fn() -> Choice = || Choice::Shared(CallPoolConfig::default());

/// Calls per second that the runners answer.
const CAPACITY: f64 = 490.0;

/// Outcomes of a load over some seeds.
fn total(load: &Load, choice: Choice) -> Outcome {
    let seeds = 1..=3;
    let outcomes = seeds.map(|seed| run(Load { seed, ..load.clone() }, choice));
    outcomes.fold(Outcome::default(), Outcome::plus)
}

/// Guards against an admission that costs callers more than it gains: one that refused calls early
/// kept returning callers ahead of new ones, and a fifth of all calls was on time instead of two
/// fifths.
#[test]
fn callers_are_served_better_than_by_own_calls_only() {
    let loads = [
        ("0.8", Load::constant(0.8 * CAPACITY)),
        ("1.0", Load::constant(CAPACITY)),
        ("1.2", Load::constant(1.2 * CAPACITY)),
        ("1.6", Load::constant(1.6 * CAPACITY)),
        ("long burst", Load::burst(560.0, 4_000)),
        ("short burst", Load::burst(800.0, 1_000)),
        ("a runner is gone", Load { gone_at: Some(5_000), ..Load::burst(455.0, 4_000) }),
        ("all are slow", Load { all_slow: Some((5_000, 6_000)), ..Load::constant(300.0) }),
    ];
    for (name, load) in loads {
        let (own, shared) = (total(&load, Choice::Own), total(&load, SHARED()));
        println!("{name}: own {own}\n{name}: shared {shared}");
        assert!(shared.on_time_share() > own.on_time_share(), "{name}");
        assert!(shared.unanswered_share() <= own.unanswered_share() + 0.002, "{name}");
        assert!(shared.refused_twice <= own.refused_twice, "{name}");
        assert!(shared.refused_once < own.refused_once, "{name}");
    }
}

/// Reports arrive 60 ms after they were written, and are up to 155 ms older when they are used.
#[test]
fn most_calls_that_are_not_refused_are_on_time_in_a_burst() {
    let shared = total(&Load::burst(560.0, 4_000), SHARED());
    assert!(shared.sent_on_time_share() >= 0.85, "{shared}");
}

#[test]
fn nothing_is_refused_under_a_calm_load() {
    let load = Load::constant(207.0);
    let (own, shared) = (total(&load, Choice::Own), total(&load, SHARED()));
    assert_eq!(shared.refused_once, 0, "{shared}");
    assert!(shared.on_time_share() > own.on_time_share() - 0.01, "{shared} instead of {own}");
}

/// A gateway that hears no peer must not hold back calls by its own estimate.
#[test]
fn no_call_waits_while_all_peers_are_silent() {
    let load = Load { silent: true, ..Load::burst(560.0, 4_000) };
    assert_eq!(total(&load, SHARED()).waited, 0);
}

/// All control traffic of a gateway must stay within 8 KB/s, also while the pool is full all the
/// time. Full reports several times a second took twice that.
#[test]
fn reports_of_a_full_pool_stay_within_the_budget_of_control_traffic() {
    for load in [Load::constant(1.2 * CAPACITY), Load::constant(1.6 * CAPACITY)] {
        let shared = run(load.clone(), SHARED());
        let per_second = shared.report_bytes * 1_000 / load.length / GATEWAYS as u64;
        println!("{per_second} bytes per second and gateway");
        assert!(per_second < 8_000, "{per_second} bytes per second and gateway");
    }
}

fn report(in_flight: u32, waiting: u32, nth: u64) -> CallPoolReport {
    let calls = |n| RunnerCalls {
        runner: runner(n).id,
        in_flight: if n == 0 { 0 } else { in_flight },
        started: nth * 10,
        answered: nth * 10,
        service_ms: nth * 300,
    };
    CallPoolReport { waiting, runners: (0..3).map(calls).collect(), ..CallPoolReport::default() }
}

/// A pool that has heard two reports of each peer: the first runner is idle, each other one has
/// `in_flight` calls of each peer.
fn pool_with_peers(in_flight: u32, waiting: u32, now: Millis) -> CallPool {
    let mut pool = CallPool::new(CallPoolConfig::default());
    for nth in 1..=2 {
        for peer in 1..GATEWAYS {
            pool.merge(&format!("g{peer}"), 1, report(in_flight, waiting, nth), now);
        }
    }
    pool
}

fn call<'a>(near: &'a DataCentreName, loads: &'a RunnerLoads, draw: f64) -> CallToPlace<'a> {
    CallToPlace {
        places: PlaceView::ANYWHERE,
        data_centre: near,
        loads,
        target: Millis(TARGET),
        left_to_target: Millis(TARGET),
        left: Millis(2_500),
        waited: Millis(0),
        draw,
        admission_draw: 0.0,
    }
}

const NOW: Millis = Millis(10_000);

/// Guards against a thundering herd: gateways that all choose the runner with the shortest queue
/// send it all their calls until the next report.
#[test]
fn an_idle_runner_gets_no_more_than_its_share_after_a_report() {
    let (pool, near) = (pool_with_peers(1, 0, NOW), "dc-9".try_into().expect("valid name"));
    let loads = RunnerLoads::new(LoadConfig::default());
    let runners: Vec<Runner> = (0..3).map(runner).collect();
    let members: Vec<&Runner> = runners.iter().collect();
    const DRAWS: usize = 1_000;
    let picked = (0..DRAWS).filter(|nth| {
        let draw = *nth as f64 / DRAWS as f64;
        pool.choose(&members, call(&near, &loads, draw), NOW) == Some(runner(0).id)
    });
    let share = picked.count() as f64 / DRAWS as f64;
    assert!((0.34..0.8).contains(&share), "{share}: more than a third, not nearly all");
}

#[test]
fn the_calls_of_a_silent_peer_no_longer_count() {
    let near = "dc-9".try_into().expect("valid name");
    let loads = RunnerLoads::new(LoadConfig::default());
    let runners: Vec<Runner> = (1..3).map(runner).collect();
    let members: Vec<&Runner> = runners.iter().collect();
    let call = CallToPlace { admission_draw: 0.99, ..call(&near, &loads, 0.5) };
    let sends = |pool: &CallPool, waited, now| {
        let call = CallToPlace { waited, ..call };
        matches!(pool.admit(&members, call, now), Admission::Send(_))
    };
    let waited = Millis(40);
    let pool = pool_with_peers(3, 3, NOW);
    assert!(!sends(&pool, waited, NOW), "the pool is full");
    let after = NOW.plus(Millis(3 * 155));
    assert!(sends(&pool, waited, after), "all peers are silent");
}

/// A pool far beyond what it can answer before the caller's deadline refuses at once.
#[test]
fn a_hopeless_call_is_refused_with_a_retry_after() {
    let near = "dc-9".try_into().expect("valid name");
    let loads = RunnerLoads::new(LoadConfig::default());
    let runners: Vec<Runner> = (1..3).map(runner).collect();
    let members: Vec<&Runner> = runners.iter().collect();
    let pool = pool_with_peers(3, 40, NOW);
    let call = call(&near, &loads, 0.5);
    match pool.admit(&members, call, NOW) {
        Admission::Refuse { retry_after, load } => {
            assert!((100..=825).contains(&retry_after.0), "{retry_after:?}");
            assert_eq!((load.slots, load.peers), (u64::from(2 * SLOTS), GATEWAYS - 1));
        }
        other => panic!("{other:?}"),
    }
}

/// Lost and repeated reports change no totals, and the first report of a peer's start is a baseline:
/// its calls may be hours old.
#[test]
fn each_reported_call_counts_once() {
    let runners: Vec<Runner> = (1..3).map(runner).collect();
    let members: Vec<&Runner> = runners.iter().collect();
    let service_ms = |reports: &[(u64, u64)]| {
        let mut pool = CallPool::new(CallPoolConfig::default());
        for (incarnation, nth) in reports {
            pool.merge("g1", *incarnation, report(1, 0, *nth), NOW);
        }
        pool.load(&members, NOW).service_ms
    };
    assert!(service_ms(&[(1, 9)]) == 0.0, "a baseline only");
    assert!(service_ms(&[(1, 9), (2, 30)]) == 0.0, "a restart is another baseline");
    assert!((service_ms(&[(1, 1), (1, 5)]) - 30.0).abs() < 0.1, "reports 2 to 4 were lost");
    assert!((service_ms(&[(1, 1), (1, 5), (1, 5)]) - 30.0).abs() < 0.1);
}

/// A restarted runner has none of the calls of its previous start, and a call that ends late does
/// not count against the new one.
#[test]
fn a_restarted_runner_is_empty() {
    let mut pool = pool_with_peers(3, 0, NOW);
    let restarted = runner(1);
    let ticket = pool.begin(&restarted, NOW);
    assert!(pool.load(&[&restarted], NOW).in_flight > 50.0);
    pool.forget(&restarted.id);
    assert!(pool.load(&[&restarted], NOW).in_flight < 1.0);
    pool.begin(&restarted, NOW);
    pool.end(&restarted.id, ticket, None, NOW);
    assert_eq!(pool.report().runners[0].in_flight, 1);
}

/// Guards against wrong calls of a peer after lost and late datagrams: an update is complete by
/// itself, and without the report that it builds on nothing of it is applied.
#[test]
fn lost_and_late_updates_leave_no_wrong_calls() {
    let runners: Vec<Runner> = (1..3).map(runner).collect();
    let members: Vec<&Runner> = runners.iter().collect();
    let (mut sender, mut receiver) =
        (CallPool::new(CallPoolConfig::default()), CallPool::new(CallPoolConfig::default()));
    let in_flight = |pool: &CallPool| pool.load(&members, NOW).in_flight.round();
    let first = sender.report();
    sender.begin(&runners[0], NOW);
    let lost = sender.update().expect("a report was sent");
    sender.begin(&runners[1], NOW);
    let late = sender.update().expect("a report was sent");
    let tickets: Vec<_> = (0..3).map(|_| sender.begin(&runners[1], NOW)).collect();
    let last = sender.update().expect("a report was sent");
    assert_eq!(receiver.merge_update("g1", &last, NOW), DeltaOutcome::Gap);
    receiver.merge("g1", 1, first.clone(), NOW);
    assert_eq!(receiver.merge_update("g1", &last, NOW), DeltaOutcome::Applied);
    assert_eq!(in_flight(&receiver), 5.0, "without the updates before");
    assert_eq!(receiver.merge_update("g1", &late, NOW), DeltaOutcome::Stale);
    receiver.merge("g1", 1, first, NOW);
    assert_eq!(in_flight(&receiver), 5.0, "the repeated report is older than its updates");
    let missed = sender.report();
    tickets.into_iter().for_each(|it| sender.end(&runners[1].id, it, None, NOW));
    sender.forget(&runners[0].id);
    let next = sender.update().expect("a report was sent");
    assert_eq!(receiver.merge_update("g1", &next, NOW), DeltaOutcome::Gap);
    receiver.merge("g1", 1, missed, NOW);
    assert_eq!(receiver.merge_update("g1", &lost, NOW), DeltaOutcome::Gap, "of the base before");
    assert_eq!(receiver.merge_update("g1", &next, NOW), DeltaOutcome::Applied);
    assert_eq!(receiver.load(&members[..1], NOW).in_flight.round(), 0.0, "it was forgotten");
    assert_eq!(receiver.load(&members, NOW).in_flight.round(), 1.0);
}
/// 36 slots for 27 gateways, and a burst of 2.2 for 5 s.
fn few_slots() -> Load {
    let size = call_load::Size {
        gateways: 27,
        runners: 6,
        target: 400,
        deadline: 4_000,
        service_ms: 60.0,
    };
    Load { size, rates: vec![(0, 236.0), (5_000, 519.0), (10_000, 236.0)], ..Load::constant(0.0) }
}

/// Guards against full runners that refuse calls while others have room, where the gateways are too
/// few for the fixed rule: a gateway that knows its own calls only cannot tell. Also against reports
/// while the pool is not full.
#[test]
fn gateways_share_their_calls_when_runners_are_seen_to_be_full() {
    let observed = Choice::Observed(CallPoolConfig::default());
    let load = few_slots();
    let (own, shared) = (total(&load, Choice::Own), total(&load, observed));
    let always = total(&load, SHARED());
    println!("own {own}\nobserved {shared}\nalways {always}");
    assert!(shared.refused_once * 2 < own.refused_once, "{shared} instead of {own}");
    assert!(shared.on_time_share() > own.on_time_share(), "{shared} instead of {own}");
    assert!(shared.unanswered_share() <= own.unanswered_share(), "{shared} instead of {own}");
    assert!(bytes_per_second(&load, shared) < 8_000);
    let calm = Load { rates: vec![(0, 120.0)], ..few_slots() };
    let calm_bytes = bytes_per_second(&calm, total(&calm, observed));
    println!("calm: {calm_bytes} bytes per second and gateway");
    assert!(calm_bytes < 1_000);
}

fn bytes_per_second(load: &Load, of_three: Outcome) -> u64 {
    let bytes = of_three.report_bytes * 1_000 / load.length / load.size.gateways as u64 / 3;
    println!("{bytes} bytes per second and gateway");
    bytes
}

/// Guards against one entry that overflows the sum of the pool's slots: every call ended in a panic, or
/// the pool was judged by a wrong sum.
#[test]
fn runners_with_the_most_slots_are_added_up() {
    let runners: Vec<Runner> =
        (1..4).map(|n| Runner { slots: u32::MAX, ..runner(n) }).chain([runner(4)]).collect();
    let members: Vec<&Runner> = runners.iter().collect();
    let pool = pool_with_peers(3, 3, NOW);
    let load = pool.load(&members, NOW);
    assert_eq!(load.slots, 3 * u64::from(u32::MAX) + u64::from(SLOTS));
    assert!(!pool.is_busy(&members, NOW));
    assert!(!pool.is_scarce(load.slots, GATEWAYS));
}
