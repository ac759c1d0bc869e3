//! A caller: sends one request, reads the whole answer, and keeps its own record of what came.
//!
//! A caller whose connection breaks sends the request again, with the same key, to the next entry,
//! as the router's users do.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bulrushusher_http::{HttpClient, HttpError, HttpReply, LineStream, RequestParts};
use bulrushusher_time::Millis;
use serde::Deserialize;
use serde_json::json;

use crate::prompt;
use crate::service::ServiceAnswer;

/// Attempts of one request when connections break.
const MAX_ATTEMPTS: usize = 8;
const ATTEMPT_PAUSE: Duration = Duration::from_millis(200);
/// The longest a caller waits for the head of an answer.
const HEAD_WAIT: Duration = Duration::from_secs(180);

/// What a request asks for.
#[derive(Clone, Debug)]
pub enum Ask {
    /// Tokens for a prompt.
    Prompt {
        /// The model.
        model: String,
        /// The prompt; its mark is at its end.
        prompt: String,
        /// Tokens wanted.
        max_tokens: usize,
    },
    /// A call of a plain service.
    Call {
        /// The service.
        service: String,
        /// Path at the service.
        path: String,
    },
}

/// One request.
#[derive(Clone, Debug)]
pub struct Call {
    /// What it asks for.
    pub ask: Ask,
    /// Its mark, unique to it.
    pub mark: String,
    /// Its idempotency key, if it has one.
    pub key: Option<String>,
    /// Its deliverable class, if it names one.
    pub class: Option<String>,
    /// Its client account, if it names one.
    pub account: Option<String>,
    /// Go away after so many tokens (or so many milliseconds, for a service call).
    pub cancel_after: Option<usize>,
}

/// How a request came out, by the caller's own record.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The whole answer came.
    Answered {
        /// Time to the first token, or to the answer of a service.
        ttft: Millis,
        /// Mean milliseconds between tokens, where there were several.
        per_token_ms: Option<f64>,
    },
    /// A typed refusal or error came.
    Refused {
        /// Its code.
        code: String,
        /// Whether the request ran: `not_run`, `ran` or `outcome_unknown`.
        run: String,
        /// True when it came with a time to come back.
        has_retry_after: bool,
    },
    /// The caller went away, as planned.
    Cancelled,
    /// Neither an answer nor a typed refusal.
    Lost {
        /// What came instead.
        cause: String,
    },
    /// Part of the answer belongs to another request.
    Crossed {
        /// What came.
        found: String,
    },
    /// Part of the answer came twice.
    Twice {
        /// What came.
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

/// Why one attempt gave no outcome.
enum Attempt {
    Over(Outcome),
    Again(String),
}

/// Sends requests to some entries.
#[derive(Clone, Debug)]
pub struct Caller {
    http: HttpClient,
    entries: Vec<SocketAddr>,
}

impl Caller {
    /// A caller that knows these entries.
    pub fn new(entries: Vec<SocketAddr>) -> Caller {
        Caller { http: HttpClient::new(), entries }
    }

    /// Sends `call` to entry number `first`, and to the next ones when connections break.
    pub async fn send(&self, call: &Call, first: usize) -> Outcome {
        let start = Instant::now();
        let mut cause = String::new();
        for attempt in 0..MAX_ATTEMPTS {
            let entry = self.entries[(first + attempt) % self.entries.len()];
            let attempted = match &call.ask {
                Ask::Prompt { .. } => self.prompt(entry, call, start).await,
                Ask::Call { .. } => self.service(entry, call, start).await,
            };
            match attempted {
                Attempt::Over(outcome) => return outcome,
                Attempt::Again(why) => cause = why,
            }
            tokio::time::sleep(ATTEMPT_PAUSE).await;
        }
        Outcome::Lost { cause }
    }

    async fn prompt(&self, entry: SocketAddr, call: &Call, start: Instant) -> Attempt {
        let Ask::Prompt { model, prompt, max_tokens } = &call.ask else {
            return Attempt::Again("not a prompt".to_owned());
        };
        let body =
            json!({"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": true});
        let headers = headers(call);
        let parts = RequestParts {
            method: "POST",
            path: "/v1/completions",
            headers: &headers,
            body: body.to_string().into(),
        };
        let sent = self.http.call_stream(entry, parts);
        let opened = tokio::time::timeout(HEAD_WAIT, sent).await;
        match opened {
            Err(_) => Attempt::Again("no answer began".to_owned()),
            Ok(Err(HttpError::Status { body, status, .. })) => refused(status, &body),
            Ok(Err(e)) => Attempt::Again(e.to_string()),
            Ok(Ok(stream)) => read_tokens(stream, call, *max_tokens, start).await,
        }
    }

    async fn service(&self, entry: SocketAddr, call: &Call, start: Instant) -> Attempt {
        let Ask::Call { service, path } = &call.ask else {
            return Attempt::Again("not a call".to_owned());
        };
        let url = format!("/services/{service}/{path}");
        let headers = headers(call);
        let body = format!("#{}", call.mark);
        let parts =
            RequestParts { method: "POST", path: &url, headers: &headers, body: body.into() };
        let sent = self.http.call(entry, parts, HEAD_WAIT);
        let reply = match call.cancel_after {
            None => sent.await,
            Some(ms) => {
                let bound = Duration::from_millis(ms as u64);
                match tokio::time::timeout(bound, sent).await {
                    Err(_) => return Attempt::Over(Outcome::Cancelled),
                    Ok(reply) => reply,
                }
            }
        };
        match reply {
            Err(e) => Attempt::Again(e.to_string()),
            Ok(HttpReply { status: 200, body, .. }) => read_answer(&body, call, start),
            Ok(HttpReply { status, body, .. }) => refused(status, &String::from_utf8_lossy(&body)),
        }
    }
}

fn headers(call: &Call) -> Vec<(&str, &str)> {
    let optional = [
        ("idempotency-key", &call.key),
        ("x-bulrush-class", &call.class),
        ("x-bulrush-account", &call.account),
    ];
    let given = optional.into_iter().filter_map(|(name, v)| Some((name, v.as_deref()?)));
    std::iter::once(("content-type", "application/json")).chain(given).collect()
}

fn refused(status: u16, body: &str) -> Attempt {
    match serde_json::from_str::<ErrorBody>(body) {
        Ok(ErrorBody { error }) => Attempt::Over(Outcome::Refused {
            code: error.code,
            run: error.run,
            has_retry_after: error.retry_after_ms.is_some(),
        }),
        Err(_) => Attempt::Again(format!("status {status} without a typed error: {body}")),
    }
}

fn read_answer(body: &[u8], call: &Call, start: Instant) -> Attempt {
    let ttft = Millis::from(start.elapsed());
    match serde_json::from_slice::<ServiceAnswer>(body) {
        Ok(answer) if answer.mark == call.mark => {
            Attempt::Over(Outcome::Answered { ttft, per_token_ms: None })
        }
        Ok(answer) => Attempt::Over(Outcome::Crossed { found: answer.mark }),
        Err(e) => Attempt::Over(Outcome::Lost { cause: e.to_string() }),
    }
}

async fn read_tokens(
    mut stream: LineStream,
    call: &Call,
    max_tokens: usize,
    start: Instant,
) -> Attempt {
    let mut next = 0;
    let mut first_at: Option<Duration> = None;
    loop {
        let line = match stream.next_line().await {
            Ok(Some(line)) => line,
            Ok(None) => return Attempt::Again("the stream ended early".to_owned()),
            Err(e) => return Attempt::Again(e.to_string()),
        };
        let Some(data) = line.strip_prefix(b"data: ") else { continue };
        let Ok(chunk) = serde_json::from_slice::<Chunk>(data) else {
            return refused(200, &String::from_utf8_lossy(data));
        };
        let Some(choice) = chunk.choices.into_iter().next() else { continue };
        if choice.finish_reason.is_some() {
            let ttft = first_at.unwrap_or_default();
            return finished(&mut stream, next, max_tokens, ttft, start.elapsed()).await;
        }
        if choice.text != prompt::token(&call.mark, next) {
            return Attempt::Over(wrong_token(&call.mark, next, choice.text));
        }
        first_at.get_or_insert_with(|| start.elapsed());
        next += 1;
        if call.cancel_after.is_some_and(|after| next >= after) {
            return Attempt::Over(Outcome::Cancelled);
        }
    }
}

async fn finished(
    stream: &mut LineStream,
    tokens: usize,
    max_tokens: usize,
    ttft: Duration,
    total: Duration,
) -> Attempt {
    if tokens != max_tokens {
        let cause = format!("{tokens} of {max_tokens} tokens came");
        return Attempt::Over(Outcome::Lost { cause });
    }
    while let Ok(Some(line)) = stream.next_line().await {
        let rest = String::from_utf8_lossy(&line).into_owned();
        if rest.starts_with("data: {") {
            return Attempt::Over(Outcome::Twice { found: rest });
        }
    }
    let between = (total - ttft).as_secs_f64() * 1000.0;
    let per_token_ms = (tokens > 1).then(|| between / (tokens - 1) as f64);
    Attempt::Over(Outcome::Answered { ttft: ttft.into(), per_token_ms })
}

fn wrong_token(mark: &str, next: usize, found: String) -> Outcome {
    let own = found.rsplit_once('.').is_some_and(|(of, _)| of == mark);
    let number = found.trim().rsplit_once('.').and_then(|(_, n)| n.parse::<usize>().ok());
    match number {
        Some(n) if own && n < next => Outcome::Twice { found },
        Some(_) if own => Outcome::Lost { cause: format!("token {next} is missing") },
        Some(_) | None => Outcome::Crossed { found },
    }
}
