//! Plain calls: one runner after another until one answers, within what may be repeated.

use std::pin::pin;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, CallResult, NextStep, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use bytes::Bytes;
use hyper::Response;
use hyper::http::response;

use crate::answers::answer::{PRESSED, Refusal, pass_on};
use crate::answers::body::ReplyBody;
use crate::dialect::{Dialect, Step};
use crate::runners::crashes::CrashWatch;
use crate::runners::exchange::{ExchangeError, Reply};
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptNote, Forwarded, LoadTicket, Router, Sending};

/// Share of its target after which a call that may be repeated is late at its first runner: longer than
/// nearly all answers take, and short enough for a second one to be on time.
const FIRST_WAIT_SHARE: f64 = 0.7;

/// Failures that a plain call may come back from soon: its pool has no long queue.
const COME_BACK_SOON: Millis = Millis(300);

/// How one attempt ended.
enum Ended {
    /// A success, or a failure of the run that nothing may follow.
    Answer(response::Parts, Bytes),
    /// A failure of the run; another attempt may do better.
    RunFailed(response::Parts, Bytes),
    /// No answer to pass on.
    Without(AttemptEnd, String),
    /// It was not sent, as the runner signalled back-pressure.
    Withheld(String),
}

/// Serves a plain call.
///
/// # Errors
/// The refusal to send when no runner's answer can be passed on.
pub(crate) async fn call<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut plan = AttemptPlan::new(fwd.route.kind, fwd.route.max_runners);
    let mut tried: Vec<RunnerId> = Vec::new();
    let near = cx.knowledge.cfg().data_centre.clone();
    let come_back = Millis(COME_BACK_SOON.0.min(fwd.left(cx.now()).0 / 4));
    loop {
        let left = fwd.left(cx.now());
        if left == Millis(0) {
            return Err(timed_out(&plan, come_back));
        }
        if let Err(held) = cx.may_run(fwd) {
            return Err(Refusal::of(plan.final_answer(), held.reason, held.come_back));
        }
        let Some(runner) = cx.knowledge.pick_for_call(&fwd.service, &tried, &near) else {
            let (reason, come_back) = no_runner(cx, fwd, come_back);
            return Err(Refusal::of(plan.final_answer(), reason, come_back));
        };
        let may_follow = plan.may_run_again() && tried.is_empty();
        tried.push(runner.id.clone());
        let ended = match may_follow {
            true => first_attempt(cx, fwd, &runner, left, &mut plan).await,
            false => Some(attempt(cx, fwd, &runner, left).await),
        };
        let Some(ended) = ended else { continue };
        let (end, failed, cause) = match ended {
            Ended::Answer(head, body) => return Ok(pass_on(head, body)),
            Ended::RunFailed(head, body) => {
                (AttemptEnd::RunFailed, Some((head, body)), String::new())
            }
            Ended::Without(end, cause) => (end, None, cause),
            Ended::Withheld(cause) => (AttemptEnd::Unsent, None, cause),
        };
        match cx.knowledge.next_step(&fwd.service, &mut plan, end) {
            NextStep::Retry => {}
            NextStep::ForwardError => {
                if let Some((head, body)) = failed {
                    return Ok(pass_on(head, body));
                }
                return Err(Refusal::OutcomeUnknown("the runner failed"));
            }
            NextStep::Finish(end) => {
                log::info!("route: given up id={} cause=\"{cause}\"", fwd.arrival.id);
                if fwd.left(cx.now()) == Millis(0) {
                    return Err(timed_out(&plan, come_back));
                }
                return Err(Refusal::of(end, "no runner answered", come_back));
            }
        }
    }
}

/// Why no runner may be called, and when to come back: where all that are left asked for it, when the first
/// of them may be called again.
fn no_runner<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    come_back: Millis,
) -> (&'static str, Millis) {
    match cx.pressed_for(fwd, None) {
        Some(opens_in) => (PRESSED, opens_in),
        None => ("no runner is left", come_back),
    }
}

/// Sends the call to its first runner. When the answer is late and another runner may do better, this one is
/// given up: `None`. Without another runner, or a repeat in the budget, its answer is the only one to be had.
async fn first_attempt<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    runner: &Runner,
    left: Millis,
    plan: &mut AttemptPlan,
) -> Option<Ended> {
    let began = cx.now();
    let mut ended = pin!(attempt(cx, fwd, runner, left));
    let in_time = tokio::time::timeout(first_wait(fwd).min(left).duration(), &mut ended);
    if let Ok(ended) = in_time.await {
        return Some(ended);
    }
    if cx.knowledge.abandon_late(&fwd.service, plan, std::slice::from_ref(&runner.id)) {
        let (result, detail) = (CallResult::Unreachable, "late, another runner is tried");
        cx.note_attempt(fwd, AttemptNote { runner, step: "whole", began, result, detail });
        return None;
    }
    log::info!(
        "route: late id={} runner={} outcome=\"it is waited for\"",
        fwd.arrival.id,
        runner.id
    );
    Some(ended.await)
}

/// Time after which the first answer is late.
fn first_wait(fwd: &Forwarded) -> Millis {
    fwd.route.target.share(FIRST_WAIT_SHARE).max(Millis(1))
}

fn timed_out(plan: &AttemptPlan, come_back: Millis) -> Refusal {
    match Refusal::of(plan.final_answer(), "its time is over", come_back) {
        Refusal::OutcomeUnknown(_) => Refusal::TimedOut,
        refusal => refusal,
    }
}

async fn attempt<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    runner: &Runner,
    within: Millis,
) -> Ended {
    let began = cx.now();
    let _ticket = LoadTicket::begin(&cx.knowledge, &runner.id, 0);
    let watch = CrashWatch::begin(cx, fwd);
    let resume_after = fwd.arrival.resume_after;
    let sending = Sending { resume_after, step: Step::Whole, permit: Permit::Needed };
    let reply = cx.attempt(fwd, runner, sending, within).await;
    let read = match reply {
        Ok(reply) => {
            let left = within.since(cx.now().since(began)).plus(Millis(1));
            read(cx, runner, reply, left).await
        }
        Err(e) => Err(e),
    };
    if read.as_ref().is_err_and(ExchangeError::broke_off) {
        watch.broke_off(cx, runner).await;
    }
    let ended = read.unwrap_or_else(without);
    if matches!(ended, Ended::Answer(..)) {
        cx.knowledge.record_answer(fwd.digest);
    }
    let (result, detail) = match &ended {
        Ended::Answer(..) => (CallResult::Answered(Millis(0)), ""),
        Ended::RunFailed(..) => (CallResult::Failed, "failed"),
        Ended::Without(AttemptEnd::NotRun, cause) => (CallResult::NotRun, cause.as_str()),
        Ended::Without(_, cause) => (CallResult::Unreachable, cause.as_str()),
        Ended::Withheld(cause) => (CallResult::Withheld, cause.as_str()),
    };
    cx.note_attempt(fwd, AttemptNote { runner, step: "whole", began, result, detail });
    ended
}

async fn read<D: Dialect>(
    cx: &Router<D>,
    runner: &Runner,
    reply: Reply,
    within: Millis,
) -> Result<Ended, ExchangeError> {
    let marks = reply.marks.clone();
    let (head, body) = match cx.exchanger.read_whole(runner, reply, within).await {
        Ok(whole) => whole,
        // Its own word came with the head, so that the rest of the answer is not needed.
        Err(_) if marks.not_run => return Ok(not_run()),
        Err(e) => return Err(e),
    };
    if marks.wrong_runner {
        cx.forget_runner(&runner.id, "another runner has its address");
    }
    if marks.not_run || marks.wrong_runner {
        return Ok(not_run());
    }
    if head.status.is_success() && !marks.sealed {
        let cause = "the answer is not signed by its runner".to_owned();
        return Ok(Ended::Without(AttemptEnd::Unknown, cause));
    }
    Ok(match head.status.is_server_error() {
        true => Ended::RunFailed(head, body),
        false => Ended::Answer(head, body),
    })
}

fn not_run() -> Ended {
    Ended::Without(AttemptEnd::NotRun, "the runner did not run it".to_owned())
}

fn without(e: ExchangeError) -> Ended {
    match e.is_withheld() {
        true => Ended::Withheld(e.to_string()),
        false => Ended::Without(e.attempt_end(), e.to_string()),
    }
}
