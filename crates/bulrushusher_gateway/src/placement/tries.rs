//! What was tried for a run, and why there is none.

use bulrushusher_forward::AttemptEnd;
use bulrushusher_world::RunnerId;
use bytes::Bytes;
use hyper::http::response;

use crate::answers::answer::Withheld;

/// Why there is no run.
pub(crate) enum NoRun {
    /// An attempt ended without one.
    Ended(AttemptEnd, &'static str),
    /// The run failed; its answer can be passed on.
    Failed(response::Parts, Bytes),
    /// There is no memory, or nobody to read the prompt.
    Unplaced(&'static str),
    /// It may not run now, whatever runners could do.
    Withheld(Withheld),
}

/// What was tried for a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tries {
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    /// Decode runners that did not answer.
    pub decodes: Vec<RunnerId>,
    /// True when a prompt that was read elsewhere was not to be had.
    pub read_at_decode: bool,
    /// True when a prefill runner has read the prompt once: another time is a repeat.
    pub was_read: bool,
}
