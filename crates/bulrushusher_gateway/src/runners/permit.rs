//! Whether a send may go to its runner, by what the runner asked for.

/// How a send stands to what its runner asked for. Every send names one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Permit {
    /// Asked for and counted now.
    Needed,
    /// Counted before, together with the memory that is held for it.
    Counted,
    /// Counted, and sent whatever the runner asked for: it keeps a run from being lost.
    Exempt,
    /// Counted, and sent unless the gateway backs off from the runner: it gives back what lapses by itself within seconds.
    Release,
}
