//! Forwards a stream from its runner to its caller, and resumes it at another runner where
//! possible.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, NextStep};
use bulrushusher_time::Millis;
use hyper::Response;
use tokio::sync::mpsc::{self, Sender};

use crate::answers::answer::forward_stream;
use crate::answers::body::{ReplyBody, ResponseAborted, StreamPart};
use crate::dialect::Dialect;
use crate::placement::attempts::{AttemptHistory, RunError};
use crate::runners::framing::BodyFraming;
use crate::runners::router::{ForwardedRequest, Router};
use crate::runs::begin::start_run;
use crate::runs::forward::{RunEnd, StreamProgress, forward_run};
use crate::runs::migration;
use crate::runs::run::Run;

/// Parts that are buffered for a slow caller; a full channel slows down the runner.
const CHANNEL_CAPACITY: usize = 16;

/// Longest wait for memory of a stream that is resumed elsewhere: callers leave after a pause of
/// about four gap targets.
const RESUME_WAIT: Millis = Millis(1_500);

/// Why a stream ends incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GiveUpReason {
    /// The request's deadline passed.
    DeadlinePassed,
    /// No further run is allowed, or the retry budget is used up.
    NoRetry,
    /// Another run failed.
    RunFailed,
    /// No runner has memory for another run, or none can prefill the prompt.
    Unplaced,
    /// The request must not be sent to runners at present.
    Withheld,
    /// The caller disconnected.
    CallerGone,
}

impl GiveUpReason {
    /// The reason's label in the log and in metrics.
    fn label(self) -> &'static str {
        match self {
            GiveUpReason::DeadlinePassed => "deadline_passed",
            GiveUpReason::NoRetry => "no_retry",
            GiveUpReason::RunFailed => "run_failed",
            GiveUpReason::Unplaced => "unplaced",
            GiveUpReason::Withheld => "withheld",
            GiveUpReason::CallerGone => "caller_gone",
        }
    }
}

/// Spawns the task that forwards the stream of `run`; returns the response to the caller.
pub(crate) fn start<D: Dialect>(
    cx: Arc<Router<D>>,
    fwd: ForwardedRequest,
    plan: AttemptPlan,
    run: Run<D>,
) -> Response<ReplyBody> {
    let (tx, rx) = mpsc::channel(CHANNEL_CAPACITY);
    let head = run.reply.head.clone();
    tokio::spawn(async move { forward(&cx, &fwd, plan, run, tx).await });
    forward_stream(head, ReplyBody::stream(rx))
}

async fn forward<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    mut plan: AttemptPlan,
    mut run: Run<D>,
    tx: Sender<StreamPart>,
) {
    let mut progress = StreamProgress::new(fwd.request.resume_after);
    let mut history = AttemptHistory {
        excluded_decodes: vec![run.runner.id.clone()],
        ..AttemptHistory::default()
    };
    let first_start = run.started;
    let reason = loop {
        let runner = run.runner.clone();
        let (started, mut watch) = (run.started, run.watch.clone());
        let framing = BodyFraming::of(&run.reply.head.headers);
        let mut end = forward_run(cx, fwd, &plan, run, &mut progress, &tx).await;
        if let Some(began) = progress.began {
            watch.run_began(began);
        }
        if matches!(end, RunEnd::Complete)
            && framing == BodyFraming::Close
            && !watch.runner_lives(cx, &runner).await
        {
            end = RunEnd::Broken("its runner ended with it".to_owned());
        }
        let took = cx.now().since(started);
        let last = progress.last_event.unwrap_or(0);
        let result = match &end {
            RunEnd::Complete => "whole",
            RunEnd::Migrated(_) => "moved",
            RunEnd::CallerGone => "caller_gone",
            RunEnd::DeadlinePassed => "time_over",
            RunEnd::Broken(_) => "broken",
            RunEnd::Silent(_) => "silent",
        };
        let cause = match &end {
            RunEnd::Broken(cause) | RunEnd::Silent(cause) => cause.as_str(),
            _ => "",
        };
        log::info!(
            "stream: run ended id={} runner={} result={result} cause=\"{cause}\" \
             last_event={last} began_ms={} framing={framing} longest_gap_ms={} ms={}",
            fwd.request.id,
            runner.id,
            progress.began.map_or("never".to_owned(), |at| at.since(started).0.to_string()),
            progress.longest_gap.0,
            took.0,
        );
        cx.metrics.record_attempt("stream", result, took.0 as f64);
        match end {
            RunEnd::Complete => {
                if framing == BodyFraming::Marked {
                    cx.shared.record_sound_run(&fwd.crash_keys);
                }
                cx.shared.record_run_end(&runner, true);
                let expected = fwd.request.size.map_or(0, |size| size.expected());
                let generated = last * cx.shared.tokens_per_event(&fwd.service);
                let took = cx.now().since(first_start);
                cx.shared.with_timing(&fwd.service, |pace| {
                    pace.record_generation(took, expected, generated);
                });
                return;
            }
            RunEnd::CallerGone => return,
            RunEnd::Migrated(moved) => {
                progress.begin_run();
                let resumed = migration::resume(cx, fwd, progress.last_event, moved);
                let next = tokio::select! {
                    next = resumed => next,
                    () = tx.closed() => return,
                };
                if let Some(next) = next {
                    run = next;
                    continue;
                }
            }
            RunEnd::DeadlinePassed => break GiveUpReason::DeadlinePassed,
            RunEnd::Broken(_) => {
                watch.connection_lost(cx, &runner).await;
                cx.shared.record_run_end(&runner, false);
            }
            RunEnd::Silent(_) => cx.shared.record_run_end(&runner, false),
        }
        match resume_elsewhere(cx, fwd, &mut plan, &mut progress, &mut history, &tx).await {
            Ok(next) => run = next,
            Err(reason) => break reason,
        }
    };
    cx.metrics.record_aborted_stream(reason.label());
    log::info!(
        "stream: given up id={} reason={} last_event={} left_ms={}",
        fwd.request.id,
        reason.label(),
        progress.last_event.unwrap_or(0),
        fwd.remaining(cx.now()).0,
    );
    // The caller must see that the stream is incomplete.
    tx.send(Err(ResponseAborted)).await.ok();
}

/// Resumes the stream at another runner after the last complete event.
async fn resume_elsewhere<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    plan: &mut AttemptPlan,
    progress: &mut StreamProgress,
    history: &mut AttemptHistory,
    tx: &Sender<StreamPart>,
) -> Result<Run<D>, GiveUpReason> {
    let mut end = AttemptEnd::Unknown;
    loop {
        match plan.next_step(end, || fwd.arrivals.reserve(1)) {
            NextStep::Retry => {}
            NextStep::ForwardError | NextStep::Finish(_) => return Err(GiveUpReason::NoRetry),
        }
        progress.begin_run();
        let until = placement_deadline(fwd, cx.now());
        history.resume_after = progress.last_event;
        let next = start_run(cx, fwd, history, until);
        let next = tokio::select! {
            next = next => next,
            () = tx.closed() => return Err(GiveUpReason::CallerGone),
        };
        match next {
            Ok(run) => {
                history.excluded_decodes.push(run.runner.id.clone());
                return Ok(run);
            }
            Err(RunError::Ended(ended, _)) => end = ended,
            Err(RunError::Failed(..)) => return Err(GiveUpReason::RunFailed),
            Err(RunError::Unplaced(_)) => return Err(GiveUpReason::Unplaced),
            Err(RunError::Withheld(_)) => return Err(GiveUpReason::Withheld),
        }
    }
}

/// Time until which a resumed run may wait for memory.
fn placement_deadline(fwd: &ForwardedRequest, now: Millis) -> Millis {
    now.plus(RESUME_WAIT).min(fwd.deadline)
}
