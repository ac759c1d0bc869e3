//! Test doubles for the systems around the router, and a load generator.
//!
//! The engine, the plain service and the store implement small documented protocols over
//! HTTP/JSON. The engine and the service count the runs of each request key independently of the
//! router's code; tests use these counts as their oracle.

pub mod caller;
pub mod engine;
pub mod load;
pub mod prompt;
pub mod relay;
pub mod service;
pub mod settings;
pub mod store;
pub mod vm_list;

pub use engine::{Engine, EngineConfig};
pub use relay::{Relay, RelayFault};
pub use service::{PlainService, ServiceConfig};
pub use store::Store;
pub use vm_list::VmList;
