//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

use crate::connection::Serving;

/// The answer breaks off: the connection is closed so that it does not look whole.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the runner's answer broke off; the connection is closed so that it does not look whole")]
pub struct CutOff;

/// What a stream's task sends to its caller.
pub(crate) type StreamPart = Result<Bytes, CutOff>;

#[derive(Debug)]
enum Source {
    Whole(Full<Bytes>),
    Stream(mpsc::Receiver<StreamPart>),
}

/// A body, which tells the connection when the answer is over.
#[derive(Debug)]
pub(crate) struct ReplyBody {
    source: Source,
    _serving: Option<Serving>,
}

impl ReplyBody {
    pub(crate) fn whole(bytes: Bytes) -> ReplyBody {
        ReplyBody { source: Source::Whole(Full::new(bytes)), _serving: None }
    }

    pub(crate) fn stream(rx: mpsc::Receiver<StreamPart>) -> ReplyBody {
        ReplyBody { source: Source::Stream(rx), _serving: None }
    }

    /// The connection counts as busy until this body is dropped.
    pub(crate) fn serving(mut self, serving: Serving) -> ReplyBody {
        self._serving = Some(serving);
        self
    }
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
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
