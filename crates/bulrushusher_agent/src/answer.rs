//! The answer of one run: the tokens so far, the attached streams, and how the run ended.

use std::collections::BTreeMap;

use bulrushusher_wire::Frame;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// All tokens were generated.
    Complete,
    /// The service answered.
    Service { status: u16, content_type: String, body: Bytes },
    /// Nothing was executed: the KV cache was gone, or the engine or service was not reached or
    /// refused the run.
    NotExecuted,
    /// The run started, and was lost or cancelled. `engine_ended` is true if the engine process
    /// ended.
    Failed { cause: String, engine_ended: bool },
}

#[derive(Debug, Default)]
struct Inner {
    tokens: Vec<String>,
    bytes: usize,
    ending: Option<Ending>,
    /// When each attached stream was last known to be read.
    streams: BTreeMap<String, Instant>,
    /// When any stream was last known to be read.
    last_read: Option<Instant>,
    abandoned: bool,
}

/// An answer, in progress or complete.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    inner: Mutex<Inner>,
    /// Notified when a token or the ending is added.
    pub(crate) changed: Notify,
    /// Notified when a stream is attached, detached or abandoned.
    pub(crate) streams_changed: Notify,
}

impl Answer {
    pub(crate) fn push_token(&self, text: String) {
        let mut inner = self.inner.lock();
        inner.bytes += text.len();
        inner.tokens.push(text);
        drop(inner);
        self.changed.notify_waiters();
    }

    pub(crate) fn end(&self, ending: Ending) {
        let mut inner = self.inner.lock();
        if let Ending::Service { body, .. } = &ending {
            inner.bytes += body.len();
        }
        inner.ending.get_or_insert(ending);
        drop(inner);
        self.changed.notify_waiters();
    }

    pub(crate) fn tokens(&self) -> usize {
        self.inner.lock().tokens.len()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.inner.lock().bytes
    }

    pub(crate) fn attach(&self, stream: &str) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        inner.streams.insert(stream.to_owned(), now);
        inner.last_read = Some(now);
        drop(inner);
        self.streams_changed.notify_waiters();
    }

    /// Records that an entry still reads a stream.
    pub(crate) fn keep_alive(&self, stream: &str) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        if let Some(at) = inner.streams.get_mut(stream) {
            *at = now;
            inner.last_read = Some(now);
        }
    }

    /// Removes a stream whose connection ended. Its reader may attach again.
    pub(crate) fn detach(&self, stream: &str) {
        self.inner.lock().streams.remove(stream);
        self.streams_changed.notify_waiters();
    }

    /// Abandons a stream; returns true if it was attached. The run is abandoned with the last
    /// stream.
    pub(crate) fn abandon(&self, stream: &str) -> bool {
        let mut inner = self.inner.lock();
        let was_attached = inner.streams.remove(stream).is_some();
        inner.abandoned |= was_attached && inner.streams.is_empty();
        drop(inner);
        self.streams_changed.notify_waiters();
        was_attached
    }

    pub(crate) fn is_abandoned(&self) -> bool {
        let inner = self.inner.lock();
        inner.abandoned && inner.streams.is_empty()
    }

    /// When any stream was last known to be read; `None` before the first one.
    pub(crate) fn last_read(&self) -> Option<Instant> {
        self.inner.lock().last_read
    }

    /// The frames from token `from` on, the raw bytes that follow the last frame, and whether the
    /// stream ends with them.
    pub(crate) fn frames_from(&self, from: usize) -> (Vec<Frame>, Option<Bytes>, bool) {
        let inner = self.inner.lock();
        let new = inner.tokens.iter().enumerate().skip(from);
        let mut frames: Vec<Frame> =
            new.map(|(n, text)| Frame::Token { n: n as u32, text: text.clone() }).collect();
        let Some(ending) = &inner.ending else { return (frames, None, false) };
        let (last, body) = match ending {
            Ending::Complete => (Frame::End { tokens: inner.tokens.len() as u32 }, None),
            Ending::NotExecuted => (Frame::KvGone, None),
            Ending::Failed { cause, engine_ended } => {
                let (cause, engine_ended) = (cause.clone(), *engine_ended);
                (Frame::Failed { cause, engine_ended }, None)
            }
            Ending::Service { status, content_type, body } => {
                let (status, content_type) = (*status, content_type.clone());
                let len = body.len() as u64;
                (Frame::Answer { status, content_type, len }, Some(body.clone()))
            }
        };
        frames.push(last);
        (frames, body, true)
    }
}
