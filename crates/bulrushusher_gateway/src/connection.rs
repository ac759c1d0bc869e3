//! Callers' connections: their state, and the streams that record what arrives on them.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bulrushusher_forward::{CloseReason, ConnectionLimits, ConnectionState};
use bulrushusher_time::{Clock, Millis};
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::socket::SharedStream;

/// One connection, shared by the server, the stream and the response bodies.
#[derive(Debug)]
pub(crate) struct CallerConnection {
    clock: Clock,
    opened: Millis,
    state: Mutex<Tracked>,
    close: Notify,
}

#[derive(Debug)]
struct Tracked {
    state: ConnectionState,
    /// Bytes read from the caller so far.
    bytes_read: u64,
    /// Requests whose head was read so far.
    requests: u64,
    /// The limits by which the sweep found the connection due.
    due_by: Option<ConnectionLimits>,
    /// True while the socket takes no more of the current response.
    is_write_blocked: bool,
}

impl CallerConnection {
    pub(crate) fn new(clock: Clock) -> CallerConnection {
        let opened = clock.now();
        let state = ConnectionState::new(opened);
        let state =
            Tracked { state, bytes_read: 0, requests: 0, due_by: None, is_write_blocked: false };
        CallerConnection { clock, opened, state: Mutex::new(state), close: Notify::new() }
    }

    /// Records that a head is complete; the connection is busy until the guard is dropped.
    pub(crate) fn start_request(self: &Arc<Self>) -> RequestGuard {
        let mut tracked = self.state.lock();
        tracked.requests += 1;
        tracked.state.begin_request();
        RequestGuard { connection: self.clone() }
    }

    fn record_bytes(&self, count: usize) {
        let mut tracked = self.state.lock();
        tracked.bytes_read += count as u64;
        tracked.state.record_bytes(self.clock.now());
    }

    /// The connection's state, for the log.
    pub(crate) fn describe(&self) -> String {
        let (now, tracked) = (self.clock.now(), self.state.lock());
        format!(
            "age_ms={} bytes_read={} requests={} serving={}",
            now.since(self.opened).0,
            tracked.bytes_read,
            tracked.requests,
            tracked.state.is_serving(),
        )
    }

    /// Asks the connection's task to close it if it is due. The task decides, as it knows what has
    /// arrived.
    pub(crate) fn request_close_if_due(&self, limits: &ConnectionLimits) {
        let mut tracked = self.state.lock();
        if tracked.state.close_reason(limits, self.clock.now()).is_some() {
            tracked.due_by = Some(*limits);
            self.close.notify_one();
        }
    }

    /// Waits until the sweep has found the connection due.
    pub(crate) async fn found_due(&self) {
        self.close.notified().await;
    }

    /// Begins to close the connection if it is still due; returns the reason.
    pub(crate) fn close_if_due(&self, has_unread: bool) -> Option<CloseReason> {
        let mut tracked = self.state.lock();
        let limits = tracked.due_by?;
        tracked.state.close_if_due(&limits, self.clock.now(), has_unread)
    }

    /// Begins to close the connection if nothing is in flight on it; returns the reason.
    pub(crate) fn close_if_idle(&self, has_unread: bool) -> Option<CloseReason> {
        self.state.lock().state.close_if_idle(has_unread)
    }

    pub(crate) fn is_serving(&self) -> bool {
        self.state.lock().state.is_serving()
    }

    /// True if all responses have been written, and no request is being served.
    pub(crate) fn is_between_requests(&self) -> bool {
        let tracked = self.state.lock();
        !tracked.state.is_serving() && !tracked.is_write_blocked
    }
}

/// Marks its connection as busy with a request until dropped: until the response has ended and the
/// request's body was read or given up.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    connection: Arc<CallerConnection>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let now = self.connection.clock.now();
        self.connection.state.lock().state.end_request(now);
    }
}

/// A caller's stream that records when bytes arrive.
#[derive(Debug)]
pub(crate) struct CallerStream {
    stream: SharedStream,
    connection: Arc<CallerConnection>,
    /// Bytes that were read from the socket and not processed.
    unprocessed: Bytes,
}

impl CallerStream {
    /// Reads `unprocessed`, which was read from the socket before, and then from the socket.
    pub(crate) fn new(
        socket: Arc<TcpStream>,
        connection: Arc<CallerConnection>,
        unprocessed: Bytes,
    ) -> CallerStream {
        CallerStream { stream: socket.into(), connection, unprocessed }
    }

    fn record_write<T>(&self, written: Poll<T>) -> Poll<T> {
        self.connection.state.lock().is_write_blocked = written.is_pending();
        written
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if !self.unprocessed.is_empty() {
            let count = self.unprocessed.len().min(buf.remaining());
            buf.put_slice(&self.unprocessed.split_to(count));
            return Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let count = buf.filled().len() - before;
        if count > 0 {
            self.connection.record_bytes(count);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(written)
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
