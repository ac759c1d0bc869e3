//! Finds a decode runner with memory for a generation, and holds it.

use std::sync::Arc;

use bulrushusher_forward::{
    CallResult, QueueRank, RunReport, RunShape, Runner, Stage, tokens_to_hold,
};
use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;
use derive_more::Display;
use hyper::StatusCode;

use crate::answers::answer::PRESSED;
use crate::dialect::Dialect;
use crate::knowledge::Knowledge;
use crate::placement::holds::{HeldMemory, HoldTerms};
use crate::placement::reading::{Readers, readers};
use crate::placement::tries::Tries;
use crate::runners::exchange::ExchangeError;
use crate::runners::exchange::SIDE_CALL_TIMEOUT;
use crate::runners::permit::Permit;
use crate::runners::router::{Forwarded, Router};

/// Pause before a waiting request asks again: a fifth of the time between two ends of generations
/// at a busy pool of some ten runners.
const ASK_AGAIN: Millis = Millis(12);

/// Runners asked in one go.
const ASKED_AT_ONCE: usize = 3;

/// Requests that a runner gets for a generation: the hold, and the run that comes with it.
const HOLD_AND_RUN: u32 = 2;

/// Time for which memory is held when the configuration does not bound it.
const DEFAULT_HOLD: Millis = Millis(2_000);

/// A place in the line, left when dropped.
struct InLine {
    knowledge: Arc<Knowledge>,
    service: ServiceName,
    rank: QueueRank,
}

impl Drop for InLine {
    fn drop(&mut self) {
        self.knowledge.leave_queue(&self.service, &self.rank);
    }
}

/// Why a generation got no memory: what bound when it gave up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.reason())]
pub(crate) enum NoPlace {
    /// No decode runner takes work.
    NoRunner,
    /// Memory may be free, and nobody can read the prompt in time.
    Reading,
    /// The runners that were asked had no room after all.
    Refused,
    /// No decode runner has room, as far as can be forecast.
    Memory,
    /// It would hardly end before its deadline.
    NoTime,
    /// Every decode runner asked for fewer requests.
    Pressed {
        /// When the first of them takes one more.
        come_back: Millis,
    },
}

impl NoPlace {
    /// What callers are told.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            NoPlace::NoRunner => "no decode runner is left",
            NoPlace::Reading => "no runner can read the prompt in time",
            NoPlace::Refused => "the decode runners refused to hold memory",
            NoPlace::Memory => "no decode memory is free",
            NoPlace::NoTime => "too little time is left for the whole answer",
            NoPlace::Pressed { .. } => PRESSED,
        }
    }
}

/// Waits in line for memory until `until`.
///
/// # Errors
/// What bound when there was none.
pub(crate) async fn place<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    tries: &Tries,
    until: Millis,
) -> Result<HeldMemory<D>, NoPlace> {
    let rank =
        cx.knowledge.join_queue(&fwd.service, fwd.is_late(), fwd.priority(), fwd.caller.claim());
    let line = InLine { knowledge: cx.knowledge.clone(), service: fwd.service.clone(), rank };
    let mut refusals = 0;
    loop {
        if !may_end(cx, fwd, tries) {
            return Err(told_at_once(cx, fwd, NoPlace::NoTime));
        }
        if let Some(come_back) = cx.pressed_for(fwd, Some(Stage::Decode)) {
            return Err(told_at_once(cx, fwd, NoPlace::Pressed { come_back }));
        }
        for runner in runners_to_ask(cx, fwd, &line, tries) {
            if let Some(held) = ask(cx, fwd, runner).await {
                return Ok(held);
            }
            refusals += 1;
        }
        if cx.now().plus(ASK_AGAIN) > until {
            return Err(give_up(cx, fwd, refusals));
        }
        tokio::time::sleep(ASK_AGAIN.duration()).await;
    }
}

/// The decode runners to ask now; none while it is not this request's turn.
fn runners_to_ask<D: Dialect>(
    cx: &Router<D>,
    fwd: &Forwarded,
    line: &InLine,
    tries: &Tries,
) -> Vec<Runner> {
    let yields = line.rank.late && cx.knowledge.peers_have_on_time_waiting();
    if yields || !cx.knowledge.with_queue(&line.service, |l| l.may_request_memory(&line.rank)) {
        return Vec::new();
    }
    let reads_itself = match readers(cx, fwd) {
        Readers::Any => None,
        Readers::Decode(prompt) => Some(prompt),
    };
    let shape = RunShape::of(fwd.arrival.size.as_ref());
    let mut open = cx.knowledge.rank_for_decode(&fwd.service, &tries.decodes, shape, reads_itself);
    open.truncate(if cx.knowledge.may_request_memory(open.len()) { ASKED_AT_ONCE } else { 0 });
    open
}

/// Share of the generations like it that must end in time for one to be begun. A late answer is
/// worth a fifth of one on time, and begun in vain it takes the memory of others for seconds.
const LEAST_THAT_END: f64 = 0.3;

/// False when so few generations like this one would end before the deadline that its memory is
/// better given to others, and its caller better told so at once.
fn may_end<D: Dialect>(cx: &Router<D>, fwd: &Forwarded, tries: &Tries) -> bool {
    let events = tries.resume_after.unwrap_or(0);
    let made = (events * cx.knowledge.tokens_per_event(&fwd.service)) as f64;
    let run = RunShape { generated: made, ..RunShape::of(fwd.arrival.size.as_ref()) };
    let left = fwd.left(cx.now());
    let share =
        cx.knowledge.with_timing(&fwd.service, |pace| pace.completion_probability(&run, left));
    share >= LEAST_THAT_END
}

/// Logs what no waiting changes.
fn told_at_once<D: Dialect>(cx: &Router<D>, fwd: &Forwarded, bound: NoPlace) -> NoPlace {
    log::info!(
        "place: given up id={} bound=\"{bound}\" waited_ms={} left_ms={}",
        fwd.arrival.id,
        cx.now().since(fwd.received).0,
        fwd.left(cx.now()).0,
    );
    bound
}

fn tokens_wanted<D: Dialect>(cx: &Router<D>, fwd: &Forwarded) -> u64 {
    let holds = cx.knowledge.cfg().holds;
    fwd.arrival.size.as_ref().map_or(1, |size| tokens_to_hold(size, 0, holds))
}

/// Finds what bound, and logs it with what it rests on.
fn give_up<D: Dialect>(cx: &Router<D>, fwd: &Forwarded, refusals: usize) -> NoPlace {
    let shape = RunShape::of(fwd.arrival.size.as_ref());
    let outlook = cx.knowledge.forecast_summary(&fwd.service, shape);
    let can_be_read = match readers(cx, fwd) {
        Readers::Any => true,
        Readers::Decode(prompt) => {
            !cx.knowledge.rank_for_decode(&fwd.service, &[], shape, Some(prompt)).is_empty()
        }
    };
    let bound = if outlook.runners == 0 {
        NoPlace::NoRunner
    } else if !can_be_read {
        NoPlace::Reading
    } else if outlook.lowest <= outlook.room && refusals > 0 {
        NoPlace::Refused
    } else {
        NoPlace::Memory
    };
    log::info!(
        "place: given up id={} bound=\"{bound}\" late={} waited_ms={} decode_runners={} \
         lowest_forecast={} room={} peers_heard={} prompt_can_be_read={can_be_read} \
         refusals={refusals} waiting_here={}",
        fwd.arrival.id,
        fwd.is_late(),
        cx.now().since(fwd.received).0,
        outlook.runners,
        outlook.lowest,
        outlook.room,
        outlook.peers,
        cx.knowledge.queued_requests(),
    );
    bound
}

/// Asks a runner to hold memory; `None` when it does not.
async fn ask<D: Dialect>(cx: &Router<D>, fwd: &Forwarded, runner: Runner) -> Option<HeldMemory<D>> {
    let began = cx.now();
    if cx.knowledge.acquire_permits(&runner, HOLD_AND_RUN).is_err() {
        return None;
    }
    let tokens = tokens_wanted(cx, fwd);
    cx.knowledge.with_runners(|runners, now| runners.loads.record_probe(&runner.id, now));
    let ttl = hold_time(cx, fwd);
    let shape = RunShape::of(fwd.arrival.size.as_ref());
    let call = cx.dialect.take_hold(&runner.id, tokens, ttl);
    let answer = cx.exchanger.side_call(&runner, call, Permit::Counted, SIDE_CALL_TIMEOUT).await;
    let (asked, word) = match answer {
        Ok((head, body)) => {
            cx.knowledge
                .with_runners(|runners, now| runners.loads.record_reachable(&runner.id, now));
            let terms = HoldTerms { note: RunReport::new(runner.id.clone(), shape), ttl };
            read_answer(cx, runner.clone(), terms, head.status, &body)
        }
        Err(e) => {
            note_unreachable(cx, &runner, &e);
            (None, "unreachable")
        }
    };
    if asked.is_none() {
        cx.knowledge.release_permits(&runner, HOLD_AND_RUN - 1);
    }
    cx.metrics.hold(word);
    log::info!(
        "place: asked for memory id={} runner={} tokens={tokens} result={word} waited_ms={} ms={}",
        fwd.arrival.id,
        runner.id,
        began.since(fwd.received).0,
        cx.now().since(began).0,
    );
    asked
}

fn read_answer<D: Dialect>(
    cx: &Router<D>,
    runner: Runner,
    terms: HoldTerms,
    status: StatusCode,
    body: &[u8],
) -> (Option<HeldMemory<D>>, &'static str) {
    let hold = |runner, lease| {
        HeldMemory::new(runner, lease, terms, &cx.knowledge, &cx.exchanger, &cx.dialect)
    };
    if cx.knowledge.is_superseded(&runner) {
        return (None, "started_again");
    }
    match (status, cx.dialect.hold_name(body)) {
        (StatusCode::OK, Some(lease)) => (Some(hold(runner, Some(lease))), "held"),
        // An engine without holds decides when the generation arrives.
        (StatusCode::NOT_FOUND, _) => (Some(hold(runner, None)), "no_holds"),
        (StatusCode::MISDIRECTED_REQUEST, _) => {
            cx.forget_runner(&runner.id, "another runner has its address");
            (None, "wrong_runner")
        }
        _ => {
            cx.knowledge.with_runners(|r, now| r.loads.record_hold_refusal(&runner.id, now));
            (None, "full")
        }
    }
}

fn note_unreachable<D: Dialect>(cx: &Router<D>, runner: &Runner, e: &ExchangeError) {
    log::info!("place: runner={} cause=\"{e}\"", runner.id);
    cx.knowledge.record_call(runner, CallResult::Unreachable);
}

fn hold_time<D: Dialect>(cx: &Router<D>, fwd: &Forwarded) -> Millis {
    let longest = cx.knowledge.engine(&fwd.service).map(|engine| engine.max_hold);
    longest.filter(|longest| *longest > Millis(0)).unwrap_or(DEFAULT_HOLD)
}
