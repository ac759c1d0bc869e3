//! At-most-once execution of requests, with no store on the request path. A *key* identifies a
//! request; to run a key is to run the request that it identifies.
//!
//! An agent is the process next to one endpoint; an entry accepts requests and dispatches them to
//! agents. A run is a decode or a call of a plain service. The protocol has three parts, none of
//! which does I/O:
//! - the *executor* table ([`ExecutorTable`]), kept by every agent: which keys ran at its endpoint,
//!   and below which ballot it refuses to run a key;
//! - the *home* table ([`HomeTable`]): the agent that comes first for a key in rendezvous order is
//!   the key's home and records which executor the key was assigned to;
//! - the *bar* round ([`BarRound`]), run by an entry when the home is unreachable or its records
//!   may be incomplete. To *bar* a key at a ballot is to make an agent promise that it refuses
//!   orders for the key at lower ballots, and report whether the key ran there. As in the prepare
//!   phase of Paxos, a round bars the key at every agent that may have run it.

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
