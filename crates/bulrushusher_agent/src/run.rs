//! One run of a key, from the order to the engine to the end of its answer.
//!
//! A run is a task of its own: it goes on when a stream to an entry breaks, and stops when nobody
//! wants its answer any more.

use std::sync::Arc;

use bulrushusher_http::{HttpError, LineStream};
use bulrushusher_once::RunStatus;
use bulrushusher_wire::{DecodeRun, RunOrder, Work};
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::agent::Shared;
use crate::answer::{Answer, Ending};
use crate::engine::DecodeEvent;
use crate::prefill::Place;
use crate::{LOG, call};

/// Pause before an engine is asked again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often a lost engine stream is resumed before the run is given up.
const MAX_RESUMES: u32 = 20;

/// How a run came out.
enum Outcome {
    /// The answer is whole.
    Whole,
    /// It certainly did not begin.
    NotBegun(Ending),
    /// It began and was lost.
    Lost(String),
    /// It began, and its engine ended.
    EngineEnded,
}

/// Runs an order that was taken, to the end.
pub(crate) async fn run(shared: Arc<Shared>, order: RunOrder, answer: Arc<Answer>) {
    let _place = Place { desk: &shared.desk, id: order.reservation };
    match &order.work {
        Work::Decode(work) => run_decode(&shared, &order, work, &answer).await,
        Work::Call(work) => call::run(&shared, &order, work, &answer).await,
    }
}

async fn run_decode(shared: &Shared, order: &RunOrder, work: &DecodeRun, answer: &Answer) {
    let run = format!("{}@{}", order.key, order.stream);
    let outcome = tokio::select! {
        outcome = decode(shared, order, work, &run, answer) => Some(outcome),
        () = unwanted(shared, answer) => None,
    };
    match outcome {
        Some(Outcome::Whole) => {
            shared.keys.finish(&order.key, answer.bytes());
            answer.end(Ending::Whole);
        }
        Some(Outcome::NotBegun(ending)) => {
            shared.keys.not_begun(&order.key, &order.ballot);
            answer.end(ending);
        }
        Some(Outcome::Lost(cause)) => {
            log::warn!("{LOG} run {run} lost: {cause}");
            cancel(shared, &run).await;
            shared.keys.end(&order.key, RunStatus::Failed);
            answer.end(Ending::Failed { cause, engine_ended: false });
        }
        Some(Outcome::EngineEnded) => {
            log::warn!("{LOG} run {run} lost: its engine ended and has started again");
            shared.keys.end(&order.key, RunStatus::Failed);
            let cause = "the engine ended".to_owned();
            answer.end(Ending::Failed { cause, engine_ended: true });
        }
        None => {
            log::info!("{LOG} run {run} is wanted by nobody, cancelled");
            shared.keys.end(&order.key, RunStatus::Cancelled);
            cancel(shared, &run).await;
            let cause = "cancelled".to_owned();
            answer.end(Ending::Failed { cause, engine_ended: false });
        }
    }
}

/// Returns once the run was given up, or nobody was known to read it for the orphan bound: also
/// when a connection looks open and its other end is gone.
async fn unwanted(shared: &Shared, answer: &Answer) {
    let orphan = shared.cfg.orphan_timeout.duration();
    let begun = Instant::now();
    loop {
        let changed = answer.streams_changed.notified();
        if answer.is_given_up() {
            return;
        }
        let last_read = answer.last_read().unwrap_or(begun);
        let left = orphan.saturating_sub(last_read.elapsed());
        if left.is_zero() {
            return;
        }
        // Whichever comes first: a stream that opens or closes, or the bound as it is now.
        let _ = timeout(left, changed).await;
    }
}

async fn decode(
    shared: &Shared,
    order: &RunOrder,
    work: &DecodeRun,
    run: &str,
    answer: &Answer,
) -> Outcome {
    let mut stream = match shared.engine.decode(run, order.key.as_str(), work).await {
        Ok(stream) => Some(stream),
        Err(HttpError::Status { status: 410, .. }) => return Outcome::NotBegun(Ending::KvGone),
        Err(e @ (HttpError::Status { status: 429, .. } | HttpError::Connect { .. })) => {
            log::warn!("{LOG} the engine did not take run {run}: {e}");
            return Outcome::NotBegun(Ending::KvGone);
        }
        Err(e) => {
            log::warn!("{LOG} the engine's answer to run {run} was lost: {e}");
            None
        }
    };
    // An engine that took the run and does not know it any more has started again.
    let was_taken = stream.is_some();
    for _ in 0..MAX_RESUMES {
        if let Some(open) = stream.take() {
            match follow(open, answer).await {
                Ok(Some(outcome)) => return outcome,
                Ok(None) => {}
                Err(e) => log::info!("{LOG} run {run} is resumed: {e}"),
            }
        }
        match shared.engine.resume(run, answer.tokens()).await {
            Ok(again) => stream = Some(again),
            Err(HttpError::Status { status: 404, .. }) if was_taken => return Outcome::EngineEnded,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
    Outcome::Lost("the engine lost it".to_owned())
}

/// Reads a stream into the answer; `None` when it ended without an end.
async fn follow(mut stream: LineStream, answer: &Answer) -> Result<Option<Outcome>, HttpError> {
    while let Some(event) = stream.next_message().await? {
        match event {
            DecodeEvent::Beat => {}
            DecodeEvent::Token { n, text } if n == answer.tokens() => answer.push_token(text),
            DecodeEvent::Token { .. } => return Ok(None),
            DecodeEvent::End { tokens } if tokens == answer.tokens() => {
                return Ok(Some(Outcome::Whole));
            }
            DecodeEvent::End { .. } => return Ok(None),
            DecodeEvent::Cancelled => {
                return Ok(Some(Outcome::Lost("the engine cancelled it".to_owned())));
            }
        }
    }
    Ok(None)
}

/// Frees the engine's memory of a run; insists while the engine can be reached.
async fn cancel(shared: &Shared, run: &str) {
    for _ in 0..MAX_RESUMES {
        match shared.engine.cancel(run).await {
            Ok(_) => return,
            Err(e) if e.is_unsent() => return,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
    log::error!("{LOG} run {run} could not be cancelled; look at the engine");
}
