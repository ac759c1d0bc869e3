//! Carries the stream of one run to its caller, up to the run's end.

use std::sync::Arc;

use bulrushusher_forward::{AttemptPlan, EventSplitter, Runner};
use bulrushusher_time::Millis;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use tokio::sync::mpsc::Sender;

use crate::answers::body::StreamPart;
use crate::dialect::Dialect;
use crate::placement::holds::HeldMemory;
use crate::runners::exchange::Reply;
use crate::runners::router::{Forwarded, Router};
use crate::runs::moving::{Moved, Moving};
use crate::runs::run::{Run, longest_silence};

/// A run that was stopped has its last events on their way; its stream ends within this.
const REST_OF_STOPPED: Millis = Millis(100);

/// How a run ended.
pub(crate) enum RunEnd<D: Dialect> {
    Whole,
    /// It was stopped to go on at another runner.
    Moved(Box<Moved<D>>),
    CallerGone,
    TimeOver,
    Broken(String),
}

/// What the caller has so far.
pub(crate) struct Progress {
    pub last_event: Option<u64>,
    /// When the last bytes came, and the longest pause since the first ones.
    last_bytes: Option<Millis>,
    pub longest_gap: Millis,
    /// Pauses in a row that were long for a route with such a target.
    slow_in_row: u32,
    pub splitter: EventSplitter,
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
    pub(crate) fn new(last_event: Option<u64>) -> Progress {
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

/// What came of waiting for the stream.
enum Heard {
    Bytes(Bytes),
    /// Something that carries no bytes, or a step of a move.
    Nothing,
    /// The end of the body.
    End,
    /// The connection broke.
    Broke(String),
    /// Nothing for as long as that run may be silent, or, with `time_is_over`, for all the time left.
    Silence {
        time_is_over: bool,
    },
    CallerGone,
}

/// One run on its way to its caller.
struct Carried<'a, D: Dialect> {
    cx: &'a Arc<Router<D>>,
    fwd: &'a Forwarded,
    tx: &'a Sender<StreamPart>,
    runner: Runner,
    held: Option<HeldMemory<D>>,
    moving: Moving<D>,
    tokens_per_event: u64,
    /// True once it was silent for longer than a run should be.
    was_silent: bool,
    /// True while it makes nothing.
    stalls: bool,
    quiet_since: Millis,
}

/// Carries the stream of `run` until the run ends, one way or another.
pub(crate) async fn carry_run<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    plan: &AttemptPlan,
    run: Run<D>,
    progress: &mut Progress,
    tx: &Sender<StreamPart>,
) -> RunEnd<D> {
    let Run { runner, reply, held, stays_until, _ticket, .. } = run;
    let Reply { head, mut body, connection, .. } = reply;
    let has_events = is_event_stream(&head.headers);
    let moving = Moving::not_before(stays_until);
    let mut carried = Carried {
        cx,
        fwd,
        tx,
        runner,
        held,
        moving,
        tokens_per_event: cx.knowledge.tokens_per_event(&fwd.service),
        was_silent: false,
        stalls: false,
        quiet_since: cx.now(),
    };
    loop {
        match carried.hear(&mut body).await {
            Heard::Nothing => {}
            Heard::CallerGone => return RunEnd::CallerGone,
            Heard::Broke(cause) => return carried.end_without_end(cause).await,
            Heard::Silence { .. } if carried.moving.is_stopped() => {
                return carried.end_without_end("silent after its stop".to_owned()).await;
            }
            Heard::Silence { time_is_over: true } => return RunEnd::TimeOver,
            Heard::Silence { .. } if plan.may_run_again() => {
                return RunEnd::Broken(format!("silent for {}", longest_silence(fwd)));
            }
            Heard::Silence { .. } => carried.note_silence(),
            Heard::Bytes(bytes) => {
                if !carried.pass(bytes, has_events, progress).await {
                    return RunEnd::CallerGone;
                }
            }
            Heard::End => {
                let is_whole = progress.splitter.rest().is_empty();
                let runner = carried.runner.id.clone();
                let end = carried.end_without_end("it ended inside an event".to_owned()).await;
                if !(is_whole && matches!(end, RunEnd::Broken(_))) {
                    return end;
                }
                cx.exchanger.pool().keep(&runner, connection, &head.headers);
                return RunEnd::Whole;
            }
        }
    }
}

impl<D: Dialect> Carried<'_, D> {
    /// Waits for the next part of the stream.
    async fn hear(&mut self, body: &mut Incoming) -> Heard {
        let now = self.cx.now();
        let left = self.fwd.left(now);
        let quiet = now.since(self.quiet_since);
        let patience = match (self.moving.is_stopped(), self.was_silent) {
            (true, _) => REST_OF_STOPPED,
            (false, true) => left,
            (false, false) => longest_silence(self.fwd).since(quiet).min(left),
        };
        let stall_after = stall_after(self.fwd.route.gap_target).duration();
        let frame = tokio::select! {
            frame = tokio::time::timeout(patience.duration(), body.frame()) => frame,
            () = self.tx.closed() => return Heard::CallerGone,
            () = self.moving.progress(|| self.cx.now()) => return Heard::Nothing,
            () = tokio::time::sleep(stall_after), if !self.stalls => {
                self.stalls = true;
                self.held.iter().for_each(HeldMemory::stall);
                return Heard::Nothing;
            }
        };
        match frame {
            Err(_) => Heard::Silence { time_is_over: patience == left },
            Ok(None) => Heard::End,
            Ok(Some(Err(e))) => Heard::Broke(e.to_string()),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => Heard::Bytes(bytes),
                // Trailers; runners send none that matter.
                Err(_) => Heard::Nothing,
            },
        }
    }

    /// It may not go on elsewhere, so that it is waited for; others should not meet the runner too.
    fn note_silence(&mut self) {
        self.cx.knowledge.record_run_end(&self.runner, false);
        self.was_silent = true;
    }

    /// Passes bytes on to the caller; false when it is gone.
    async fn pass(&mut self, bytes: Bytes, has_events: bool, progress: &mut Progress) -> bool {
        let cx = self.cx;
        self.stalls = false;
        self.quiet_since = cx.now();
        let (pause, is_slow) = progress.note_bytes(self.fwd.route.gap_target, cx.now());
        cx.knowledge.record_stream_pause(&self.runner.id, pause);
        if is_slow {
            cx.knowledge.record_run_end(&self.runner, false);
        }
        let passed = match has_events {
            true => pass_events(progress, &bytes, self.tx).await,
            false => self.tx.send(Ok(bytes)).await.is_ok(),
        };
        if let (true, Some(held), Some(last)) = (passed, &self.held, progress.last_event) {
            held.progress(last * self.tokens_per_event);
            self.moving.look(cx, self.fwd, held);
        }
        passed
    }

    /// The stream came to no end of its own: its run was stopped to move, or it broke.
    async fn end_without_end(self, cause: String) -> RunEnd<D> {
        match self.moving.settle(|| self.cx.now()).await {
            Some(moved) => RunEnd::Moved(moved),
            None => RunEnd::Broken(cause),
        }
    }
}

/// Time without an event after which a run is taken to make nothing.
fn stall_after(gap_target: Millis) -> Millis {
    gap_target.share(LONG_PAUSE_SHARE).max(LEAST_STALL)
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
