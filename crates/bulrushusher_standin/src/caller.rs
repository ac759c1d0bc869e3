//! A client of the router: sends a request, reads the complete answer and classifies the outcome
//! independently of the router.
//!
//! As the router's clients do, it retries a request whose connection fails with the same key at
//! the next entry.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushusher_http::{HttpClient, HttpError, HttpReply, LineStream, RequestParts};
use bulrushusher_time::Millis;
use serde::Deserialize;
use serde_json::json;

use crate::prompt;
use crate::service::ServiceAnswer;

/// Maximum number of attempts per request when connections fail.
const MAX_ATTEMPTS: usize = 8;
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// How long a caller waits for the head of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(180);

/// Kind and content of a request.
#[derive(Clone, Debug)]
pub enum RequestKind {
    /// A completion of a prompt.
    Prompt {
        /// Name of the model.
        model: String,
        /// The prompt, which ends with the request's mark.
        prompt: String,
        /// Number of tokens to generate.
        max_tokens: usize,
    },
    /// A call of a plain service.
    Call {
        /// Name of the service.
        service: String,
        /// Path of the call at the service.
        path: String,
    },
}

/// A request to the router.
#[derive(Clone, Debug)]
pub struct Request {
    /// Kind and content of the request.
    pub kind: RequestKind,
    /// Mark unique to the request, by which its answer is recognised; see [`prompt::mark`].
    pub mark: String,
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Deliverable class, if given.
    pub class: Option<String>,
    /// Client account, if given.
    pub account: Option<String>,
    /// Disconnect after this many tokens of a completion, or milliseconds of a service call.
    pub cancel_after: Option<usize>,
}

/// Outcome of a request as observed by its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The complete answer arrived.
    Answered {
        /// Time to the first token of a completion, or to the answer of a service call.
        ttft: Millis,
        /// Mean time between tokens in milliseconds, if there are at least two.
        per_token_ms: Option<f64>,
    },
    /// A typed error arrived.
    Refused {
        /// Error code.
        code: String,
        /// Whether the request ran: `not_run`, `ran` or `outcome_unknown`.
        run: String,
        /// Whether the error has a retry delay.
        has_retry_after: bool,
    },
    /// The caller disconnected as requested by [`Request::cancel_after`].
    Cancelled,
    /// Neither a complete answer nor a typed error arrived.
    Lost {
        /// Cause of the last failure.
        cause: String,
    },
    /// Part of the answer belongs to another request.
    Crossed {
        /// The unexpected content.
        found: String,
    },
    /// Part of the answer arrived twice.
    Twice {
        /// The repeated content.
        found: String,
    },
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Debug, Deserialize)]
struct ErrorDetail {
    code: String,
    run: String,
    retry_after_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: String,
    finish_reason: Option<String>,
}

/// Result of one attempt.
enum Attempt {
    Done(Outcome),
    /// To be retried, with the cause of the failure.
    Retry(String),
}

/// A client that sends requests to a set of entries.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    entries: Vec<SocketAddr>,
}

impl Caller {
    /// Creates a caller of these entries.
    pub fn new(entries: Vec<SocketAddr>) -> Caller {
        Caller { http: HttpClient::new(), entries }
    }

    /// Sends a request to entry number `first`, and retries it at the next ones when connections
    /// fail.
    pub async fn send(&self, req: &Request, first: usize) -> Outcome {
        let start = Instant::now();
        let mut cause = String::new();
        for attempt in 0..MAX_ATTEMPTS {
            let entry = self.entries[(first + attempt) % self.entries.len()];
            let attempted = match &req.kind {
                RequestKind::Prompt { .. } => self.prompt(entry, req, start).await,
                RequestKind::Call { .. } => self.service(entry, req, start).await,
            };
            match attempted {
                Attempt::Done(outcome) => return outcome,
                Attempt::Retry(why) => cause = why,
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        Outcome::Lost { cause }
    }

    async fn prompt(&self, entry: SocketAddr, req: &Request, start: Instant) -> Attempt {
        let RequestKind::Prompt { model, prompt, max_tokens } = &req.kind else {
            return Attempt::Retry("the request is not a prompt".to_owned());
        };
        let body =
            json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true});
        let headers = headers(req);
        let parts = RequestParts {
            method: "POST",
            path: "/v1/completions",
            headers: &headers,
            body: body.to_string().into(),
        };
        let sent = self.http.call_stream(entry, parts);
        match tokio::time::timeout(RESPONSE_TIMEOUT, sent).await {
            Err(_) => Attempt::Retry("timed out waiting for a response".to_owned()),
            Ok(Err(HttpError::Status { body, status, .. })) => read_error(status, &body),
            Ok(Err(e)) => Attempt::Retry(e.to_string()),
            Ok(Ok(stream)) => read_tokens(stream, req, *max_tokens, start).await,
        }
    }

    async fn service(&self, entry: SocketAddr, req: &Request, start: Instant) -> Attempt {
        let RequestKind::Call { service, path } = &req.kind else {
            return Attempt::Retry("the request is not a service call".to_owned());
        };
        let url = format!("/services/{service}/{path}");
        let headers = headers(req);
        let body = format!("#{}", req.mark);
        let parts =
            RequestParts { method: "POST", path: &url, headers: &headers, body: body.into() };
        let sent = self.http.call(entry, parts, RESPONSE_TIMEOUT);
        let reply = match req.cancel_after {
            None => sent.await,
            Some(ms) => {
                let timeout = Duration::from_millis(ms as u64);
                match tokio::time::timeout(timeout, sent).await {
                    Err(_) => return Attempt::Done(Outcome::Cancelled),
                    Ok(reply) => reply,
                }
            }
        };
        match reply {
            Err(e) => Attempt::Retry(e.to_string()),
            Ok(HttpReply { status: 200, body, .. }) => read_answer(&body, req, start),
            Ok(HttpReply { status, body, .. }) => {
                read_error(status, &String::from_utf8_lossy(&body))
            }
        }
    }
}

fn headers(req: &Request) -> Vec<(&str, &str)> {
    let optional = [
        ("idempotency-key", &req.key),
        ("x-bulrush-class", &req.class),
        ("x-bulrush-account", &req.account),
    ];
    let present = optional.into_iter().filter_map(|(name, v)| Some((name, v.as_deref()?)));
    std::iter::once(("content-type", "application/json")).chain(present).collect()
}

fn read_error(status: u16, body: &str) -> Attempt {
    match serde_json::from_str::<ErrorBody>(body) {
        Ok(ErrorBody { error }) => Attempt::Done(Outcome::Refused {
            code: error.code,
            run: error.run,
            has_retry_after: error.retry_after_ms.is_some(),
        }),
        Err(_) => Attempt::Retry(format!("status {status} without a typed error: {body}")),
    }
}

fn read_answer(body: &[u8], req: &Request, start: Instant) -> Attempt {
    let ttft = Millis::from(start.elapsed());
    match serde_json::from_slice::<ServiceAnswer>(body) {
        Ok(answer) if answer.mark == req.mark => {
            Attempt::Done(Outcome::Answered { ttft, per_token_ms: None })
        }
        Ok(answer) => Attempt::Done(Outcome::Crossed { found: answer.mark }),
        Err(e) => Attempt::Done(Outcome::Lost { cause: e.to_string() }),
    }
}

async fn read_tokens(
    mut stream: LineStream,
    req: &Request,
    max_tokens: usize,
    start: Instant,
) -> Attempt {
    let mut next = 0;
    let mut first_at: Option<Duration> = None;
    loop {
        let line = match stream.next_line().await {
            Ok(Some(line)) => line,
            Ok(None) => {
                return Attempt::Retry(
                    "the stream ended before the answer was complete".to_owned(),
                );
            }
            Err(e) => return Attempt::Retry(e.to_string()),
        };
        let Some(data) = line.strip_prefix(b"data: ") else { continue };
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            return read_error(200, &String::from_utf8_lossy(data));
        };
        let Some(choice) = chunk.choices.into_iter().next() else { continue };
        if choice.finish_reason.is_some() {
            let ttft = first_at.unwrap_or_default();
            return finish_answer(&mut stream, next, max_tokens, ttft, start.elapsed()).await;
        }
        if choice.text != prompt::token(&req.mark, next) {
            return Attempt::Done(classify_wrong_token(&req.mark, next, choice.text));
        }
        first_at.get_or_insert_with(|| start.elapsed());
        next += 1;
        if req.cancel_after.is_some_and(|after| next >= after) {
            return Attempt::Done(Outcome::Cancelled);
        }
    }
}

async fn finish_answer(
    stream: &mut LineStream,
    tokens: usize,
    max_tokens: usize,
    ttft: Duration,
    total: Duration,
) -> Attempt {
    if tokens != max_tokens {
        let cause = format!("the answer has {tokens} of {max_tokens} tokens");
        return Attempt::Done(Outcome::Lost { cause });
    }
    while let Ok(Some(line)) = stream.next_line().await {
        let rest = String::from_utf8_lossy(&line).into_owned();
        if rest.starts_with("data: {") {
            return Attempt::Done(Outcome::Twice { found: rest });
        }
    }
    let generation_ms = (total - ttft).as_secs_f64() * 1000.0;
    let per_token_ms = (tokens > 1).then(|| generation_ms / (tokens - 1) as f64);
    Attempt::Done(Outcome::Answered { ttft: ttft.into(), per_token_ms })
}

fn classify_wrong_token(mark: &str, next: usize, found: String) -> Outcome {
    let is_own = found.rsplit_once('.').is_some_and(|(of, _)| of == mark);
    let number = found.trim().rsplit_once('.').and_then(|(_, n)| n.parse::<usize>().ok());
    match number {
        Some(n) if is_own && n < next => Outcome::Twice { found },
        Some(_) if is_own => Outcome::Lost { cause: format!("token {next} is missing") },
        Some(_) | None => Outcome::Crossed { found },
    }
}
