//! Live migration of a run with its memory to another decode runner, without ending the caller's
//! stream.
//!
//! The memory is copied while the run continues; then the run is stopped, the memory added
//! meanwhile is copied too, and the run resumes at the other runner after the last event that the
//! caller received.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

use bulrushusher_forward::{AttemptEnd, RunReport, Runner};
use bulrushusher_time::Millis;
use hyper::StatusCode;

use crate::dialect::{Dialect, RunCopy, Step};
use crate::placement::attempts::RunError;
use crate::placement::holds::{HoldTerms, KvCacheGuard, MemoryHold};
use crate::runners::permit::Permit;
use crate::runners::router::{AttemptSpec, ForwardedRequest, Router};
use crate::runners::send_spec::CallerSend;
use crate::runs::begin::{HeadWait, run_at};
use crate::runs::run::Run;
use crate::shared::MoveDecision;

/// Timeout of one copy. A copy takes some milliseconds; callers see the second copy as a gap, and
/// this is shorter than a late gap.
const COPY_TIMEOUT: Millis = Millis(200);

/// Delay before another attempt to migrate a run: one or two other runs have ended by then.
const MIGRATION_RETRY_DELAY: Millis = Millis(250);

/// A stopped run whose memory is at the other runner.
pub(crate) struct MigratedRun<D: Dialect> {
    /// The run's memory at the other runner.
    held: MemoryHold<D>,
    /// The run's memory at the runner where it was stopped.
    kv: KvCacheGuard<D>,
    /// The run's report at the runner where it was stopped.
    stopped: RunReport,
}

type Copying<D> = Pin<Box<dyn Future<Output = Option<Box<MigratedRun<D>>>> + Send>>;

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
            Migration::Idle { .. } | Migration::Copying(_) | Migration::Stopped(_) => return,
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
    pub(crate) async fn progress(&mut self, now: impl Fn() -> Millis) {
        let Migration::Copying(copying) = self else { return std::future::pending().await };
        *self = match copying.await {
            Some(migrated) => Migration::Stopped(migrated),
            None => Migration::Idle { until: now().plus(MIGRATION_RETRY_DELAY) },
        };
    }

    /// Finishes the migration after the stream has ended; returns the run if the migration stopped
    /// it.
    pub(crate) async fn settle(mut self, now: impl Fn() -> Millis) -> Option<Box<MigratedRun<D>>> {
        if matches!(self, Migration::Copying(_)) {
            self.progress(now).await;
        }
        match self {
            Migration::Stopped(migrated) => Some(migrated),
            Migration::Idle { .. } | Migration::Copying(_) => None,
        }
    }
}

/// Copies the memory of a run, stops the run and copies the rest; `None` when the run continues
/// where it is.
async fn copy<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    from: Runner,
    to: Runner,
    report: RunReport,
) -> Option<Box<MigratedRun<D>>> {
    let started = cx.now();
    let generated = report.generated;
    let held = hold_at(cx, &to, &report);
    let kv = match cx.shared.acquire_permits(&to, 1) {
        Ok(()) => {
            let copied = copy_and_stop(cx, fwd, &from, &to).await;
            if copied.is_err() {
                cx.shared.release_permits(&to, 1);
            }
            copied
        }
        Err(pressure) => Err(pressure.to_string()),
    };
    if kv.is_err() {
        fwd.arrivals.release();
    }
    let took = cx.now().since(started);
    let (result, cause) = match &kv {
        Ok(_) => ("stopped", ""),
        Err(cause) => ("stays", cause.as_str()),
    };
    cx.metrics.record_attempt("move", result, took.0 as f64);
    log::info!(
        "stream: run moves id={} from={} to={} made={generated} result={result} \
         cause=\"{cause}\" ms={}",
        fwd.request.id,
        from.id,
        to.id,
        took.0,
    );
    kv.ok().map(|kv| Box::new(MigratedRun { held, kv, stopped: report }))
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
) -> Result<KvCacheGuard<D>, String> {
    let mut copy = request_copy(cx, fwd, from, to, CopyPhase::Running).await?;
    let complete = request_copy(cx, fwd, from, to, CopyPhase::Stopped).await?;
    // Both copies have the same handle, so freeing the first would free the second.
    copy.mark_consumed();
    Ok(complete)
}

/// The two copies of a migration.
#[derive(Clone, Copy, Debug)]
enum CopyPhase {
    /// While the run continues.
    Running,
    /// After stopping the run.
    Stopped,
}

async fn request_copy<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    from: &Runner,
    to: &Runner,
    copy: CopyPhase,
) -> Result<KvCacheGuard<D>, String> {
    // Neither copy is made in vain for a runner whose data centre is evacuated since it was selected.
    if cx.shared.is_evacuated(to) {
        return Err(format!("the data centre of {} is evacuated", to.id));
    }
    // A migration that has begun is completed regardless of back-pressure; otherwise the run would
    // be stopped for nothing.
    let (stop_first, permit) = match copy {
        CopyPhase::Running => (false, Permit::Acquire),
        CopyPhase::Stopped => (true, Permit::Exempt),
    };
    let run = RunCopy { runner: &from.id, request: &fwd.request.id, to: to.address, stop_first };
    let request = cx.dialect.copy_run(&run);
    let send = CallerSend { fwd, other: Some(to.into()) };
    let answer = cx.exchanger.request_copy(send, from, request, permit, COPY_TIMEOUT).await;
    let (head, body) = answer.map_err(|e| e.to_string())?;
    // A stopped run is kept at its runner when the rest cannot be copied.
    let is_kept = head.status == StatusCode::SERVICE_UNAVAILABLE && stop_first;
    let handle = cx.dialect.parse_cache_handle(&body);
    match handle.filter(|_| head.status == StatusCode::OK || is_kept) {
        Some(handle) => {
            Ok(KvCacheGuard::new(from.clone(), handle, &cx.shared, &cx.exchanger, &cx.dialect))
        }
        None => Err(format!("status {}", head.status.as_u16())),
    }
}

/// Resumes a stopped run after `last_event` at the runner that has the copy. If that runner
/// certainly does not run it, the run resumes where it was stopped. `None` when the other runner
/// may have run it, or when it could not be resumed.
pub(crate) async fn resume<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    last_event: Option<u64>,
    migrated: Box<MigratedRun<D>>,
) -> Option<Run<D>> {
    let MigratedRun { held, mut kv, stopped } = *migrated;
    let cache = kv.cache.clone();
    let step = Step::Generate { kv: Some(&cache), hold: None };
    let to = held.runner.clone();
    let spec = AttemptSpec { resume_after: last_event, step, permit: Permit::Acquired };
    let mut run = run_at(cx, fwd, to, Some(held), spec, HeadWait::Deadline).await;
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
        let held = hold_at(cx, &source, &stopped);
        let return_spec = AttemptSpec { permit: Permit::Exempt, ..spec };
        run = run_at(cx, fwd, source, Some(held), return_spec, HeadWait::Deadline).await;
        run = run.map(|run| Run { migrate_after: cx.now().plus(MIGRATION_RETRY_DELAY), ..run });
    }
    fwd.arrivals.release();
    let run = run.ok()?;
    kv.mark_consumed();
    Some(run)
}
