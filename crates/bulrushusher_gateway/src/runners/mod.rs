//! Access to runners: the connection pool, single exchanges, crash detection, and the context that
//! the tasks of requests share.

pub(crate) mod answer_memory;
pub(crate) mod arrivals;
pub(crate) mod crashes;
pub(crate) mod destination;
pub(crate) mod exchange;
pub(crate) mod framing;
pub(crate) mod permit;
pub(crate) mod pool;
pub(crate) mod router;
pub(crate) mod send_spec;
pub(crate) mod send_trace;
