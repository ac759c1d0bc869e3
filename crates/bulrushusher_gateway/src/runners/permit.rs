//! How requests to a runner respect the back-pressure that the runner signalled (a Retry-After,
//! a rate limit, or that it is leaving).

/// How the runner's back-pressure applies to a request. Every request to a runner names a policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// Acquires a permit now.
    Acquire,
    /// The same for a status request, which starts no work: a leaving runner may be sent it too.
    Probe,
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
    /// True if a permit is acquired with the send, and returned if nothing is sent.
    pub(crate) fn is_acquired_now(self) -> bool {
        matches!(self, Permit::Acquire | Permit::Probe)
    }

    /// True for control requests that prepare new work: memory holds, which acquired their permit
    /// together with that of the run, and orders. They are not sent into an evacuated data centre.
    pub(crate) fn starts_work(self) -> bool {
        match self {
            Permit::Acquired | Permit::Order => true,
            Permit::Acquire | Permit::Probe | Permit::Exempt | Permit::Cleanup => false,
        }
    }
}
