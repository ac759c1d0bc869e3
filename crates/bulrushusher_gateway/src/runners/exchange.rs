//! One request to one runner, up to the head of its answer.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, BackPressureError, CallResult, RequestId, Runner};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::response;

use crate::dialect::{Dialect, ReplyMarks, SideCall};
use crate::knowledge::Knowledge;
use crate::runners::permit::Permit;
use crate::runners::pool::{RunnerConnection, RunnerPool};

/// Largest answer that is read whole; plain answers are some kilobytes, and one beyond this would
/// endanger the process for all others.
const MAX_WHOLE_ANSWER: usize = 8 << 20;

/// A small call is answered at once by a runner that lives.
pub(crate) const SIDE_CALL_TIMEOUT: Millis = Millis(200);

/// Why there is no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// Nothing was written to the runner.
    #[display("not sent ({cause})")]
    Unsent { cause: String },
    /// The request was written, and nothing came in time; it may have run.
    #[display("no answer ({cause})")]
    NoAnswer { cause: String },
    /// The request was written, and the connection broke before the whole answer was there; it may have
    /// run.
    #[display("no answer ({cause})")]
    BrokeOff { cause: String },
    /// The answer belongs to another request; this one may have run.
    #[display("the answer is not to this request")]
    Foreign,
    /// Nothing was written to the runner, by its own back-pressure.
    #[display("withheld ({cause})")]
    Withheld { cause: BackPressureError },
}

impl ExchangeError {
    /// True when the connection broke after the request was written.
    pub(crate) fn broke_off(&self) -> bool {
        matches!(self, ExchangeError::BrokeOff { .. })
    }

    /// True when it was not sent by the runner's back-pressure, which says nothing against the runner.
    pub(crate) fn is_withheld(&self) -> bool {
        matches!(self, ExchangeError::Withheld { .. })
    }

    /// What it means for calls to the runner.
    pub(crate) fn call_result(&self) -> CallResult {
        match self.is_withheld() {
            true => CallResult::Withheld,
            false => CallResult::Unreachable,
        }
    }

    /// What it means for the attempt.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self {
            ExchangeError::Unsent { .. } | ExchangeError::Withheld { .. } => AttemptEnd::Unsent,
            ExchangeError::NoAnswer { .. }
            | ExchangeError::BrokeOff { .. }
            | ExchangeError::Foreign => AttemptEnd::Unknown,
        }
    }
}

/// The head of an answer, with the connection that its body comes on.
#[derive(Debug)]
pub(crate) struct Reply {
    pub head: response::Parts,
    pub marks: ReplyMarks,
    pub body: Incoming,
    pub connection: RunnerConnection,
}

/// Sends requests to runners.
#[derive(Clone, Debug)]
pub(crate) struct Exchanger<D> {
    dialect: D,
    pool: Arc<RunnerPool>,
    knowledge: Arc<Knowledge>,
    metrics: Arc<GatewayMetrics>,
}

impl<D: Dialect> Exchanger<D> {
    pub(crate) fn new(
        dialect: D,
        pool: Arc<RunnerPool>,
        knowledge: Arc<Knowledge>,
        metrics: Arc<GatewayMetrics>,
    ) -> Exchanger<D> {
        Exchanger { dialect, pool, knowledge, metrics }
    }

    pub(crate) fn pool(&self) -> &RunnerPool {
        &self.pool
    }

    /// Sends a request, if its permit allows it, and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        runner: &Runner,
        id: Option<&RequestId>,
        req: Request<Full<Bytes>>,
        permit: Permit,
        within: Millis,
    ) -> Result<Reply, ExchangeError> {
        self.redeem(runner, permit)?;
        let sending = self.send_unbounded(runner, id, req);
        match tokio::time::timeout(within.duration(), sending).await {
            Ok(done) => done,
            Err(_) => Err(ExchangeError::NoAnswer { cause: format!("silent for {within}") }),
        }
    }

    /// Asks for a send and counts it, as its permit says.
    fn redeem(&self, runner: &Runner, permit: Permit) -> Result<(), ExchangeError> {
        let asked = match permit {
            Permit::Needed => self.knowledge.acquire_permits(runner, 1),
            Permit::Counted => self.knowledge.check_send(runner),
            Permit::Release if self.knowledge.is_backing_off(runner) => {
                Err(BackPressureError::RetryAfter)
            }
            Permit::Exempt | Permit::Release => {
                self.knowledge.charge_permit(runner);
                Ok(())
            }
        };
        asked.map_err(|cause| {
            self.metrics.withheld(withheld_word(cause));
            ExchangeError::Withheld { cause }
        })
    }

    async fn send_unbounded(
        &self,
        runner: &Runner,
        id: Option<&RequestId>,
        mut req: Request<Full<Bytes>>,
    ) -> Result<Reply, ExchangeError> {
        loop {
            let mut connection = match self.pool.take_idle(&runner.id) {
                Some(connection) => connection,
                None => self
                    .pool
                    .connect(runner)
                    .await
                    .map_err(|cause| ExchangeError::Unsent { cause })?,
            };
            match connection.sender.try_send_request(req).await {
                Ok(reply) => return self.check(runner, id, reply, connection),
                Err(mut e) => match e.take_message() {
                    Some(unsent) if connection.reused => req = unsent,
                    Some(_) => return Err(ExchangeError::Unsent { cause: e.error().to_string() }),
                    None => {
                        return Err(ExchangeError::BrokeOff { cause: e.error().to_string() });
                    }
                },
            }
        }
    }

    fn check(
        &self,
        runner: &Runner,
        id: Option<&RequestId>,
        reply: hyper::Response<Incoming>,
        connection: RunnerConnection,
    ) -> Result<Reply, ExchangeError> {
        let (head, body) = reply.into_parts();
        let marks = self.dialect.marks(&head);
        let is_ours = match (&marks.request, id) {
            (Some(answered), Some(sent)) => answered == sent,
            (Some(_), None) => false,
            // A refusal may come before the runner has looked for the identity.
            (None, Some(_)) => !head.status.is_success(),
            (None, None) => true,
        };
        if !is_ours {
            return Err(ExchangeError::Foreign);
        }
        // Whoever has the address of another runner speaks for itself only.
        if !marks.wrong_runner {
            for kind in self.knowledge.record_signals(runner, marks.signals) {
                self.metrics.signal(kind);
            }
        }
        Ok(Reply { head, marks, body, connection })
    }

    /// Reads the body to its end and keeps the connection.
    pub(crate) async fn read_whole(
        &self,
        runner: &Runner,
        reply: Reply,
        within: Millis,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let Reply { head, body, connection, .. } = reply;
        let reading = Limited::new(body, MAX_WHOLE_ANSWER).collect();
        let read = match tokio::time::timeout(within.duration(), reading).await {
            Ok(read) => read.map_err(|e| ExchangeError::BrokeOff { cause: e.to_string() })?,
            Err(_) => {
                return Err(ExchangeError::NoAnswer { cause: format!("body not in {within}") });
            }
        };
        self.pool.keep(&runner.id, connection, &head.headers);
        Ok((head, read.to_bytes()))
    }

    /// Makes a small call and reads its whole answer.
    pub(crate) async fn side_call(
        &self,
        runner: &Runner,
        call: SideCall,
        permit: Permit,
        within: Millis,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let mut req = Request::new(Full::new(call.body));
        *req.method_mut() = call.method;
        *req.uri_mut() = call
            .path
            .parse()
            .map_err(|e| ExchangeError::Unsent { cause: format!("bad path: {e}") })?;
        *req.headers_mut() = call.headers;
        let host = runner.address.to_string().parse();
        if let Ok(host) = host {
            req.headers_mut().insert(hyper::header::HOST, host);
        }
        let reply = self.send(runner, None, req, permit, within).await?;
        self.read_whole(runner, reply, within).await
    }
}

/// One word for metrics.
pub(crate) fn withheld_word(cause: BackPressureError) -> &'static str {
    match cause {
        BackPressureError::RetryAfter => "retry_after",
        BackPressureError::Leaving => "leaving",
        BackPressureError::RateLimit => "rate_limit",
    }
}
