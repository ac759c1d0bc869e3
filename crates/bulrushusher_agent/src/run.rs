//! Runs of keys, from the order to the end of the answer.
//!
//! Each run is a separate task. It continues when the stream to an entry breaks, and stops when no
//! entry needs its answer any more.

use std::sync::Arc;

use bulrushusher_http::{HttpError, LineStream};
use bulrushusher_once::RunStatus;
use bulrushusher_wire::{DecodeRun, RunOrder, Work};
use tokio::time::{Duration, Instant, sleep, timeout};

use crate::agent::Shared;
use crate::answer::{Answer, Ending};
use crate::engine::DecodeEvent;
use crate::prefill::SlotGuard;
use crate::{LOG, call};

/// Pause before a call to the engine is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Attempts to resume a broken engine stream before the run counts as lost.
const MAX_RESUMES: u32 = 20;

/// Result of a run.
enum Outcome {
    /// The answer is complete.
    Complete,
    /// It certainly did not start.
    NotStarted(Ending),
    /// It started and was lost, for this cause.
    Lost(String),
    /// It started, and the engine process ended.
    EngineEnded,
}

/// Executes an accepted order to the end.
pub(crate) async fn run(shared: Arc<Shared>, order: RunOrder, answer: Arc<Answer>) {
    let _slot = SlotGuard { slots: &shared.slots, id: order.reservation };
    match &order.work {
        Work::Decode(work) => run_decode(&shared, &order, work, &answer).await,
        Work::Call(work) => call::run(&shared, &order, work, &answer).await,
    }
}

async fn run_decode(shared: &Shared, order: &RunOrder, work: &DecodeRun, answer: &Answer) {
    let run = format!("{}@{}", order.key, order.stream);
    let outcome = tokio::select! {
        outcome = decode(shared, order, work, &run, answer) => Some(outcome),
        () = abandoned(shared, answer) => None,
    };
    match outcome {
        Some(Outcome::Complete) => {
            shared.keys.finish(&order.key, answer.bytes());
            answer.end(Ending::Complete);
        }
        Some(Outcome::NotStarted(ending)) => {
            shared.keys.undo_start(&order.key, &order.ballot);
            answer.end(ending);
        }
        Some(Outcome::Lost(cause)) => {
            log::warn!("{LOG} run {run} lost: {cause}");
            cancel(shared, &run).await;
            shared.keys.end(&order.key, RunStatus::Failed);
            answer.end(Ending::Failed { cause, engine_ended: false });
        }
        Some(Outcome::EngineEnded) => {
            log::warn!("{LOG} run {run} lost: its engine ended and was restarted");
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

/// Returns once the run is abandoned, or no entry was known to read it for the orphan timeout. The
/// latter covers connections that still look open although the other end is gone.
async fn abandoned(shared: &Shared, answer: &Answer) {
    let orphan_timeout = shared.cfg.orphan_timeout.duration();
    let started_at = Instant::now();
    loop {
        let changed = answer.streams_changed.notified();
        if answer.is_abandoned() {
            return;
        }
        let last_read = answer.last_read().unwrap_or(started_at);
        let remaining = orphan_timeout.saturating_sub(last_read.elapsed());
        if remaining.is_zero() {
            return;
        }
        // A stream that opens or closes may change the remaining time.
        let _ = timeout(remaining, changed).await;
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
        Err(HttpError::Status { status: 410, .. }) => {
            return Outcome::NotStarted(Ending::NotExecuted);
        }
        Err(e @ (HttpError::Status { status: 429, .. } | HttpError::Connect { .. })) => {
            log::warn!("{LOG} the engine did not accept run {run}: {e}");
            return Outcome::NotStarted(Ending::NotExecuted);
        }
        Err(e) => {
            log::warn!("{LOG} no response of the engine to run {run}, resuming it: {e}");
            None
        }
    };
    // If the engine accepted the run and later has no record of it, the engine was restarted.
    let was_accepted = stream.is_some();
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
            Err(HttpError::Status { status: 404, .. }) if was_accepted => {
                return Outcome::EngineEnded;
            }
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
    Outcome::Lost("the engine stream could not be resumed".to_owned())
}

/// Reads a stream into the answer; `None` if it closed before its last event or skipped a token.
async fn follow(mut stream: LineStream, answer: &Answer) -> Result<Option<Outcome>, HttpError> {
    while let Some(event) = stream.next_message().await? {
        match event {
            DecodeEvent::Beat => {}
            DecodeEvent::Token { n, text } if n == answer.tokens() => answer.push_token(text),
            DecodeEvent::Token { .. } => return Ok(None),
            DecodeEvent::End { tokens } if tokens == answer.tokens() => {
                return Ok(Some(Outcome::Complete));
            }
            DecodeEvent::End { .. } => return Ok(None),
            DecodeEvent::Cancelled => {
                return Ok(Some(Outcome::Lost("the engine cancelled the run".to_owned())));
            }
        }
    }
    Ok(None)
}

/// Cancels a run at the engine, which frees its memory. Retries while the engine is reachable.
async fn cancel(shared: &Shared, run: &str) {
    for _ in 0..MAX_RESUMES {
        match shared.engine.cancel_run(run).await {
            Ok(_) => return,
            Err(e) if e.is_unsent() => return,
            Err(_) => sleep(RETRY_PAUSE).await,
        }
    }
    log::error!(
        "{LOG} run {run} could not be cancelled; check whether the engine still holds its memory"
    );
}
