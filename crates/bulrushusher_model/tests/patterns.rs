//! Simulates each load pattern with and without the mechanism that handles it.
//!
//! The model has no network and a fixed seed, so all results are reproducible. The bounds are
//! somewhat looser than the results that were measured when they were set.

use bulrushusher_forward::{ForecastConfig, StagesConfig, WaitQueueConfig};
use bulrushusher_model::{
    Admission, EngineSpec, Fleet, Load, Outcome, Pattern, generate_arrivals, simulate,
};
use bulrushusher_time::Millis;

const SEED: u64 = 1;

fn simulate_pattern(pattern: Pattern, fleet: Fleet) -> Outcome {
    simulate(&pattern.fleet(fleet), &generate_arrivals(&pattern.load(), SEED), SEED)
}

/// A fleet in which reports are applied within a step, as among a few gateways with fast links.
fn forecast() -> Fleet {
    Fleet { report_lag: Millis(0), ..Fleet::default() }
}

fn reserve(times: f64) -> Fleet {
    Fleet { admission: Admission::Reserve { times }, ..forecast() }
}

/// A factor on the expected output that exceeds the maximum of every run.
const MAX_OUTPUT: f64 = 1_000.0;

fn preempted_share(outcome: &Outcome) -> f64 {
    outcome.preempted as f64 / outcome.callers as f64
}

/// Asserts that the largest tenth of callers is served at least half as often as all callers.
fn assert_large_not_starved(outcome: &Outcome) {
    let share = outcome.large_served_share() / outcome.served();
    assert!(share > 0.5, "the largest callers are served {share:.2} times as often as all");
}

#[test]
fn all_callers_are_on_time_in_a_steady_wave() {
    let outcome = simulate_pattern(Pattern::SteadyWave, forecast());
    assert_eq!(outcome.on_time, outcome.callers);
}

#[test]
fn forecasts_serve_more_on_time_than_maximum_reservations_in_a_double_burst() {
    let (ours, maximum) = (
        simulate_pattern(Pattern::DoubleBurst, forecast()),
        simulate_pattern(Pattern::DoubleBurst, reserve(MAX_OUTPUT)),
    );
    assert!(ours.goodput() > maximum.goodput() + 0.06, "{ours:?} {maximum:?}");
    assert!(ours.refused_twice * 3 < maximum.refused_twice, "{ours:?} {maximum:?}");
    assert!(preempted_share(&ours) < 0.02, "{ours:?}");
    assert_large_not_starved(&ours);
}

#[test]
fn forecasts_use_memory_that_reservations_leave_idle_under_overload() {
    let (ours, maximum) = (
        simulate_pattern(Pattern::Overload, forecast()),
        simulate_pattern(Pattern::Overload, reserve(MAX_OUTPUT)),
    );
    assert!(ours.memory_use() > maximum.memory_use() + 0.2, "{ours:?} {maximum:?}");
    assert!(ours.on_time as f64 > maximum.on_time as f64 * 1.25, "{ours:?} {maximum:?}");
    assert!(preempted_share(&ours) < 0.03, "{ours:?}");
    assert_large_not_starved(&ours);
}

#[test]
fn gateways_without_reports_preempt_each_others_runs_under_overload() {
    let ours = simulate_pattern(Pattern::Overload, forecast());
    let alone = simulate_pattern(Pattern::Overload, Fleet { peers_report: false, ..forecast() });
    assert!(alone.preempted > 5 * ours.preempted, "{ours:?} {alone:?}");
    assert!(alone.on_time < ours.on_time, "{ours:?} {alone:?}");
}

#[test]
fn an_optimistic_forecast_preempts_what_it_admits() {
    let optimistic = ForecastConfig { caution: 0.5, max_fill: 1.0 };
    let optimistic = Fleet { admission: Admission::Forecast(optimistic), ..forecast() };
    let (ours, optimistic) = (
        simulate_pattern(Pattern::Overload, forecast()),
        simulate_pattern(Pattern::Overload, optimistic),
    );
    assert!(optimistic.preempted > 3 * ours.preempted, "{ours:?} {optimistic:?}");
}

#[test]
fn queueing_for_half_of_the_target_serves_more_than_an_eighth_under_overload() {
    let short = WaitQueueConfig { target_share: 0.125, ..WaitQueueConfig::default() };
    let short = simulate_pattern(Pattern::Overload, Fleet { wait_queue: short, ..forecast() });
    let ours = simulate_pattern(Pattern::Overload, forecast());
    assert!(ours.on_time > short.on_time, "{ours:?} {short:?}");
}

#[test]
fn forecasts_serve_more_on_time_with_long_prompts_and_long_answers() {
    for pattern in [Pattern::LongPrompts, Pattern::LongAnswers] {
        let (ours, maximum) =
            (simulate_pattern(pattern, forecast()), simulate_pattern(pattern, reserve(MAX_OUTPUT)));
        assert!(ours.goodput() > maximum.goodput() + 0.05, "{pattern}: {ours:?} {maximum:?}");
        assert!(preempted_share(&ours) < 0.03, "{pattern}: {ours:?}");
        assert_large_not_starved(&ours);
    }
}

#[test]
fn forecasts_serve_more_on_time_when_an_engine_is_lost_in_a_burst() {
    let (ours, maximum) = (
        simulate_pattern(Pattern::EngineLost, forecast()),
        simulate_pattern(Pattern::EngineLost, reserve(MAX_OUTPUT)),
    );
    assert!(ours.goodput() > maximum.goodput() + 0.06, "{ours:?} {maximum:?}");
    assert!(ours.refused * 2 < maximum.refused, "{ours:?} {maximum:?}");
}

#[test]
fn callers_that_ignore_retry_after_take_little_from_the_others() {
    let (abused, usual) = (
        simulate_pattern(Pattern::RetryAbuse, forecast()),
        simulate_pattern(Pattern::DoubleBurst, forecast()),
    );
    assert!(abused.goodput() > usual.goodput() - 0.03, "{abused:?} {usual:?}");
}

#[test]
fn callers_that_disconnect_release_their_memory() {
    let ours = simulate_pattern(Pattern::DisconnectingCallers, forecast());
    let stayed = ours.callers - ours.disconnected;
    assert!(ours.on_time as f64 > 0.85 * stayed as f64, "{ours:?}");
}

/// 27 gateways and 49 engines with less memory, at twice the usual demand. At this rate gateways
/// sometimes place runs before they have received the reports of runs placed by others.
#[test]
fn many_gateways_rarely_allocate_the_same_memory_twice() {
    let engine = EngineSpec { memory_tokens: 67_659.0, ..EngineSpec::default() };
    let fleet = Fleet { gateways: 27, prefills: 8, decodes: 41, engine, ..Fleet::default() };
    let load = Load { length: Millis(12_000), per_second: 110.0, ..Load::default() };
    let outcome = simulate(&fleet, &generate_arrivals(&load, SEED), SEED);
    assert!(preempted_share(&outcome) < 0.03, "{outcome:?}");
    assert_large_not_starved(&outcome);
}

/// A double burst on 49 engines. Load bursts and crashes average out over more engines, so a larger
/// pool needs a smaller share of prefill engines than the quarter that suits a pool of 12.
#[test]
fn a_larger_pool_needs_a_smaller_share_of_prefill_engines() {
    const ENGINES: usize = 49;
    let engine = EngineSpec { memory_tokens: 67_659.0, ..EngineSpec::default() };
    let load = Load { length: Millis(14_000), per_second: 54.0, ..Pattern::DoubleBurst.load() };
    let goodput = |prefills: usize| {
        let decodes = ENGINES - prefills;
        let fleet = Fleet { gateways: 8, prefills, decodes, engine, ..Fleet::default() };
        simulate(&fleet, &generate_arrivals(&load, SEED), SEED).goodput()
    };
    let target = StagesConfig::default().target_prefill(ENGINES).round() as usize;
    let ours = goodput(target);
    assert!(ours > goodput(ENGINES / 4) + 0.01, "a quarter is too many");
    assert!(ours > goodput(ENGINES / 8) + 0.1, "an eighth is too few");
}

/// A decode engine fails half of its runs while its health check passes. Half of its runs are lost
/// unless gateways avoid it because of observed and reported failures.
#[test]
fn gateways_avoid_a_failing_engine_with_a_passing_health_check() {
    let ours = simulate_pattern(Pattern::GreyEngine, Fleet::default());
    let unaware =
        simulate_pattern(Pattern::GreyEngine, Fleet { avoids_failing: false, ..Fleet::default() });
    assert!(ours.failed * 2 < unaware.failed, "{ours:?} {unaware:?}");
    assert!(ours.goodput() > unaware.goodput() + 0.02, "{ours:?} {unaware:?}");
}

/// One of nine engines runs at a third of the speed in a double burst. Its memory is unavailable
/// for most of the time, and the loss of goodput must not exceed about its share.
#[test]
fn a_slow_engine_costs_about_its_share_of_goodput() {
    let (slow, usual) = (
        simulate_pattern(Pattern::SlowEngine, forecast()),
        simulate_pattern(Pattern::DoubleBurst, forecast()),
    );
    assert!(slow.goodput() > usual.goodput() - 0.12, "{slow:?} {usual:?}");
}

/// The goodput of every data centre is close to the mean.
#[test]
fn goodput_is_similar_in_all_data_centres_in_a_double_burst() {
    let outcome = simulate_pattern(Pattern::DoubleBurst, Fleet { gateways: 8, ..forecast() });
    let lowest = outcome.min_goodput_by_data_centre();
    assert!(lowest > outcome.goodput() - 0.08, "{lowest} {outcome:?}");
}

/// Runs may move, so gateways reserve less memory for runs that exceed their expected length.
fn moving(fleet: Fleet) -> Fleet {
    let optimistic = ForecastConfig { caution: 1.5, ..ForecastConfig::default() };
    Fleet { runs_move: true, admission: Admission::Forecast(optimistic), ..fleet }
}

/// Two pools with sufficient prefill capacity, so that decode memory is the bottleneck: nine decode
/// engines with five gateways, and 15 smaller ones with 16 gateways.
fn pools() -> [(Fleet, f64); 2] {
    let small = EngineSpec { memory_tokens: 72_069.0, ..EngineSpec::default() };
    let large = Fleet { gateways: 16, prefills: 8, decodes: 15, engine: small, ..Fleet::default() };
    [(Fleet { prefills: 6, ..Fleet::default() }, 18.0), (large, 22.0)]
}

/// Demand is more than twice what decode memory can serve. If runs can move, less memory has to
/// stay free for the growth of runs at each engine, and more runs are admitted. The same optimistic
/// forecast without moves preempts the runs that it admits.
#[test]
fn moving_runs_admits_more_callers_in_bursts() {
    for (fleet, per_second) in pools() {
        let load = Load { length: Millis(22_500), per_second, ..Pattern::DoubleBurst.load() };
        let callers = generate_arrivals(&load, SEED);
        let [stays, moves] = [fleet, moving(fleet)].map(|fleet| simulate(&fleet, &callers, SEED));
        assert!(moves.on_time > stays.on_time, "{stays:?} {moves:?}");
        assert!(moves.refused < stays.refused, "{stays:?} {moves:?}");
        assert!(moves.preempted <= stays.preempted && moves.moved > 0, "{stays:?} {moves:?}");
        assert_large_not_starved(&moves);
        let optimistic = simulate(&Fleet { runs_move: false, ..moving(fleet) }, &callers, SEED);
        assert!(optimistic.preempted > 2 * moves.preempted, "{optimistic:?} {moves:?}");
    }
}
