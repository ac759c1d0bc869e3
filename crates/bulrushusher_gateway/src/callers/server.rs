//! Accepts callers' connections and serves them until the gateway stops.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use bulrushusher_forward::{AcceptGate, AcceptGateConfig};
use bulrushusher_time::{Clock, Millis};
use futures_util::FutureExt;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::callers::front::Front;
use crate::connection::{CallerConnection, CallerStream};
use crate::dialect::Dialect;

/// Interval of the check for slow heads and idle connections.
const SWEEP_INTERVAL: Millis = Millis(500);

/// Pause after a failed accept, so that a full descriptor table does not cause a busy loop.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Connections that are accepted before other tasks run again.
const ACCEPT_BATCH: usize = 128;

/// Time between two log lines about connections that were turned away.
const LOG_INTERVAL: Millis = Millis(1_000);

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
        let gate = AcceptGate::new(AcceptGateConfig::default(), clock.now());
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
    pub(crate) async fn accept(&self, listener: TcpListener, max_connections: usize) {
        let mut waiting_since = None;
        loop {
            let is_drained = self.accept_waiting(&listener, max_connections, waiting_since);
            if !is_drained.await {
                waiting_since.get_or_insert(self.clock.now());
                tokio::task::yield_now().await;
                continue;
            }
            waiting_since = None;
            self.handle_accepted(listener.accept().await, max_connections, None).await;
        }
    }

    /// Accepts connections that wait already, up to [`ACCEPT_BATCH`]. Returns true if none is left.
    async fn accept_waiting(
        &self,
        listener: &TcpListener,
        max_connections: usize,
        waiting_since: Option<Millis>,
    ) -> bool {
        for _ in 0..ACCEPT_BATCH {
            // The budget of the runtime would make the listener seem empty.
            let accepted = tokio::task::unconstrained(listener.accept()).now_or_never();
            let Some(accepted) = accepted else { return true };
            self.handle_accepted(accepted, max_connections, waiting_since).await;
        }
        false
    }

    async fn handle_accepted(
        &self,
        accepted: io::Result<(TcpStream, SocketAddr)>,
        max_connections: usize,
        waiting_since: Option<Millis>,
    ) {
        match accepted {
            Ok((stream, peer)) if self.alive.receiver_count() < max_connections => {
                let now = self.clock.now();
                match self.gate.lock().admit(now) && !self.front.is_short_of_memory() {
                    true => self.serve_connection(stream, peer, waiting_since.unwrap_or(now)),
                    false => self.record_turned_away(now),
                }
            }
            Ok((_, peer)) => log::warn!("server: too many connections peer={peer}"),
            Err(e) => {
                log::warn!("server: cannot accept cause=\"{e}\"");
                tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
            }
        }
    }

    /// Counts a connection that is closed unread, and logs it at most once in [`LOG_INTERVAL`].
    fn record_turned_away(&self, now: Millis) {
        self.front.router.metrics.record_turned_away();
        let mut logged = self.turned_away.lock();
        logged.count += 1;
        if now.since(logged.logged_at) >= LOG_INTERVAL {
            let count = std::mem::take(&mut logged.count);
            logged.logged_at = now;
            log::info!(
                "server: connections turned away count={count} accepted_share={:.2}",
                self.gate.lock().share()
            );
        }
    }

    fn serve_connection(&self, stream: TcpStream, peer: SocketAddr, waiting_since: Millis) {
        if let Err(e) = stream.set_nodelay(true) {
            log::debug!("server: connection ended early peer={peer} cause=\"{e}\"");
            return;
        }
        let connection = Arc::new(CallerConnection::new(self.clock.clone()));
        self.open.connections.lock().push(Arc::downgrade(&connection));
        let (alive, closing) = (self.alive.subscribe(), self.closing.subscribe());
        let (front, gate, clock) = (self.front.clone(), self.gate.clone(), self.clock.clone());
        tokio::spawn(async move {
            let now = clock.now();
            gate.lock().record_lateness(now.since(waiting_since), now);
            serve_until_closed(front, stream, connection, closing).await;
            drop(alive);
        });
    }

    /// Closes connections whose head is too slow or that are idle for too long, until dropped.
    pub(crate) async fn sweep(&self) {
        loop {
            tokio::time::sleep(SWEEP_INTERVAL.duration()).await;
            let Some(routing) = self.front.router.shared.routing() else { continue };
            let open: Vec<Arc<CallerConnection>> = {
                let mut connections = self.open.connections.lock();
                connections.retain(|connection| connection.strong_count() > 0);
                connections.iter().filter_map(Weak::upgrade).collect()
            };
            for connection in open {
                if let Some(reason) = connection.close_reason(&routing.limits) {
                    log::debug!("server: connection closed reason=\"{reason}\"");
                    connection.request_close();
                }
            }
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

async fn serve_until_closed<D: Dialect>(
    front: Arc<Front<D>>,
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    mut closing: watch::Receiver<bool>,
) {
    let max_head = front.router.shared.routing().map(|routing| routing.limits.header_bytes);
    let io = TokioIo::new(CallerStream::new(stream, connection.clone()));
    let service = {
        let connection = connection.clone();
        service_fn(move |req| front.clone().serve(req, connection.clone()))
    };
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).half_close(false).header_read_timeout(None);
    builder.max_buf_size(max_head.unwrap_or(DEFAULT_MAX_HEAD_BYTES).max(MIN_MAX_HEAD_BYTES));
    let served = builder.serve_connection(io, service);
    tokio::pin!(served);
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = connection.close_requested() => return,
        () = closing_signalled(&mut closing) => {
            served.as_mut().graceful_shutdown();
            served.await
        }
    };
    if let Err(e) = ended {
        log::debug!("server: connection ended early cause=\"{e}\"");
    }
}

async fn closing_signalled(closing: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, and its connections with it.
    closing.wait_for(|closing| *closing).await.ok();
}

/// Largest request head before a configuration is loaded, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// Smallest buffer that the HTTP library accepts, in bytes.
const MIN_MAX_HEAD_BYTES: usize = 8 << 10;
