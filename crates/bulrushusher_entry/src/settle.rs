//! Makes the calls to agents that the [`Settlement`] of a key requires. The
//! settlement decides which executor may run the request that the key identifies, or finds that the
//! request has run already.
//!
//! The key's *home* is the agent that records the executor of the key. To *bar* a key at a ballot
//! is to make agents promise to refuse orders for the key at lower ballots, as in the prepare phase
//! of Paxos.

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

/// Retry delay sent to callers if a key could not be settled.
const UNSETTLED_RETRY_AFTER: Millis = Millis(2_000);
/// Maximum random pause between two rounds.
const MAX_ROUND_PAUSE_MS: u64 = 200;

/// The present endpoint list of a job's service.
pub(crate) fn list_view(shared: &Shared, job: &Job) -> ListView {
    let configuration = shared.configuration.load();
    configuration.list_view(&job.service, shared.clock.now(), shared.cfg.horizon)
}

fn settle_request(shared: &Shared, job: &Job) -> SettleRequest {
    SettleRequest {
        key: job.key.clone(),
        idempotent: job.is_idempotent(),
        owner: shared.next_owner(),
        skew: shared.cfg.skew,
    }
}

/// Claims the key for `executor` at the key's home. Bars the key if the home does not reply or its
/// records do not cover the key.
pub(crate) async fn claim(
    shared: &Arc<Shared>,
    job: &Job,
    executor: &EndpointName,
) -> Result<Settled, ApiError> {
    let settlement =
        Settlement::claim(settle_request(shared, job), list_view(shared, job), executor.clone());
    run_settlement(shared, job, settlement).await
}

/// Bars the key at a ballot above `above`, and at higher ones in further rounds, until it is
/// settled whether the key has run or at which ballot it may run.
pub(crate) async fn bar(
    shared: &Arc<Shared>,
    job: &Job,
    above: Ballot,
) -> Result<Settled, ApiError> {
    let settlement = Settlement::bar(settle_request(shared, job), list_view(shared, job), above);
    run_settlement(shared, job, settlement).await
}

async fn run_settlement(
    shared: &Arc<Shared>,
    job: &Job,
    mut settlement: Settlement,
) -> Result<Settled, ApiError> {
    loop {
        match settlement.action() {
            SettleAction::Claim { home, executor, revision } => {
                let req = ClaimRequest { key: job.key.clone(), executor, revision };
                let home = shared.configuration.load().known_endpoint(&home);
                let reply = match home {
                    Some(home) => shared.agents.claim(&home, req).await,
                    None => None,
                };
                settlement.record_claim_reply(reply);
            }
            SettleAction::Bar { agents, ballot, revision } => {
                let req = BarRequest { key: job.key.clone(), ballot, revision };
                bar_round(shared, &agents, &req, &mut settlement).await;
                log::info!(
                    "{LOG} key {} barred at {}: {:?}",
                    job.key,
                    req.ballot,
                    settlement.action()
                );
            }
            SettleAction::Pause => {
                let pause = shared.random_below(MAX_ROUND_PAUSE_MS);
                tokio::time::sleep(Millis(pause).duration()).await;
                settlement.next_round(list_view(shared, job));
            }
            SettleAction::Done(Settled::Failed(why)) => return Err(settle_error(why)),
            SettleAction::Done(settled) => return Ok(settled),
        }
    }
}

/// Sends one round of bar requests and records the replies until the settlement can proceed.
async fn bar_round(
    shared: &Arc<Shared>,
    agents: &[EndpointName],
    req: &BarRequest,
    settlement: &mut Settlement,
) {
    let configuration = shared.configuration.load_full();
    let mut calls: FuturesUnordered<_> = agents
        .iter()
        .map(|name| {
            let endpoint = configuration.known_endpoint(name);
            async move {
                let Some(endpoint) = endpoint else { return (name, None) };
                (name, shared.agents.bar(&endpoint, req.clone()).await)
            }
        })
        .collect();
    while let Some((name, response)) = calls.next().await {
        let reply = response.map(|response| AgentBarReply {
            reply: response.reply,
            home: response.home,
            revision: response.revision,
        });
        settlement.record_bar_reply(name, &req.ballot, reply);
        if !matches!(settlement.action(), SettleAction::Bar { .. }) {
            return;
        }
    }
}

fn settle_error(why: SettleFailure) -> ApiError {
    match why {
        SettleFailure::TooOld => key_too_old(),
        SettleFailure::RanWithoutAnswer(ran) => answer_gone(ran),
        SettleFailure::Unknown => outcome_unknown(
            "an endpoint that may have run it is unreachable or has incomplete records",
        ),
        SettleFailure::TableFull => outcome_unknown("an agent's table of keys is full"),
        SettleFailure::Contended => outcome_unknown("other settlements of the key took precedence"),
    }
}

/// The error for a key that is older than the retry horizon. This attempt did not run it, but the
/// records that would show an earlier run may have expired.
pub(crate) fn key_too_old() -> ApiError {
    let message = "the key is older than the retry horizon";
    ApiError { run: RunState::OutcomeUnknown, ..ApiError::not_run(ErrorCode::KeyTooOld, message) }
}

/// The error for a key that ran and whose answer is not available.
pub(crate) fn answer_gone(ran: RunStatus) -> ApiError {
    ApiError {
        code: ErrorCode::AnswerGone,
        run: RunState::Ran,
        message: format!("the request ran once ({ran}) and its answer is not available"),
        retry_after: None,
    }
}

/// The error for a key that may have run.
pub(crate) fn outcome_unknown(why: &str) -> ApiError {
    ApiError {
        code: ErrorCode::OutcomeUnknown,
        run: RunState::OutcomeUnknown,
        message: format!("it is not known whether the request ran: {why}"),
        retry_after: Some(UNSETTLED_RETRY_AFTER),
    }
}
