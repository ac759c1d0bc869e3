//! A plain service that refuses calls and says when to come back, on the own interface.
//!
//! Its answer went to the caller, and the next call went to the service at once: nothing behind it
//! read the time that it had asked for.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Caller, Outcome, Request, RequestKind};
use bulrushusher_standin::load::fresh_key;
use bulrushusher_testbed::{Bed, Deployment};
use bulrushusher_world::Role;
use tokio::task::JoinSet;

const BACKOFF: Duration = Duration::from_secs(2);

/// Calls that may have been on their way, or hold a place, when the first refusal came.
const ON_THEIR_WAY: usize = 2;

fn call(nth: usize) -> Request {
    Request {
        kind: RequestKind::Call { service: "pass-desk".to_owned(), path: "lookup".to_owned() },
        mark: format!("backoff{nth}"),
        key: Some(fresh_key()),
        class: Some("pass-lookup".to_owned()),
        account: None,
        cancel_after: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_is_left_alone_until_it_wants_calls_again() {
    let bed = Bed::start(Deployment::authority(), Policy::Paired, 3).await.unwrap();
    tokio::time::sleep(Duration::from_millis(400)).await;
    let caller = Arc::new(Caller::new(bed.callers()));
    let refusing = bed.runners.iter().find(|it| it.role == Role::Service).unwrap();
    refusing.refuse_for(BACKOFF);
    let mut calls = JoinSet::new();
    for nth in 0..100 {
        let caller = caller.clone();
        calls.spawn(async move { caller.send(&call(nth), nth).await });
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    calls.join_all().await;
    let refused = refusing.refused();
    assert!((1..=1 + ON_THEIR_WAY).contains(&refused), "{refused} calls in its backoff");
    tokio::time::sleep(BACKOFF).await;
    let after = caller.send(&call(100), 0).await;
    assert!(matches!(after, Outcome::Answered { .. }), "{after:?}");
}
