//! The part of a request that must happen at most once: who runs the key, and what became of it.

use std::sync::Arc;

use bulrushusher_once::{Ballot, RunStatus, Settled};
use bulrushusher_routing::RequestDigest;
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, ErrorCode, OrderRejection, RunOrder, RunState, Work};
use bulrushusher_world::{Endpoint, EndpointName};

use crate::LOG;
use crate::entry::Shared;
use crate::guards::{HeldPlace, OpenStream};
use crate::request::{Job, mint_key};
use crate::run_stream::{Part, PartSender, RunReader, StreamEnd};
use crate::settle::{self, answer_gone, unknown};

/// How long a key that was given to another executor may take to begin there before it is barred.
const BEGIN_WAIT: Millis = Millis(4_000);
/// One wait at an agent for a key to begin.
const ATTACH_WAIT: Millis = Millis(1_000);

/// An engine that ends before a run has passed on more tokens than these may have ended on it. Engines
/// end on what they cannot bear with its first token or two; few runs are as young at any moment.
const CRASH_TOKENS: u32 = 4;

/// Whether a request needs another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// It is answered, or its caller is gone.
    Done,
    /// It certainly did not run, or may run again: try again.
    Again,
}

/// Who may run the key, and at which ballot.
#[derive(Clone, Debug)]
struct Assignment {
    ballot: Ballot,
    executor: EndpointName,
}

/// One request's way to its answer.
pub(crate) struct Execution<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) job: Job,
    tx: &'a PartSender,
    /// True when the caller sees nothing before the answer is whole, so that it may start again.
    restartable: bool,
    /// What is asked for, where it is a prompt.
    pub(crate) prompt: Option<RequestDigest>,
    passed: u32,
    assignment: Option<Assignment>,
    /// A ballot that was cleared for any one executor not yet chosen.
    cleared: Option<Ballot>,
    /// True once an earlier attempt may have run, so that "not run" must not be told any more.
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
            passed: 0,
            assignment: None,
            cleared: None,
            may_have_run: false,
        }
    }

    /// An error as the caller may be told it: what may have run is not told as "not run".
    pub(crate) fn told(&self, e: ApiError) -> ApiError {
        match e.run {
            RunState::NotRun if self.may_have_run => {
                ApiError { run: RunState::OutcomeUnknown, ..e }
            }
            RunState::NotRun | RunState::Ran | RunState::OutcomeUnknown => e,
        }
    }

    /// The only endpoint that may run the key now, if it was given to one.
    pub(crate) fn only(&self) -> Option<EndpointName> {
        self.assignment.as_ref().map(|assignment| assignment.executor.clone())
    }

    /// The endpoint that must not run the key: its home.
    pub(crate) fn home(&self) -> Option<EndpointName> {
        if !self.job.shared_key {
            return None;
        }
        settle::view(self.shared, &self.job).home(&self.job.key).cloned()
    }

    /// True when the key will run at the ballot of its home, so that its executor must vouch for it.
    pub(crate) fn wants_vouching(&self) -> bool {
        self.cleared.is_none()
            && self.assignment.as_ref().is_none_or(|held| held.ballot == Ballot::Home)
    }

    /// Makes sure that `executor` may run the key; when the key is another's, the answer is taken
    /// from there.
    pub(crate) async fn assign(&mut self, executor: &EndpointName) -> Result<Assigned, ApiError> {
        if !self.job.shared_key {
            return Ok(Assigned::Run(Ballot::Home));
        }
        if let Some(held) = &self.assignment {
            return Ok(Assigned::Run(held.ballot.clone()));
        }
        let settled = match self.cleared.take() {
            Some(ballot) => Settled::Run(ballot),
            None => settle::claim(self.shared, &self.job, executor).await?,
        };
        match settled {
            Settled::Run(ballot) => {
                let (held, executor) = (ballot.clone(), executor.clone());
                self.assignment = Some(Assignment { ballot: held, executor });
                Ok(Assigned::Run(ballot))
            }
            Settled::Attach { executor, ran } => {
                self.take_from(&executor, ran).await.map(Assigned::Elsewhere)
            }
            Settled::Failed(_) => Err(unknown("the key was not settled")),
        }
    }

    /// The assigned executor cannot be had any more: bar the key.
    pub(crate) async fn reassign(&mut self) -> Result<Step, ApiError> {
        let above = self.assignment.take().map_or(Ballot::Home, |held| held.ballot);
        self.bar(above).await
    }

    /// No executor vouches for the key: a new one is as good where nobody else knows it, and a
    /// shared one is barred.
    pub(crate) async fn in_doubt(&mut self) -> Result<Step, ApiError> {
        if self.job.shared_key {
            return self.bar(Ballot::Home).await;
        }
        self.job.key = mint_key()?;
        Ok(Step::Again)
    }

    async fn bar(&mut self, above: Ballot) -> Result<Step, ApiError> {
        self.assignment = None;
        self.cleared = None;
        match settle::bar(self.shared, &self.job, above).await? {
            Settled::Run(ballot) => {
                // An idempotent key is cleared also where it may have run before.
                self.may_have_run |= self.job.is_idempotent();
                self.cleared = Some(ballot);
                Ok(Step::Again)
            }
            Settled::Attach { executor, ran } => Box::pin(self.take_from(&executor, ran)).await,
            Settled::Failed(_) => Err(unknown("the key was not settled")),
        }
    }

    /// Takes the answer from the executor that the key belongs to.
    async fn take_from(&mut self, executor: &EndpointName, ran: bool) -> Result<Step, ApiError> {
        let Some(endpoint) = self.shared.configuration.load().known_endpoint(executor) else {
            return self.bar(Ballot::Home).await;
        };
        let until = self.shared.clock.now().plus(BEGIN_WAIT);
        loop {
            let mut open = OpenStream::new(self.shared, &endpoint, &self.job.key);
            let mut reader = self.reader(&endpoint);
            let end = reader.attach(&mut open, ATTACH_WAIT).await;
            self.passed = reader.passed;
            let not_here = matches!(end, StreamEnd::NotTaken(OrderRejection::NotHere { .. }));
            if not_here && ran {
                return Err(unknown("the endpoint that ran it has forgotten it"));
            }
            if not_here && self.shared.clock.now() < until {
                continue;
            }
            if not_here || (matches!(end, StreamEnd::Lost) && !ran) {
                return self.bar(Ballot::Home).await;
            }
            return self.conclude(end, &Ballot::Home).await;
        }
    }

    /// Orders the work at the place held, and reads its answer.
    pub(crate) async fn order(
        &mut self,
        place: &mut HeldPlace,
        ballot: Ballot,
        work: Work,
    ) -> Result<Step, ApiError> {
        let endpoint = place.chosen.endpoint.clone();
        let mut open = OpenStream::new(self.shared, &endpoint, &self.job.key);
        let order = RunOrder {
            reservation: place.reserved.id,
            incarnation: place.reserved.incarnation,
            key: self.job.key.clone(),
            shared_key: self.job.shared_key,
            ballot: ballot.clone(),
            stream: open.name.clone(),
            work,
        };
        place.ordered();
        let before =
            self.prompt.map_or(0, |prompt| self.shared.quarantine.lock().crash_count(prompt));
        let passed_before = self.passed;
        let mut reader = self.reader(&endpoint);
        let end = reader.run(&order, &mut open).await;
        self.passed = reader.passed;
        match &end {
            StreamEnd::EngineEnded if self.passed <= passed_before + CRASH_TOKENS => {
                self.note_crash(&endpoint, before);
            }
            StreamEnd::Whole => self.note_answer(),
            _ => {}
        }
        self.conclude(end, &ballot).await
    }

    /// An engine ended just after it had begun the prompt, which had ended `before` others by then.
    fn note_crash(&self, endpoint: &Endpoint, before: u32) {
        let Some(prompt) = self.prompt else { return };
        let now = self.shared.clock.now();
        let verdict = self.shared.quarantine.lock().record_crash(prompt, before, now);
        log::warn!(
            "{LOG} the engine of {} ended on {} digest={prompt}: {verdict:?}",
            endpoint.name,
            self.job.key,
        );
    }

    /// Refuses a prompt that ended the engines that ran it.
    pub(crate) fn refuse_quarantined(&self) -> Result<(), ApiError> {
        let Some(prompt) = self.prompt else { return Ok(()) };
        let now = self.shared.clock.now();
        let Some(left) = self.shared.quarantine.lock().remaining(prompt, now) else {
            return Ok(());
        };
        let message = "engines ended on this prompt each time it was run";
        Err(ApiError::not_run(ErrorCode::Quarantined, message).with_retry_after(left))
    }

    fn note_answer(&self) {
        if let Some(prompt) = self.prompt {
            self.shared.quarantine.lock().record_answer(prompt);
        }
    }

    fn reader<'b>(&'b self, endpoint: &'b Endpoint) -> RunReader<'b> {
        RunReader {
            shared: self.shared,
            endpoint,
            key: &self.job.key,
            tx: self.tx,
            passed: self.passed,
            incarnation: None,
        }
    }

    /// What the end of a stream means for the request.
    async fn conclude(&mut self, end: StreamEnd, ballot: &Ballot) -> Result<Step, ApiError> {
        match end {
            StreamEnd::Whole | StreamEnd::CallerGone => Ok(Step::Done),
            StreamEnd::NothingRan | StreamEnd::NotTaken(OrderRejection::Refused { .. }) => {
                Ok(Step::Again)
            }
            StreamEnd::NotTaken(OrderRejection::Barred { ballot: held }) => {
                Box::pin(self.bar(held.max(ballot.clone()))).await
            }
            StreamEnd::NotTaken(OrderRejection::InDoubt) if self.job.shared_key => {
                Box::pin(self.bar(ballot.clone())).await
            }
            StreamEnd::NotTaken(OrderRejection::InDoubt | OrderRejection::TooOld)
                if !self.job.shared_key =>
            {
                Box::pin(self.in_doubt()).await
            }
            StreamEnd::NotTaken(OrderRejection::TooOld) => Err(settle::too_old()),
            StreamEnd::NotTaken(OrderRejection::RanWithoutAnswer { ran }) => {
                self.lost(Some(ran)).await
            }
            StreamEnd::Failed(ran) => self.lost(Some(ran)).await,
            StreamEnd::EngineEnded => self.lost(Some(RunStatus::Failed)).await,
            StreamEnd::NotTaken(OrderRejection::NotHere { .. } | OrderRejection::InDoubt)
            | StreamEnd::Lost => self.lost(None).await,
        }
    }

    /// It ran, or may have run, and there is no answer: an idempotent request starts again where
    /// its caller has seen nothing yet.
    async fn lost(&mut self, ran: Option<RunStatus>) -> Result<Step, ApiError> {
        let unseen = self.passed == 0 || self.restartable;
        if !self.job.is_idempotent() || !unseen {
            return Err(ran.map_or_else(|| unknown("its endpoint is gone"), answer_gone));
        }
        self.may_have_run = true;
        if self.passed > 0 {
            self.tx.send(Ok(Part::Restart)).await.ok();
            self.passed = 0;
        }
        if self.job.shared_key {
            let above = self.assignment.take().map_or(Ballot::Home, |held| held.ballot);
            return Box::pin(self.bar(above)).await;
        }
        self.job.key = mint_key()?;
        Ok(Step::Again)
    }
}

/// What became of asking for the right to run a key.
#[derive(Debug)]
pub(crate) enum Assigned {
    /// The executor may run it, at this ballot.
    Run(Ballot),
    /// It was another's.
    Elsewhere(Step),
}
