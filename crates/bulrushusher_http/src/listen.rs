//! TCP connections with `TCP_NODELAY`, and the shutdown signal.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

const BACKLOG: u32 = 1_024;

/// Listens on `addr`. Accepted connections inherit `TCP_NODELAY` from the listening socket, so that
/// a token is not delayed until the previous one is acknowledged (Nagle's algorithm).
///
/// # Errors
/// The error of the system call, such as "address in use".
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if addr.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_nodelay(true)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Connects to `addr` with `TCP_NODELAY` set.
///
/// # Errors
/// The error of the system call.
pub async fn connect_nodelay(addr: SocketAddr) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// When a signal handler cannot be installed.
pub async fn shutdown_signal() -> std::io::Result<()> {
    let mut sigterm = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())?;
    tokio::select! {
        _ = sigterm.recv() => Ok(()),
        result = tokio::signal::ctrl_c() => result,
    }
}
