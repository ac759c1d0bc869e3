//! Runs complete deployments in one process. Every daemon and stand-in uses real loopback sockets
//! and its own async runtime, so that each can be killed or paused separately.
//!
//! Used by the `closing` example, the experiment tool and the tests.

pub mod deployment;
pub mod faults;
pub mod node;
pub mod outcome;
pub mod run;
pub mod testbed;

pub use deployment::Deployment;
pub use faults::Fault;
pub use outcome::{Report, Totals};
pub use run::{Plan, run};
pub use testbed::Testbed;
