//! Forwards the stream of one run to its caller until the run ends.

use std::sync::Arc;

use bulrushusher_forward::{
    CompleteEvents, EventReader, InvalidEvent, LongGaps, PaceMeter, Runner, tokens_in_events,
};
use bulrushusher_time::Millis;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::http::response;
use tokio::sync::mpsc::Sender;

use crate::answers::body::StreamPart;
use crate::dialect::Dialect;
use crate::placement::holds::MemoryHold;
use crate::runners::crashes::{CrashWatch, VerdictGap};
use crate::runners::exchange::Reply;
use crate::runners::framing::BodyFraming;
use crate::runners::pool::RunnerConnection;
use crate::runners::router::{ForwardedRequest, LoadGuard, Router};
use crate::runs::migration::{MigratedRun, Migration};
use crate::runs::run::{Run, silence_timeout};

/// Time within which the stream of a stopped run ends; its last events are still in flight.
const STOPPED_DRAIN_TIMEOUT: Millis = Millis(100);

/// Factor by which a silence must have grown before another runner is asked once more to take over.
const TAKEOVER_BACKOFF: f64 = 1.25;

/// How a run ended, or why its stream is not forwarded at present.
pub(crate) enum RunEnd<D: Dialect> {
    /// The stream ended after a complete event.
    Complete,
    /// The run was stopped to be resumed at another runner.
    Migrated(Box<MigratedRun<D>>),
    /// The stream ended without a mark of its end, for the given reason, and the run may have been
    /// stopped to be resumed at another runner.
    MaybeStopped(Box<MigratedRun<D>>, String),
    /// The caller disconnected.
    CallerGone,
    /// The request's deadline passed.
    DeadlinePassed,
    /// The stream ended after a complete event, but with its runner, for which this is the evidence.
    RunnerEnded(Arc<str>),
    /// The stream ended with its connection after a complete event, and nothing shows that its runner
    /// lives on.
    Unconfirmed(VerdictGap),
    /// The stream broke off, for the given reason.
    Broken(String),
    /// The runner has been silent for too long. Its run may still go on, so the stream is kept.
    Silent,
}

impl<D: Dialect> RunEnd<D> {
    /// Its label in the log and in metrics.
    pub(crate) fn label(&self) -> &'static str {
        match self {
            RunEnd::Complete => "whole",
            RunEnd::Migrated(_) => "moved",
            RunEnd::MaybeStopped(..) => "maybe_stopped",
            RunEnd::CallerGone => "caller_gone",
            RunEnd::DeadlinePassed => "time_over",
            RunEnd::RunnerEnded(_) => "runner_ended",
            RunEnd::Unconfirmed(_) => "unconfirmed",
            RunEnd::Broken(_) => "broken",
            RunEnd::Silent => "silent",
        }
    }

    /// Why the stream is incomplete; empty if the label tells.
    pub(crate) fn cause(&self) -> &str {
        match self {
            RunEnd::Broken(cause) | RunEnd::MaybeStopped(_, cause) => cause,
            RunEnd::RunnerEnded(sign) => sign,
            RunEnd::Unconfirmed(gap) => gap.cause(),
            _ => "",
        }
    }
}

/// How much of the stream the caller has received.
pub(crate) struct StreamProgress {
    /// Id of the last event that was forwarded.
    pub last_event: Option<u64>,
    /// When the first event of the present run arrived.
    pub began: Option<Millis>,
    /// True if the stream so far may be whole: the last run ended after a complete event, but its
    /// runner is not known to live. A run that goes on may have nothing left to send then.
    pub may_be_whole: bool,
    /// When the last events arrived.
    last_events: Option<Millis>,
    /// The longest gap since the first events.
    pub longest_gap: Millis,
    long_gaps: LongGaps,
}

/// Share of the route's gap target after which a run without events counts as stalled: about three
/// times the usual gap.
const STALL_SHARE: f64 = 0.5;

/// Lower bound of the stall timeout, for routes that have no gap target or a very short one; about
/// the time of some events.
const MIN_STALL_TIMEOUT: Millis = Millis(150);

impl StreamProgress {
    pub(crate) fn new(last_event: Option<u64>) -> StreamProgress {
        StreamProgress {
            last_event,
            began: None,
            may_be_whole: false,
            last_events: None,
            longest_gap: Millis(0),
            long_gaps: LongGaps::default(),
        }
    }

    /// Prepares for the events of another run.
    pub(crate) fn begin_run(&mut self) {
        self.began = None;
    }

    /// Records that events arrived; returns the gap before them, and whether the runner now counts
    /// as slow.
    fn record_events(
        &mut self,
        gap_target: Millis,
        is_uneven: impl FnOnce() -> bool,
        now: Millis,
    ) -> (Millis, bool) {
        self.may_be_whole = false;
        let Some(last) = self.last_events.replace(now) else { return (Millis(0), false) };
        let gap = now.since(last);
        self.longest_gap = self.longest_gap.max(gap);
        (gap, self.long_gaps.record(gap, gap_target, is_uneven))
    }
}

/// Result of waiting for the next part of a stream.
enum StreamEvent {
    /// Complete events.
    Events(CompleteEvents),
    /// Bytes that complete no event, a frame without data, or progress of a migration.
    Nothing,
    /// The end of the body.
    End,
    /// The connection broke, or what arrives on it is no event stream.
    Broken(String),
    /// The silence timeout passed; with `at_deadline`, the request's deadline.
    Silence {
        at_deadline: bool,
    },
    CallerGone,
}

/// What is needed of a run once its stream has ended.
pub(crate) struct RunOrigin {
    pub runner: Runner,
    pub started: Millis,
    pub watch: CrashWatch,
    pub framing: BodyFraming,
    /// True once the run counts against its runner.
    pub is_failure_recorded: bool,
}

/// The stream of one run to its caller.
pub(crate) struct RunStream<'a, D: Dialect> {
    cx: &'a Arc<Router<D>>,
    fwd: &'a ForwardedRequest,
    tx: &'a Sender<StreamPart>,
    pub origin: RunOrigin,
    head: response::Parts,
    body: Incoming,
    /// The connection to the runner until the stream is complete.
    connection: Option<RunnerConnection>,
    held: Option<MemoryHold<D>>,
    migration: Migration<D>,
    tokens_per_event: u64,
    pace: PaceMeter,
    /// Decides which bytes of the run are events of the caller's stream.
    reader: EventReader,
    /// An event that arrived while a replacement of the run was prepared.
    pending: Option<StreamEvent>,
    /// Silence after which the stream counts as silent, once more if it did before.
    next_silence: Millis,
    /// True since the stream counted as silent, until its next event.
    was_silent: bool,
    /// True while the run generates nothing.
    is_stalled: bool,
    silent_since: Millis,
    /// True once the run has outlived the crash window.
    is_sound: bool,
    _load: LoadGuard,
}

impl<D: Dialect> RunStream<'_, D> {
    /// The stream of `run`, of which nothing has been forwarded.
    pub(crate) fn new<'a>(
        cx: &'a Arc<Router<D>>,
        fwd: &'a ForwardedRequest,
        run: Run<D>,
        tx: &'a Sender<StreamPart>,
        last_event: Option<u64>,
    ) -> RunStream<'a, D> {
        let Run { runner, reply, started, held, migrate_after, watch, _load } = run;
        let Reply { head, body, connection, .. } = reply;
        RunStream {
            cx,
            fwd,
            tx,
            origin: RunOrigin {
                runner,
                started,
                watch,
                framing: BodyFraming::of(&head.headers),
                is_failure_recorded: false,
            },
            head,
            body,
            connection: Some(connection),
            held,
            migration: Migration::not_before(migrate_after),
            tokens_per_event: cx.shared.tokens_per_event(&fwd.service),
            pace: PaceMeter::new(fwd.route.gap_target),
            reader: EventReader::after(last_event),
            pending: None,
            next_silence: silence_timeout(fwd),
            was_silent: false,
            is_stalled: false,
            silent_since: cx.now(),
            is_sound: false,
            _load,
        }
    }

    /// True if the run may have been stopped for a migration, or may still be.
    pub(crate) fn may_stop(&self) -> bool {
        self.migration.may_stop()
    }

    /// Drops the run; its connection is closed unless its stream is complete.
    pub(crate) fn into_origin(self) -> RunOrigin {
        self.origin
    }

    /// Forwards the stream until the run ends, is migrated, or is silent for too long. After a silence
    /// it may be called again.
    pub(crate) async fn forward(&mut self, progress: &mut StreamProgress) -> RunEnd<D> {
        loop {
            let event = match self.pending.take() {
                Some(event) => event,
                None => self.next_event().await,
            };
            match event {
                StreamEvent::Nothing => {}
                StreamEvent::CallerGone => return RunEnd::CallerGone,
                StreamEvent::Broken(cause) => return self.finish_interrupted(cause).await,
                StreamEvent::Silence { .. } if self.migration.is_stopped() => {
                    return self.finish_interrupted("silent after its stop".to_owned()).await;
                }
                StreamEvent::Silence { at_deadline: true } => return RunEnd::DeadlinePassed,
                StreamEvent::Silence { at_deadline: false } => {
                    self.record_silence();
                    return RunEnd::Silent;
                }
                StreamEvent::Events(events) => {
                    if !self.forward_events(events, progress).await {
                        return RunEnd::CallerGone;
                    }
                }
                StreamEvent::End => return self.finish(progress).await,
            }
        }
    }

    /// Runs `replacing`, which prepares another run, while the stream may still go on. Returns `None`
    /// if it went on or ended first; [`RunStream::forward`] continues then.
    pub(crate) async fn await_replacement<T>(
        &mut self,
        replacing: impl Future<Output = T>,
    ) -> Option<T> {
        // Dropping the wait for an event loses nothing, as events are not forwarded meanwhile.
        let replaced = tokio::select! {
            biased;
            event = self.next_sign() => Err(event),
            replaced = replacing => Ok(replaced),
        };
        match replaced {
            Ok(replaced) => {
                self.delay_next_silence();
                Some(replaced)
            }
            Err(event) => {
                self.pending = Some(event);
                None
            }
        }
    }

    /// Waits up to `max_wait` for the run to begin. Returns true once it has sent an event, or the marked
    /// end of a stream that has no events after the caller's last one.
    pub(crate) async fn has_begun_within(&mut self, max_wait: Millis) -> bool {
        let sign = tokio::time::timeout(max_wait.duration(), self.next_sign()).await;
        self.next_silence = silence_timeout(self.fwd);
        self.pending = sign.ok();
        match &self.pending {
            Some(StreamEvent::Events(_)) => true,
            // Before the first event, or inside one, the end leaves nothing to go on with.
            Some(StreamEvent::End) => {
                self.origin.framing == BodyFraming::Marked
                    && self.reader.last_id().is_some()
                    && !self.reader.is_inside_event()
            }
            _ => false,
        }
    }

    /// Records a silent runner as failing, so that other requests avoid it.
    fn record_silence(&mut self) {
        if !std::mem::replace(&mut self.was_silent, true) {
            self.cx.shared.record_run_end(&self.origin.runner, false);
        }
        self.delay_next_silence();
    }

    fn delay_next_silence(&mut self) {
        let silence = self.cx.now().since(self.silent_since);
        self.next_silence = silence.share(TAKEOVER_BACKOFF);
    }

    /// Waits for an event or the end of the stream.
    async fn next_sign(&mut self) -> StreamEvent {
        self.next_silence = Millis::MAX;
        loop {
            match self.next_event().await {
                StreamEvent::Nothing => {}
                event => return event,
            }
        }
    }

    /// Ends a stream whose body has ended.
    async fn finish(&mut self, progress: &StreamProgress) -> RunEnd<D> {
        let cause = match (self.reader.is_inside_event(), progress.began) {
            // A runner that crashed before its first event closes the connection too.
            (false, None) => "it ended before its first event",
            _ => "it ended inside an event",
        };
        let is_empty = progress.began.is_none()
            && match self.origin.framing {
                BodyFraming::Close => !progress.may_be_whole,
                // A run that goes on after the last event has nothing left to send.
                BodyFraming::Marked => self.reader.last_id().is_none(),
            };
        let is_complete = !is_empty && !self.reader.is_inside_event();
        let end = self.finish_interrupted(cause.to_owned()).await;
        let may_be_complete = match &end {
            RunEnd::Broken(_) => true,
            // The runner closes the connection of a run that it stops.
            RunEnd::MaybeStopped(..) => self.origin.framing == BodyFraming::Marked,
            _ => false,
        };
        if !(is_complete && may_be_complete) {
            return end;
        }
        if let Some(connection) = self.connection.take() {
            self.cx.exchanger.pool().keep(&self.origin.runner.id, connection, &self.head.headers);
        }
        RunEnd::Complete
    }

    /// Waits for the next part of the stream.
    async fn next_event(&mut self) -> StreamEvent {
        if let Some(invalid) = self.reader.error() {
            return StreamEvent::Broken(invalid.to_string());
        }
        let now = self.cx.now();
        let remaining = self.fwd.remaining(now);
        let silence = now.since(self.silent_since);
        let timeout = match self.migration.is_stopped() {
            true => STOPPED_DRAIN_TIMEOUT,
            false => self.next_silence.since(silence).min(remaining),
        };
        let stall_timeout = stall_timeout(self.fwd.route.gap_target).duration();
        let frame = tokio::select! {
            frame = tokio::time::timeout(timeout.duration(), self.body.frame()) => frame,
            () = self.tx.closed() => return StreamEvent::CallerGone,
            () = self.migration.progress() => return StreamEvent::Nothing,
            () = tokio::time::sleep(stall_timeout), if !self.is_stalled => {
                self.is_stalled = true;
                self.held.iter().for_each(MemoryHold::stall);
                return StreamEvent::Nothing;
            }
        };
        match frame {
            Err(_) => StreamEvent::Silence { at_deadline: timeout == remaining },
            Ok(None) => StreamEvent::End,
            Ok(Some(Err(e))) => StreamEvent::Broken(e.to_string()),
            Ok(Some(Ok(frame))) => match frame.into_data() {
                Ok(bytes) => self.read_events(&bytes),
                // Trailers carry nothing that the caller needs.
                Err(_) => StreamEvent::Nothing,
            },
        }
    }

    /// Reads events from received bytes. Bytes without an event are no sign of life: they leave the time
    /// of silence as it is.
    fn read_events(&mut self, bytes: &Bytes) -> StreamEvent {
        let (events, invalid) = self.reader.push(bytes);
        if let Some(invalid) = invalid {
            self.record_invalid(invalid);
        }
        if !events.bytes.is_empty() {
            return StreamEvent::Events(events);
        }
        if let Some(invalid) = invalid {
            return StreamEvent::Broken(invalid.to_string());
        }
        let now = self.cx.now();
        let remaining = self.fwd.remaining(now);
        match remaining == Millis(0) || now.since(self.silent_since) >= self.next_silence {
            true => StreamEvent::Silence { at_deadline: remaining == Millis(0) },
            false => StreamEvent::Nothing,
        }
    }

    /// Logs and counts bytes of the run that are no event of the stream, against its runner too,
    /// whatever becomes of the run.
    fn record_invalid(&mut self, invalid: InvalidEvent) {
        self.origin.is_failure_recorded = true;
        self.cx.shared.record_run_end(&self.origin.runner, false);
        self.cx.metrics.record_invalid_event(invalid.label());
        log::info!(
            "stream: invalid event id={} runner={} cause=\"{invalid}\"",
            self.fwd.request.id,
            self.origin.runner.id,
        );
    }

    /// Forwards events to the caller; returns false when the caller has disconnected.
    async fn forward_events(
        &mut self,
        events: CompleteEvents,
        progress: &mut StreamProgress,
    ) -> bool {
        let cx = self.cx;
        self.is_stalled = false;
        let arrived = cx.now();
        self.silent_since = arrived;
        (self.next_silence, self.was_silent) = (silence_timeout(self.fwd), false);
        let is_uneven = || cx.shared.is_uneven(&self.fwd.service);
        let (gap, is_slow) = progress.record_events(self.fwd.route.gap_target, is_uneven, arrived);
        cx.shared.record_stream_pause(&self.origin.runner.id, gap);
        if is_slow {
            cx.shared.record_run_end(&self.origin.runner, false);
        }
        let began = *progress.began.get_or_insert(arrived);
        if !self.is_sound && !cx.shared.in_crash_window(arrived.since(began)) {
            self.is_sound = true;
            cx.shared.record_sound_run(&self.fwd.crash_keys);
        }
        progress.last_event = events.last_id.or(progress.last_event);
        let is_sent = self.tx.send(Ok(events.bytes)).await.is_ok();
        self.measure_pace(progress.last_event, arrived);
        if let (true, Some(held), Some(last)) = (is_sent, &self.held, progress.last_event) {
            held.progress(tokens_in_events(last, self.tokens_per_event));
            self.migration.start_if_due(cx, self.fwd, held);
        }
        is_sent
    }

    /// Measures the generation rate, unless the caller reads more slowly than the run generates.
    fn measure_pace(&mut self, last_event: Option<u64>, arrived: Millis) {
        if self.tx.capacity() == 0 {
            self.pace.restart();
            return;
        }
        let generated = tokens_in_events(last_event.unwrap_or(0), self.tokens_per_event);
        if let Some(tokens_per_ms) = self.pace.record(generated, arrived) {
            self.cx.shared.record_pace(&self.origin.runner, tokens_per_ms);
        }
    }

    /// Ends a stream that did not complete: its run was stopped for a migration, may have been, or the
    /// stream broke.
    async fn finish_interrupted(&mut self, cause: String) -> RunEnd<D> {
        let migration = std::mem::replace(&mut self.migration, Migration::not_before(Millis::MAX));
        match migration.settle().await {
            Migration::Stopped(moved) => RunEnd::Migrated(moved),
            Migration::MaybeStopped(moved) => RunEnd::MaybeStopped(moved, cause),
            Migration::Idle { .. } | Migration::Copying(_) => RunEnd::Broken(cause),
        }
    }
}

/// Time without an event after which a run counts as stalled.
fn stall_timeout(gap_target: Millis) -> Millis {
    gap_target.share(STALL_SHARE).max(MIN_STALL_TIMEOUT)
}
