//! The entry: callers' HTTP, operators' RPC, choice of runners.
//!
//! A caller's request is checked ([`request`]), placed and run ([`prompt_task`], [`service_task`])
//! and answered ([`api`]). What the agents do for it goes through [`agents`]; what must hold for a
//! key that others may send too is settled by [`settle`]. Configuration comes from the platform's
//! store ([`configuration`]), where operators put it ([`operator`]).
//!
//! Lock order: `table` before `limits` before `retries`; none is held across an await.

mod agent_view;
mod agents;
mod api;
mod config;
mod configuration;
mod entry;
mod execution;
mod guards;
mod operator;
mod place;
mod prompt_task;
mod request;
mod run_stream;
mod service_task;
mod settle;

pub use config::{EntryConfig, PROGRAM, split_evenly};
pub use entry::{Entry, EntryStatus};
pub use request::{ACCOUNT_HEADER, CLASS_HEADER, DEADLINE_HEADER, KEY_HEADER};

/// Prefix of every log line of this part.
pub(crate) const LOG: &str = "entry:";
