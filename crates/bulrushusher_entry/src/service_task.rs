//! The task that executes a plain service call: it reserves a slot, then makes the call.

use std::sync::Arc;

use bulrushusher_wire::{ApiError, CallOrder, Work};
use bulrushusher_world::Role;

use crate::entry::Shared;
use crate::execution::{Assigned, Execution, NextStep};
use crate::prompt_task::take_retry;
use crate::request::Job;
use crate::reservation::{ReservationError, SlotCriteria, first_slot_wait_until, reserve_slot};
use crate::run_stream::{PartSender, supervise};

/// Executes a call and sends its answer or error to `tx`.
pub(crate) async fn run(shared: Arc<Shared>, job: Job, call: CallOrder, tx: PartSender) {
    let work = execute(&shared, &job, &call, &tx);
    supervise(Arc::clone(&shared), job.clone(), tx.clone(), work).await;
}

async fn execute(
    shared: &Arc<Shared>,
    job: &Job,
    call: &CallOrder,
    tx: &PartSender,
) -> Result<(), ApiError> {
    let mut execution = Execution::new(shared, job.clone(), tx, true);
    shared.earn_retry();
    let result = run_attempts(shared, call, &mut execution).await;
    result.map_err(|e| execution.caller_error(e))
}

async fn run_attempts(
    shared: &Arc<Shared>,
    call: &CallOrder,
    execution: &mut Execution<'_>,
) -> Result<(), ApiError> {
    loop {
        execution.job.time_left(shared.clock.now())?;
        if run_attempt(shared, call, execution).await? == NextStep::Done {
            return Ok(());
        }
        take_retry(shared, &execution.job)?;
    }
}

async fn run_attempt(
    shared: &Arc<Shared>,
    call: &CallOrder,
    execution: &mut Execution<'_>,
) -> Result<NextStep, ApiError> {
    let job = execution.job.clone();
    let (home, assigned) = (execution.home(), execution.assigned_executor());
    let criteria = SlotCriteria {
        role: Role::Service,
        job: &job,
        blocks: &[],
        home: home.as_ref(),
        assigned: assigned.as_ref(),
        needs_coverage: execution.needs_coverage(),
        wait_until: first_slot_wait_until(&job),
    };
    let mut slot = match reserve_slot(shared, criteria).await {
        Ok(slot) => slot,
        Err(ReservationError::ExecutorUnavailable) => return execution.reassign().await,
        Err(ReservationError::KeyNotCovered) => return execution.handle_uncovered_key().await,
        Err(e) => return Err(e.into_error()),
    };
    match execution.assign(&slot.chosen.endpoint.name).await? {
        Assigned::Run(ballot) => {
            execution.send_order(&mut slot, ballot, Work::Call(call.clone())).await
        }
        Assigned::HandledElsewhere(next) => Ok(next),
    }
}
