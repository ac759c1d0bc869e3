//! Carries out the settlement of a key: the calls that a [`Settlement`] asks for.

use std::sync::Arc;

use bulrushusher_once::{
    AgentBarReply, Ballot, ListView, RunStatus, SettleAction, SettleFailure, SettleRequest,
    Settled, Settlement,
};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, BarRequest, ClaimRequest, ErrorCode, RunState};
use bulrushusher_world::EndpointName;
use futures_util::stream::{FuturesUnordered, StreamExt};

use crate::LOG;
use crate::entry::Shared;
use crate::request::Job;

/// When to come back after a key could not be settled.
const UNSETTLED_RETRY: Millis = Millis(2_000);
/// Longest random pause between two rounds.
const ROUND_PAUSE_MS: u64 = 200;

/// The endpoint list of a job's service as this entry holds it.
pub(crate) fn view(shared: &Shared, job: &Job) -> ListView {
    let configuration = shared.configuration.load();
    configuration.list_view(&job.service, shared.clock.now(), shared.cfg.horizon)
}

fn ask(shared: &Shared, job: &Job) -> SettleRequest {
    SettleRequest {
        key: job.key.clone(),
        idempotent: job.is_idempotent(),
        owner: shared.next_owner(),
        skew: shared.cfg.skew,
    }
}

/// Asks the key's home to give the key to `executor`, and bars it when the home cannot vouch.
pub(crate) async fn claim(
    shared: &Arc<Shared>,
    job: &Job,
    executor: &EndpointName,
) -> Result<Settled, ApiError> {
    let settlement = Settlement::claim(ask(shared, job), view(shared, job), executor.clone());
    drive(shared, job, settlement).await
}

/// Bars the key at ballots above `above`, until the answer is clear.
pub(crate) async fn bar(
    shared: &Arc<Shared>,
    job: &Job,
    above: Ballot,
) -> Result<Settled, ApiError> {
    let settlement = Settlement::bar(ask(shared, job), view(shared, job), above);
    drive(shared, job, settlement).await
}

async fn drive(
    shared: &Arc<Shared>,
    job: &Job,
    mut settlement: Settlement,
) -> Result<Settled, ApiError> {
    loop {
        match settlement.action() {
            SettleAction::Claim { home, executor, revision } => {
                let ask = ClaimRequest { key: job.key.clone(), executor, revision };
                let home = shared.configuration.load().known_endpoint(&home);
                let reply = match home {
                    Some(home) => shared.agents.claim(&home, ask).await,
                    None => None,
                };
                settlement.record_claim_reply(reply);
            }
            SettleAction::Bar { agents, ballot, revision } => {
                let ask = BarRequest { key: job.key.clone(), ballot, revision };
                round(shared, &agents, &ask, &mut settlement).await;
                log::info!(
                    "{LOG} key {} barred at {}: {:?}",
                    job.key,
                    ask.ballot,
                    settlement.action()
                );
            }
            SettleAction::Pause => {
                let pause = shared.random_below(ROUND_PAUSE_MS);
                tokio::time::sleep(Millis(pause).duration()).await;
                settlement.next_round(view(shared, job));
            }
            SettleAction::Done(Settled::Failed(why)) => return Err(unsettled(why)),
            SettleAction::Done(settled) => return Ok(settled),
        }
    }
}

/// Sends one round of bars and reports the answers until the settlement has what it needs.
async fn round(
    shared: &Arc<Shared>,
    agents: &[EndpointName],
    ask: &BarRequest,
    settlement: &mut Settlement,
) {
    let configuration = shared.configuration.load_full();
    let mut asks: FuturesUnordered<_> = agents
        .iter()
        .map(|name| {
            let endpoint = configuration.known_endpoint(name);
            async move {
                let Some(endpoint) = endpoint else { return (name, None) };
                (name, shared.agents.bar(&endpoint, ask.clone()).await)
            }
        })
        .collect();
    while let Some((name, answer)) = asks.next().await {
        let heard = answer.map(|answer| AgentBarReply {
            reply: answer.reply,
            home: answer.home,
            revision: answer.revision,
        });
        settlement.record_bar_reply(name, &ask.ballot, heard);
        if !matches!(settlement.action(), SettleAction::Bar { .. }) {
            return;
        }
    }
}

fn unsettled(why: SettleFailure) -> ApiError {
    match why {
        SettleFailure::TooOld => too_old(),
        SettleFailure::RanWithoutAnswer(ran) => answer_gone(ran),
        SettleFailure::Unknown => unknown("an endpoint that may have run it is gone"),
        SettleFailure::TableFull => unknown("a table of keys is full"),
        SettleFailure::Contended => unknown("others want the same key"),
    }
}

/// The error for a key older than the retry horizon. This attempt did not run it; whether an
/// earlier one did is not known any more.
pub(crate) fn too_old() -> ApiError {
    let message = "the key is older than the time in which a key may be sent again";
    ApiError { run: RunState::OutcomeUnknown, ..ApiError::not_run(ErrorCode::KeyTooOld, message) }
}

/// The error for a key that ran and whose answer cannot be had.
pub(crate) fn answer_gone(ran: RunStatus) -> ApiError {
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
