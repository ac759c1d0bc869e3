//! The callers' HTTP API: `/v1/completions`, `/v1/chat/completions`, `/services/{service}/...`.

use std::convert::Infallible;
use std::sync::Arc;

use bulrushusher_http::stream_reply;
use bulrushusher_wire::{ApiError, CallOrder, ErrorCode, RunState};
use bulrushusher_world::ServiceName;
use bytes::{Buf, Bytes, BytesMut};
use futures_util::{Stream, StreamExt, pin_mut};
use serde_json::json;
use tokio::sync::mpsc;
use warp::Filter;
use warp::http::{HeaderMap, Method, Response as HttpResponse};
use warp::path::FullPath;
use warp::reply::Response;

use crate::entry::Shared;
use crate::request::{PromptJob, parse_job, parse_prompt};
use crate::run_stream::Part;
use crate::{prompt_task, service_task};

/// Parts of an answer buffered between a request's task and its HTTP response.
const PART_BUFFER: usize = 64;
const SERVICES: &str = "/services/";
const SSE: &str = "text/event-stream";
const JSON: &str = "application/json";
const SSE_END: &[u8] = b"data: [DONE]\n\n";

type Parts = mpsc::Receiver<Result<Part, ApiError>>;

/// An HTTP request as received.
struct HttpRequest {
    method: Method,
    path: String,
    query: String,
    headers: HeaderMap,
    body: Bytes,
}

pub(crate) fn routes(
    shared: Arc<Shared>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone + Send + Sync {
    warp::any()
        .and(warp::method())
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: FullPath, query, headers, body| {
            let shared = Arc::clone(&shared);
            async move {
                let read = read_body(body, shared.cfg.max_body_bytes).await;
                let path = path.as_str().to_owned();
                let answer = match read {
                    Ok(body) => {
                        answer(&shared, HttpRequest { method, path, query, headers, body }).await
                    }
                    Err(e) => Err(e),
                };
                answer.unwrap_or_else(|e| error_reply(&e))
            }
        })
        .recover(bulrushusher_http::reject_json)
}

async fn read_body<S, B>(body: S, max: usize) -> Result<Bytes, ApiError>
where
    S: Stream<Item = Result<B, warp::Error>>,
    B: Buf,
{
    pin_mut!(body);
    let mut buf = BytesMut::new();
    while let Some(chunk) = body.next().await {
        let mut chunk =
            chunk.map_err(|e| ApiError::not_run(ErrorCode::BadJson, format!("body: {e}")))?;
        if buf.len() + chunk.remaining() > max {
            let message = format!("the body is larger than {max} bytes");
            return Err(ApiError::not_run(ErrorCode::BodyTooLarge, message));
        }
        buf.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(buf.freeze())
}

async fn answer(shared: &Arc<Shared>, req: HttpRequest) -> Result<Response, ApiError> {
    shared.admit()?;
    match (&req.method, req.path.as_str()) {
        (&Method::POST, "/v1/completions") => prompt(shared, &req, false).await,
        (&Method::POST, "/v1/chat/completions") => prompt(shared, &req, true).await,
        (&Method::GET, "/metrics") => Ok(text_reply(200, "text/plain", shared.metrics_text())),
        (_, path) if path.starts_with(SERVICES) => service(shared, &req).await,
        (method, path) => {
            let message = format!("no route for {method} {path}");
            Err(ApiError::not_run(ErrorCode::UnknownPath, message))
        }
    }
}

async fn prompt(shared: &Arc<Shared>, req: &HttpRequest, chat: bool) -> Result<Response, ApiError> {
    let now = shared.clock.now();
    let configuration = shared.configuration.load_full();
    let job = parse_prompt(&configuration, &req.headers, &req.body, chat, now)?;
    shared.admit_account(&configuration, &job.job)?;
    let format = ResponseFormat::of(&job);
    let (tx, mut rx) = mpsc::channel(PART_BUFFER);
    tokio::spawn(prompt_task::run(Arc::clone(shared), job, tx));
    let first = rx.recv().await.unwrap_or_else(|| Err(task_ended()))?;
    if format.stream {
        return Ok(stream_tokens(format, first, rx));
    }
    collect_tokens(&format, first, rx).await
}

async fn service(shared: &Arc<Shared>, req: &HttpRequest) -> Result<Response, ApiError> {
    let now = shared.clock.now();
    let configuration = shared.configuration.load_full();
    let rest = req.path.strip_prefix(SERVICES).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = |message| ApiError::not_run(ErrorCode::UnknownService, message);
    let name = ServiceName::try_from(name).map_err(|e| unknown(e.to_string()))?;
    if !configuration.serves_calls(&name) {
        return Err(unknown(format!("service {name} has no endpoints")));
    }
    let body = String::from_utf8(req.body.to_vec())
        .map_err(|e| ApiError::not_run(ErrorCode::BadJson, format!("body: {e}")))?;
    let content_type = req.headers.get("content-type").and_then(|v| v.to_str().ok());
    let query = if req.query.is_empty() { String::new() } else { format!("?{}", req.query) };
    let call = CallOrder {
        method: req.method.to_string(),
        path: format!("/{path}{query}"),
        content_type: content_type.unwrap_or("application/octet-stream").to_owned(),
        body,
    };
    let job = parse_job(&configuration, &req.headers, name, now)?;
    shared.admit_account(&configuration, &job)?;
    let (tx, mut rx) = mpsc::channel(PART_BUFFER);
    tokio::spawn(service_task::run(Arc::clone(shared), job, call, tx));
    match rx.recv().await.unwrap_or_else(|| Err(task_ended()))? {
        Part::Service { status, content_type, body } => Ok(raw_reply(status, &content_type, body)),
        Part::Token(_) | Part::Restart | Part::End => Err(task_ended()),
    }
}

/// Format of the answer to a prompt.
#[derive(Clone, Debug)]
struct ResponseFormat {
    id: String,
    model: String,
    chat: bool,
    stream: bool,
}

impl ResponseFormat {
    fn of(prompt: &PromptJob) -> ResponseFormat {
        ResponseFormat {
            id: prompt.job.key.to_string(),
            model: prompt.job.service.to_string(),
            chat: prompt.chat,
            stream: prompt.stream,
        }
    }

    fn object(&self) -> &'static str {
        match (self.chat, self.stream) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        }
    }

    fn chunk(&self, text: &str, finish: Option<&str>) -> serde_json::Value {
        let choice = match (self.chat, self.stream) {
            (true, true) => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": finish})
            }
            (true, false) => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
            (false, _) => json!({"index": 0, "text": text, "finish_reason": finish}),
        };
        json!({"id": self.id, "object": self.object(), "model": self.model, "choices": [choice]})
    }
}

fn sse(value: &serde_json::Value) -> Bytes {
    format!("data: {value}\n\n").into()
}

/// Streams the answer as server-sent events. An error after the first part is sent as an event.
fn stream_tokens(format: ResponseFormat, first: Part, mut rx: Parts) -> Response {
    let (tx, body) = mpsc::channel(PART_BUFFER);
    tokio::spawn(async move {
        let mut next: Option<Result<Part, ApiError>> = Some(Ok(first));
        while let Some(part) = next {
            let (event, is_last) = match part {
                Ok(Part::Token(text)) => (sse(&format.chunk(&text, None)), false),
                Ok(Part::End) => (sse(&format.chunk("", Some("stop"))), true),
                Ok(Part::Service { .. } | Part::Restart) => {
                    (sse(&json!(task_ended().body())), true)
                }
                Err(e) => (sse(&json!(e.body())), true),
            };
            if tx.send(event).await.is_err() {
                return;
            }
            if is_last {
                tx.send(Bytes::from_static(SSE_END)).await.ok();
                return;
            }
            // Detects a caller that disconnects between two tokens.
            next = tokio::select! {
                part = rx.recv() => part,
                () = tx.closed() => return,
            };
        }
        tx.send(sse(&json!(task_ended().body()))).await.ok();
    });
    stream_reply(body, SSE)
}

async fn collect_tokens(
    format: &ResponseFormat,
    first: Part,
    mut rx: Parts,
) -> Result<Response, ApiError> {
    let mut text = String::new();
    let mut tokens = 0_u64;
    let mut next = Ok(first);
    loop {
        match next? {
            Part::Token(token) => {
                text.push_str(&token);
                tokens += 1;
            }
            Part::Restart => {
                text.clear();
                tokens = 0;
            }
            Part::End => {
                let mut value = format.chunk(&text, Some("stop"));
                value["usage"] = json!({"completion_tokens": tokens});
                return Ok(text_reply(200, JSON, value.to_string()));
            }
            Part::Service { .. } => return Err(task_ended()),
        }
        next = rx.recv().await.unwrap_or_else(|| Err(task_ended()));
    }
}

/// The error for a request whose task ended without an answer, which is a bug in the entry.
fn task_ended() -> ApiError {
    ApiError {
        code: ErrorCode::Internal,
        run: RunState::OutcomeUnknown,
        message: "the request's task ended without an answer".to_owned(),
        retry_after: None,
    }
}

fn error_reply(e: &ApiError) -> Response {
    let body = serde_json::to_vec(&e.body()).unwrap_or_default();
    let mut reply = raw_reply(e.code.status(), JSON, body.into());
    if let Some(seconds) = e.retry_after_seconds() {
        reply.headers_mut().insert("retry-after", seconds.into());
    }
    reply
}

fn text_reply(status: u16, content_type: &str, text: String) -> Response {
    raw_reply(status, content_type, text.into())
}

fn raw_reply(status: u16, content_type: &str, body: Bytes) -> Response {
    let response = HttpResponse::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Vec::from(body).into());
    response
        .unwrap_or_else(|_| Response::new("invalid status or content type in the answer".into()))
}
