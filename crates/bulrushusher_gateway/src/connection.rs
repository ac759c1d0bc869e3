//! Callers' connections: which are idle, and which send a head too slowly.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bulrushusher_forward::CallerLimits;
use bulrushusher_time::{Clock, Millis};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Idle connections are kept this much longer than callers may leave them idle, so that a request
/// sent in the last moment is still read.
const IDLE_SLACK: Millis = Millis(500);

/// No such moment.
const NEVER: u64 = 0;

/// What is known of one connection. Its server, its stream and its answers share it.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    clock: Clock,
    /// Requests being served.
    serving: AtomicU64,
    /// When the first byte of a head came that is not whole yet.
    head_began: AtomicU64,
    idle_since: AtomicU64,
    close: Notify,
}

impl CallerConnection {
    pub(crate) fn new(clock: Clock) -> CallerConnection {
        let now = clock.now().0;
        CallerConnection {
            clock,
            serving: AtomicU64::new(0),
            head_began: AtomicU64::new(NEVER),
            idle_since: AtomicU64::new(now),
            close: Notify::new(),
        }
    }

    /// A head is whole; the connection is busy until the guard is dropped.
    pub(crate) fn begin_serving(self: &Arc<Self>) -> Serving {
        self.head_began.store(NEVER, Ordering::Relaxed);
        self.serving.fetch_add(1, Ordering::Relaxed);
        Serving { connection: self.clone() }
    }

    fn bytes_came(&self) {
        if self.serving.load(Ordering::Relaxed) == 0 {
            let now = self.clock.now().0;
            let unset =
                self.head_began.compare_exchange(NEVER, now, Ordering::Relaxed, Ordering::Relaxed);
            if unset.is_ok() {
                log::trace!("caller: a head begins");
            }
        }
    }

    /// Why the connection must be closed now, if it must.
    pub(crate) fn overdue(&self, limits: &CallerLimits) -> Option<&'static str> {
        if self.serving.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let now = self.clock.now();
        let head_began = self.head_began.load(Ordering::Relaxed);
        if head_began != NEVER && now.since(Millis(head_began)) > limits.header_timeout {
            return Some("head too slow");
        }
        let idle_since = Millis(self.idle_since.load(Ordering::Relaxed));
        let is_idle = head_began == NEVER;
        let kept = limits.idle_timeout.plus(IDLE_SLACK);
        (is_idle && now.since(idle_since) > kept).then_some("idle for too long")
    }

    /// Asks the connection's server to close it.
    pub(crate) fn request_close(&self) {
        self.close.notify_one();
    }

    /// Waits until it must be closed.
    pub(crate) async fn close_requested(&self) {
        self.close.notified().await;
    }
}

/// A request that is being served on a connection.
#[derive(Debug)]
pub(crate) struct Serving {
    connection: Arc<CallerConnection>,
}

impl Drop for Serving {
    fn drop(&mut self) {
        let now = self.connection.clock.now().0;
        self.connection.idle_since.store(now, Ordering::Relaxed);
        self.connection.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A caller's stream that notes when bytes come.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
}

impl CallerStream {
    pub(crate) fn new(stream: TcpStream, connection: Arc<CallerConnection>) -> CallerStream {
        CallerStream { stream, connection }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.connection.bytes_came();
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
