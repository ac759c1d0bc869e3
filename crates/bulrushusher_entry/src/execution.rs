//! Execution of a request, at most once unless it is idempotent: assigns its key to an executor,
//! and handles the end of each attempt.
//!
//! The *home* of a key is the agent that records which executor the key is assigned to. To *bar* a
//! key is to make agents refuse orders to execute it at lower ballots.

use std::sync::Arc;

use bulrushusher_once::{Ballot, RunStatus, Settled};
use bulrushusher_routing::{CrashKey, KeySet, RequestKeys, SentRequest};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, ErrorCode, OrderRejection, RunOrder, RunState, Work};
use bulrushusher_world::{Endpoint, EndpointName};

use crate::LOG;
use crate::entry::Shared;
use crate::guards::{OpenStream, ReservedSlot};
use crate::request::{Job, generate_key};
use crate::run_stream::{Part, PartSender, RunReader, StreamEnd};
use crate::settle::{self, answer_gone, outcome_unknown};

/// How long a key that is assigned to another executor may take to start there before it is barred.
const START_TIMEOUT: Millis = Millis(4_000);
/// How long one attach call waits at the agent for the key to start.
const ATTACH_WAIT: Millis = Millis(1_000);

/// If the engine ends before a run has sent more tokens than this, the run may have crashed it.
/// Prompts that crash engines do so within the first token or two, and few runs are that young at
/// any moment.
const CRASH_WINDOW_TOKENS: u32 = 4;

/// Whether a request needs another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// The request is answered, or its caller has disconnected.
    Done,
    /// The request certainly did not run, or is idempotent: make another attempt.
    Retry,
}

/// The endpoint that may execute the key, and at which ballot.
#[derive(Clone, Debug)]
struct Assignment {
    ballot: Ballot,
    executor: EndpointName,
}

/// State of one request across its attempts.
pub(crate) struct Execution<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) job: Job,
    tx: &'a PartSender,
    /// True if the caller receives nothing before the answer is complete, so that a further attempt
    /// may start it over.
    restartable: bool,
    /// What the request is recognised by when engines crash on it, if it is a prompt.
    pub(crate) prompt: Option<RequestKeys>,
    /// Tokens sent to the caller's HTTP task so far.
    tokens_sent: u32,
    assignment: Option<Assignment>,
    /// A ballot at which any one executor, not chosen yet, may execute the key.
    open_ballot: Option<Ballot>,
    /// True once an earlier attempt may have run. No error may then be reported as "not run".
    may_have_run: bool,
}

impl<'a> Execution<'a> {
    pub(crate) fn new(
        shared: &'a Arc<Shared>,
        job: Job,
        tx: &'a PartSender,
        restartable: bool,
    ) -> Execution<'a> {
        Execution {
            shared,
            job,
            tx,
            restartable,
            prompt: None,
            tokens_sent: 0,
            assignment: None,
            open_ballot: None,
            may_have_run: false,
        }
    }

    /// Corrects the run state of an error for the caller: "not run" becomes "outcome unknown" if an
    /// earlier attempt may have run.
    pub(crate) fn caller_error(&self, e: ApiError) -> ApiError {
        match e.run {
            RunState::NotRun if self.may_have_run => {
                ApiError { run: RunState::OutcomeUnknown, ..e }
            }
            RunState::NotRun | RunState::Ran | RunState::OutcomeUnknown => e,
        }
    }

    /// The endpoint that the key is assigned to, if any; no other one may execute it.
    pub(crate) fn assigned_executor(&self) -> Option<EndpointName> {
        self.assignment.as_ref().map(|assignment| assignment.executor.clone())
    }

    /// The endpoint that is the home of a key chosen by the caller. It must not execute the
    /// request: if it did, its loss would take both the record of the assigned executor and the
    /// record of the run.
    pub(crate) fn home(&self) -> Option<EndpointName> {
        if !self.job.shared_key {
            return None;
        }
        settle::list_view(self.shared, &self.job).home(&self.job.key).cloned()
    }

    /// True if the key will be executed at the ballot of its home. The executor's records must then
    /// cover the key.
    pub(crate) fn needs_coverage(&self) -> bool {
        self.open_ballot.is_none()
            && self.assignment.as_ref().is_none_or(|assignment| assignment.ballot == Ballot::Home)
    }

    /// Assigns the key to `executor`. If it is assigned to another endpoint already, reads the
    /// answer from that one.
    pub(crate) async fn assign(&mut self, executor: &EndpointName) -> Result<Assigned, ApiError> {
        if !self.job.shared_key {
            return Ok(Assigned::Run(Ballot::Home));
        }
        if let Some(assignment) = &self.assignment {
            return Ok(Assigned::Run(assignment.ballot.clone()));
        }
        let settled = match self.open_ballot.take() {
            Some(ballot) => Settled::Run(ballot),
            None => settle::claim(self.shared, &self.job, executor).await?,
        };
        match settled {
            Settled::Run(ballot) => {
                let assignment = Assignment { ballot: ballot.clone(), executor: executor.clone() };
                self.assignment = Some(assignment);
                Ok(Assigned::Run(ballot))
            }
            Settled::Attach { executor, ran } => {
                self.read_from(&executor, ran).await.map(Assigned::HandledElsewhere)
            }
            Settled::Failed(_) => Err(outcome_unknown("the key was not settled")),
        }
    }

    /// Bars the key because its assigned executor is not available.
    pub(crate) async fn reassign(&mut self) -> Result<NextStep, ApiError> {
        let above = self.assignment.take().map_or(Ballot::Home, |assignment| assignment.ballot);
        self.bar(above).await
    }

    /// Handles a key that no executor's records cover: replaces a private key, which no other
    /// request uses, and bars a shared one.
    pub(crate) async fn handle_uncovered_key(&mut self) -> Result<NextStep, ApiError> {
        if self.job.shared_key {
            return self.bar(Ballot::Home).await;
        }
        self.job.key = generate_key()?;
        Ok(NextStep::Retry)
    }

    async fn bar(&mut self, above: Ballot) -> Result<NextStep, ApiError> {
        self.assignment = None;
        self.open_ballot = None;
        match settle::bar(self.shared, &self.job, above).await? {
            Settled::Run(ballot) => {
                // An idempotent key gets a ballot even if it may have run before.
                self.may_have_run |= self.job.is_idempotent();
                self.open_ballot = Some(ballot);
                Ok(NextStep::Retry)
            }
            Settled::Attach { executor, ran } => Box::pin(self.read_from(&executor, ran)).await,
            Settled::Failed(_) => Err(outcome_unknown("the key was not settled")),
        }
    }

    /// Reads the answer from the executor that the key is assigned to. `ran` is true if the key is
    /// known to have started there.
    async fn read_from(
        &mut self,
        executor: &EndpointName,
        ran: bool,
    ) -> Result<NextStep, ApiError> {
        let Some(endpoint) = self.shared.configuration.load().known_endpoint(executor) else {
            return self.bar(Ballot::Home).await;
        };
        let until = self.shared.clock.now().plus(START_TIMEOUT);
        loop {
            let mut open = OpenStream::new(self.shared, &endpoint, &self.job.key);
            let mut reader = self.reader(&endpoint);
            let end = reader.attach(&mut open, ATTACH_WAIT).await;
            self.tokens_sent = reader.tokens_sent;
            let not_here = matches!(end, StreamEnd::Rejected(OrderRejection::NotHere { .. }));
            if not_here && ran {
                return Err(outcome_unknown("the endpoint that ran it has lost its records"));
            }
            if not_here && self.shared.clock.now() < until {
                continue;
            }
            if not_here || (matches!(end, StreamEnd::Lost) && !ran) {
                return self.bar(Ballot::Home).await;
            }
            return self.handle_stream_end(end, &Ballot::Home).await;
        }
    }

    /// Sends the order for a reserved slot, and reads its answer.
    pub(crate) async fn send_order(
        &mut self,
        slot: &mut ReservedSlot,
        ballot: Ballot,
        work: Work,
    ) -> Result<NextStep, ApiError> {
        let endpoint = slot.chosen.endpoint.clone();
        let mut open = OpenStream::new(self.shared, &endpoint, &self.job.key);
        let order = RunOrder {
            reservation: slot.reservation.id,
            incarnation: slot.reservation.incarnation,
            key: self.job.key.clone(),
            shared_key: self.job.shared_key,
            ballot: ballot.clone(),
            stream: open.name.clone(),
            work,
        };
        slot.mark_order_sent();
        let sent = self.prompt.as_ref().map(|prompt| {
            self.shared.quarantine.lock().record_send(prompt, self.shared.clock.now())
        });
        let sent_before = self.tokens_sent;
        let mut reader = self.reader(&endpoint);
        let end = reader.run(&order, &mut open).await;
        self.tokens_sent = reader.tokens_sent;
        match &end {
            StreamEnd::EngineEnded if self.tokens_sent <= sent_before + CRASH_WINDOW_TOKENS => {
                self.record_crash(&endpoint, sent);
            }
            StreamEnd::Complete => self.record_sound_run(),
            _ if self.tokens_sent > sent_before + CRASH_WINDOW_TOKENS => self.record_sound_run(),
            _ => {}
        }
        self.handle_stream_end(end, &ballot).await
    }

    /// Records that an engine ended shortly after it had started the prompt.
    fn record_crash(&self, endpoint: &Endpoint, sent: Option<SentRequest>) {
        let Some(sent) = sent else { return };
        let now = self.shared.clock.now();
        let verdict = self.shared.quarantine.lock().record_crash(&sent, now);
        log::warn!(
            "{LOG} the engine of {} ended on {} keys={}: {verdict:?}",
            endpoint.name,
            self.job.key,
            KeySet::from(sent.keys().iter().collect::<Vec<_>>()),
        );
    }

    /// Refuses a prompt in quarantine, because it crashed the engines that ran it.
    pub(crate) fn refuse_quarantined(&self) -> Result<(), ApiError> {
        let Some(prompt) = &self.prompt else { return Ok(()) };
        let now = self.shared.clock.now();
        let Some(found) = self.shared.quarantine.lock().find(prompt, now) else {
            return Ok(());
        };
        let message = match found.entry.keys.sole() {
            Some(CrashKey::Request(_)) => {
                "this prompt is in quarantine because engines crashed each time they ran it"
            }
            _ => "a part of this prompt is in quarantine because engines crashed on it",
        };
        Err(ApiError::not_run(ErrorCode::Quarantined, message).with_retry_after(found.remaining))
    }

    /// Records that an engine survived the prompt.
    fn record_sound_run(&self) {
        if let Some(prompt) = &self.prompt {
            let now = self.shared.clock.now();
            self.shared.quarantine.lock().record_sound_run(prompt, now);
        }
    }

    fn reader<'b>(&'b self, endpoint: &'b Endpoint) -> RunReader<'b> {
        RunReader {
            shared: self.shared,
            endpoint,
            key: &self.job.key,
            tx: self.tx,
            tokens_sent: self.tokens_sent,
            incarnation: None,
        }
    }

    /// Decides from the end of a stream whether the request is done, fails or is retried.
    async fn handle_stream_end(
        &mut self,
        end: StreamEnd,
        ballot: &Ballot,
    ) -> Result<NextStep, ApiError> {
        match end {
            StreamEnd::Complete | StreamEnd::CallerGone => Ok(NextStep::Done),
            StreamEnd::NotExecuted | StreamEnd::Rejected(OrderRejection::Refused { .. }) => {
                Ok(NextStep::Retry)
            }
            StreamEnd::Rejected(OrderRejection::Barred { ballot: promised }) => {
                Box::pin(self.bar(promised.max(ballot.clone()))).await
            }
            StreamEnd::Rejected(OrderRejection::InDoubt) if self.job.shared_key => {
                Box::pin(self.bar(ballot.clone())).await
            }
            StreamEnd::Rejected(OrderRejection::InDoubt | OrderRejection::TooOld)
                if !self.job.shared_key =>
            {
                Box::pin(self.handle_uncovered_key()).await
            }
            StreamEnd::Rejected(OrderRejection::TooOld) => Err(settle::key_too_old()),
            StreamEnd::Rejected(OrderRejection::RanWithoutAnswer { ran }) => {
                self.handle_lost_answer(Some(ran)).await
            }
            StreamEnd::Failed(ran) => self.handle_lost_answer(Some(ran)).await,
            StreamEnd::EngineEnded => self.handle_lost_answer(Some(RunStatus::Failed)).await,
            StreamEnd::Rejected(OrderRejection::NotHere { .. } | OrderRejection::InDoubt)
            | StreamEnd::Lost => self.handle_lost_answer(None).await,
        }
    }

    /// Handles a run without a complete answer; `ran` is its status, if known. An idempotent
    /// request is retried unless its caller has received a part of the answer.
    async fn handle_lost_answer(&mut self, ran: Option<RunStatus>) -> Result<NextStep, ApiError> {
        let can_restart = self.tokens_sent == 0 || self.restartable;
        if !self.job.is_idempotent() || !can_restart {
            return Err(
                ran.map_or_else(|| outcome_unknown("its endpoint is unreachable"), answer_gone)
            );
        }
        self.may_have_run = true;
        if self.tokens_sent > 0 {
            self.tx.send(Ok(Part::Restart)).await.ok();
            self.tokens_sent = 0;
        }
        if self.job.shared_key {
            let above = self.assignment.take().map_or(Ballot::Home, |assignment| assignment.ballot);
            return Box::pin(self.bar(above)).await;
        }
        self.job.key = generate_key()?;
        Ok(NextStep::Retry)
    }
}

/// Result of assigning a key to an executor.
#[derive(Debug)]
pub(crate) enum Assigned {
    /// The executor may execute it, at this ballot.
    Run(Ballot),
    /// The key was assigned to another endpoint; reading the answer from there led to this step.
    HandledElsewhere(NextStep),
}
