//! Has the prompt of a generation read, while memory for its run is held.

use std::sync::Arc;

use bulrushusher_forward::{CallResult, PrefillSite, PrefillSiteConfig, PrefillTask, Runner};
use bulrushusher_time::Millis;

use crate::dialect::{Dialect, Step};
use crate::placement::holds::{HeldMemory, KeptKv};
use crate::placement::tries::{NoRun, Tries};
use crate::runners::crashes::CrashWatch;
use crate::runners::exchange::ExchangeError;
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptNote, Forwarded, LoadTicket, Router, Sending};

/// Readings of one prompt that are tried while its memory is held.
const MOST_READS: usize = 2;

/// Longest reading that memory is held for: a lease lasts two seconds, and the line at a prefill
/// runner may grow by other gateways' prompts meanwhile.
const LATE_READ: Millis = Millis(1_200);

/// A prefill runner that did not read a prompt is full or changes its stage; it is left alone for
/// the time of a few prompts.
const REFUSED_READ_PAUSE: Millis = Millis(300);

/// Has a prefill runner read the prompt. `None` when the decode runner is to read it itself.
pub(crate) async fn read_prompt<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    tries: &mut Tries,
    held: &mut HeldMemory<D>,
) -> Result<Option<KeptKv<D>>, NoRun> {
    if tries.read_at_decode {
        held.reads_itself();
        return Ok(None);
    }
    if tries.was_read && !cx.knowledge.take_retry(&fwd.service) {
        return Err(NoRun::Unplaced("the prompt may not be read again now"));
    }
    let mut tried = Vec::new();
    let mut sent_in_vain = false;
    for read in 0..MOST_READS {
        // What was sent to one runner in vain counts as a repeat, whoever goes on.
        if sent_in_vain && !cx.knowledge.take_retry(&fwd.service) {
            return Err(NoRun::Unplaced("the prompt was not read"));
        }
        let near = held.runner.data_centre.clone();
        let runner = cx.knowledge.pick_for_prefill(&fwd.service, &tried, &near);
        let Some(runner) =
            runner.filter(|runner| reader(cx, fwd, held, runner) == PrefillSite::Prefill)
        else {
            held.reads_itself();
            return Ok(None);
        };
        if read > 0 && !held.is_good(cx.now()) {
            return Err(NoRun::Unplaced("the prompt was not read in time"));
        }
        tried.push(runner.id.clone());
        let longest = held.time_left(cx.now());
        match read_at(cx, fwd, tries.resume_after, runner, longest).await {
            Ok(kv) => {
                tries.was_read = true;
                return Ok(Some(kv));
            }
            Err(result) => sent_in_vain = result != CallResult::Withheld,
        }
    }
    Err(NoRun::Unplaced("the prompt was not read"))
}

fn reader<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    held: &HeldMemory<D>,
    prefill: &Runner,
) -> PrefillSite {
    let prompt = prompt(cx, fwd, Some(prefill));
    let load = cx.knowledge.decode_load(&fwd.service, &held.runner.id);
    let reader = prompt.select_site(load, PrefillSiteConfig::default());
    log::debug!("read: id={} reader={reader:?} prompt={prompt:?} decode={load:?}", fwd.arrival.id);
    reader
}

/// The prompt of a request, with what is known of how fast it can be read.
fn prompt<D: Dialect>(cx: &Router<D>, fwd: &Forwarded, prefill: Option<&Runner>) -> PrefillTask {
    let per_event = cx.knowledge.tokens_per_event(&fwd.service) as f64;
    let ahead = prefill.map(|prefill| cx.knowledge.queued_prefill_tokens(&prefill.id));
    cx.knowledge.with_timing(&fwd.service, |pace| PrefillTask {
        tokens: fwd.prompt_tokens(),
        queued_tokens: ahead,
        prefill_timing: pace.prefill(),
        decode_timing: pace.decode(),
        event_gap: Millis((per_event / pace.tokens_per_ms()) as u64),
        gap_target: fwd.route.gap_target,
        pauses: pace.pauses(),
        generation: pace.mean_generation(),
        time_to_target: fwd.left_on_time(cx.now()),
    })
}

/// Who could read a prompt soon enough for a run that is placed now.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Readers {
    /// A prefill runner, and perhaps decode runners.
    Any,
    /// Decode runners only, those that may.
    Decode(PrefillTask),
}

/// Who could read the prompt soon enough for a run that is placed now.
pub(crate) fn readers<D: Dialect>(cx: &Router<D>, fwd: &Forwarded) -> Readers {
    let near = &cx.knowledge.cfg().data_centre;
    let prefill = cx.knowledge.pick_for_prefill(&fwd.service, &[], near);
    let prompt = prompt(cx, fwd, prefill.as_ref());
    let left = prompt.time_to_target;
    let longest = if left > Millis(0) { left } else { LATE_READ };
    let longest = longest.since(PrefillSiteConfig::default().first_event_delay);
    match prompt.prefill_runner_is_in_time(longest.min(LATE_READ)) {
        true => Readers::Any,
        false => Readers::Decode(prompt),
    }
}

async fn read_at<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    runner: Runner,
    longest: Millis,
) -> Result<KeptKv<D>, CallResult> {
    let began = cx.now();
    let tokens = fwd.prompt_tokens();
    let ahead = cx.knowledge.queued_prefill_tokens(&runner.id);
    let _ticket = LoadTicket::begin(&cx.knowledge, &runner.id, tokens);
    let usual = cx.knowledge.with_timing(&fwd.service, |pace| pace.prefill_timeout(ahead + tokens));
    let within = usual.min(longest).min(fwd.left(began));
    let watch = CrashWatch::begin(cx, fwd);
    let read = read_answer(cx, fwd, resume_after, &runner, within).await;
    if read.as_ref().is_err_and(|failed| failed.broke_off) {
        watch.broke_off(cx, &runner).await;
    }
    let (result, detail) = match &read {
        Ok(_) => (CallResult::Answered(Millis(0)), ""),
        Err(failed) => (failed.result, failed.cause.as_str()),
    };
    cx.note_attempt(fwd, AttemptNote { runner: &runner, step: "read", began, result, detail });
    match result {
        CallResult::NotRun => cx.knowledge.pause_runner(&runner.id, REFUSED_READ_PAUSE),
        CallResult::Answered(_) => cx.knowledge.record_run_end(&runner, true),
        CallResult::Failed => cx.knowledge.record_run_end(&runner, false),
        // A line that is too long looks the same; the pause after it is enough.
        CallResult::Unreachable | CallResult::Withheld => {}
    }
    let handle = read.map_err(|failed| failed.result)?;
    let took = cx.now().since(began);
    cx.knowledge.with_timing(&fwd.service, |pace| pace.record_prefill(ahead + tokens, took));
    Ok(KeptKv::new(runner, handle, &cx.knowledge, &cx.exchanger, &cx.dialect))
}

/// Why a prompt was not read.
struct FailedRead {
    result: CallResult,
    cause: String,
    /// True when the connection broke while it was read.
    broke_off: bool,
}

async fn read_answer<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    runner: &Runner,
    within: Millis,
) -> Result<Arc<str>, FailedRead> {
    let lost = |e: ExchangeError| FailedRead {
        result: e.call_result(),
        cause: e.to_string(),
        broke_off: e.broke_off(),
    };
    let failed = |result, cause| FailedRead { result, cause, broke_off: false };
    let sending = Sending { resume_after, step: Step::ReadPrompt, permit: Permit::Needed };
    let reply = cx.attempt(fwd, runner, sending, within).await.map_err(lost)?;
    let marks = reply.marks.clone();
    let (head, body) = cx.exchanger.read_whole(runner, reply, within).await.map_err(lost)?;
    if marks.wrong_runner {
        cx.forget_runner(&runner.id, "another runner has its address");
    }
    if marks.not_run || marks.wrong_runner {
        return Err(failed(CallResult::NotRun, format!("status {}", head.status.as_u16())));
    }
    if !head.status.is_success() {
        return Err(failed(CallResult::Failed, format!("status {}", head.status.as_u16())));
    }
    let unreadable = || failed(CallResult::Failed, "the answer names no cache".to_owned());
    cx.dialect.cache_name(&body).ok_or_else(unreadable)
}
