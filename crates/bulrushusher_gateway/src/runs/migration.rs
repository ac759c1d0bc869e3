//! Live migration of a run with its memory to another decode runner, without ending the caller's
//! stream.
//!
//! The memory is copied while the run continues; then the run is stopped, the memory added
//! meanwhile is copied too, and the run resumes at the other runner after the last event that the
//! caller received.
//!
//! When the answer to the call that stops the run is lost, the run may continue, may have been stopped
//! or may be stopped later. Its stream is forwarded as before; if it ends without a mark of its end, the
//! run resumes at the copy.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, RunReport, Runner, StopOutcome};
use bulrushusher_time::Millis;
use bulrushusher_world::CacheHandle;
use hyper::StatusCode;

use crate::dialect::{Dialect, RunCopy, Step};
use crate::placement::attempts::RunError;
use crate::placement::holds::{HoldTerms, KvCacheGuard, MemoryHold};
use crate::runners::exchange::ExchangeError;
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptSpec, ForwardedRequest, Router};
use crate::runners::send_spec::{CallerSend, SendPurpose};
use crate::runs::begin::{HeadWait, run_at};
use crate::runs::run::Run;
use crate::shared::MoveDecision;

/// Timeout of one copy. A copy takes some milliseconds; callers see the second copy as a gap, and
/// this is shorter than a late gap.
const COPY_TIMEOUT: Millis = Millis(200);

/// Delay before another attempt to migrate a run: one or two other runs have ended by then.
const MIGRATION_RETRY_DELAY: Millis = Millis(250);

/// A run that was stopped, or may have been, and whose memory is at the other runner.
pub(crate) struct MigratedRun<D: Dialect> {
    /// The run's memory at the other runner.
    held: MemoryHold<D>,
    /// The run's memory at its former runner.
    kv: KvCacheGuard<D>,
    /// The run's report at its former runner.
    report: RunReport,
}

type Copying<D> = Pin<Box<dyn Future<Output = Migration<D>> + Send>>;

/// State of a run's migration.
pub(crate) enum Migration<D: Dialect> {
    /// No migration of the run is in progress.
    Idle {
        /// Time before which no migration is started.
        until: Millis,
    },
    /// The run's memory is being copied while the run continues.
    Copying(Copying<D>),
    /// The run was stopped, to be resumed at the other runner.
    Stopped(Box<MigratedRun<D>>),
    /// The answer to the call that stops the run was lost: the run continues, was stopped, or is
    /// stopped later. It is not migrated again.
    MaybeStopped(Box<MigratedRun<D>>),
}

impl<D: Dialect> Migration<D> {
    /// Creates an idle migration that does not start before `until`.
    pub(crate) fn not_before(until: Millis) -> Migration<D> {
        Migration::Idle { until }
    }

    /// True once the run was stopped to be resumed elsewhere.
    pub(crate) fn is_stopped(&self) -> bool {
        matches!(self, Migration::Stopped(_))
    }

    /// True if the run may have been stopped, or may still be.
    pub(crate) fn may_stop(&self) -> bool {
        !matches!(self, Migration::Idle { .. })
    }

    /// Starts to copy the run to another decode runner if its runner is about to run out of memory
    /// and would preempt it.
    pub(crate) fn start_if_due(
        &mut self,
        cx: &Arc<Router<D>>,
        fwd: &ForwardedRequest,
        held: &MemoryHold<D>,
    ) {
        match self {
            Migration::Idle { until } if cx.now() >= *until => {}
            Migration::Idle { .. }
            | Migration::Copying(_)
            | Migration::Stopped(_)
            | Migration::MaybeStopped(_) => return,
        }
        let cause = match cx.shared.move_decision(&cx.destination(fwd), held.run()) {
            MoveDecision::Stay => return,
            MoveDecision::NoCapacity => "no runner has room",
            // The other runner must not fetch a KV cache from a region that is no longer allowed.
            MoveDecision::Move { .. } if !cx.permits(fwd, &held.runner) => {
                "the region of its runner is not allowed"
            }
            // The receiving runner may refuse the run, which then returns to its former runner.
            MoveDecision::Move { .. } if !fwd.arrivals.reserve(2) => "no repeat is left",
            MoveDecision::Move { to, report } => {
                let (cx, fwd, from) = (cx.clone(), fwd.clone(), held.runner.clone());
                let copying = async move { copy(&cx, &fwd, from, *to, report).await };
                *self = Migration::Copying(Box::pin(copying));
                return;
            }
        };
        log::info!("stream: run cannot move id={} cause=\"{cause}\"", fwd.request.id);
        *self = Migration::Idle { until: cx.now().plus(MIGRATION_RETRY_DELAY) };
    }

    /// Waits until the copy in progress has succeeded or failed; pending forever when there is
    /// none.
    pub(crate) async fn progress(&mut self) {
        let Migration::Copying(copying) = self else { return std::future::pending().await };
        *self = copying.await;
    }

    /// Finishes the copy in progress, if any, after the stream has ended.
    pub(crate) async fn settle(mut self) -> Migration<D> {
        if matches!(self, Migration::Copying(_)) {
            self.progress().await;
        }
        self
    }
}

/// Result of copying a run and stopping it.
enum CopyOutcome<D: Dialect> {
    /// The run continues where it is.
    Stays { cause: String },
    /// The run was stopped and its memory was copied.
    Stopped { kv: KvCacheGuard<D> },
    /// The run may have been stopped; its memory was copied before.
    MaybeStopped { kv: KvCacheGuard<D>, cause: String },
}

impl<D: Dialect> CopyOutcome<D> {
    /// Its label in the log and in metrics.
    fn label(&self) -> &'static str {
        match self {
            CopyOutcome::Stays { .. } => "stays",
            CopyOutcome::Stopped { .. } => "stopped",
            CopyOutcome::MaybeStopped { .. } => "maybe_stopped",
        }
    }

    /// Why the run was not stopped for certain; empty if it was.
    fn cause(&self) -> &str {
        match self {
            CopyOutcome::Stays { cause } | CopyOutcome::MaybeStopped { cause, .. } => cause,
            CopyOutcome::Stopped { .. } => "",
        }
    }
}

/// Copies the memory of a run, stops the run and copies the rest.
async fn copy<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    from: Runner,
    to: Runner,
    report: RunReport,
) -> Migration<D> {
    let started = cx.now();
    let generated = report.generated;
    let held = hold_at(cx, &to, &report);
    let outcome = match cx.shared.acquire_permits(&to, 1) {
        Ok(()) => {
            let outcome = copy_and_stop(cx, fwd, &from, &to).await;
            // A run that may continue resumes later or not at all.
            if !matches!(outcome, CopyOutcome::Stopped { .. }) {
                cx.shared.release_permits(&to, 1);
            }
            outcome
        }
        Err(pressure) => CopyOutcome::Stays { cause: pressure.to_string() },
    };
    let took = cx.now().since(started);
    let result = outcome.label();
    cx.metrics.record_attempt("move", result, took.0 as f64);
    log::info!(
        "stream: run moves id={} from={} to={} made={generated} result={result} \
         cause=\"{}\" ms={}",
        fwd.request.id,
        from.id,
        to.id,
        outcome.cause(),
        took.0,
    );
    match outcome {
        CopyOutcome::Stays { .. } => {
            fwd.arrivals.release();
            Migration::Idle { until: cx.now().plus(MIGRATION_RETRY_DELAY) }
        }
        CopyOutcome::Stopped { kv } => {
            Migration::Stopped(Box::new(MigratedRun { held, kv, report }))
        }
        CopyOutcome::MaybeStopped { kv, .. } => {
            Migration::MaybeStopped(Box::new(MigratedRun { held, kv, report }))
        }
    }
}

/// Accounts for a migrated run, with the output it has generated, at the runner that receives it.
fn hold_at<D: Dialect>(cx: &Arc<Router<D>>, at: &Runner, report: &RunReport) -> MemoryHold<D> {
    let report = RunReport {
        runner: at.id.clone(),
        is_generating: false,
        generated_at_join: report.generated,
        ..report.clone()
    };
    let terms = HoldTerms { report, ttl: COPY_TIMEOUT };
    MemoryHold::new(at.clone(), None, terms, &cx.shared, &cx.exchanger, &cx.dialect)
}

async fn copy_and_stop<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    from: &Runner,
    to: &Runner,
) -> CopyOutcome<D> {
    let guard =
        |handle| KvCacheGuard::new(from.clone(), handle, &cx.shared, &cx.exchanger, &cx.dialect);
    // A copy alone stops nothing, so the run continues if its answer is lost.
    let mut copy = match request_copy(cx, fwd, from, to, CopyPhase::Running).await {
        Ok(CopyAnswer { status: StatusCode::OK, handle: Some(handle) }) => guard(handle),
        Ok(answer) => return CopyOutcome::Stays { cause: answer.describe() },
        Err(e) => return CopyOutcome::Stays { cause: e.to_string() },
    };
    let (outcome, handle, cause) = match request_copy(cx, fwd, from, to, CopyPhase::Stopped).await {
        Ok(answer) => {
            let outcome = StopOutcome::of_answer(answer.status.as_u16(), answer.handle.is_some());
            let cause = answer.describe();
            (outcome, answer.handle, cause)
        }
        Err(e) => (StopOutcome::without_answer(e.attempt_end()), None, e.to_string()),
    };
    match (outcome, handle) {
        (StopOutcome::Stays, _) => CopyOutcome::Stays { cause },
        (StopOutcome::Stopped, Some(handle)) => {
            // Both copies have the same handle, so freeing the first would free the second.
            copy.mark_consumed();
            CopyOutcome::Stopped { kv: guard(handle) }
        }
        (StopOutcome::Stopped | StopOutcome::Unknown, _) => {
            CopyOutcome::MaybeStopped { kv: copy, cause }
        }
    }
}

/// The two copies of a migration.
#[derive(Clone, Copy, Debug)]
enum CopyPhase {
    /// While the run continues.
    Running,
    /// After stopping the run.
    Stopped,
}

/// A runner's answer to a call to copy a run.
struct CopyAnswer {
    status: StatusCode,
    /// The handle of the run's memory.
    handle: Option<CacheHandle>,
}

impl CopyAnswer {
    fn describe(&self) -> String {
        format!("status {}", self.status.as_u16())
    }
}

async fn request_copy<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    from: &Runner,
    to: &Runner,
    copy: CopyPhase,
) -> Result<CopyAnswer, ExchangeError> {
    // Neither copy is made in vain for a runner whose data centre is evacuated since it was selected.
    if cx.shared.is_evacuated(to) {
        let cause = format!("the data centre of {} is evacuated", to.id);
        return Err(ExchangeError::Unsent { cause });
    }
    // A migration that has begun is completed regardless of back-pressure; otherwise the run would
    // be stopped for nothing.
    let (stop_first, permit) = match copy {
        CopyPhase::Running => (false, Permit::Acquire),
        CopyPhase::Stopped => (true, Permit::Exempt),
    };
    let run = RunCopy { runner: &from.id, request: &fwd.request.id, to: to.address, stop_first };
    let request = cx.dialect.copy_run(&run);
    let purpose = SendPurpose::Copy(CallerSend { fwd, other: Some(to.into()) });
    let sending = cx.exchanger.control_request_for(purpose, from, request, permit, COPY_TIMEOUT);
    let answer = sending.await;
    let (head, body) = answer?;
    Ok(CopyAnswer { status: head.status, handle: cx.dialect.parse_cache_handle(&body) })
}

/// Resumes a stopped run after `last_event` at the runner that has the copy. If that runner
/// certainly does not run it, the run resumes where it was stopped. `None` when the other runner
/// may have run it, or when it could not be resumed; the retries that were reserved for it are kept
/// then.
pub(crate) async fn resume<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    last_event: Option<u64>,
    migrated: Box<MigratedRun<D>>,
) -> Option<Run<D>> {
    let MigratedRun { held, mut kv, report } = *migrated;
    let mut run = run_at_copy(cx, fwd, last_event, held, &kv, Permit::Acquired).await;
    if let Err(RunError::Ended(AttemptEnd::NotRun | AttemptEnd::Unsent, cause)) = &run {
        let source = kv.runner().clone();
        if cx.shared.is_evacuated(&source) {
            log::info!(
                "stream: run cannot go back id={} runner={} cause=\"its data centre is evacuated\"",
                fwd.request.id,
                source.id
            );
            return None;
        }
        log::info!(
            "stream: run goes back id={} runner={} cause=\"{cause}\"",
            fwd.request.id,
            source.id
        );
        let held = hold_at(cx, &source, &report);
        run = run_at_copy(cx, fwd, last_event, held, &kv, Permit::Exempt).await;
        run = run.map(|run| Run { migrate_after: cx.now().plus(MIGRATION_RETRY_DELAY), ..run });
    }
    finish_resume(fwd, run, &mut kv)
}

/// Resumes a run that may have been stopped after `last_event` at the runner that has the copy. Its
/// former runner does not get it again, as the call that stops it may still take effect there. `None`
/// when it could not be resumed; the retries that were reserved for it are kept then.
pub(crate) async fn resume_at_copy<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    last_event: Option<u64>,
    migrated: Box<MigratedRun<D>>,
) -> Option<Run<D>> {
    let MigratedRun { held, mut kv, .. } = *migrated;
    log::info!(
        "stream: run resumes at its copy id={} from={} to={} last_event={}",
        fwd.request.id,
        kv.runner().id,
        held.runner.id,
        last_event.unwrap_or(0),
    );
    let run = run_at_copy(cx, fwd, last_event, held, &kv, Permit::Acquire).await;
    finish_resume(fwd, run, &mut kv)
}

/// Sends the run to the runner of `held` with the memory that was copied from `kv`.
async fn run_at_copy<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    last_event: Option<u64>,
    held: MemoryHold<D>,
    kv: &KvCacheGuard<D>,
    permit: Permit,
) -> Result<Run<D>, RunError> {
    let step = Step::Generate { kv: Some(&kv.cache), hold: None };
    let spec = AttemptSpec { resume_after: last_event, step, permit };
    run_at(cx, fwd, held.runner.clone(), Some(held), spec, HeadWait::Deadline).await
}

/// The resumed run, which has the memory of `kv` and needs no further retries.
fn finish_resume<D: Dialect>(
    fwd: &ForwardedRequest,
    run: Result<Run<D>, RunError>,
    kv: &mut KvCacheGuard<D>,
) -> Option<Run<D>> {
    let run = run.ok()?;
    fwd.arrivals.release();
    kv.mark_consumed();
    Some(run)
}
