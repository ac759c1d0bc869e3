//! The gateway's own refusals, and the responses that it forwards.

use bulrushusher_forward::FinalAnswer;
use bulrushusher_time::Millis;
use bytes::Bytes;
use hyper::header::{
    CONTENT_ENCODING, CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderName, HeaderValue,
    RETRY_AFTER, WWW_AUTHENTICATE,
};
use hyper::http::response;
use hyper::{Response, StatusCode};

use crate::answers::body::ReplyBody;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Refusal reason of a quarantined request; a retry within minutes cannot succeed.
pub(crate) const QUARANTINED: &str = "runners ended on this request each time it was run, and it is \
                                      run no more for now; change it, or ask the operator";

/// Refusal reason of a request with a quarantined part of its prompt; a retry within minutes cannot
/// succeed.
pub(crate) const PART_QUARANTINED: &str = "runners ended on a part of its prompt each time they ran it, and \
                                           the part is run no more for now; leave it out, or ask \
                                           the operator";

/// Refusal reason when all data centres that could serve the request are evacuated.
pub(crate) const EVACUATED: &str = "all data centres with runners for it are being emptied";

/// Refusal reason when the gateway backs off from every runner, or has used up its share of their
/// rate limits.
pub(crate) const BACK_PRESSURE: &str = "all runners have asked for fewer requests";

/// Refusal reason when no runner is in the regions to which the request is restricted.
pub(crate) const OUTSIDE_REGIONS: &str =
    "no runner is in the regions that are allowed for this request";

/// Refusal reason when a caller continues a stream and no gateway knows which software version began
/// it, while several serve.
pub(crate) const VERSION_UNKNOWN: &str =
    "the software version that began the stream is not known; begin it anew";

/// Refusal reason when a stream cannot continue for lack of runners of its version.
pub(crate) const VERSION_GONE: &str =
    "no runner of the software version that began the stream is left; begin it anew";

/// Why a request must not be sent to runners at present, and when to retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Withheld {
    pub reason: &'static str,
    pub retry_after: Millis,
}

/// Why the gateway itself answers a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The head or the framing of the body is invalid.
    BadRequest(&'static str),
    /// No route matches the host and path.
    NoRoute,
    /// The request has no valid API key of a client account.
    Unauthorized(&'static str),
    /// The client account has used up its quota; the request has not run.
    OverQuota {
        /// Time until the quota allows the request.
        retry_after: Millis,
    },
    /// The body is larger than allowed.
    TooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The gateway has no configuration yet, or there is no runner, memory or time; the request has
    /// not run.
    NotRun {
        /// What is missing.
        reason: &'static str,
        /// Time after which to retry.
        retry_after: Millis,
    },
    /// The request may have run, and there is no complete response.
    OutcomeUnknown(&'static str),
    /// The request may have run, and its deadline has passed.
    TimedOut,
}

impl Refusal {
    /// The refusal after the last attempt.
    pub(crate) fn after_attempts(
        end: FinalAnswer,
        reason: &'static str,
        retry_after: Millis,
    ) -> Refusal {
        match end {
            FinalAnswer::NotRun => Refusal::NotRun { reason, retry_after },
            FinalAnswer::OutcomeUnknown => Refusal::OutcomeUnknown(reason),
        }
    }

    pub(crate) fn status(self) -> StatusCode {
        match self {
            Refusal::BadRequest(_) => StatusCode::BAD_REQUEST,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::Unauthorized(_) => StatusCode::UNAUTHORIZED,
            Refusal::OverQuota { .. } => StatusCode::TOO_MANY_REQUESTS,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Refusal::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Refusal::OutcomeUnknown(_) => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The reason, for callers and logs.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            Refusal::BadRequest(reason)
            | Refusal::Unauthorized(reason)
            | Refusal::OutcomeUnknown(reason) => reason,
            Refusal::OverQuota { .. } => "the client account is over its quota",
            Refusal::NoRoute => "no route matches this host and path",
            Refusal::TooLarge => "the body is larger than allowed",
            Refusal::BodyTooSlow => "the body did not arrive in time",
            Refusal::NotRun { reason, .. } => reason,
            Refusal::TimedOut => "no answer within the route's timeout",
        }
    }

    /// The outcome's label in metrics.
    pub(crate) fn outcome(self) -> &'static str {
        match self {
            Refusal::BadRequest(_) => "bad_request",
            Refusal::NoRoute => "no_route",
            Refusal::Unauthorized(_) => "unauthorized",
            Refusal::OverQuota { .. } => "over_quota",
            Refusal::TooLarge => "too_large",
            Refusal::BodyTooSlow => "body_too_slow",
            Refusal::NotRun { .. } => "not_run",
            Refusal::OutcomeUnknown(_) => "outcome_unknown",
            Refusal::TimedOut => "timed_out",
        }
    }

    /// True when the refusal guarantees that the request has not run and will not.
    pub(crate) fn is_not_run(self) -> bool {
        match self {
            Refusal::OutcomeUnknown(_) | Refusal::TimedOut => false,
            Refusal::BadRequest(_)
            | Refusal::NoRoute
            | Refusal::Unauthorized(_)
            | Refusal::OverQuota { .. }
            | Refusal::TooLarge
            | Refusal::BodyTooSlow
            | Refusal::NotRun { .. } => true,
        }
    }

    /// The response, with the headers that the protocol adds.
    pub(crate) fn into_response(self, headers: HeaderMap) -> Response<ReplyBody> {
        let run = if self.is_not_run() { "not_run" } else { "outcome_unknown" };
        let text = format!("{{\"run\":\"{run}\",\"message\":\"{}\"}}\n", self.reason());
        let mut reply = Response::new(ReplyBody::whole(Bytes::from(text)));
        *reply.status_mut() = self.status();
        *reply.headers_mut() = headers;
        reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        match self {
            Refusal::NotRun { retry_after, .. } | Refusal::OverQuota { retry_after } => {
                reply.headers_mut().insert(RETRY_AFTER, seconds(retry_after));
            }
            Refusal::Unauthorized(_) => {
                let scheme = HeaderValue::from_static("Bearer");
                reply.headers_mut().insert(WWW_AUTHENTICATE, scheme);
            }
            Refusal::BadRequest(_)
            | Refusal::NoRoute
            | Refusal::TooLarge
            | Refusal::BodyTooSlow
            | Refusal::OutcomeUnknown(_)
            | Refusal::TimedOut => {}
        }
        reply
    }
}

fn seconds(length: Millis) -> HeaderValue {
    let text = format!("{:.3}", length.0 as f64 / 1_000.0);
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1"))
}

/// Removes hop-by-hop headers, including those that `Connection` names.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all("connection")
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// True for a status that promises that the request has not run and will not.
pub(crate) fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// True for the body of a generation. A header that is repeated may be read in several ways.
pub(crate) fn is_event_stream(headers: &HeaderMap) -> bool {
    let mut kinds = headers.get_all(CONTENT_TYPE).iter();
    let (Some(kind), None) = (kinds.next(), kinds.next()) else { return false };
    let essence = kind.to_str().ok().and_then(|kind| kind.split(';').next());
    essence.is_some_and(|it| it.trim().eq_ignore_ascii_case("text/event-stream"))
}

/// True for a body that states an encoding, which no caller has asked for, so that it is not the
/// runner's.
pub(crate) fn is_encoded(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_ENCODING)
}

/// True for a status that rules out a body.
fn has_no_body(status: StatusCode) -> bool {
    matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Forwards a runner's complete response to a request that has run.
///
/// # Errors
/// [`Refusal::OutcomeUnknown`] in place of a status that promises the opposite.
pub(crate) fn forward_response(
    head: response::Parts,
    body: Bytes,
) -> Result<Response<ReplyBody>, Refusal> {
    if promises_not_run(head.status) {
        return Err(Refusal::OutcomeUnknown("the runner has run the request and refused it"));
    }
    let is_empty = body.is_empty();
    let mut reply = Response::new(ReplyBody::whole(body));
    *reply.status_mut() = head.status;
    *reply.headers_mut() = head.headers;
    strip_hop_by_hop(reply.headers_mut());
    // The length is that of the body that is sent. Without a body it may state what the body of another
    // request would be (HEAD).
    if !is_empty || has_no_body(head.status) {
        reply.headers_mut().remove(CONTENT_LENGTH);
    }
    Ok(reply)
}

/// Forwards a runner's stream as it arrives.
pub(crate) fn forward_stream(head: response::Parts, body: ReplyBody) -> Response<ReplyBody> {
    let mut reply = Response::new(body);
    *reply.status_mut() = head.status;
    *reply.headers_mut() = head.headers;
    strip_hop_by_hop(reply.headers_mut());
    // The Content-Length of the first run is dropped: another run may continue the stream, which
    // can change its total length.
    reply.headers_mut().remove(CONTENT_LENGTH);
    reply
}
