//! Detects whether a runner crashed on the request that it had just started, and refuses requests on
//! which runners crash.

use std::sync::Arc;

use bulrushusher_forward::{RequestId, Runner};
use bulrushusher_routing::{CrashKey, CrashVerdict, KeySet, RequestDigest, SentRequest, Suspect};
use bulrushusher_time::Millis;
use derive_more::Display;
use hyper::StatusCode;
use tokio::task::JoinHandle;

use crate::answers::answer::{PART_QUARANTINED, QUARANTINED, Withheld};
use crate::dialect::Dialect;
use crate::runners::exchange::{CONTROL_TIMEOUT, ExchangeError};
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

/// Time within which the runner of a response without a mark of its end must be probed and respond. It
/// covers the span in which requests to cold runners and most rate limits are counted, and a sound runner's
/// silence of about a second; callers abandon a stream after two.
const WHOLE_RESPONSE_PATIENCE: Millis = Millis(1_800);

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

/// What arrived on the connection of a runner that is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JudgedResponse {
    /// No response, or a part of one.
    Partial,
    /// A failure that ended with the connection.
    Failure,
    /// A success that ended with the connection.
    Success,
}

/// What is known of a runner whose connection has ended. A response that ended with the connection is
/// whole only if the runner lives.
#[derive(Clone, Debug, PartialEq, Eq)]
#[must_use]
pub(crate) enum RunnerVerdict {
    /// Its process responds.
    Lives,
    /// Its process has ended, with the evidence for it.
    Ended(Arc<str>),
    /// Nothing shows whether its process has ended.
    Unknown(VerdictGap),
}

/// Why nothing shows whether a runner has ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum VerdictGap {
    /// It must not be probed now, for the given reason.
    #[display("not probed: {_0}")]
    NotProbed(Arc<str>),
    /// It did not respond to the probes, the last of which failed as given.
    #[display("no response to probes: {_0}")]
    NoResponse(Arc<str>),
}

impl JudgedResponse {
    /// Time within which the runner must be probed and respond, of what remains to the deadline: half of
    /// it is left for another runner. A partial response is of no use to its caller.
    fn patience(self, remaining: Millis) -> Millis {
        match self {
            JudgedResponse::Partial => Millis(0),
            JudgedResponse::Failure | JudgedResponse::Success => {
                WHOLE_RESPONSE_PATIENCE.min(remaining.share(0.5))
            }
        }
    }
}

impl VerdictGap {
    /// What kept the probes from being sent, or how the last one failed.
    pub(crate) fn cause(&self) -> &str {
        match self {
            VerdictGap::NotProbed(cause) | VerdictGap::NoResponse(cause) => cause,
        }
    }
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
            let judged = self.spawn_judge(cx, runner, JudgedResponse::Partial, Millis(0));
            tokio::time::timeout(VERDICT_TIMEOUT.duration(), judged).await.ok();
        }
    }

    /// Handles a response that ended with its connection, as that of a crashed runner does. Waits for
    /// the verdict of a separate task, which goes on if the caller leaves.
    pub(crate) async fn connection_ended<D: Dialect>(
        &self,
        cx: &Router<D>,
        runner: &Runner,
        response: JudgedResponse,
        remaining: Millis,
    ) -> RunnerVerdict {
        let judged = self.spawn_judge(cx, runner, response, remaining).await;
        judged.unwrap_or_else(|e| {
            log::error!(
                "quarantine: probe failed id={} runner={} cause=\"{e}\"",
                self.id,
                runner.id
            );
            RunnerVerdict::Unknown(VerdictGap::NotProbed(e.to_string().into()))
        })
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
    /// the request if it has answered it with success.
    fn spawn_judge<D: Dialect>(
        &self,
        cx: &Router<D>,
        runner: &Runner,
        response: JudgedResponse,
        remaining: Millis,
    ) -> JoinHandle<RunnerVerdict> {
        let (ran_for, may_have_crashed) = (cx.now().since(self.started), self.may_have_crashed(cx));
        let (cx, watch, runner) = (cx.clone(), self.clone(), runner.clone());
        tokio::spawn(async move {
            let verdict = probe_runner(&cx, &runner, response.patience(remaining)).await;
            match &verdict {
                // A machine that is lost with its runner does not respond either.
                RunnerVerdict::Ended(sign)
                | RunnerVerdict::Unknown(VerdictGap::NoResponse(sign)) => {
                    if may_have_crashed {
                        watch.record_crash(&cx, &runner, ran_for, sign);
                    }
                }
                RunnerVerdict::Lives => {
                    log::info!("quarantine: runner lives id={} runner={}", watch.id, runner.id);
                    cx.metrics.record_crash("runner_lives");
                    if response == JudgedResponse::Success {
                        cx.shared.record_sound_run(watch.sent.keys());
                    }
                }
                RunnerVerdict::Unknown(VerdictGap::NotProbed(cause)) => {
                    log::info!(
                        "quarantine: not probed id={} runner={} cause=\"{cause}\"",
                        watch.id,
                        runner.id,
                    );
                    cx.metrics.record_crash("not_probed");
                }
            }
            verdict
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

/// Checks that a response that ended with its connection is whole: its runner must live on.
///
/// # Errors
/// Why it may be incomplete.
pub(crate) async fn confirm_end<D: Dialect>(
    cx: &Router<D>,
    runner: &Runner,
    watch: &CrashWatch,
    response: JudgedResponse,
    timeout: Millis,
) -> Result<(), String> {
    let verdict = watch.connection_ended(cx, runner, response, timeout);
    match tokio::time::timeout(timeout.duration(), verdict).await {
        Ok(RunnerVerdict::Lives) => Ok(()),
        Ok(RunnerVerdict::Ended(sign)) => Err(format!("its runner ended with it ({sign})")),
        Ok(RunnerVerdict::Unknown(gap)) => Err(format!("its runner may have ended ({gap})")),
        Err(_) => Err("its runner may have ended (no verdict before the deadline)".to_owned()),
    }
}

/// Probes a runner, as often as it takes to tell that its process has ended. Back-pressure and silence
/// are waited for up to `patience`.
async fn probe_runner<D: Dialect>(
    cx: &Router<D>,
    runner: &Runner,
    patience: Millis,
) -> RunnerVerdict {
    let until = cx.now().plus(patience);
    let mut probes = 0;
    loop {
        let request = cx.dialect.status_request(&runner.id);
        let probed =
            cx.exchanger.control_request(runner, request, Permit::Probe, CONTROL_TIMEOUT).await;
        let verdict = match probed {
            Ok((head, _)) if head.status == StatusCode::MISDIRECTED_REQUEST => {
                return RunnerVerdict::Ended("another start has its address".into());
            }
            Ok((_, body)) => {
                let born = cx.dialect.parse_status(&runner.id, &body).ok().and_then(|it| it.born);
                cx.shared.record_start(&runner.id, born);
                return match cx.shared.is_superseded(runner) {
                    true => RunnerVerdict::Ended("it has started again".into()),
                    false => RunnerVerdict::Lives,
                };
            }
            Err(e) if e.is_withheld() => {
                let wait = cx.shared.time_until_probe(runner).map(|wait| wait.max(Millis(1)));
                match wait.filter(|wait| cx.now().plus(*wait) <= until) {
                    Some(wait) => tokio::time::sleep(wait.duration()).await,
                    None => {
                        let cause = e.to_string().into();
                        return RunnerVerdict::Unknown(VerdictGap::NotProbed(cause));
                    }
                }
                continue;
            }
            // No new connection could be opened; one that is too slow times out instead.
            Err(ExchangeError::Unsent { cause }) => RunnerVerdict::Ended(cause.into()),
            Err(e) => RunnerVerdict::Unknown(VerdictGap::NoResponse(e.to_string().into())),
        };
        probes += 1;
        let may_respond = matches!(&verdict, RunnerVerdict::Unknown(_)) && cx.now() < until;
        if probes >= MAX_PROBES && !may_respond {
            return verdict;
        }
        tokio::time::sleep(PROBE_RETRY_DELAY.duration()).await;
    }
}
