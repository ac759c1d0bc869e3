//! Listeners whose connections send small writes at once.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

const BACKLOG: u32 = 1_024;

/// Listens on `addr`. Accepted connections inherit "no delay" from the listening socket, so that a
/// token is not held back until the one before it is acknowledged.
///
/// # Errors
/// What the system says, such as "address in use".
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Connects to `addr` with "no delay" set.
///
/// # Errors
/// What the system says.
pub async fn nodelay(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// When the signal cannot be listened for.
pub async fn terminated() -> std::io::Result<()> {
    let mut term = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => Ok(()),
        interrupted = tokio::signal::ctrl_c() => interrupted,
    }
}
