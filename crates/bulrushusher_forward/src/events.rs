//! Splits an event stream (`text/event-stream`) at event boundaries.

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};

/// Maximum size of one event, in bytes. An event carries the text of a few tokens, some hundred bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// The bytes of a stream contain no event boundary for too long.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("an event has more than {MAX_EVENT_BYTES} bytes; check what the runner sends")]
pub struct EventTooLong;

/// Complete events and the id of the last one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SplitEvents {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The last event id among them.
    pub last_id: Option<u64>,
}

/// Buffers a partial event until its end arrives, so that the stream of a failed run can be
/// continued by another run without a truncated event in between.
///
/// ```
/// use bulrushusher_forward::EventSplitter;
/// let mut splitter = EventSplitter::default();
/// let events = splitter.push(b"id: 4\ndata: x\n\nid: 5\nda").unwrap();
/// assert_eq!(&events.bytes[..], b"id: 4\ndata: x\n\n");
/// assert_eq!(events.last_id, Some(4));
/// assert_eq!(splitter.push(b"ta: y\n\n").unwrap().last_id, Some(5));
/// assert!(splitter.rest().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    partial: BytesMut,
}

impl EventSplitter {
    /// Appends received bytes; returns the events that are now complete.
    ///
    /// # Errors
    /// [`EventTooLong`] if the event that is not complete is too large to be kept.
    pub fn push(&mut self, bytes: &[u8]) -> Result<SplitEvents, EventTooLong> {
        let overlap = self.partial.len().saturating_sub(3);
        self.partial.extend_from_slice(bytes);
        let Some(end) = last_event_end(&self.partial[overlap..]) else {
            return self.check_partial(SplitEvents::default());
        };
        let whole = self.partial.split_to(overlap + end).freeze();
        let last_id = last_id(&whole);
        self.check_partial(SplitEvents { bytes: whole, last_id })
    }

    fn check_partial(&self, events: SplitEvents) -> Result<SplitEvents, EventTooLong> {
        match self.partial.len() <= MAX_EVENT_BYTES {
            true => Ok(events),
            false => Err(EventTooLong),
        }
    }

    /// Bytes received after the last complete event.
    pub fn rest(&self) -> &[u8] {
        &self.partial
    }
}

/// Offset just after the last blank line.
fn last_event_end(buf: &[u8]) -> Option<usize> {
    let plain = buf.windows(2).rposition(|w| w == b"\n\n").map(|at| at + 2);
    let crlf = buf.windows(4).rposition(|w| w == b"\r\n\r\n").map(|at| at + 4);
    plain.max(crlf)
}

fn last_id(events: &[u8]) -> Option<u64> {
    events.split(|b| *b == b'\n').rev().find_map(id_of_line)
}

fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
