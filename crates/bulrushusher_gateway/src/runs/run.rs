//! A run of a generation, and how long its stream may be silent.

use bulrushusher_forward::Runner;
use bulrushusher_time::Millis;

use crate::dialect::Dialect;
use crate::placement::holds::MemoryHold;
use crate::runners::crashes::CrashWatch;
use crate::runners::exchange::Reply;
use crate::runners::router::{ForwardedRequest, LoadGuard};

/// Silence after which a run that may be resumed elsewhere is given up, in multiples of the route's
/// target for the gap between events. A preempted run is prefilled again well within this time.
const SILENCE_TIMEOUT_GAPS: u64 = 5;

/// Lower bound of that time, for routes that have no gap target or a very short one.
const MIN_SILENCE_TIMEOUT: Millis = Millis(1_200);

/// A run whose response head has arrived.
#[derive(Debug)]
pub(crate) struct Run<D: Dialect> {
    pub runner: Runner,
    pub reply: Reply,
    pub started: Millis,
    /// The run's memory at the runner, until the run ends.
    pub held: Option<MemoryHold<D>>,
    /// The run is not migrated before this time.
    pub migrate_after: Millis,
    /// Detects whether the runner crashed on the run, should the stream break.
    pub watch: CrashWatch,
    pub _load: LoadGuard,
}

/// Silence after which a run that may be resumed elsewhere is given up.
pub(crate) fn silence_timeout(fwd: &ForwardedRequest) -> Millis {
    let timeout = fwd.route.gap_target.0.saturating_mul(SILENCE_TIMEOUT_GAPS);
    Millis(timeout).max(MIN_SILENCE_TIMEOUT)
}
