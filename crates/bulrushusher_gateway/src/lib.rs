//! The gateway: forwards callers' requests to runners, which verify themselves that a request is
//! meant for them.
//!
//! The modules, in the order in which a request passes them: `callers` accepts the connection,
//! authenticates the caller (`access`) and builds the forwarded request; `runs` executes plain
//! calls and generations; `placement` holds memory for a generation and has its prompt prefilled;
//! `runners` sends requests to runners; `answers` builds the responses to callers. `store`
//! replicates the platform's store into `shared`, `peers` exchanges reports with the other
//! gateways, and `gateway` starts all components. Modules import in one direction: callers, runs,
//! placement, runners, answers and access, shared, dialect.
//!
//! Forwarding decisions are made in `bulrushusher_forward`. The platform's protocol is implemented
//! outside this crate through the traits of [`dialect`]; this crate contains none of the protocol's
//! names.

mod access;
mod answers;
mod callers;
mod connection;
pub mod dialect;
mod gateway;
mod lifecycle;
mod panics;
mod peers;
mod placement;
mod probes;
mod runners;
mod runs;
mod settings;
mod shared;
mod socket;
mod store;

pub use answers::body::ResponseAborted;
pub use gateway::{ReadSettings, run};
pub use settings::{GatewayConfig, PROGRAM};
