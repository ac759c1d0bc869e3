//! Reads the event stream (`text/event-stream`) of one run, and decides which of its bytes are events
//! of the stream that its caller receives.
//!
//! Events have consecutive ids. Whatever else a run sends is never forwarded, and ends the run:
//! another one can go on after the last event.

use bytes::{Buf, Bytes, BytesMut};
use derive_more::{Display, Error};

/// Maximum size of one event, in bytes. An event carries the text of a few tokens, some hundred bytes.
const MAX_EVENT_BYTES: usize = 64 << 10;

/// May precede the first event of a stream.
const BYTE_ORDER_MARK: &[u8] = b"\xEF\xBB\xBF";

/// Why bytes of a run are no event of its stream.
///
/// ```
/// use bulrushusher_forward::InvalidEvent;
/// let error = InvalidEvent::WrongId { found: 7, due: 5, bytes: 20 };
/// assert_eq!(error.to_string(), "event with id 7 where 5 was due (20 bytes)");
/// assert_eq!(error.label(), "wrong_id");
/// ```
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum InvalidEvent {
    /// The bytes contain no event boundary for too long.
    #[display("an event has more than {MAX_EVENT_BYTES} bytes where {due} was due")]
    TooLong {
        /// Id of the event that was due.
        due: u64,
    },
    /// The bytes up to a blank line are no fields of an event.
    #[display("no event where {due} was due ({bytes} bytes)")]
    Malformed {
        /// Id of the event that was due.
        due: u64,
        /// Size of what was received in place of it.
        bytes: usize,
    },
    /// The event has no id, more than one, or one that is no number.
    #[display("event without a valid id where {due} was due ({bytes} bytes)")]
    NoId {
        /// Id of the event that was due.
        due: u64,
        /// Size of what was received in place of it.
        bytes: usize,
    },
    /// The event repeats others or leaves some out.
    #[display("event with id {found} where {due} was due ({bytes} bytes)")]
    WrongId {
        /// Id of the event that was received.
        found: u64,
        /// Id of the event that was due.
        due: u64,
        /// Size of the event that was received.
        bytes: usize,
    },
}

impl InvalidEvent {
    /// The reason's label in metrics.
    pub fn label(self) -> &'static str {
        match self {
            InvalidEvent::TooLong { .. } => "too_long",
            InvalidEvent::Malformed { .. } => "malformed",
            InvalidEvent::NoId { .. } => "no_id",
            InvalidEvent::WrongId { .. } => "wrong_id",
        }
    }
}

/// Events that have arrived whole.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompleteEvents {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The id of the last one.
    pub last_id: Option<u64>,
}

/// Reads the stream of one run. A partial event is kept until its end arrives.
///
/// ```
/// use bulrushusher_forward::{EventReader, InvalidEvent};
/// let mut reader = EventReader::after(Some(3));
/// let (events, error) = reader.push(b"id: 4\ndata: x\n\nid: 5\nda");
/// assert_eq!(&events.bytes[..], b"id: 4\ndata: x\n\n");
/// assert_eq!((events.last_id, error), (Some(4), None));
/// assert_eq!(reader.push(b"ta: y\n\n").0.last_id, Some(5));
/// assert!(!reader.is_inside_event());
/// let (events, error) = reader.push(b"data: z\n\n");
/// assert!(events.bytes.is_empty());
/// assert_eq!(error, Some(InvalidEvent::NoId { due: 6, bytes: 9 }));
/// ```
#[derive(Clone, Debug)]
pub struct EventReader {
    /// What follows the last event boundary.
    partial: BytesMut,
    /// Length of the part of `partial` whose lines were searched for.
    searched: usize,
    /// Offset of the current line in `partial`.
    line: usize,
    /// True if the last byte was a carriage return, so that a line feed belongs to the same line end.
    is_after_cr: bool,
    /// True if the last block was forwarded.
    is_last_forwarded: bool,
    is_at_start: bool,
    /// Id of the last event; 0 before the first one.
    last_id: u64,
    error: Option<InvalidEvent>,
}

/// What stands between two event boundaries.
enum Block {
    /// An event with its id.
    Event(u64),
    /// Comments, or fields that address the caller's reader and carry no event.
    Empty,
}

/// Why a block is neither; becomes an [`InvalidEvent`] once the event that is due is known.
enum BlockError {
    Malformed,
    NoId,
}

impl EventReader {
    /// Reads the stream of a run that goes on after the event that its caller received last; ids
    /// begin with 1.
    pub fn after(last_event: Option<u64>) -> EventReader {
        EventReader {
            partial: BytesMut::new(),
            searched: 0,
            line: 0,
            is_after_cr: false,
            is_last_forwarded: false,
            is_at_start: true,
            last_id: last_event.unwrap_or(0),
            error: None,
        }
    }

    /// Appends received bytes; returns the events that are now complete, and what follows them if that
    /// is no event. Nothing after it is read.
    pub fn push(&mut self, bytes: &[u8]) -> (CompleteEvents, Option<InvalidEvent>) {
        if self.error.is_some() {
            return (CompleteEvents::default(), self.error);
        }
        self.partial.extend_from_slice(bytes);
        let mut events = BytesMut::new();
        let before = self.last_id;
        while self.error.is_none() {
            let Some(block) = self.next_block(&mut events) else { break };
            self.error = self.accept(&block, &mut events).err();
        }
        if self.error.is_none() && self.partial.len() > MAX_EVENT_BYTES {
            self.error = Some(InvalidEvent::TooLong { due: self.due() });
        }
        let last_id = (self.last_id != before).then_some(self.last_id);
        (CompleteEvents { bytes: events.freeze(), last_id }, self.error)
    }

    /// Id of the last event that the caller has; `None` before the first one.
    pub fn last_id(&self) -> Option<u64> {
        (self.last_id > 0).then_some(self.last_id)
    }

    /// What the run has sent in place of an event; nothing is read after it.
    pub fn error(&self) -> Option<InvalidEvent> {
        self.error
    }

    /// True if the stream so far ends inside an event, or with bytes that are none.
    pub fn is_inside_event(&self) -> bool {
        self.error.is_some() || !self.partial.is_empty()
    }

    /// Id of the event that is due.
    fn due(&self) -> u64 {
        self.last_id.saturating_add(1)
    }

    /// Splits off what ends with the next blank line. Lines end with a line feed, a carriage return, or
    /// both.
    fn next_block(&mut self, events: &mut BytesMut) -> Option<BytesMut> {
        while let Some(&byte) = self.partial.get(self.searched) {
            let is_line_end = matches!(byte, b'\n' | b'\r');
            let completes_cr = std::mem::replace(&mut self.is_after_cr, byte == b'\r');
            if completes_cr && byte == b'\n' {
                self.complete_line_end(events);
                continue;
            }
            self.searched += 1;
            if !is_line_end {
                continue;
            }
            let is_blank = self.line + 1 == self.searched;
            self.line = self.searched;
            if is_blank {
                let block = self.partial.split_to(self.searched);
                (self.searched, self.line) = (0, 0);
                return Some(block);
            }
        }
        None
    }

    /// Adds a line feed to the line end that a carriage return began, which may be that of the last
    /// block.
    fn complete_line_end(&mut self, events: &mut BytesMut) {
        if self.searched > 0 {
            self.searched += 1;
            self.line = self.searched;
            return;
        }
        self.partial.advance(1);
        if self.is_last_forwarded {
            events.extend_from_slice(b"\n");
        }
    }

    /// Adds a block to the events, unless it is empty.
    fn accept(&mut self, block: &[u8], events: &mut BytesMut) -> Result<(), InvalidEvent> {
        let (due, bytes) = (self.due(), block.len());
        if bytes > MAX_EVENT_BYTES {
            return Err(InvalidEvent::TooLong { due });
        }
        let is_at_start = std::mem::take(&mut self.is_at_start);
        let content = match block.strip_prefix(BYTE_ORDER_MARK) {
            Some(content) if is_at_start => content,
            _ => block,
        };
        let found = match parse_block(content) {
            Ok(Block::Event(id)) => id,
            Ok(Block::Empty) => {
                self.is_last_forwarded = false;
                return Ok(());
            }
            Err(BlockError::Malformed) => return Err(InvalidEvent::Malformed { due, bytes }),
            Err(BlockError::NoId) => return Err(InvalidEvent::NoId { due, bytes }),
        };
        if found != due || found == self.last_id {
            return Err(InvalidEvent::WrongId { found, due, bytes });
        }
        self.last_id = found;
        self.is_last_forwarded = true;
        events.extend_from_slice(content);
        Ok(())
    }
}

fn parse_block(block: &[u8]) -> Result<Block, BlockError> {
    let text = std::str::from_utf8(block).map_err(|_| BlockError::Malformed)?;
    let (mut ids, mut has_data, mut has_other) = (Vec::new(), false, false);
    for line in text.split(['\n', '\r']).filter(|line| !line.is_empty() && !line.starts_with(':')) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        match name {
            "id" => ids.push(value.strip_prefix(' ').unwrap_or(value)),
            "data" => has_data = true,
            "retry" => {}
            "event" => has_other = true,
            // Runners may add fields of their own, which readers ignore.
            _ if line.contains(':') && is_field_name(name) => has_other = true,
            _ => return Err(BlockError::Malformed),
        }
    }
    match ids[..] {
        [] if !has_data && !has_other => Ok(Block::Empty),
        [id] => match parse_id(id) {
            Some(id) if has_data => Ok(Block::Event(id)),
            Some(_) => Err(BlockError::Malformed),
            None => Err(BlockError::NoId),
        },
        _ => Err(BlockError::NoId),
    }
}

fn is_field_name(name: &str) -> bool {
    let is_part = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    !name.is_empty() && name.bytes().all(is_part)
}

fn parse_id(text: &str) -> Option<u64> {
    // `parse` takes a sign.
    let is_number = text.bytes().all(|byte| byte.is_ascii_digit());
    if is_number { text.parse().ok() } else { None }
}
