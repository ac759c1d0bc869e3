//! End-to-end test on real sockets: under a short load of each deployment, every request is
//! answered and no guarantee is violated.

use std::sync::Arc;

use bulrushusher_routing::Policy;
use bulrushusher_testbed::{Deployment, Plan, run};
use bulrushusher_time::Millis;
use tokio::sync::Mutex;

/// Serializes the tests: concurrent deployments would compete for the CPU and the load would no
/// longer be light.
static SERIAL: Mutex<()> = Mutex::const_new(());

fn plan(policy: Policy) -> Plan {
    Plan { seed: 5, duration: Millis(1_500), load: 0.3, policy, faults: Vec::new() }
}

async fn assert_all_answered(deployment: Deployment, policy: Policy) {
    let _guard = SERIAL.lock().await;
    let (report, _) = run(deployment, &plan(policy), Arc::default()).await.unwrap();
    assert!(report.totals.accepted > 50, "{:?}", report.totals);
    assert_eq!(report.totals.answered, report.totals.accepted, "{:?}", report.causes);
    assert!(report.totals.guarantees_hold(), "{:?}", report.totals);
}

#[tokio::test(flavor = "multi_thread")]
async fn naladnik_is_answered_whole() {
    assert_all_answered(Deployment::naladnik(), Policy::Paired).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_authority_is_answered_whole() {
    assert_all_answered(Deployment::authority(), Policy::Paired).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_baseline_is_answered_whole() {
    assert_all_answered(Deployment::naladnik(), Policy::LeastLoaded).await;
}
