//! Prefill of a generation's prompt while memory for its run is held.

use std::sync::Arc;

use bulrushusher_forward::{CallResult, PrefillSite, Runner};
use bulrushusher_time::Millis;
use bulrushusher_world::{CacheHandle, RunnerId};

use crate::dialect::{Dialect, Step};
use crate::placement::attempts::{AttemptHistory, RunError};
use crate::placement::holds::{KvCacheGuard, MemoryHold};
use crate::placement::patience::PrefillWait;
use crate::placement::prefill_site::{decode_may_prefill, select_site};
use crate::runners::answer_memory::MAX_CONTROL_BYTES;
use crate::runners::crashes::CrashWatch;
use crate::runners::exchange::ExchangeError;
use crate::runners::framing::BodyFraming;
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptRecord, AttemptSpec, ForwardedRequest, LoadGuard, Router};
use crate::runners::send_trace::SendTrace;

/// Prefill attempts for one prompt while its memory is held.
const MAX_PREFILL_ATTEMPTS: usize = 2;

/// Pause of a prefill runner that refused a prompt, about the time of a few prefills: the runner is
/// full or changes its stage.
const REFUSED_PREFILL_PAUSE: Millis = Millis(300);

/// Prefills the prompt at a prefill runner. `None` when the decode runner is to prefill it itself.
pub(crate) async fn prefill_prompt<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    history: &AttemptHistory,
    held: &mut MemoryHold<D>,
) -> Result<Option<KvCacheGuard<D>>, RunError> {
    if history.prefill_at_decode {
        held.set_prefills_itself();
        return Ok(None);
    }
    let mut tried = Vec::new();
    for attempt in 0..MAX_PREFILL_ATTEMPTS {
        // The run must be paid for as well, or the prefill would be in vain.
        if !fwd.arrivals.reserve(fwd.arrivals.sends_with_prefill()) {
            if fwd.arrivals.reserve(1) && decode_may_prefill(cx, fwd, held) {
                held.set_prefills_itself();
                return Ok(None);
            }
            return Err(RunError::Unplaced("the retry budget does not allow a prefill and a run"));
        }
        let near = held.runner.data_centre.clone();
        let runner = cx.shared.pick_for_prefill(
            &cx.prefill_destination(fwd, &held.runner),
            &tried,
            &near,
            fwd.prompt_tokens(),
        );
        let Some(runner) =
            runner.filter(|runner| select_site(cx, fwd, held, runner) == PrefillSite::Prefill)
        else {
            held.set_prefills_itself();
            return Ok(None);
        };
        if attempt > 0 && !held.is_valid(cx.now()) {
            return Err(RunError::Unplaced("the prompt was not prefilled in time"));
        }
        tried.push(runner.id.clone());
        let is_last = attempt + 1 == MAX_PREFILL_ATTEMPTS;
        let spec = PrefillSpec { resume_after: history.resume_after, tried: &tried, is_last };
        if let Some(kv) = prefill_at(cx, fwd, held, runner, spec).await {
            return Ok(Some(kv));
        }
    }
    Err(RunError::Unplaced("the prompt was not prefilled"))
}

/// One of the attempts to prefill a prompt.
#[derive(Clone, Copy, Debug)]
struct PrefillSpec<'a> {
    resume_after: Option<u64>,
    /// Runners of the attempts so far, including this one.
    tried: &'a [RunnerId],
    is_last: bool,
}

/// Prefills the prompt at one runner; `None` if that fails.
async fn prefill_at<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    held: &MemoryHold<D>,
    runner: Runner,
    spec: PrefillSpec<'_>,
) -> Option<KvCacheGuard<D>> {
    let started = cx.now();
    let tokens = fwd.prompt_tokens();
    let queued = cx.shared.queued_prefill_tokens(&runner.id);
    let _load = LoadGuard::begin(&cx.shared, &runner.id, tokens);
    let factor = cx.shared.prefill_factor(&fwd.service, &runner.id);
    let timeout =
        cx.shared.with_timing(&fwd.service, |it| it.prefill_timeout_at(queued + tokens, factor));
    let limit = held.remaining(started).min(fwd.remaining(started));
    let extra = cx.shared.extra_time(&runner.data_centre);
    let timeout = timeout.plus(extra).min(limit);
    let watch = CrashWatch::begin(cx, fwd);
    let trace = SendTrace::new(started);
    let PrefillSpec { resume_after, tried, is_last } = spec;
    let is_patient = timeout < limit && cx.shared.waits_for_late_prefills(&fwd.service);
    let prefilled = match is_patient {
        true => {
            let (runner, trace) = (&runner, &trace);
            let wait = PrefillWait {
                cx,
                fwd,
                held,
                runner,
                trace,
                started,
                timeout,
                limit,
                queued,
                extra,
                tried,
                is_last,
            };
            // The decision at the end of the limit comes before the exchange's own timeout.
            let max_time = limit.plus(timeout);
            let sending = send_prefill(cx, fwd, resume_after, runner, max_time, trace);
            wait.run(sending).await.unwrap_or_else(|| Err(PrefillFailure::given_up(wait.elapsed())))
        }
        false => send_prefill(cx, fwd, resume_after, &runner, timeout, &trace).await,
    };
    if prefilled.as_ref().is_err_and(|failed| failed.is_connection_lost) {
        watch.connection_lost(cx, &runner).await;
    }
    let (result, detail) = match &prefilled {
        Ok(_) => (CallResult::Answered(Millis(0)), ""),
        Err(failed) => (failed.result, failed.cause.as_str()),
    };
    cx.record_attempt(
        fwd,
        AttemptRecord { runner: &runner, step: "read", started, result, trace: &trace, detail },
    );
    match result {
        CallResult::NotRun => cx.shared.pause_runner(&runner.id, REFUSED_PREFILL_PAUSE),
        CallResult::Answered(_) => cx.shared.record_run_end(&runner, true),
        CallResult::Failed => cx.shared.record_run_end(&runner, false),
        // A queue that is too long looks the same; the pause after it is sufficient.
        CallResult::Unreachable | CallResult::Withheld => {}
    }
    let handle = prefilled.ok()?;
    fwd.arrivals.accept_prefill();
    // The timing is that of the runner alone: distance would look like a lower prefill rate.
    let took = cx.now().since(started).since(extra);
    let sent = started.plus(trace.waited().unwrap_or_default());
    cx.shared.record_prefill_end(&runner, sent);
    cx.record_work("kv_transfer", &held.runner.data_centre, &runner);
    let ratio = cx.shared.with_timing(&fwd.service, |pace| {
        let expected = pace.prefill().expected_ms((queued + tokens) as f64);
        pace.record_prefill(queued + tokens, took);
        took.0 as f64 / expected.max(1.0)
    });
    cx.shared.record_prefill_ratio(&runner, ratio);
    Some(KvCacheGuard::new(runner, handle, &cx.shared, &cx.exchanger, &cx.dialect))
}

/// Why a prefill failed.
struct PrefillFailure {
    result: CallResult,
    cause: String,
    /// True when the connection broke during the prefill.
    is_connection_lost: bool,
}

impl PrefillFailure {
    /// The failure of a prefill that is no longer waited for.
    fn given_up(waited: Millis) -> PrefillFailure {
        PrefillFailure {
            result: CallResult::Unreachable,
            cause: format!("no answer (given up after {waited})"),
            is_connection_lost: false,
        }
    }
}

/// Sends the prompt to a prefill runner; returns the handle of its KV cache.
async fn send_prefill<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    resume_after: Option<u64>,
    runner: &Runner,
    timeout: Millis,
    trace: &SendTrace,
) -> Result<CacheHandle, PrefillFailure> {
    let lost = |e: ExchangeError| PrefillFailure {
        result: e.call_result(),
        cause: e.to_string(),
        is_connection_lost: e.is_connection_lost(),
    };
    let failed = |result, cause| PrefillFailure { result, cause, is_connection_lost: false };
    let spec = AttemptSpec { resume_after, step: Step::Prefill, permit: Permit::Acquire };
    let reply = cx.attempt(fwd, runner, spec, timeout, trace).await.map_err(lost)?;
    let info = reply.info.clone();
    let framing = BodyFraming::of(&reply.head.headers);
    let whole = cx.exchanger.read_whole(runner, reply, MAX_CONTROL_BYTES, timeout).await;
    let (head, body) = whole.map_err(lost)?;
    if info.wrong_runner {
        cx.remove_runner(&runner.id, "another runner has its address");
    }
    if info.not_run || info.wrong_runner {
        return Err(failed(CallResult::NotRun, format!("status {}", head.status.as_u16())));
    }
    if !head.status.is_success() {
        return Err(failed(CallResult::Failed, format!("status {}", head.status.as_u16())));
    }
    let unreadable = || PrefillFailure {
        result: CallResult::Failed,
        cause: "the response contains no valid cache handle".to_owned(),
        // Without a mark of its end it may have been cut off by a crash.
        is_connection_lost: framing == BodyFraming::Close,
    };
    cx.dialect.parse_cache_handle(&body).ok_or_else(unreadable)
}
