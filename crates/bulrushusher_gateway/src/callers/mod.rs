//! Connections and requests of callers.

pub(crate) mod admission;
pub(crate) mod front;
pub(crate) mod server;
