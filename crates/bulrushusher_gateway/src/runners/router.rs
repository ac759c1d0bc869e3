//! What the tasks of requests share, and the request that they carry.

use std::sync::Arc;

use bulrushusher_forward::{CallResult, LoadEpoch, Route, Runner, Stage};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_routing::RequestDigest;
use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{AUTHORIZATION, HOST};
use hyper::http::request;
use hyper::{HeaderMap, Method, Request, Uri};

use crate::access::caller::{Caller, KEY_CHECK_AGAIN, KEY_NOT_CONFIRMED};
use crate::answers::answer::QUARANTINED;
use crate::answers::answer::Withheld;
use crate::dialect::{Arrival, Attempt, Dialect, Step};
use crate::knowledge::Knowledge;
use crate::runners::exchange::{ExchangeError, Exchanger, Reply};
use crate::runners::permit::Permit;

/// Share of the time to come back over which callers are spread that wait for the same runner.
const RETURN_SPREAD: f64 = 0.5;

/// No caller is told to come back sooner: what is free by then may be another's already.
const SOONEST_RETURN: Millis = Millis(100);

/// The parts that serving a request needs.
#[derive(Clone, Debug)]
pub(crate) struct Router<D> {
    pub dialect: D,
    pub knowledge: Arc<Knowledge>,
    pub exchanger: Exchanger<D>,
    pub metrics: Arc<GatewayMetrics>,
}

/// A caller's request on its way.
#[derive(Clone, Debug)]
pub(crate) struct Forwarded {
    pub arrival: Arrival,
    pub caller: Caller,
    pub route: Arc<Route>,
    pub service: ServiceName,
    pub method: Method,
    pub uri: Uri,
    pub body: Bytes,
    /// What the caller asks for, and who it is: an attempt that comes again has the same one.
    pub digest: RequestDigest,
    /// When its head was read.
    pub received: Millis,
    /// When it must have its final answer.
    pub ends: Millis,
    /// Time since the caller's first attempt, before this one.
    pub elapsed_before: Millis,
}

impl Forwarded {
    /// True when the response-time target is past already.
    pub(crate) fn is_late(&self) -> bool {
        self.elapsed_before >= self.route.target
    }

    /// Tokens of the prompt; 0 when the request does not say.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        self.arrival.size.map_or(0, |size| size.prompt)
    }

    /// Rank among the requests that wait; 0 is the most urgent. An account's goes before its route's.
    pub(crate) fn priority(&self) -> u8 {
        let own = self.caller.account().and_then(|account| account.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Takes the body, once it has come.
    pub(crate) fn set_body(&mut self, body: Bytes) {
        self.body = body;
        self.digest = self.digest_of_parts();
    }

    fn digest_of_parts(&self) -> RequestDigest {
        let header = |name| self.arrival.headers.get(name).map_or(&[][..], |v| v.as_bytes());
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

    /// Time left to the response-time target.
    pub(crate) fn left_on_time(&self, now: Millis) -> Millis {
        let used = now.since(self.received).plus(self.elapsed_before);
        self.route.target.since(used)
    }

    /// Time left at `now`.
    pub(crate) fn left(&self, now: Millis) -> Millis {
        self.ends.since(now)
    }
}

impl<D: Dialect> Router<D> {
    pub(crate) fn now(&self) -> Millis {
        self.knowledge.now()
    }

    /// Whether the request may run now: it does not end those that run it, and its key is good still.
    ///
    /// # Errors
    /// Why it may not.
    pub(crate) fn may_run(&self, fwd: &Forwarded) -> Result<(), Withheld> {
        if let Some(come_back) = self.knowledge.quarantine_remaining(fwd.digest) {
            return Err(Withheld { reason: QUARANTINED, come_back });
        }
        match fwd.caller.is_good() {
            true => Ok(()),
            false => Err(Withheld { reason: KEY_NOT_CONFIRMED, come_back: KEY_CHECK_AGAIN }),
        }
    }

    /// When a caller should come back where every runner that could serve it asked for fewer requests: spread
    /// over some time from when the first of them takes one more. `None` where one may be called, or none is
    /// there.
    pub(crate) fn pressed_for(&self, fwd: &Forwarded, stage: Option<Stage>) -> Option<Millis> {
        let opens_in = self.knowledge.time_until_any_open(&fwd.service, stage)?;
        let later = 1.0 + RETURN_SPREAD * self.knowledge.draw();
        Some(opens_in.max(SOONEST_RETURN).share(later))
    }

    /// When a refused caller should come back.
    pub(crate) fn come_back(&self, fwd: &Forwarded) -> Millis {
        let returns = self.knowledge.cfg().returns();
        returns.retry_after(fwd.left(self.now()), self.knowledge.draw())
    }

    /// Sends the request to a runner and waits for the head of its answer.
    pub(crate) async fn attempt(
        &self,
        fwd: &Forwarded,
        runner: &Runner,
        sending: Sending<'_>,
        within: Millis,
    ) -> Result<Reply, ExchangeError> {
        let Sending { resume_after, step, permit } = sending;
        let left = fwd.left(self.now());
        if !matches!(step, Step::ReadPrompt) {
            fwd.caller.mark_sent();
        }
        let account = fwd.caller.account_name();
        let attempt = Attempt { runner: &runner.id, left, resume_after, account, step };
        let headers = self.dialect.attempt_headers(&fwd.arrival, &attempt);
        let req = build(fwd, headers);
        self.exchanger.send(runner, Some(&fwd.arrival.id), req, permit, within).await
    }

    /// Notes how an attempt went, for choices, metrics and the log.
    pub(crate) fn note_attempt(&self, fwd: &Forwarded, note: AttemptNote<'_>) {
        let took = self.now().since(note.began);
        let result = match note.result {
            CallResult::Answered(_) => CallResult::Answered(took),
            other => other,
        };
        self.knowledge.record_call(note.runner, result);
        let word = word(result);
        self.metrics.attempt(note.step, word, took.0 as f64);
        log::info!(
            "route: attempt ended id={} step={} runner={} result={word} detail=\"{}\" ms={} \
             left_ms={}",
            fwd.arrival.id,
            note.step,
            note.runner.id,
            note.detail,
            took.0,
            fwd.left(self.now()).0,
        );
    }

    /// The runner's address belongs to another one, or it is gone.
    pub(crate) fn forget_runner(&self, runner: &RunnerId, cause: &str) {
        log::info!("runners: gone id={runner} cause=\"{cause}\"");
        self.knowledge.forget_runner(runner);
        self.exchanger.pool().forget(runner);
    }
}

/// What of a request is sent to a runner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sending<'a> {
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    pub step: Step<'a>,
    pub permit: Permit,
}

/// How an attempt went.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptNote<'a> {
    pub runner: &'a Runner,
    pub step: &'static str,
    pub began: Millis,
    pub result: CallResult,
    pub detail: &'a str,
}

fn word(result: CallResult) -> &'static str {
    match result {
        CallResult::Answered(_) => "answered",
        CallResult::Failed => "failed",
        CallResult::NotRun => "not_run",
        CallResult::Unreachable => "unreachable",
        CallResult::Withheld => "withheld",
    }
}

fn build(fwd: &Forwarded, headers: HeaderMap) -> Request<Full<Bytes>> {
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

/// Counts a call at a runner as long as it lives.
#[derive(Debug)]
pub(crate) struct LoadTicket {
    knowledge: Arc<Knowledge>,
    runner: RunnerId,
    life: LoadEpoch,
    prompt_tokens: u64,
}

impl LoadTicket {
    pub(crate) fn begin(
        knowledge: &Arc<Knowledge>,
        runner: &RunnerId,
        prompt_tokens: u64,
    ) -> LoadTicket {
        let life = knowledge.with_runners(|runners, now| {
            runners.loads.record_probe(runner, now);
            runners.loads.begin(runner, prompt_tokens)
        });
        LoadTicket { knowledge: knowledge.clone(), runner: runner.clone(), life, prompt_tokens }
    }
}

impl Drop for LoadTicket {
    fn drop(&mut self) {
        let (runner, tokens) = (&self.runner, self.prompt_tokens);
        self.knowledge.with_runners(|runners, _| runners.loads.end(runner, self.life, tokens));
    }
}
