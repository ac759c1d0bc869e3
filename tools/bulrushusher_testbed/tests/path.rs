//! The whole path on real sockets: a short load of both deployments, with every promise kept.

use std::sync::Arc;

use bulrushusher_routing::Policy;
use bulrushusher_testbed::{Deployment, Plan, run};
use bulrushusher_time::Millis;
use tokio::sync::Mutex;

/// One deployment at a time, so that a light load is one.
static ALONE: Mutex<()> = Mutex::const_new(());

fn plan(policy: Policy) -> Plan {
    Plan { seed: 5, length: Millis(1_500), load: 0.3, policy, faults: Vec::new() }
}

async fn all_answered(deployment: Deployment, policy: Policy) {
    let _alone = ALONE.lock().await;
    let (report, _) = run(deployment, &plan(policy), Arc::default()).await.unwrap();
    assert!(report.totals.accepted > 50, "{:?}", report.totals);
    assert_eq!(report.totals.answered, report.totals.accepted, "{:?}", report.causes);
    assert!(report.totals.kept(), "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread")]
async fn naladnik_is_answered_whole() {
    all_answered(Deployment::naladnik(), Policy::Paired).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_authority_is_answered_whole() {
    all_answered(Deployment::authority(), Policy::Paired).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_baseline_is_answered_whole() {
    all_answered(Deployment::naladnik(), Policy::LeastLoaded).await;
}
