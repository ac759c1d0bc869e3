//! Detects whether a runner crashed on the request that it had just started, and refuses requests on
//! which runners crash.

use std::sync::Arc;

use bulrushusher_forward::{RequestId, Runner};
use bulrushusher_routing::{CrashKey, CrashVerdict, KeySet, RequestDigest, SentRequest, Suspect};
use bulrushusher_time::Millis;
use hyper::StatusCode;
use tokio::task::JoinHandle;

use crate::answers::answer::{PART_QUARANTINED, QUARANTINED, Withheld};
use crate::dialect::Dialect;
use crate::runners::exchange::CONTROL_TIMEOUT;
use crate::runners::permit::Permit;
use crate::runners::router::{ForwardedRequest, PartKey, Router};

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
    /// The shared parts of the prompt.
    parts: Arc<[PartKey]>,
    sent: SentRequest,
    started: Millis,
    phase: RunPhase,
}

/// How far a runner has come with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunPhase {
    /// It was sent. For prefills and plain calls this lasts until the response.
    Sent,
    /// The head of its stream has arrived; the run may still wait for its turn at the runner.
    Accepted,
    /// Its first event has arrived.
    Generating,
}

/// What probes have shown of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RunnerState {
    /// Its process responds.
    Alive,
    /// Its process has ended, with the evidence for it.
    Ended(Arc<str>),
    /// It signals back-pressure and may not be probed.
    Unknown,
}

impl CrashWatch {
    /// Starts the watch when the request is sent to a runner.
    pub(crate) fn begin<D: Dialect>(cx: &Router<D>, fwd: &ForwardedRequest) -> CrashWatch {
        CrashWatch {
            id: fwd.request.id.clone(),
            digest: fwd.digest,
            parts: fwd.parts.clone(),
            sent: cx.shared.record_crash_risk(&fwd.crash_keys),
            started: cx.now(),
            phase: RunPhase::Sent,
        }
    }

    /// Records the head of the run's stream.
    pub(crate) fn run_accepted(&mut self, now: Millis) {
        (self.started, self.phase) = (now, RunPhase::Accepted);
    }

    /// Records when the first event of the run arrived.
    pub(crate) fn run_began(&mut self, at: Millis) {
        (self.started, self.phase) = (at, RunPhase::Generating);
    }

    /// Handles a connection that broke before the response was complete. A separate task probes
    /// whether the runner crashed, as connections to live runners break too; this returns when the
    /// verdict is known or after [`VERDICT_TIMEOUT`].
    pub(crate) async fn connection_lost<D: Dialect>(&self, cx: &Router<D>, runner: &Runner) {
        if self.may_have_crashed(cx) {
            let judged = self.spawn_judge(cx, runner, false);
            tokio::time::timeout(VERDICT_TIMEOUT.duration(), judged).await.ok();
        }
    }

    /// Handles a whole response that ended with its connection, as that of a crashed runner does. The
    /// response is the caller's all the same, so the verdict is not waited for.
    pub(crate) fn connection_ended<D: Dialect>(&self, cx: &Router<D>, runner: &Runner) {
        drop(self.spawn_judge(cx, runner, true));
    }

    /// True unless the runner has ended: a stream without a mark of its end is complete only if its runner
    /// lives on. The caller has all events by now, so a late verdict costs it little. A runner that may
    /// not be probed counts as alive.
    pub(crate) async fn runner_lives<D: Dialect>(&self, cx: &Router<D>, runner: &Runner) -> bool {
        let state = probe_runner(cx, runner).await;
        if state == RunnerState::Alive {
            cx.shared.record_sound_run(self.sent.keys());
        }
        !matches!(state, RunnerState::Ended(_))
    }

    /// True if the runner has not yet gone on for longer than the crash window after it began to
    /// answer.
    fn may_have_crashed<D: Dialect>(&self, cx: &Router<D>) -> bool {
        match self.phase {
            // Nothing tells when its turn came.
            RunPhase::Accepted => true,
            RunPhase::Sent | RunPhase::Generating => {
                cx.shared.in_crash_window(cx.now().since(self.started))
            }
        }
    }

    /// Probes the runner and records the crash if its process has ended. A runner that lives speaks for
    /// the request if it `answered`.
    fn spawn_judge<D: Dialect>(
        &self,
        cx: &Router<D>,
        runner: &Runner,
        answered: bool,
    ) -> JoinHandle<()> {
        let (ran_for, may_have_crashed) = (cx.now().since(self.started), self.may_have_crashed(cx));
        let (cx, watch, runner) = (cx.clone(), self.clone(), runner.clone());
        tokio::spawn(async move {
            match probe_runner(&cx, &runner).await {
                RunnerState::Ended(sign) if may_have_crashed => {
                    watch.record_crash(&cx, &runner, ran_for, &sign);
                }
                RunnerState::Ended(_) => {}
                RunnerState::Alive => {
                    log::info!("quarantine: runner lives id={} runner={}", watch.id, runner.id);
                    cx.metrics.record_crash("runner_lives");
                    if answered {
                        cx.shared.record_sound_run(watch.sent.keys());
                    }
                }
                RunnerState::Unknown => {
                    log::info!("quarantine: not probed id={} runner={}", watch.id, runner.id);
                    cx.metrics.record_crash("not_probed");
                }
            }
        })
    }

    fn record_crash<D: Dialect>(
        &self,
        cx: &Router<D>,
        runner: &Runner,
        ran_for: Millis,
        sign: &str,
    ) {
        let verdict = cx.shared.record_crash(&self.sent);
        let (result, entries, suspects) = match &verdict {
            CrashVerdict::Known => ("known", &[][..], &[][..]),
            CrashVerdict::Suspected { suspects } => ("suspected", &[][..], &suspects[..]),
            CrashVerdict::Quarantined { entries, suspects } => {
                ("quarantined", &entries[..], &suspects[..])
            }
        };
        cx.metrics.record_crash(result);
        let crashes = suspects.iter().map(|suspect| suspect.crashes).max().unwrap_or(0);
        log::info!(
            "quarantine: runner ended id={} digest={} runner={} phase={:?} ran_for_ms={} \
             sign=\"{sign}\" crashes={crashes} suspects={} result={result}",
            self.id,
            self.digest,
            runner.id,
            self.phase,
            ran_for.0,
            self.describe_suspects(suspects),
        );
        for entry in entries {
            log::info!(
                "quarantine: verdict keys={} parts={} since_ms={} source=own id={} crashes={} sound_runs={}",
                entry.keys,
                describe_parts(&self.parts, &entry.keys),
                entry.since.0,
                self.id,
                entry.crashes,
                entry.keys.iter().map(|key| cx.shared.sound_runs(key)).max().unwrap_or(0),
            );
        }
    }

    /// The suspected parts with the crashes of each, and those that are not suspected with a dash.
    fn describe_suspects(&self, suspects: &[Suspect]) -> String {
        let describe = |part: &PartKey| {
            let suspect = suspects.iter().find(|suspect| suspect.key == part.key());
            let crashes = suspect.map_or("-".to_owned(), |suspect| suspect.crashes.to_string());
            format!("{}:{crashes}", part.id)
        };
        join_or_none(self.parts.iter().map(describe))
    }
}

/// The ids of those parts that are among the keys.
fn describe_parts(parts: &[PartKey], keys: &KeySet) -> String {
    let parts = parts.iter().filter(|part| keys.contains(part.key()));
    join_or_none(parts.map(|part| part.id.to_string()))
}

fn join_or_none(texts: impl Iterator<Item = String>) -> String {
    let texts: Vec<String> = texts.collect();
    if texts.is_empty() { "none".to_owned() } else { texts.join(",") }
}

impl<D: Dialect> Router<D> {
    /// Checks that runners do not crash on such requests.
    ///
    /// # Errors
    /// The refusal, which is logged and counted.
    pub(crate) fn check_quarantine(&self, fwd: &ForwardedRequest) -> Result<(), Withheld> {
        let Some(found) = self.shared.find_quarantine(&fwd.crash_keys) else { return Ok(()) };
        let keys = &found.entry.keys;
        let is_part = |key| matches!(key, CrashKey::Part(_));
        let (kind, reason) = match keys.iter().any(is_part) {
            true => ("part", PART_QUARANTINED),
            false => ("request", QUARANTINED),
        };
        self.metrics.record_quarantine_refusal(kind);
        log::info!(
            "quarantine: refused id={} keys={keys} parts={} since_ms={} crashes={} remaining_ms={}",
            fwd.request.id,
            describe_parts(&fwd.parts, keys),
            found.entry.since.0,
            found.entry.crashes,
            found.remaining.0,
        );
        Err(Withheld { reason, retry_after: found.remaining })
    }
}

/// Probes a runner, as often as it takes to tell that its process has ended.
async fn probe_runner<D: Dialect>(cx: &Router<D>, runner: &Runner) -> RunnerState {
    let mut sign: Arc<str> = "".into();
    for probe in 0..MAX_PROBES {
        if probe > 0 {
            tokio::time::sleep(PROBE_RETRY_DELAY.duration()).await;
        }
        let request = cx.dialect.status_request(&runner.id);
        match cx.exchanger.control_request(runner, request, Permit::Acquire, CONTROL_TIMEOUT).await
        {
            Ok((head, _)) if head.status == StatusCode::MISDIRECTED_REQUEST => {
                return RunnerState::Ended("another start has its address".into());
            }
            Ok((_, body)) => {
                let born = cx.dialect.parse_status(&runner.id, &body).ok().and_then(|it| it.born);
                cx.shared.record_start(&runner.id, born);
                return match cx.shared.is_superseded(runner) {
                    true => RunnerState::Ended("it has started again".into()),
                    false => RunnerState::Alive,
                };
            }
            Err(e) if e.is_withheld() => return RunnerState::Unknown,
            Err(e) => sign = e.to_string().into(),
        }
    }
    RunnerState::Ended(sign)
}
