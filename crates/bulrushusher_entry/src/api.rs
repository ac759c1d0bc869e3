//! Callers' HTTP: `/v1/completions`, `/v1/chat/completions`, `/services/{service}/...`.

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
use crate::request::{PromptJob, read_job, read_prompt};
use crate::run_stream::Part;
use crate::{prompt_task, service_task};

const PARTS: usize = 64;
const SERVICES: &str = "/services/";
const SSE: &str = "text/event-stream";
const JSON: &str = "application/json";
const SSE_END: &[u8] = b"data: [DONE]\n\n";

type Parts = mpsc::Receiver<Result<Part, ApiError>>;

/// A request as it came.
struct Incoming {
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
                        answer(&shared, Incoming { method, path, query, headers, body }).await
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
            let message = format!("the body has more than {max} bytes");
            return Err(ApiError::not_run(ErrorCode::BodyTooLarge, message));
        }
        buf.extend_from_slice(&chunk.copy_to_bytes(chunk.remaining()));
    }
    Ok(buf.freeze())
}

async fn answer(shared: &Arc<Shared>, req: Incoming) -> Result<Response, ApiError> {
    shared.admit()?;
    match (&req.method, req.path.as_str()) {
        (&Method::POST, "/v1/completions") => prompt(shared, &req, false).await,
        (&Method::POST, "/v1/chat/completions") => prompt(shared, &req, true).await,
        (&Method::GET, "/metrics") => Ok(text_reply(200, "text/plain", shared.metrics_text())),
        (_, path) if path.starts_with(SERVICES) => service(shared, &req).await,
        (method, path) => {
            let message = format!("{method} {path} is not served here");
            Err(ApiError::not_run(ErrorCode::UnknownPath, message))
        }
    }
}

async fn prompt(shared: &Arc<Shared>, req: &Incoming, chat: bool) -> Result<Response, ApiError> {
    let now = shared.clock.now();
    let configuration = shared.configuration.load_full();
    let job = read_prompt(&configuration, &req.headers, &req.body, chat, now)?;
    shared.admit_account(&configuration, &job.job)?;
    let shape = Shape::of(&job);
    let (tx, mut rx) = mpsc::channel(PARTS);
    tokio::spawn(prompt_task::run(Arc::clone(shared), job, tx));
    let first = rx.recv().await.unwrap_or_else(|| Err(vanished()))?;
    if shape.stream {
        return Ok(stream_tokens(shape, first, rx));
    }
    collect_tokens(&shape, first, rx).await
}

async fn service(shared: &Arc<Shared>, req: &Incoming) -> Result<Response, ApiError> {
    let now = shared.clock.now();
    let configuration = shared.configuration.load_full();
    let rest = req.path.strip_prefix(SERVICES).unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = |message| ApiError::not_run(ErrorCode::UnknownService, message);
    let name = ServiceName::try_from(name).map_err(|e| unknown(e.to_string()))?;
    if !configuration.serves_calls(&name) {
        return Err(unknown(format!("no endpoints serve {name}")));
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
    let job = read_job(&configuration, &req.headers, name, now)?;
    shared.admit_account(&configuration, &job)?;
    let (tx, mut rx) = mpsc::channel(PARTS);
    tokio::spawn(service_task::run(Arc::clone(shared), job, call, tx));
    match rx.recv().await.unwrap_or_else(|| Err(vanished()))? {
        Part::Whole { status, content_type, body } => Ok(raw_reply(status, &content_type, body)),
        Part::Token(_) | Part::Restart | Part::End => Err(vanished()),
    }
}

/// How the answer to a prompt is put.
#[derive(Clone, Debug)]
struct Shape {
    id: String,
    model: String,
    chat: bool,
    stream: bool,
}

impl Shape {
    fn of(prompt: &PromptJob) -> Shape {
        Shape {
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

/// Streams the answer as server-sent events. An error after the first token is sent as an event.
fn stream_tokens(shape: Shape, first: Part, mut rx: Parts) -> Response {
    let (tx, body) = mpsc::channel(PARTS);
    tokio::spawn(async move {
        let mut next: Option<Result<Part, ApiError>> = Some(Ok(first));
        while let Some(part) = next {
            let (event, is_last) = match part {
                Ok(Part::Token(text)) => (sse(&shape.chunk(&text, None)), false),
                Ok(Part::End) => (sse(&shape.chunk("", Some("stop"))), true),
                Ok(Part::Whole { .. } | Part::Restart) => (sse(&json!(vanished().body())), true),
                Err(e) => (sse(&json!(e.body())), true),
            };
            if tx.send(event).await.is_err() {
                return;
            }
            if is_last {
                tx.send(Bytes::from_static(SSE_END)).await.ok();
                return;
            }
            // A caller that goes away between two tokens is noticed at once.
            next = tokio::select! {
                part = rx.recv() => part,
                () = tx.closed() => return,
            };
        }
        tx.send(sse(&json!(vanished().body()))).await.ok();
    });
    stream_reply(body, SSE)
}

async fn collect_tokens(shape: &Shape, first: Part, mut rx: Parts) -> Result<Response, ApiError> {
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
                let mut value = shape.chunk(&text, Some("stop"));
                value["usage"] = json!({"completion_tokens": tokens});
                return Ok(text_reply(200, JSON, value.to_string()));
            }
            Part::Whole { .. } => return Err(vanished()),
        }
        next = rx.recv().await.unwrap_or_else(|| Err(vanished()));
    }
}

/// The error for a request whose task ended without an answer: a fault of this program.
fn vanished() -> ApiError {
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
    let made = HttpResponse::builder()
        .status(status)
        .header("content-type", content_type)
        .body(Vec::from(body).into());
    made.unwrap_or_else(|_| Response::new("bad status or content type".into()))
}
