//! A prompt that crashes every engine that starts it, sent through the entries' HTTP API.
//!
//! A patient idempotent request is retried until its deadline. Unless the entries record which
//! prompts crash engines, such a request crashes one engine after another for as long as its caller
//! waits, and again with each new request key.

use std::time::Duration;

use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Caller, Outcome, Request, RequestKind};
use bulrushusher_standin::engine::Faults;
use bulrushusher_standin::load::fresh_key;
use bulrushusher_testbed::{Deployment, Testbed};

/// Mark of the prompt that crashes engines.
const CRASH_MARK: &str = "crash";

/// Crashes that an entry may cause before it attributes them to the prompt.
const MAX_CRASHES_PER_ENTRY: u64 = 3;

/// Crashes that an entry may cause before it attributes them to a block that prompts share.
const MAX_CRASHES_PER_BLOCK: u64 = 5;

/// How long the caller waits for the answer to the crashing prompt.
const CALLER_TIMEOUT: Duration = Duration::from_secs(15);

fn request(mark: &str) -> Request {
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
    let testbed = Testbed::start(deployment, Policy::Paired, 3).await.unwrap();
    let entries = testbed.callers().len() as u64;
    let faults = Faults { crashes_on: Some(CRASH_MARK), ..Faults::default() };
    testbed.runners.iter().for_each(|runner| runner.set_faults(faults));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let caller = Caller::new(testbed.callers());
    for entry in 0..2 * testbed.callers().len() {
        let _ =
            tokio::time::timeout(CALLER_TIMEOUT, caller.send(&request(CRASH_MARK), entry)).await;
    }
    let crashes: u64 = testbed.counts().iter().map(|counts| counts.crashes).sum();
    assert!(crashes <= MAX_CRASHES_PER_ENTRY * entries, "{crashes} engine crashes");
    let other = caller.send(&request("other"), 0).await;
    assert!(matches!(other, Outcome::Answered { .. }), "another prompt is served: {other:?}");
}

/// Size of a prompt block in an entry.
const BLOCK: usize = 1_024;

/// A prompt unlike all others that shares its first two blocks with those of the same `middle`.
fn long_request(mark: &str, middle: char, own: usize) -> Request {
    let blocks = "a".repeat(BLOCK) + &middle.to_string().repeat(BLOCK);
    let prompt = format!("{blocks} number {own} #{mark}");
    let kind = RequestKind::Prompt { model: "guide-llm".to_owned(), prompt, max_tokens: 5 };
    Request { kind, ..request(mark) }
}

/// Guards against prompts that share the block on which engines crash and differ in the rest: each was
/// new to the quarantine.
#[tokio::test(flavor = "multi_thread")]
async fn a_block_that_crashes_engines_is_stopped() {
    let testbed = Testbed::start(Deployment::authority(), Policy::Paired, 5).await.unwrap();
    let entries = testbed.callers().len();
    let faults = Faults { crashes_on: Some(CRASH_MARK), ..Faults::default() };
    testbed.runners.iter().for_each(|runner| runner.set_faults(faults));
    tokio::time::sleep(Duration::from_millis(400)).await;
    let caller = Caller::new(testbed.callers());
    for own in 0..5 * entries {
        let crashing = long_request(CRASH_MARK, 'x', own);
        let _ = tokio::time::timeout(CALLER_TIMEOUT, caller.send(&crashing, own)).await;
        // It shares the first block.
        let other = caller.send(&long_request("other", 'y', own), own).await;
        assert!(matches!(other, Outcome::Answered { .. }), "{other:?}");
    }
    let crashes: u64 = testbed.counts().iter().map(|counts| counts.crashes).sum();
    println!("{crashes} engine crashes at {entries} entries");
    assert!(crashes <= MAX_CRASHES_PER_BLOCK * entries as u64, "{crashes} engine crashes");
}
