//! Finds out whether a runner ended on the request that it had just begun.

use std::sync::Arc;

use bulrushusher_forward::{RequestId, Runner};
use bulrushusher_routing::{CrashVerdict, RequestDigest};
use bulrushusher_time::Millis;
use hyper::StatusCode;

use crate::dialect::Dialect;
use crate::runners::exchange::SIDE_CALL_TIMEOUT;
use crate::runners::permit::Permit;
use crate::runners::router::{Forwarded, Router};

/// Times that a runner is asked before it counts as ended: one call may meet a full runner or a link
/// that loses a packet, and a runner takes seconds to start again.
const ASKED: usize = 2;

/// Pause between these.
const ASK_AGAIN: Millis = Millis(20);

/// Longest wait for that before the request goes on to another runner, which might end too. A runner's
/// machine answers within some milliseconds, also when its process has ended.
const KNOWN_BEFORE_REPEAT: Millis = Millis(40);

/// A request at a runner, watched for the runner's end.
#[derive(Clone, Debug)]
pub(crate) struct CrashWatch {
    id: RequestId,
    digest: RequestDigest,
    /// Crashes in a row that were known when the request was sent.
    before: u32,
    began: Millis,
}

impl CrashWatch {
    /// The request is sent to a runner now.
    pub(crate) fn begin<D: Dialect>(cx: &Router<D>, fwd: &Forwarded) -> CrashWatch {
        let before = cx.knowledge.crash_count(fwd.digest);
        let (id, digest) = (fwd.arrival.id.clone(), fwd.digest);
        CrashWatch { id, digest, before, began: cx.now() }
    }

    /// Its run begins now: it may have waited at the runner.
    pub(crate) fn run_begins(&mut self, now: Millis) {
        self.began = now;
    }

    /// The connection broke before the whole answer was there. A task of its own finds out whether its
    /// runner ended, as connections break at living runners too; returns when that is known, or when the
    /// caller has waited long enough.
    pub(crate) async fn broke_off<D: Dialect>(&self, cx: &Router<D>, runner: &Runner) {
        let ran_for = cx.now().since(self.began);
        if !cx.knowledge.in_crash_window(ran_for) {
            return;
        }
        let (cx, watch, runner) = (cx.clone(), self.clone(), runner.clone());
        let looking = tokio::spawn(async move {
            let Some(sign) = sign_of_end(&cx, &runner).await else {
                log::info!("quarantine: runner lives id={} runner={}", watch.id, runner.id);
                return cx.metrics.crash("runner_lives");
            };
            watch.note_crash(&cx, &runner, ran_for, &sign);
        });
        tokio::time::timeout(KNOWN_BEFORE_REPEAT.duration(), looking).await.ok();
    }

    fn note_crash<D: Dialect>(&self, cx: &Router<D>, runner: &Runner, ran_for: Millis, sign: &str) {
        let verdict = cx.knowledge.record_crash(self.digest, self.before);
        let (word, crashes) = match verdict {
            CrashVerdict::Suspected { crashes } => ("suspected", crashes),
            CrashVerdict::Quarantined => ("quarantined", self.before + 1),
            CrashVerdict::Known => ("known", self.before),
        };
        cx.metrics.crash(word);
        log::info!(
            "quarantine: runner ended id={} digest={} runner={} ran_for_ms={} sign=\"{sign}\" \
             crashes={crashes} result={word}",
            self.id,
            self.digest,
            runner.id,
            ran_for.0,
        );
    }
}

/// What shows that a runner's process has ended; `None` while it answers.
async fn sign_of_end<D: Dialect>(cx: &Router<D>, runner: &Runner) -> Option<Arc<str>> {
    let mut sign: Arc<str> = "".into();
    for asked in 0..ASKED {
        if asked > 0 {
            tokio::time::sleep(ASK_AGAIN.duration()).await;
        }
        let call = cx.dialect.ask_report(&runner.id);
        match cx.exchanger.side_call(runner, call, Permit::Needed, SIDE_CALL_TIMEOUT).await {
            Ok((head, _)) if head.status == StatusCode::MISDIRECTED_REQUEST => {
                return Some("another start has its address".into());
            }
            Ok((_, body)) => {
                let born = cx.dialect.report(&runner.id, &body).ok().and_then(|it| it.born);
                cx.knowledge.record_start(&runner.id, born);
                return cx.knowledge.is_superseded(runner).then(|| "it has started again".into());
            }
            // It is not asked while it signals back-pressure, and is taken to live.
            Err(e) if e.is_withheld() => return None,
            Err(e) => sign = e.to_string().into(),
        }
    }
    Some(sign)
}
