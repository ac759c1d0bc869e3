//! Stand-ins for what surrounds the router, and a load tool.
//!
//! The engine, the plain service, the store and the VM list speak small published protocols over
//! HTTP/JSON. The engine and the service keep their own count of runs per request key, independent
//! of the router's code: that count is the oracle of the tests.

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
