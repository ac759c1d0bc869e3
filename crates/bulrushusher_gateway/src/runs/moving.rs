//! Moves a run with its memory to another decode runner, while its caller's stream goes on.
//!
//! The memory is copied while the run goes on; then the run is stopped, what it made meanwhile is
//! copied too, and the run goes on at the other runner after the last event that the caller has.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, RunReport, Runner};
use bulrushusher_time::Millis;
use hyper::StatusCode;

use crate::dialect::{Dialect, RunMove, Step};
use crate::knowledge::MoveDecision;
use crate::placement::holds::{HeldMemory, HoldTerms, KeptKv};
use crate::placement::tries::NoRun;
use crate::runners::permit::Permit;
use crate::runners::router::{Forwarded, Router, Sending};
use crate::runs::begin::run_at;
use crate::runs::run::Run;

/// Longest wait for one copy. A copy takes some milliseconds; callers see the second one as a pause, and
/// this is shorter than what they take for late.
const COPY_TIMEOUT: Millis = Millis(200);

/// Pause before a run that could not move is looked at again: a run or two has ended by then.
const MOVE_AGAIN: Millis = Millis(250);

/// A run that was stopped, with its memory at the other runner.
pub(crate) struct Moved<D: Dialect> {
    /// Its place at the other runner.
    held: HeldMemory<D>,
    /// Its memory, kept where it was stopped.
    kv: KeptKv<D>,
    /// What it was there.
    stopped: RunReport,
}

type Copying<D> = Pin<Box<dyn Future<Output = Option<Box<Moved<D>>>> + Send>>;

/// How far a run's move is.
pub(crate) enum Moving<D: Dialect> {
    /// It stays where it is; a move may be tried from then on.
    Stays {
        /// Not before.
        until: Millis,
    },
    /// Its memory is copied.
    Copies(Copying<D>),
    /// It was stopped.
    Stopped(Box<Moved<D>>),
}

impl<D: Dialect> Moving<D> {
    /// Nothing is tried before.
    pub(crate) fn not_before(until: Millis) -> Moving<D> {
        Moving::Stays { until }
    }

    /// True once the run was stopped to go on elsewhere.
    pub(crate) fn is_stopped(&self) -> bool {
        matches!(self, Moving::Stopped(_))
    }

    /// Begins a move if one is due.
    pub(crate) fn look(&mut self, cx: &Arc<Router<D>>, fwd: &Forwarded, held: &HeldMemory<D>) {
        match self {
            Moving::Stays { until } if cx.now() >= *until => {}
            Moving::Stays { .. } | Moving::Copies(_) | Moving::Stopped(_) => return,
        }
        let cause = match cx.knowledge.move_decision(&fwd.service, held.run()) {
            MoveDecision::Stay => return,
            MoveDecision::NoCapacity => "no runner has room",
            // For the runner that gets it, it is one more request than callers made.
            MoveDecision::Move { .. } if !cx.knowledge.take_retry(&fwd.service) => {
                "no repeat is left"
            }
            MoveDecision::Move { to, report: note } => {
                let (cx, fwd, from) = (cx.clone(), fwd.clone(), held.runner.clone());
                let copying = async move { copy(&cx, &fwd, from, to, note).await };
                *self = Moving::Copies(Box::pin(copying));
                return;
            }
        };
        log::info!("stream: run cannot move id={} cause=\"{cause}\"", fwd.arrival.id);
        *self = Moving::Stays { until: cx.now().plus(MOVE_AGAIN) };
    }

    /// Waits until a copy has ended, one way or the other; for ever when there is none.
    pub(crate) async fn progress(&mut self, now: impl Fn() -> Millis) {
        let Moving::Copies(copying) = self else { return std::future::pending().await };
        *self = match copying.await {
            Some(moved) => Moving::Stopped(moved),
            None => Moving::Stays { until: now().plus(MOVE_AGAIN) },
        };
    }

    /// The stream has ended: the run that was stopped, if it was by this move.
    pub(crate) async fn settle(mut self, now: impl Fn() -> Millis) -> Option<Box<Moved<D>>> {
        if matches!(self, Moving::Copies(_)) {
            self.progress(now).await;
        }
        match self {
            Moving::Stopped(moved) => Some(moved),
            Moving::Stays { .. } | Moving::Copies(_) => None,
        }
    }
}

/// Copies the memory of a run, stops it and copies the rest; `None` when it goes on where it is.
async fn copy<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    from: Runner,
    to: Runner,
    note: RunReport,
) -> Option<Box<Moved<D>>> {
    let began = cx.now();
    let made = note.generated;
    let held = place_of(cx, &to, &note);
    let kv = match cx.knowledge.acquire_permits(&to, 1) {
        Ok(()) => copy_and_stop(cx, fwd, &from, &to).await,
        Err(pressure) => Err(pressure.to_string()),
    };
    let took = cx.now().since(began);
    let (result, cause) = match &kv {
        Ok(_) => ("stopped", ""),
        Err(cause) => ("stays", cause.as_str()),
    };
    cx.metrics.attempt("move", result, took.0 as f64);
    log::info!(
        "stream: run moves id={} from={} to={} made={made} result={result} cause=\"{cause}\" ms={}",
        fwd.arrival.id,
        from.id,
        to.id,
        took.0,
    );
    kv.ok().map(|kv| Box::new(Moved { held, kv, stopped: note }))
}

/// A run's place at a runner that it comes to with what it has made.
fn place_of<D: Dialect>(cx: &Arc<Router<D>>, at: &Runner, note: &RunReport) -> HeldMemory<D> {
    let note = RunReport {
        runner: at.id.clone(),
        is_generating: false,
        generated_at_join: note.generated,
        ..note.clone()
    };
    let terms = HoldTerms { note, ttl: COPY_TIMEOUT };
    HeldMemory::new(at.clone(), None, terms, &cx.knowledge, &cx.exchanger, &cx.dialect)
}

async fn copy_and_stop<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    from: &Runner,
    to: &Runner,
) -> Result<KeptKv<D>, String> {
    let mut copy = call(cx, fwd, from, to, CopyOf::Running).await?;
    let whole = call(cx, fwd, from, to, CopyOf::Stopped).await?;
    // Both are one and the same: what frees the first would free the second.
    copy.mark_taken();
    Ok(whole)
}

/// In which state a run is copied.
#[derive(Clone, Copy, Debug)]
enum CopyOf {
    Running,
    /// It is stopped first.
    Stopped,
}

async fn call<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    from: &Runner,
    to: &Runner,
    copy: CopyOf,
) -> Result<KeptKv<D>, String> {
    // What was begun is made whole, or the run would be stopped for nothing.
    let (stops, permit) = match copy {
        CopyOf::Running => (false, Permit::Needed),
        CopyOf::Stopped => (true, Permit::Exempt),
    };
    let run = RunMove { runner: &from.id, request: &fwd.arrival.id, to: to.address, stops };
    let call = cx.dialect.move_run(&run);
    let answer = cx.exchanger.side_call(from, call, permit, COPY_TIMEOUT).await;
    let (head, body) = answer.map_err(|e| e.to_string())?;
    // A run that was stopped is kept at its runner when the rest cannot be copied.
    let is_kept = head.status == StatusCode::SERVICE_UNAVAILABLE && stops;
    let handle = cx.dialect.cache_name(&body);
    match handle.filter(|_| head.status == StatusCode::OK || is_kept) {
        Some(handle) => {
            Ok(KeptKv::new(from.clone(), handle, &cx.knowledge, &cx.exchanger, &cx.dialect))
        }
        None => Err(format!("status {}", head.status.as_u16())),
    }
}

/// Lets a run that was stopped go on after `last_event`: at the runner that has the copy, or where it was
/// stopped if that one surely does not run it. `None` when it may run there, or goes on nowhere.
pub(crate) async fn resume<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &Forwarded,
    last_event: Option<u64>,
    moved: Box<Moved<D>>,
) -> Option<Run<D>> {
    let Moved { held, mut kv, stopped } = *moved;
    let cache = kv.cache.clone();
    let step = Step::Generate { kv: Some(&cache), hold: None };
    let to = held.runner.clone();
    let sending = Sending { resume_after: last_event, step, permit: Permit::Counted };
    let mut run = run_at(cx, fwd, to, Some(held), sending).await;
    if let Err(NoRun::Ended(AttemptEnd::NotRun | AttemptEnd::Unsent, cause)) = &run {
        let source = kv.runner().clone();
        log::info!(
            "stream: run goes back id={} runner={} cause=\"{cause}\"",
            fwd.arrival.id,
            source.id
        );
        let held = place_of(cx, &source, &stopped);
        let back = Sending { permit: Permit::Exempt, ..sending };
        run = run_at(cx, fwd, source, Some(held), back).await;
        run = run.map(|run| Run { stays_until: cx.now().plus(MOVE_AGAIN), ..run });
    }
    let run = run.ok()?;
    kv.mark_taken();
    Some(run)
}
