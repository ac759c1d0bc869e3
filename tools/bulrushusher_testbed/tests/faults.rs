//! Injects each fault alone under a light load. No guarantee is violated, and faults that the
//! router can mask cause no errors.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Caller, Request, RequestKind};
use bulrushusher_standin::load::fresh_key;
use bulrushusher_testbed::{Deployment, Fault, Plan, Report, Testbed, run};
use bulrushusher_time::Millis;
use tokio::sync::Mutex;

/// Serializes the tests: ten concurrent deployments would compete for the CPU and the load would no
/// longer be light.
static SERIAL: Mutex<()> = Mutex::const_new(());

async fn run_with(fault: Fault) -> Report {
    let _guard = SERIAL.lock().await;
    let (policy, faults) = (Policy::Paired, vec![fault]);
    let plan = Plan { seed: 9, duration: Millis(3_000), load: 0.3, policy, faults };
    let (report, _) = run(Deployment::naladnik(), &plan, Arc::default()).await.unwrap();
    assert!(report.totals.guarantees_hold(), "{fault}: {:?}", report.totals);
    assert!(report.totals.accepted > 100, "{fault}: {:?}", report.totals);
    report
}

/// Runs a fault that the router can mask: no request is refused or has an unknown outcome.
async fn assert_masked(fault: Fault) {
    let report = run_with(fault).await;
    assert_eq!(report.totals.outcome_unknown, 0, "{fault}: {:?}", report.causes);
    assert_eq!(report.totals.refused_not_run, 0, "{fault}: {:?}", report.causes);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_cost_no_answer() {
    assert_masked(Fault::SilentConnection).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_transfers_cost_no_answer() {
    assert_masked(Fault::StalledTransfer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_entry_costs_no_answer() {
    assert_masked(Fault::EntryCrash).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_costs_no_answer() {
    assert_masked(Fault::StoreOutage).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicate_requests_run_once() {
    assert_masked(Fault::DuplicateRequests).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_requests_free_their_memory() {
    let report = run_with(Fault::ClientCancel).await;
    assert!(report.totals.cancelled > 0, "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_breaks_no_promise() {
    run_with(Fault::AgentRestart).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_runner_breaks_no_promise() {
    run_with(Fault::RunnerCrash).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_breaks_no_promise() {
    run_with(Fault::PausedEntry).await;
}

/// An entry that disappears without closing its connections: the agents notice only that its
/// heartbeats stop.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_gone_silently_leaves_no_engine_memory_held() {
    /// Answer length that takes longer than the test waits.
    const ENDLESS_TOKENS: usize = 50_000;
    let _guard = SERIAL.lock().await;
    let deployment = Deployment { orphan_timeout: Millis(1_500), ..Deployment::naladnik() };
    let mut testbed = Testbed::start(deployment, Policy::Paired, 3).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let request = Request {
        kind: RequestKind::Prompt {
            model: "rationale-llm".to_owned(),
            prompt: "a long one #gone".to_owned(),
            max_tokens: ENDLESS_TOKENS,
        },
        mark: "gone".to_owned(),
        key: Some(fresh_key()),
        class: None,
        account: None,
        cancel_after: None,
    };
    let caller = Caller::new(testbed.callers());
    let sent = tokio::spawn(async move { caller.send(&request, 0).await });
    let deadline = tokio::time::Instant::now() + Duration::from_secs(60);
    let wait_for = async |testbed: &Testbed, held: bool| {
        while (testbed.held() > 0) != held {
            assert!(
                tokio::time::Instant::now() < deadline,
                "slots and prefill results held: {}",
                testbed.held()
            );
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    wait_for(&testbed, true).await;
    for runner in &testbed.runners {
        runner.blackhole_open_connections();
    }
    testbed.entries[0].kill();
    sent.abort();
    wait_for(&testbed, false).await;
}
