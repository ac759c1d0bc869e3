//! What is known of a run after the call that was to stop it.

use bulrushusher_forward::{AttemptEnd, StopOutcome};

/// Guards against a run that counts as continuing although it may have been stopped.
#[test]
fn a_lost_or_incomplete_answer_leaves_open_whether_the_run_was_stopped() {
    for end in [AttemptEnd::Unknown, AttemptEnd::RunFailed] {
        assert_eq!(StopOutcome::without_answer(end), StopOutcome::Unknown);
    }
    for (status, has_handle) in
        [(200, false), (503, false), (500, true), (502, false), (504, false)]
    {
        assert_eq!(StopOutcome::of_answer(status, has_handle), StopOutcome::Unknown, "{status}");
    }
}

/// Guards against a run that is taken for stopped while it continues: it would run twice.
#[test]
fn a_run_continues_if_the_call_was_not_sent_or_was_rejected() {
    for end in [AttemptEnd::Unsent, AttemptEnd::NotRun] {
        assert_eq!(StopOutcome::without_answer(end), StopOutcome::Stays);
    }
    for status in [400, 404, 409, 421, 429] {
        assert_eq!(StopOutcome::of_answer(status, false), StopOutcome::Stays, "{status}");
    }
}

/// Guards against a stopped run that is not resumed because the rest of its memory was not copied.
#[test]
fn a_run_is_stopped_if_the_answer_has_its_handle() {
    for status in [200, 503] {
        assert_eq!(StopOutcome::of_answer(status, true), StopOutcome::Stopped, "{status}");
    }
}
