//! Begins a run: memory at a decode runner first, then the prompt at a prefill runner, then the run.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, CallResult, Runner};
use bulrushusher_time::Millis;

use crate::answers::answer::{PRESSED, Withheld};
use crate::dialect::{Dialect, Step};
use crate::placement::holds::{HeldMemory, KeptKv};
use crate::placement::place::{NoPlace, place};
use crate::placement::reading::read_prompt;
use crate::placement::tries::{NoRun, Tries};
use crate::runners::crashes::CrashWatch;
use crate::runners::exchange::Reply;
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptNote, Forwarded, LoadTicket, Router, Sending};
use crate::runs::run::{Run, longest_silence};

/// A prompt that was read waits this long for other memory: runners keep a KV cache that nobody
/// takes for about half a second.
const PLACE_AGAIN: Millis = Millis(250);

/// Begins a run after the last event that the caller has.
pub(crate) async fn begin_run<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    tries: &mut Tries,
    until: Millis,
) -> Result<Run<D>, NoRun> {
    cx.may_run(fwd).map_err(NoRun::Withheld)?;
    if !cx.knowledge.is_split(&fwd.service) {
        return begin_whole(cx, fwd, tries).await;
    }
    let mut held = place_or_refuse(cx, fwd, tries, until).await?;
    // Its key may have been taken away while it waited; a prompt that is read counts as a run.
    cx.may_run(fwd).map_err(NoRun::Withheld)?;
    let mut kv = read_prompt(cx, fwd, tries, &mut held).await?;
    if !held.is_good(cx.now()) {
        // The runner began to leave or started again, or the lease is over: it must not get the run.
        log::info!("place: again id={} runner={}", fwd.arrival.id, held.runner.id);
        let until = cx.now().plus(PLACE_AGAIN).min(fwd.ends);
        held = place_or_refuse(cx, fwd, tries, until).await?;
    }
    if kv.as_ref().is_some_and(KeptKv::is_lost) {
        log::info!("read: again id={} cause=\"its runner started again\"", fwd.arrival.id);
        kv = read_prompt(cx, fwd, tries, &mut held).await?;
    }
    // It may have ended another runner while its prompt was read, or its key was taken away.
    cx.may_run(fwd).map_err(NoRun::Withheld)?;
    begin_split(cx, fwd, tries, held, kv).await
}

async fn place_or_refuse<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    tries: &Tries,
    until: Millis,
) -> Result<HeldMemory<D>, NoRun> {
    let held = place(cx, fwd, tries, until).await;
    held.map_err(|bound| match bound {
        NoPlace::Pressed { come_back } => {
            NoRun::Withheld(Withheld { reason: bound.reason(), come_back })
        }
        _ => NoRun::Unplaced(bound.reason()),
    })
}

/// A stream of a service whose runners do all of it.
async fn begin_whole<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    tries: &mut Tries,
) -> Result<Run<D>, NoRun> {
    let near = cx.knowledge.cfg().data_centre.clone();
    let Some(runner) = cx.knowledge.pick_for_call(&fwd.service, &tries.decodes, &near) else {
        return Err(match cx.pressed_for(fwd, None) {
            Some(come_back) => NoRun::Withheld(Withheld { reason: PRESSED, come_back }),
            None => NoRun::Unplaced("no runner is left"),
        });
    };
    tries.decodes.push(runner.id.clone());
    let resume_after = tries.resume_after;
    let sending = Sending { resume_after, step: Step::Whole, permit: Permit::Needed };
    run_at(cx, fwd, runner, None, sending).await
}

async fn begin_split<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    tries: &mut Tries,
    held: HeldMemory<D>,
    mut kv: Option<KeptKv<D>>,
) -> Result<Run<D>, NoRun> {
    let runner = held.runner.clone();
    let lease = held.lease.clone();
    let cache = kv.as_ref().map(|kv| kv.cache.clone());
    let step = Step::Generate { kv: cache.as_ref(), hold: lease.as_deref() };
    let sending = Sending { resume_after: tries.resume_after, step, permit: Permit::Counted };
    let run = run_at(cx, fwd, runner.clone(), Some(held), sending).await;
    match &run {
        Ok(_) => {
            if let Some(kv) = &mut kv {
                kv.mark_taken();
            }
        }
        // Memory was held, so the KV cache was not to be had: its runner loses them, and the next
        // decode runner reads the prompt itself.
        // Or the decode runner takes nothing: it is not asked again for this request either.
        Err(NoRun::Ended(AttemptEnd::NotRun, _)) => {
            cx.knowledge.record_run_end(&runner, false);
            if let Some(kv) = &kv {
                cx.knowledge.record_call(kv.runner(), CallResult::Unreachable);
                tries.read_at_decode = true;
            }
            tries.decodes.push(runner.id);
        }
        Err(_) => tries.decodes.push(runner.id),
    }
    run
}

pub(crate) async fn run_at<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    runner: Runner,
    mut held: Option<HeldMemory<D>>,
    sending: Sending<'_>,
) -> Result<Run<D>, NoRun> {
    let began = cx.now();
    let ticket = LoadTicket::begin(&cx.knowledge, &runner.id, 0);
    let within = match fwd.route.kind.may_repeat() {
        true => longest_silence(fwd).min(fwd.left(began)),
        false => fwd.left(began),
    };
    let reads = held.as_ref().is_some_and(HeldMemory::has_read_itself);
    let watch = reads.then(|| cx.knowledge.track_prefill(&runner));
    let mut crash_watch = CrashWatch::begin(cx, fwd);
    let sending = cx.attempt(fwd, &runner, sending, within);
    let sent = note_silence(cx, fwd, &runner, sending).await;
    let no_run = match sent {
        Ok(reply) if reply.head.status.is_success() && reply.marks.sealed => {
            if let Some(held) = &mut held {
                held.mark_used();
            }
            if let Some(watch) = watch {
                watch.finish(&fwd.service, fwd.prompt_tokens(), fwd.route.gap_target);
            }
            note(cx, fwd, &runner, step_word(reads), began, (CallResult::Answered(Millis(0)), ""));
            let stays_until = Millis(0);
            crash_watch.run_begins(cx.now());
            let watch = crash_watch;
            return Ok(Run { runner, reply, began, held, stays_until, watch, _ticket: ticket });
        }
        Ok(reply) => refused(cx, fwd, &runner, reply).await,
        Err(e) => {
            if e.broke_off() {
                crash_watch.broke_off(cx, &runner).await;
            }
            let went = (e.call_result(), &*e.to_string());
            note(cx, fwd, &runner, "generate", began, went);
            if !e.is_withheld() {
                cx.knowledge.record_run_end(&runner, false);
            }
            return Err(NoRun::Ended(e.attempt_end(), "no decode runner answered"));
        }
    };
    let (result, detail) = match &no_run {
        NoRun::Ended(AttemptEnd::NotRun, reason) => (CallResult::NotRun, *reason),
        NoRun::Ended(_, reason) => (CallResult::Unreachable, *reason),
        NoRun::Failed(..) => (CallResult::Failed, "failed"),
        NoRun::Unplaced(reason) => (CallResult::NotRun, *reason),
        NoRun::Withheld(withheld) => (CallResult::NotRun, withheld.reason),
    };
    note(cx, fwd, &runner, "generate", began, (result, detail));
    if matches!(result, CallResult::Failed | CallResult::Unreachable) {
        cx.knowledge.record_run_end(&runner, false);
    }
    Err(no_run)
}

/// Waits for an answer, and counts a runner that stays silent for too long as failing while the
/// caller still waits: others need not meet it too.
async fn note_silence<D: Dialect, T>(
    cx: &Router<D>,
    fwd: &Forwarded,
    runner: &Runner,
    sending: impl Future<Output = T>,
) -> T {
    let mut sending = std::pin::pin!(sending);
    let silence = longest_silence(fwd).duration();
    match tokio::time::timeout(silence, &mut sending).await {
        Ok(sent) => sent,
        Err(_) => {
            cx.knowledge.record_run_end(runner, false);
            sending.await
        }
    }
}

/// Reads an answer that is no stream.
async fn refused<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    runner: &Runner,
    reply: Reply,
) -> NoRun {
    let marks = reply.marks.clone();
    if marks.wrong_runner {
        cx.forget_runner(&runner.id, "another runner has its address");
    }
    let within = fwd.left(cx.now());
    let whole = cx.exchanger.read_whole(runner, reply, within).await;
    if marks.not_run || marks.wrong_runner {
        return NoRun::Ended(AttemptEnd::NotRun, "the decode runner did not take it");
    }
    match whole {
        Ok((head, body)) if !head.status.is_success() => NoRun::Failed(head, body),
        _ => NoRun::Ended(AttemptEnd::Unknown, "the decode runner's answer cannot be used"),
    }
}

fn step_word(reads: bool) -> &'static str {
    if reads { "read_and_generate" } else { "generate" }
}

/// How a step went, without the runner and the time it began.
type Went<'a> = (CallResult, &'a str);

fn note<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    runner: &Runner,
    step: &'static str,
    began: Millis,
    (result, detail): Went<'_>,
) {
    cx.note_attempt(fwd, AttemptNote { runner, step, began, result, detail });
}
