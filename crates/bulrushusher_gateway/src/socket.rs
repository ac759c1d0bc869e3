//! Sockets that are shared by a connection's task and those who check what has arrived on it.

use std::io;
use std::os::fd::AsFd;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use rustix::io::Errno;
use rustix::net::{RecvFlags, Shutdown};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A stream whose socket is shared.
#[derive(Debug)]
pub(crate) struct SharedStream(Arc<TcpStream>);

impl From<Arc<TcpStream>> for SharedStream {
    fn from(socket: Arc<TcpStream>) -> SharedStream {
        SharedStream(socket)
    }
}

/// What waits on a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pending {
    Nothing,
    Bytes,
    /// The end of the connection, or an error.
    End,
}

/// Asks the operating system what waits on the socket, as the runtime of a late process has not been
/// told yet.
fn pending(socket: &TcpStream) -> Pending {
    let mut byte = [0; 1];
    let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
    match rustix::net::recv(socket.as_fd(), &mut byte, flags) {
        Err(Errno::AGAIN) => Pending::Nothing,
        Ok((count, _)) if count > 0 => Pending::Bytes,
        Ok(_) | Err(_) => Pending::End,
    }
}

/// True if bytes have arrived on the socket that were not read.
pub(crate) fn has_unread(socket: &TcpStream) -> bool {
    pending(socket) == Pending::Bytes
}

/// True if the connection is open and nothing waits on it.
pub(crate) fn is_quiet(socket: &TcpStream) -> bool {
    pending(socket) == Pending::Nothing
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read_buf(buf) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read.map(|_| ())),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(rustix::net::shutdown(self.0.as_fd(), Shutdown::Write)?))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
