//! What a call that stops a run leaves of the run.

use crate::AttemptEnd;

/// What is known of a run after the call that was to stop it for its migration.
///
/// ```
/// use bulrushusher_forward::{AttemptEnd, StopOutcome};
/// assert_eq!(StopOutcome::of_answer(200, true), StopOutcome::Stopped);
/// assert_eq!(StopOutcome::without_answer(AttemptEnd::Unknown), StopOutcome::Unknown);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopOutcome {
    /// The call did not stop the run.
    Stays,
    /// The run was stopped, and its memory is kept under the handle in the answer.
    Stopped,
    /// The run may have been stopped, or may still be stopped seconds later.
    Unknown,
}

impl StopOutcome {
    /// The outcome by the status of the answer, and whether the answer has a handle of the run's memory.
    pub fn of_answer(status: u16, has_handle: bool) -> StopOutcome {
        match (status, has_handle) {
            // With 503 the run was stopped too; only the rest of its memory could not be copied.
            (200 | 503, true) => StopOutcome::Stopped,
            (400..=499, _) => StopOutcome::Stays,
            _ => StopOutcome::Unknown,
        }
    }

    /// The outcome of a call that got no whole answer.
    pub fn without_answer(end: AttemptEnd) -> StopOutcome {
        match end {
            AttemptEnd::Unsent | AttemptEnd::NotRun => StopOutcome::Stays,
            AttemptEnd::RunFailed | AttemptEnd::Unknown => StopOutcome::Unknown,
        }
    }
}
