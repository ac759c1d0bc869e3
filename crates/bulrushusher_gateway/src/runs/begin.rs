//! Starts a run: holds memory at a decode runner, prefills the prompt at a prefill runner, then
//! sends the run to the decode runner.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, CallResult, Runner};
use bulrushusher_time::Millis;

use crate::answers::answer::{BACK_PRESSURE, Withheld, is_encoded, is_event_stream};
use crate::dialect::{Dialect, Step};
use crate::placement::attempts::{AttemptHistory, RunError};
use crate::placement::holds::{KvCacheGuard, MemoryHold};
use crate::placement::place::{PlacementError, place};
use crate::placement::prefill::prefill_prompt;
use crate::runners::answer_memory::MAX_ANSWER_BYTES;
use crate::runners::crashes::{CrashWatch, JudgedResponse, confirm_end};
use crate::runners::exchange::{ExchangeError, Reply};
use crate::runners::framing::BodyFraming;
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptRecord, AttemptSpec, ForwardedRequest, LoadGuard, Router};
use crate::runners::send_trace::SendTrace;
use crate::runs::run::{Run, silence_timeout};

/// Longest wait for other memory after the prompt was prefilled: runners keep a KV cache that is
/// not fetched for about half a second.
const REPLACEMENT_WAIT: Millis = Millis(250);

/// Time from the send of a run that takes over until it must have begun, while the former run is kept:
/// two runners must not work on one request side by side for 400 ms.
pub(crate) const TAKEOVER_TIMEOUT: Millis = Millis(300);

/// Starts a run that continues after the last event that the caller received.
pub(crate) async fn start_run<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    history: &mut AttemptHistory,
    until: Millis,
) -> Result<Run<D>, RunError> {
    cx.may_run(fwd).map_err(RunError::Withheld)?;
    if !cx.shared.is_split(&fwd.service) {
        return start_whole(cx, fwd, history).await;
    }
    let mut held = place_or_refuse(cx, fwd, history, until).await?;
    // The API key may have been revoked while the request was queued; a prefill already counts as a
    // run.
    cx.may_run(fwd).map_err(RunError::Withheld)?;
    let mut kv = prefill_prompt(cx, fwd, history, &mut held).await?;
    if !held.is_valid(cx.now()) || !cx.permits(fwd, &held.runner) {
        // The runner began to leave or restarted, the hold expired, or the configuration no longer
        // permits its region: it must not get the run.
        log::info!("place: again id={} runner={}", fwd.request.id, held.runner.id);
        let until = cx.now().plus(REPLACEMENT_WAIT).min(fwd.deadline);
        held = place_or_refuse(cx, fwd, history, until).await?;
        if kv.is_none() {
            held.set_prefills_itself();
        }
    }
    let cause = kv.as_ref().and_then(|kv| match kv.is_lost() {
        true => Some("its runner started again"),
        false if kv.runner().version != held.runner.version => Some("its version is another one"),
        false => (!cx.permits(fwd, kv.runner())).then_some("its region is no longer allowed"),
    });
    if let Some(cause) = cause {
        log::info!("read: again id={} cause=\"{cause}\"", fwd.request.id);
        kv = prefill_prompt(cx, fwd, history, &mut held).await?;
    }
    // The request may have crashed another runner during the prefill, or its API key may be
    // revoked.
    cx.may_run(fwd).map_err(RunError::Withheld)?;
    start_split(cx, fwd, history, held, kv).await
}

async fn place_or_refuse<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    history: &AttemptHistory,
    until: Millis,
) -> Result<MemoryHold<D>, RunError> {
    let held = place(cx, fwd, history, until).await;
    held.map_err(|e| match e {
        PlacementError::BackPressure { retry_after }
        | PlacementError::Version { retry_after }
        | PlacementError::Residency { retry_after } => {
            RunError::Withheld(Withheld { reason: e.reason(), retry_after })
        }
        PlacementError::Quarantined(withheld) => RunError::Withheld(withheld),
        _ => RunError::Unplaced(e.reason()),
    })
}

/// Starts a generation of a service whose runners both prefill and decode.
async fn start_whole<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    history: &mut AttemptHistory,
) -> Result<Run<D>, RunError> {
    let near = cx.shared.cfg().data_centre.clone();
    let Some(runner) =
        cx.shared.pick_for_call(&cx.destination(fwd), &history.excluded_decodes, &near)
    else {
        return Err(match cx.back_pressure_delay(fwd, None) {
            Some(retry_after) => {
                RunError::Withheld(Withheld { reason: BACK_PRESSURE, retry_after })
            }
            None => RunError::Unplaced("no runner is left"),
        });
    };
    history.excluded_decodes.push(runner.id.clone());
    let resume_after = history.resume_after;
    let spec = AttemptSpec { resume_after, step: Step::Whole, permit: Permit::Acquire };
    run_at(cx, fwd, runner, None, spec, head_wait(fwd, history)).await
}

async fn start_split<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    history: &mut AttemptHistory,
    held: MemoryHold<D>,
    mut kv: Option<KvCacheGuard<D>>,
) -> Result<Run<D>, RunError> {
    let runner = held.runner.clone();
    let hold = held.id.clone();
    let cache = kv.as_ref().map(|kv| kv.cache.clone());
    let step = Step::Generate { kv: cache.as_ref(), hold: hold.as_ref() };
    let spec = AttemptSpec { resume_after: history.resume_after, step, permit: Permit::Acquired };
    let run = run_at(cx, fwd, runner.clone(), Some(held), spec, head_wait(fwd, history)).await;
    match &run {
        Ok(_) => {
            if let Some(kv) = &mut kv {
                kv.mark_consumed();
            }
        }
        // Memory was held, so a refusal means that the KV cache could not be fetched: its prefill
        // runner loses caches, and the next decode runner prefills the prompt itself. Or the decode
        // runner accepts nothing, so it is not tried again for this request either.
        Err(RunError::Ended(AttemptEnd::NotRun, _)) => {
            cx.shared.record_run_end(&runner, false);
            if let Some(kv) = &kv {
                cx.shared.record_call(kv.runner(), CallResult::Unreachable);
                history.prefill_at_decode = true;
            }
            history.excluded_decodes.push(runner.id);
        }
        Err(_) => history.excluded_decodes.push(runner.id),
    }
    run
}

/// How long the head of a stream is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HeadWait {
    /// Until the request's deadline, as no other run may follow.
    Deadline,
    /// Until the runner counts as silent, and longer if the budget allows no other run.
    Silence,
    /// For [`TAKEOVER_TIMEOUT`], as the former run is kept meanwhile.
    Takeover,
}

fn head_wait(fwd: &ForwardedRequest, history: &AttemptHistory) -> HeadWait {
    match (history.is_takeover, fwd.route.kind.may_repeat() && history.may_follow) {
        (true, _) => HeadWait::Takeover,
        (false, true) => HeadWait::Silence,
        (false, false) => HeadWait::Deadline,
    }
}

/// Sends the run to a runner and waits for the head of its stream.
pub(crate) async fn run_at<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    runner: Runner,
    mut held: Option<MemoryHold<D>>,
    spec: AttemptSpec<'_>,
    wait: HeadWait,
) -> Result<Run<D>, RunError> {
    let started = cx.now();
    let trace = SendTrace::new(held.as_ref().map_or(started, MemoryHold::created_at));
    let load = LoadGuard::begin(&cx.shared, &runner.id, 0);
    let remaining = fwd.remaining(started);
    let timeout = match wait {
        HeadWait::Deadline | HeadWait::Silence => remaining,
        HeadWait::Takeover => TAKEOVER_TIMEOUT.min(remaining),
    };
    let prefills = held.as_ref().is_some_and(MemoryHold::prefills_itself);
    let watch = prefills.then(|| cx.shared.track_prefill(&runner));
    let mut crash_watch = CrashWatch::begin(cx, fwd);
    let record = |step, result, detail: &str| {
        let (runner, trace) = (&runner, &trace);
        cx.record_attempt(fwd, AttemptRecord { runner, step, started, result, trace, detail });
    };
    let sending = cx.attempt(fwd, &runner, spec, timeout, &trace);
    let sent = watch_silence(cx, fwd, &runner, wait, sending).await;
    if let Some(held) = held.as_mut().filter(|_| trace.waited().is_some()) {
        held.mark_sent();
    }
    let error = match sent {
        Ok(reply) if reply.head.status.is_success() && unusable_stream(&reply).is_none() => {
            if let Some(held) = &mut held {
                held.mark_used();
            }
            if let Some(watch) = watch {
                watch.finish(&fwd.service, fwd.prompt_tokens(), fwd.route.gap_target);
            }
            let result = CallResult::Answered(Millis(0));
            record(step_label(prefills), result, "");
            cx.pin_version(fwd, &runner.version);
            let migrate_after = Millis(0);
            crash_watch.run_accepted(cx.now());
            let watch = crash_watch;
            return Ok(Run { runner, reply, started, held, migrate_after, watch, _load: load });
        }
        Ok(reply) => read_failure(cx, fwd, &runner, reply, &crash_watch).await,
        Err(e) => {
            if e.is_connection_lost() {
                crash_watch.connection_lost(cx, &runner).await;
            }
            record("generate", e.call_result(), &e.to_string());
            // The time for a takeover is too short to tell a failing runner from a busy one.
            if !e.is_withheld() && wait != HeadWait::Takeover {
                cx.shared.record_run_end(&runner, false);
            }
            return Err(RunError::Ended(e.attempt_end(), "no decode runner answered"));
        }
    };
    let (result, detail) = match &error {
        RunError::Ended(AttemptEnd::NotRun, reason) => (CallResult::NotRun, *reason),
        RunError::Ended(_, reason) => (CallResult::Unreachable, *reason),
        RunError::Failed(..) => (CallResult::Failed, "failed"),
        RunError::Unplaced(reason) => (CallResult::NotRun, *reason),
        RunError::Withheld(withheld) => (CallResult::NotRun, withheld.reason),
    };
    record("generate", result, detail);
    if matches!(result, CallResult::Failed | CallResult::Unreachable) {
        cx.shared.record_run_end(&runner, false);
    }
    Err(error)
}

/// Waits for a response. A runner that is silent for longer than [`silence_timeout`] is recorded as
/// failing, so that other requests avoid it, and is given up if another run may follow.
async fn watch_silence<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    runner: &Runner,
    wait: HeadWait,
    sending: impl Future<Output = Result<Reply, ExchangeError>>,
) -> Result<Reply, ExchangeError> {
    let mut sending = std::pin::pin!(sending);
    let silence = silence_timeout(fwd);
    if let Ok(sent) = tokio::time::timeout(silence.duration(), &mut sending).await {
        return sent;
    }
    if wait == HeadWait::Silence && fwd.arrivals.reserve(1) {
        return Err(ExchangeError::NoAnswer { cause: format!("silent for {silence}") });
    }
    cx.shared.record_run_end(runner, false);
    sending.await
}

/// Reads a response that is not a stream.
async fn read_failure<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    runner: &Runner,
    reply: Reply,
    watch: &CrashWatch,
) -> RunError {
    let info = reply.info.clone();
    if info.wrong_runner {
        cx.remove_runner(&runner.id, "another runner has its address");
    }
    if reply.head.status.is_success()
        && !info.not_run
        && let Some(cause) = unusable_stream(&reply)
    {
        // Its body is not read, as it may be without end.
        return RunError::Ended(AttemptEnd::Unknown, cause);
    }
    let framing = BodyFraming::of_reply_to(&fwd.method, &reply.head);
    let timeout = fwd.remaining(cx.now());
    let whole = cx.exchanger.read_whole(runner, reply, MAX_ANSWER_BYTES, timeout).await;
    if info.not_run || info.wrong_runner {
        return RunError::Ended(AttemptEnd::NotRun, "the decode runner did not accept the run");
    }
    match whole {
        Ok((head, body)) if !head.status.is_success() => {
            let remaining = fwd.remaining(cx.now());
            let failure = JudgedResponse::Failure;
            if framing == BodyFraming::Close
                && let Err(cause) = confirm_end(cx, runner, watch, failure, remaining).await
            {
                log::info!(
                    "route: response not confirmed id={} runner={} cause=\"{cause}\"",
                    fwd.request.id,
                    runner.id,
                );
                return RunError::Ended(AttemptEnd::Unknown, "the response may be cut off");
            }
            RunError::Failed(head, body)
        }
        _ => RunError::Ended(AttemptEnd::Unknown, "the decode runner's response cannot be used"),
    }
}

fn step_label(prefills: bool) -> &'static str {
    if prefills { "read_and_generate" } else { "generate" }
}

/// Why a success is no answer to a generation; `None` if its body is the stream of the run.
fn unusable_stream(reply: &Reply) -> Option<&'static str> {
    if !reply.info.sealed {
        return Some("the response has no seal of its runner");
    }
    let headers = &reply.head.headers;
    (!is_event_stream(headers) || is_encoded(headers)).then_some("the response is no event stream")
}
