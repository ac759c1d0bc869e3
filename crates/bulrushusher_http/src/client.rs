//! The client.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderMap};
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{HttpError, LineStream};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
const POOL_IDLE: Duration = Duration::from_secs(30);
/// The longest silence between two lines of an opened stream.
const LINE_IDLE: Duration = Duration::from_secs(12);
const MAX_ERROR_BODY: usize = 2 << 20;

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl HttpReply {
    /// A header as text; empty when it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// The parts of a request.
#[derive(Clone, Debug)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The whole body.
    pub body: Bytes,
}

/// An HTTP/1.1 client with pooled connections. Cheap to clone.
#[derive(Clone, Debug)]
pub struct HttpClient {
    inner: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> HttpClient {
        HttpClient::new()
    }
}

impl HttpClient {
    /// A client with an empty pool.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .build(connector);
        HttpClient { inner }
    }

    /// Sends a request and reads the whole answer, whatever its status, within `timeout`.
    ///
    /// # Errors
    /// [`HttpError`]; only [`HttpError::Connect`] is certain that the peer saw nothing.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        let exchange = async {
            let reply = self.begin(peer, req).await?;
            let (parts, body) = reply.into_parts();
            let body = collect(peer, body).await?;
            Ok(HttpReply { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(done) => done,
            Err(_) => Err(HttpError::Silent { peer: peer.to_string(), after: timeout }),
        }
    }

    /// Makes a request of its parts and sends it as [`HttpClient::send`] does.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; [`HttpError::Codec`] for parts that make no request.
    pub async fn call(
        &self,
        peer: SocketAddr,
        parts: RequestParts<'_>,
        timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        self.send(peer, parts_request(peer, parts)?, timeout).await
    }

    /// Posts `message` as JSON and reads a JSON answer.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; [`HttpError::Status`] for an answer that is not a success.
    pub async fn post<T: Serialize, R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &T,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let reply = self.send(peer, json_request(peer, path, message)?, timeout).await?;
        read_json(peer, &reply)
    }

    /// Gets a JSON answer.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn get<R: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> Result<R, HttpError> {
        let req = request(peer, Method::GET, path, Bytes::new())?;
        let reply = self.send(peer, req, timeout).await?;
        read_json(peer, &reply)
    }

    /// Posts `message` as JSON and reads the answer as lines. `idle` bounds the wait for the head
    /// and for each line after it.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn stream<T: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &T,
        idle: Duration,
    ) -> Result<LineStream, HttpError> {
        let req = json_request(peer, path, message)?;
        let head = tokio::time::timeout(idle, self.begin(peer, req)).await;
        let reply =
            head.map_err(|_| HttpError::Silent { peer: peer.to_string(), after: idle })??;
        if reply.status().is_success() {
            return Ok(LineStream::new(peer, reply.into_body(), idle));
        }
        let status = reply.status();
        let body = tokio::time::timeout(idle, collect(peer, reply.into_body())).await;
        let body =
            body.map_err(|_| HttpError::Silent { peer: peer.to_string(), after: idle })??;
        Err(status_error(peer, status, &body))
    }

    /// Makes a request of its parts and reads a success as lines. The head may take as long as it
    /// takes; `LINE_IDLE` bounds the wait for each line.
    ///
    /// # Errors
    /// As [`HttpClient::stream`].
    pub async fn open(
        &self,
        peer: SocketAddr,
        parts: RequestParts<'_>,
    ) -> Result<LineStream, HttpError> {
        let req = parts_request(peer, parts)?;
        let reply = self.begin(peer, req).await?;
        if reply.status().is_success() {
            return Ok(LineStream::new(peer, reply.into_body(), LINE_IDLE));
        }
        let status = reply.status();
        let body = collect(peer, reply.into_body()).await?;
        Err(status_error(peer, status, &body))
    }

    async fn begin(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.inner.request(req).await.map_err(|e| {
            let cause = format!("{e:?}");
            match e.is_connect() {
                true => HttpError::Connect { peer: peer.to_string(), cause },
                false => HttpError::Broken { peer: peer.to_string(), cause },
            }
        })
    }
}

/// Makes a request to `peer`.
pub(crate) fn request(
    peer: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, HttpError> {
    Request::builder()
        .method(method)
        .uri(format!("http://{peer}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|e| HttpError::Codec { peer: peer.to_string(), cause: e.to_string() })
}

fn parts_request(
    peer: SocketAddr,
    parts: RequestParts<'_>,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let uri = format!("http://{peer}{}", parts.path);
    let mut req = Request::builder().method(parts.method).uri(uri);
    for (name, value) in parts.headers {
        req = req.header(*name, *value);
    }
    req.body(Full::new(parts.body))
        .map_err(|e| HttpError::Codec { peer: peer.to_string(), cause: e.to_string() })
}

fn json_request<T: Serialize>(
    peer: SocketAddr,
    path: &str,
    message: &T,
) -> Result<Request<Full<Bytes>>, HttpError> {
    let body = serde_json::to_vec(message)
        .map_err(|e| HttpError::Codec { peer: peer.to_string(), cause: e.to_string() })?;
    request(peer, Method::POST, path, body.into())
}

fn read_json<R: DeserializeOwned>(peer: SocketAddr, reply: &HttpReply) -> Result<R, HttpError> {
    let status = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    if !status.is_success() {
        return Err(status_error(peer, status, &reply.body));
    }
    serde_json::from_slice(&reply.body)
        .map_err(|e| HttpError::Codec { peer: peer.to_string(), cause: e.to_string() })
}

fn status_error(peer: SocketAddr, status: StatusCode, body: &Bytes) -> HttpError {
    let text = String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_BODY)]).into_owned();
    HttpError::Status { peer: peer.to_string(), status: status.as_u16(), body: text }
}

async fn collect(peer: SocketAddr, body: Incoming) -> Result<Bytes, HttpError> {
    let whole = body.collect().await;
    whole
        .map(|body| body.to_bytes())
        .map_err(|e| HttpError::Broken { peer: peer.to_string(), cause: e.to_string() })
}
