//! Waits for a prefill, beyond its timeout while its runner is known to work.

use std::pin::pin;
use std::sync::Arc;

use bulrushusher_forward::{
    CallResult, LatePrefill, OtherRunner, PatienceConfig, PrefillEvidence, PrefillPatience,
    PrefillProgress, PrefillSite, PrefillSiteConfig, Runner, SentPrefill,
};
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;

use crate::dialect::Dialect;
use crate::placement::holds::MemoryHold;
use crate::placement::prefill_site::{prefill_task, select_site};
use crate::runners::exchange::CONTROL_TIMEOUT;
use crate::runners::permit::Permit;
use crate::runners::router::{ForwardedRequest, Router};
use crate::runners::send_trace::SendTrace;

/// The runner is asked for its status this long before the timeout: a runner that works responds
/// within some milliseconds, also from another data centre.
const PROBE_LEAD: Millis = Millis(80);

/// A prefill that is waited for, with what decides how long.
#[derive(Debug)]
pub(crate) struct PrefillWait<'a, D: Dialect> {
    pub cx: &'a Arc<Router<D>>,
    pub fwd: &'a ForwardedRequest,
    pub held: &'a MemoryHold<D>,
    pub runner: &'a Runner,
    pub trace: &'a SendTrace,
    pub started: Millis,
    /// Time after which the prefill is late.
    pub timeout: Millis,
    /// Time until the memory hold must be used.
    pub limit: Millis,
    /// Prompt tokens queued ahead.
    pub queued: u64,
    /// Round trip to the runner beyond one inside this gateway's region.
    pub extra: Millis,
    /// Runners that do not prefill this prompt again, including the present one.
    pub tried: &'a [RunnerId],
    /// True if no further attempt is made after this one.
    pub is_last: bool,
}

impl<D: Dialect> PrefillWait<'_, D> {
    /// Waits for `sending`; `None` once the prefill is given up, which drops it.
    pub(crate) async fn run<T, E>(
        &self,
        sending: impl Future<Output = Result<T, E>>,
    ) -> Option<Result<T, E>> {
        let mut sending = pin!(sending);
        let probe_lead = PROBE_LEAD.plus(self.extra);
        let mut wait = self.timeout.since(probe_lead);
        if let Ok(done) = tokio::time::timeout(wait.duration(), &mut sending).await {
            return Some(done);
        }
        self.probe();
        wait = self.timeout.since(self.elapsed());
        let (mut waits, cfg) = (false, PatienceConfig::default());
        loop {
            if let Ok(done) = tokio::time::timeout(wait.duration(), &mut sending).await {
                if waits {
                    let outcome = if done.is_ok() { "finished" } else { "failed" };
                    self.cx.metrics.record_late_prefill(outcome);
                }
                return Some(done);
            }
            let late = self.assess();
            match late.decide(cfg) {
                PrefillPatience::Wait(evidence, length) => {
                    if !waits {
                        self.record("waiting", evidence, &late);
                        self.report_silence(&late, cfg);
                    }
                    waits = true;
                    wait = length;
                }
                PrefillPatience::GiveUp(evidence) => {
                    self.record("given_up", evidence, &late);
                    return None;
                }
            }
        }
    }

    /// Time since the prefill was begun.
    pub(crate) fn elapsed(&self) -> Millis {
        self.cx.now().since(self.started)
    }

    /// Records a runner that shows no sign of working as unreachable while this caller still waits,
    /// so that other requests avoid it.
    fn report_silence(&self, late: &LatePrefill, cfg: PatienceConfig) {
        if !late.runner_works(cfg) {
            self.cx.shared.record_call(self.runner, CallResult::Unreachable);
        }
    }

    /// Asks the runner for its status in a task of its own; the exchanger records its answer.
    fn probe(&self) {
        self.cx.shared.watch_answers(&self.runner.id);
        let (cx, runner) = (self.cx.clone(), self.runner.clone());
        tokio::spawn(async move {
            let request = cx.dialect.status_request(&runner.id);
            let asked =
                cx.exchanger.control_request(&runner, request, Permit::Acquire, CONTROL_TIMEOUT);
            if let Err(e) = asked.await {
                log::debug!("read: no status runner={} cause=\"{e}\"", runner.id);
            }
        });
    }

    /// What is known of the late prefill now.
    fn assess(&self) -> LatePrefill {
        let (shared, fwd) = (&self.cx.shared, self.fwd);
        let (now, tokens) = (self.cx.now(), fwd.prompt_tokens());
        let sent_at = self.trace.waited().map(|waited| self.started.plus(waited));
        let (timing, single_timeout) =
            shared.with_timing(&fwd.service, |pace| (pace.prefill(), pace.prefill_timeout(tokens)));
        let sent = sent_at.map(|at| SentPrefill {
            tokens,
            queued: self.queued,
            elapsed: now.since(at).since(self.extra),
            timing,
        });
        let progress = sent_at.map(|at| shared.prefill_progress(&self.runner.id, at));
        let probed_at = self.started.plus(self.timeout.since(PROBE_LEAD.plus(self.extra)));
        let first_event_delay = PrefillSiteConfig::default().first_event_delay;
        LatePrefill {
            sent,
            late_for: self.elapsed().since(self.timeout),
            progress: progress.unwrap_or_default(),
            single_timeout,
            has_answered: shared.has_answered(&self.runner.id, probed_at),
            hold_left: self.limit.since(self.elapsed()),
            target_left: fwd.remaining_to_target(now).since(first_event_delay),
            other: self.other_runner(),
        }
    }

    /// The runner that would prefill the prompt if this prefill were given up now.
    fn other_runner(&self) -> Option<OtherRunner> {
        let (cx, fwd, held) = (self.cx, self.fwd, self.held);
        if self.is_last || !cx.shared.has_retry(&fwd.service) {
            return None;
        }
        let near = &held.runner.data_centre;
        let tokens = fwd.prompt_tokens();
        let other = cx.shared.pick_for_prefill(
            &cx.prefill_destination(fwd, &held.runner),
            self.tried,
            near,
            tokens,
        );
        if let Some(other) =
            other.filter(|it| select_site(cx, fwd, held, it) == PrefillSite::Prefill)
        {
            let tokens = cx.shared.queued_prefill_tokens(&other.id) + fwd.prompt_tokens();
            let timing = cx.shared.with_timing(&fwd.service, |pace| pace.prefill());
            let distance_ms = cx.shared.prefill_extra_ms(&other.data_centre, near);
            let ms = timing.likely_ms(tokens as f64) + distance_ms;
            return Some(OtherRunner::Prefill(Millis(ms as u64)));
        }
        let task = prefill_task(cx, fwd, None, near);
        let load = cx.shared.decode_load(&fwd.service, &held.runner.id);
        let ms = task.decode_timing.expected_ms((load.prefilling_tokens + task.tokens) as f64);
        task.decode_may_prefill(load).then_some(OtherRunner::Decode(Millis(ms as u64)))
    }

    fn record(&self, outcome: &'static str, evidence: PrefillEvidence, late: &LatePrefill) {
        let PrefillProgress { ended, last_end_ago, .. } = late.progress;
        self.cx.metrics.record_late_prefill(outcome);
        log::info!(
            "read: late id={} runner={} outcome={outcome} evidence={evidence} ms={} timeout_ms={} \
             tokens={} queued={} ended={ended} last_end_ms={} answers={} hold_left_ms={} \
             target_left_ms={} other=\"{}\"",
            self.fwd.request.id,
            self.runner.id,
            self.elapsed().0,
            self.timeout.0,
            self.fwd.prompt_tokens(),
            self.queued,
            last_end_ago.map_or("none".to_owned(), |ago| ago.0.to_string()),
            late.has_answered,
            late.hold_left.0,
            late.target_left.0,
            late.other.map_or("none".to_owned(), |other| other.to_string()),
        );
    }
}
