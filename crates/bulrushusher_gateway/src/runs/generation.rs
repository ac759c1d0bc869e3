//! Generations: a run is begun, a task carries its stream, and what may follow a failure is decided.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, NextStep};
use hyper::Response;

use crate::answers::answer::{Refusal, pass_on};
use crate::answers::body::ReplyBody;
use crate::dialect::Dialect;
use crate::placement::tries::{NoRun, Tries};
use crate::runners::router::{Forwarded, Router};
use crate::runs::begin::begin_run;
use crate::runs::pump;

/// Serves a generation up to the head of its stream; a task of its own carries the rest.
///
/// # Errors
/// The refusal to send when there is no stream to pass on.
pub(crate) async fn generate<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut plan = AttemptPlan::new(fwd.route.kind, fwd.route.max_runners);
    let late = fwd.is_late();
    let wait = cx.knowledge.with_queue(&fwd.service, |l| l.max_wait(late, fwd.route.target));
    let until = fwd.received.plus(wait).min(fwd.ends);
    let mut tries = Tries { resume_after: fwd.arrival.resume_after, ..Tries::default() };
    loop {
        let run = begin_run(cx, fwd, &mut tries, until).await;
        let (end, reason, failed) = match run {
            Ok(run) => return Ok(pump::start(cx.clone(), fwd.clone(), plan, run)),
            Err(NoRun::Withheld(held)) => {
                return Err(Refusal::of(plan.final_answer(), held.reason, held.come_back));
            }
            Err(NoRun::Unplaced(reason)) => {
                return Err(Refusal::of(plan.final_answer(), reason, cx.come_back(fwd)));
            }
            Err(NoRun::Failed(head, body)) => {
                (AttemptEnd::RunFailed, "the run failed", Some((head, body)))
            }
            Err(NoRun::Ended(end, reason)) => (end, reason, None),
        };
        match cx.knowledge.next_step(&fwd.service, &mut plan, end) {
            NextStep::Retry => {}
            NextStep::ForwardError => {
                let Some((head, body)) = failed else {
                    return Err(Refusal::OutcomeUnknown(reason));
                };
                return Ok(pass_on(head, body));
            }
            NextStep::Finish(end) => return Err(Refusal::of(end, reason, cx.come_back(fwd))),
        }
    }
}
