//! A plain service that rejects calls with a `retry-after` header, called through the entries' HTTP
//! API.
//!
//! Guards against forwarding the rejection to the caller without honouring the delay, so that the
//! next call goes to the service at once.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Caller, Outcome, Request, RequestKind};
use bulrushusher_standin::load::fresh_key;
use bulrushusher_testbed::{Deployment, Testbed};
use bulrushusher_world::Role;
use tokio::task::JoinSet;

const BACKOFF: Duration = Duration::from_secs(2);

/// Calls that may be in flight, or hold a slot, at the time of the first rejection.
const MAX_IN_FLIGHT: usize = 2;

fn request(number: usize) -> Request {
    Request {
        kind: RequestKind::Call { service: "pass-desk".to_owned(), path: "lookup".to_owned() },
        mark: format!("backoff{number}"),
        key: Some(fresh_key()),
        class: Some("pass-lookup".to_owned()),
        account: None,
        cancel_after: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_gets_no_calls_during_its_backoff() {
    let testbed = Testbed::start(Deployment::authority(), Policy::Paired, 3).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let caller = Arc::new(Caller::new(testbed.callers()));
    let service = testbed.runners.iter().find(|runner| runner.role == Role::Service).unwrap();
    service.reject_for(BACKOFF);
    let mut calls = JoinSet::new();
    for number in 0..100 {
        let caller = caller.clone();
        calls.spawn(async move { caller.send(&request(number), number).await });
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    calls.join_all().await;
    let rejected = service.rejected_calls();
    assert!((1..=1 + MAX_IN_FLIGHT).contains(&rejected), "{rejected} calls during the backoff");
    tokio::time::sleep(BACKOFF).await;
    let after = caller.send(&request(100), 0).await;
    assert!(matches!(after, Outcome::Answered { .. }), "{after:?}");
}
