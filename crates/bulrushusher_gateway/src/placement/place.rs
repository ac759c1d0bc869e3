//! Finds a decode runner with memory for a generation, and holds it.

use std::sync::Arc;

use bulrushusher_forward::{
    AttemptEnd, CallResult, QueueRank, RunReport, RunShape, Runner, Stage, tokens_in_events,
    tokens_to_hold,
};
use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;
use derive_more::Display;
use hyper::StatusCode;

use crate::answers::answer::{BACK_PRESSURE, OUTSIDE_REGIONS, VERSION_GONE, Withheld};
use crate::dialect::Dialect;
use crate::placement::attempts::AttemptHistory;
use crate::placement::holds::{HoldTerms, MemoryHold};
use crate::placement::prefill_site::prefill_options;
use crate::runners::exchange::{CONTROL_TIMEOUT, ExchangeError};
use crate::runners::permit::Permit;
use crate::runners::router::{ForwardedRequest, Router};
use crate::runners::send_spec::{CallerSend, SendPurpose};
use crate::shared::{PrefillOptions, SharedState};

/// Interval at which a queued request tries again: a fifth of the time between two completions of
/// generations in a busy pool of some ten runners.
const RETRY_INTERVAL: Millis = Millis(12);

/// Runners tried in one pass.
const MAX_CANDIDATES: usize = 3;

/// Requests that a runner receives for a generation: the hold, and the run that uses it.
const REQUESTS_PER_GENERATION: u32 = 2;

/// Time for which memory is held when the configuration does not bound it.
const DEFAULT_HOLD_TTL: Millis = Millis(2_000);

/// A place in the wait queue, left on drop.
struct QueueGuard {
    shared: Arc<SharedState>,
    service: ServiceName,
    rank: QueueRank,
}

impl Drop for QueueGuard {
    fn drop(&mut self) {
        self.shared.leave_queue(&self.service, &self.rank);
    }
}

/// Why a generation got no memory: the constraint that was binding when it gave up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("{}", self.reason())]
pub(crate) enum PlacementError {
    /// No decode runner accepts work.
    NoRunner,
    /// Memory may be free, but no runner can prefill the prompt in time.
    Prefill,
    /// The runners refused the hold although the forecast had room.
    Refused,
    /// No decode runner has room according to the forecast.
    Memory,
    /// The generation is unlikely to complete before its deadline.
    NoTime,
    /// Back-pressure applies at every decode runner.
    BackPressure {
        /// Time until the first of them accepts a request.
        retry_after: Millis,
    },
    /// Runners crash on such requests.
    Quarantined(Withheld),
    /// No runner of the software version that began the stream is left.
    Version {
        /// Time after which to retry.
        retry_after: Millis,
    },
    /// The configuration in force leaves no place for the request.
    Residency {
        /// Time after which to retry.
        retry_after: Millis,
    },
}

impl PlacementError {
    /// The reason given to callers.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            PlacementError::NoRunner => "no decode runner is left",
            PlacementError::Prefill => "no runner can read the prompt in time",
            PlacementError::Refused => "the decode runners refused to hold memory",
            PlacementError::Memory => "no decode memory is free",
            PlacementError::NoTime => "too little time is left for the whole answer",
            PlacementError::BackPressure { .. } => BACK_PRESSURE,
            PlacementError::Quarantined(withheld) => withheld.reason,
            PlacementError::Version { .. } => VERSION_GONE,
            PlacementError::Residency { .. } => OUTSIDE_REGIONS,
        }
    }
}

/// Waits in the queue for memory until `until`, and holds it.
///
/// # Errors
/// The constraint that was binding when no memory could be held.
pub(crate) async fn place<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    history: &AttemptHistory,
    until: Millis,
) -> Result<MemoryHold<D>, PlacementError> {
    let rank = cx.shared.join_queue(
        &fwd.service,
        fwd.is_late(),
        fwd.priority(),
        fwd.caller.account_cost(),
    );
    let queued = QueueGuard { shared: cx.shared.clone(), service: fwd.service.clone(), rank };
    let mut refusals = 0;
    loop {
        cx.check_quarantine(fwd).map_err(PlacementError::Quarantined)?;
        cx.check_residency(fwd)
            .map_err(|it| PlacementError::Residency { retry_after: it.retry_after })?;
        cx.check_version(fwd, &history.excluded_decodes)
            .map_err(|it| PlacementError::Version { retry_after: it.retry_after })?;
        if !can_complete(cx, fwd, history) {
            return Err(reject_early(cx, fwd, PlacementError::NoTime));
        }
        if let Some(retry_after) = cx.back_pressure_delay(fwd, Some(Stage::Decode)) {
            return Err(reject_early(cx, fwd, PlacementError::BackPressure { retry_after }));
        }
        for runner in candidates(cx, fwd, &queued, history) {
            if let Some(held) = request_hold(cx, fwd, runner).await {
                return Ok(held);
            }
            refusals += 1;
        }
        if cx.now().plus(RETRY_INTERVAL) > until {
            return Err(give_up(cx, fwd, refusals));
        }
        tokio::time::sleep(RETRY_INTERVAL.duration()).await;
    }
}

/// The decode runners to try now; none while it is not this request's turn.
fn candidates<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    queued: &QueueGuard,
    history: &AttemptHistory,
) -> Vec<Runner> {
    let yields = queued.rank.late && cx.shared.peers_have_on_time_waiting();
    if yields || !cx.shared.with_queue(&queued.service, |l| l.may_request_memory(&queued.rank)) {
        return Vec::new();
    }
    let options = prefill_options(cx, fwd);
    let shape = RunShape::of(fwd.request.size.as_ref());
    let mut runners =
        cx.shared.rank_for_decode(&cx.destination(fwd), &history.excluded_decodes, shape, options);
    runners.truncate(if cx.shared.may_request_memory(runners.len()) { MAX_CANDIDATES } else { 0 });
    runners
}

/// Lowest probability of completing in time at which a generation is started. A late answer is
/// worth a fifth of one on time, and a generation that fails to complete takes memory from others
/// for seconds.
const MIN_COMPLETION_PROBABILITY: f64 = 0.3;

/// False when a generation of this shape is so unlikely to complete before the deadline that its
/// memory is better left to others and its caller refused at once.
fn can_complete<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    history: &AttemptHistory,
) -> bool {
    let events = history.resume_after.unwrap_or(0);
    let generated = tokens_in_events(events, cx.shared.tokens_per_event(&fwd.service)) as f64;
    let run = RunShape { generated, ..RunShape::of(fwd.request.size.as_ref()) };
    let remaining = fwd.remaining(cx.now());
    let probability =
        cx.shared.with_timing(&fwd.service, |pace| pace.completion_probability(&run, remaining));
    probability >= MIN_COMPLETION_PROBABILITY
}

/// Logs a refusal that waiting would not change.
fn reject_early<D: Dialect>(
    cx: &Router<D>,
    fwd: &ForwardedRequest,
    bound: PlacementError,
) -> PlacementError {
    log::info!(
        "place: given up id={} bound=\"{bound}\" waited_ms={} left_ms={}",
        fwd.request.id,
        cx.now().since(fwd.received).0,
        fwd.remaining(cx.now()).0,
    );
    bound
}

fn hold_tokens<D: Dialect>(cx: &Router<D>, fwd: &ForwardedRequest) -> u64 {
    let holds = cx.shared.cfg().holds;
    fwd.request.size.as_ref().map_or(1, |size| tokens_to_hold(size, 0, holds))
}

/// Determines the binding constraint, and logs it with the figures that show it.
fn give_up<D: Dialect>(cx: &Router<D>, fwd: &ForwardedRequest, refusals: usize) -> PlacementError {
    let shape = RunShape::of(fwd.request.size.as_ref());
    let outlook = cx.shared.forecast_summary(&fwd.service, shape);
    let can_prefill = match prefill_options(cx, fwd) {
        PrefillOptions::Any(_) => true,
        options @ PrefillOptions::Decode(_) => {
            !cx.shared.rank_for_decode(&cx.destination(fwd), &[], shape, options).is_empty()
        }
    };
    let bound = if outlook.runners == 0 {
        PlacementError::NoRunner
    } else if !can_prefill {
        PlacementError::Prefill
    } else if outlook.lowest <= outlook.room && refusals > 0 {
        PlacementError::Refused
    } else {
        PlacementError::Memory
    };
    log::info!(
        "place: given up id={} bound=\"{bound}\" late={} waited_ms={} decode_runners={} \
         lowest_forecast={} room={} peers_heard={} prompt_can_be_read={can_prefill} \
         refusals={refusals} waiting_here={}",
        fwd.request.id,
        fwd.is_late(),
        cx.now().since(fwd.received).0,
        outlook.runners,
        outlook.lowest,
        outlook.room,
        outlook.peers,
        cx.shared.queued_requests(),
    );
    bound
}

/// Requests a hold on memory at a runner; `None` when the runner refuses or does not answer in time.
async fn request_hold<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    runner: Runner,
) -> Option<MemoryHold<D>> {
    let started = cx.now();
    if cx.shared.acquire_permits(&runner, REQUESTS_PER_GENERATION).is_err() {
        return None;
    }
    let tokens = hold_tokens(cx, fwd);
    cx.shared.with_runners(|runners, now| runners.loads.record_probe(&runner.id, now));
    let shape = RunShape::of(fwd.request.size.as_ref());
    let terms =
        HoldTerms { report: RunReport::new(runner.id.clone(), shape), ttl: hold_ttl(cx, fwd) };
    let (held, result) = match exchange_hold(cx, fwd, &runner, tokens, terms).await {
        Ok(answered) => answered,
        // The runner is not at fault: reported as unreachable, it would get no work from the peers.
        Err(e) if e.is_withheld() => {
            log::info!("place: runner={} cause=\"{e}\"", runner.id);
            (None, "withheld")
        }
        Err(e) => {
            record_unreachable(cx, &runner, &e);
            (None, "unreachable")
        }
    };
    cx.metrics.record_memory_request(result);
    log::info!(
        "place: asked for memory id={} runner={} tokens={tokens} result={result} waited_ms={} \
         ms={}",
        fwd.request.id,
        runner.id,
        started.since(fwd.received).0,
        cx.now().since(started).0,
    );
    held
}

/// Sends a hold request and waits up to [`CONTROL_TIMEOUT`] for the response. The exchange runs in a
/// task of its own: when the runner grants the hold later, or after the caller has disconnected, the
/// unused [`MemoryHold`] is dropped and so released, instead of keeping memory until it expires.
async fn exchange_hold<D: Dialect>(
    cx: &Arc<Router<D>>,
    fwd: &ForwardedRequest,
    runner: &Runner,
    tokens: u64,
    terms: HoldTerms,
) -> Result<(Option<MemoryHold<D>>, &'static str), ExchangeError> {
    let request = cx.dialect.create_hold(&runner.id, tokens, terms.ttl);
    let (cx, fwd, runner, ttl) = (cx.clone(), fwd.clone(), runner.clone(), terms.ttl);
    let started = cx.now();
    let release = cx.exchanger.begin_release();
    let exchange = tokio::spawn(async move {
        let _release = release;
        let timeout = ttl.max(CONTROL_TIMEOUT);
        let purpose = SendPurpose::Control(CallerSend { fwd: &fwd, other: None });
        let answer = cx
            .exchanger
            .control_request_for(purpose, &runner, request, Permit::Acquired, timeout)
            .await;
        let answered = answer.map(|(head, body)| {
            cx.shared.record_round_trip(&runner, cx.now().since(started));
            cx.shared.with_runners(|runners, now| runners.loads.record_reachable(&runner.id, now));
            read_hold(&cx, runner.clone(), terms, head.status, &body)
        });
        cx.shared.release_permits(&runner, unused_permits(&answered));
        answered
    });
    let no_answer = |cause| Err(ExchangeError::NoAnswer { cause });
    match tokio::time::timeout(CONTROL_TIMEOUT.duration(), exchange).await {
        Ok(Ok(answered)) => answered,
        Ok(Err(e)) => no_answer(e.to_string()),
        Err(_) => no_answer(format!("silent for {CONTROL_TIMEOUT}")),
    }
}

/// Permits of a generation that its hold request leaves unused: that of the run unless memory is held,
/// and that of the request itself if it was not sent.
fn unused_permits<D: Dialect>(
    answered: &Result<(Option<MemoryHold<D>>, &'static str), ExchangeError>,
) -> u32 {
    match answered {
        Ok((Some(_), _)) => 0,
        Err(e) if e.attempt_end() == AttemptEnd::Unsent => REQUESTS_PER_GENERATION,
        Ok((None, _)) | Err(_) => REQUESTS_PER_GENERATION - 1,
    }
}

/// Interprets the response to a hold request; the second value is the result in metrics and the
/// log.
fn read_hold<D: Dialect>(
    cx: &Router<D>,
    runner: Runner,
    terms: HoldTerms,
    status: StatusCode,
    body: &[u8],
) -> (Option<MemoryHold<D>>, &'static str) {
    let hold =
        |runner, id| MemoryHold::new(runner, id, terms, &cx.shared, &cx.exchanger, &cx.dialect);
    if cx.shared.is_superseded(&runner) {
        return (None, "started_again");
    }
    match (status, cx.dialect.parse_hold_id(body)) {
        (StatusCode::OK, Some(id)) => (Some(hold(runner, Some(id))), "held"),
        // What it holds cannot be named, and lapses by itself.
        (StatusCode::OK, None) => {
            cx.shared.with_runners(|r, now| r.loads.record_hold_refusal(&runner.id, now));
            (None, "invalid_id")
        }
        // An engine without holds accepts or refuses the generation when it arrives.
        (StatusCode::NOT_FOUND, _) => (Some(hold(runner, None)), "no_holds"),
        (StatusCode::MISDIRECTED_REQUEST, _) => {
            cx.remove_runner(&runner.id, "another runner has its address");
            (None, "wrong_runner")
        }
        _ => {
            cx.shared.with_runners(|r, now| r.loads.record_hold_refusal(&runner.id, now));
            (None, "full")
        }
    }
}

fn record_unreachable<D: Dialect>(cx: &Router<D>, runner: &Runner, e: &ExchangeError) {
    log::info!("place: runner={} cause=\"{e}\"", runner.id);
    cx.shared.record_call(runner, CallResult::Unreachable);
}

fn hold_ttl<D: Dialect>(cx: &Router<D>, fwd: &ForwardedRequest) -> Millis {
    let max_hold = cx.shared.engine(&fwd.service).map(|engine| engine.max_hold);
    max_hold.filter(|max_hold| *max_hold > Millis(0)).unwrap_or(DEFAULT_HOLD_TTL)
}
