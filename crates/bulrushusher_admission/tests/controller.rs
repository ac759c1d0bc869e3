//! Admission control: never more slots in use than configured, no request lost or answered twice,
//! and the earliest deadline served first.

use std::collections::BTreeSet;

use bulrushusher_admission::{
    AdmissionAction, AdmissionConfig, AdmissionController, Grant, Refusal, SlotRequest,
    SlotRequestId,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const CFG: AdmissionConfig = AdmissionConfig { slots: 2, max_queued: 4, time_to_live: Millis(100) };

fn request(id: u64, start_by: u64) -> SlotRequest {
    let (start_by, late_start_by) = (Millis(start_by), Millis(start_by + 2_000));
    SlotRequest { id: SlotRequestId(id), start_by, late_start_by, wait_until: Millis(1_000) }
}

fn granted(actions: &[AdmissionAction]) -> Vec<(SlotRequestId, Grant)> {
    let grant = |a: &AdmissionAction| match a {
        AdmissionAction::Grant(id, grant) => Some((*id, *grant)),
        AdmissionAction::Refuse(..) | AdmissionAction::Expired(_) => None,
    };
    actions.iter().filter_map(grant).collect()
}

#[test]
fn the_earliest_deadline_is_served_first() {
    let mut controller = AdmissionController::new(CFG);
    let first = granted(&controller.request(request(1, 500), Millis(0)))[0].1;
    controller.request(request(2, 500), Millis(0));
    controller.request(request(3, 500), Millis(0));
    controller.request(request(4, 50), Millis(0));
    let next = granted(&controller.release(first.id, Millis(1)));
    assert_eq!(next[0].0, SlotRequestId(4));
}

#[test]
fn a_request_that_missed_its_target_yields_to_one_that_can_meet_its_own() {
    let mut controller = AdmissionController::new(CFG);
    let first = granted(&controller.request(request(1, 900), Millis(0)))[0].1;
    let second = granted(&controller.request(request(2, 900), Millis(0)))[0].1;
    controller.start(first.id, Millis(0)).unwrap();
    controller.start(second.id, Millis(0)).unwrap();
    controller.request(request(3, 100), Millis(0));
    controller.request(request(4, 600), Millis(0));
    // At 500 ms request 3 has missed its target: request 4 is granted first, then request 3.
    assert_eq!(granted(&controller.release(first.id, Millis(500)))[0].0, SlotRequestId(4));
    assert_eq!(granted(&controller.release(second.id, Millis(500)))[0].0, SlotRequestId(3));
}

#[test]
fn a_start_after_the_time_to_live_is_refused() {
    let mut controller = AdmissionController::new(CFG);
    let grant = granted(&controller.request(request(1, 0), Millis(0)))[0].1;
    assert_eq!(controller.start(grant.id, Millis(100)), Err(Refusal::NoReservation));
    assert_eq!(controller.tick(Millis(100)), vec![AdmissionAction::Expired(grant.id)]);
    assert_eq!(controller.used(), 0);
}

#[test]
fn a_reservation_starts_only_once() {
    let mut controller = AdmissionController::new(CFG);
    let grant = granted(&controller.request(request(1, 0), Millis(0)))[0].1;
    assert_eq!(controller.start(grant.id, Millis(1)), Ok(()));
    assert_eq!(controller.start(grant.id, Millis(2)), Err(Refusal::NoReservation));
}

#[test]
fn draining_refuses_new_work_and_keeps_running_work() {
    let mut controller = AdmissionController::new(CFG);
    let grant = granted(&controller.request(request(1, 0), Millis(0)))[0].1;
    controller.start(grant.id, Millis(0)).unwrap();
    controller.request(request(2, 0), Millis(0));
    controller.request(request(3, 0), Millis(0));
    let refused = controller.set_draining(true);
    assert_eq!(refused, vec![AdmissionAction::Refuse(SlotRequestId(3), Refusal::Leaving)]);
    assert_eq!(
        controller.request(request(4, 0), Millis(1)),
        vec![AdmissionAction::Refuse(SlotRequestId(4), Refusal::Leaving)]
    );
    assert_eq!(controller.started(), 1);
}

#[test]
fn a_full_queue_refuses_with_a_retry_delay() {
    let mut controller = AdmissionController::new(CFG);
    for id in 0..6 {
        controller.request(request(id, 0), Millis(0));
    }
    let actions = controller.request(request(9, 0), Millis(0));
    assert!(matches!(
        actions[..],
        [AdmissionAction::Refuse(SlotRequestId(9), Refusal::Full { .. })]
    ));
}

#[derive(Clone, Debug)]
enum Step {
    Request { start_by: u64, wait: u64 },
    Start(usize),
    Release(usize),
    Cancel(u64),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..500u64, 0..300u64).prop_map(|(start_by, wait)| Step::Request { start_by, wait }),
        (0..8usize).prop_map(Step::Start),
        (0..8usize).prop_map(Step::Release),
        (0..40u64).prop_map(Step::Cancel),
        (0..150u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Oracle: every request is in exactly one state: granted, refused, cancelled or queued.
    #[test]
    fn no_request_is_lost_or_answered_twice(steps in prop::collection::vec(step(), 1..80)) {
        let mut controller = AdmissionController::new(CFG);
        let mut now = Millis(0);
        let mut open: BTreeSet<SlotRequestId> = BTreeSet::new();
        let mut grants: Vec<Grant> = Vec::new();
        let mut next = 0;
        for step in steps {
            let actions = match step {
                Step::Request { start_by, wait } => {
                    let id = SlotRequestId(next);
                    next += 1;
                    open.insert(id);
                    let wait_until = now.plus(Millis(wait));
                    let (start_by, late_start_by) = (Millis(start_by), Millis(start_by + 200));
                    controller.request(SlotRequest { id, start_by, late_start_by, wait_until }, now)
                }
                Step::Start(n) => {
                    if let Some(grant) = grants.get(n) {
                        let is_expired = grant.expires_at <= now;
                        let started = controller.start(grant.id, now).is_ok();
                        prop_assert!(!(is_expired && started), "an expired grant was started");
                    }
                    Vec::new()
                }
                Step::Release(n) if n < grants.len() => {
                    controller.release(grants.remove(n).id, now)
                }
                Step::Release(_) => Vec::new(),
                Step::Cancel(n) => {
                    open.remove(&SlotRequestId(n));
                    controller.cancel(SlotRequestId(n), now)
                }
                Step::Wait(ms) => {
                    now = now.plus(Millis(ms));
                    controller.tick(now)
                }
            };
            for action in actions {
                match action {
                    AdmissionAction::Grant(id, grant) => {
                        prop_assert!(open.remove(&id), "request {id} was answered twice");
                        grants.push(grant);
                    }
                    AdmissionAction::Refuse(id, _) => {
                        prop_assert!(open.remove(&id), "request {id} was answered twice");
                    }
                    AdmissionAction::Expired(id) => grants.retain(|grant| grant.id != id),
                }
            }
            prop_assert!(controller.used() <= CFG.slots);
            prop_assert!(controller.queued() <= CFG.max_queued);
            prop_assert_eq!(controller.queued(), open.len(), "a request was lost");
        }
    }
}

/// During a backoff no slot is granted, and a reservation granted before it cannot be started.
#[test]
fn an_endpoint_gets_no_work_during_its_backoff() {
    let mut controller = AdmissionController::new(CFG);
    let grant = granted(&controller.request(request(1, 500), Millis(0)))[0].1;
    controller.back_off(Millis(50), Millis(0));
    controller.back_off(Millis(10), Millis(5));
    assert_eq!(controller.start(grant.id, Millis(20)), Err(Refusal::NoReservation));
    assert!(controller.request(request(2, 500), Millis(20)).is_empty());
    assert!(controller.tick(Millis(49)).is_empty());
    assert_eq!(controller.expected_wait(Millis(30)), Millis(20));
    assert_eq!(granted(&controller.tick(Millis(50))).len(), 1);
}
