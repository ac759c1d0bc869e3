//! Pool of connections to runners, keyed by runner id, which is unique to one start of a runner.
//!
//! A connection carries one request at a time. It is reused only after a complete response that
//! belongs to its request and with nothing unread behind it, and closed at once when an exchange is
//! dropped, so that the runner stops its work. Requests with and without an id share connections:
//! separate ones would nearly double the connections, of which a runner accepts a few hundred from
//! all gateways.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_forward::{ConnectionCalls, Runner, RunnerCall};
use bulrushusher_time::{Clock, Millis};
use bulrushusher_world::RunnerId;
use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

use crate::runners::framing::BodyFraming;
use crate::socket::{SharedStream, is_quiet};

/// Timeout of a new connection. The round trip to runners takes half a millisecond; a lost SYN is
/// retransmitted only after a second or more, by which time another runner has long responded.
const CONNECT_TIMEOUT: Millis = Millis(250);

/// Maximum size of the head of a response, in bytes, and of what is read from a connection at once.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Idle timeout when the runner states none.
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(4_000);

/// A connection is not reused this shortly before its idle timeout, as the runner may be closing
/// it.
const IDLE_MARGIN: Millis = Millis(400);

/// Idle connections kept per runner; more than a burst at one gateway opens to a runner at once.
const MAX_IDLE_PER_RUNNER: usize = 64;

/// Reason of a failed connection to a runner.
pub(crate) type ConnectError = String;

/// A connection in use.
#[derive(Debug)]
pub(crate) struct RunnerConnection {
    pub sender: SendRequest<Full<Bytes>>,
    /// True when the connection has served a request before.
    pub reused: bool,
    /// The calls that the connection has carried.
    pub calls: ConnectionCalls,
    socket: Arc<TcpStream>,
    _driver: DriverGuard,
}

/// Closes the connection when dropped.
#[derive(Debug)]
struct DriverGuard(AbortHandle);

impl Drop for DriverGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: RunnerConnection,
    until: Millis,
}

/// Idle connections by runner.
#[derive(Debug)]
pub(crate) struct RunnerPool {
    clock: Clock,
    idle: Mutex<HashMap<RunnerId, Vec<Idle>>>,
}

impl RunnerPool {
    pub(crate) fn new(clock: Clock) -> RunnerPool {
        RunnerPool { clock, idle: Mutex::new(HashMap::new()) }
    }

    /// Takes the most recently used idle connection to the runner that permits the call, is still
    /// open and has nothing unread on it.
    pub(crate) fn take_idle(
        &self,
        runner: &RunnerId,
        call: RunnerCall<'_>,
    ) -> Option<RunnerConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(runner)?;
        while let Some(nth) = kept.iter().rposition(|it| it.connection.calls.permits(call)) {
            let Idle { connection, until } = kept.remove(nth);
            if now < until && connection.sender.is_ready() && is_quiet(&connection.socket) {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection.
    pub(crate) async fn connect(&self, runner: &Runner) -> Result<RunnerConnection, ConnectError> {
        let socket = Arc::new(connect_tcp(runner.address).await?);
        let io = TokioIo::new(SharedStream::from(socket.clone()));
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, driver) = builder.handshake(io).await.map_err(|e| e.to_string())?;
        let driver = tokio::spawn(async move {
            if let Err(e) = driver.await {
                log::debug!("pool: connection ended early cause=\"{e}\"");
            }
        });
        let driver = DriverGuard(driver.abort_handle());
        let calls = ConnectionCalls::default();
        Ok(RunnerConnection { sender, reused: false, calls, socket, _driver: driver })
    }

    /// Returns a connection whose last response was read to its end, unless the runner closes it, its
    /// end was that of the response, or it has carried enough requests.
    pub(crate) fn keep(
        &self,
        runner: &RunnerId,
        mut connection: RunnerConnection,
        head: &HeaderMap,
    ) {
        if BodyFraming::of(head) == BodyFraming::Close || !connection.calls.is_reusable() {
            return;
        }
        let Some(idle_timeout) = idle_timeout(head) else { return };
        connection.reused = true;
        let until = self.clock.now().plus(idle_timeout).since(IDLE_MARGIN);
        let mut idle = self.idle.lock();
        let kept = idle.entry(runner.clone()).or_default();
        if kept.len() < MAX_IDLE_PER_RUNNER {
            kept.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections of a removed runner.
    pub(crate) fn forget(&self, runner: &RunnerId) {
        self.idle.lock().remove(runner);
    }

    /// Closes connections whose idle timeout has passed.
    pub(crate) fn sweep(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.lock();
        for kept in idle.values_mut() {
            kept.retain(|idle| now < idle.until && !idle.connection.sender.is_closed());
        }
        idle.retain(|_, kept| !kept.is_empty());
    }
}

async fn connect_tcp(address: SocketAddr) -> Result<TcpStream, ConnectError> {
    let connect = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT.duration(), connect).await {
        Ok(connected) => connected.map_err(|e| e.to_string())?,
        Err(_) => return Err(format!("no connection within {CONNECT_TIMEOUT}")),
    };
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    Ok(stream)
}

/// The runner's idle timeout of the connection; `None` when the runner closes it.
fn idle_timeout(head: &HeaderMap) -> Option<Millis> {
    let text = |name: &str| head.get(name).and_then(|value| value.to_str().ok());
    if text("connection").is_some_and(|value| value.to_ascii_lowercase().contains("close")) {
        return None;
    }
    let stated = text("keep-alive").and_then(stated_timeout);
    Some(stated.unwrap_or(DEFAULT_IDLE_TIMEOUT))
}

/// The `timeout` parameter of a `Keep-Alive` header, which is in seconds.
fn stated_timeout(value: &str) -> Option<Millis> {
    let stated = |part: &str| part.trim().strip_prefix("timeout=")?.trim().parse::<u64>().ok();
    value.split(',').find_map(stated).map(|seconds| Millis(seconds.saturating_mul(1_000)))
}
