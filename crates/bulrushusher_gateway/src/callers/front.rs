//! Handles callers' requests: checks, routes and forwards each, and builds the response.

use std::convert::Infallible;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bulrushusher_forward::{CallerLimits, RouteKind, RouteMatch, RoutingConfig};
use bulrushusher_routing::{RequestDigest, RequestKeys};
use bulrushusher_time::Millis;
use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderMap, HeaderValue,
    TRANSFER_ENCODING,
};
use hyper::http::request;
use hyper::{Request, Response, Version};

use crate::access::caller::Caller;
use crate::answers::answer::{Refusal, Withheld, strip_hop_by_hop};
use crate::answers::body::ReplyBody;
use crate::connection::{CallerConnection, RequestGuard};
use crate::dialect::{CallerRequest, Dialect};
use crate::lifecycle::Lifecycle;
use crate::runners::arrivals::PaidArrivals;
use crate::runners::router::{ForwardedRequest, Router, origin_form};
use crate::runs::call::call;
use crate::runs::generation::generate;

/// Retry-After of a request that is refused while the gateway starts or stops: another gateway, or
/// this one after its start, can serve it.
const IMMEDIATE_RETRY: Millis = Millis(50);

/// Retry-After of a request for a route that cannot be read: an operator has to correct the
/// configuration, and no other gateway can read it either.
const UNREADABLE_ROUTE_DELAY: Millis = Millis(5_000);

/// Timeout of a caller that states none; the route's timeout then applies.
const NO_CALLER_TIMEOUT: Millis = Millis::MAX;

/// The handler of callers' requests.
#[derive(Debug)]
pub(crate) struct Front<D> {
    pub router: Arc<Router<D>>,
    pub lifecycle: Lifecycle,
    /// Bytes of request bodies in memory.
    pub buffered: Arc<AtomicUsize>,
}

/// Counts the bytes of a request's body towards the total until dropped.
struct BufferedBytes {
    bytes: usize,
    total: Arc<AtomicUsize>,
}

impl Drop for BufferedBytes {
    fn drop(&mut self) {
        self.total.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Limits on callers until a configuration is known.
const LIMITS_AT_START: CallerLimits = CallerLimits {
    header_bytes: 16 << 10,
    body_bytes: 1 << 20,
    header_timeout: Millis(3_000),
    idle_timeout: Millis(10_000),
};

/// The body of a request that was not read to its end. Its connection counts as busy.
struct RequestBody {
    body: Incoming,
    /// True if the caller sends the body only when it is asked for.
    awaits_continue: bool,
    guard: Arc<RequestGuard>,
}

impl RequestBody {
    /// Reads the body without keeping it, while its request is refused: a connection that is closed
    /// with bytes that were not read is reset, and its caller may not get the refusal.
    fn discard(self, limits: &CallerLimits) {
        if self.awaits_continue || self.body.is_end_stream() {
            return;
        }
        let (timeout, max_bytes) = (limits.header_timeout.duration(), limits.body_bytes);
        tokio::spawn(async move {
            let RequestBody { mut body, guard, .. } = self;
            let mut bytes = 0;
            while let Ok(Some(Ok(frame))) = tokio::time::timeout(timeout, body.frame()).await {
                bytes += frame.data_ref().map_or(0, |data| data.len());
                if bytes > max_bytes {
                    break;
                }
            }
            drop(guard);
        });
    }
}

/// Part of the memory for request bodies from which on no further connections are accepted; the rest is
/// for those that are open.
const BUFFER_SHARE: f64 = 0.8;

impl<D: Dialect> Front<D> {
    /// True if the body of another caller may find no memory.
    pub(crate) fn is_short_of_memory(&self) -> bool {
        let max = self.router.shared.cfg().max_buffered_bytes as f64;
        self.buffered.load(Ordering::Relaxed) as f64 > max * BUFFER_SHARE
    }

    /// Responds to one request. Never fails: errors become refusals.
    pub(crate) async fn serve(
        self: Arc<Self>,
        req: Request<Incoming>,
        connection: Arc<CallerConnection>,
    ) -> Result<Response<ReplyBody>, Infallible> {
        let guard = Arc::new(connection.start_request());
        let received = self.router.now();
        let (head, body) = req.into_parts();
        let closes = is_chunked(&head) || self.lifecycle.is_stopping();
        let awaits_continue = head.headers.contains_key(EXPECT);
        let body = RequestBody { body, awaits_continue, guard: guard.clone() };
        let mut reply = self.answer(head, body, received).await;
        if closes || self.lifecycle.is_stopping() {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(reply.map(|body| body.with_guard(guard)))
    }

    async fn answer(
        &self,
        mut head: request::Parts,
        body: RequestBody,
        received: Millis,
    ) -> Response<ReplyBody> {
        if let Err(refusal) = check_framing(&head) {
            log::info!("front: refused cause=\"{}\"", refusal.reason());
            return refusal.into_response(HeaderMap::new());
        }
        strip_hop_by_hop(&mut head.headers);
        head.headers.remove(CONTENT_LENGTH);
        head.headers.remove(EXPECT);
        let request = match self.router.dialect.parse_request(&head) {
            Ok(request) => request,
            Err(e) => {
                log::info!("front: refused cause=\"{e}\"");
                return Refusal::BadRequest("the request head cannot be parsed")
                    .into_response(HeaderMap::new());
            }
        };
        // Not a task of its own: it ends with its connection, which gives back what it holds.
        let forwarded = AssertUnwindSafe(self.forward(&head, &request, body, received));
        let (kind, outcome) = forwarded.catch_unwind().await.unwrap_or_else(|_| {
            // A runner may have got the request before the panic.
            let reason = "the gateway failed while it forwarded the request";
            ("unknown", Err(Refusal::OutcomeUnknown(reason)))
        });
        let took = self.router.now().since(received);
        let result = match &outcome {
            Ok(_) => "answered",
            Err(refusal) => refusal.outcome(),
        };
        self.router.metrics.record_request(kind, result, took.0 as f64);
        let reply = match outcome {
            Ok(reply) => reply,
            Err(refusal) => {
                log::info!(
                    "front: refused id={} reason=\"{}\" patience_ms={}",
                    request.id,
                    refusal.reason(),
                    request.timeout.map_or(0, |p| p.0),
                );
                refusal.into_response(self.router.dialect.refusal_headers(&request))
            }
        };
        log::info!(
            "front: answered id={} kind={kind} status={} outcome={result} ms={}",
            request.id,
            reply.status().as_u16(),
            took.0,
        );
        reply
    }

    async fn forward(
        &self,
        head: &request::Parts,
        request: &CallerRequest,
        mut body: RequestBody,
        received: Millis,
    ) -> (&'static str, Result<Response<ReplyBody>, Refusal>) {
        let Some(routing) = self.router.shared.routing() else {
            body.discard(&LIMITS_AT_START);
            return ("unknown", Err(starting()));
        };
        let mut fwd = match self.route(&routing, head, request, received) {
            Ok(fwd) => fwd,
            Err(refusal) => {
                body.discard(&routing.limits);
                return ("unknown", Err(refusal));
            }
        };
        let kind = kind_label(fwd.route.kind);
        fwd.caller = match self.accept(&routing, &fwd, head).await {
            Ok(caller) => caller,
            Err(refusal) => {
                body.discard(&routing.limits);
                return (kind, Err(refusal));
            }
        };
        if let Some(account) = fwd.caller.account() {
            fwd.residency = fwd.residency.and(&account.residency);
        }
        if fwd.caller.strips_key() {
            fwd.request.headers.remove(AUTHORIZATION);
        }
        let (read, _buffered) = match self.read_body(&mut body.body, &routing.limits).await {
            Ok(read) => read,
            Err(refusal) => {
                body.discard(&routing.limits);
                return (kind, Err(refusal));
            }
        };
        fwd.set_body(read);
        log::info!(
            "front: accepted id={} digest={} route={} service={} kind={kind} left_ms={} \
             elapsed_before_ms={} configuration={} target_ms={} pause_target_ms={} prompt={} \
             account={} cost={} resumes={} parts={}",
            request.id,
            fwd.digest,
            fwd.route.name,
            fwd.service,
            fwd.remaining(received).0,
            fwd.elapsed_before.0,
            routing.version,
            fwd.route.target.0,
            fwd.route.gap_target.0,
            fwd.prompt_tokens(),
            fwd.caller.account_name().map_or("none", |name| name.as_str()),
            fwd.caller.cost(),
            request.resumes.as_ref().map_or("none", |id| id.as_str()),
            request.parts,
        );
        let may_run = match self.router.may_run(&fwd) {
            Ok(()) => self.router.bind_to_stream(&fwd).await,
            withheld => withheld,
        };
        if let Err(withheld) = may_run {
            let Withheld { reason, retry_after } = withheld;
            let refusal = Refusal::NotRun { reason, retry_after };
            return (kind, Err(refusal));
        }
        self.router.shared.earn_retry(&fwd.service);
        self.router.shared.record_demand();
        let outcome = tokio::select! {
            outcome = self.execute(&fwd) => outcome,
            () = self.lifecycle.final_answer_deadline(&self.router.shared.clock) => {
                Err(Refusal::OutcomeUnknown("the gateway stops before a runner has answered"))
            }
        };
        if outcome.as_ref().is_err_and(|refusal| refusal.is_not_run()) {
            fwd.caller.refund();
        }
        (kind, outcome)
    }

    /// Checks whether the request may be served at present, and admits its caller.
    async fn accept(
        &self,
        routing: &RoutingConfig,
        fwd: &ForwardedRequest,
        head: &request::Parts,
    ) -> Result<Caller, Refusal> {
        if !self.router.shared.can_serve() {
            return Err(starting());
        }
        if let Some(refusal) = self.refuse_while_stopping(fwd) {
            return Err(refusal);
        }
        self.router.admit(routing, &fwd.route, head, &fwd.request).await
    }

    async fn execute(&self, fwd: &ForwardedRequest) -> Result<Response<ReplyBody>, Refusal> {
        match fwd.route.kind {
            RouteKind::Stream { .. } => generate(&self.router, fwd).await,
            RouteKind::Idempotent | RouteKind::NonIdempotent => call(&self.router, fwd).await,
        }
    }

    fn route(
        &self,
        routing: &RoutingConfig,
        head: &request::Parts,
        request: &CallerRequest,
        received: Millis,
    ) -> Result<ForwardedRequest, Refusal> {
        let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
        let host = host.or(head.uri.authority().map(|a| a.as_str()));
        let host = host.ok_or(Refusal::BadRequest("the request names no host"))?;
        let route = match routing.find_route(host_name(host), head.uri.path()) {
            RouteMatch::Route(route) => route,
            RouteMatch::Unreadable => {
                let reason = "the route cannot be read in the configuration in force";
                return Err(Refusal::NotRun { reason, retry_after: UNREADABLE_ROUTE_DELAY });
            }
            RouteMatch::None => return Err(Refusal::NoRoute),
        };
        let service = route.service(self.router.shared.draw()).clone();
        let timeout = request.timeout.unwrap_or(NO_CALLER_TIMEOUT);
        let elapsed_before = match request.timeout {
            Some(timeout) => self.router.shared.elapsed_before(route, timeout),
            None => Millis(0),
        };
        let arrivals = PaidArrivals::new(self.router.shared.clone(), service.clone());
        let arrivals = Arc::new(arrivals);
        Ok(ForwardedRequest {
            request: request.clone(),
            caller: Caller::Unchecked,
            route: route.clone(),
            service,
            method: head.method.clone(),
            uri: origin_form(head),
            body: Bytes::new(),
            digest: RequestDigest::default(),
            crash_keys: RequestKeys::default(),
            parts: Arc::default(),
            received,
            deadline: received.plus(timeout.min(route.timeout)),
            elapsed_before,
            residency: route.residency.clone(),
            arrivals,
            version: Arc::default(),
        })
    }

    /// Refuses, while the gateway stops, requests that would not end before it is killed.
    fn refuse_while_stopping(&self, fwd: &ForwardedRequest) -> Option<Refusal> {
        let stop = self.lifecycle.shutdown()?;
        let expected = match fwd.route.kind {
            RouteKind::Stream { .. } => self
                .router
                .shared
                .with_timing(&fwd.service, |pace| pace.generation_time_upper_bound()),
            RouteKind::Idempotent | RouteKind::NonIdempotent => fwd.route.target,
        };
        if stop.can_finish(self.router.now(), expected) {
            return None;
        }
        let reason = "the gateway is stopping";
        Some(Refusal::NotRun { reason, retry_after: IMMEDIATE_RETRY })
    }

    async fn read_body(
        &self,
        body: &mut Incoming,
        limits: &CallerLimits,
    ) -> Result<(Bytes, BufferedBytes), Refusal> {
        let declared = body.size_hint().lower();
        if declared > limits.body_bytes as u64 {
            return Err(Refusal::TooLarge);
        }
        let mut buffered = BufferedBytes { bytes: 0, total: self.buffered.clone() };
        let max_buffered = self.router.shared.cfg().max_buffered_bytes;
        let mut read = BytesMut::with_capacity((declared as usize).min(INITIAL_BODY_CAPACITY));
        let timeout = limits.header_timeout.duration();
        loop {
            let frame = match tokio::time::timeout(timeout, body.frame()).await {
                Err(_) => return Err(Refusal::BodyTooSlow),
                Ok(None) => return Ok((read.freeze(), buffered)),
                Ok(Some(Err(_))) => return Err(Refusal::BadRequest("the body is malformed")),
                Ok(Some(Ok(frame))) => frame,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            if read.len() + bytes.len() > limits.body_bytes {
                return Err(Refusal::TooLarge);
            }
            buffered.bytes += bytes.len();
            if self.buffered.fetch_add(bytes.len(), Ordering::Relaxed) + bytes.len() > max_buffered
            {
                let reason = "too many bodies are in memory";
                return Err(Refusal::NotRun { reason, retry_after: IMMEDIATE_RETRY });
            }
            read.extend_from_slice(&bytes);
        }
    }
}

/// Upper bound of the capacity that is reserved for a body in advance, in bytes: a caller may
/// declare any length at no cost.
const INITIAL_BODY_CAPACITY: usize = 16 << 10;

fn starting() -> Refusal {
    let reason = "the gateway is starting and has no configuration or runners yet";
    Refusal::NotRun { reason, retry_after: IMMEDIATE_RETRY }
}

/// Refuses a body with both a length and chunks: two parsers may disagree on where it ends, which
/// allows request smuggling.
fn check_framing(head: &request::Parts) -> Result<(), Refusal> {
    let is_chunked = head.headers.contains_key(TRANSFER_ENCODING);
    match is_chunked && head.headers.contains_key(CONTENT_LENGTH) {
        true => Err(Refusal::BadRequest("a body must have either a length or chunks, not both")),
        false => Ok(()),
    }
}

/// True for a chunked body, after which the connection is closed: a `Content-Length` that another
/// parser relied on may have been removed, so following bytes must not be parsed as a request.
fn is_chunked(head: &request::Parts) -> bool {
    head.version == Version::HTTP_11 && head.headers.contains_key(TRANSFER_ENCODING)
}

fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or(host)
}

fn kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { .. } => "stream",
    }
}
