//! Reads the stream of a run to its end, and resumes it on a new connection when one breaks.

use std::future::Future;
use std::sync::Arc;

use bulrushusher_admission::ReservationId;
use bulrushusher_http::{HttpError, LineStream};
use bulrushusher_once::RunStatus;
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, AttachOrder, Frame, OrderRejection, RunOrder};
use bulrushusher_world::{Endpoint, RequestKey};
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::LOG;
use crate::entry::Shared;
use crate::guards::OpenStream;
use crate::request::Job;

/// Pause before a broken stream is resumed again.
const RESUME_PAUSE: Millis = Millis(100);
/// How long an agent waits for the key to start when a stream is resumed.
const RESUME_WAIT: Millis = Millis(300);

/// A part of an answer, sent to the caller's HTTP task.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    /// The next token.
    Token(String),
    /// The complete answer of a service.
    Service { status: u16, content_type: String, body: Bytes },
    /// Discard the parts sent so far: the answer starts over. Never sent to a streaming caller.
    Restart,
    /// All tokens were sent.
    End,
}

/// Sends the parts of an answer, or its error, to the caller's HTTP task.
pub(crate) type PartSender = mpsc::Sender<Result<Part, ApiError>>;

/// Runs the work of one request, and sends its error, if any, to its caller. Drops the work, which
/// releases its slots and streams, as soon as the caller disconnects.
pub(crate) async fn supervise(
    shared: Arc<Shared>,
    job: Job,
    tx: PartSender,
    work: impl Future<Output = Result<(), ApiError>>,
) {
    let _in_flight = shared.track_in_flight();
    let outcome = tokio::select! {
        outcome = work => outcome,
        () = tx.closed() => {
            log::debug!("{LOG} the caller of {} has disconnected", job.key);
            return;
        }
    };
    if let Err(e) = outcome {
        shared.record_error(&job, &e);
        tx.send(Err(e)).await.ok();
    }
}

/// How a stream ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// The complete answer was sent.
    Complete,
    /// The agent rejected the order.
    Rejected(OrderRejection),
    /// Nothing was executed: the KV cache was gone, or the service or agent was not reached.
    NotExecuted,
    /// The key was executed, and there is no complete answer.
    Failed(RunStatus),
    /// The engine process ended during the run.
    EngineEnded,
    /// The agent is unreachable, or was restarted and has lost its records.
    Lost,
    /// The caller disconnected.
    CallerGone,
}

/// Reads the answer of one key from one agent.
pub(crate) struct RunReader<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) key: &'a RequestKey,
    pub(crate) tx: &'a PartSender,
    /// Tokens sent to the caller's HTTP task so far.
    pub(crate) tokens_sent: u32,
    /// The incarnation of the agent that has the key, if known.
    pub(crate) incarnation: Option<u64>,
}

/// Why reading from a connection stopped.
enum ReadStop {
    Ended(StreamEnd),
    Connection(HttpError),
}

impl From<HttpError> for ReadStop {
    fn from(e: HttpError) -> ReadStop {
        ReadStop::Connection(e)
    }
}

impl RunReader<'_> {
    /// Sends an order and reads its stream to the end.
    pub(crate) async fn run(&mut self, order: &RunOrder, open: &mut OpenStream) -> StreamEnd {
        self.incarnation = Some(order.incarnation);
        match self.shared.agents.run(self.endpoint, order).await {
            Ok(stream) => self.read(stream, open).await,
            Err(e) if e.is_unsent() => StreamEnd::NotExecuted,
            Err(e) => {
                log::info!("{LOG} no response to the order for {}: {e}", self.key);
                self.resolve_order(order, open).await
            }
        }
    }

    /// Determines whether an order without a response was accepted. If it was not, revokes its
    /// reservation, so that the order is rejected if it arrives later.
    async fn resolve_order(&mut self, order: &RunOrder, open: &mut OpenStream) -> StreamEnd {
        let until = self.shared.clock.now().plus(self.shared.cfg.resume_timeout);
        while self.shared.clock.now() < until && !self.tx.is_closed() {
            if let Ok(stream) = self.connect(open, Millis(0), Some(order.reservation)).await {
                match self.read(stream, open).await {
                    StreamEnd::Rejected(OrderRejection::NotHere { incarnation })
                        if incarnation == order.incarnation =>
                    {
                        return StreamEnd::NotExecuted;
                    }
                    StreamEnd::Rejected(OrderRejection::NotHere { .. }) => return StreamEnd::Lost,
                    end => return end,
                }
            }
            tokio::time::sleep(RESUME_PAUSE.duration()).await;
        }
        StreamEnd::Lost
    }

    /// Attaches to a key that is assigned to the agent, and reads its stream to the end.
    pub(crate) async fn attach(&mut self, open: &mut OpenStream, wait: Millis) -> StreamEnd {
        match self.connect(open, wait, None).await {
            Ok(stream) => self.read(stream, open).await,
            Err(_) => self.resume(open, self.shared.cfg.resume_timeout).await,
        }
    }

    async fn connect(
        &self,
        open: &OpenStream,
        wait: Millis,
        revoke: Option<ReservationId>,
    ) -> Result<LineStream, HttpError> {
        let order = AttachOrder {
            revoke,
            key: self.key.clone(),
            stream: open.name.clone(),
            from: self.tokens_sent,
            wait_ms: wait.0,
        };
        self.shared.agents.attach(self.endpoint, &order).await
    }

    async fn read(&mut self, stream: LineStream, open: &mut OpenStream) -> StreamEnd {
        match self.forward(stream).await {
            ReadStop::Ended(end) => finish(end, open),
            ReadStop::Connection(e) => {
                log::info!("{LOG} stream of {} is resumed: {e}", self.key);
                if matches!(e, HttpError::Timeout { .. }) {
                    self.shared.agents.replace_connections(self.endpoint);
                }
                self.resume(open, self.shared.cfg.resume_timeout).await
            }
        }
    }

    /// Reads the rest of the answer on new connections. Gives up after `timeout` without progress.
    async fn resume(&mut self, open: &mut OpenStream, timeout: Millis) -> StreamEnd {
        let mut until = self.shared.clock.now().plus(timeout);
        while self.shared.clock.now() < until {
            if self.tx.is_closed() {
                return StreamEnd::CallerGone;
            }
            let sent_before = self.tokens_sent;
            if let Ok(stream) = self.connect(open, RESUME_WAIT, None).await {
                match self.forward(stream).await {
                    ReadStop::Ended(StreamEnd::Rejected(OrderRejection::NotHere {
                        incarnation,
                    })) => {
                        if self.incarnation.is_some_and(|known| known != incarnation) {
                            return StreamEnd::Lost;
                        }
                    }
                    ReadStop::Ended(end) => return finish(end, open),
                    ReadStop::Connection(_) if self.tokens_sent > sent_before => {
                        until = self.shared.clock.now().plus(timeout);
                    }
                    ReadStop::Connection(_) => {}
                }
            }
            tokio::time::sleep(RESUME_PAUSE.duration()).await;
        }
        StreamEnd::Lost
    }

    /// Forwards frames to the caller's HTTP task until the stream or its connection ends.
    async fn forward(&mut self, mut stream: LineStream) -> ReadStop {
        loop {
            match self.next_part(&mut stream).await {
                Ok(Some(part)) => {
                    let is_end = matches!(part, Part::End | Part::Service { .. });
                    if self.tx.send(Ok(part)).await.is_err() {
                        return ReadStop::Ended(StreamEnd::CallerGone);
                    }
                    if is_end {
                        return ReadStop::Ended(StreamEnd::Complete);
                    }
                }
                Ok(None) => {}
                Err(stop) => return stop,
            }
        }
    }

    async fn next_part(&mut self, stream: &mut LineStream) -> Result<Option<Part>, ReadStop> {
        let Some(frame) = stream.next_message::<Frame>().await? else {
            let peer = self.endpoint.stream.to_string();
            let cause = "the stream closed before its last frame".to_owned();
            return Err(HttpError::ConnectionLost { peer, cause }.into());
        };
        match frame {
            Frame::Beat => Ok(None),
            Frame::Token { n, text } if n == self.tokens_sent => {
                self.tokens_sent += 1;
                Ok(Some(Part::Token(text)))
            }
            // Already sent, from an earlier connection.
            Frame::Token { n, .. } if n < self.tokens_sent => Ok(None),
            Frame::End { tokens } if tokens == self.tokens_sent => Ok(Some(Part::End)),
            Frame::Answer { status, content_type, len } => {
                let body = stream.read_bytes(len as usize).await?;
                Ok(Some(Part::Service { status, content_type, body }))
            }
            Frame::NotTaken(rejection) => Err(ReadStop::Ended(StreamEnd::Rejected(rejection))),
            Frame::KvGone => Err(ReadStop::Ended(StreamEnd::NotExecuted)),
            Frame::Failed { engine_ended: true, .. } => {
                Err(ReadStop::Ended(StreamEnd::EngineEnded))
            }
            Frame::Failed { .. } => Err(ReadStop::Ended(StreamEnd::Failed(RunStatus::Failed))),
            Frame::Token { .. }
            | Frame::End { .. }
            | Frame::Prefilled { .. }
            | Frame::Exported
            | Frame::Evicted => {
                let peer = self.endpoint.stream.to_string();
                let cause = "unexpected frame".to_owned();
                Err(HttpError::Codec { peer, cause }.into())
            }
        }
    }
}

/// Marks the stream as ended unless the run may still be in progress at the agent.
fn finish(end: StreamEnd, open: &mut OpenStream) -> StreamEnd {
    match end {
        StreamEnd::CallerGone | StreamEnd::Lost => {}
        StreamEnd::Complete
        | StreamEnd::Rejected(_)
        | StreamEnd::NotExecuted
        | StreamEnd::EngineEnded
        | StreamEnd::Failed(_) => open.mark_ended(),
    }
    end
}
