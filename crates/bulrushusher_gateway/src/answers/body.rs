//! Bodies of responses to callers.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::connection::RequestGuard;

/// The runner's response ended early; the connection is closed so that the response does not look
/// complete.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "the runner's response ended early; the connection is closed so that it does not look complete"
)]
pub struct ResponseAborted;

/// Tells whether a stream was forwarded to its end. The task of a stream that ends without this mark has
/// panicked, and the stream must not look complete.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamEnd(Arc<AtomicBool>);

impl StreamEnd {
    /// Marks that the task of the stream returned.
    pub(crate) fn mark(&self) {
        self.0.store(true, Ordering::Release);
    }

    fn is_marked(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// A part of a stream on its way to the caller.
pub(crate) type StreamPart = Result<Bytes, ResponseAborted>;

#[derive(Debug)]
enum Source {
    Whole(Full<Bytes>),
    Stream { rx: mpsc::Receiver<StreamPart>, end: StreamEnd },
}

/// A response body, which keeps its connection marked as busy until it is dropped.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    source: Source,
    _request: Option<Arc<RequestGuard>>,
}

impl ReplyBody {
    pub(crate) fn whole(bytes: Bytes) -> ReplyBody {
        ReplyBody { source: Source::Whole(Full::new(bytes)), _request: None }
    }

    /// A body of the parts that are received. Their sender marks the end before it is dropped.
    pub(crate) fn stream(rx: mpsc::Receiver<StreamPart>, end: StreamEnd) -> ReplyBody {
        ReplyBody { source: Source::Stream { rx, end }, _request: None }
    }

    /// Attaches the request's guard: the connection counts as busy until this body is dropped.
    pub(crate) fn with_guard(mut self, request: Arc<RequestGuard>) -> ReplyBody {
        self._request = Some(request);
        self
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match &mut self.source {
            Source::Whole(full) => Pin::new(full).poll_frame(cx).map_err(|never| match never {}),
            Source::Stream { rx, end } => rx.poll_recv(cx).map(|part| match part {
                None if !end.is_marked() => Some(Err(ResponseAborted)),
                part => part.map(|part| part.map(Frame::data)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(full) => full.is_end_stream(),
            Source::Stream { .. } => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(full) => full.size_hint(),
            Source::Stream { .. } => SizeHint::default(),
        }
    }
}
