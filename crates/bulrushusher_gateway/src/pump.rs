//! Carries a stream from its runner to its caller, and goes on at another runner where it may.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, EventSplitter, NextStep};
use bulrushusher_time::Millis;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use tokio::sync::mpsc::{self, Sender};

use crate::answer::pass_on_stream;
use crate::begin::begin_run;
use crate::body::{CutOff, ReplyBody, StreamPart};
use crate::dialect::Dialect;
use crate::holds::HeldMemory;
use crate::moving::{self, Moved, Moving};
use crate::router::{Forwarded, Router};
use crate::run::{NoRun, Run, Tries, longest_silence};

/// Parts that wait for a slow caller; the runner is slowed down beyond.
const WAITING_PARTS: usize = 16;

/// A stream that goes on elsewhere waits this long for memory: callers leave after a pause of some
/// four targets.
const RESUME_WAIT: Millis = Millis(1_500);

/// A run that was stopped has its last events on their way; its stream ends within this.
const REST_OF_STOPPED: Millis = Millis(100);

/// How a run ended.
enum RunEnd<D: Dialect> {
    Whole,
    /// It was stopped to go on at another runner.
    Moved(Box<Moved<D>>),
    CallerGone,
    TimeOver,
    Broken(String),
}

/// What the caller has so far.
struct Progress {
    last_event: Option<u64>,
    /// When the last bytes came, and the longest pause since the first ones.
    last_bytes: Option<Millis>,
    longest_gap: Millis,
    /// Pauses in a row that were long for a route with such a target.
    slow_in_row: u32,
    splitter: EventSplitter,
}

/// A pause beyond this share of the route's target for pauses is long: some three times as long as
/// usual, and near enough to being late.
const LONG_PAUSE_SHARE: f64 = 0.5;

/// The same where the route has no target for pauses, or a very short one: some events' time.
const LEAST_STALL: Millis = Millis(150);

/// Long pauses in a row that make a runner a slow one. A prompt that is read or a run that is
/// preempted makes one long pause, and few make two.
const SLOW_PAUSES: u32 = 4;

impl Progress {
    fn new(last_event: Option<u64>) -> Progress {
        Progress {
            last_event,
            last_bytes: None,
            longest_gap: Millis(0),
            slow_in_row: 0,
            splitter: EventSplitter::default(),
        }
    }

    /// Takes in that bytes came; returns their pause, and whether it makes the runner a slow one.
    fn note_bytes(&mut self, gap_target: Millis, now: Millis) -> (Millis, bool) {
        let Some(last) = self.last_bytes.replace(now) else { return (Millis(0), false) };
        let gap = now.since(last);
        self.longest_gap = self.longest_gap.max(gap);
        let is_long = gap.0 as f64 > gap_target.0 as f64 * LONG_PAUSE_SHARE;
        self.slow_in_row = if is_long && gap_target > Millis(0) { self.slow_in_row + 1 } else { 0 };
        (gap, self.slow_in_row == SLOW_PAUSES)
    }
}

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
        let end = carry_run(cx, fwd, &mut plan, run, &mut progress, &tx).await;
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
                cx.knowledge.note_answer(|| fwd.digest());
                cx.knowledge.note_run_end(&runner, true);
                let expected = fwd.arrival.size.map_or(0, |size| size.expected());
                let made = last * cx.knowledge.tokens_per_event(&fwd.service);
                let took = cx.now().since(first_began);
                cx.knowledge
                    .with_pace(&fwd.service, |pace| pace.note_generation(took, expected, made));
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
                cx.knowledge.note_run_end(&runner, false);
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
            NextStep::TryAgain => {}
            NextStep::PassOn | NextStep::Finish(_) => return None,
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

async fn carry_run<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    plan: &mut AttemptPlan,
    run: Run<D>,
    progress: &mut Progress,
    tx: &Sender<StreamPart>,
) -> RunEnd<D> {
    let Run { runner, reply, held, stays_until, _ticket, .. } = run;
    let per_event = cx.knowledge.tokens_per_event(&fwd.service);
    let head = reply.head;
    let mut body = reply.body;
    let has_events = is_event_stream(&head.headers);
    let mut was_silent = false;
    let mut moving = Moving::not_before(stays_until);
    let mut stalls = false;
    let stall_after = stall_after(fwd.route.gap_target).duration();
    let mut quiet_since = cx.now();
    loop {
        let left = fwd.left(cx.now());
        let quiet = cx.now().since(quiet_since);
        let patience = match (moving.is_stopped(), was_silent) {
            (true, _) => REST_OF_STOPPED,
            (false, true) => left,
            (false, false) => longest_silence(fwd).since(quiet).min(left),
        };
        let frame = tokio::select! {
            frame = tokio::time::timeout(patience.duration(), body.frame()) => frame,
            () = tx.closed() => return RunEnd::CallerGone,
            () = moving.progress(|| cx.now()) => continue,
            () = tokio::time::sleep(stall_after), if !stalls => {
                stalls = true;
                held.iter().for_each(HeldMemory::stall);
                continue;
            }
        };
        let bytes = match frame {
            Err(_) if moving.is_stopped() => {
                return stream_ended(cx, moving, "silent after its stop".to_owned()).await;
            }
            Err(_) if patience == left => return RunEnd::TimeOver,
            Err(_) if plan.may_run_again() => {
                return RunEnd::Broken(format!("silent for {}", longest_silence(fwd)));
            }
            Err(_) => {
                cx.knowledge.note_run_end(&runner, false);
                was_silent = true;
                continue;
            }
            Ok(Some(Err(e))) => return stream_ended(cx, moving, e.to_string()).await,
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => bytes,
                Err(_) => continue,
            },
            Ok(None) => {
                let is_whole = progress.splitter.rest().is_empty();
                let cause = "it ended inside an event".to_owned();
                let end = stream_ended(cx, moving, cause).await;
                if !(is_whole && matches!(end, RunEnd::Broken(_))) {
                    return end;
                }
                cx.exchanger.pool().keep(&runner.id, reply.connection, &head.headers);
                return RunEnd::Whole;
            }
        };
        stalls = false;
        quiet_since = cx.now();
        let (pause, is_slow) = progress.note_bytes(fwd.route.gap_target, cx.now());
        cx.knowledge.note_stream_pause(&runner.id, pause);
        if is_slow {
            cx.knowledge.note_run_end(&runner, false);
        }
        let passed = match has_events {
            true => pass_events(progress, &bytes, tx).await,
            false => tx.send(Ok(bytes)).await.is_ok(),
        };
        if !passed {
            return RunEnd::CallerGone;
        }
        if let (Some(held), Some(last)) = (&held, progress.last_event) {
            held.progress(last * per_event);
            moving.look(cx, fwd, held);
        }
    }
}

/// A stream without its end: its run was stopped to move, or it broke.
async fn stream_ended<D: Dialect>(
    cx: &Arc<Router<D>>,
    moving: Moving<D>,
    cause: String,
) -> RunEnd<D> {
    match moving.settle(|| cx.now()).await {
        Some(moved) => RunEnd::Moved(moved),
        None => RunEnd::Broken(cause),
    }
}

/// Time without an event after which a run is taken to make nothing.
fn stall_after(gap_target: Millis) -> Millis {
    Millis((gap_target.0 as f64 * LONG_PAUSE_SHARE) as u64).max(LEAST_STALL)
}

/// How long a resumed run may look for memory from `now`.
fn resume_until(fwd: &Forwarded, now: Millis) -> Millis {
    now.plus(RESUME_WAIT).min(fwd.ends)
}

/// Only events can be cut at their ends; anything else is passed as it comes.
fn is_event_stream(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// Passes the events that are whole; false when the caller is gone.
async fn pass_events(progress: &mut Progress, bytes: &Bytes, tx: &Sender<StreamPart>) -> bool {
    let events = progress.splitter.push(bytes);
    progress.last_event = events.last_id.or(progress.last_event);
    events.bytes.is_empty() || tx.send(Ok(events.bytes)).await.is_ok()
}
