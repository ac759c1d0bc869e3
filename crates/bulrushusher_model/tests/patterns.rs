//! Each pattern of load, played with and without what answers it.
//!
//! The model has no network and a fixed seed, so every figure repeats. The bounds leave some room
//! on the worse side of what was measured when they were set.

use bulrushusher_forward::{ForecastConfig, StagesConfig, WaitQueueConfig};
use bulrushusher_model::{Admission, EngineFigures, Fleet, Load, Outcome, Pattern, arrivals, play};
use bulrushusher_time::Millis;

const SEED: u64 = 1;

fn played(pattern: Pattern, fleet: Fleet) -> Outcome {
    play(&pattern.fleet(fleet), &arrivals(&pattern.load(), SEED), SEED)
}

/// Reports of gateways are taken in within a step, as among a few gateways on quick links.
fn forecast() -> Fleet {
    Fleet { report_lag: Millis(0), ..Fleet::default() }
}

fn hold(times: f64) -> Fleet {
    Fleet { admission: Admission::Hold { times }, ..forecast() }
}

/// More than any caller expects: the most that each run may need.
const THE_MOST: f64 = 1_000.0;

fn preempted_share(outcome: &Outcome) -> f64 {
    outcome.preempted as f64 / outcome.callers as f64
}

/// The largest tenth must not be served less than half as often as everybody.
fn large_are_not_starved(outcome: &Outcome) {
    let share = outcome.large_served_share() / outcome.served();
    assert!(share > 0.5, "the largest are served {share:.2} times as often");
}

#[test]
fn in_a_steady_wave_everybody_is_on_time() {
    let outcome = played(Pattern::SteadyWave, forecast());
    assert_eq!(outcome.on_time, outcome.callers);
}

#[test]
fn in_a_double_burst_a_forecast_serves_more_on_time_than_holding_the_most() {
    let (ours, most) =
        (played(Pattern::DoubleBurst, forecast()), played(Pattern::DoubleBurst, hold(THE_MOST)));
    assert!(ours.goodput() > most.goodput() + 0.06, "{ours:?} {most:?}");
    assert!(ours.refused_twice * 3 < most.refused_twice, "{ours:?} {most:?}");
    assert!(preempted_share(&ours) < 0.02, "{ours:?}");
    large_are_not_starved(&ours);
}

#[test]
fn under_overload_a_forecast_uses_memory_that_holds_leave_idle() {
    let (ours, most) =
        (played(Pattern::Overload, forecast()), played(Pattern::Overload, hold(THE_MOST)));
    assert!(ours.memory_use() > most.memory_use() + 0.2, "{ours:?} {most:?}");
    assert!(ours.on_time as f64 > most.on_time as f64 * 1.25, "{ours:?} {most:?}");
    assert!(preempted_share(&ours) < 0.03, "{ours:?}");
    large_are_not_starved(&ours);
}

#[test]
fn under_overload_gateways_that_do_not_speak_preempt_each_others_runs() {
    let ours = played(Pattern::Overload, forecast());
    let alone = played(Pattern::Overload, Fleet { peers_speak: false, ..forecast() });
    assert!(alone.preempted > 5 * ours.preempted, "{ours:?} {alone:?}");
    assert!(alone.on_time < ours.on_time, "{ours:?} {alone:?}");
}

#[test]
fn a_bold_forecast_preempts_what_it_admits() {
    let bold = ForecastConfig { caution: 0.5, max_fill: 1.0 };
    let bold = Fleet { admission: Admission::Forecast(bold), ..forecast() };
    let (ours, bold) = (played(Pattern::Overload, forecast()), played(Pattern::Overload, bold));
    assert!(bold.preempted > 3 * ours.preempted, "{ours:?} {bold:?}");
}

#[test]
fn under_overload_waiting_half_of_the_target_serves_more_on_time_than_an_eighth() {
    let short = WaitQueueConfig { target_share: 0.125, ..WaitQueueConfig::default() };
    let short = played(Pattern::Overload, Fleet { waiting: short, ..forecast() });
    let ours = played(Pattern::Overload, forecast());
    assert!(ours.on_time > short.on_time, "{ours:?} {short:?}");
}

#[test]
fn long_prompts_and_long_answers_in_bursts() {
    for pattern in [Pattern::LongPrompts, Pattern::LongAnswers] {
        let (ours, most) = (played(pattern, forecast()), played(pattern, hold(THE_MOST)));
        assert!(ours.goodput() > most.goodput() + 0.05, "{pattern}: {ours:?} {most:?}");
        assert!(preempted_share(&ours) < 0.03, "{pattern}: {ours:?}");
        large_are_not_starved(&ours);
    }
}

#[test]
fn an_engine_lost_in_a_burst() {
    let (ours, most) =
        (played(Pattern::EngineLost, forecast()), played(Pattern::EngineLost, hold(THE_MOST)));
    assert!(ours.goodput() > most.goodput() + 0.06, "{ours:?} {most:?}");
    assert!(ours.refused * 2 < most.refused, "{ours:?} {most:?}");
}

#[test]
fn callers_that_come_back_at_once_take_little_from_those_that_do_as_they_are_told() {
    let (abused, usual) =
        (played(Pattern::RetryAbuse, forecast()), played(Pattern::DoubleBurst, forecast()));
    assert!(abused.goodput() > usual.goodput() - 0.03, "{abused:?} {usual:?}");
}

#[test]
fn callers_that_leave_hold_nothing_for_long() {
    let ours = played(Pattern::LeavingCallers, forecast());
    let stayed = ours.callers - ours.left;
    assert!(ours.on_time as f64 > 0.85 * stayed as f64, "{ours:?}");
}

/// A fleet of 27 gateways and 49 engines of smaller memory, at twice its usual demand: at such a
/// rate some gateways place runs before they hear of each other's.
#[test]
fn many_gateways_do_not_give_the_same_memory_away_twice() {
    let figures = EngineFigures { memory_tokens: 67_659.0, ..EngineFigures::default() };
    let fleet = Fleet { gateways: 27, prefills: 8, decodes: 41, figures, ..Fleet::default() };
    let load = Load { length: Millis(12_000), per_second: 110.0, ..Load::default() };
    let outcome = play(&fleet, &arrivals(&load, SEED), SEED);
    assert!(preempted_share(&outcome) < 0.03, "{outcome:?}");
    large_are_not_starved(&outcome);
}

/// A burst on 49 engines: bursts and crashes even out over more engines, so that a larger pool needs a
/// smaller share of them to read prompts than the quarter that suits twelve.
#[test]
fn a_larger_pool_needs_a_smaller_share_of_prefill_engines() {
    const ENGINES: usize = 49;
    let figures = EngineFigures { memory_tokens: 67_659.0, ..EngineFigures::default() };
    let load = Load { length: Millis(14_000), per_second: 54.0, ..Pattern::DoubleBurst.load() };
    let goodput = |prefills: usize| {
        let decodes = ENGINES - prefills;
        let fleet = Fleet { gateways: 8, prefills, decodes, figures, ..Fleet::default() };
        play(&fleet, &arrivals(&load, SEED), SEED).goodput()
    };
    let wanted = StagesConfig::default().target_prefill(ENGINES).round() as usize;
    let ours = goodput(wanted);
    assert!(ours > goodput(ENGINES / 4) + 0.01, "a quarter is too many");
    assert!(ours > goodput(ENGINES / 8) + 0.1, "an eighth is too few");
}

/// A decode engine that fails half of its runs, its health check good: half of what it gets is lost,
/// unless gateways pass it over by what they see and tell each other.
#[test]
fn a_grey_engine_is_passed_over() {
    let ours = played(Pattern::GreyEngine, Fleet::default());
    let blind = played(Pattern::GreyEngine, Fleet { heeds_failures: false, ..Fleet::default() });
    assert!(ours.failed * 2 < blind.failed, "{ours:?} {blind:?}");
    assert!(ours.goodput() > blind.goodput() + 0.02, "{ours:?} {blind:?}");
}

/// One engine of nine at a third of the speed, in a double burst: its memory is lost for most of the
/// time, and no more than that.
#[test]
fn a_slow_engine_costs_about_its_share() {
    let (slow, usual) =
        (played(Pattern::SlowEngine, forecast()), played(Pattern::DoubleBurst, forecast()));
    assert!(slow.goodput() > usual.goodput() - 0.12, "{slow:?} {usual:?}");
}

/// Callers of one data centre get about what those of the others get.
#[test]
fn in_a_double_burst_no_data_centre_is_left_behind() {
    let outcome = played(Pattern::DoubleBurst, Fleet { gateways: 8, ..forecast() });
    let lowest = outcome.lowest_goodput_of_a_centre();
    assert!(lowest > outcome.goodput() - 0.08, "{lowest} {outcome:?}");
}

/// Gateways whose runs move keep less memory free for runs that get longer than expected.
fn moving(fleet: Fleet) -> Fleet {
    let bold = ForecastConfig { caution: 1.5, ..ForecastConfig::default() };
    Fleet { runs_move: true, admission: Admission::Forecast(bold), ..fleet }
}

/// Two pools with readers enough, so that memory binds: nine decode engines and five gateways, and 15
/// smaller ones with 16 gateways.
fn pools() -> [(Fleet, f64); 2] {
    let small = EngineFigures { memory_tokens: 72_069.0, ..EngineFigures::default() };
    let large =
        Fleet { gateways: 16, prefills: 8, decodes: 15, figures: small, ..Fleet::default() };
    [(Fleet { prefills: 6, ..Fleet::default() }, 18.0), (large, 22.0)]
}

/// Demand at more than twice of what memory bears: what is kept free for the growth of some runs at one
/// engine is room for others once a run can leave. The same boldness without moves preempts what it
/// admits.
#[test]
fn runs_that_move_leave_room_for_more_in_bursts() {
    for (fleet, per_second) in pools() {
        let load = Load { length: Millis(22_500), per_second, ..Pattern::DoubleBurst.load() };
        let callers = arrivals(&load, SEED);
        let [stays, moves] = [fleet, moving(fleet)].map(|fleet| play(&fleet, &callers, SEED));
        assert!(moves.on_time > stays.on_time, "{stays:?} {moves:?}");
        assert!(moves.refused < stays.refused, "{stays:?} {moves:?}");
        assert!(moves.preempted <= stays.preempted && moves.moved > 0, "{stays:?} {moves:?}");
        large_are_not_starved(&moves);
        let bold = play(&Fleet { runs_move: false, ..moving(fleet) }, &callers, SEED);
        assert!(bold.preempted > 2 * moves.preempted, "{bold:?} {moves:?}");
    }
}
