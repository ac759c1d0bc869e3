//! HTTP client for JSON calls and line streams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
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
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Idle timeout between two reads of a stream opened with [`HttpClient::call_stream`].
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(12);
/// Largest body that is read as a whole. Pages of the platform's store have about a megabyte.
pub(crate) const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_ERROR_BODY_BYTES: usize = 2 << 20;

/// A complete response.
#[derive(Clone, Debug)]
pub struct HttpReply {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl HttpReply {
    /// The value of a header; empty when it is missing or not visible ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
    }
}

/// The parts of a request with arbitrary method, headers and body.
#[derive(Clone, Debug)]
pub struct RequestParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Headers.
    pub headers: &'a [(&'a str, &'a str)],
    /// The complete body.
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
    /// Creates a client with an empty connection pool.
    pub fn new() -> HttpClient {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let inner = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .build(connector);
        HttpClient { inner }
    }

    /// Sends a request and reads the complete response, of any status, within `timeout`.
    ///
    /// # Errors
    /// [`HttpError`]; only [`HttpError::Connect`] guarantees that the peer received nothing.
    pub async fn send(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        let exchange = async {
            let reply = self.send_head(peer, req).await?;
            let (parts, body) = reply.into_parts();
            let body = read_body(peer, body).await?;
            Ok(HttpReply { status: parts.status.as_u16(), headers: parts.headers, body })
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(done) => done,
            Err(_) => Err(HttpError::Timeout { peer: peer.to_string(), timeout }),
        }
    }

    /// Builds a request from its parts and sends it with [`HttpClient::send`].
    ///
    /// # Errors
    /// As [`HttpClient::send`]; [`HttpError::Codec`] for parts that are not a valid request.
    pub async fn call(
        &self,
        peer: SocketAddr,
        parts: RequestParts<'_>,
        timeout: Duration,
    ) -> Result<HttpReply, HttpError> {
        self.send(peer, parts_request(peer, parts)?, timeout).await
    }

    /// Builds a request from its parts and returns the response once its head has arrived, without a
    /// timeout; whoever reads the body also gets what came of one that breaks off.
    ///
    /// # Errors
    /// As [`HttpClient::call`], without a timeout.
    pub async fn call_head(
        &self,
        peer: SocketAddr,
        parts: RequestParts<'_>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.send_head(peer, parts_request(peer, parts)?).await
    }

    /// Posts `message` as JSON and reads a JSON response within `timeout`.
    ///
    /// # Errors
    /// As [`HttpClient::send`]; [`HttpError::Status`] for a status other than
    /// 2xx; [`HttpError::Codec`] for a response that cannot be decoded.
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

    /// Sends a GET request and reads a JSON response within `timeout`.
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

    /// Posts `message` as JSON and returns the response body as a stream of lines. `idle_timeout`
    /// limits the wait for the response head and for each read of the body.
    ///
    /// # Errors
    /// As [`HttpClient::post`].
    pub async fn post_stream<T: Serialize>(
        &self,
        peer: SocketAddr,
        path: &str,
        message: &T,
        idle_timeout: Duration,
    ) -> Result<LineStream, HttpError> {
        let req = json_request(peer, path, message)?;
        let head = tokio::time::timeout(idle_timeout, self.send_head(peer, req)).await;
        let reply = head
            .map_err(|_| HttpError::Timeout { peer: peer.to_string(), timeout: idle_timeout })??;
        if reply.status().is_success() {
            return Ok(LineStream::new(peer, reply.into_body(), idle_timeout));
        }
        let status = reply.status();
        let body = tokio::time::timeout(idle_timeout, read_body(peer, reply.into_body())).await;
        let body = body
            .map_err(|_| HttpError::Timeout { peer: peer.to_string(), timeout: idle_timeout })??;
        Err(status_error(peer, status, &body))
    }

    /// Builds a request from its parts and returns the response body as a stream of lines. The wait
    /// for the response head and for the body of an error has no timeout; the wait for each read of
    /// the stream is limited to 12 s.
    ///
    /// # Errors
    /// As [`HttpClient::post_stream`].
    pub async fn call_stream(
        &self,
        peer: SocketAddr,
        parts: RequestParts<'_>,
    ) -> Result<LineStream, HttpError> {
        let req = parts_request(peer, parts)?;
        let reply = self.send_head(peer, req).await?;
        if reply.status().is_success() {
            return Ok(LineStream::new(peer, reply.into_body(), STREAM_IDLE_TIMEOUT));
        }
        let status = reply.status();
        let body = read_body(peer, reply.into_body()).await?;
        Err(status_error(peer, status, &body))
    }

    /// Sends a request and waits for the response head, without a timeout.
    async fn send_head(
        &self,
        peer: SocketAddr,
        req: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.inner.request(req).await.map_err(|e| {
            let cause = format!("{e:?}");
            match e.is_connect() {
                true => HttpError::Connect { peer: peer.to_string(), cause },
                false => HttpError::ConnectionLost { peer: peer.to_string(), cause },
            }
        })
    }
}

/// Builds a request with content type `application/json`.
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
    let text = String::from_utf8_lossy(&body[..body.len().min(MAX_ERROR_BODY_BYTES)]).into_owned();
    HttpError::Status { peer: peer.to_string(), status: status.as_u16(), body: text }
}

async fn read_body(peer: SocketAddr, body: Incoming) -> Result<Bytes, HttpError> {
    let collected = Limited::new(body, MAX_BODY_BYTES).collect().await;
    collected
        .map(|body| body.to_bytes())
        .map_err(|e| HttpError::ConnectionLost { peer: peer.to_string(), cause: e.to_string() })
}
