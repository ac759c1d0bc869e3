//! The gate never holds more than its places, never loses an ask, and serves the most urgent first.

use std::collections::BTreeSet;

use bulrushusher_admission::{Ask, AskId, Gate, GateAction, GateConfig, Grant, Refusal};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CFG: GateConfig = GateConfig { places: 2, queue_bound: 4, time_to_live: Millis(100) };

fn ask(id: u64, start_by: u64) -> Ask {
    let (start_by, late_by) = (Millis(start_by), Millis(start_by + 2_000));
    Ask { id: AskId(id), start_by, late_by, give_up: Millis(1_000) }
}

fn granted(actions: &[GateAction]) -> Vec<(AskId, Grant)> {
    let grant = |a: &GateAction| match a {
        GateAction::Grant(ask, grant) => Some((*ask, *grant)),
        GateAction::Refuse(..) | GateAction::Lapsed(_) => None,
    };
    actions.iter().filter_map(grant).collect()
}

#[test]
fn the_most_urgent_is_served_first() {
    let mut gate = Gate::new(CFG);
    let first = granted(&gate.ask(ask(1, 500), Millis(0)))[0].1;
    gate.ask(ask(2, 500), Millis(0));
    gate.ask(ask(3, 500), Millis(0));
    gate.ask(ask(4, 50), Millis(0));
    let next = granted(&gate.finish(first.id, Millis(1)));
    assert_eq!(next[0].0, AskId(4));
}

#[test]
fn what_missed_its_target_yields_to_what_can_meet_its_own() {
    let mut gate = Gate::new(CFG);
    let first = granted(&gate.ask(ask(1, 900), Millis(0)))[0].1;
    let second = granted(&gate.ask(ask(2, 900), Millis(0)))[0].1;
    gate.start(first.id, Millis(0)).unwrap();
    gate.start(second.id, Millis(0)).unwrap();
    gate.ask(ask(3, 100), Millis(0));
    gate.ask(ask(4, 600), Millis(0));
    // At 500, ask 3 is late: ask 4 goes first, then ask 3.
    assert_eq!(granted(&gate.finish(first.id, Millis(500)))[0].0, AskId(4));
    assert_eq!(granted(&gate.finish(second.id, Millis(500)))[0].0, AskId(3));
}

#[test]
fn an_order_after_the_time_to_live_is_refused() {
    let mut gate = Gate::new(CFG);
    let grant = granted(&gate.ask(ask(1, 0), Millis(0)))[0].1;
    assert_eq!(gate.start(grant.id, Millis(100)), Err(Refusal::NoReservation));
    assert_eq!(gate.tick(Millis(100)), vec![GateAction::Lapsed(grant.id)]);
    assert_eq!(gate.used(), 0);
}

#[test]
fn a_grant_starts_once() {
    let mut gate = Gate::new(CFG);
    let grant = granted(&gate.ask(ask(1, 0), Millis(0)))[0].1;
    assert_eq!(gate.start(grant.id, Millis(1)), Ok(()));
    assert_eq!(gate.start(grant.id, Millis(2)), Err(Refusal::NoReservation));
}

#[test]
fn leaving_refuses_new_work_and_keeps_what_runs() {
    let mut gate = Gate::new(CFG);
    let grant = granted(&gate.ask(ask(1, 0), Millis(0)))[0].1;
    gate.start(grant.id, Millis(0)).unwrap();
    gate.ask(ask(2, 0), Millis(0));
    gate.ask(ask(3, 0), Millis(0));
    let refused = gate.set_leaving(true);
    assert_eq!(refused, vec![GateAction::Refuse(AskId(3), Refusal::Leaving)]);
    assert_eq!(
        gate.ask(ask(4, 0), Millis(1)),
        vec![GateAction::Refuse(AskId(4), Refusal::Leaving)]
    );
    assert_eq!(gate.started(), 1);
}

#[test]
fn a_full_queue_refuses_with_a_time_to_come_back() {
    let mut gate = Gate::new(CFG);
    for id in 0..6 {
        gate.ask(ask(id, 0), Millis(0));
    }
    let actions = gate.ask(ask(9, 0), Millis(0));
    assert!(matches!(actions[..], [GateAction::Refuse(AskId(9), Refusal::Full { .. })]));
}

#[derive(Clone, Debug)]
enum Step {
    Ask { start_by: u64, wait: u64 },
    Start(usize),
    Finish(usize),
    Withdraw(u64),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..500u64, 0..300u64).prop_map(|(start_by, wait)| Step::Ask { start_by, wait }),
        (0..8usize).prop_map(Step::Start),
        (0..8usize).prop_map(Step::Finish),
        (0..40u64).prop_map(Step::Withdraw),
        (0..150u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Oracle: every ask is granted, refused, withdrawn or waiting; never two of these.
    #[test]
    fn no_ask_is_lost_or_answered_twice(steps in prop::collection::vec(step(), 1..80)) {
        let mut gate = Gate::new(CFG);
        let mut now = Millis(0);
        let mut open: BTreeSet<AskId> = BTreeSet::new();
        let mut grants: Vec<Grant> = Vec::new();
        let mut next = 0;
        for step in steps {
            let actions = match step {
                Step::Ask { start_by, wait } => {
                    let id = AskId(next);
                    next += 1;
                    open.insert(id);
                    let give_up = now.plus(Millis(wait));
                    let (start_by, late_by) = (Millis(start_by), Millis(start_by + 200));
                    gate.ask(Ask { id, start_by, late_by, give_up }, now)
                }
                Step::Start(n) => {
                    if let Some(grant) = grants.get(n) {
                        let lapsed = grant.lapses <= now;
                        let started = gate.start(grant.id, now).is_ok();
                        prop_assert!(!(lapsed && started), "a lapsed grant started");
                    }
                    Vec::new()
                }
                Step::Finish(n) if n < grants.len() => gate.finish(grants.remove(n).id, now),
                Step::Finish(_) => Vec::new(),
                Step::Withdraw(n) => {
                    open.remove(&AskId(n));
                    gate.withdraw(AskId(n), now)
                }
                Step::Pass(ms) => {
                    now = now.plus(Millis(ms));
                    gate.tick(now)
                }
            };
            for action in actions {
                match action {
                    GateAction::Grant(ask, grant) => {
                        prop_assert!(open.remove(&ask), "{ask} answered twice");
                        grants.push(grant);
                    }
                    GateAction::Refuse(ask, _) => {
                        prop_assert!(open.remove(&ask), "{ask} answered twice");
                    }
                    GateAction::Lapsed(id) => grants.retain(|g| g.id != id),
                }
            }
            prop_assert!(gate.used() <= CFG.places);
            prop_assert!(gate.waiting() <= CFG.queue_bound);
            prop_assert_eq!(gate.waiting(), open.len(), "an ask was lost");
        }
    }
}

/// Nothing is granted in a backoff, and what was granted before does not begin in it.
#[test]
fn an_endpoint_that_asks_for_a_backoff_gets_no_work() {
    let mut gate = Gate::new(CFG);
    let grant = granted(&gate.ask(ask(1, 500), Millis(0)))[0].1;
    gate.back_off(Millis(50), Millis(0));
    gate.back_off(Millis(10), Millis(5));
    assert_eq!(gate.start(grant.id, Millis(20)), Err(Refusal::NoReservation));
    assert!(gate.ask(ask(2, 500), Millis(20)).is_empty());
    assert!(gate.tick(Millis(49)).is_empty());
    assert_eq!(gate.expected_wait(Millis(30)), Millis(20));
    assert_eq!(granted(&gate.tick(Millis(50))).len(), 1);
}
