//! Decisions for forwarded requests, checked against a model that only counts runs, answers to
//! callers and the runners that got work.
//!
//! Seeds are fixed, so every run has the same cases. `BULRUSH_FUZZ_CASES` sets their number.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_forward::{
    AttemptEnd, AttemptPlan, CallSelection, EventReader, FinalAnswer, NextStep, PlaceView,
    RouteKind, Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerLoads, RunnerRemoval,
    Shutdown, ShutdownConfig, pick_for_call,
};
use bulrushusher_forward::{LoadConfig, SelectionContext};
use bulrushusher_routing::{RetryBudget, RetryConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DEFAULT_CASES: u32 = 2_000;

fn config() -> ProptestConfig {
    let cases = std::env::var("BULRUSH_FUZZ_CASES").ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What really happens to a request at a runner, whether or not the gateway learns of it.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Nothing reaches the runner.
    NeverSent,
    /// The runner refuses the request and answers so.
    Refuses,
    /// The runner runs the request and its answer arrives.
    Answers,
    /// The runner runs the request and answers with an error.
    RunsAndFails,
    /// The runner runs the request; the answer is lost, late, for another request or truncated.
    RunsUnanswered,
    /// The runner never runs the request, and no answer arrives.
    LosesRequest,
}

fn behaviours() -> impl Strategy<Value = Vec<Behaviour>> {
    let behaviour = prop_oneof![
        Just(Behaviour::NeverSent),
        Just(Behaviour::Refuses),
        Just(Behaviour::Answers),
        Just(Behaviour::RunsAndFails),
        Just(Behaviour::RunsUnanswered),
        Just(Behaviour::LosesRequest),
    ];
    prop::collection::vec(behaviour, 1..12)
}

fn kinds() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Idempotent),
        Just(RouteKind::NonIdempotent),
        Just(RouteKind::Stream { resumable: true }),
        Just(RouteKind::Stream { resumable: false }),
    ]
}

/// The model's own rule for what may run more than once.
fn is_repeatable(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
}

/// Outcome of one request.
#[derive(Debug, Default)]
struct Outcome {
    runs: u32,
    retries: u32,
    reported_not_run: bool,
    ended: bool,
}

fn simulate(
    kind: RouteKind,
    max_runners: u32,
    behaviours: &[Behaviour],
    budget: &mut RetryBudget,
) -> Outcome {
    let mut plan = AttemptPlan::new(kind, max_runners);
    let mut outcome = Outcome::default();
    for (sent, behaviour) in behaviours.iter().enumerate() {
        let arrives = !matches!(behaviour, Behaviour::NeverSent);
        outcome.retries += u32::from(sent > 0 && arrives);
        let end = match behaviour {
            Behaviour::Answers => {
                outcome.runs += 1;
                outcome.ended = true;
                return outcome;
            }
            Behaviour::NeverSent => AttemptEnd::Unsent,
            Behaviour::Refuses => AttemptEnd::NotRun,
            Behaviour::RunsAndFails => {
                outcome.runs += 1;
                AttemptEnd::RunFailed
            }
            Behaviour::RunsUnanswered => {
                outcome.runs += 1;
                AttemptEnd::Unknown
            }
            Behaviour::LosesRequest => AttemptEnd::Unknown,
        };
        match plan.next_step(end, || budget.take()) {
            NextStep::Retry => {}
            NextStep::ForwardError => {
                outcome.ended = true;
                return outcome;
            }
            NextStep::Finish(answer) => {
                outcome.ended = true;
                outcome.reported_not_run = answer == FinalAnswer::NotRun;
                return outcome;
            }
        }
    }
    outcome
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn requests_run_at_most_once_not_run_is_true_and_retries_respect_the_budget(
        requests in prop::collection::vec((kinds(), 1_u32..4, behaviours()), 1..40),
    ) {
        let cfg = RetryConfig { per_request: 0.2, burst: 3.0, ..RetryConfig::default() };
        let mut budget = RetryBudget::new(cfg, Millis(0));
        budget.advance(cfg.window);
        let mut retries = 0;
        for (n, (kind, max_runners, behaviours)) in requests.iter().enumerate() {
            budget.earn();
            let outcome = simulate(*kind, *max_runners, behaviours, &mut budget);
            let may_run = if is_repeatable(*kind) { *max_runners } else { 1 };
            prop_assert!(outcome.runs <= may_run, "{kind} ran {} times", outcome.runs);
            let is_true = !outcome.reported_not_run || outcome.runs == 0;
            prop_assert!(is_true, "reported as not run, but it ran");
            retries += outcome.retries;
            let allowed = cfg.burst + cfg.per_request * (n + 1) as f64;
            // A send that does not reach a runner is free; the next one is the first to arrive.
            let unsent = behaviours.iter().filter(|it| matches!(it, Behaviour::NeverSent)).count();
            if unsent == 0 {
                prop_assert!(f64::from(outcome.retries) <= allowed + 1e-6);
            }
        }
        let never_sent = |behaviours: &[Behaviour]| matches!(behaviours[0], Behaviour::NeverSent);
        let first_send_unsent = requests.iter().filter(|r| never_sent(&r.2)).count();
        let allowed = cfg.burst + cfg.per_request * requests.len() as f64;
        prop_assert!(f64::from(retries) <= allowed + first_send_unsent as f64 + 1e-6);
    }

    #[test]
    fn every_request_ends(kind in kinds(), max_runners in 1_u32..4, behaviour in behaviours()) {
        let cfg = RetryConfig { per_request: 1.0, burst: 100.0, ..RetryConfig::default() };
        let mut budget = RetryBudget::new(cfg, Millis(0));
        budget.advance(cfg.window);
        let endless: Vec<Behaviour> = behaviour.iter().cycle().take(20).copied().collect();
        prop_assert!(simulate(kind, max_runners, &endless, &mut budget).ended);
    }
}

/// A change of the list of runners.
#[derive(Clone, Copy, Debug)]
enum Event {
    Put(u8),
    Leaving(u8),
    Removed(u8),
    Relisted(u8),
    Outage,
    TimePasses(u16),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        (0_u8..6).prop_map(Event::Put),
        (0_u8..6).prop_map(Event::Leaving),
        (0_u8..6).prop_map(Event::Removed),
        (0_u8..64).prop_map(Event::Relisted),
        Just(Event::Outage),
        (1_u16..3_000).prop_map(Event::TimePasses),
    ];
    prop::collection::vec(event, 1..40)
}

fn service() -> ServiceName {
    "app".try_into().unwrap()
}

/// Addresses are reused: runner 3 has that of runner 0, and so on.
fn runner(n: u8, leaving: bool) -> Runner {
    Runner {
        id: format!("i-{n}").as_str().try_into().unwrap(),
        born: None,
        service: service(),
        address: ([10, 0, 0, 1], 8_000 + u16::from(n % 3)).into(),
        data_centre: "dc-1".try_into().unwrap(),
        slots: 4,
        stage: None,
        leaving,
        cold_for: Millis(0),
        revision: 0,
        version: "v1".into(),
    }
}

/// The model: the last state of each runner in the store, and the end of the last outage.
#[derive(Debug, Default)]
struct StoreModel {
    ready: BTreeSet<RunnerId>,
    leaving: BTreeSet<RunnerId>,
    removed_at: BTreeMap<RunnerId, (Millis, bool)>,
    outage_end: Option<Millis>,
}

impl StoreModel {
    /// A runner may get work if it is listed as ready, or if its entry lapsed around an outage and
    /// the grace period has not passed.
    fn may_work(&self, id: &RunnerId, now: Millis, grace: Millis) -> bool {
        let lapsed = self.removed_at.get(id).is_some_and(|(_, was_ready)| {
            *was_ready && self.outage_end.is_some_and(|end| now < end.plus(grace))
        });
        self.ready.contains(id) || lapsed
    }

    fn put(&mut self, id: RunnerId, leaving: bool) {
        self.removed_at.remove(&id);
        let (to, from) = match leaving {
            true => (&mut self.leaving, &mut self.ready),
            false => (&mut self.ready, &mut self.leaving),
        };
        from.remove(&id);
        to.insert(id);
    }

    fn remove(&mut self, id: &RunnerId, now: Millis) {
        let was_ready = self.ready.remove(id);
        if was_ready || self.leaving.remove(id) {
            self.removed_at.insert(id.clone(), (now, was_ready));
        }
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn only_runners_known_from_the_store_get_work(events in events(), draw in 0.0_f64..1.0) {
        let cfg = RunnerDirectoryConfig::default();
        let mut members = RunnerDirectory::new(cfg);
        let mut store = StoreModel::default();
        let mut now = Millis(10_000);
        members.store_answered(now);
        for event in events {
            match event {
                Event::Put(n) | Event::Leaving(n) => {
                    let leaving = matches!(event, Event::Leaving(_));
                    members.store_answered(now);
                    members.put(runner(n, leaving), now);
                    store.put(runner(n, leaving).id, leaving);
                }
                Event::Removed(n) => {
                    members.store_answered(now);
                    let id = runner(n, false).id;
                    members.remove(&RunnerRemoval { id, revision: 0 }, now);
                    store.remove(&runner(n, false).id, now);
                }
                Event::Relisted(mask) => {
                    members.store_answered(now);
                    let listed: Vec<Runner> =
                        (0..6).filter(|n| mask & (1 << n) != 0).map(|n| runner(n, false)).collect();
                    for n in (0..6).filter(|n| mask & (1 << n) == 0) {
                        store.remove(&runner(n, false).id, now);
                    }
                    listed.iter().for_each(|r| store.put(r.id.clone(), false));
                    members.replace_all(listed, 0, now);
                }
                Event::Outage => {
                    now = now.plus(cfg.outage_after);
                    members.store_answered(now);
                    store.outage_end = Some(now);
                }
                Event::TimePasses(ms) => {
                    // The store keeps answering; the gaps are too short for an outage.
                    for _ in 0..ms / 500 {
                        now = now.plus(Millis(500));
                        members.store_answered(now);
                    }
                }
            }
            let loads = RunnerLoads::new(LoadConfig::default());
            let service = service();
            let cx = SelectionContext {
                places: PlaceView::ANYWHERE,
                version: None,
                members: &members,
                loads: &loads,
                service: &service,
                runs: None,
                failing: None,
                pressure: None,
                now,
            };
            let near = "dc-1".try_into().unwrap();
            let picked = pick_for_call(cx, CallSelection { tried: &[], data_centre: &near, draw });
            if let Some(picked) = &picked {
                let may = store.may_work(&picked.id, now, cfg.return_grace);
                prop_assert!(may, "{:?} got work after {event:?}", picked.id);
            }
            let is_ready = !store.ready.is_empty();
            prop_assert!(picked.is_some() || !is_ready, "a ready runner was not selected");
        }
    }

    #[test]
    fn events_are_complete_in_order_and_not_repeated(
        cuts in prop::collection::vec(1_usize..30, 1..60), last in 1_u64..12, broken in 0_usize..8,
    ) {
        let text: String = (1..=last).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect();
        let whole = text.len().saturating_sub(broken);
        let bytes = &text.as_bytes()[..whole];
        let mut reader = EventReader::after(None);
        let (mut forwarded, mut last_id, mut at) = (Vec::new(), None, 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(whole);
            let (events, error) = reader.push(&bytes[at..end]);
            prop_assert_eq!(error, None);
            forwarded.extend_from_slice(&events.bytes);
            last_id = events.last_id.or(last_id);
            at = end;
            if at == whole {
                break;
            }
        }
        let forwarded = String::from_utf8(forwarded).unwrap();
        prop_assert!(text.starts_with(&forwarded));
        let is_complete = forwarded.is_empty() || forwarded.ends_with("\n\n");
        prop_assert!(is_complete, "a truncated event was forwarded");
        let ids: Vec<u64> = forwarded
            .lines()
            .filter_map(|line| line.strip_prefix("id: ").and_then(|id| id.parse().ok()))
            .collect();
        prop_assert_eq!(ids.last().copied(), last_id);
        prop_assert_eq!(ids.len() as u64, last_id.unwrap_or(0));
        let complete = text[..whole].rfind("\n\n").map_or(0, |at| at + 2);
        prop_assert_eq!(forwarded.len(), complete);
        prop_assert_eq!(complete < whole, reader.is_inside_event());
    }

    /// Guards against memory that is filled by bytes without an event, and against a limit on what
    /// arrives at once.
    #[test]
    fn only_an_event_without_an_end_is_too_long(
        chunk in 1_usize..70_000, event in 1_usize..40_000, events in 1_usize..12,
    ) {
        let data = "x".repeat(event);
        let text: String = (1..=events).map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
        let mut reader = EventReader::after(None);
        for bytes in text.as_bytes().chunks(chunk) {
            prop_assert_eq!(reader.push(bytes).1, None);
        }
        let endless = vec![b'x'; chunk];
        let pushed = (0..=200_000 / chunk).map(|_| reader.push(&endless));
        prop_assert!(pushed.into_iter().any(|(_, error)| error.is_some()));
    }

    #[test]
    fn requests_accepted_during_shutdown_end_before_the_kill(
        grace in 500_u64..20_000, at in 0_u64..25_000, expected in 0_u64..20_000,
    ) {
        let cfg = ShutdownConfig {
            grace: Millis(grace), accept_for: Millis(2_500), margin: Millis(900),
        };
        let stop = Shutdown::new(cfg, Millis(0));
        if stop.can_finish(Millis(at), Millis(expected)) {
            prop_assert!(at + expected + 900 <= grace);
        }
    }
}
