//! A prompt's way: a prefill place, a decode place, the prefill, the decode.

use std::sync::Arc;

use bulrushusher_http::{HttpError, LineStream};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, DecodeRun, ErrorCode, Frame, KvHandle, PrefillRun, Work};
use bulrushusher_world::{Patience, Role};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::LOG;
use crate::entry::Shared;
use crate::execution::{Assigned, Execution, Step};
use crate::guards::HeldPlace;
use crate::place::{self, NoPlace, Want};
use crate::request::{Job, PromptJob};
use crate::run_stream::{PartSender, supervise};

/// Bytes of a prompt in one block of the prefix index.
const BLOCK_BYTES: usize = 1_024;
/// How long a prefill result may wait for a decode place when none was held before.
const RESULT_WAIT: Millis = Millis(600);
/// Pause before another attempt.
const ATTEMPT_PAUSE: Millis = Millis(20);

/// Chained hashes of the whole blocks of a prompt: block `n`'s covers blocks 0 to `n`.
fn blocks(prompt: &str) -> Vec<u64> {
    let mut chain = 0;
    let whole = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    whole
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}

/// Runs a prompt and sends its answer, or its error, to `tx`.
pub(crate) async fn run(shared: Arc<Shared>, prompt: PromptJob, tx: PartSender) {
    let work = answer(&shared, &prompt, &tx);
    supervise(Arc::clone(&shared), prompt.job.clone(), tx.clone(), work).await;
}

async fn answer(shared: &Arc<Shared>, prompt: &PromptJob, tx: &PartSender) -> Result<(), ApiError> {
    let blocks = blocks(&prompt.prompt);
    let mut execution = Execution::new(shared, prompt.job.clone(), tx, !prompt.stream);
    execution.prompt = Some(prompt.digest());
    shared.retries.lock().earn();
    let tried = attempts(shared, prompt, &blocks, &mut execution).await;
    tried.map_err(|e| execution.told(e))
}

async fn attempts(
    shared: &Arc<Shared>,
    prompt: &PromptJob,
    blocks: &[u64],
    execution: &mut Execution<'_>,
) -> Result<(), ApiError> {
    loop {
        execution.job.time_left(shared.clock.now())?;
        execution.refuse_quarantined()?;
        if attempt(shared, prompt, blocks, execution).await? == Step::Done {
            return Ok(());
        }
        spend_retry(shared, &execution.job)?;
        tokio::time::sleep(ATTEMPT_PAUSE.duration()).await;
    }
}

/// Takes a retry from the budget. Patient requests are never dropped for want of one.
pub(crate) fn spend_retry(shared: &Shared, job: &Job) -> Result<(), ApiError> {
    const COME_BACK: Millis = Millis(1_000);
    let has_budget = shared.retries.lock().take();
    if has_budget || job.class.patience == Patience::Patient {
        return Ok(());
    }
    let message = "endpoints keep failing and the retry budget is used up";
    Err(ApiError::not_run(ErrorCode::Overloaded, message).with_retry_after(COME_BACK))
}

async fn attempt(
    shared: &Arc<Shared>,
    prompt: &PromptJob,
    blocks: &[u64],
    execution: &mut Execution<'_>,
) -> Result<Step, ApiError> {
    let job = execution.job.clone();
    let until = place::give_up_at(&job);
    let home = execution.home();
    let want = Want {
        role: Role::Prefill,
        job: &job,
        blocks,
        home: None,
        only: None,
        vouched: false,
        until,
    };
    let mut prefill = place::get(shared, want).await.map_err(NoPlace::into_error)?;
    let decode_first = shared.cfg.pairing.policy.reserves_decode_first();

    let only = execution.only();
    let want = Want {
        role: Role::Decode,
        home: home.as_ref(),
        only: only.as_ref(),
        vouched: execution.wants_vouching(),
        ..want
    };
    let mut decode = None;
    if decode_first || job.shared_key {
        // The prefill place is held for some time only; give it back before it lapses.
        let held = Millis(prefill.reserved.time_to_live.0 / 2);
        let until = until.min(shared.clock.now().plus(held));
        match place::get(shared, Want { until, ..want }).await {
            Ok(place) => decode = Some(place),
            Err(NoPlace::OnlyGone) => return execution.reassign().await,
            Err(NoPlace::NoneVouches) => return execution.in_doubt().await,
            Err(NoPlace::Busy { .. }) => return Ok(Step::Again),
            Err(e) => return Err(e.into_error()),
        }
    }
    let ballot = match &decode {
        None => bulrushusher_once::Ballot::Home,
        Some(place) => match execution.assign(&place.chosen.endpoint.name).await? {
            Assigned::Run(ballot) => ballot,
            Assigned::Elsewhere(step) => return Ok(step),
        },
    };
    let Some((kv, _result)) = compute(shared, prompt, &execution.job, &mut prefill).await else {
        return Ok(Step::Again);
    };
    shared.table.lock().record_prefill(&prefill.chosen, blocks);
    let mut decode = match decode {
        Some(place) => place,
        None => {
            let until = shared.clock.now().plus(RESULT_WAIT);
            match place::get(shared, Want { until, ..want }).await {
                Ok(place) => place,
                Err(_) => return Ok(Step::Again),
            }
        }
    };
    let work = Work::Decode(DecodeRun { kv, max_tokens: prompt.max_tokens });
    execution.order(&mut decode, ballot, work).await
}

/// Computes the prompt. The result is held for as long as the returned stream is.
async fn compute(
    shared: &Arc<Shared>,
    prompt: &PromptJob,
    job: &Job,
    place: &mut HeldPlace,
) -> Option<(KvHandle, LineStream)> {
    let order = PrefillRun {
        reservation: place.reserved.id,
        key: job.key.clone(),
        run: shared.unique(),
        prompt: prompt.prompt.clone(),
    };
    place.ordered();
    let endpoint = &place.chosen.endpoint;
    match read_result(shared, endpoint, &order).await {
        Ok(Some(result)) => Some(result),
        Ok(None) => None,
        Err(e) => {
            log::info!("{LOG} prefill at {} failed, it is done again: {e}", endpoint.name);
            None
        }
    }
}

async fn read_result(
    shared: &Shared,
    endpoint: &bulrushusher_world::Endpoint,
    order: &PrefillRun,
) -> Result<Option<(KvHandle, LineStream)>, HttpError> {
    let mut stream = shared.agents.prefill(endpoint, order).await?;
    while let Some(frame) = stream.next_message::<Frame>().await? {
        match frame {
            Frame::Beat => {}
            Frame::Prefilled { kv, .. } => return Ok(Some((kv, stream))),
            other => {
                log::info!("{LOG} prefill at {} was not done: {other:?}", endpoint.name);
                return Ok(None);
            }
        }
    }
    Ok(None)
}
