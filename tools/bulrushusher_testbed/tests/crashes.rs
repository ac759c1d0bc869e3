//! Prompts that end every engine that begins them, on the own interface.
//!
//! A patient request that may be repeated is never given up before its deadline. One that crashes its
//! engines therefore ended one after the other, for as long as its caller waited, and then again with
//! each new key: what it had done was remembered nowhere.

use std::time::Duration;

use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Caller, Outcome, Request, RequestKind};
use bulrushusher_standin::engine::Faults;
use bulrushusher_standin::load::fresh_key;
use bulrushusher_testbed::{Bed, Deployment};

/// The mark of the prompt that crashes engines.
const MARK: &str = "crash";

/// Engines that may end before it is sure what ends them, at each of the entries.
const ENDED_UNTIL_SURE: u64 = 3;

/// How long a caller waits for a prompt that is not served.
const PATIENCE: Duration = Duration::from_secs(15);

fn call(mark: &str) -> Request {
    Request {
        kind: RequestKind::Prompt {
            model: "guide-llm".to_owned(),
            prompt: format!("the south coast #{mark}"),
            max_tokens: 5,
        },
        mark: mark.to_owned(),
        key: Some(fresh_key()),
        class: Some("summary".to_owned()),
        account: None,
        cancel_after: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_crashes_its_engines_is_stopped() {
    let deployment = Deployment::authority();
    let bed = Bed::start(deployment, Policy::Paired, 3).await.unwrap();
    let entries = bed.callers().len() as u64;
    let faults = Faults { crashes_on: Some(MARK), ..Faults::default() };
    bed.runners.iter().for_each(|runner| runner.set_faults(faults));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let caller = Caller::new(bed.callers());
    for entry in 0..2 * bed.callers().len() {
        let _ = tokio::time::timeout(PATIENCE, caller.send(&call(MARK), entry)).await;
    }
    let crashes: u64 = bed.counts().iter().map(|counts| counts.crashes).sum();
    assert!(crashes <= ENDED_UNTIL_SURE * entries, "{crashes} engines ended");
    let other = caller.send(&call("other"), 0).await;
    assert!(matches!(other, Outcome::Answered { .. }), "another prompt is served: {other:?}");
}
