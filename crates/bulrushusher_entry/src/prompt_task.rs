//! The task that executes a prompt: it reserves a prefill slot and a decode slot, then runs the
//! prefill and the decode.

use std::sync::Arc;

use bulrushusher_http::{HttpError, LineStream};
use bulrushusher_time::Millis;
use bulrushusher_wire::{ApiError, DecodeRun, ErrorCode, Frame, KvHandle, PrefillRun, Work};
use bulrushusher_world::{Patience, Role};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::LOG;
use crate::entry::Shared;
use crate::execution::{Assigned, Execution, NextStep};
use crate::guards::ReservedSlot;
use crate::request::{BLOCK_BYTES, Job, PromptJob};
use crate::reservation::{ReservationError, SlotCriteria, first_slot_wait_until, reserve_slot};
use crate::run_stream::{PartSender, supervise};

/// How long a prefill result may wait for a decode slot if none was reserved before the prefill.
const DECODE_SLOT_WAIT: Millis = Millis(600);
/// Pause between two attempts.
const RETRY_PAUSE: Millis = Millis(20);

/// Chained hashes of the complete blocks of a prompt; the hash of block `n` covers blocks 0 to `n`.
fn block_hashes(prompt: &str) -> Vec<u64> {
    let mut hash = 0;
    let complete = prompt.as_bytes().chunks_exact(BLOCK_BYTES);
    complete
        .map(|block| {
            hash = xxh3_64_with_seed(block, hash);
            hash
        })
        .collect()
}

/// Executes a prompt and sends its answer or error to `tx`.
pub(crate) async fn run(shared: Arc<Shared>, prompt: PromptJob, tx: PartSender) {
    let work = execute(&shared, &prompt, &tx);
    supervise(Arc::clone(&shared), prompt.job.clone(), tx.clone(), work).await;
}

async fn execute(
    shared: &Arc<Shared>,
    prompt: &PromptJob,
    tx: &PartSender,
) -> Result<(), ApiError> {
    let blocks = block_hashes(&prompt.prompt);
    let mut execution = Execution::new(shared, prompt.job.clone(), tx, !prompt.stream);
    execution.prompt = Some(prompt.crash_keys());
    shared.earn_retry();
    let result = run_attempts(shared, prompt, &blocks, &mut execution).await;
    result.map_err(|e| execution.caller_error(e))
}

async fn run_attempts(
    shared: &Arc<Shared>,
    prompt: &PromptJob,
    blocks: &[u64],
    execution: &mut Execution<'_>,
) -> Result<(), ApiError> {
    loop {
        execution.job.time_left(shared.clock.now())?;
        execution.refuse_quarantined()?;
        if run_attempt(shared, prompt, blocks, execution).await? == NextStep::Done {
            return Ok(());
        }
        take_retry(shared, &execution.job)?;
        tokio::time::sleep(RETRY_PAUSE.duration()).await;
    }
}

/// Takes a retry from the retry budget. Patient requests may retry even if it is used up.
pub(crate) fn take_retry(shared: &Shared, job: &Job) -> Result<(), ApiError> {
    const RETRY_AFTER: Millis = Millis(1_000);
    if shared.take_retry() || job.class.patience == Patience::Patient {
        return Ok(());
    }
    let message = "attempts keep failing and the retry budget is used up";
    Err(ApiError::not_run(ErrorCode::Overloaded, message).with_retry_after(RETRY_AFTER))
}

async fn run_attempt(
    shared: &Arc<Shared>,
    prompt: &PromptJob,
    blocks: &[u64],
    execution: &mut Execution<'_>,
) -> Result<NextStep, ApiError> {
    let job = execution.job.clone();
    let wait_until = first_slot_wait_until(&job);
    let home = execution.home();
    let criteria = SlotCriteria {
        role: Role::Prefill,
        job: &job,
        blocks,
        home: None,
        assigned: None,
        needs_coverage: false,
        wait_until,
    };
    let mut prefill = reserve_slot(shared, criteria).await.map_err(ReservationError::into_error)?;
    let decode_first = shared.cfg.pairing.policy.reserves_decode_first();

    let assigned = execution.assigned_executor();
    let criteria = SlotCriteria {
        role: Role::Decode,
        home: home.as_ref(),
        assigned: assigned.as_ref(),
        needs_coverage: execution.needs_coverage(),
        ..criteria
    };
    let mut decode = None;
    if decode_first || job.shared_key {
        // At most half the time to live of the prefill reservation, so that it is used or
        // released before it expires.
        let max_wait = Millis(prefill.reservation.time_to_live.0 / 2);
        let wait_until = wait_until.min(shared.clock.now().plus(max_wait));
        match reserve_slot(shared, SlotCriteria { wait_until, ..criteria }).await {
            Ok(slot) => decode = Some(slot),
            Err(ReservationError::ExecutorUnavailable) => return execution.reassign().await,
            Err(ReservationError::KeyNotCovered) => return execution.handle_uncovered_key().await,
            Err(ReservationError::Busy { .. }) => return Ok(NextStep::Retry),
            Err(e) => return Err(e.into_error()),
        }
    }
    let ballot = match &decode {
        None => bulrushusher_once::Ballot::Home,
        Some(slot) => match execution.assign(&slot.chosen.endpoint.name).await? {
            Assigned::Run(ballot) => ballot,
            Assigned::HandledElsewhere(next) => return Ok(next),
        },
    };
    let Some((kv, _stream)) = prefill_prompt(shared, prompt, &execution.job, &mut prefill).await
    else {
        return Ok(NextStep::Retry);
    };
    shared.table.lock().record_prefill(&prefill.chosen, blocks);
    let mut decode = match decode {
        Some(slot) => slot,
        None => {
            let wait_until = shared.clock.now().plus(DECODE_SLOT_WAIT);
            match reserve_slot(shared, SlotCriteria { wait_until, ..criteria }).await {
                Ok(slot) => slot,
                Err(_) => return Ok(NextStep::Retry),
            }
        }
    };
    let work = Work::Decode(DecodeRun { kv, max_tokens: prompt.max_tokens });
    execution.send_order(&mut decode, ballot, work).await
}

/// Runs the prefill of a prompt; `None` if it failed. The KV cache is held as long as the returned
/// stream is open.
async fn prefill_prompt(
    shared: &Arc<Shared>,
    prompt: &PromptJob,
    job: &Job,
    slot: &mut ReservedSlot,
) -> Option<(KvHandle, LineStream)> {
    let order = PrefillRun {
        reservation: slot.reservation.id,
        key: job.key.clone(),
        run: shared.unique_name(),
        prompt: prompt.prompt.clone(),
    };
    slot.mark_order_sent();
    let endpoint = &slot.chosen.endpoint;
    match read_prefill_result(shared, endpoint, &order).await {
        Ok(Some(result)) => Some(result),
        Ok(None) => None,
        Err(e) => {
            log::info!("{LOG} prefill at {} failed, retrying: {e}", endpoint.name);
            None
        }
    }
}

async fn read_prefill_result(
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
                log::info!(
                    "{LOG} prefill at {} was rejected or failed, retrying: {other:?}",
                    endpoint.name
                );
                return Ok(None);
            }
        }
    }
    Ok(None)
}
