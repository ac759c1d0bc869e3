//! Whole deployments in one process: every daemon and stand-in on real loopback sockets, each in a
//! runtime of its own, so that one can be killed or paused without the others.
//!
//! Used by the `closing` example, the experiments and the tests.

pub mod bed;
pub mod deployment;
pub mod faults;
pub mod node;
pub mod outcome;
pub mod run;

pub use bed::Bed;
pub use deployment::Deployment;
pub use faults::Fault;
pub use outcome::{Report, Totals};
pub use run::{Plan, run};
