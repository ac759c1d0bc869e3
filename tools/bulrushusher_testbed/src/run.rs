//! A run: a deployment under load and faults, from start to report.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_report::{ClassStats, LatencyTargets};
use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Call, Caller, Outcome};
use bulrushusher_standin::load::{Planned, fresh_key, plan};
use bulrushusher_time::Millis;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::bed::{Bed, BedError};
use crate::deployment::Deployment;
use crate::faults::{Fault, bring_about};
use crate::outcome::{Ended, Report, Tally};

/// How long memory may stay held after the last request, before it counts as held for good. More
/// than the agents' orphan bound.
const RELEASE_BOUND: Duration = Duration::from_secs(12);
const RELEASE_POLL: Duration = Duration::from_millis(100);
/// Pause between the start of the deployment and the load; more than the agents' clock skew.
const SETTLE: Duration = Duration::from_millis(400);
/// How long after the load ends the last requests may take.
const TAIL_BOUND: Duration = Duration::from_secs(150);

/// What to run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the load, the choices and the stand-ins.
    pub seed: u64,
    /// Length of the load.
    pub length: Millis,
    /// Load factor; 1.0 is the estimated capacity.
    pub load: f64,
    /// The policy.
    pub policy: Policy,
    /// Faults to bring about.
    pub faults: Vec<Fault>,
}

/// Progress of a run, for those who watch it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Requests sent.
    pub sent: u64,
    /// Requests that came out.
    pub ended: u64,
    /// Requests planned.
    pub planned: u64,
}

#[derive(Debug)]
struct Collected {
    tally: Tally,
    figures: Vec<ClassStats>,
}

/// Runs a deployment under a plan. Returns the report, and the prompt tokens that were prefilled.
///
/// # Errors
/// [`BedError`] when the deployment cannot be started.
pub async fn run(
    deployment: Deployment,
    plan_of_run: &Plan,
    progress: Arc<Mutex<Progress>>,
) -> Result<(Report, u64), BedError> {
    let Plan { seed, length, load, policy, ref faults } = *plan_of_run;
    let mut bed = Bed::start(deployment.clone(), policy, seed).await?;
    // Keys minted within the clock skew of the agents' start would be in doubt.
    sleep(SETTLE).await;
    let flows = deployment.flows(load);
    let mut planned = plan(&flows, length, seed);
    if faults.contains(&Fault::ClientCancel) {
        plan_cancels(&mut planned, seed);
    }
    progress.lock().planned += planned.len() as u64;
    let targets = [&deployment.prompts, &deployment.calls];
    let figures = targets
        .map(|class| {
            let targets = LatencyTargets { ttft: class.ttft, per_token: class.per_token };
            ClassStats::new(class.name, targets)
        })
        .to_vec();
    let collected = Arc::new(Mutex::new(Collected { tally: Tally::default(), figures }));
    let caller = Caller::new(bed.callers());
    let duplicates = faults.contains(&Fault::DuplicateRequests);
    let sender =
        Sender { caller, flows, duplicates, seed, collected: Arc::clone(&collected), progress };
    let sending = tokio::spawn(sender.send_all(planned));
    let brought = bring_all_about(&mut bed, faults, length.duration()).await;
    let finished = tokio::time::timeout(length.duration() + TAIL_BOUND, sending).await;
    if finished.is_err() {
        log::error!("testbed: requests are still open long after the load, counted as lost");
    }
    brought?;
    let held = wait_released(&bed).await;
    Ok(report(&bed, &collected.lock(), plan_of_run, held))
}

async fn bring_all_about(
    bed: &mut Bed,
    faults: &[Fault],
    length: Duration,
) -> Result<(), BedError> {
    sleep(length / 3).await;
    for fault in faults {
        log::info!("testbed: fault {fault}");
        bring_about(*fault, bed, length).await?;
    }
    Ok(())
}

fn plan_cancels(planned: &mut [Planned], seed: u64) {
    const SHARE: f64 = 0.1;
    const MAX_TOKENS: usize = 40;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xca);
    for request in planned {
        if rng.random_bool(SHARE) {
            request.call.cancel_after = Some(rng.random_range(1..MAX_TOKENS));
        }
    }
}

async fn wait_released(bed: &Bed) -> usize {
    let end = Instant::now() + RELEASE_BOUND;
    loop {
        let held = bed.held();
        if held == 0 || Instant::now() > end {
            return held;
        }
        sleep(RELEASE_POLL).await;
    }
}

#[derive(Clone, Debug)]
struct Sender {
    caller: Caller,
    flows: Vec<bulrushusher_standin::load::Flow>,
    duplicates: bool,
    seed: u64,
    collected: Arc<Mutex<Collected>>,
    progress: Arc<Mutex<Progress>>,
}

impl Sender {
    async fn send_all(self, planned: Vec<Planned>) {
        const DUPLICATE_SHARE: f64 = 0.2;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0xd0);
        let start = Instant::now();
        let mut open = JoinSet::new();
        for (number, mut request) in planned.into_iter().enumerate() {
            sleep_until(start + request.at.duration()).await;
            // The key carries the time of its sending.
            request.call.key = request.call.key.map(|_| fresh_key());
            let is_twin = self.duplicates && rng.random_bool(DUPLICATE_SHARE);
            if is_twin && request.call.key.is_some() {
                open.spawn(self.clone().send(request.flow, request.call.clone(), number + 1));
            }
            open.spawn(self.clone().send(request.flow, request.call, number));
            while open.try_join_next().is_some() {}
        }
        while open.join_next().await.is_some() {}
    }

    async fn send(self, flow: usize, call: Call, entry: usize) {
        self.progress.lock().sent += 1;
        let outcome = self.caller.send(&call, entry).await;
        self.progress.lock().ended += 1;
        let mut collected = self.collected.lock();
        collected.figures[flow].record_accepted();
        if let Outcome::Answered { ttft, per_token_ms } = &outcome {
            collected.figures[flow].record_answered(*ttft, *per_token_ms);
        }
        let idempotent = self.flows[flow].idempotent;
        collected.tally.note(&Ended { key: call.key, idempotent, outcome });
    }
}

fn report(bed: &Bed, collected: &Collected, plan: &Plan, held: usize) -> (Report, u64) {
    let seconds = plan.length.0 as f64 / 1000.0;
    let counts = bed.counts();
    let prefilled: u64 = counts.iter().map(|counts| counts.prefilled_tokens).sum();
    let wasted: u64 = counts.iter().map(|counts| counts.wasted_tokens).sum();
    let classes: Vec<_> = collected.figures.iter().map(|f| f.report(seconds)).collect();
    let report = Report {
        totals: collected.tally.totals(&counts, held),
        goodput: classes.iter().map(|class| class.goodput).sum(),
        wasted_prefill: wasted as f64 / prefilled.max(1) as f64,
        policy: plan.policy.to_string(),
        seed: plan.seed,
        load: plan.load,
        classes,
        causes: collected.tally.causes().clone(),
    };
    (report, prefilled)
}
