//! The answer of one run: what came so far, who is attached, how it ended.

use std::collections::BTreeMap;

use bulrushusher_wire::Frame;
use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How a run ended.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Ending {
    /// All tokens came.
    Whole,
    /// A service answered.
    Service { status: u16, content_type: String, body: Bytes },
    /// The KV cache was gone before it began; nothing ran.
    KvGone,
    /// It began and was lost or cancelled; perhaps with the end of its engine.
    Failed { cause: String, engine_ended: bool },
}

#[derive(Debug, Default)]
struct Inner {
    tokens: Vec<String>,
    bytes: usize,
    ending: Option<Ending>,
    /// When each open stream was last known to be read.
    streams: BTreeMap<String, Instant>,
    /// When a stream was last known to be read.
    last_read: Option<Instant>,
    given_up: bool,
}

/// An answer in the making, or finished.
#[derive(Debug, Default)]
pub(crate) struct Answer {
    inner: Mutex<Inner>,
    pub(crate) changed: Notify,
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

    /// An entry still reads a stream.
    pub(crate) fn keep_alive(&self, stream: &str) {
        let now = Instant::now();
        let mut inner = self.inner.lock();
        if let Some(at) = inner.streams.get_mut(stream) {
            *at = now;
            inner.last_read = Some(now);
        }
    }

    /// A stream broke. Its reader may come back.
    pub(crate) fn detach(&self, stream: &str) {
        self.inner.lock().streams.remove(stream);
        self.streams_changed.notify_waiters();
    }

    /// A stream was given up. When it was the last one, the run is wanted by nobody.
    pub(crate) fn give_up(&self, stream: &str) -> bool {
        let mut inner = self.inner.lock();
        let known = inner.streams.remove(stream).is_some();
        inner.given_up |= known && inner.streams.is_empty();
        drop(inner);
        self.streams_changed.notify_waiters();
        known
    }

    pub(crate) fn is_given_up(&self) -> bool {
        let inner = self.inner.lock();
        inner.given_up && inner.streams.is_empty()
    }

    /// When a stream was last known to be read; `None` before the first one.
    pub(crate) fn last_read(&self) -> Option<Instant> {
        self.inner.lock().last_read
    }

    /// What a stream that has `from` tokens lacks: frames, the raw bytes behind the last one, and
    /// whether the stream ends with it.
    pub(crate) fn frames_from(&self, from: usize) -> (Vec<Frame>, Option<Bytes>, bool) {
        let inner = self.inner.lock();
        let new = inner.tokens.iter().enumerate().skip(from);
        let mut frames: Vec<Frame> =
            new.map(|(n, text)| Frame::Token { n: n as u32, text: text.clone() }).collect();
        let Some(ending) = &inner.ending else { return (frames, None, false) };
        let (last, body) = match ending {
            Ending::Whole => (Frame::End { tokens: inner.tokens.len() as u32 }, None),
            Ending::KvGone => (Frame::KvGone, None),
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
