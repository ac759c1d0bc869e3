//! Who may run a key that others may send too: the home's claim, and the bar when the home cannot
//! vouch.

use std::sync::Arc;

use bulrushusher_once::{Ballot, BarRound, BarVerdict, ClaimReply, Heard, Ran, home_of, key_time};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, BarAsk, ClaimAsk, ErrorCode, RunState};
use bulrushusher_world::{Endpoint, EndpointName};
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::LOG;
use crate::entry::Shared;
use crate::request::Job;

/// Rounds of a bar before a request gives way to the others that want the same key.
const MAX_ROUNDS: u32 = 8;
/// When to come back after a key could not be settled.
const UNSETTLED_RETRY: Millis = Millis(2_000);
/// Longest random pause between two rounds.
const ROUND_PAUSE_MS: u64 = 200;

/// What a request may do about its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Settled {
    /// Run it, at this ballot, at the executor that was asked for.
    Run(Ballot),
    /// It belongs to that endpoint: attach there; `ran` tells whether it began there for certain.
    Attach { executor: EndpointName, ran: bool },
}

/// The key's home by the list in force, where another endpoint could run the key.
pub(crate) fn home(shared: &Shared, job: &Job) -> Option<Endpoint> {
    let executors = shared.configuration.load().executors(&job.service);
    if executors.len() < 2 {
        return None;
    }
    let name = home_of(&job.key, executors.iter().map(|e| &e.name))?.clone();
    executors.into_iter().find(|e| e.name == name)
}

/// Asks the key's home to give the key to `executor`, and bars it when the home cannot vouch.
pub(crate) async fn settle(
    shared: &Arc<Shared>,
    job: &Job,
    executor: &EndpointName,
) -> Result<Settled, ApiError> {
    let home = match home(shared, job) {
        Some(home) => Some(home),
        // The only endpoint is the home of its own keys.
        None => shared.configuration.load().executors(&job.service).into_iter().next(),
    };
    let Some(home) = home else { return bar(shared, job, Ballot::Home).await };
    let revision = shared.configuration.load().snapshot.endpoints_revision;
    let ask = ClaimAsk { key: job.key.clone(), executor: executor.clone(), revision };
    match shared.agents.claim(&home, ask).await {
        Some(ClaimReply::Recorded) => Ok(Settled::Run(Ballot::Home)),
        Some(ClaimReply::Held(executor)) => Ok(Settled::Attach { executor, ran: false }),
        Some(ClaimReply::TooOld) => Err(too_old()),
        Some(ClaimReply::TableFull) => {
            Err(ApiError::not_run(ErrorCode::Overloaded, "the table of keys is full")
                .after(UNSETTLED_RETRY))
        }
        Some(ClaimReply::InDoubt | ClaimReply::OtherList { .. }) | None => {
            bar(shared, job, Ballot::Home).await
        }
    }
}

pub(crate) fn too_old() -> ApiError {
    let message = "the key is older than the time in which a key may be sent again";
    // Nothing is known of whether an earlier attempt ran; this one did not.
    ApiError { run: RunState::OutcomeUnknown, ..ApiError::not_run(ErrorCode::KeyTooOld, message) }
}

/// Bars the key at ballots above `above`, until the answer is clear.
pub(crate) async fn bar(
    shared: &Arc<Shared>,
    job: &Job,
    above: Ballot,
) -> Result<Settled, ApiError> {
    let mut ballot = above;
    for _ in 0..MAX_ROUNDS {
        ballot = ballot.next(&shared.cfg.name, shared.incarnation);
        let verdict = round(shared, job, &ballot).await;
        log::info!("{LOG} key {} barred at {ballot}: {verdict:?}", job.key);
        match verdict {
            BarVerdict::Clear => return Ok(Settled::Run(ballot)),
            BarVerdict::Ran(executor, Ran::Running | Ran::Finished) => {
                return Ok(Settled::Attach { executor, ran: true });
            }
            BarVerdict::Ran(..) if job.is_idempotent() => return Ok(Settled::Run(ballot)),
            BarVerdict::Ran(_, ran) => return Err(answer_gone(ran)),
            BarVerdict::Unknown if job.is_idempotent() => return Ok(Settled::Run(ballot)),
            BarVerdict::Unknown => return Err(unknown("an endpoint that may have run it is gone")),
            BarVerdict::TableFull => return Err(unknown("a table of keys is full")),
            BarVerdict::Higher(held) => ballot = held,
            BarVerdict::OldList(revision) => {
                log::info!("{LOG} a list of revision {revision} is in force elsewhere");
            }
        }
        let pause = shared.random_below(ROUND_PAUSE_MS);
        tokio::time::sleep(Millis(pause).duration()).await;
    }
    Err(unknown("others want the same key"))
}

async fn round(shared: &Arc<Shared>, job: &Job, ballot: &Ballot) -> BarVerdict {
    let configuration = shared.configuration.load_full();
    let executors = configuration.executors(&job.service);
    let list_is_older = key_time(&job.key)
        .is_some_and(|time| time > configuration.list_learned.plus(shared.cfg.skew));
    let idle_home = home(shared, job).filter(|_| list_is_older).map(|home| home.name);
    let names = executors.iter().map(|e| e.name.clone());
    let revision = configuration.snapshot.endpoints_revision;
    let mut round = BarRound::new(ballot.clone(), revision, names, idle_home);
    let mut asks: FuturesUnordered<_> = executors
        .iter()
        .map(|endpoint| async move {
            let ask = BarAsk { key: job.key.clone(), ballot: ballot.clone() };
            (&endpoint.name, shared.agents.bar(endpoint, ask).await)
        })
        .collect();
    while let Some((name, answer)) = asks.next().await {
        match answer {
            Some(answer) => {
                let heard =
                    Heard { reply: answer.reply, home: answer.home, revision: answer.revision };
                round.reply(name, heard);
            }
            None => round.unreachable(name),
        }
        if let Some(verdict) = round.verdict() {
            return verdict;
        }
    }
    round.verdict().unwrap_or(BarVerdict::Unknown)
}

/// The error for a key that ran and whose answer cannot be had.
pub(crate) fn answer_gone(ran: Ran) -> ApiError {
    ApiError {
        code: ErrorCode::AnswerGone,
        run: RunState::Ran,
        message: format!("the request ran once ({ran}) and its answer cannot be had"),
        retry_after: None,
    }
}

/// The error for a key that may have run.
pub(crate) fn unknown(why: &str) -> ApiError {
    ApiError {
        code: ErrorCode::OutcomeUnknown,
        run: RunState::OutcomeUnknown,
        message: format!("whether the request ran cannot be told now: {why}"),
        retry_after: Some(UNSETTLED_RETRY),
    }
}
