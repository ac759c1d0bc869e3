//! What may follow an attempt: an answer, another attempt, a refusal or a failure.

use bulrushusher_routing::RetryBudget;

use crate::RouteKind;

/// How an attempt at a runner ended without a usable answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// Nothing of the request was written to the runner.
    Unsent,
    /// The runner said that it did not run the request.
    NotRun,
    /// The runner's answer says that the run failed; it can be passed on.
    RunFailed,
    /// The request was written and there is no whole answer: it may have run.
    Unknown,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send it to another runner.
    TryAgain,
    /// Pass the runner's own failure on.
    PassOn,
    /// End the request.
    Finish(FinalAnswer),
}

/// The router's own answer to a request that got none from a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FinalAnswer {
    /// It has not run and never will.
    NotRun,
    /// It may have run.
    OutcomeUnknown,
}

/// The attempts of one request.
///
/// ```
/// use bulrushusher_forward::{AttemptEnd, AttemptPlan, FinalAnswer, NextStep, RouteKind};
/// use bulrushusher_routing::{RetryBudget, RetryConfig};
/// let mut budget = RetryBudget::new(RetryConfig::default());
/// let mut plan = AttemptPlan::new(RouteKind::NonIdempotent, 2);
/// assert_eq!(plan.after(AttemptEnd::NotRun, &mut budget), NextStep::TryAgain);
/// let end = plan.after(AttemptEnd::Unknown, &mut budget);
/// assert_eq!(end, NextStep::Finish(FinalAnswer::OutcomeUnknown));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    kind: RouteKind,
    runs_left: u32,
    sends_left: u32,
    may_have_run: bool,
}

/// Most sends of one request, rejected ones included: a pool that rejects three times in a row is
/// full, and the caller is better off coming back.
const MOST_SENDS: u32 = 3;

impl AttemptPlan {
    /// A request of that kind that may run on `max_runners` runners.
    pub fn new(kind: RouteKind, max_runners: u32) -> AttemptPlan {
        AttemptPlan {
            kind,
            runs_left: max_runners.max(1),
            sends_left: MOST_SENDS,
            may_have_run: false,
        }
    }

    /// What may follow an attempt that ended so. Takes from the budget what another send costs.
    pub fn after(&mut self, end: AttemptEnd, budget: &mut RetryBudget) -> NextStep {
        self.sends_left = self.sends_left.saturating_sub(1);
        let again = match end {
            AttemptEnd::Unsent => self.sends_left > 0,
            AttemptEnd::NotRun => self.sends_left > 0 && budget.take(),
            AttemptEnd::RunFailed | AttemptEnd::Unknown => {
                self.may_have_run = true;
                self.runs_left = self.runs_left.saturating_sub(1);
                self.may_run_again() && budget.take()
            }
        };
        match (again, end) {
            (true, _) => NextStep::TryAgain,
            (false, AttemptEnd::RunFailed) => NextStep::PassOn,
            (false, _) => NextStep::Finish(self.final_answer()),
        }
    }

    /// Gives an attempt up that is late, where another one may follow and the budget allows it; otherwise
    /// nothing changes, and the attempt goes on.
    ///
    /// ```
    /// use bulrushusher_forward::{AttemptPlan, RouteKind};
    /// use bulrushusher_routing::{RetryBudget, RetryConfig};
    /// let none = RetryConfig { per_request: 0.0, max_saved: 0.0 };
    /// let mut plan = AttemptPlan::new(RouteKind::Idempotent, 2);
    /// assert!(!plan.abandon(&mut RetryBudget::new(none)));
    /// let mut budget = RetryBudget::new(RetryConfig::default());
    /// assert!(plan.abandon(&mut budget) && !plan.abandon(&mut budget), "it may run at two runners");
    /// ```
    pub fn abandon(&mut self, budget: &mut RetryBudget) -> bool {
        let given_up = AttemptPlan {
            runs_left: self.runs_left.saturating_sub(1),
            sends_left: self.sends_left.saturating_sub(1),
            may_have_run: true,
            ..*self
        };
        let may_follow = given_up.may_run_again() && budget.take();
        if may_follow {
            *self = given_up;
        }
        may_follow
    }

    /// What can truly be said of the request now.
    pub fn final_answer(&self) -> FinalAnswer {
        match self.may_have_run {
            true => FinalAnswer::OutcomeUnknown,
            false => FinalAnswer::NotRun,
        }
    }

    /// True when a request that may have run may run once more, budget aside.
    pub fn may_run_again(&self) -> bool {
        self.kind.may_repeat() && self.runs_left > 0 && self.sends_left > 0
    }
}
