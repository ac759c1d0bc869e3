//! The context that the tasks of requests share, and the forwarded request.

use std::sync::{Arc, OnceLock};

use bulrushusher_forward::{
    CallResult, LoadEpoch, PartId, Route, RouteKind, Runner, SoftwareVersion, Stage,
};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_routing::{CrashKey, RequestDigest, RequestKeys};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, Residency, RunnerId, ServiceName};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request;
use hyper::{HeaderMap, Method, Request, Uri};

use crate::access::caller::{Caller, KEY_NOT_CONFIRMED, KEY_RECHECK_DELAY};
use crate::answers::answer::{EVACUATED, Withheld};
use crate::dialect::{Attempt, CallerRequest, Dialect, KvCache, Step};
use crate::runners::arrivals::PaidArrivals;
use crate::runners::exchange::{ExchangeError, Exchanger, Reply};
use crate::runners::permit::Permit;
use crate::runners::send_spec::{CallerSend, SendPurpose, SendSpec};
use crate::runners::send_trace::SendTrace;
use crate::shared::SharedState;

/// Spread of Retry-After, as a share of it, over callers that wait for the same runner.
const RETRY_AFTER_SPREAD: f64 = 0.5;

/// Lower bound of Retry-After: capacity that is free sooner may be taken by another caller already.
const MIN_RETRY_AFTER: Millis = Millis(100);

/// Retry-After of a failed plain call; short, as the pools of plain calls have no long queues.
const CALL_RETRY_AFTER: Millis = Millis(300);

/// The components that serving a request needs.
#[derive(Clone, Debug)]
pub(crate) struct Router<D> {
    pub dialect: D,
    pub shared: Arc<SharedState>,
    pub exchanger: Exchanger<D>,
    pub metrics: Arc<GatewayMetrics>,
}

/// A part of a prompt, as crashes are recorded for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartKey {
    pub id: PartId,
    /// Digest of the part at the engines of a service. All versions of their software count as one:
    /// which of them a part crashes is not known before it has crashed each.
    pub digest: RequestDigest,
}

impl PartKey {
    fn new(id: PartId, service: &ServiceName) -> PartKey {
        let digest = RequestDigest::of([service.as_str().as_bytes(), &id.to_bytes()]);
        PartKey { id, digest }
    }

    pub(crate) fn key(&self) -> CrashKey {
        CrashKey::Part(self.digest)
    }
}

/// A caller's request that is being forwarded.
#[derive(Clone, Debug)]
pub(crate) struct ForwardedRequest {
    pub request: CallerRequest,
    pub caller: Caller,
    pub route: Arc<Route>,
    pub service: ServiceName,
    pub method: Method,
    pub uri: Uri,
    pub body: Bytes,
    /// Digest of the request and its caller; a retry of the same request has the same digest.
    pub digest: RequestDigest,
    /// What the request is recognised by when runners crash on it.
    pub crash_keys: RequestKeys,
    /// The shared parts of its prompt, with the key of each.
    pub parts: Arc<[PartKey]>,
    /// When the head was read.
    pub received: Millis,
    /// When the caller must have its final response.
    pub deadline: Millis,
    /// Time between the caller's first attempt and this one.
    pub elapsed_before: Millis,
    /// Where the request may be processed by the configuration under which it was accepted.
    pub residency: Residency,
    /// Its arrivals at runners.
    pub arrivals: Arc<PaidArrivals>,
    /// The software version that began its stream, once it has begun.
    pub version: Arc<OnceLock<SoftwareVersion>>,
}

impl ForwardedRequest {
    /// True when the response-time target had passed before this attempt.
    pub(crate) fn is_late(&self) -> bool {
        self.elapsed_before >= self.route.target
    }

    /// Tokens of the prompt; 0 when the request does not state it.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.request.size.map_or(0, |size| size.prompt)
    }

    /// Priority in the wait queue; 0 is the most urgent. An account's priority overrides the
    /// route's.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.caller.account().and_then(|account| account.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Sets the body and computes the digests.
    pub(crate) fn set_body(&mut self, body: Bytes) {
        self.body = body;
        self.digest = self.compute_digest();
        let parts = self.request.parts.shared().iter();
        self.parts = parts.map(|id| PartKey::new(*id, &self.service)).collect();
        self.crash_keys = RequestKeys::new(self.digest, self.parts.iter().map(|part| part.digest));
    }

    fn compute_digest(&self) -> RequestDigest {
        let header = |name| self.request.headers.get(name).map_or(&[][..], |v| v.as_bytes());
        RequestDigest::of([
            self.method.as_str().as_bytes(),
            header(HOST),
            self.uri.path().as_bytes(),
            self.uri.query().unwrap_or_default().as_bytes(),
            header(AUTHORIZATION),
            self.caller.account_name().map_or(&[][..], |name| name.as_str().as_bytes()),
            &self.body,
        ])
    }

    /// Time remaining to the response-time target.
    pub(crate) fn remaining_to_target(&self, now: Millis) -> Millis {
        let used = now.since(self.received).plus(self.elapsed_before);
        self.route.target.since(used)
    }

    /// Time remaining to the deadline.
    pub(crate) fn remaining(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }
}

impl<D: Dialect> Router<D> {
    pub(crate) fn now(&self) -> Millis {
        self.shared.now()
    }

    /// Checks that the request may run now: it is not quarantined, its API key is still valid, its
    /// residency leaves it a place, and not all data centres with runners for it are evacuated.
    ///
    /// # Errors
    /// The reason why it may not run, with the time after which to retry.
    pub(crate) fn may_run(&self, fwd: &ForwardedRequest) -> Result<(), Withheld> {
        self.check_quarantine(fwd)?;
        if !fwd.caller.is_authorized() {
            return Err(Withheld { reason: KEY_NOT_CONFIRMED, retry_after: KEY_RECHECK_DELAY });
        }
        self.check_residency(fwd)?;
        self.check_version(fwd, &[])?;
        if self.shared.has_only_evacuated(&self.destination(fwd)) {
            log::info!("evacuations: no runner left id={} service={}", fwd.request.id, fwd.service);
            return Err(Withheld { reason: EVACUATED, retry_after: self.retry_after(fwd) });
        }
        Ok(())
    }

    /// Retry-After while back-pressure applies at every runner that could serve the request: the
    /// time until the first of them accepts a request, plus a random spread. `None` when one
    /// accepts requests, or when there is no runner.
    pub(crate) fn back_pressure_delay(
        &self,
        fwd: &ForwardedRequest,
        stage: Option<Stage>,
    ) -> Option<Millis> {
        let delay = self.shared.time_until_any_open(&self.destination(fwd), stage)?;
        let spread = 1.0 + RETRY_AFTER_SPREAD * self.shared.draw();
        Some(delay.max(MIN_RETRY_AFTER).share(spread))
    }

    /// Retry-After of a request of this kind that finds no runner.
    pub(crate) fn usual_retry_after(&self, fwd: &ForwardedRequest) -> Millis {
        match fwd.route.kind {
            RouteKind::Stream { .. } => self.retry_after(fwd),
            RouteKind::Idempotent | RouteKind::NonIdempotent => {
                Millis(CALL_RETRY_AFTER.0.min(fwd.remaining(self.now()).0 / 4))
            }
        }
    }

    /// Retry-After of a refused generation.
    pub(crate) fn retry_after(&self, fwd: &ForwardedRequest) -> Millis {
        let config = self.shared.cfg().retry_after_config();
        config.retry_after(fwd.remaining(self.now()), self.shared.draw())
    }

    /// Sends the request to a runner and waits for the head of the response.
    pub(crate) async fn attempt(
        &self,
        fwd: &ForwardedRequest,
        runner: &Runner,
        spec: AttemptSpec<'_>,
        timeout: Millis,
        trace: &SendTrace,
    ) -> Result<Reply, ExchangeError> {
        let AttemptSpec { resume_after, step, permit } = spec;
        let remaining = fwd.remaining(self.now());
        if !matches!(step, Step::Prefill) {
            fwd.caller.mark_sent();
        }
        let account = fwd.caller.account_name();
        let attempt = Attempt { runner: &runner.id, remaining, resume_after, account, step };
        let headers = self.dialect.attempt_headers(&fwd.request, &attempt);
        let req = build_request(fwd, headers);
        let other = match step {
            Step::Generate { kv, .. } => kv.map(KvCache::holder),
            Step::Whole | Step::Prefill => None,
        };
        let purpose = SendPurpose::Request(CallerSend { fwd, other });
        let send = SendSpec { purpose, permit, timeout, trace: Some(trace) };
        self.exchanger.send(runner, req, send).await
    }

    /// Records the result of an attempt for runner selection, in metrics and in the log.
    pub(crate) fn record_attempt(&self, fwd: &ForwardedRequest, record: AttemptRecord<'_>) {
        let took = self.now().since(record.started);
        let result = match record.result {
            CallResult::Answered(_) => CallResult::Answered(took),
            other => other,
        };
        self.shared.record_call(record.runner, result);
        let label = result_label(result);
        self.metrics.record_attempt(record.step, label, took.0 as f64);
        if let Some(waited) = record.trace.waited() {
            self.metrics.record_send_wait(record.step, waited.0 as f64);
            self.record_work(record.step, &self.shared.cfg().data_centre, record.runner);
        }
        log::info!(
            "route: attempt ended id={} step={} runner={} version={} result={label} \
             detail=\"{}\" ms={} left_ms={} {}",
            fwd.request.id,
            record.step,
            record.runner.id,
            record.runner.version,
            record.detail,
            took.0,
            fwd.remaining(self.now()).0,
            record.trace,
        );
    }

    /// Counts work at the runner as in the same region as data centre `from` or in another one;
    /// nothing where there is one region.
    pub(crate) fn record_work(&self, work: &'static str, from: &DataCentreName, runner: &Runner) {
        let topology = &self.shared.cfg().topology;
        if topology.has_many_regions() {
            let is_same = topology.is_same_region(from, &runner.data_centre);
            self.metrics.record_work(work, if is_same { "own" } else { "other" });
        }
    }

    /// Removes a runner that is gone, or whose address belongs to another one.
    pub(crate) fn remove_runner(&self, runner: &RunnerId, cause: &str) {
        log::info!("runners: gone id={runner} cause=\"{cause}\"");
        self.shared.forget_runner(runner);
        self.exchanger.pool().forget(runner);
    }
}

/// Parameters of an attempt at a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptSpec<'a> {
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
    pub step: Step<'a>,
    pub permit: Permit,
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptRecord<'a> {
    pub runner: &'a Runner,
    pub step: &'static str,
    pub started: Millis,
    pub result: CallResult,
    /// What the attempt was decided by.
    pub trace: &'a SendTrace,
    /// Cause of a result other than an answer, for the log line; empty for an answer.
    pub detail: &'a str,
}

fn result_label(result: CallResult) -> &'static str {
    match result {
        CallResult::Answered(_) => "answered",
        CallResult::Failed => "failed",
        CallResult::NotRun => "not_run",
        CallResult::Unreachable => "unreachable",
        CallResult::Withheld => "withheld",
    }
}

fn build_request(fwd: &ForwardedRequest, headers: HeaderMap) -> Request<Full<Bytes>> {
    let mut req = Request::new(Full::new(fwd.body.clone()));
    *req.method_mut() = fwd.method.clone();
    *req.uri_mut() = fwd.uri.clone();
    *req.headers_mut() = headers;
    req
}

/// Path and query of a caller's request, without scheme and host.
pub(crate) fn origin_form(head: &request::Parts) -> Uri {
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}

/// Counts a request towards its runner's load until dropped.
#[derive(Debug)]
pub(crate) struct LoadGuard {
    shared: Arc<SharedState>,
    runner: RunnerId,
    epoch: LoadEpoch,
    prompt_tokens: u64,
}

impl LoadGuard {
    pub(crate) fn begin(
        shared: &Arc<SharedState>,
        runner: &RunnerId,
        prompt_tokens: u64,
    ) -> LoadGuard {
        let epoch = shared.with_runners(|runners, now| {
            runners.loads.record_probe(runner, now);
            runners.loads.begin(runner, prompt_tokens)
        });
        LoadGuard { shared: shared.clone(), runner: runner.clone(), epoch, prompt_tokens }
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let (runner, tokens) = (&self.runner, self.prompt_tokens);
        self.shared.with_runners(|runners, _| runners.loads.end(runner, self.epoch, tokens));
    }
}
