//! The entry: serves the callers' HTTP API and the operators' RPC, and routes requests to runners.
//!
//! A caller's request is validated ([`request`]), assigned to runners and executed
//! ([`prompt_task`], [`service_task`]), and answered ([`api`]). All calls to agents go through
//! [`agents`]. [`settle`] guarantees that a key which several requests may use is executed at most
//! once. Operators write the configuration to the platform's store ([`operator`]), and every entry
//! reads it from there ([`configuration`]).
//!
//! Lock order: `table` before `quotas` before `retries`; none is held across an await.

mod agent_sync;
mod agents;
mod api;
mod config;
mod configuration;
mod entry;
mod execution;
mod guards;
mod operator;
mod prompt_task;
mod request;
mod reservation;
mod run_stream;
mod service_task;
mod settle;

pub use config::{EntryConfig, PROGRAM, split_evenly};
pub use entry::{Entry, EntryStatus};
pub use request::{ACCOUNT_HEADER, CLASS_HEADER, DEADLINE_HEADER, KEY_HEADER};

/// Prefix of the log lines of this crate.
pub(crate) const LOG: &str = "entry:";
