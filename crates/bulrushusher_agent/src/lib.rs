//! The agent: the only gate to its engine or plain service.
//!
//! It holds the reservations ([`desk`]), the at-most-once records and the answers ([`keys`]), and
//! drives the engine ([`runner`], [`prefill`]) or the service ([`call`]). Entries reach it by
//! control calls ([`control`]) and streams ([`streams`]). The decisions are those of
//! `bulrushusher_admission` and `bulrushusher_once`; this crate only carries them out.
//!
//! Lock order: `keys` before `desk`. No lock is held across an await.

mod agent;
mod answer;
mod call;
mod config;
mod control;
mod desk;
mod engine;
mod keys;
mod prefill;
mod runner;
mod streams;

pub use agent::Agent;
pub use config::{AgentConfig, PROGRAM};

/// Prefix of every log line of this part.
pub(crate) const LOG: &str = "agent:";
