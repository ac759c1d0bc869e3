//! A run of a generation: what it is, why there may be none, and how long it may be silent.

use bulrushusher_forward::Runner;
use bulrushusher_time::Millis;

use crate::dialect::Dialect;
use crate::placement::holds::HeldMemory;
use crate::runners::crashes::CrashWatch;
use crate::runners::exchange::Reply;
use crate::runners::router::{Forwarded, LoadTicket};

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

/// Silence after which a run that may go on elsewhere is given up.
pub(crate) fn longest_silence(fwd: &Forwarded) -> Millis {
    Millis(fwd.route.gap_target.0 * SILENT_GAPS).max(LEAST_SILENCE)
}
