//! Plain calls: tries runners one after another until one responds, within the retry limits.

use std::pin::pin;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, CallPoolLoad, CallResult, NextStep, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use bytes::Bytes;
use hyper::Response;
use hyper::http::response;

use crate::answers::answer::{
    BACK_PRESSURE, Refusal, forward_response, is_encoded, promises_not_run,
};
use crate::answers::body::ReplyBody;
use crate::dialect::{Dialect, Step};
use crate::runners::answer_memory::MAX_ANSWER_BYTES;
use crate::runners::crashes::{CrashWatch, JudgedResponse, confirm_end};
use crate::runners::exchange::{ExchangeError, Reply};
use crate::runners::framing::BodyFraming;
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptRecord, AttemptSpec, ForwardedRequest, LoadGuard, Router};
use crate::runners::send_trace::SendTrace;
use crate::shared::{CallInFlight, CallPlacement, CallTimes, CallWait};

/// Share of its target after which a repeatable call is late at its first runner: longer than
/// nearly all responses take, and short enough for a second runner to respond on time.
const FIRST_ATTEMPT_SHARE: f64 = 0.7;

/// Refusal reason of a call that the runners cannot answer before its deadline.
const POOL_FULL: &str = "the pool is full";

/// Result of one attempt.
enum AttemptResult {
    /// A success, or a failure of the run that must not be retried.
    Answer(response::Parts, Bytes),
    /// A failure of the run; another attempt may succeed.
    RunFailed(response::Parts, Bytes),
    /// No response to forward.
    NoAnswer(AttemptEnd, String),
    /// Not sent, because the runner signalled back-pressure.
    Withheld(String),
}

impl AttemptResult {
    /// How the attempt ended without an answer; `None` if it has one.
    fn attempt_end(&self) -> Option<AttemptEnd> {
        match self {
            AttemptResult::Answer(..) => None,
            AttemptResult::RunFailed(..) => Some(AttemptEnd::RunFailed),
            AttemptResult::NoAnswer(end, _) => Some(*end),
            AttemptResult::Withheld(_) => Some(AttemptEnd::Unsent),
        }
    }

    /// The runner's response that may be forwarded, if there is one.
    fn response(&self) -> Option<JudgedResponse> {
        match self {
            AttemptResult::Answer(..) => Some(JudgedResponse::Success),
            AttemptResult::RunFailed(..) => Some(JudgedResponse::Failure),
            AttemptResult::NoAnswer(..) | AttemptResult::Withheld(_) => None,
        }
    }
}

/// Serves a plain call.
///
/// # Errors
/// The refusal to send when no runner's response can be forwarded.
pub(crate) async fn call<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut plan = AttemptPlan::new(fwd.route.kind, fwd.route.max_runners);
    let mut tried: Vec<RunnerId> = Vec::new();
    let near = cx.shared.cfg().data_centre.clone();
    let mut wait: Option<CallWait> = None;
    let retry_after = cx.usual_retry_after(fwd);
    loop {
        let remaining = fwd.remaining(cx.now());
        if remaining == Millis(0) {
            return Err(timed_out(&plan, retry_after));
        }
        if let Err(withheld) = cx.may_run(fwd) {
            return Err(Refusal::after_attempts(
                plan.final_answer(),
                withheld.reason,
                withheld.retry_after,
            ));
        }
        let times = call_times(cx, fwd, wait.as_ref());
        let runner = match cx.shared.place_call(&cx.destination(fwd), &tried, &near, times) {
            CallPlacement::Send(runner) => runner,
            CallPlacement::Wait(poll) => {
                wait.get_or_insert_with(|| CallWait::begin(&cx.shared));
                tokio::time::sleep(poll.duration()).await;
                continue;
            }
            CallPlacement::Refuse { retry_after, load } => {
                log_full_pool(fwd, times, load, retry_after);
                return Err(Refusal::after_attempts(plan.final_answer(), POOL_FULL, retry_after));
            }
            CallPlacement::NoRunner => {
                let (reason, retry_after) = no_runner(cx, fwd, retry_after);
                return Err(Refusal::after_attempts(plan.final_answer(), reason, retry_after));
            }
        };
        if let Some(wait) = wait.take() {
            log::info!("route: waited id={} ms={}", fwd.request.id, wait.length().0);
        }
        let is_first = plan.may_run_again() && tried.is_empty();
        let trace = SendTrace::new(cx.now());
        tried.push(runner.id.clone());
        let ended = match is_first {
            true => first_attempt(cx, fwd, &runner, &trace, &mut plan, &mut tried).await,
            false => attempt(cx, fwd, &runner, &trace, remaining).await,
        };
        let (end, failed, cause) = match ended {
            AttemptResult::Answer(head, body) => return forward_response(head, body),
            AttemptResult::RunFailed(head, body) => {
                (AttemptEnd::RunFailed, Some((head, body)), String::new())
            }
            AttemptResult::NoAnswer(end, cause) => (end, None, cause),
            AttemptResult::Withheld(cause) => (AttemptEnd::Unsent, None, cause),
        };
        match plan.next_step(end, || fwd.arrivals.reserve(1)) {
            NextStep::Retry => {}
            NextStep::ForwardError => {
                if let Some((head, body)) = failed {
                    return forward_response(head, body);
                }
                return Err(Refusal::OutcomeUnknown("the runner failed"));
            }
            NextStep::Finish(end) => {
                log::info!("route: given up id={} cause=\"{cause}\"", fwd.request.id);
                if fwd.remaining(cx.now()) == Millis(0) {
                    return Err(timed_out(&plan, retry_after));
                }
                return Err(Refusal::after_attempts(end, "no runner answered", retry_after));
            }
        }
    }
}

fn call_times<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    wait: Option<&CallWait>,
) -> CallTimes {
    let now = cx.now();
    CallTimes {
        target: fwd.route.target,
        left_to_target: fwd.remaining_to_target(now),
        left: fwd.remaining(now),
        waited: wait.map_or(Millis(0), |wait| wait.length().max(Millis(1))),
    }
}

/// Logs the refusal of a call that the runners are not expected to answer before its deadline.
fn log_full_pool(
    fwd: &ForwardedRequest,
    times: CallTimes,
    load: CallPoolLoad,
    retry_after: Millis,
) {
    log::info!(
        "route: refused id={} reason=\"{POOL_FULL}\" expected_ms={:.0} left_ms={} waited_ms={} \
         in_flight={:.0} waiting={} slots={} peers={} retry_after_ms={}",
        fwd.request.id,
        load.expected_ms,
        times.left.0,
        times.waited.0,
        load.in_flight,
        load.waiting,
        load.slots,
        load.peers,
        retry_after.0,
    );
}

/// Why no runner may be called, and when to retry. Under back-pressure at all remaining runners,
/// that is when the first of them may be called again.
fn no_runner<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    retry_after: Millis,
) -> (&'static str, Millis) {
    match cx.back_pressure_delay(fwd, None) {
        Some(delay) => (BACK_PRESSURE, delay),
        None => ("no runner is left", retry_after),
    }
}

/// Waits for the first attempt. When it is late, the call is sent to another runner too, and the first
/// answer is forwarded: either runner may refuse the call or fail. Returns the result that decides what
/// follows.
async fn first_attempt<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    runner: &Runner,
    trace: &SendTrace,
    plan: &mut AttemptPlan,
    tried: &mut Vec<RunnerId>,
) -> AttemptResult {
    let started = cx.now();
    let remaining = fwd.remaining(started);
    let mut first = pin!(attempt(cx, fwd, runner, trace, remaining));
    let wait = first_attempt_timeout(fwd).min(remaining);
    if let Ok(ended) = tokio::time::timeout(wait.duration(), &mut first).await {
        return ended;
    }
    let Some(other) = other_runner(cx, fwd, plan, tried) else {
        let (id, runner) = (&fwd.request.id, &runner.id);
        log::info!("route: late id={id} runner={runner} outcome=\"still waiting\"");
        return first.await;
    };
    log::info!(
        "route: late id={} runner={} outcome=\"sent to {} too\"",
        fwd.request.id,
        runner.id,
        other.id
    );
    tried.push(other.id.clone());
    let second_trace = SendTrace::new(cx.now());
    let remaining = fwd.remaining(cx.now());
    let mut second = pin!(attempt(cx, fwd, &other, &second_trace, remaining));
    let (ended, is_first) = tokio::select! {
        biased;
        ended = &mut first => (ended, true),
        ended = &mut second => (ended, false),
    };
    match ended.attempt_end() {
        Some(end) => {
            plan.record_failed_takeover(end);
            if is_first { second.await } else { first.await }
        }
        None => {
            if !is_first {
                // Other calls avoid a runner that is late or does not answer at all.
                let (result, detail) = (CallResult::Unreachable, "late, another runner answered");
                let step = "whole";
                cx.record_attempt(
                    fwd,
                    AttemptRecord { runner, step, started, result, trace, detail },
                );
            }
            ended
        }
    }
}

/// Another runner for a call whose first runner is late, if it may still answer in time and the plan and
/// the budget allow a second run.
fn other_runner<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    plan: &AttemptPlan,
    tried: &[RunnerId],
) -> Option<Runner> {
    let left = fwd.remaining_to_target(cx.now());
    let to = cx.destination(fwd);
    let may_answer =
        cx.shared.may_answer_within(&to, tried, left) && cx.shared.has_other_runner(&to, tried);
    if !may_answer {
        return None;
    }
    plan.takeover(|| fwd.arrivals.reserve(1))?;
    let near = cx.shared.cfg().data_centre.clone();
    match cx.shared.place_call(&to, tried, &near, call_times(cx, fwd, None)) {
        CallPlacement::Send(runner) => Some(runner),
        CallPlacement::Wait(_) | CallPlacement::Refuse { .. } | CallPlacement::NoRunner => {
            fwd.arrivals.release();
            None
        }
    }
}

/// Time after which the response of the first runner is late.
fn first_attempt_timeout(fwd: &ForwardedRequest) -> Millis {
    fwd.route.target.share(FIRST_ATTEMPT_SHARE).max(Millis(1))
}

fn timed_out(plan: &AttemptPlan, retry_after: Millis) -> Refusal {
    match Refusal::after_attempts(plan.final_answer(), "its deadline has passed", retry_after) {
        Refusal::OutcomeUnknown(_) => Refusal::TimedOut,
        refusal => refusal,
    }
}

async fn attempt<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    runner: &Runner,
    trace: &SendTrace,
    timeout: Millis,
) -> AttemptResult {
    let started = cx.now();
    let _load = LoadGuard::begin(&cx.shared, &runner.id, 0);
    let mut in_flight = CallInFlight::begin(&cx.shared, &fwd.service, runner);
    let watch = CrashWatch::begin(cx, fwd);
    let resume_after = fwd.request.resume_after;
    let spec = AttemptSpec { resume_after, step: Step::Whole, permit: Permit::Acquire };
    let reply = cx.attempt(fwd, runner, spec, timeout, trace).await;
    let mut framing = BodyFraming::Marked;
    let read = match reply {
        Ok(reply) => {
            framing = BodyFraming::of_reply_to(&fwd.method, &reply.head);
            let remaining = timeout.since(cx.now().since(started)).plus(Millis(1));
            read_response(cx, runner, reply, framing, remaining).await
        }
        Err(e) => Err(e),
    };
    if read.as_ref().is_err_and(ExchangeError::is_connection_lost) {
        watch.connection_lost(cx, runner).await;
    }
    let mut ended = read.unwrap_or_else(failed_exchange);
    if let (BodyFraming::Close, Some(response)) = (framing, ended.response()) {
        let remaining = timeout.since(cx.now().since(started));
        if let Err(cause) = confirm_end(cx, runner, &watch, response, remaining).await {
            ended = AttemptResult::NoAnswer(AttemptEnd::Unknown, cause);
        }
    }
    if matches!(ended, AttemptResult::Answer(..)) {
        in_flight.record_answer();
        if framing == BodyFraming::Marked {
            cx.shared.record_sound_run(&fwd.crash_keys);
        }
    }
    let (result, detail) = match &ended {
        AttemptResult::Answer(..) => (CallResult::Answered(Millis(0)), ""),
        AttemptResult::RunFailed(..) => (CallResult::Failed, "failed"),
        AttemptResult::NoAnswer(AttemptEnd::NotRun, cause) => (CallResult::NotRun, cause.as_str()),
        AttemptResult::NoAnswer(_, cause) => (CallResult::Unreachable, cause.as_str()),
        AttemptResult::Withheld(cause) => (CallResult::Withheld, cause.as_str()),
    };
    if result == CallResult::NotRun {
        cx.shared.record_full_runner(&fwd.service);
    }
    let step = "whole";
    cx.record_attempt(fwd, AttemptRecord { runner, step, started, result, trace, detail });
    ended
}

async fn read_response<D: Dialect>(
    cx: &Router<D>,
    runner: &Runner,
    reply: Reply,
    framing: BodyFraming,
    timeout: Millis,
) -> Result<AttemptResult, ExchangeError> {
    let info = reply.info.clone();
    let (head, body) = match cx.exchanger.read_whole(runner, reply, MAX_ANSWER_BYTES, timeout).await
    {
        Ok(whole) => whole,
        // The head already states that the request was not run, so the body is not needed.
        Err(_) if info.not_run => return Ok(not_run()),
        Err(e) => return Err(e),
    };
    if info.wrong_runner {
        cx.remove_runner(&runner.id, "another runner has its address");
    }
    if info.not_run || info.wrong_runner {
        return Ok(not_run());
    }
    if head.status.is_success() && !info.sealed {
        let cause = "the response has no seal of its runner".to_owned();
        return Ok(AttemptResult::NoAnswer(AttemptEnd::Unknown, cause));
    }
    if head.status.is_success() && is_encoded(&head.headers) {
        let cause = "the response has an encoded body".to_owned();
        return Ok(AttemptResult::NoAnswer(AttemptEnd::Unknown, cause));
    }
    // A head that ends before its framing headers looks the same, also when its runner lives on.
    if head.status.is_success() && framing == BodyFraming::Close && body.is_empty() {
        let cause = "the response has neither a body nor a mark of its end".to_owned();
        return Ok(AttemptResult::NoAnswer(AttemptEnd::Unknown, cause));
    }
    Ok(match head.status.is_server_error() || promises_not_run(head.status) {
        true => AttemptResult::RunFailed(head, body),
        false => AttemptResult::Answer(head, body),
    })
}

fn not_run() -> AttemptResult {
    AttemptResult::NoAnswer(AttemptEnd::NotRun, "the runner did not run the request".to_owned())
}

fn failed_exchange(e: ExchangeError) -> AttemptResult {
    match e.is_withheld() {
        true => AttemptResult::Withheld(e.to_string()),
        false => AttemptResult::NoAnswer(e.attempt_end(), e.to_string()),
    }
}
