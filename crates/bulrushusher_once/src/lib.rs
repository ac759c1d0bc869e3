//! At-most-once execution of request keys, with no store on the request path.
//!
//! An agent is the process next to one endpoint; an entry accepts requests and dispatches them to
//! agents. A run is a decode or a call of a plain service. The protocol has three parts, none of
//! which does I/O:
//! - the *executor* table ([`ExecutorTable`]), kept by every agent: which keys ran at its endpoint,
//!   and below which ballot it refuses to run a key;
//! - the *home* table ([`HomeTable`]): the agent that comes first for a key in rendezvous order is
//!   the key's home and records which executor the key was assigned to;
//! - the *bar* round ([`BarRound`]), run by an entry when the home is unreachable or its records
//!   may be incomplete: like the prepare phase of Paxos, it obtains a promise to refuse lower
//!   ballots from every agent that may have run the key.

mod ballot;
mod bar;
mod coverage;
mod executor;
mod home;
mod records;
mod rendezvous;
mod settlement;

pub use ballot::{Ballot, Owner};
pub use bar::{AgentBarReply, BarRound, BarVerdict};
pub use coverage::{KeyAge, RecordCoverage, key_time};
pub use executor::{BarReply, ExecutorConfig, ExecutorTable, OrderReply, RunStatus};
pub use home::{ClaimReply, HomeBarReply, HomeConfig, HomeTable, ServiceList, TableFull};
pub use records::{KeyRecords, RecordsConfig};
pub use rendezvous::{home_of, rendezvous_score};
pub use settlement::{ListView, SettleAction, SettleFailure, SettleRequest, Settled, Settlement};

/// The common types in one `use`.
pub mod prelude {
    pub use crate::{
        Ballot, BarReply, BarRound, BarVerdict, ClaimReply, ExecutorConfig, ExecutorTable,
        HomeConfig, HomeTable, KeyRecords, ListView, OrderReply, Owner, RecordCoverage,
        RecordsConfig, RunStatus, SettleAction, SettleRequest, Settled, Settlement,
    };
}
