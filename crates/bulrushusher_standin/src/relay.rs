//! A TCP relay that misbehaves on demand: open connections go silent, lose one direction or are
//! closed while new ones work, and all that is carried can be delayed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bulrushusher_http::{bind, connect_nodelay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;

const BUFFER: usize = 16 * 1024;
/// Pause after a connection could not be accepted, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// What happens to the connections that are open.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RelayFault {
    /// Nothing is carried any more, in both directions, and nothing is closed.
    #[default]
    Silence,
    /// What the target sends is not carried any more; the other direction works.
    SilenceAnswers,
    /// They are closed.
    Close,
}

/// Direction in which bytes are carried.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

/// A running relay in front of `target`.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
    fault: Arc<watch::Sender<RelayFault>>,
    delay_ms: Arc<AtomicU64>,
    task: tokio::task::JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on `addr` (port 0 takes any) in front of `target`.
    ///
    /// # Errors
    /// What the system says, such as "address in use".
    pub fn start(addr: SocketAddr, target: SocketAddr) -> std::io::Result<Relay> {
        let listener = bind(addr)?;
        let addr = listener.local_addr()?;
        let fault = Arc::new(watch::Sender::new(RelayFault::default()));
        let delay_ms = Arc::new(AtomicU64::new(0));
        let (faults, delay) = (Arc::clone(&fault), Arc::clone(&delay_ms));
        let task = tokio::spawn(async move {
            // Dropped with this task, and every connection with it.
            let mut open = JoinSet::new();
            loop {
                match listener.accept().await {
                    Ok((near, _)) => {
                        near.set_nodelay(true).ok();
                        open.spawn(carry(near, target, faults.subscribe(), Arc::clone(&delay)));
                    }
                    Err(e) => {
                        log::error!("standin: relay to {target} cannot accept: {e}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
                while open.try_join_next().is_some() {}
            }
        });
        Ok(Relay { addr, fault, delay_ms, task })
    }

    /// Every connection open now goes silent for good, in both directions, without being closed.
    pub fn silence_open_connections(&self) {
        self.harm_open_connections(RelayFault::Silence);
    }

    /// Harms every connection that is open now; later ones work.
    pub fn harm_open_connections(&self, fault: RelayFault) {
        self.fault.send_replace(fault);
    }

    /// Carries everything that much later from now on.
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

async fn carry(
    near: TcpStream,
    target: SocketAddr,
    fault: watch::Receiver<RelayFault>,
    delay: Arc<AtomicU64>,
) {
    let Ok(far) = connect_nodelay(target).await else { return };
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let there = copy(near_rx, far_tx, Direction::ToTarget, fault.clone(), &delay);
    let back = copy(far_rx, near_tx, Direction::FromTarget, fault, &delay);
    tokio::join!(there, back);
}

/// Copies until the end or until a fault; a silent direction holds its ends open without reading.
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
                let struck = *fault.borrow_and_update();
                match (struck, direction) {
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
