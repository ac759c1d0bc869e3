//! From a caller's connection to its answer.

pub(crate) mod admission;
pub(crate) mod front;
pub(crate) mod server;
