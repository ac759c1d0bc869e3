//! Reports between gateways on their plain calls.

use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

/// Plain calls of one gateway at one runner.
///
/// All but `in_flight` are totals since the start of the gateway, so that a lost report loses no
/// calls and a repeated one adds none.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerCalls {
    /// The runner.
    pub runner: RunnerId,
    /// Calls that were sent and have not ended.
    pub in_flight: u32,
    /// Calls that were sent.
    pub started: u64,
    /// Calls that the runner has answered.
    pub answered: u64,
    /// Sum of the service times of these answers in ms, without the time in the runner's queue.
    pub service_ms: u64,
}

/// Plain calls of one gateway, by runner. Empty where gateways do not share their calls.
///
/// ```
/// use bulrushusher_forward::{CallPool, CallPoolConfig, CallPoolReport};
/// let mut pool = CallPool::new(CallPoolConfig::default());
/// assert_eq!(pool.report(), CallPoolReport::default());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallPoolReport {
    /// Calls that wait at this gateway for the pool to have room.
    pub waiting: u32,
    /// The runners that this gateway has sent calls to.
    pub runners: Vec<RunnerCalls>,
}
