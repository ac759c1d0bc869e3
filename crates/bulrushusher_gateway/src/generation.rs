//! Generations: memory at a decode runner first, then the prompt at a prefill runner, then the run.

use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, AttemptPlan, CallResult, NextStep, Runner, Stage};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use bytes::Bytes;
use hyper::Response;
use hyper::http::response;

use crate::answer::{Refusal, pass_on};
use crate::body::ReplyBody;
use crate::dialect::{Dialect, Step};
use crate::exchange::{ExchangeError, Reply};
use crate::holds::{HeldMemory, KeptKv};
use crate::placement::place;
use crate::pump;
use crate::router::{AttemptNote, Forwarded, LoadTicket, Router};

/// Readings of one prompt that are tried while its memory is held.
const MOST_READS: usize = 2;

/// A prefill runner that did not read a prompt is full or changes its stage; it is left alone for
/// the time of a few prompts.
const REFUSED_READ_PAUSE: Millis = Millis(300);

/// A prompt that was read waits this long for other memory: runners keep a KV cache that nobody
/// takes for about half a second.
const PLACE_AGAIN: Millis = Millis(250);

/// A stream that goes on elsewhere waits this long for memory: callers leave after a pause of some
/// four targets.
const RESUME_WAIT: Millis = Millis(1_500);

/// A run whose first event has come, or is about to.
#[derive(Debug)]
pub(crate) struct Run<D: Dialect> {
    pub runner: Runner,
    pub reply: Reply,
    pub began: Millis,
    /// Memory and a place at the runner, until the run is over.
    pub held: Option<HeldMemory<D>>,
    pub _ticket: LoadTicket,
}

/// Why there is no run.
pub(crate) enum NoRun {
    /// An attempt ended without one.
    Ended(AttemptEnd, &'static str),
    /// The run failed; its answer can be passed on.
    Failed(response::Parts, Bytes),
    /// There is no memory, or nobody to read the prompt.
    Unplaced(&'static str),
}

/// Serves a generation up to the head of its stream; a task of its own carries the rest.
///
/// # Errors
/// The refusal to send when there is no stream to pass on.
pub(crate) async fn generate<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
) -> Result<Response<ReplyBody>, Refusal> {
    let mut plan = AttemptPlan::new(fwd.route.kind, fwd.route.max_attempts);
    let late = fwd.is_late();
    let wait = cx.knowledge.with_line(&fwd.service, |l| l.longest_wait(late, fwd.route.target));
    let until = fwd.received.plus(wait).min(fwd.ends);
    let mut tried = Vec::new();
    loop {
        let run = begin_run(cx, fwd, fwd.arrival.resume_after, &mut tried, until).await;
        let (end, reason, failed) = match run {
            Ok(run) => return Ok(pump::start(cx.clone(), fwd.clone(), plan, run)),
            Err(NoRun::Unplaced(reason)) => {
                return Err(Refusal::of(plan.final_answer(), reason, cx.come_back(fwd)));
            }
            Err(NoRun::Failed(head, body)) => {
                (AttemptEnd::RunFailed, "the run failed", Some((head, body)))
            }
            Err(NoRun::Ended(end, reason)) => (end, reason, None),
        };
        match cx.knowledge.next_step(&fwd.service, &mut plan, end) {
            NextStep::TryAgain => {}
            NextStep::PassOn => {
                let Some((head, body)) = failed else {
                    return Err(Refusal::OutcomeUnknown(reason));
                };
                return Ok(pass_on(head, body));
            }
            NextStep::Finish(end) => return Err(Refusal::of(end, reason, cx.come_back(fwd))),
        }
    }
}

/// Begins a run after the last event that the caller has.
pub(crate) async fn begin_run<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    tried: &mut Vec<RunnerId>,
    until: Millis,
) -> Result<Run<D>, NoRun> {
    if !cx.knowledge.is_split(&fwd.service) {
        return begin_whole(cx, fwd, resume_after, tried).await;
    }
    let mut held = place_or_refuse(cx, fwd, tried, until).await?;
    let kv = read_prompt(cx, fwd, resume_after, &held).await?;
    if !held.is_good(cx.now()) {
        // The runner began to leave, or the lease is over: it must not get the run.
        log::info!("place: again id={} runner={}", fwd.arrival.id, held.runner.id);
        let until = cx.now().plus(PLACE_AGAIN).min(fwd.ends);
        held = place_or_refuse(cx, fwd, tried, until).await?;
    }
    begin_split(cx, fwd, resume_after, tried, held, kv).await
}

async fn place_or_refuse<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    tried: &[RunnerId],
    until: Millis,
) -> Result<HeldMemory<D>, NoRun> {
    let held = place(cx, fwd, tried, until).await;
    held.ok_or(NoRun::Unplaced("no decode memory is free"))
}

/// A stream of a service whose runners do all of it.
async fn begin_whole<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    tried: &mut Vec<RunnerId>,
) -> Result<Run<D>, NoRun> {
    let near = cx.knowledge.cfg().data_centre.clone();
    let Some(runner) = cx.knowledge.pick_for_call(&fwd.service, tried, &near) else {
        return Err(NoRun::Unplaced("no runner is left"));
    };
    tried.push(runner.id.clone());
    run_at(cx, fwd, resume_after, runner, None, Step::Whole).await
}

async fn begin_split<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    tried: &mut Vec<RunnerId>,
    held: HeldMemory<D>,
    mut kv: Option<KeptKv<D>>,
) -> Result<Run<D>, NoRun> {
    let runner = held.runner.clone();
    let lease = held.lease.clone();
    let cache = kv.as_ref().map(|kv| kv.cache.clone());
    let step = Step::Generate { kv: cache.as_ref(), hold: lease.as_deref() };
    let run = run_at(cx, fwd, resume_after, runner.clone(), Some(held), step).await;
    match &run {
        Ok(_) => {
            if let Some(kv) = &mut kv {
                kv.mark_taken();
            }
        }
        // The memory was refused although it was held, or the KV cache was gone: the runner itself
        // is as good as before. Only one that does not answer is left out.
        Err(NoRun::Ended(AttemptEnd::NotRun, _)) => {}
        Err(_) => tried.push(runner.id),
    }
    run
}

async fn run_at<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    runner: Runner,
    mut held: Option<HeldMemory<D>>,
    step: Step<'_>,
) -> Result<Run<D>, NoRun> {
    let began = cx.now();
    let ticket = LoadTicket::begin(&cx.knowledge, &runner.id, 0);
    let within = match fwd.route.kind.may_repeat() {
        true => pump::longest_silence(fwd).min(fwd.left(began)),
        false => fwd.left(began),
    };
    let sent = cx.attempt(fwd, &runner, resume_after, step, within).await;
    let no_run = match sent {
        Ok(reply) if reply.head.status.is_success() && reply.marks.sealed => {
            if let Some(held) = &mut held {
                held.mark_used();
            }
            note(cx, fwd, &runner, "generate", began, (CallResult::Answered(Millis(0)), ""));
            return Ok(Run { runner, reply, began, held, _ticket: ticket });
        }
        Ok(reply) => refused(cx, fwd, &runner, reply).await,
        Err(e) => {
            let went = (CallResult::Unreachable, &*e.to_string());
            note(cx, fwd, &runner, "generate", began, went);
            return Err(NoRun::Ended(end_of(&e), "no decode runner answered"));
        }
    };
    let (result, detail) = match &no_run {
        NoRun::Ended(AttemptEnd::NotRun, reason) => (CallResult::NotRun, *reason),
        NoRun::Ended(_, reason) => (CallResult::Unreachable, *reason),
        NoRun::Failed(..) => (CallResult::Failed, "failed"),
        NoRun::Unplaced(reason) => (CallResult::NotRun, *reason),
    };
    note(cx, fwd, &runner, "generate", began, (result, detail));
    Err(no_run)
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

/// Has a prefill runner read the prompt. `None` when there is no prefill runner at all: the decode
/// runner reads the prompt itself then.
async fn read_prompt<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    held: &HeldMemory<D>,
) -> Result<Option<KeptKv<D>>, NoRun> {
    let near = &held.runner.data_centre;
    let mut tried = Vec::new();
    for read in 0..MOST_READS {
        let Some(runner) = cx.knowledge.pick_for_prefill(&fwd.service, &tried, near) else {
            break;
        };
        if read > 0 && !held.is_good(cx.now()) {
            return Err(NoRun::Unplaced("the prompt was not read in time"));
        }
        tried.push(runner.id.clone());
        if read > 0 && !cx.knowledge.take_retry(&fwd.service) {
            return Err(NoRun::Unplaced("the prompt was not read"));
        }
        let longest = held.time_left(cx.now());
        if let Some(kv) = read_prompt_at(cx, fwd, resume_after, runner, longest).await {
            return Ok(Some(kv));
        }
    }
    match cx.knowledge.count_stage(&fwd.service, Stage::Prefill) {
        0 => Ok(None),
        _ => Err(NoRun::Unplaced("the prompt was not read")),
    }
}

async fn read_prompt_at<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    runner: Runner,
    longest: Millis,
) -> Option<KeptKv<D>> {
    let began = cx.now();
    let tokens = fwd.arrival.size.map_or(0, |size| size.prompt);
    let _ticket = LoadTicket::begin(&cx.knowledge, &runner.id, tokens);
    let usual = cx.knowledge.with_pace(&fwd.service, |pace| pace.longest_read(tokens));
    let within = usual.min(longest).min(fwd.left(began));
    let read = read_answer(cx, fwd, resume_after, &runner, within).await;
    let result = match &read {
        Ok(_) => CallResult::Answered(Millis(0)),
        Err((result, _)) => *result,
    };
    let detail = read.as_ref().err().map_or("", |(_, cause)| cause.as_str());
    note(cx, fwd, &runner, "read", began, (result, detail));
    if result == CallResult::NotRun {
        let until = cx.now().plus(REFUSED_READ_PAUSE);
        cx.knowledge.with_runners(|runners, _| runners.loads.pause(&runner.id, until));
    }
    let handle = read.ok()?;
    let took = cx.now().since(began);
    cx.knowledge.with_pace(&fwd.service, |pace| pace.note_read(tokens, took));
    Some(KeptKv::new(runner, handle, &cx.exchanger, &cx.dialect))
}

async fn read_answer<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    resume_after: Option<u64>,
    runner: &Runner,
    within: Millis,
) -> Result<Arc<str>, (CallResult, String)> {
    let lost = |e: ExchangeError| (CallResult::Unreachable, e.to_string());
    let reply =
        cx.attempt(fwd, runner, resume_after, Step::ReadPrompt, within).await.map_err(lost)?;
    let marks = reply.marks.clone();
    let (head, body) = cx.exchanger.read_whole(runner, reply, within).await.map_err(lost)?;
    if marks.wrong_runner {
        cx.forget_runner(&runner.id, "another runner has its address");
    }
    if marks.not_run || marks.wrong_runner {
        return Err((CallResult::NotRun, format!("status {}", head.status.as_u16())));
    }
    if !head.status.is_success() {
        return Err((CallResult::Failed, format!("status {}", head.status.as_u16())));
    }
    let unreadable = || (CallResult::Failed, "the answer names no cache".to_owned());
    cx.dialect.kv_handle(&body).ok_or_else(unreadable)
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
    cx.note_attempt(fwd, AttemptNote { runner: &runner.id, step, began, result, detail });
}

fn end_of(e: &ExchangeError) -> AttemptEnd {
    match e {
        ExchangeError::Unsent { .. } => AttemptEnd::Unsent,
        ExchangeError::NoAnswer { .. } | ExchangeError::Foreign => AttemptEnd::Unknown,
    }
}

/// How long a resumed run may look for memory from `now`.
pub(crate) fn resume_until(fwd: &Forwarded, now: Millis) -> Millis {
    now.plus(RESUME_WAIT).min(fwd.ends)
}
