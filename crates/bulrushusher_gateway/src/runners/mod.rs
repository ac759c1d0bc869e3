//! The way to runners: connections, one exchange, and what the tasks of requests share.

pub(crate) mod crashes;
pub(crate) mod exchange;
pub(crate) mod permit;
pub(crate) mod pool;
pub(crate) mod router;
