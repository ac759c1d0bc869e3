//! Helpers for serving with `warp`: JSON routes, streamed bodies, graceful shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::ReceiverStream;
use warp::filters::BoxedFilter;
use warp::http::StatusCode;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::bind;

/// Maximum size of the body of a call between the router's processes, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// A route `POST /{path}` with a JSON body of at most 16 MiB.
pub fn post_route<S, T, F, Fut>(path: &'static str, state: S, handle: F) -> BoxedFilter<(Response,)>
where
    S: Clone + Send + Sync + 'static,
    T: DeserializeOwned + Send + 'static,
    F: Fn(S, T) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    warp::post()
        .and(warp::path(path))
        .and(warp::path::end())
        .and(warp::body::content_length_limit(MAX_BODY_BYTES))
        .and(warp::body::json())
        .then(move |message: T| handle(state.clone(), message))
        .boxed()
}

/// A route `GET /{path}`.
pub fn get_route<S, F, Fut>(path: &'static str, state: S, handle: F) -> BoxedFilter<(Response,)>
where
    S: Clone + Send + Sync + 'static,
    F: Fn(S) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    warp::get()
        .and(warp::path(path))
        .and(warp::path::end())
        .then(move || handle(state.clone()))
        .boxed()
}

/// A JSON response with status 200.
pub fn json_reply<T: Serialize>(message: &T) -> Response {
    warp::reply::json(message).into_response()
}

/// A JSON response with the given status; 500 when `status` is not a valid status code.
pub fn json_status<T: Serialize>(status: u16, message: &T) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    warp::reply::with_status(warp::reply::json(message), status).into_response()
}

/// A streamed response: forwards each chunk from `rx`, and ends when its senders are dropped.
pub fn stream_reply(rx: mpsc::Receiver<Bytes>, content_type: &'static str) -> Response {
    let body = ReceiverStream::new(rx).map(Ok::<Bytes, Infallible>);
    let reply = warp::reply::stream(body);
    warp::reply::with_header(reply, "content-type", content_type).into_response()
}

/// Encodes a message as one line of JSON, newline included.
pub fn json_line<T: Serialize>(message: &T) -> Bytes {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

/// Handle of a running server.
#[derive(Debug)]
pub struct HttpServer {
    /// The address that it listens on.
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Shuts down gracefully: accepts no more connections and waits until in-flight requests have
    /// been answered.
    pub async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).ok();
        }
        (&mut self.task).await.ok();
    }

    /// Stops accepting connections immediately, without waiting for in-flight requests.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Serves `filter` on `addr` until stopped. Port 0 selects a free port.
///
/// # Errors
/// The error of the system call, such as "address in use".
pub fn serve<F>(addr: SocketAddr, filter: F) -> std::io::Result<HttpServer>
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let listener = bind(addr)?;
    let addr = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel::<()>();
    let server = warp::serve(filter).incoming(listener).graceful(async move {
        stopped.await.ok();
    });
    Ok(HttpServer { addr, stop: Some(stop), task: tokio::spawn(server.run()) })
}

/// Responds to a rejected request with a typed JSON error: status 404 when no route matches,
/// otherwise 400.
pub fn reject_json(
    rejection: warp::Rejection,
) -> impl Future<Output = Result<Response, Infallible>> + Send {
    #[derive(Serialize)]
    struct ErrorReply {
        error: &'static str,
        cause: String,
    }
    let status = if rejection.is_not_found() { 404 } else { 400 };
    let cause = format!("{rejection:?}");
    std::future::ready(Ok(json_status(status, &ErrorReply { error: "bad_call", cause })))
}
