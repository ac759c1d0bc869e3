//! Back-pressure that a runner signals in its answers.

use bulrushusher_time::Millis;

use crate::RateLimit;

/// The back-pressure signals of one answer of a runner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerSignals {
    /// Requests a second from all gateways together; `None` while it names no limit.
    pub rate_limit: Option<RateLimit>,
    /// True when it leaves and takes no new work.
    pub leaving: bool,
    /// How long it wants nothing from the gateway that it refused.
    pub retry_after: Option<Millis>,
    /// True when it asks for something that cannot be read, and that changes nothing.
    pub unreadable: bool,
}
