//! How requests to a runner respect the back-pressure that the runner signalled (a Retry-After,
//! a rate limit, or that it is leaving).

/// How the runner's back-pressure applies to a request. Every request to a runner names a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// Acquires a permit now.
    Acquire,
    /// Has acquired its permit earlier, together with the hold on memory that it uses.
    Acquired,
    /// Is charged, and sent regardless of back-pressure, because otherwise a run would be lost.
    Exempt,
    /// Is charged, and sent regardless of back-pressure: it changes the runner's stage.
    Order,
    /// Is charged, and sent unless the gateway backs off from the runner: it releases something
    /// that lapses by itself within seconds.
    Cleanup,
}

impl Permit {
    /// True for control requests that prepare new work: memory holds, which acquired their permit
    /// together with that of the run, and orders. They are not sent into an evacuated data centre.
    pub(crate) fn starts_work(self) -> bool {
        match self {
            Permit::Acquired | Permit::Order => true,
            Permit::Acquire | Permit::Exempt | Permit::Cleanup => false,
        }
    }
}
