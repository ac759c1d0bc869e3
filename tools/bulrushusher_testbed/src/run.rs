//! Runs a deployment under load and faults, and reports the results.

use std::sync::Arc;
use std::time::Duration;

use bulrushusher_report::{ClassStats, LatencyTargets};
use bulrushusher_routing::Policy;
use bulrushusher_standin::caller::{Caller, Outcome, Request};
use bulrushusher_standin::load::{ScheduledRequest, fresh_key, schedule};
use bulrushusher_time::Millis;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::deployment::Deployment;
use crate::faults::{Fault, inject};
use crate::outcome::{CompletedRequest, Report, Tally};
use crate::testbed::{Testbed, TestbedError};

/// How long engine memory may stay held after the last request before it counts as leaked. Longer
/// than the agents' orphan timeout.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(12);
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between the start of the deployment and the load; longer than the agents' clock skew.
const START_DELAY: Duration = Duration::from_millis(400);
/// How long requests in flight at the end of the load may take to complete.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(150);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the load, the routing decisions and the stand-ins.
    pub seed: u64,
    /// Duration of the load.
    pub duration: Millis,
    /// Load factor, where 1.0 is the estimated capacity.
    pub load: f64,
    /// Routing policy.
    pub policy: Policy,
    /// Faults to inject.
    pub faults: Vec<Fault>,
}

/// Progress of one or more runs, updated while they run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Progress {
    /// Requests sent.
    pub sent: u64,
    /// Requests completed.
    pub completed: u64,
    /// Requests scheduled.
    pub scheduled: u64,
}

#[derive(Debug)]
struct Results {
    tally: Tally,
    figures: Vec<ClassStats>,
}

/// Runs a deployment and returns the report and the number of prompt tokens prefilled.
///
/// # Errors
/// [`TestbedError`] if the deployment cannot be started or a fault cannot be injected.
pub async fn run(
    deployment: Deployment,
    plan: &Plan,
    progress: Arc<Mutex<Progress>>,
) -> Result<(Report, u64), TestbedError> {
    let Plan { seed, duration, load, policy, ref faults } = *plan;
    let mut testbed = Testbed::start(deployment.clone(), policy, seed).await?;
    // The agents cannot tell whether a key created within the clock skew of their start has run.
    sleep(START_DELAY).await;
    let flows = deployment.flows(load);
    let mut scheduled = schedule(&flows, duration, seed);
    if faults.contains(&Fault::ClientCancel) {
        schedule_cancellations(&mut scheduled, seed);
    }
    progress.lock().scheduled += scheduled.len() as u64;
    let classes = [&deployment.prompt_class, &deployment.call_class];
    let figures = classes
        .map(|class| {
            let targets = LatencyTargets { ttft: class.ttft, per_token: class.per_token };
            ClassStats::new(class.name, targets)
        })
        .to_vec();
    let results = Arc::new(Mutex::new(Results { tally: Tally::default(), figures }));
    let caller = Caller::new(testbed.callers());
    let duplicates = faults.contains(&Fault::DuplicateRequests);
    let sender =
        LoadSender { caller, flows, duplicates, seed, results: Arc::clone(&results), progress };
    let load_task = tokio::spawn(sender.send_all(scheduled));
    let injected = inject_all(&mut testbed, faults, duration.duration()).await;
    let finished = tokio::time::timeout(duration.duration() + COMPLETION_TIMEOUT, load_task).await;
    if finished.is_err() {
        log::error!(
            "testbed: requests are still in flight {} s after the load and missing from the report",
            COMPLETION_TIMEOUT.as_secs()
        );
    }
    injected?;
    let held = wait_released(&testbed).await;
    Ok(report(&testbed, &results.lock(), plan, held))
}

async fn inject_all(
    testbed: &mut Testbed,
    faults: &[Fault],
    run_duration: Duration,
) -> Result<(), TestbedError> {
    sleep(run_duration / 3).await;
    for fault in faults {
        log::info!("testbed: injecting fault {fault}");
        inject(*fault, testbed, run_duration).await?;
    }
    Ok(())
}

fn schedule_cancellations(scheduled: &mut [ScheduledRequest], seed: u64) {
    const SHARE: f64 = 0.1;
    const MAX_TOKENS: usize = 40;
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xca);
    for item in scheduled {
        if rng.random_bool(SHARE) {
            item.request.cancel_after = Some(rng.random_range(1..MAX_TOKENS));
        }
    }
}

async fn wait_released(testbed: &Testbed) -> usize {
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    loop {
        let held = testbed.held();
        if held == 0 || Instant::now() > deadline {
            return held;
        }
        sleep(RELEASE_POLL_INTERVAL).await;
    }
}

#[derive(Clone, Debug)]
struct LoadSender {
    caller: Caller,
    flows: Vec<bulrushusher_standin::load::Flow>,
    duplicates: bool,
    seed: u64,
    results: Arc<Mutex<Results>>,
    progress: Arc<Mutex<Progress>>,
}

impl LoadSender {
    async fn send_all(self, scheduled: Vec<ScheduledRequest>) {
        const DUPLICATE_SHARE: f64 = 0.2;
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed ^ 0xd0);
        let start = Instant::now();
        let mut in_flight = JoinSet::new();
        for (number, item) in scheduled.into_iter().enumerate() {
            let ScheduledRequest { at, flow, mut request } = item;
            sleep_until(start + at.duration()).await;
            // Keys contain their creation time, so each is generated when its request is sent.
            request.key = request.key.map(|_| fresh_key());
            let is_duplicated = self.duplicates && rng.random_bool(DUPLICATE_SHARE);
            if is_duplicated && request.key.is_some() {
                in_flight.spawn(self.clone().send(flow, request.clone(), number + 1));
            }
            in_flight.spawn(self.clone().send(flow, request, number));
            while in_flight.try_join_next().is_some() {}
        }
        while in_flight.join_next().await.is_some() {}
    }

    async fn send(self, flow: usize, request: Request, entry: usize) {
        self.progress.lock().sent += 1;
        let outcome = self.caller.send(&request, entry).await;
        self.progress.lock().completed += 1;
        let mut results = self.results.lock();
        results.figures[flow].record_accepted();
        if let Outcome::Answered { ttft, per_token_ms } = &outcome {
            results.figures[flow].record_answered(*ttft, *per_token_ms);
        }
        let idempotent = self.flows[flow].idempotent;
        results.tally.record(&CompletedRequest { key: request.key, idempotent, outcome });
    }
}

fn report(testbed: &Testbed, results: &Results, plan: &Plan, held: usize) -> (Report, u64) {
    let seconds = plan.duration.0 as f64 / 1000.0;
    let counts = testbed.counts();
    let prefilled: u64 = counts.iter().map(|counts| counts.prefilled_tokens).sum();
    let wasted: u64 = counts.iter().map(|counts| counts.wasted_tokens).sum();
    let classes: Vec<_> = results.figures.iter().map(|f| f.report(seconds)).collect();
    let report = Report {
        totals: results.tally.totals(&counts, held),
        goodput: classes.iter().map(|class| class.goodput).sum(),
        wasted_prefill: wasted as f64 / prefilled.max(1) as f64,
        policy: plan.policy.to_string(),
        seed: plan.seed,
        load: plan.load,
        classes,
        causes: results.tally.causes().clone(),
    };
    (report, prefilled)
}
