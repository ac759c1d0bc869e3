//! Reading a run's stream to its end, over as many connections as it takes.

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

/// Pause before a lost stream is asked for again.
const RESUME_PAUSE: Millis = Millis(100);
/// How long an agent is asked to wait for a key to begin when a stream is resumed.
const RESUME_WAIT: Millis = Millis(300);

/// A part of an answer, on its way to the caller.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Part {
    /// The next token.
    Token(String),
    /// A service's whole answer.
    Whole { status: u16, content_type: String, body: Bytes },
    /// What was sent so far is void; the answer starts again. Never sent to a streaming caller.
    Restart,
    /// All was sent.
    End,
}

/// Where the parts of an answer go.
pub(crate) type PartSender = mpsc::Sender<Result<Part, ApiError>>;

/// Runs the work of one request, and sends its error, if any, to its caller. The work is dropped, and
/// with it all that it holds, as soon as the caller is gone.
pub(crate) async fn supervise(
    shared: Arc<Shared>,
    job: Job,
    tx: PartSender,
    work: impl Future<Output = Result<(), ApiError>>,
) {
    let _in_flight = shared.begin();
    let outcome = tokio::select! {
        outcome = work => outcome,
        () = tx.closed() => {
            log::debug!("{LOG} the caller of {} is gone", job.key);
            return;
        }
    };
    if let Err(e) = outcome {
        shared.note_error(&job, &e);
        tx.send(Err(e)).await.ok();
    }
}

/// How a stream ended.
#[derive(Debug)]
pub(crate) enum StreamEnd {
    /// The whole answer was passed on.
    Whole,
    /// The agent did not take the order.
    NotTaken(OrderRejection),
    /// Nothing ran: the KV cache or the service was gone.
    NothingRan,
    /// It ran and there is no whole answer.
    Failed(RunStatus),
    /// It ran, and its engine ended.
    EngineEnded,
    /// The agent does not answer any more, or has forgotten.
    Lost,
    /// The caller went away.
    CallerGone,
}

/// Reads one key's answer from one agent.
pub(crate) struct RunReader<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) key: &'a RequestKey,
    pub(crate) tx: &'a PartSender,
    /// Tokens passed on so far.
    pub(crate) passed: u32,
    /// Which life of the agent has the key, where that is known.
    pub(crate) incarnation: Option<u64>,
}

/// Why one connection ended before the stream did.
enum Interrupted {
    Ended(StreamEnd),
    Connection(HttpError),
}

impl From<HttpError> for Interrupted {
    fn from(e: HttpError) -> Interrupted {
        Interrupted::Connection(e)
    }
}

impl RunReader<'_> {
    /// Sends an order and reads its stream to the end.
    pub(crate) async fn run(&mut self, order: &RunOrder, open: &mut OpenStream) -> StreamEnd {
        self.incarnation = Some(order.incarnation);
        match self.shared.agents.run(self.endpoint, order).await {
            Ok(stream) => self.read(stream, open).await,
            Err(e) if e.is_unsent() => StreamEnd::NothingRan,
            Err(e) => {
                log::info!("{LOG} order for {} has no answer: {e}", self.key);
                self.find_out(order, open).await
            }
        }
    }

    /// Finds out whether an order without an answer was taken, and makes sure that it is not taken
    /// any more if not.
    async fn find_out(&mut self, order: &RunOrder, open: &mut OpenStream) -> StreamEnd {
        let until = self.shared.clock.now().plus(self.shared.cfg.resume_timeout);
        while self.shared.clock.now() < until && !self.tx.is_closed() {
            if let Ok(stream) = self.connect(open, Millis(0), Some(order.reservation)).await {
                match self.read(stream, open).await {
                    StreamEnd::NotTaken(OrderRejection::NotHere { incarnation })
                        if incarnation == order.incarnation =>
                    {
                        return StreamEnd::NothingRan;
                    }
                    StreamEnd::NotTaken(OrderRejection::NotHere { .. }) => return StreamEnd::Lost,
                    end => return end,
                }
            }
            tokio::time::sleep(RESUME_PAUSE.duration()).await;
        }
        StreamEnd::Lost
    }

    /// Attaches to a key that runs or ran at the agent, and reads its stream to the end.
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
            from: self.passed,
            wait_ms: wait.0,
        };
        self.shared.agents.attach(self.endpoint, &order).await
    }

    async fn read(&mut self, stream: LineStream, open: &mut OpenStream) -> StreamEnd {
        match self.pass_on(stream).await {
            Interrupted::Ended(end) => ended(end, open),
            Interrupted::Connection(e) => {
                log::info!("{LOG} stream of {} is resumed: {e}", self.key);
                if matches!(e, HttpError::Timeout { .. }) {
                    self.shared.agents.went_silent(self.endpoint);
                }
                self.resume(open, self.shared.cfg.resume_timeout).await
            }
        }
    }

    /// Asks for the rest of the answer on new connections until the bound is over.
    async fn resume(&mut self, open: &mut OpenStream, bound: Millis) -> StreamEnd {
        let mut until = self.shared.clock.now().plus(bound);
        while self.shared.clock.now() < until {
            if self.tx.is_closed() {
                return StreamEnd::CallerGone;
            }
            let had = self.passed;
            if let Ok(stream) = self.connect(open, RESUME_WAIT, None).await {
                match self.pass_on(stream).await {
                    Interrupted::Ended(StreamEnd::NotTaken(OrderRejection::NotHere {
                        incarnation,
                    })) => {
                        if self.incarnation.is_some_and(|known| known != incarnation) {
                            return StreamEnd::Lost;
                        }
                    }
                    Interrupted::Ended(end) => return ended(end, open),
                    Interrupted::Connection(_) if self.passed > had => {
                        until = self.shared.clock.now().plus(bound);
                    }
                    Interrupted::Connection(_) => {}
                }
            }
            tokio::time::sleep(RESUME_PAUSE.duration()).await;
        }
        StreamEnd::Lost
    }

    /// Passes frames on until the stream or its connection ends.
    async fn pass_on(&mut self, mut stream: LineStream) -> Interrupted {
        loop {
            match self.next_part(&mut stream).await {
                Ok(Some(part)) => {
                    let is_end = matches!(part, Part::End | Part::Whole { .. });
                    if self.tx.send(Ok(part)).await.is_err() {
                        return Interrupted::Ended(StreamEnd::CallerGone);
                    }
                    if is_end {
                        return Interrupted::Ended(StreamEnd::Whole);
                    }
                }
                Ok(None) => {}
                Err(interrupted) => return interrupted,
            }
        }
    }

    async fn next_part(&mut self, stream: &mut LineStream) -> Result<Option<Part>, Interrupted> {
        let Some(frame) = stream.next_message::<Frame>().await? else {
            let peer = self.endpoint.stream.to_string();
            let cause = "the stream ended early".to_owned();
            return Err(HttpError::ConnectionLost { peer, cause }.into());
        };
        match frame {
            Frame::Beat => Ok(None),
            Frame::Token { n, text } if n == self.passed => {
                self.passed += 1;
                Ok(Some(Part::Token(text)))
            }
            // Passed on already, on an earlier connection.
            Frame::Token { n, .. } if n < self.passed => Ok(None),
            Frame::End { tokens } if tokens == self.passed => Ok(Some(Part::End)),
            Frame::Answer { status, content_type, len } => {
                let body = stream.read_bytes(len as usize).await?;
                Ok(Some(Part::Whole { status, content_type, body }))
            }
            Frame::NotTaken(why) => Err(Interrupted::Ended(StreamEnd::NotTaken(why))),
            Frame::KvGone => Err(Interrupted::Ended(StreamEnd::NothingRan)),
            Frame::Failed { engine_ended: true, .. } => {
                Err(Interrupted::Ended(StreamEnd::EngineEnded))
            }
            Frame::Failed { .. } => Err(Interrupted::Ended(StreamEnd::Failed(RunStatus::Failed))),
            Frame::Token { .. }
            | Frame::End { .. }
            | Frame::Prefilled { .. }
            | Frame::Exported
            | Frame::Evicted => {
                let peer = self.endpoint.stream.to_string();
                let cause = "a frame is out of order".to_owned();
                Err(HttpError::Codec { peer, cause }.into())
            }
        }
    }
}

fn ended(end: StreamEnd, open: &mut OpenStream) -> StreamEnd {
    match end {
        StreamEnd::CallerGone | StreamEnd::Lost => {}
        StreamEnd::Whole
        | StreamEnd::NotTaken(_)
        | StreamEnd::NothingRan
        | StreamEnd::EngineEnded
        | StreamEnd::Failed(_) => open.ended(),
    }
    end
}
