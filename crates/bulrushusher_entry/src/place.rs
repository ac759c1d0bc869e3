//! Getting a place at a runner.

use std::sync::Arc;

use bulrushusher_admission::Refusal;
use bulrushusher_routing::{Chosen, NotPlaced, PromptRequest, ServiceRequest};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, ErrorCode, ReserveRequest};
use bulrushusher_world::{EndpointName, Patience, Role};

use crate::LOG;
use crate::entry::Shared;
use crate::guards::HeldPlace;
use crate::request::Job;

/// First pause before the pool is asked again when every member refused or did not answer; it
/// doubles each time, up to the longest.
const FIRST_PAUSE: Millis = Millis(50);
/// When to come back when no endpoint takes work.
const NO_ENDPOINT_RETRY: Millis = Millis(2_000);

/// How long a request waits between two decisions.
struct Waits {
    /// The longest single wait at one agent; afterwards the request asks again, there or elsewhere,
    /// with the same urgency. Also how long a connection that has gone silent goes unnoticed.
    step: Millis,
    /// The longest pause before the pool is asked again.
    longest_pause: Millis,
}

impl Waits {
    fn of(patience: Patience) -> Waits {
        match patience {
            Patience::Interactive => Waits { step: Millis(300), longest_pause: Millis(200) },
            Patience::Patient => Waits { step: Millis(1_000), longest_pause: Millis(1_000) },
        }
    }
}

/// What a place is wanted for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Want<'a> {
    pub(crate) role: Role,
    pub(crate) job: &'a Job,
    pub(crate) blocks: &'a [u64],
    /// The endpoint that must not run the key.
    pub(crate) home: Option<&'a EndpointName>,
    /// The only endpoint that may be taken, where the key belongs to one already.
    pub(crate) only: Option<&'a EndpointName>,
    /// True when the key shall run there at the ballot of its home, so that the endpoint must
    /// vouch for it.
    pub(crate) vouched: bool,
    /// When to stop asking.
    pub(crate) until: Millis,
}

/// Why no place was had by the time to stop asking.
#[derive(Debug)]
pub(crate) enum NoPlace {
    /// Places are taken; one may be free then.
    Busy { retry_after: Millis },
    /// The one endpoint that may be taken is leaving or does not answer.
    OnlyGone,
    /// No endpoint remembers far enough back to vouch for the key.
    NoneVouches,
    /// There is nothing to ask.
    NotPlaced(NotPlaced),
}

impl NoPlace {
    /// The error for a caller whose request was not run.
    pub(crate) fn into_error(self) -> ApiError {
        match self {
            NoPlace::Busy { retry_after } => {
                ApiError::not_run(ErrorCode::Overloaded, "every place is taken")
                    .with_retry_after(retry_after)
            }
            NoPlace::OnlyGone => {
                ApiError::not_run(ErrorCode::NoEndpoint, "the key's endpoint does not answer")
                    .with_retry_after(NO_ENDPOINT_RETRY)
            }
            NoPlace::NoneVouches => {
                ApiError::not_run(ErrorCode::NoEndpoint, "no endpoint can vouch for the key")
                    .with_retry_after(NO_ENDPOINT_RETRY)
            }
            NoPlace::NotPlaced(e @ NotPlaced::UnknownService { .. }) => {
                ApiError::not_run(ErrorCode::UnknownService, e.to_string())
            }
            NoPlace::NotPlaced(e @ NotPlaced::NoneAvailable { .. }) => {
                ApiError::not_run(ErrorCode::NoEndpoint, e.to_string())
                    .with_retry_after(NO_ENDPOINT_RETRY)
            }
        }
    }
}

/// Asks for a place until one is had or the time is over.
pub(crate) async fn get(shared: &Arc<Shared>, want: Want<'_>) -> Result<HeldPlace, NoPlace> {
    let waits = Waits::of(want.job.class.patience);
    let mut refused: Vec<EndpointName> = Vec::new();
    let mut unvouched = 0;
    let mut pause = FIRST_PAUSE;
    let mut busy = Millis(1_000);
    loop {
        let now = shared.clock.now();
        let chosen = match choose(shared, &want, &refused, now) {
            Ok(chosen) => chosen,
            Err(e) if refused.is_empty() => return Err(NoPlace::NotPlaced(e)),
            Err(_) if want.only.is_some() => return Err(NoPlace::OnlyGone),
            Err(_) if unvouched == refused.len() => return Err(NoPlace::NoneVouches),
            Err(_) => {
                refused.clear();
                unvouched = 0;
                let jitter = shared.random_below(pause.0 / 2 + 1);
                tokio::time::sleep(pause.plus(Millis(jitter)).duration()).await;
                pause = pause.plus(pause).min(waits.longest_pause);
                if want.until <= shared.clock.now() {
                    return Err(NoPlace::Busy { retry_after: busy });
                }
                continue;
            }
        };
        let wait = want.until.since(now).min(waits.step);
        let ask = ReserveRequest {
            entry: shared.cfg.name.clone(),
            start_within: want.job.start_within(now),
            late_within: want.job.late_within(now),
            wait,
            key: want.vouched.then(|| want.job.key.clone()),
        };
        let Some(reply) = shared.agents.reserve(&chosen.endpoint, ask).await else {
            log::info!("{LOG} {} did not answer, another is chosen", chosen.endpoint.name);
            refused.push(chosen.endpoint.name.clone());
            continue;
        };
        shared.hear(&chosen.endpoint.name, reply.load);
        match reply.outcome {
            Ok(reserved) => return Ok(HeldPlace::new(shared, chosen, reserved)),
            Err(Refusal::Full { retry_after }) => {
                busy = retry_after;
                if want.until <= shared.clock.now() {
                    return Err(NoPlace::Busy { retry_after });
                }
            }
            Err(refusal) => {
                unvouched += usize::from(refusal == Refusal::CannotVouch);
                refused.push(chosen.endpoint.name.clone());
            }
        }
    }
}

fn choose(
    shared: &Shared,
    want: &Want,
    refused: &[EndpointName],
    now: Millis,
) -> Result<Chosen, NotPlaced> {
    let mut excluded = refused.to_vec();
    excluded.extend(want.home.cloned());
    let mut table = shared.table.lock();
    if let Some(only) = want.only {
        let others = table.endpoints().map(|(endpoint, _)| &endpoint.name);
        excluded.extend(others.filter(|name| *name != only).cloned());
    }
    let service = &want.job.service;
    let prompt = PromptRequest { service, blocks: want.blocks, excluded: &excluded };
    match want.role {
        Role::Prefill => table.choose_prefill(&prompt, now),
        Role::Decode => table.choose_decode(&prompt, now),
        Role::Service => {
            table.choose_service(&ServiceRequest { service, excluded: &excluded }, now)
        }
    }
}

/// When a request stops asking for a first place: an interactive one is refused early, so that its
/// caller can act; a patient one waits for as long as it may.
pub(crate) fn give_up_at(job: &Job) -> Millis {
    /// An interactive request that has waited this many times its target is refused.
    const INTERACTIVE_PATIENCE: u64 = 8;
    match job.class.patience {
        Patience::Interactive => {
            job.deadline.min(job.arrived.plus(Millis(job.class.ttft.0 * INTERACTIVE_PATIENCE)))
        }
        Patience::Patient => job.deadline,
    }
}
