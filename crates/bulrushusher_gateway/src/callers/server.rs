//! Accepts callers' connections and serves them until the gateway stops.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use std::task::Poll;

use bulrushusher_forward::{AcceptGate, AcceptGateConfig, CloseReason, LimitHistory};
use bulrushusher_time::{Clock, Millis};
use bytes::Bytes;
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::unconstrained;

use crate::callers::front::Front;
use crate::connection::{CallerConnection, CallerStream};
use crate::dialect::Dialect;
use crate::socket::has_unread;

/// Interval of the check for slow heads and idle connections.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Pause after a failed accept, so that a full descriptor table does not cause a busy loop.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Time between two log lines about connections that were turned away.
const LOG_INTERVAL: Millis = Millis(1_000);

/// A connection of a caller, with the caller's address.
type Accepted = (TcpStream, SocketAddr);

/// The open connections.
#[derive(Debug, Default)]
struct OpenConnections {
    connections: Mutex<Vec<Weak<CallerConnection>>>,
}

/// The server of callers' connections.
#[derive(Debug)]
pub(crate) struct Server<D> {
    front: Arc<Front<D>>,
    clock: Clock,
    open: Arc<OpenConnections>,
    /// Set to true when connections are to close after their current response.
    closing: watch::Sender<bool>,
    /// Each connection's task holds a receiver, so that the sender can count them and wait for the
    /// last.
    alive: watch::Sender<()>,
    /// Decides which connections are accepted.
    gate: Arc<Mutex<AcceptGate>>,
    turned_away: Mutex<TurnedAway>,
}

/// Connections that were closed unread since the last log line about them.
#[derive(Debug, Default)]
struct TurnedAway {
    count: u64,
    logged_at: Millis,
}

impl<D: Dialect> Server<D> {
    pub(crate) fn new(front: Arc<Front<D>>, clock: Clock) -> Server<D> {
        let gate = AcceptGate::new(AcceptGateConfig::default());
        Server {
            front,
            clock,
            gate: Arc::new(Mutex::new(gate)),
            turned_away: Mutex::default(),
            open: Arc::default(),
            closing: watch::Sender::new(false),
            alive: watch::Sender::new(()),
        }
    }

    /// Accepts up to `max_connections` at once, until dropped; fewer while the process is late. A
    /// connection that is turned away is closed unread, so that its caller may try another gateway.
    pub(crate) async fn accept(&self, listener: &TcpListener, max_connections: usize) {
        let mut first = None;
        loop {
            let began = self.clock.now();
            if self.take_turn(listener, first.take(), max_connections) {
                first = self.accept_first(listener).await;
                continue;
            }
            tokio::task::yield_now().await;
            self.gate.lock().record_round(began, self.clock.now());
        }
    }

    /// Waits for a connection.
    async fn accept_first(&self, listener: &TcpListener) -> Option<Accepted> {
        let accepted = listener.accept().await;
        if let Err(e) = &accepted {
            log::warn!("server: cannot accept cause=\"{e}\"");
            tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
        }
        accepted.ok()
    }

    /// Accepts the `first` connection and those that wait, as far as the gate lets them in. Returns true
    /// if all are served.
    fn take_turn(
        &self,
        listener: &TcpListener,
        first: Option<Accepted>,
        max_connections: usize,
    ) -> bool {
        let now = self.clock.now();
        let turn = self.gate.lock().begin_turn(now);
        let mut newest: VecDeque<Accepted> = first.into_iter().collect();
        let mut accepted = newest.len();
        let is_drained = loop {
            if accepted >= turn.accept {
                break false;
            }
            // The budget of the runtime would make the listener seem empty.
            let connection = match unconstrained(listener.accept()).now_or_never() {
                Some(Ok(connection)) => connection,
                Some(Err(e)) => {
                    log::warn!("server: cannot accept cause=\"{e}\"");
                    break true;
                }
                None => break true,
            };
            accepted += 1;
            newest.push_back(connection);
            if newest.len() > turn.serve {
                newest.pop_front();
                self.record_turned_away();
            }
        };
        for (stream, peer) in newest {
            self.admit(stream, peer, max_connections);
        }
        self.gate.lock().end_turn(accepted, is_drained, now)
    }

    fn admit(&self, stream: TcpStream, peer: SocketAddr, max_connections: usize) {
        if self.alive.receiver_count() >= max_connections {
            self.front.router.metrics.record_connection_closed("too many connections");
            log::warn!("server: too many connections peer={peer}");
        } else if self.front.is_short_of_memory() {
            self.record_turned_away();
        } else {
            self.serve_connection(stream, peer);
        }
    }

    /// Counts a connection that is closed unread, and logs it at most once in [`LOG_INTERVAL`].
    fn record_turned_away(&self) {
        let now = self.clock.now();
        self.front.router.metrics.record_turned_away();
        let mut logged = self.turned_away.lock();
        logged.count += 1;
        if now.since(logged.logged_at) >= LOG_INTERVAL {
            let count = std::mem::take(&mut logged.count);
            logged.logged_at = now;
            log::info!(
                "server: connections turned away count={count} batch={}",
                self.gate.lock().batch()
            );
        }
    }

    fn serve_connection(&self, stream: TcpStream, peer: SocketAddr) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("server: connection ended early peer={peer} cause=\"{e}\"");
            return;
        }
        let connection = Arc::new(CallerConnection::new(self.clock.clone()));
        self.open.connections.lock().push(Arc::downgrade(&connection));
        let (alive, closing) = (self.alive.subscribe(), self.closing.subscribe());
        let (front, gate, clock) = (self.front.clone(), self.gate.clone(), self.clock.clone());
        let accepted = clock.now();
        tokio::spawn(async move {
            gate.lock().record_lateness(accepted, clock.now());
            serve_until_closed(front, stream, connection, closing).await;
            drop(alive);
        });
    }

    /// Closes connections whose head is too slow or that are idle for too long, until dropped.
    pub(crate) async fn sweep(&self) {
        let mut limits = LimitHistory::default();
        loop {
            tokio::time::sleep(SWEEP_INTERVAL.duration()).await;
            let Some(routing) = self.front.router.shared.routing() else { continue };
            let limits = limits.update(&routing.limits, self.clock.now());
            let open: Vec<Arc<CallerConnection>> = {
                let mut connections = self.open.connections.lock();
                connections.retain(|connection| connection.strong_count() > 0);
                connections.iter().filter_map(Weak::upgrade).collect()
            };
            open.iter().for_each(|connection| connection.request_close_if_due(&limits));
            self.front.router.exchanger.pool().sweep();
        }
    }

    /// Closes each connection after its current response, and waits until all are closed.
    pub(crate) async fn drain(&self) {
        self.closing.send_replace(true);
        self.alive.closed().await;
    }

    /// Number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.alive.receiver_count()
    }
}

/// Serves a connection until it is closed. The HTTP library takes its limit on request heads when it
/// begins to serve a connection, so it begins anew, between two requests, when the limit has changed.
async fn serve_until_closed<D: Dialect>(
    front: Arc<Front<D>>,
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    closing: watch::Receiver<bool>,
) {
    let mut served = ServedConnection {
        front,
        socket: Arc::new(stream),
        connection,
        closing,
        is_stopping: false,
    };
    let mut unprocessed = Bytes::new();
    while let Some(rest) = served.serve(unprocessed).await {
        unprocessed = rest;
    }
}

/// A connection that is being served.
struct ServedConnection<D> {
    front: Arc<Front<D>>,
    socket: Arc<TcpStream>,
    connection: Arc<CallerConnection>,
    closing: watch::Receiver<bool>,
    is_stopping: bool,
}

impl<D: Dialect> ServedConnection<D> {
    /// Serves requests, first from `unprocessed`, which was read from the socket before. Returns what was
    /// read and not processed when the limit on request heads has changed, and `None` once the
    /// connection is closed.
    async fn serve(&mut self, unprocessed: Bytes) -> Option<Bytes> {
        let Self { front, socket, connection, closing, is_stopping } = self;
        let shared = &front.router.shared;
        let mut limit_changes = shared.max_head_changes();
        let max_head = shared.max_head_bytes();
        let service = {
            let (front, connection) = (front.clone(), connection.clone());
            service_fn(move |req| front.clone().serve(req, connection.clone()))
        };
        let io = CallerStream::new(socket.clone(), connection.clone(), unprocessed);
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).half_close(false).header_read_timeout(None);
        let max_head_bytes = max_head.max(MIN_MAX_HEAD_BYTES);
        // The limit on the buffer alone lets a larger head pass that arrives at once.
        builder.max_buf_size(max_head_bytes).max_header_size(max_head_bytes);
        let mut served = builder.serve_connection(TokioIo::new(io), service);
        let ended = loop {
            // Ready only after the library has written what it has.
            let must_begin_anew = std::future::poll_fn(|_| {
                match shared.max_head_bytes() != max_head && connection.is_between_requests() {
                    true => Poll::Ready(()),
                    false => Poll::Pending,
                }
            });
            tokio::select! {
                // What has arrived is read before the connection is closed.
                biased;
                ended = &mut served => break ended,
                () = connection.found_due() => {
                    if let Some(reason) = connection.close_if_due(has_unread(socket)) {
                        log_closed(front, connection, reason);
                        if reason == CloseReason::SlowHead {
                            socket.try_write(REQUEST_TIMEOUT).ok();
                        }
                        return None;
                    }
                }
                () = closing_signalled(closing), if !*is_stopping => {
                    *is_stopping = true;
                    // A head that has arrived in part is served; its response closes the connection.
                    let closed = connection.close_if_idle(has_unread(socket));
                    if let Some(reason) = closed {
                        log_closed(front, connection, reason);
                    }
                    if closed.is_some() || connection.is_serving() {
                        std::pin::Pin::new(&mut served).graceful_shutdown();
                    }
                }
                () = must_begin_anew, if !*is_stopping => {
                    return Some(served.into_parts().read_buf);
                }
                _ = limit_changes.changed() => {}
            }
        };
        if let Err(e) = ended {
            log::debug!("server: connection ended early cause=\"{e}\"");
        }
        None
    }
}

/// The response to a head that did not arrive in time.
const REQUEST_TIMEOUT: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Logs and counts a connection that the gateway closes.
fn log_closed<D: Dialect>(front: &Front<D>, connection: &CallerConnection, reason: CloseReason) {
    let shared = &front.router.shared;
    front.router.metrics.record_connection_closed(reason.label());
    log::info!(
        "server: connection closed reason=\"{reason}\" {} configuration={} configuration_age_ms={}",
        connection.describe(),
        shared.routing().map_or(0, |routing| routing.version),
        shared.routing_age().0,
    );
}

async fn closing_signalled(closing: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, and its connections with it.
    closing.wait_for(|closing| *closing).await.ok();
}

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_MAX_HEAD_BYTES: usize = 8 << 10;
