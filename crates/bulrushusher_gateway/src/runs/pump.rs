//! Carries a stream from its runner to its caller, and goes on at another runner where it may.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, EventSplitter, NextStep};
use bulrushusher_time::Millis;
use hyper::Response;
use tokio::sync::mpsc::{self, Sender};

use crate::answers::answer::pass_on_stream;
use crate::answers::body::{CutOff, ReplyBody, StreamPart};
use crate::dialect::Dialect;
use crate::placement::tries::{NoRun, Tries};
use crate::runners::router::{Forwarded, Router};
use crate::runs::begin::begin_run;
use crate::runs::carrying::{Progress, RunEnd, carry_run};
use crate::runs::moving;
use crate::runs::run::Run;

/// Parts that wait for a slow caller; the runner is slowed down beyond.
const WAITING_PARTS: usize = 16;

/// A stream that goes on elsewhere waits this long for memory: callers leave after a pause of some
/// four targets.
const RESUME_WAIT: Millis = Millis(1_500);

/// Starts carrying the stream of `run`; returns the answer to the caller.
pub(crate) fn start<D: Dialect>(
    cx: Arc<Router<D>>,
    fwd: Forwarded,
    plan: AttemptPlan,
    run: Run<D>,
) -> Response<ReplyBody> {
    let (tx, rx) = mpsc::channel(WAITING_PARTS);
    let head = run.reply.head.clone();
    tokio::spawn(async move { carry(&cx, &fwd, plan, run, tx).await });
    pass_on_stream(head, ReplyBody::stream(rx))
}

async fn carry<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    mut plan: AttemptPlan,
    mut run: Run<D>,
    tx: Sender<StreamPart>,
) {
    let mut progress = Progress::new(fwd.arrival.resume_after);
    let mut tries = Tries { decodes: vec![run.runner.id.clone()], ..Tries::default() };
    let first_began = run.began;
    loop {
        let runner = run.runner.clone();
        let (began, watch) = (run.began, run.watch.clone());
        let end = carry_run(cx, fwd, &plan, run, &mut progress, &tx).await;
        let took = cx.now().since(began);
        let last = progress.last_event.unwrap_or(0);
        let word = match &end {
            RunEnd::Whole => "whole",
            RunEnd::Moved(_) => "moved",
            RunEnd::CallerGone => "caller_gone",
            RunEnd::TimeOver => "time_over",
            RunEnd::Broken(_) => "broken",
        };
        let cause = if let RunEnd::Broken(cause) = &end { cause.as_str() } else { "" };
        log::info!(
            "stream: run ended id={} runner={} result={word} cause=\"{cause}\" \
             last_event={last} longest_gap_ms={} ms={}",
            fwd.arrival.id,
            runner.id,
            progress.longest_gap.0,
            took.0,
        );
        cx.metrics.attempt("stream", word, took.0 as f64);
        match end {
            RunEnd::Whole => {
                cx.knowledge.record_answer(fwd.digest);
                cx.knowledge.record_run_end(&runner, true);
                let expected = fwd.arrival.size.map_or(0, |size| size.expected());
                let made = last * cx.knowledge.tokens_per_event(&fwd.service);
                let took = cx.now().since(first_began);
                cx.knowledge
                    .with_timing(&fwd.service, |pace| pace.record_generation(took, expected, made));
                return;
            }
            RunEnd::CallerGone => return,
            RunEnd::Moved(moved) => {
                progress.splitter = EventSplitter::default();
                let going_on = moving::resume(cx, fwd, progress.last_event, moved);
                let next = tokio::select! {
                    next = going_on => next,
                    () = tx.closed() => return,
                };
                if let Some(next) = next {
                    run = next;
                    continue;
                }
            }
            RunEnd::TimeOver => break,
            RunEnd::Broken(_) => {
                watch.broke_off(cx, &runner).await;
                cx.knowledge.record_run_end(&runner, false);
            }
        }
        match go_on(cx, fwd, &mut plan, &mut progress, &mut tries, &tx).await {
            Some(next) => run = next,
            None => break,
        }
    }
    // The caller must see that the stream is not whole.
    tx.send(Err(CutOff)).await.ok();
}

/// Looks for another runner that goes on after the last whole event.
async fn go_on<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    plan: &mut AttemptPlan,
    progress: &mut Progress,
    tries: &mut Tries,
    tx: &Sender<StreamPart>,
) -> Option<Run<D>> {
    let mut end = AttemptEnd::Unknown;
    loop {
        match cx.knowledge.next_step(&fwd.service, plan, end) {
            NextStep::Retry => {}
            NextStep::ForwardError | NextStep::Finish(_) => return None,
        }
        progress.splitter = EventSplitter::default();
        let until = resume_until(fwd, cx.now());
        tries.resume_after = progress.last_event;
        let next = begin_run(cx, fwd, tries, until);
        let next = tokio::select! {
            next = next => next,
            () = tx.closed() => return None,
        };
        match next {
            Ok(run) => {
                tries.decodes.push(run.runner.id.clone());
                return Some(run);
            }
            Err(NoRun::Ended(ended, _)) => end = ended,
            Err(_) => return None,
        }
    }
}

/// How long a resumed run may look for memory from `now`.
fn resume_until(fwd: &Forwarded, now: Millis) -> Millis {
    now.plus(RESUME_WAIT).min(fwd.ends)
}
