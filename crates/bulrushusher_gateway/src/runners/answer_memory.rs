//! Memory for answers of runners that are read as a whole.
//!
//! A faulty runner may send bytes without end, and several such answers may arrive at once. What an
//! answer takes beyond a usual size is therefore limited over all of them.

use std::sync::Arc;

use bytes::{Bytes, BytesMut};
use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::shared::SharedState;

/// Largest answer to a request of a caller, in bytes. Plain answers are some kilobytes.
pub(crate) const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Largest answer to a request of the gateway itself, in bytes.
pub(crate) const MAX_CONTROL_BYTES: usize = 1 << 20;

/// Size up to which every answer finds room, in bytes, so that large ones keep no usual one from being
/// read.
const USUAL_BYTES: usize = 64 << 10;

/// Why a body could not be read.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The connection broke.
    #[display("{cause}")]
    Broken { cause: String },
    /// The answer is too large, or finds no room beside others.
    #[display("the answer has more than {read} bytes, of which at most {max} fit")]
    TooLarge { read: usize, max: usize },
}

/// The memory of one answer, which is released on drop.
struct AnswerMemory {
    shared: Arc<SharedState>,
    bytes: usize,
}

impl AnswerMemory {
    /// Acquires the memory of an answer of `total` bytes; false if there is none.
    fn grow_to(&mut self, total: usize) -> bool {
        let missing = total.saturating_sub(USUAL_BYTES + self.bytes);
        if missing > 0 && !self.shared.acquire_answer_bytes(missing) {
            return false;
        }
        self.bytes += missing;
        true
    }
}

impl Drop for AnswerMemory {
    fn drop(&mut self) {
        self.shared.release_answer_bytes(self.bytes);
    }
}

/// A body together with its memory.
struct WholeBody {
    bytes: BytesMut,
    _memory: AnswerMemory,
}

impl AsRef<[u8]> for WholeBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a whole body of at most `max` bytes. Its memory counts until the result is dropped.
pub(crate) async fn read_body(
    shared: &Arc<SharedState>,
    mut body: Incoming,
    max: usize,
) -> Result<Bytes, BodyError> {
    let mut memory = AnswerMemory { shared: shared.clone(), bytes: 0 };
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| BodyError::Broken { cause: e.to_string() })?;
        let Ok(data) = frame.into_data() else { continue };
        let read = bytes.len() + data.len();
        if read > max || !memory.grow_to(read) {
            return Err(BodyError::TooLarge { read, max });
        }
        bytes.extend_from_slice(&data);
    }
    Ok(Bytes::from_owner(WholeBody { bytes, _memory: memory }))
}
