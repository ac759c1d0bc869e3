//! A plain service call's way: a place, then the call.

use std::sync::Arc;

use bulrushusher_wire::{ApiError, CallOrder, Work};
use bulrushusher_world::Role;

use crate::entry::Shared;
use crate::execution::{Assigned, Execution, Step};
use crate::place::{self, NoPlace, Want};
use crate::prompt_task::spend_retry;
use crate::request::Job;
use crate::run_stream::{PartSender, supervise};

/// Runs a call and sends its answer, or its error, to `tx`.
pub(crate) async fn run(shared: Arc<Shared>, job: Job, call: CallOrder, tx: PartSender) {
    let work = answer(&shared, &job, &call, &tx);
    supervise(Arc::clone(&shared), job.clone(), tx.clone(), work).await;
}

async fn answer(
    shared: &Arc<Shared>,
    job: &Job,
    call: &CallOrder,
    tx: &PartSender,
) -> Result<(), ApiError> {
    let mut execution = Execution::new(shared, job.clone(), tx, true);
    shared.retries.lock().earn();
    let tried = attempts(shared, call, &mut execution).await;
    tried.map_err(|e| execution.told(e))
}

async fn attempts(
    shared: &Arc<Shared>,
    call: &CallOrder,
    execution: &mut Execution<'_>,
) -> Result<(), ApiError> {
    loop {
        execution.job.time_left(shared.clock.now())?;
        if attempt(shared, call, execution).await? == Step::Done {
            return Ok(());
        }
        spend_retry(shared, &execution.job)?;
    }
}

async fn attempt(
    shared: &Arc<Shared>,
    call: &CallOrder,
    execution: &mut Execution<'_>,
) -> Result<Step, ApiError> {
    let job = execution.job.clone();
    let (home, only) = (execution.home(), execution.only());
    let want = Want {
        role: Role::Service,
        job: &job,
        blocks: &[],
        home: home.as_ref(),
        only: only.as_ref(),
        vouched: execution.wants_vouching(),
        until: place::give_up_at(&job),
    };
    let mut place = match place::get(shared, want).await {
        Ok(place) => place,
        Err(NoPlace::OnlyGone) => return execution.reassign().await,
        Err(NoPlace::NoneVouches) => return execution.in_doubt().await,
        Err(e) => return Err(e.into_error()),
    };
    match execution.assign(&place.chosen.endpoint.name).await? {
        Assigned::Run(ballot) => {
            execution.order(&mut place, ballot, Work::Call(call.clone())).await
        }
        Assigned::Elsewhere(step) => Ok(step),
    }
}
