//! Back-pressure signals in the answers of runners.

use bulrushusher_time::Millis;

use crate::RateLimit;

/// The back-pressure signals in one answer of a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerSignals {
    /// Limit in requests a second, for all gateways together; `None` if the answer names none.
    pub rate_limit: Option<RateLimit>,
    /// True when the runner drains and accepts no new work.
    pub leaving: bool,
    /// How long the refused gateway should send nothing to the runner.
    pub retry_after: Option<Millis>,
    /// True when the answer has a signal that cannot be parsed; that signal is ignored.
    pub unreadable: bool,
}
