//! A TCP relay that can go silent: open connections stop carrying anything while new ones work.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_http::{bind, nodelay};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinSet;

const BUFFER: usize = 16 * 1024;
/// Pause after a connection could not be accepted, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// A running relay in front of `target`.
#[derive(Debug)]
pub struct Relay {
    /// Where it listens.
    pub addr: SocketAddr,
    epoch: Arc<watch::Sender<u64>>,
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
        let epoch = Arc::new(watch::Sender::new(0));
        let silenced = Arc::clone(&epoch);
        let task = tokio::spawn(async move {
            // Dropped with this task, and every connection with it.
            let mut open = JoinSet::new();
            loop {
                match listener.accept().await {
                    Ok((near, _)) => {
                        near.set_nodelay(true).ok();
                        open.spawn(carry(near, target, silenced.subscribe()));
                    }
                    Err(e) => {
                        log::error!("standin: relay to {target} cannot accept: {e}");
                        tokio::time::sleep(ACCEPT_PAUSE).await;
                    }
                }
                while open.try_join_next().is_some() {}
            }
        });
        Ok(Relay { addr, epoch, task })
    }

    /// Every connection open now goes silent for good, in both directions, without being closed.
    pub fn silence_open_connections(&self) {
        self.epoch.send_modify(|epoch| *epoch += 1);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn carry(near: TcpStream, target: SocketAddr, silenced: watch::Receiver<u64>) {
    let Ok(far) = nodelay(target).await else { return };
    let (near_rx, near_tx) = near.into_split();
    let (far_rx, far_tx) = far.into_split();
    let there = copy(near_rx, far_tx, silenced.clone());
    let back = copy(far_rx, near_tx, silenced);
    tokio::join!(there, back);
}

/// Copies until the end, or until silenced; then holds both ends open without reading.
async fn copy(mut rx: OwnedReadHalf, mut tx: OwnedWriteHalf, mut silenced: watch::Receiver<u64>) {
    let mut buf = vec![0; BUFFER];
    loop {
        let len = tokio::select! {
            _ = silenced.changed() => break,
            len = rx.read(&mut buf) => len.unwrap_or(0),
        };
        if len == 0 || tx.write_all(&buf[..len]).await.is_err() {
            tx.shutdown().await.ok();
            return;
        }
    }
    std::future::pending::<()>().await;
}
