//! Generations: starts a run, hands its stream to a task, and decides how to handle failures.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, NextStep};
use hyper::Response;

use crate::answers::answer::{Refusal, forward_response};
use crate::answers::body::ReplyBody;
use crate::dialect::Dialect;
use crate::placement::attempts::{AttemptHistory, RunError};
use crate::runners::router::{ForwardedRequest, Router};
use crate::runs::begin::start_run;
use crate::runs::stream;

/// Serves a generation up to the head of its stream; a separate task forwards the rest.
///
/// # Errors
/// The refusal to send when there is no stream to forward.
pub(crate) async fn generate<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut plan = AttemptPlan::new(fwd.route.kind, fwd.route.max_runners);
    let late = fwd.is_late();
    let wait = cx.shared.with_queue(&fwd.service, |l| l.max_wait(late, fwd.route.target));
    let until = fwd.received.plus(wait).min(fwd.deadline);
    let mut history =
        AttemptHistory { resume_after: fwd.request.resume_after, ..AttemptHistory::default() };
    loop {
        history.may_follow = plan.may_follow_next();
        let run = start_run(cx, fwd, &mut history, until).await;
        let (end, reason, failed) = match run {
            Ok(run) => return Ok(stream::start(cx.clone(), fwd.clone(), plan, run)),
            Err(RunError::Withheld(withheld)) => {
                return Err(Refusal::after_attempts(
                    plan.final_answer(),
                    withheld.reason,
                    withheld.retry_after,
                ));
            }
            Err(RunError::Unplaced(reason)) => {
                return Err(Refusal::after_attempts(
                    plan.final_answer(),
                    reason,
                    cx.retry_after(fwd),
                ));
            }
            Err(RunError::Failed(head, body)) => {
                (AttemptEnd::RunFailed, "the run failed", Some((head, body)))
            }
            Err(RunError::Ended(end, reason)) => (end, reason, None),
        };
        match plan.next_step(end, || fwd.arrivals.reserve(1)) {
            NextStep::Retry => {}
            NextStep::ForwardError => {
                let Some((head, body)) = failed else {
                    return Err(Refusal::OutcomeUnknown(reason));
                };
                return forward_response(head, body);
            }
            NextStep::Finish(end) => {
                return Err(Refusal::after_attempts(end, reason, cx.retry_after(fwd)));
            }
        }
    }
}
