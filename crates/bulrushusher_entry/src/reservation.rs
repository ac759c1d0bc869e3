//! Reservation of a slot at a runner.

use std::sync::Arc;

use bulrushusher_admission::Refusal;
use bulrushusher_routing::{Chosen, NotPlaced, PromptRequest, ServiceRequest};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, ErrorCode, ReserveRequest};
use bulrushusher_world::{EndpointName, Patience, Role};

use crate::LOG;
use crate::entry::Shared;
use crate::guards::ReservedSlot;
use crate::request::Job;

/// Initial pause before the pool is tried again after every member refused or did not reply. It
/// doubles with each round, up to [`WaitLimits::max_pause`].
const INITIAL_PAUSE: Millis = Millis(50);
/// Retry delay sent to callers if no endpoint accepts work.
const NO_ENDPOINT_RETRY: Millis = Millis(2_000);

/// How long a request waits before the next routing decision.
struct WaitLimits {
    /// Maximum wait in the queue of one agent. The request is then routed again, to the same or
    /// another agent, with the same deadlines. Also limits how long a broken connection stays
    /// undetected.
    max_queueing: Millis,
    /// Maximum pause before the pool is tried again.
    max_pause: Millis,
}

impl WaitLimits {
    fn of(patience: Patience) -> WaitLimits {
        match patience {
            Patience::Interactive => {
                WaitLimits { max_queueing: Millis(300), max_pause: Millis(200) }
            }
            Patience::Patient => {
                WaitLimits { max_queueing: Millis(1_000), max_pause: Millis(1_000) }
            }
        }
    }
}

/// Requirements on a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlotCriteria<'a> {
    pub(crate) role: Role,
    pub(crate) job: &'a Job,
    pub(crate) blocks: &'a [u64],
    /// The endpoint whose agent is the home of the request's key; it must not execute the request.
    pub(crate) home: Option<&'a EndpointName>,
    /// The endpoint that the key is assigned to, if any; no other one may be chosen.
    pub(crate) assigned: Option<&'a EndpointName>,
    /// True if the key will be executed at the ballot of its home. The endpoint's records must then
    /// cover the key.
    pub(crate) needs_coverage: bool,
    /// When to stop trying.
    pub(crate) wait_until: Millis,
}

/// Why no slot was reserved.
#[derive(Debug)]
pub(crate) enum ReservationError {
    /// All slots are in use; one may be free after `retry_after`.
    Busy { retry_after: Millis },
    /// The endpoint that the key is assigned to is draining or does not reply.
    ExecutorUnavailable,
    /// No endpoint has records that reach back far enough to cover the key.
    KeyNotCovered,
    /// No endpoint can be chosen.
    NotPlaced(NotPlaced),
}

impl ReservationError {
    /// Converts to the error for the caller; the request was not run.
    pub(crate) fn into_error(self) -> ApiError {
        match self {
            ReservationError::Busy { retry_after } => {
                ApiError::not_run(ErrorCode::Overloaded, "all slots are in use")
                    .with_retry_after(retry_after)
            }
            ReservationError::ExecutorUnavailable => ApiError::not_run(
                ErrorCode::NoEndpoint,
                "the endpoint that the key is assigned to does not reply",
            )
            .with_retry_after(NO_ENDPOINT_RETRY),
            ReservationError::KeyNotCovered => ApiError::not_run(
                ErrorCode::NoEndpoint,
                "no endpoint can rule out an earlier run of the key",
            )
            .with_retry_after(NO_ENDPOINT_RETRY),
            ReservationError::NotPlaced(e @ NotPlaced::UnknownService { .. }) => {
                ApiError::not_run(ErrorCode::UnknownService, e.to_string())
            }
            ReservationError::NotPlaced(e @ NotPlaced::NoneAvailable { .. }) => {
                ApiError::not_run(ErrorCode::NoEndpoint, e.to_string())
                    .with_retry_after(NO_ENDPOINT_RETRY)
            }
        }
    }
}

/// Reserves a slot. Tries the pool's members in turn until [`SlotCriteria::wait_until`].
pub(crate) async fn reserve_slot(
    shared: &Arc<Shared>,
    criteria: SlotCriteria<'_>,
) -> Result<ReservedSlot, ReservationError> {
    let limits = WaitLimits::of(criteria.job.class.patience);
    let mut refused: Vec<EndpointName> = Vec::new();
    let mut not_covered = 0;
    let mut pause = INITIAL_PAUSE;
    let mut busy_retry_after = Millis(1_000);
    loop {
        let now = shared.clock.now();
        let chosen = match choose(shared, &criteria, &refused, now) {
            Ok(chosen) => chosen,
            Err(e) if refused.is_empty() => return Err(ReservationError::NotPlaced(e)),
            Err(_) if criteria.assigned.is_some() => {
                return Err(ReservationError::ExecutorUnavailable);
            }
            Err(_) if not_covered == refused.len() => return Err(ReservationError::KeyNotCovered),
            Err(_) => {
                refused.clear();
                not_covered = 0;
                let jitter = shared.random_below(pause.0 / 2 + 1);
                tokio::time::sleep(pause.plus(Millis(jitter)).duration()).await;
                pause = pause.plus(pause).min(limits.max_pause);
                if criteria.wait_until <= shared.clock.now() {
                    return Err(ReservationError::Busy { retry_after: busy_retry_after });
                }
                continue;
            }
        };
        let wait = criteria.wait_until.since(now).min(limits.max_queueing);
        let req = ReserveRequest {
            entry: shared.cfg.name.clone(),
            start_within: criteria.job.start_within(now),
            late_within: criteria.job.late_within(now),
            wait,
            key: criteria.needs_coverage.then(|| criteria.job.key.clone()),
        };
        let Some(reply) = shared.agents.reserve(&chosen.endpoint, req).await else {
            log::info!(
                "{LOG} {} did not reply to a reservation, choosing another endpoint",
                chosen.endpoint.name
            );
            refused.push(chosen.endpoint.name.clone());
            continue;
        };
        shared.record_load(&chosen.endpoint.name, reply.load);
        match reply.outcome {
            Ok(reservation) => return Ok(ReservedSlot::new(shared, chosen, reservation)),
            Err(Refusal::Full { retry_after }) => {
                busy_retry_after = retry_after;
                if criteria.wait_until <= shared.clock.now() {
                    return Err(ReservationError::Busy { retry_after });
                }
            }
            Err(refusal) => {
                not_covered += usize::from(refusal == Refusal::CannotVouch);
                refused.push(chosen.endpoint.name.clone());
            }
        }
    }
}

fn choose(
    shared: &Shared,
    criteria: &SlotCriteria,
    refused: &[EndpointName],
    now: Millis,
) -> Result<Chosen, NotPlaced> {
    let mut excluded = refused.to_vec();
    excluded.extend(criteria.home.cloned());
    let mut table = shared.table.lock();
    if let Some(assigned) = criteria.assigned {
        let others = table.endpoints().map(|(endpoint, _)| &endpoint.name);
        excluded.extend(others.filter(|name| *name != assigned).cloned());
    }
    let service = &criteria.job.service;
    let prompt = PromptRequest { service, blocks: criteria.blocks, excluded: &excluded };
    match criteria.role {
        Role::Prefill => table.choose_prefill(&prompt, now),
        Role::Decode => table.choose_decode(&prompt, now),
        Role::Service => {
            table.choose_service(&ServiceRequest { service, excluded: &excluded }, now)
        }
    }
}

/// Until when a request waits for its first slot. An interactive one is refused early, so that its
/// caller can react; a patient one waits until its deadline.
pub(crate) fn first_slot_wait_until(job: &Job) -> Millis {
    /// Limit for interactive requests, as a multiple of the target time to first token.
    const INTERACTIVE_WAIT_FACTOR: u64 = 8;
    match job.class.patience {
        Patience::Interactive => {
            job.deadline.min(job.arrived.plus(Millis(job.class.ttft.0 * INTERACTIVE_WAIT_FACTOR)))
        }
        Patience::Patient => job.deadline,
    }
}
