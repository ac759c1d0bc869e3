//! The gateway: forwards callers' requests to runners that check who they are themselves.
//!
//! A request's way: `callers` takes its connection, finds out whose it is (`access`) and turns it into a
//! forwarded one; `runs` carries out plain calls and generations, for which `placement` finds memory and
//! somebody to read the prompt; `runners` is the way to runners, and `answers` what callers get. `store`
//! follows the platform's store into `knowledge`, and `peers` speaks with the other gateways. `gateway`
//! starts the parts. Imports run one way: callers, runs, placement, runners, answers and access, knowledge,
//! dialect.
//!
//! The decisions are those of `bulrushusher_forward`. What the platform speaks comes in by the
//! traits of [`dialect`]; nothing here knows its names.

mod access;
mod answers;
mod callers;
mod connection;
pub mod dialect;
mod gateway;
mod knowledge;
mod lifecycle;
mod peers;
mod placement;
mod probes;
mod runners;
mod runs;
mod settings;
mod store;

pub use answers::body::CutOff;
pub use gateway::{ReadSettings, run};
pub use settings::{GatewayConfig, PROGRAM};
