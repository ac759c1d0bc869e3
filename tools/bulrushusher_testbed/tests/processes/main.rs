//! The programs as separate processes, killed, frozen, cut off; the engines' own counts are the
//! oracle. Every process is started and ended by its own id.

mod fleet;

use bulrushusher_operator::v1;
use bulrushusher_standin::caller::{Outcome, Request};
use bulrushusher_standin::store::StoreFaults;
use bulrushusher_time::Millis;
use fleet::{Fleet, prompt};
use tokio::task::JoinHandle;

const LONG: usize = 150;
/// Longer than a test waits: such an answer ends only by being cancelled.
const ENDLESS: usize = 20_000;

fn send(fleet: &Fleet, call: &Request, entry: usize) -> JoinHandle<Outcome> {
    let (caller, call) = (fleet.caller(), call.clone());
    tokio::spawn(async move { caller.send(&call, entry).await })
}

fn key(call: &Request) -> &str {
    call.key.as_deref().expect("the call has a key")
}

fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { .. })
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_mid_answer_costs_nothing() {
    let mut fleet = Fleet::start("entry-killed").await;
    let call = prompt("killed", LONG);
    let sent = send(&fleet, &call, 0);
    fleet.wait_decoding().await;
    fleet.entries[0].kill();
    // The caller sends the key again at the other entry, and attaches there.
    let outcome = sent.await.unwrap();
    assert!(is_answered(&outcome), "{outcome:?}");
    assert_eq!(fleet.runs(key(&call)).await, 1);
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_mid_decode_is_told_as_unknown_and_frees_the_engine() {
    let mut fleet = Fleet::start("agent-killed").await;
    let call = prompt("forgot", ENDLESS);
    let sent = send(&fleet, &call, 0);
    let at = fleet.wait_decoding().await;
    fleet.decode_agents[at].kill();
    fleet.decode_agents[at].restart();
    let outcome = sent.await.unwrap();
    let Outcome::Refused { run, .. } = &outcome else { panic!("{outcome:?}") };
    assert_eq!(run, "outcome_unknown");
    // The same key again: still not run a second time.
    let again = send(&fleet, &call, 1).await.unwrap();
    assert!(!is_answered(&again), "{again:?}");
    assert_eq!(fleet.runs(key(&call)).await, 1);
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_killed_mid_decode_is_told_at_once() {
    let mut fleet = Fleet::start("engine-killed").await;
    let call = prompt("dead", LONG);
    let sent = send(&fleet, &call, 0);
    let at = fleet.wait_decoding().await;
    // The first stand-in also plays the store and the prefill engine.
    fleet.standins[at].kill();
    let outcome = sent.await.unwrap();
    let Outcome::Refused { run, .. } = &outcome else { panic!("{outcome:?}") };
    assert_ne!(run, "not_run");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_frozen_beyond_every_time_to_live_runs_nothing_twice() {
    let fleet = Fleet::start("entry-frozen").await;
    let calls: Vec<Request> = (0..12).map(|n| prompt(&format!("frozen{n}"), 30)).collect();
    let first: Vec<_> = calls.iter().map(|call| send(&fleet, call, 0)).collect();
    fleet.entries[0].freeze();
    // The same keys at the other entry, while the first one stands still.
    let second: Vec<_> = calls.iter().map(|call| send(&fleet, call, 1)).collect();
    tokio::time::sleep(std::time::Duration::from_millis(3_000)).await;
    fleet.entries[0].thaw();
    for sent in first.into_iter().chain(second) {
        let outcome = sent.await.unwrap();
        assert!(is_answered(&outcome), "{outcome:?}");
    }
    for call in &calls {
        assert_eq!(fleet.runs(key(call)).await, 1);
    }
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_store_being_down_changes_nothing_for_callers() {
    let fleet = Fleet::start("store-down").await;
    let outage = StoreFaults { outage: true, lose_replies: 0, slow: Millis(0) };
    fleet.set_store_faults(outage).await;
    let call = prompt("outage", 20);
    let outcome = send(&fleet, &call, 0).await.unwrap();
    assert!(is_answered(&outcome), "{outcome:?}");
    let mut operator = fleet.operator(0).await;
    let drain = v1::DrainRequest { name: "decode-1".to_owned(), drain: true };
    let refused = operator.drain_endpoint(drain.clone()).await.unwrap_err();
    assert_eq!(refused.code(), tonic::Code::Unavailable, "{refused}");
    fleet.set_store_faults(StoreFaults::default()).await;
    let revision = operator.drain_endpoint(drain).await.unwrap().into_inner().revision;
    fleet.wait_status(1, |status| status.revision >= revision).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reply_lost_by_the_store_is_settled() {
    let fleet = Fleet::start("reply-lost").await;
    let lossy = StoreFaults { outage: false, lose_replies: 1, slow: Millis(0) };
    fleet.set_store_faults(lossy).await;
    let mut operator = fleet.operator(0).await;
    let drain = v1::DrainRequest { name: "decode-1".to_owned(), drain: true };
    let reply = operator.drain_endpoint(drain).await.unwrap().into_inner();
    assert_eq!(reply.version, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_endpoint_gets_no_new_work_and_finishes_what_it_has() {
    let fleet = Fleet::start("drained").await;
    let call = prompt("drain", LONG);
    let sent = send(&fleet, &call, 0);
    let at = fleet.wait_decoding().await;
    let mut operator = fleet.operator(0).await;
    let drain = v1::DrainRequest { name: format!("decode-{at}"), drain: true };
    let revision = operator.drain_endpoint(drain).await.unwrap().into_inner().revision;
    for entry in 0..2 {
        fleet.wait_status(entry, |status| status.revision >= revision).await;
    }
    let before = fleet.counts(fleet.engines[at]).await.keys.len();
    for n in 0..8 {
        let outcome = send(&fleet, &prompt(&format!("after{n}"), 5), n).await.unwrap();
        assert!(is_answered(&outcome), "{outcome:?}");
    }
    let after = fleet.counts(fleet.engines[at]).await.keys.len();
    assert_eq!(after, before, "the drained engine got new work");
    let outcome = sent.await.unwrap();
    assert!(is_answered(&outcome), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_nothing_in_flight() {
    let mut fleet = Fleet::start("graceful").await;
    let calls: Vec<Request> = (0..10).map(|n| prompt(&format!("grace{n}"), 100)).collect();
    // Each caller knows one entry only, so that being cut off would be seen.
    let sent: Vec<_> = calls
        .iter()
        .enumerate()
        .map(|(n, call)| {
            let caller = bulrushusher_standin::caller::Caller::new(vec![fleet.callers[n % 2]]);
            let call = call.clone();
            tokio::spawn(async move { caller.send(&call, 0).await })
        })
        .collect();
    let at = fleet.wait_decoding().await;
    fleet.entries[0].terminate();
    fleet.decode_agents[at].terminate();
    for sent in sent {
        let outcome = sent.await.unwrap();
        let refused_unrun = matches!(&outcome, Outcome::Refused { run, .. } if run == "not_run");
        // A request that came after the signal may be refused, as not run; none is cut off.
        assert!(is_answered(&outcome) || refused_unrun, "{outcome:?}");
    }
    for call in &calls {
        assert!(fleet.runs(key(call)).await <= 1);
    }
    assert_eq!(fleet.entries[0].ended().await.code(), Some(0));
    assert_eq!(fleet.decode_agents[at].ended().await.code(), Some(0));
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_the_engine() {
    let fleet = Fleet::start("cancel").await;
    let call = Request { cancel_after: Some(3), ..prompt("gone", ENDLESS) };
    let outcome = send(&fleet, &call, 0).await.unwrap();
    assert_eq!(outcome, Outcome::Cancelled);
    fleet.wait_released().await;
}
