//! Bodies of responses to callers.

use std::pin::Pin;
use std::sync::Arc;
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

/// A part of a stream on its way to the caller.
pub(crate) type StreamPart = Result<Bytes, ResponseAborted>;

#[derive(Debug)]
enum Source {
    Whole(Full<Bytes>),
    Stream(mpsc::Receiver<StreamPart>),
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

    pub(crate) fn stream(rx: mpsc::Receiver<StreamPart>) -> ReplyBody {
        ReplyBody { source: Source::Stream(rx), _request: None }
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
            Source::Stream(rx) => rx.poll_recv(cx).map(|part| part.map(|p| p.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Source::Whole(full) => full.is_end_stream(),
            Source::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(full) => full.size_hint(),
            Source::Stream(_) => SizeHint::default(),
        }
    }
}
