//! The forwarded path's decisions against an oracle that only counts: runs, what callers were told,
//! and which runners got work.
//!
//! Fixed seeds: every run plays the same cases. `BULRUSH_FUZZ_CASES` sets their number.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_forward::{
    AttemptEnd, AttemptPlan, EventSplitter, FinalAnswer, NextStep, PlainPick, RouteKind, Runner,
    RunnerDirectory, RunnerDirectoryConfig, RunnerLoads, Shutdown, ShutdownConfig, pick_for_call,
};
use bulrushusher_forward::{Candidate, LoadConfig};
use bulrushusher_routing::{RetryBudget, RetryConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const USUAL_CASES: u32 = 2_000;

fn config() -> ProptestConfig {
    let cases = std::env::var("BULRUSH_FUZZ_CASES").ok().and_then(|n| n.parse().ok());
    ProptestConfig {
        cases: cases.unwrap_or(USUAL_CASES),
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What really happens at a runner, whatever the gateway hears of it.
#[derive(Clone, Copy, Debug)]
enum Fate {
    /// Nothing reaches it.
    NeverSent,
    /// It refuses and says so.
    Refuses,
    /// It runs the request and its answer arrives.
    Answers,
    /// It runs the request and answers with a failure.
    RunsAndFails,
    /// It runs the request and the answer is lost, late, foreign or cut.
    RunsUnheard,
    /// It never runs the request and nothing is heard.
    LosesIt,
}

fn fates() -> impl Strategy<Value = Vec<Fate>> {
    let fate = prop_oneof![
        Just(Fate::NeverSent),
        Just(Fate::Refuses),
        Just(Fate::Answers),
        Just(Fate::RunsAndFails),
        Just(Fate::RunsUnheard),
        Just(Fate::LosesIt),
    ];
    prop::collection::vec(fate, 1..12)
}

fn kinds() -> impl Strategy<Value = RouteKind> {
    prop_oneof![
        Just(RouteKind::Idempotent),
        Just(RouteKind::NonIdempotent),
        Just(RouteKind::Stream { resumable: true }),
        Just(RouteKind::Stream { resumable: false }),
    ]
}

/// The oracle's own word on what may run more than once.
fn is_repeatable(kind: RouteKind) -> bool {
    matches!(kind, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
}

/// What one request came to.
#[derive(Debug, Default)]
struct Played {
    runs: u32,
    repeats: u32,
    told_not_run: bool,
    ended: bool,
}

fn play(kind: RouteKind, most: u32, fates: &[Fate], budget: &mut RetryBudget) -> Played {
    let mut plan = AttemptPlan::new(kind, most);
    let mut played = Played::default();
    for (sent, fate) in fates.iter().enumerate() {
        let reaches_it = !matches!(fate, Fate::NeverSent);
        played.repeats += u32::from(sent > 0 && reaches_it);
        let end = match fate {
            Fate::Answers => {
                played.runs += 1;
                played.ended = true;
                return played;
            }
            Fate::NeverSent => AttemptEnd::Unsent,
            Fate::Refuses => AttemptEnd::NotRun,
            Fate::RunsAndFails => {
                played.runs += 1;
                AttemptEnd::RunFailed
            }
            Fate::RunsUnheard => {
                played.runs += 1;
                AttemptEnd::Unknown
            }
            Fate::LosesIt => AttemptEnd::Unknown,
        };
        match plan.after(end, budget) {
            NextStep::TryAgain => {}
            NextStep::PassOn => {
                played.ended = true;
                return played;
            }
            NextStep::Finish(answer) => {
                played.ended = true;
                played.told_not_run = answer == FinalAnswer::NotRun;
                return played;
            }
        }
    }
    played
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn at_most_once_not_run_is_true_and_repeats_stay_in_their_budget(
        requests in prop::collection::vec((kinds(), 1_u32..4, fates()), 1..40),
    ) {
        let cfg = RetryConfig { per_request: 0.2, max_saved: 3.0 };
        let mut budget = RetryBudget::new(cfg);
        let mut repeats = 0;
        for (n, (kind, most, fates)) in requests.iter().enumerate() {
            budget.earn();
            let played = play(*kind, *most, fates, &mut budget);
            let may_run = if is_repeatable(*kind) { *most } else { 1 };
            prop_assert!(played.runs <= may_run, "{kind} ran {} times", played.runs);
            prop_assert!(!played.told_not_run || played.runs == 0, "told as not run, and it ran");
            repeats += played.repeats;
            let allowed = cfg.max_saved + cfg.per_request * (n + 1) as f64;
            // A send that did not reach a runner is free, and what follows it is the first arrival.
            let unsent = fates.iter().filter(|fate| matches!(fate, Fate::NeverSent)).count();
            if unsent == 0 {
                prop_assert!(f64::from(played.repeats) <= allowed + 1e-6);
            }
        }
        let reached_late = requests.iter().filter(|r| matches!(r.2[0], Fate::NeverSent)).count();
        let allowed = cfg.max_saved + cfg.per_request * requests.len() as f64;
        prop_assert!(f64::from(repeats) <= allowed + reached_late as f64 + 1e-6);
    }

    #[test]
    fn every_request_ends(kind in kinds(), most in 1_u32..4, fate in fates()) {
        let mut budget = RetryBudget::new(RetryConfig { per_request: 1.0, max_saved: 100.0 });
        let endless: Vec<Fate> = fate.iter().cycle().take(20).copied().collect();
        prop_assert!(play(kind, most, &endless, &mut budget).ended);
    }
}

/// What happens to the list of runners.
#[derive(Clone, Copy, Debug)]
enum Event {
    Put(u8),
    Leaves(u8),
    Removed(u8),
    Relisted(u8),
    Outage,
    Passes(u16),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let event = prop_oneof![
        (0_u8..6).prop_map(Event::Put),
        (0_u8..6).prop_map(Event::Leaves),
        (0_u8..6).prop_map(Event::Removed),
        (0_u8..64).prop_map(Event::Relisted),
        Just(Event::Outage),
        (1_u16..3_000).prop_map(Event::Passes),
    ];
    prop::collection::vec(event, 1..40)
}

fn service() -> ServiceName {
    "app".try_into().unwrap()
}

/// Runner 3 has the address of runner 0, and so on: addresses are used again.
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
    }
}

/// The oracle: what the store said last of each runner, and when an outage ended last.
#[derive(Debug, Default)]
struct Said {
    ready: BTreeSet<RunnerId>,
    leaving: BTreeSet<RunnerId>,
    removed_at: BTreeMap<RunnerId, (Millis, bool)>,
    outage_end: Option<Millis>,
}

impl Said {
    /// A runner may get work if it is listed as ready, or lapsed around an outage and not yet
    /// taken as gone.
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
    fn only_runners_that_the_store_vouched_for_get_work(events in events(), draw in 0.0_f64..1.0) {
        let cfg = RunnerDirectoryConfig::default();
        let mut members = RunnerDirectory::new(cfg);
        let mut said = Said::default();
        let mut now = Millis(10_000);
        members.store_answered(now);
        for event in events {
            match event {
                Event::Put(n) | Event::Leaves(n) => {
                    let leaving = matches!(event, Event::Leaves(_));
                    members.store_answered(now);
                    members.put(runner(n, leaving));
                    said.put(runner(n, leaving).id, leaving);
                }
                Event::Removed(n) => {
                    members.store_answered(now);
                    members.remove(&runner(n, false).id, now);
                    said.remove(&runner(n, false).id, now);
                }
                Event::Relisted(mask) => {
                    members.store_answered(now);
                    let listed: Vec<Runner> =
                        (0..6).filter(|n| mask & (1 << n) != 0).map(|n| runner(n, false)).collect();
                    for n in (0..6).filter(|n| mask & (1 << n) == 0) {
                        said.remove(&runner(n, false).id, now);
                    }
                    listed.iter().for_each(|r| said.put(r.id.clone(), false));
                    members.replace_all(listed, now);
                }
                Event::Outage => {
                    now = now.plus(cfg.outage_after);
                    members.store_answered(now);
                    said.outage_end = Some(now);
                }
                Event::Passes(ms) => {
                    // The store answers all the while, but for pauses that are no outage.
                    for _ in 0..ms / 500 {
                        now = now.plus(Millis(500));
                        members.store_answered(now);
                    }
                }
            }
            let loads = RunnerLoads::new(LoadConfig::default());
            let service = service();
            let cx = Candidate {
                members: &members,
                loads: &loads,
                service: &service,
                runs: None,
                failing: None,
 pressure: None,
                now,
            };
            let near = "dc-1".try_into().unwrap();
            let picked = pick_for_call(cx, PlainPick { tried: &[], near: &near, draw });
            if let Some(picked) = &picked {
                let may = said.may_work(&picked.id, now, cfg.return_grace);
                prop_assert!(may, "{:?} got work after {event:?}", picked.id);
            }
            let is_ready = !said.ready.is_empty();
            prop_assert!(picked.is_some() || !is_ready, "a ready runner was passed over");
        }
    }

    #[test]
    fn events_come_whole_in_order_and_none_twice(
        cuts in prop::collection::vec(1_usize..30, 1..60), last in 1_u64..12, broken in 0_usize..8,
    ) {
        let text: String = (1..=last).map(|n| format!("id: {n}\ndata: {n}\n\n")).collect();
        let whole = text.len().saturating_sub(broken);
        let bytes = &text.as_bytes()[..whole];
        let mut splitter = EventSplitter::default();
        let (mut passed, mut last_id, mut at) = (Vec::new(), None, 0);
        for cut in cuts.iter().cycle() {
            let end = (at + cut).min(whole);
            let events = splitter.push(&bytes[at..end]);
            passed.extend_from_slice(&events.bytes);
            last_id = events.last_id.or(last_id);
            at = end;
            if at == whole {
                break;
            }
        }
        let passed = String::from_utf8(passed).unwrap();
        prop_assert!(text.starts_with(&passed));
        prop_assert!(passed.is_empty() || passed.ends_with("\n\n"), "no torn event is passed");
        let ids: Vec<u64> = passed
            .lines()
            .filter_map(|line| line.strip_prefix("id: ").and_then(|id| id.parse().ok()))
            .collect();
        prop_assert_eq!(ids.last().copied(), last_id);
        prop_assert_eq!(ids.len() as u64, last_id.unwrap_or(0));
        prop_assert_eq!(passed.len() + splitter.rest().len(), whole);
    }

    #[test]
    fn what_a_stopping_process_takes_ends_before_the_kill(
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
