//! At-most-once records, with no store on the request path.
//!
//! Three parts, none of which does I/O:
//! - the *executor* ([`ExecutorTable`]), kept by every agent: what ran here, and which ballots are
//!   barred;
//! - the *home* ([`HomeTable`]), kept by every agent for the keys whose first place in rendezvous
//!   order it is: which executor a key was given to;
//! - the *bar* ([`BarRound`]), run by an entry when a home cannot vouch: a higher ballot at every
//!   agent that may have run the key.
//!
//! What a run is: a decode, or a call of a plain service.

mod ballot;
mod bar;
mod coverage;
mod executor;
mod home;
mod records;
mod rendezvous;
mod settlement;

pub use ballot::{Ballot, Owner};
pub use bar::{BarResponse, BarRound, BarVerdict};
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
