//! Typed refusals of an agent. A refused order was not run.

use bulrushusher_time::Millis;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Why an agent did not take an order. None of these ran anything.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "reason", rename_all = "snake_case")]
pub enum Refusal {
    /// Every place is taken and the wait is over or the queue is full.
    #[display("all places are taken; come back after {retry_after}, the request was not run")]
    Full {
        /// When a place is likely free.
        retry_after: Millis,
    },
    /// The endpoint takes no new work.
    #[display("the endpoint is leaving; choose another, the request was not run")]
    Leaving,
    /// The reservation lapsed or belongs to an earlier life of the agent.
    #[display("the reservation is not held; reserve again, the request was not run")]
    NoReservation,
    /// The order was made under an older configuration than the agent's.
    #[display("configuration {held} is in force; learn it and ask again, the request was not run")]
    OldConfiguration {
        /// The revision the agent holds.
        held: u64,
    },
    /// The order carries an older fencing number than one already seen.
    #[display("fencing number {held} was seen; stop giving orders, the request was not run")]
    OldFencing {
        /// The highest number seen.
        held: u64,
    },
    /// The agent remembers too little to vouch that the key never ran there.
    #[display("this agent cannot vouch for the key; choose another, the request was not run")]
    CannotVouch,
    /// A table of the agent is at its bound.
    #[display("the table of {table} is full; come back later, the request was not run")]
    TableFull {
        /// Which table.
        table: String,
    },
}
