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
    /// Is charged, and sent unless the gateway backs off from the runner: it releases something
    /// that lapses by itself within seconds.
    Cleanup,
}
