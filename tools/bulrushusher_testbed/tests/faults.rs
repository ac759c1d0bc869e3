//! Each fault alone under a light load: every promise is kept, and nothing is given up that need not
//! be.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Caller, Request, RequestKind};
use bulrushusher_standin::load::fresh_key;
use bulrushusher_testbed::{Bed, Deployment, Fault, Plan, Report, run};
use bulrushusher_time::Millis;
use tokio::sync::Mutex;

/// One deployment at a time: ten at once would take each other's processor, and a light load would
/// be none.
static ALONE: Mutex<()> = Mutex::const_new(());

async fn under(fault: Fault) -> Report {
    let _alone = ALONE.lock().await;
    let (policy, faults) = (Policy::Paired, vec![fault]);
    let plan = Plan { seed: 9, length: Millis(3_000), load: 0.3, policy, faults };
    let (report, _) = run(Deployment::naladnik(), &plan, Arc::default()).await.unwrap();
    assert!(report.totals.kept(), "{fault}: {:?}", report.totals);
    assert!(report.totals.accepted > 100, "{fault}: {:?}", report.totals);
    report
}

/// Under these, every request can be answered, and must be.
async fn all_answered_under(fault: Fault) {
    let report = under(fault).await;
    assert_eq!(report.totals.outcome_unknown, 0, "{fault}: {:?}", report.causes);
    assert_eq!(report.totals.refused_not_run, 0, "{fault}: {:?}", report.causes);
}

#[tokio::test(flavor = "multi_thread")]
async fn silent_connections_cost_no_answer() {
    all_answered_under(Fault::SilentConnection).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stalled_transfers_cost_no_answer() {
    all_answered_under(Fault::StalledTransfer).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_entry_costs_no_answer() {
    all_answered_under(Fault::EntryCrash).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_outage_costs_no_answer() {
    all_answered_under(Fault::StoreOutage).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn duplicate_requests_run_once() {
    all_answered_under(Fault::DuplicateRequests).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_requests_free_their_memory() {
    let report = under(Fault::ClientCancel).await;
    assert!(report.totals.cancelled > 0, "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_breaks_no_promise() {
    under(Fault::AgentRestart).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crashed_runner_breaks_no_promise() {
    under(Fault::RunnerCrash).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_entry_breaks_no_promise() {
    under(Fault::PausedEntry).await;
}

/// An entry that is gone without its connections being closed: the agents see nothing but that its
/// heartbeats stop.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_gone_silently_leaves_no_engine_memory_held() {
    const FOREVER: usize = 50_000;
    let _alone = ALONE.lock().await;
    let deployment = Deployment { orphan: Millis(1_500), ..Deployment::naladnik() };
    let mut bed = Bed::start(deployment, Policy::Paired, 3).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let call = Request {
        kind: RequestKind::Prompt {
            model: "rationale-llm".to_owned(),
            prompt: "a long one #gone".to_owned(),
            max_tokens: FOREVER,
        },
        mark: "gone".to_owned(),
        key: Some(fresh_key()),
        class: None,
        account: None,
        cancel_after: None,
    };
    let caller = Caller::new(bed.callers());
    let sent = tokio::spawn(async move { caller.send(&call, 0).await });
    let end = tokio::time::Instant::now() + Duration::from_secs(60);
    let wait_for = async |bed: &Bed, held: bool| {
        while (bed.held() > 0) != held {
            assert!(tokio::time::Instant::now() < end, "held: {}", bed.held());
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    wait_for(&bed, true).await;
    for runner in &bed.runners {
        runner.silence();
    }
    bed.entries[0].kill();
    sent.abort();
    wait_for(&bed, false).await;
}
