//! What may follow an attempt: an answer, a retry, a refusal or an error.

use crate::RouteKind;

/// How an attempt at a runner ended without a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// No part of the request was written to the runner.
    Unsent,
    /// The runner answered that it did not run the request.
    NotRun,
    /// The runner answered that the run failed; its answer can be forwarded.
    RunFailed,
    /// The request was written but no complete answer arrived; it may have run.
    Unknown,
}

/// The step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another runner.
    Retry,
    /// Forward the runner's own error.
    ForwardError,
    /// End the request.
    Finish(FinalAnswer),
}

/// The gateway's own answer to a request without a runner's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    OutcomeUnknown,
}

/// The attempts of one request.
///
/// ```
/// use bulrushusher_forward::{AttemptEnd, AttemptPlan, FinalAnswer, NextStep, RouteKind};
/// let mut plan = AttemptPlan::new(RouteKind::NonIdempotent, 2);
/// assert_eq!(plan.next_step(AttemptEnd::NotRun, || true), NextStep::Retry);
/// let end = plan.next_step(AttemptEnd::Unknown, || true);
/// assert_eq!(end, NextStep::Finish(FinalAnswer::OutcomeUnknown));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    kind: RouteKind,
    runs_left: u32,
    sends_left: u32,
    may_have_run: bool,
}

/// Maximum number of sends of one request, including refused ones: a pool that refuses three times
/// in a row is full, and the caller should come back later.
const MAX_SENDS: u32 = 3;

impl AttemptPlan {
    /// A request of this kind that may run on at most `max_runners` runners.
    pub fn new(kind: RouteKind, max_runners: u32) -> AttemptPlan {
        AttemptPlan {
            kind,
            runs_left: max_runners.max(1),
            sends_left: MAX_SENDS,
            may_have_run: false,
        }
    }

    /// The step after an attempt with this end. `reserve` takes a retry from the budget; it is called
    /// only if a retry is otherwise allowed.
    pub fn next_step(&mut self, end: AttemptEnd, reserve: impl FnOnce() -> bool) -> NextStep {
        self.sends_left = self.sends_left.saturating_sub(1);
        let again = match end {
            AttemptEnd::Unsent => self.sends_left > 0,
            AttemptEnd::NotRun => self.sends_left > 0 && reserve(),
            AttemptEnd::RunFailed | AttemptEnd::Unknown => {
                self.may_have_run = true;
                self.runs_left = self.runs_left.saturating_sub(1);
                self.may_run_again() && reserve()
            }
        };
        match (again, end) {
            (true, _) => NextStep::Retry,
            (false, AttemptEnd::RunFailed) => NextStep::ForwardError,
            (false, _) => NextStep::Finish(self.final_answer()),
        }
    }

    /// Abandons a late attempt if a retry may follow and the budget allows it. Otherwise nothing
    /// changes and the attempt continues.
    ///
    /// ```
    /// use bulrushusher_forward::{AttemptPlan, RouteKind};
    /// let mut plan = AttemptPlan::new(RouteKind::Idempotent, 2);
    /// assert!(!plan.abandon(|| false), "no retry is left");
    /// assert!(plan.abandon(|| true) && !plan.abandon(|| true), "two runners at most");
    /// ```
    pub fn abandon(&mut self, reserve: impl FnOnce() -> bool) -> bool {
        let abandoned = AttemptPlan {
            runs_left: self.runs_left.saturating_sub(1),
            sends_left: self.sends_left.saturating_sub(1),
            may_have_run: true,
            ..*self
        };
        let may_follow = abandoned.may_run_again() && reserve();
        if may_follow {
            *self = abandoned;
        }
        may_follow
    }

    /// The plan once another run has taken over from the present one, which is kept until then. `None` if
    /// no other run may follow or the budget does not allow it.
    ///
    /// ```
    /// use bulrushusher_forward::{AttemptEnd, AttemptPlan, RouteKind};
    /// let mut plan = AttemptPlan::new(RouteKind::Idempotent, 3);
    /// assert!(plan.takeover(|| false).is_none(), "no retry is left");
    /// let after = plan.takeover(|| true).unwrap();
    /// assert!(after.takeover(|| true).unwrap().takeover(|| true).is_none(), "three runners at most");
    /// plan.record_failed_takeover(AttemptEnd::Unknown);
    /// assert!(plan.takeover(|| true).is_some() && plan.may_run_again(), "the first run is still on");
    /// ```
    pub fn takeover(&self, reserve: impl FnOnce() -> bool) -> Option<AttemptPlan> {
        let mut after = *self;
        after.abandon(reserve).then_some(after)
    }

    /// True if another run may follow the next one, should that end with an unknown outcome, regardless
    /// of the budget.
    pub fn may_follow_next(&self) -> bool {
        self.takeover(|| true).is_some()
    }

    /// Records the end of a run that was to take over; the present run goes on.
    pub fn record_failed_takeover(&mut self, end: AttemptEnd) {
        self.sends_left = self.sends_left.saturating_sub(1);
        match end {
            AttemptEnd::Unsent | AttemptEnd::NotRun => {}
            AttemptEnd::RunFailed | AttemptEnd::Unknown => {
                self.may_have_run = true;
                self.runs_left = self.runs_left.saturating_sub(1);
            }
        }
    }

    /// What is certain about the request so far.
    pub fn final_answer(&self) -> FinalAnswer {
        match self.may_have_run {
            true => FinalAnswer::OutcomeUnknown,
            false => FinalAnswer::NotRun,
        }
    }

    /// True if a request that may have run may run once more, regardless of the budget.
    pub fn may_run_again(&self) -> bool {
        self.kind.may_repeat() && self.runs_left > 0 && self.sends_left > 0
    }
}
