//! What a runner asks of those that send to it.

use bulrushusher_time::Millis;

use crate::RateLimit;

/// What one answer of a runner asks for, whatever else it says.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunnerWishes {
    /// Requests a second from all gateways together; `None` while it names no limit.
    pub rate_limit: Option<RateLimit>,
    /// True when it leaves and takes no new work.
    pub leaving: bool,
    /// How long it wants nothing from the gateway that it refused.
    pub rest: Option<Millis>,
    /// True when it asks for something that cannot be read, and that changes nothing.
    pub unreadable: bool,
}
