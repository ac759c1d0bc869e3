//! Forwards a stream from its runner to its caller, and resumes it at another runner where
//! possible.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, NextStep, tokens_in_events};
use bulrushusher_time::Millis;
use hyper::Response;
use tokio::sync::mpsc::{self, Sender};

use crate::answers::answer::forward_stream;
use crate::answers::body::{ReplyBody, ResponseAborted, StreamEnd, StreamPart};
use crate::dialect::Dialect;
use crate::placement::attempts::{AttemptHistory, RunError};
use crate::runners::crashes::{JudgedResponse, RunnerVerdict, VerdictGap};
use crate::runners::framing::BodyFraming;
use crate::runners::router::{ForwardedRequest, Router};
use crate::runs::begin::{TAKEOVER_TIMEOUT, start_run};
use crate::runs::forward::{RunEnd, RunOrigin, RunStream, StreamProgress};
use crate::runs::migration;
use crate::runs::run::Run;

/// Parts that are buffered for a slow caller; a full channel slows down the runner.
const CHANNEL_CAPACITY: usize = 16;

/// Longest wait for memory of a stream that is resumed elsewhere.
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
    let end = StreamEnd::default();
    let mark = end.clone();
    tokio::spawn(async move {
        let progress = StreamProgress::new(fwd.request.resume_after);
        let task = StreamTask {
            cx: &cx,
            fwd: &fwd,
            tx: &tx,
            plan,
            progress,
            history: AttemptHistory::default(),
            first_start: run.started,
            may_migrate: true,
        };
        task.forward(run).await;
        mark.mark();
    });
    forward_stream(head, ReplyBody::stream(rx, end))
}

/// A stream on its way to its caller, over one run or several in turn.
struct StreamTask<'a, D: Dialect> {
    cx: &'a Arc<Router<D>>,
    fwd: &'a ForwardedRequest,
    tx: &'a Sender<StreamPart>,
    plan: AttemptPlan,
    progress: StreamProgress,
    history: AttemptHistory,
    first_start: Millis,
    /// False once a run may have been stopped without an answer: the call may still stop a run that
    /// returns to its runner.
    may_migrate: bool,
}

impl<'a, D: Dialect> StreamTask<'a, D> {
    /// Forwards the stream of `run`, and of the runs that go on after it, to the end.
    async fn forward(mut self, run: Run<D>) {
        let mut stream = self.stream_of(run);
        let reason = loop {
            match self.forward_run(stream).await {
                StreamStep::Ended => return,
                StreamStep::Next(next) => stream = *next,
                StreamStep::Resume => {
                    let resumed = self.resume_elsewhere().await;
                    // A failed migration leaves what it reserved to this resume.
                    self.fwd.arrivals.release();
                    match resumed {
                        Ok(run) => stream = self.stream_of(run),
                        Err(reason) => break reason,
                    }
                }
                StreamStep::GiveUp(reason) => break reason,
            }
        };
        self.cx.metrics.record_aborted_stream(reason.label());
        log::info!(
            "stream: given up id={} reason={} last_event={} left_ms={}",
            self.fwd.request.id,
            reason.label(),
            self.progress.last_event.unwrap_or(0),
            self.fwd.remaining(self.cx.now()).0,
        );
        // The caller must see that the stream is incomplete.
        self.tx.send(Err(ResponseAborted)).await.ok();
    }

    /// The stream of a run, whose runner is not tried again for this request.
    fn stream_of(&mut self, run: Run<D>) -> RunStream<'a, D> {
        self.history.excluded_decodes.push(run.runner.id.clone());
        let migrate_after = if self.may_migrate { run.migrate_after } else { Millis::MAX };
        let run = Run { migrate_after, ..run };
        RunStream::new(self.cx, self.fwd, run, self.tx, self.progress.last_event)
    }

    /// Forwards the stream of one run until it ends or another run has taken it over.
    async fn forward_run(&mut self, mut stream: RunStream<'a, D>) -> StreamStep<'a, D> {
        let mut end = loop {
            match stream.forward(&mut self.progress).await {
                RunEnd::Silent => {}
                end => break end,
            }
            if let Some(next) = self.take_over(&mut stream).await {
                self.record_end(
                    &stream.into_origin(),
                    "silent",
                    "silent, and another run has begun",
                );
                self.progress.begin_run();
                return StreamStep::Next(Box::new(next));
            }
        };
        let mut origin = stream.into_origin();
        if let Some(began) = self.progress.began {
            origin.watch.run_began(began);
        }
        if matches!(end, RunEnd::Complete) && origin.framing == BodyFraming::Close {
            let (whole, remaining) = (JudgedResponse::Success, self.fwd.remaining(self.cx.now()));
            let verdict =
                origin.watch.connection_ended(self.cx, &origin.runner, whole, remaining).await;
            end = match verdict {
                RunnerVerdict::Lives => RunEnd::Complete,
                RunnerVerdict::Ended(sign) => RunEnd::RunnerEnded(sign),
                RunnerVerdict::Unknown(gap) => RunEnd::Unconfirmed(gap),
            };
        }
        self.record_end(&origin, end.label(), end.cause());
        self.after_end(&origin, end).await
    }

    /// Logs and counts the end of a run.
    fn record_end(&self, origin: &RunOrigin, result: &'static str, cause: &str) {
        let took = self.cx.now().since(origin.started);
        let began = self.progress.began;
        log::info!(
            "stream: run ended id={} runner={} result={result} cause=\"{cause}\" \
             last_event={} began_ms={} framing={} longest_gap_ms={} ms={}",
            self.fwd.request.id,
            origin.runner.id,
            self.progress.last_event.unwrap_or(0),
            began.map_or("never".to_owned(), |at| at.since(origin.started).0.to_string()),
            origin.framing,
            self.progress.longest_gap.0,
            took.0,
        );
        self.cx.metrics.record_attempt("stream", result, took.0 as f64);
    }

    /// What follows the end of a run.
    async fn after_end(&mut self, origin: &RunOrigin, end: RunEnd<D>) -> StreamStep<'a, D> {
        match end {
            RunEnd::Complete => {
                self.record_complete(origin);
                StreamStep::Ended
            }
            RunEnd::CallerGone => StreamStep::Ended,
            RunEnd::Migrated(moved) => {
                let (cx, fwd, last_event) = (self.cx, self.fwd, self.progress.last_event);
                self.go_on_with(migration::resume(cx, fwd, last_event, moved)).await
            }
            RunEnd::MaybeStopped(moved, _) => {
                self.may_migrate = false;
                // The runner may have crashed instead.
                origin.watch.connection_lost(self.cx, &origin.runner).await;
                let (cx, fwd, last_event) = (self.cx, self.fwd, self.progress.last_event);
                self.go_on_with(migration::resume_at_copy(cx, fwd, last_event, moved)).await
            }
            RunEnd::DeadlinePassed => StreamStep::GiveUp(GiveUpReason::DeadlinePassed),
            RunEnd::Broken(_) => {
                origin.watch.connection_lost(self.cx, &origin.runner).await;
                if !origin.is_failure_recorded {
                    self.cx.shared.record_run_end(&origin.runner, false);
                }
                StreamStep::Resume
            }
            RunEnd::RunnerEnded(_) | RunEnd::Unconfirmed(VerdictGap::NoResponse(_)) => {
                self.cx.shared.record_run_end(&origin.runner, false);
                self.progress.may_be_whole = true;
                StreamStep::Resume
            }
            // The runner was not asked, which says nothing about its health.
            RunEnd::Unconfirmed(VerdictGap::NotProbed(_)) => {
                self.progress.may_be_whole = true;
                StreamStep::Resume
            }
            RunEnd::Silent => StreamStep::Resume,
        }
    }

    /// Goes on with a migrated run once it is resumed.
    async fn go_on_with(
        &mut self,
        resumed: impl Future<Output = Option<Run<D>>>,
    ) -> StreamStep<'a, D> {
        self.progress.begin_run();
        let next = tokio::select! {
            next = resumed => next,
            () = self.tx.closed() => return StreamStep::Ended,
        };
        next.map_or(StreamStep::Resume, |run| StreamStep::Next(Box::new(self.stream_of(run))))
    }

    fn record_complete(&self, origin: &RunOrigin) {
        let (shared, fwd) = (&self.cx.shared, self.fwd);
        if origin.framing == BodyFraming::Marked {
            shared.record_sound_run(&fwd.crash_keys);
        }
        shared.record_run_end(&origin.runner, true);
        // The events before a caller's own `Last-Event-Id` took another response's time, if any.
        if fwd.request.resume_after.is_some() {
            return;
        }
        let expected = fwd.request.size.map_or(0, |size| size.expected());
        let per_event = shared.tokens_per_event(&fwd.service);
        let generated = tokens_in_events(self.progress.last_event.unwrap_or(0), per_event);
        let took = self.cx.now().since(self.first_start);
        shared.with_timing(&fwd.service, |pace| pace.record_generation(took, expected, generated));
    }

    /// Starts another run to take over from one that is silent, which is kept until the other one has
    /// begun. Returns `None` if it went on, or if no other one has begun.
    async fn take_over(&mut self, stream: &mut RunStream<'a, D>) -> Option<RunStream<'a, D>> {
        let after = self.plan.takeover(|| self.fwd.arrivals.reserve(1))?;
        let last_event = self.progress.last_event;
        self.history.resume_after = last_event;
        self.history.is_takeover = true;
        let until = placement_deadline(self.fwd, self.cx.now());
        let retries = self.fwd.arrivals.retries();
        let (cx, fwd, tx, history) = (self.cx, self.fwd, self.tx, &mut self.history);
        let may_migrate = self.may_migrate && !stream.may_stop();
        let starting = async {
            let run = start_run(cx, fwd, history, until).await?;
            history.excluded_decodes.push(run.runner.id.clone());
            let migrate_after = if may_migrate { run.migrate_after } else { Millis::MAX };
            let max_wait = TAKEOVER_TIMEOUT.since(cx.now().since(run.started));
            let run = Run { migrate_after, ..run };
            let mut next = RunStream::new(cx, fwd, run, tx, last_event);
            match next.has_begun_within(max_wait).await {
                true => Ok(next),
                false => Err(RunError::Ended(AttemptEnd::Unknown, "the other run has not begun")),
            }
        };
        let started = stream.await_replacement(starting).await;
        self.history.is_takeover = false;
        let outcome = match &started {
            None => "the run went on",
            Some(Ok(_)) => "taken over",
            Some(Err(RunError::Ended(_, reason))) => reason,
            Some(Err(RunError::Failed(..))) => "the other run failed",
            Some(Err(RunError::Unplaced(reason))) => reason,
            Some(Err(RunError::Withheld(withheld))) => withheld.reason,
        };
        log::info!(
            "stream: run is silent id={} runner={} outcome=\"{outcome}\" last_event={}",
            self.fwd.request.id,
            stream.origin.runner.id,
            self.progress.last_event.unwrap_or(0),
        );
        // What is left of the budget for it is for others, unless the present run may have been stopped.
        if matches!(started, Some(Ok(_))) || !stream.may_stop() {
            self.fwd.arrivals.release();
        }
        let end = match started {
            Some(Ok(next)) => {
                self.plan = after;
                self.may_migrate = may_migrate;
                return Some(next);
            }
            Some(Err(RunError::Ended(end, _))) => end,
            Some(Err(RunError::Failed(..))) => AttemptEnd::RunFailed,
            // The prompt was prefilled, or the run was sent.
            None if self.fwd.arrivals.retries() > retries => AttemptEnd::Unknown,
            Some(Err(_)) if self.fwd.arrivals.retries() > retries => AttemptEnd::NotRun,
            None | Some(Err(RunError::Unplaced(_) | RunError::Withheld(_))) => return None,
        };
        self.plan.record_failed_takeover(end);
        None
    }

    /// Resumes the stream at another runner after the last complete event.
    async fn resume_elsewhere(&mut self) -> Result<Run<D>, GiveUpReason> {
        let mut end = AttemptEnd::Unknown;
        loop {
            match self.plan.next_step(end, || self.fwd.arrivals.reserve(1)) {
                NextStep::Retry => {}
                NextStep::ForwardError | NextStep::Finish(_) => return Err(GiveUpReason::NoRetry),
            }
            self.progress.begin_run();
            let until = placement_deadline(self.fwd, self.cx.now());
            self.history.resume_after = self.progress.last_event;
            self.history.may_follow = self.plan.may_follow_next();
            let next = start_run(self.cx, self.fwd, &mut self.history, until);
            let next = tokio::select! {
                next = next => next,
                () = self.tx.closed() => return Err(GiveUpReason::CallerGone),
            };
            match next {
                Ok(run) => return Ok(run),
                Err(RunError::Ended(ended, _)) => end = ended,
                Err(RunError::Failed(..)) => return Err(GiveUpReason::RunFailed),
                Err(RunError::Unplaced(_)) => return Err(GiveUpReason::Unplaced),
                Err(RunError::Withheld(_)) => return Err(GiveUpReason::Withheld),
            }
        }
    }
}

/// What follows the stream of a run.
enum StreamStep<'a, D: Dialect> {
    /// Nothing: the caller has the whole stream, or is gone.
    Ended,
    /// This run goes on.
    Next(Box<RunStream<'a, D>>),
    /// The stream is resumed at another runner, if one may run it.
    Resume,
    /// The stream ends incomplete.
    GiveUp(GiveUpReason),
}

/// Time until which a resumed run may wait for memory.
fn placement_deadline(fwd: &ForwardedRequest, now: Millis) -> Millis {
    now.plus(RESUME_WAIT).min(fwd.deadline)
}
