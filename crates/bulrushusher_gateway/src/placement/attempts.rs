//! The history of a request's attempts, and why a run could not be started.

use bulrushusher_forward::AttemptEnd;
use bulrushusher_world::RunnerId;
use bytes::Bytes;
use hyper::http::response;

use crate::answers::answer::Withheld;

/// Why a run could not be started.
pub(crate) enum RunError {
    /// The attempt ended without a run.
    Ended(AttemptEnd, &'static str),
    /// The run failed, and the runner's error response can be forwarded.
    Failed(response::Parts, Bytes),
    /// No runner has memory for the run, or none can prefill the prompt.
    Unplaced(&'static str),
    /// The request must not be sent to runners at present.
    Withheld(Withheld),
}

/// The attempts made for a request so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
    /// Decode runners that are not tried again for this request.
    pub excluded_decodes: Vec<RunnerId>,
    /// True when the decode runner must prefill the prompt, because the KV cache of a prefill
    /// runner could not be fetched.
    pub prefill_at_decode: bool,
    /// True if the plan allows another run after the next one.
    pub may_follow: bool,
    /// True while the run is to take over from one that is silent and may go on.
    pub is_takeover: bool,
}
