//! Reasons for which an agent refuses an order, that is, an entry's request to run something. A
//! refused order was not run.

use bulrushusher_time::Millis;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why an agent refused an order. In each case nothing was run.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// All slots are in use, and the queue is full or the wait limit has passed.
    #[display("all slots are in use; retry after {retry_after}, the request was not run")]
    Full {
        /// Expected time until a slot is free.
        retry_after: Millis,
    },
    /// The endpoint is draining and accepts no new work.
    #[display("the endpoint is draining; choose another one, the request was not run")]
    Leaving,
    /// The reservation has expired or was made before the agent restarted.
    #[display("the reservation is not valid; reserve again, the request was not run")]
    NoReservation,
    /// The order is based on an older configuration than the agent's.
    #[display("configuration {held} is in force; reload it and retry, the request was not run")]
    OldConfiguration {
        /// Revision of the agent's configuration.
        held: u64,
    },
    /// The order carries a lower fencing number than the agent has already seen.
    #[display("fencing number {held} supersedes this one; stop ordering, the request was not run")]
    OldFencing {
        /// Highest fencing number seen.
        held: u64,
    },
    /// The agent's records do not reach back far enough to rule out that the request with this key
    /// has already run there.
    #[display(
        "this agent cannot rule out an earlier run of the key; choose another one, the request was \
         not run"
    )]
    CannotVouch,
    /// A table of the agent is full.
    #[display("the table of {table} is full; retry later, the request was not run")]
    TableFull {
        /// Contents of the table.
        table: String,
    },
}
