//! A single exchange with a runner.

use std::sync::Arc;

use bulrushusher_forward::{
    AnswerHead, AnswerOrigin, AttemptEnd, BackPressureError, CallResult, RouteKind, Runner,
    RunnerCall, SendKind, SoftwareVersion,
};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use bulrushusher_world::DataCentreName;
use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::response;
use hyper::{Request, StatusCode};
use tokio::sync::watch;

use crate::dialect::{ControlRequest, Dialect, ResponseInfo};
use crate::runners::answer_memory::{BodyError, MAX_CONTROL_BYTES, read_body};
use crate::runners::framing::BodyFraming;
use crate::runners::permit::Permit;
use crate::runners::pool::{RunnerConnection, RunnerPool};
use crate::runners::send_spec::{CallerSend, SendPurpose, SendSpec};
use crate::shared::SharedState;

/// Timeout of a control request, to which a live runner responds at once.
pub(crate) const CONTROL_TIMEOUT: Millis = Millis(200);

/// Why an exchange failed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// Nothing was sent to the runner.
    #[display("not sent ({cause})")]
    Unsent { cause: String },
    /// The request was sent and the response timed out; the request may have run.
    #[display("no answer ({cause})")]
    NoAnswer { cause: String },
    /// The request was sent, and the connection broke before the response was complete; the request
    /// may have run.
    #[display("no answer ({cause})")]
    ConnectionLost { cause: String },
    /// The response is larger than what is read; this request may have run.
    #[display("the answer cannot be read ({cause})")]
    TooLarge { cause: String },
    /// The head of the response contradicts itself; this request may have run.
    #[display("the answer cannot be used ({cause})")]
    Contradictory { cause: &'static str },
    /// The response belongs to another request; this request may have run.
    #[display("the answer is not to this request")]
    Foreign,
    /// The response may belong to an earlier request on its connection; this request may have run.
    #[display("the answer may be to an earlier request")]
    Unclear,
    /// Nothing was sent to the runner because of its back-pressure.
    #[display("withheld ({cause})")]
    Withheld { cause: BackPressureError },
    /// Nothing was sent, because the request's data may not be in this data centre.
    #[display("withheld (data centre {data_centre} is outside the allowed regions)")]
    Outside { data_centre: DataCentreName },
    /// Nothing was sent, because the request is bound to another software version than the runner's.
    #[display("withheld (version {found} instead of {expected})")]
    OtherVersion { expected: SoftwareVersion, found: SoftwareVersion },
    /// Nothing was sent, because the retry budget does not allow another arrival.
    #[display("withheld (the retry budget is used up)")]
    OverBudget,
    /// Nothing was sent, because runners crash on such requests.
    #[display("withheld (it is in quarantine)")]
    Quarantined,
}

impl ExchangeError {
    /// True when the connection broke after the request was sent.
    pub(crate) fn is_connection_lost(&self) -> bool {
        matches!(self, ExchangeError::ConnectionLost { .. })
    }

    /// True when back-pressure, residency, the retry budget or the quarantine kept the request from
    /// being sent, which is no failure of the runner.
    pub(crate) fn is_withheld(&self) -> bool {
        matches!(
            self,
            ExchangeError::Withheld { .. }
                | ExchangeError::Outside { .. }
                | ExchangeError::OtherVersion { .. }
                | ExchangeError::OverBudget
                | ExchangeError::Quarantined
        )
    }

    /// The result that is recorded for the runner.
    pub(crate) fn call_result(&self) -> CallResult {
        match self.is_withheld() {
            true => CallResult::Withheld,
            false => CallResult::Unreachable,
        }
    }

    /// How the attempt ended.
    pub(crate) fn attempt_end(&self) -> AttemptEnd {
        match self {
            ExchangeError::Unsent { .. }
            | ExchangeError::Withheld { .. }
            | ExchangeError::Outside { .. }
            | ExchangeError::OtherVersion { .. }
            | ExchangeError::OverBudget
            | ExchangeError::Quarantined => AttemptEnd::Unsent,
            ExchangeError::NoAnswer { .. }
            | ExchangeError::ConnectionLost { .. }
            | ExchangeError::TooLarge { .. }
            | ExchangeError::Contradictory { .. }
            | ExchangeError::Foreign
            | ExchangeError::Unclear => AttemptEnd::Unknown,
        }
    }
}

/// The head of a response, with its body and the connection on which the body arrives.
#[derive(Debug)]
pub(crate) struct Reply {
    pub head: response::Parts,
    pub info: ResponseInfo,
    pub body: Incoming,
    pub connection: RunnerConnection,
}

/// A permit that [`Exchanger::send`] has acquired. It is released on drop unless the request was sent:
/// the connection may fail, the timeout may pass first, or the caller may leave.
struct UnusedPermit<'a> {
    shared: &'a SharedState,
    runner: &'a Runner,
    is_used: bool,
}

impl Drop for UnusedPermit<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.shared.release_permits(self.runner, 1);
        }
    }
}

/// Sends requests to runners.
#[derive(Clone, Debug)]
pub(crate) struct Exchanger<D> {
    dialect: D,
    pool: Arc<RunnerPool>,
    shared: Arc<SharedState>,
    metrics: Arc<GatewayMetrics>,
    /// Has a receiver for each exchange after which memory at a runner is released.
    releases: Arc<watch::Sender<()>>,
}

impl<D: Dialect> Exchanger<D> {
    pub(crate) fn new(
        dialect: D,
        pool: Arc<RunnerPool>,
        shared: Arc<SharedState>,
        metrics: Arc<GatewayMetrics>,
    ) -> Exchanger<D> {
        Exchanger { dialect, pool, shared, metrics, releases: Arc::default() }
    }

    /// While it exists, memory at a runner may have to be released by this process.
    pub(crate) fn begin_release(&self) -> watch::Receiver<()> {
        self.releases.subscribe()
    }

    /// Waits until no memory at a runner remains to be released.
    pub(crate) async fn finish_releases(&self) {
        self.releases.closed().await;
    }

    pub(crate) fn pool(&self) -> &RunnerPool {
        &self.pool
    }

    /// Sends a request, if back-pressure permits it, and waits for the head of the response.
    pub(crate) async fn send(
        &self,
        runner: &Runner,
        req: Request<Full<Bytes>>,
        spec: SendSpec<'_>,
    ) -> Result<Reply, ExchangeError> {
        let timeout = spec.timeout;
        self.apply_permit(runner, spec.permit)?;
        let unused = spec.permit.is_acquired_now().then(|| UnusedPermit {
            shared: &self.shared,
            runner,
            is_used: false,
        });
        let sending = self.send_without_timeout(runner, req, spec, unused);
        match tokio::time::timeout(timeout.duration(), sending).await {
            Ok(done) => done,
            Err(_) => Err(ExchangeError::NoAnswer { cause: format!("silent for {timeout}") }),
        }
    }

    /// Acquires or charges the permit of a request.
    fn apply_permit(&self, runner: &Runner, permit: Permit) -> Result<(), ExchangeError> {
        let permitted = match permit {
            Permit::Acquire => self.shared.acquire_permits(runner, 1),
            Permit::Probe => self.shared.acquire_probe_permit(runner),
            Permit::Acquired => self.shared.check_send(runner),
            Permit::Cleanup if self.shared.is_backing_off(runner) => {
                Err(BackPressureError::RetryAfter)
            }
            Permit::Exempt | Permit::Order | Permit::Cleanup => {
                self.shared.charge_permit(runner);
                Ok(())
            }
        };
        permitted.map_err(|cause| self.withheld(cause))
    }

    /// The error of a request that back-pressure keeps from being sent, which it counts.
    fn withheld(&self, cause: BackPressureError) -> ExchangeError {
        self.metrics.record_withheld_send(withheld_label(cause));
        ExchangeError::Withheld { cause }
    }

    /// Checks, with the connection at hand, that the runner may still receive the request: what
    /// excludes it may have become known while the connection was opened.
    fn check_before_send(&self, runner: &Runner, spec: SendSpec<'_>) -> Result<(), ExchangeError> {
        if let Some(CallerSend { fwd, .. }) = spec.purpose.caller_send()
            && self.shared.is_quarantined(&fwd.crash_keys)
        {
            self.metrics.record_withheld_send("quarantine");
            return Err(ExchangeError::Quarantined);
        }
        if let Some(data_centre) = self.find_outside(runner, spec.purpose) {
            self.metrics.record_withheld_send("residency");
            return Err(ExchangeError::Outside { data_centre });
        }
        if let Some((expected, found)) = self.find_other_version(runner, spec.purpose) {
            self.metrics.record_withheld_send("version");
            return Err(ExchangeError::OtherVersion { expected, found });
        }
        let is_callers = spec.purpose.id().is_some();
        let checked = match spec.permit {
            permit if (is_callers || permit.starts_work()) && self.shared.is_evacuated(runner) => {
                Err(BackPressureError::Evacuated)
            }
            Permit::Exempt | Permit::Order | Permit::Cleanup => Ok(()),
            Permit::Acquire | Permit::Acquired
                if is_callers && !self.shared.accepts_work(runner) =>
            {
                Err(BackPressureError::Leaving)
            }
            Permit::Acquire | Permit::Acquired => self.shared.check_send(runner),
            Permit::Probe => self.shared.check_probe(runner),
        };
        let recorded =
            checked.and_then(|()| self.shared.record_send(runner, send_kind(spec.permit)));
        recorded.map_err(|cause| self.withheld(cause))
    }

    /// A version that differs from the runner's: that of the stream, of the other runner that takes part,
    /// or the one that the runner has in the list by now. The second value is the runner's.
    fn find_other_version(
        &self,
        runner: &Runner,
        purpose: SendPurpose<'_>,
    ) -> Option<(SoftwareVersion, SoftwareVersion)> {
        let CallerSend { fwd, other } = purpose.caller_send()?;
        if !matches!(fwd.route.kind, RouteKind::Stream { .. }) {
            return None;
        }
        let listed = self.shared.listed_version(runner);
        let mut bound =
            [fwd.version.get(), other.map(|it| it.version), listed.as_ref()].into_iter().flatten();
        let differs = bound.find(|version| **version != runner.version)?;
        Some((differs.clone(), runner.version.clone()))
    }

    /// A data centre that the send would reach although the residency in force forbids it. It
    /// applies regardless of the permit, also to a run that returns to its former runner.
    fn find_outside(&self, runner: &Runner, purpose: SendPurpose<'_>) -> Option<DataCentreName> {
        let CallerSend { fwd, other } = purpose.caller_send()?;
        let residency = self.shared.residency_in_force(fwd);
        let other = other.map(|other| other.data_centre);
        let mut reached = std::iter::once(&runner.data_centre).chain(other);
        reached.find(|it| !self.shared.permits_place(&residency, it)).cloned()
    }

    /// Counts the arrival of a caller's request at a runner, just before its bytes are written, and
    /// pays for it. No request reaches a runner in another way.
    fn pay_for_arrival(
        &self,
        runner: &Runner,
        purpose: SendPurpose<'_>,
    ) -> Result<(), ExchangeError> {
        let SendPurpose::Request(CallerSend { fwd, .. }) = purpose else { return Ok(()) };
        let Some(retries) = fwd.arrivals.record() else {
            self.metrics.record_withheld_send("retry_budget");
            return Err(ExchangeError::OverBudget);
        };
        if retries > 0 {
            self.metrics.record_retry();
            log::info!(
                "retries: sent id={} service={} runner={} retries={retries}",
                fwd.request.id,
                fwd.service,
                runner.id,
            );
        }
        Ok(())
    }

    async fn send_without_timeout(
        &self,
        runner: &Runner,
        mut req: Request<Full<Bytes>>,
        spec: SendSpec<'_>,
        mut unused: Option<UnusedPermit<'_>>,
    ) -> Result<Reply, ExchangeError> {
        loop {
            let mut connection = match self.pool.take_idle(&runner.id, spec.purpose.call()) {
                Some(connection) => connection,
                None => self
                    .pool
                    .connect(runner)
                    .await
                    .map_err(|cause| ExchangeError::Unsent { cause })?,
            };
            self.check_before_send(runner, spec)?;
            self.pay_for_arrival(runner, spec.purpose)?;
            if let Some(permit) = &mut unused {
                permit.is_used = true;
            }
            if let Some(trace) = spec.trace {
                trace.record_sent(self.shared.now(), self.shared.list_evidence(runner));
            }
            match connection.sender.try_send_request(req).await {
                Ok(reply) => {
                    return self.check_response(runner, spec.purpose.call(), reply, connection);
                }
                Err(mut e) => match e.take_message() {
                    Some(unsent) => {
                        withdraw_arrival(spec.purpose);
                        if !connection.reused {
                            return Err(ExchangeError::Unsent { cause: e.error().to_string() });
                        }
                        req = unsent;
                    }
                    None => {
                        return Err(ExchangeError::ConnectionLost { cause: e.error().to_string() });
                    }
                },
            }
        }
    }

    fn check_response(
        &self,
        runner: &Runner,
        call: RunnerCall<'_>,
        reply: hyper::Response<Incoming>,
        mut connection: RunnerConnection,
    ) -> Result<Reply, ExchangeError> {
        let (head, body) = reply.into_parts();
        let info = self.dialect.parse_response(&head);
        let is_refusal = info.not_run || info.wrong_runner;
        let answer = AnswerHead { id: info.request.as_ref(), is_refusal };
        match connection.calls.record_answer(call, answer) {
            AnswerOrigin::Own => {}
            AnswerOrigin::Foreign => return Err(ExchangeError::Foreign),
            AnswerOrigin::Unclear => return Err(ExchangeError::Unclear),
        }
        if let Some(cause) = find_contradiction(&head, &info) {
            return Err(ExchangeError::Contradictory { cause });
        }
        // Signals in the response of another runner at this address do not apply to this runner.
        if !info.wrong_runner {
            self.shared.record_runner_answer(&runner.id);
            for kind in self.shared.record_signals(runner, info.signals) {
                self.metrics.record_signal(kind);
            }
        }
        Ok(Reply { head, info, body, connection })
    }

    /// Reads the whole body, of at most `max` bytes, and returns the connection to the pool.
    pub(crate) async fn read_whole(
        &self,
        runner: &Runner,
        reply: Reply,
        max: usize,
        timeout: Millis,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let Reply { head, body, connection, .. } = reply;
        let reading = read_body(&self.shared, body, max);
        let read = match tokio::time::timeout(timeout.duration(), reading).await {
            Ok(Ok(read)) => read,
            Ok(Err(BodyError::Broken { cause })) => {
                return Err(ExchangeError::ConnectionLost { cause });
            }
            Ok(Err(e @ BodyError::TooLarge { .. })) => {
                return Err(ExchangeError::TooLarge { cause: e.to_string() });
            }
            Err(_) => {
                return Err(ExchangeError::NoAnswer { cause: format!("body not in {timeout}") });
            }
        };
        self.pool.keep(&runner.id, connection, &head.headers);
        Ok((head, read))
    }

    /// Sends a control request of the gateway itself and reads the whole response.
    pub(crate) async fn control_request(
        &self,
        runner: &Runner,
        request: ControlRequest,
        permit: Permit,
        timeout: Millis,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        self.control_request_for(SendPurpose::Gateway, runner, request, permit, timeout).await
    }

    /// Sends a control request for the given purpose and reads the whole response.
    pub(crate) async fn control_request_for(
        &self,
        purpose: SendPurpose<'_>,
        runner: &Runner,
        request: ControlRequest,
        permit: Permit,
        timeout: Millis,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let spec = SendSpec { purpose, permit, timeout, trace: None };
        self.send_control(runner, request, spec).await
    }

    async fn send_control(
        &self,
        runner: &Runner,
        request: ControlRequest,
        spec: SendSpec<'_>,
    ) -> Result<(response::Parts, Bytes), ExchangeError> {
        let mut req = Request::new(Full::new(request.body));
        *req.method_mut() = request.method;
        *req.uri_mut() = request
            .path
            .parse()
            .map_err(|e| ExchangeError::Unsent { cause: format!("bad path: {e}") })?;
        *req.headers_mut() = request.headers;
        let host = runner.address.to_string().parse();
        if let Ok(host) = host {
            req.headers_mut().insert(hyper::header::HOST, host);
        }
        let reply = self.send(runner, req, spec).await?;
        self.read_whole(runner, reply, MAX_CONTROL_BYTES, spec.timeout).await
    }
}

/// Why the head of a response has no clear meaning. A refusal needs no body, so its framing does not
/// matter.
fn find_contradiction(head: &response::Parts, info: &ResponseInfo) -> Option<&'static str> {
    let is_refusal = info.not_run || info.wrong_runner;
    if head.status == StatusCode::SWITCHING_PROTOCOLS {
        return Some("it switches to another protocol");
    }
    if info.not_run && head.status.is_success() {
        return Some("a success states that it was not run");
    }
    let is_ambiguous = BodyFraming::is_ambiguous(&head.headers);
    (is_ambiguous && !is_refusal).then_some("the framing of its body is ambiguous")
}

fn withdraw_arrival(purpose: SendPurpose<'_>) {
    if let SendPurpose::Request(CallerSend { fwd, .. }) = purpose {
        fwd.arrivals.withdraw();
    }
}

/// How a request counts at a cold runner.
fn send_kind(permit: Permit) -> SendKind {
    match permit {
        Permit::Acquire | Permit::Probe | Permit::Acquired => SendKind::Permitted,
        Permit::Cleanup => SendKind::Optional,
        Permit::Exempt | Permit::Order => SendKind::Mandatory,
    }
}

/// The cause's label in metrics.
pub(crate) fn withheld_label(cause: BackPressureError) -> &'static str {
    match cause {
        BackPressureError::RetryAfter => "retry_after",
        BackPressureError::Leaving => "leaving",
        BackPressureError::Evacuated => "evacuated",
        BackPressureError::RateLimit => "rate_limit",
        BackPressureError::Cold => "cold",
    }
}
