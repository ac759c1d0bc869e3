//! State of callers' connections, to close those that are idle or send a head too slowly.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use bulrushusher_forward::CallerLimits;
use bulrushusher_time::{Clock, Millis};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Time that an idle connection is kept beyond the idle timeout, so that a request sent at the last
/// moment is still read.
const IDLE_SLACK: Millis = Millis(500);

/// Value of `head_started` while no head is being received.
const NOT_STARTED: u64 = 0;

/// State of one connection, shared by the server, the stream and the response bodies.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    clock: Clock,
    opened: Millis,
    /// Bytes read from the caller so far.
    bytes_read: AtomicU64,
    /// Requests whose head was read so far.
    requests: AtomicU64,
    /// Number of requests being served.
    serving: AtomicU64,
    /// When the first byte of an incomplete head arrived, or [`NOT_STARTED`].
    head_started: AtomicU64,
    idle_since: AtomicU64,
    close: Notify,
    /// Why the connection is to be closed.
    close_reason: Mutex<&'static str>,
}

impl CallerConnection {
    pub(crate) fn new(clock: Clock) -> CallerConnection {
        let opened = clock.now();
        CallerConnection {
            clock,
            opened,
            bytes_read: AtomicU64::new(0),
            requests: AtomicU64::new(0),
            serving: AtomicU64::new(0),
            head_started: AtomicU64::new(NOT_STARTED),
            idle_since: AtomicU64::new(opened.0),
            close: Notify::new(),
            close_reason: Mutex::default(),
        }
    }

    /// Records that a head is complete; the connection is busy until the guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RequestGuard {
        self.head_started.store(NOT_STARTED, Ordering::Relaxed);
        self.serving.fetch_add(1, Ordering::Relaxed);
        self.requests.fetch_add(1, Ordering::Relaxed);
        RequestGuard { connection: self.clone() }
    }

    fn record_bytes(&self, count: usize) {
        self.bytes_read.fetch_add(count as u64, Ordering::Relaxed);
        if self.serving.load(Ordering::Relaxed) == 0 {
            let now = self.clock.now().0;
            let unset = self.head_started.compare_exchange(
                NOT_STARTED,
                now,
                Ordering::Relaxed,
                Ordering::Relaxed,
            );
            if unset.is_ok() {
                log::trace!("caller: a head begins");
            }
        }
    }

    /// The reason to close the connection now, if there is one.
    pub(crate) fn close_reason(&self, limits: &CallerLimits) -> Option<&'static str> {
        if self.serving.load(Ordering::Relaxed) > 0 {
            return None;
        }
        let now = self.clock.now();
        let head_started = self.head_started.load(Ordering::Relaxed);
        if head_started != NOT_STARTED && now.since(Millis(head_started)) > limits.header_timeout {
            return Some("head too slow");
        }
        let idle_since = Millis(self.idle_since.load(Ordering::Relaxed));
        let is_idle = head_started == NOT_STARTED;
        let kept = limits.idle_timeout.plus(IDLE_SLACK);
        (is_idle && now.since(idle_since) > kept).then_some("idle for too long")
    }

    /// The connection's state, for the log.
    pub(crate) fn describe(&self) -> String {
        let now = self.clock.now();
        let load = |value: &AtomicU64| value.load(Ordering::Relaxed);
        format!(
            "age_ms={} idle_ms={} bytes_read={} requests={} serving={} reading_head={}",
            now.since(self.opened).0,
            now.since(Millis(load(&self.idle_since))).0,
            load(&self.bytes_read),
            load(&self.requests),
            load(&self.serving),
            load(&self.head_started) != NOT_STARTED,
        )
    }

    /// Asks the connection's server to close it.
    pub(crate) fn request_close(&self, reason: &'static str) {
        *self.close_reason.lock() = reason;
        self.close.notify_one();
    }

    /// Waits until the connection is to be closed; returns the reason.
    pub(crate) async fn close_requested(&self) -> &'static str {
        self.close.notified().await;
        *self.close_reason.lock()
    }
}

/// Marks its connection as busy with a request until dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connection: Arc<CallerConnection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.connection.clock.now().0;
        self.connection.idle_since.store(now, Ordering::Relaxed);
        self.connection.serving.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A caller's stream that records when bytes arrive.
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
        let count = buf.filled().len() - before;
        if count > 0 {
            self.connection.record_bytes(count);
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
