//! Detects whether a runner crashed on the request that it had just started.

use std::sync::Arc;

use bulrushusher_forward::{RequestId, Runner};
use bulrushusher_routing::{CrashVerdict, RequestDigest};
use bulrushusher_time::Millis;
use hyper::StatusCode;

use crate::dialect::Dialect;
use crate::runners::exchange::CONTROL_TIMEOUT;
use crate::runners::permit::Permit;
use crate::runners::router::{ForwardedRequest, Router};

/// Probes of a runner before it counts as crashed: a single probe may meet a full runner or a lost
/// packet, and a runner takes seconds to start again.
const MAX_PROBES: usize = 2;

/// Delay between these probes.
const PROBE_RETRY_DELAY: Millis = Millis(20);

/// Longest wait for the verdict before the request is retried at another runner, which it might
/// crash too. A runner's machine responds within some milliseconds even when its process has ended.
const VERDICT_TIMEOUT: Millis = Millis(40);

/// A request at a runner, watched for a crash of the runner.
#[derive(Clone, Debug)]
pub(crate) struct CrashWatch {
    id: RequestId,
    digest: RequestDigest,
    /// Consecutive crashes that were known when the request was sent.
    crashes_before: u32,
    started: Millis,
}

impl CrashWatch {
    /// Starts the watch when the request is sent to a runner.
    pub(crate) fn begin<D: Dialect>(cx: &Router<D>, fwd: &ForwardedRequest) -> CrashWatch {
        let crashes_before = cx.shared.crash_count(fwd.digest);
        let (id, digest) = (fwd.request.id.clone(), fwd.digest);
        CrashWatch { id, digest, crashes_before, started: cx.now() }
    }

    /// Restarts the watch when the run starts, as the request may have been queued at the runner.
    pub(crate) fn run_started(&mut self, now: Millis) {
        self.started = now;
    }

    /// Handles a connection that broke before the response was complete. A separate task probes
    /// whether the runner crashed, as connections to live runners break too; this returns when the
    /// verdict is known or after [`VERDICT_TIMEOUT`].
    pub(crate) async fn connection_lost<D: Dialect>(&self, cx: &Router<D>, runner: &Runner) {
        let ran_for = cx.now().since(self.started);
        if !cx.shared.in_crash_window(ran_for) {
            return;
        }
        let (cx, watch, runner) = (cx.clone(), self.clone(), runner.clone());
        let probing = tokio::spawn(async move {
            let Some(sign) = find_crash_sign(&cx, &runner).await else {
                log::info!("quarantine: runner lives id={} runner={}", watch.id, runner.id);
                return cx.metrics.record_crash("runner_lives");
            };
            watch.record_crash(&cx, &runner, ran_for, &sign);
        });
        tokio::time::timeout(VERDICT_TIMEOUT.duration(), probing).await.ok();
    }

    fn record_crash<D: Dialect>(
        &self,
        cx: &Router<D>,
        runner: &Runner,
        ran_for: Millis,
        sign: &str,
    ) {
        let verdict = cx.shared.record_crash(self.digest, self.crashes_before);
        let (result, crashes) = match verdict {
            CrashVerdict::Suspected { crashes } => ("suspected", crashes),
            CrashVerdict::Quarantined => ("quarantined", self.crashes_before + 1),
            CrashVerdict::Known => ("known", self.crashes_before),
        };
        cx.metrics.record_crash(result);
        log::info!(
            "quarantine: runner ended id={} digest={} runner={} ran_for_ms={} sign=\"{sign}\" \
             crashes={crashes} result={result}",
            self.id,
            self.digest,
            runner.id,
            ran_for.0,
        );
    }
}

/// Evidence that a runner's process has ended; `None` while it responds.
async fn find_crash_sign<D: Dialect>(cx: &Router<D>, runner: &Runner) -> Option<Arc<str>> {
    let mut sign: Arc<str> = "".into();
    for probe in 0..MAX_PROBES {
        if probe > 0 {
            tokio::time::sleep(PROBE_RETRY_DELAY.duration()).await;
        }
        let request = cx.dialect.status_request(&runner.id);
        match cx.exchanger.control_request(runner, request, Permit::Acquire, CONTROL_TIMEOUT).await
        {
            Ok((head, _)) if head.status == StatusCode::MISDIRECTED_REQUEST => {
                return Some("another start has its address".into());
            }
            Ok((_, body)) => {
                let born = cx.dialect.parse_status(&runner.id, &body).ok().and_then(|it| it.born);
                cx.shared.record_start(&runner.id, born);
                return cx.shared.is_superseded(runner).then(|| "it has started again".into());
            }
            // A runner that signals back-pressure is not probed and counts as alive.
            Err(e) if e.is_withheld() => return None,
            Err(e) => sign = e.to_string().into(),
        }
    }
    Some(sign)
}
