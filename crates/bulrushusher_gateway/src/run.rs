//! A run of a generation: what it is, why there may be none, and how long it may be silent.

use bulrushusher_forward::{AttemptEnd, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use bytes::Bytes;
use hyper::http::response;

use crate::crashes::CrashWatch;
use crate::dialect::Dialect;
use crate::exchange::Reply;
use crate::holds::HeldMemory;
use crate::router::{Forwarded, LoadTicket};

/// Silence after which a run that may go on elsewhere is given up, in targets for the pause between
/// events. A run that was preempted is read in again well within it.
const SILENT_GAPS: u64 = 5;

/// The same where the route has no such target, or a very short one.
const LEAST_SILENCE: Millis = Millis(1_200);

/// A run whose first event has come, or is about to.
#[derive(Debug)]
pub(crate) struct Run<D: Dialect> {
    pub runner: Runner,
    pub reply: Reply,
    pub began: Millis,
    /// Memory and a place at the runner, until the run is over.
    pub held: Option<HeldMemory<D>>,
    /// It does not move to another runner before.
    pub stays_until: Millis,
    /// Finds out whether its runner ended on it, should the stream break.
    pub watch: CrashWatch,
    pub _ticket: LoadTicket,
}

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

/// Why a request is kept from runners, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Withheld {
    pub reason: &'static str,
    pub come_back: Millis,
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

/// Silence after which a run that may go on elsewhere is given up.
pub(crate) fn longest_silence(fwd: &Forwarded) -> Millis {
    Millis(fwd.route.gap_target.0 * SILENT_GAPS).max(LEAST_SILENCE)
}
