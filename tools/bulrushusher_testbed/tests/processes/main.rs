//! Runs the programs as separate processes that are killed, suspended or cut off from the store.
//! The stand-ins' counters are the oracle. Each process is signalled by its own process ID.

mod fleet;

use bulrushusher_operator::v1;
use bulrushusher_standin::caller::{Outcome, Request};
use bulrushusher_standin::store::StoreFaults;
use bulrushusher_time::Millis;
use fleet::{Fleet, prompt};
use tokio::task::JoinHandle;

const LONG_TOKENS: usize = 150;
/// Answer length that takes longer than a test waits: the run ends only when it is cancelled.
const ENDLESS_TOKENS: usize = 20_000;

fn send(fleet: &Fleet, request: &Request, entry: usize) -> JoinHandle<Outcome> {
    let (caller, request) = (fleet.caller(), request.clone());
    tokio::spawn(async move { caller.send(&request, entry).await })
}

fn key(request: &Request) -> &str {
    request.key.as_deref().expect("the request has a key")
}

fn is_answered(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Answered { .. })
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_killed_mid_answer_costs_nothing() {
    let mut fleet = Fleet::start("entry-killed").await;
    let request = prompt("killed", LONG_TOKENS);
    let sent = send(&fleet, &request, 0);
    fleet.wait_decoding().await;
    fleet.entries[0].kill();
    // The caller retries with the same key at the other entry, which attaches to the run.
    let outcome = sent.await.unwrap();
    assert!(is_answered(&outcome), "{outcome:?}");
    assert_eq!(fleet.runs(key(&request)).await, 1);
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_agent_killed_mid_decode_gives_an_unknown_outcome_and_frees_the_engine() {
    let mut fleet = Fleet::start("agent-killed").await;
    let request = prompt("forgot", ENDLESS_TOKENS);
    let sent = send(&fleet, &request, 0);
    let at = fleet.wait_decoding().await;
    fleet.decode_agents[at].kill();
    fleet.decode_agents[at].restart();
    let outcome = sent.await.unwrap();
    let Outcome::Refused { run, .. } = &outcome else { panic!("{outcome:?}") };
    assert_eq!(run, "outcome_unknown");
    // A retry with the same key doesn't run the request a second time.
    let again = send(&fleet, &request, 1).await.unwrap();
    assert!(!is_answered(&again), "{again:?}");
    assert_eq!(fleet.runs(key(&request)).await, 1);
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_killed_mid_decode_is_reported_at_once() {
    let mut fleet = Fleet::start("engine-killed").await;
    let request = prompt("dead", LONG_TOKENS);
    let sent = send(&fleet, &request, 0);
    let at = fleet.wait_decoding().await;
    // The first stand-in process also runs the store and the prefill engine.
    fleet.standins[at].kill();
    let outcome = sent.await.unwrap();
    let Outcome::Refused { run, .. } = &outcome else { panic!("{outcome:?}") };
    assert_ne!(run, "not_run");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_frozen_beyond_every_time_to_live_runs_nothing_twice() {
    let fleet = Fleet::start("entry-frozen").await;
    let requests: Vec<Request> = (0..12).map(|n| prompt(&format!("frozen{n}"), 30)).collect();
    let first: Vec<_> = requests.iter().map(|request| send(&fleet, request, 0)).collect();
    fleet.entries[0].suspend();
    // Sends the same keys to the other entry while the first one is suspended.
    let second: Vec<_> = requests.iter().map(|request| send(&fleet, request, 1)).collect();
    tokio::time::sleep(std::time::Duration::from_millis(3_000)).await;
    fleet.entries[0].resume();
    for sent in first.into_iter().chain(second) {
        let outcome = sent.await.unwrap();
        assert!(is_answered(&outcome), "{outcome:?}");
    }
    for request in &requests {
        assert_eq!(fleet.runs(key(request)).await, 1);
    }
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_store_being_down_changes_nothing_for_callers() {
    let fleet = Fleet::start("store-down").await;
    let outage = StoreFaults { outage: true, lose_replies: 0, slow: Millis(0) };
    fleet.set_store_faults(outage).await;
    let request = prompt("outage", 20);
    let outcome = send(&fleet, &request, 0).await.unwrap();
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
    let request = prompt("drain", LONG_TOKENS);
    let sent = send(&fleet, &request, 0);
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
    assert_eq!(after, before, "the drained engine got new requests");
    let outcome = sent.await.unwrap();
    assert!(is_answered(&outcome), "{outcome:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_cuts_nothing_in_flight() {
    let mut fleet = Fleet::start("graceful").await;
    let requests: Vec<Request> = (0..10).map(|n| prompt(&format!("grace{n}"), 100)).collect();
    // Each caller uses only one entry, so that a retry elsewhere can't mask a broken connection.
    let sent: Vec<_> = requests
        .iter()
        .enumerate()
        .map(|(n, request)| {
            let caller = bulrushusher_standin::caller::Caller::new(vec![fleet.callers[n % 2]]);
            let request = request.clone();
            tokio::spawn(async move { caller.send(&request, 0).await })
        })
        .collect();
    let at = fleet.wait_decoding().await;
    fleet.entries[0].terminate();
    fleet.decode_agents[at].terminate();
    for sent in sent {
        let outcome = sent.await.unwrap();
        let refused_not_run = matches!(&outcome, Outcome::Refused { run, .. } if run == "not_run");
        // A request that arrives after the signal may be refused as not run; none is interrupted.
        assert!(is_answered(&outcome) || refused_not_run, "{outcome:?}");
    }
    for request in &requests {
        assert!(fleet.runs(key(request)).await <= 1);
    }
    assert_eq!(fleet.entries[0].wait_exit().await.code(), Some(0));
    assert_eq!(fleet.decode_agents[at].wait_exit().await.code(), Some(0));
    fleet.wait_released().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_goes_away_frees_the_engine() {
    let fleet = Fleet::start("cancel").await;
    let request = Request { cancel_after: Some(3), ..prompt("gone", ENDLESS_TOKENS) };
    let outcome = send(&fleet, &request, 0).await.unwrap();
    assert_eq!(outcome, Outcome::Cancelled);
    fleet.wait_released().await;
}
