//! A TCP proxy for fault injection: it can blackhole open connections in one or both directions,
//! close them, and delay the data of all connections. Connections opened afterwards work, unless the
//! relay is blocked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bulrushusher_http::{bind, connect_nodelay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;

const BUFFER: usize = 16 * 1024;
/// Delay before the next accept after a failed one, such as when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A fault that affects the connections that are open when it is injected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayFault {
    /// Data is no longer forwarded in either direction, and the connections stay open.
    #[default]
    Silence,
    /// Data from the target is no longer forwarded; the other direction works.
    SilenceAnswers,
    /// The connections are closed.
    Close,
}

/// Direction in which a task forwards data.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// A running relay in front of `target`.
#[derive(Debug)]
pub struct Relay {
    /// Address on which the relay listens.
    pub addr: SocketAddr,
    fault: Arc<watch::Sender<RelayFault>>,
    delay_ms: Arc<AtomicU64>,
    is_blocked: Arc<AtomicBool>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on `addr` (port 0 picks a free port) in front of `target`.
    ///
    /// # Errors
    /// The I/O error of binding the listener, such as "address in use".
    pub fn start(addr: SocketAddr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = bind(addr)?;
        let addr = listener.local_addr()?;
        let fault = Arc::new(watch::Sender::new(RelayFault::default()));
        let delay_ms = Arc::new(AtomicU64::new(0));
        let is_blocked = Arc::new(AtomicBool::new(false));
        let (faults, delay) = (Arc::clone(&fault), Arc::clone(&delay_ms));
        let blocked = Arc::clone(&is_blocked);
        let task = tokio::spawn(async move {
            // Dropping the set with this task aborts every connection.
            let mut connections = JoinSet::new();
            loop {
                match listener.accept().await {
                    Ok((near, _)) if blocked.load(Ordering::Relaxed) => {
                        connections.spawn(hold_open(near));
                    }
                    Ok((near, _)) => {
                        near.set_nodelay(true).ok();
                        let fault = faults.subscribe();
                        connections.spawn(forward(near, target, fault, Arc::clone(&delay)));
                    }
                    Err(e) => {
                        log::error!(
                            "standin: relay to {target} cannot accept a connection, retrying: {e}"
                        );
                        tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                    }
                }
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(Relay { addr, fault, delay_ms, is_blocked, task })
    }

    /// Permanently stops forwarding on every open connection, in both directions, without closing
    /// it. Later connections work.
    pub fn blackhole_open_connections(&self) {
        self.inject_fault(RelayFault::Silence);
    }

    /// Injects a fault into every open connection; later connections work.
    pub fn inject_fault(&self, fault: RelayFault) {
        self.fault.send_replace(fault);
    }

    /// Simulates a partition: silences open connections, and accepts later ones without forwarding
    /// their data until the partition is healed. Connections made meanwhile stay silent.
    pub fn set_blocked(&self, blocked: bool) {
        self.is_blocked.store(blocked, Ordering::Relaxed);
        if blocked {
            self.inject_fault(RelayFault::Silence);
        }
    }

    /// Delays each chunk of data by `delay` from now on.
    pub fn set_delay(&self, delay: Duration) {
        let ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.delay_ms.store(ms, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps a connection open without reading from it.
async fn hold_open(near: TcpStream) {
    let _near = near;
    std::future::pending::<()>().await;
}

async fn forward(
    near: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<RelayFault>,
    delay: Arc<AtomicU64>,
) {
    let Ok(far) = connect_nodelay(target).await else { return };
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let to_target = copy(near_rx, far_tx, Direction::ToTarget, fault.clone(), &delay);
    let from_target = copy(far_rx, near_tx, Direction::FromTarget, fault, &delay);
    tokio::join!(to_target, from_target);
}

/// Copies until end of stream or a fault. A blackholed direction keeps both sockets open without
/// reading.
async fn copy(
    mut rx: OwnedReadHalf,
    mut tx: OwnedWriteHalf,
    direction: Direction,
    mut fault: watch::Receiver<RelayFault>,
    delay: &AtomicU64,
) {
    let mut buf = vec![0; BUFFER];
    loop {
        let len = tokio::select! {
            Ok(()) = fault.changed() => {
                let injected = *fault.borrow_and_update();
                match (injected, direction) {
                    (RelayFault::Close, _) => return,
                    (RelayFault::SilenceAnswers, Direction::ToTarget) => continue,
                    (RelayFault::Silence | RelayFault::SilenceAnswers, _) => break,
                }
            }
            len = rx.read(&mut buf) => len.unwrap_or(0),
        };
        match delay.load(Ordering::Relaxed) {
            0 => {}
            ms => tokio::time::sleep(Duration::from_millis(ms)).await,
        }
        if len == 0 || tx.write_all(&buf[..len]).await.is_err() {
            tx.shutdown().await.ok();
            return;
        }
    }
    std::future::pending::<()>().await;
}
