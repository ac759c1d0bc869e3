//! The agent: controls all access to its engine or plain service.
//!
//! It holds the slot reservations ([`slots`]), the at-most-once records and the answers ([`keys`]),
//! and calls the engine ([`run`], [`prefill`]) or the service ([`call`]). Entries reach it by
//! control calls ([`control`]) and streams ([`streams`]). `bulrushusher_admission` and
//! `bulrushusher_once` make the decisions; this crate executes them.
//!
//! A *key* here is the idempotency key of a request, and to run a key is to run its request. An
//! *order* is an entry's message to this agent to prefill a prompt, or to run a key.
//!
//! Lock order: `keys` before `slots`. No lock is held across an await.

mod agent;
mod answer;
mod call;
mod config;
mod control;
mod engine;
mod keys;
mod prefill;
mod run;
mod slots;
mod streams;

pub use agent::Agent;
pub use config::{AgentConfig, PROGRAM};

/// Prefix of the log lines of this crate.
pub(crate) const LOG: &str = "agent:";
