//! Small pieces for serving with `warp`: JSON routes, streamed bodies, a server that stops.

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

/// The largest body of a call between our own processes, in bytes.
const MAX_BODY: u64 = 16 << 20;

/// A route `POST /{path}` that takes a JSON message.
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
        .and(warp::body::content_length_limit(MAX_BODY))
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

/// A JSON answer with status 200.
pub fn json_reply<T: Serialize>(message: &T) -> Response {
    warp::reply::json(message).into_response()
}

/// A JSON answer with another status.
pub fn json_status<T: Serialize>(status: u16, message: &T) -> Response {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    warp::reply::with_status(warp::reply::json(message), status).into_response()
}

/// A streamed answer: what is sent to the other end of `rx`, as it comes.
pub fn stream_reply(rx: mpsc::Receiver<Bytes>, content_type: &'static str) -> Response {
    let body = ReceiverStream::new(rx).map(Ok::<Bytes, Infallible>);
    let reply = warp::reply::stream(body);
    warp::reply::with_header(reply, "content-type", content_type).into_response()
}

/// One line of JSON.
pub fn json_line<T: Serialize>(message: &T) -> Bytes {
    let mut line = serde_json::to_vec(message).unwrap_or_default();
    line.push(b'\n');
    line.into()
}

/// A running server.
#[derive(Debug)]
pub struct Served {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Served {
    /// Accepts no more connections and waits until the open ones have answered.
    pub async fn stop(mut self) {
        if let Some(stop) = self.stop.take() {
            stop.send(()).ok();
        }
        (&mut self.task).await.ok();
    }

    /// Stops listening at once.
    pub fn abort(&self) {
        self.task.abort();
    }
}

/// Serves `filter` on `addr` (port 0 for any) until stopped.
///
/// # Errors
/// What the system says, such as "address in use".
pub fn serve<F>(addr: SocketAddr, filter: F) -> std::io::Result<Served>
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
    Ok(Served { addr, stop: Some(stop), task: tokio::spawn(server.run()) })
}

/// Answers what no route takes, or a body that cannot be read, with a typed JSON error.
pub fn reject_json(
    rejection: warp::Rejection,
) -> impl Future<Output = Result<Response, Infallible>> + Send {
    #[derive(Serialize)]
    struct Problem {
        error: &'static str,
        cause: String,
    }
    let status = if rejection.is_not_found() { 404 } else { 400 };
    let cause = format!("{rejection:?}");
    std::future::ready(Ok(json_status(status, &Problem { error: "bad_call", cause })))
}
