//! Selection of the runner for a request.

use std::collections::BTreeSet;

use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RunnerId, ServiceName};

use crate::{
    BackPressureView, PlaceView, Runner, RunnerDirectory, RunnerLoads, Runs, SoftwareVersion, Stage,
};

/// Inputs to the selection of a runner.
#[derive(Clone, Copy, Debug)]
pub struct SelectionContext<'a> {
    /// All known runners.
    pub members: &'a RunnerDirectory,
    /// Load and call results per runner, as this gateway sees them.
    pub loads: &'a RunnerLoads,
    /// The service that must handle the request.
    pub service: &'a ServiceName,
    /// Runs and peer reports; used to exclude runners that are changing their stage, and to skip
    /// runners that peers cannot reach.
    pub runs: Option<&'a Runs>,
    /// Runners with too high a failure rate; they are skipped while there are alternatives.
    pub failing: Option<&'a BTreeSet<RunnerId>>,
    /// Back-pressure that runners have signalled. It is binding even where no other runner is left,
    /// unlike estimates of load and health.
    pub pressure: Option<BackPressureView<'a>>,
    /// Where the request may run; binding, like back-pressure.
    pub places: PlaceView<'a>,
    /// The software version that the request is bound to; `None` if any may serve it.
    pub version: Option<&'a SoftwareVersion>,
    /// The current time.
    pub now: Millis,
}

impl<'a> SelectionContext<'a> {
    /// Runners of the service that accept new work from this gateway now.
    fn open(self) -> impl Iterator<Item = &'a Runner> {
        let is_permitted = move |r: &&Runner| self.places.permits(&r.data_centre);
        let is_open = move |r: &&Runner| self.pressure.is_none_or(|it| it.is_open(r, self.now));
        let is_of_version = move |r: &&Runner| self.version.is_none_or(|it| r.version == *it);
        let permitted = self.members.usable(self.service, self.now).filter(is_permitted);
        permitted.filter(is_of_version).filter(is_open)
    }

    /// Cost factor of the runner: a cold one is slower.
    fn cold_factor(self, runner: &Runner) -> f64 {
        if self.is_cold(runner) { COLD_COST_FACTOR } else { 1.0 }
    }

    fn is_cold(self, runner: &Runner) -> bool {
        self.pressure.is_some_and(|it| it.is_cold(runner, self.now))
    }
}

/// Parameters of the selection of a runner for a plain call, that is, a request that is not a text
/// generation.
#[derive(Clone, Copy, Debug)]
pub struct CallSelection<'a> {
    /// Runners that the request was already sent to.
    pub tried: &'a [RunnerId],
    /// The data centre of this gateway.
    pub data_centre: &'a DataCentreName,
    /// A random number in `0.0..1.0` that breaks ties.
    pub draw: f64,
}

/// Cost factor of cold runners.
const COLD_COST_FACTOR: f64 = 2.0;

/// Cost factor of cold runners for a call that was sent to another runner before. With the usual one
/// a quarter of the runners, back in a burst, served no call while they were cold: other runners
/// were full, but looked as if they had room.
const COLD_RETRY_COST_FACTOR: f64 = 0.5;

/// Cost factor for runners in the gateway's own data centre. It keeps traffic local while loads are
/// about even; runners with equal load are chosen by the random number.
const LOCAL_COST_FACTOR: f64 = 0.95;

/// Selects the runner with the lowest expected response time for a plain call.
pub fn pick_for_call(cx: SelectionContext<'_>, selection: CallSelection<'_>) -> Option<Runner> {
    let pool = candidates_for_call(cx, selection.tried);
    let fastest_ms = fastest_mean_ms(cx, &pool);
    let cold_factor = |r: &Runner| match cx.is_cold(r) {
        true if !selection.tried.is_empty() => COLD_RETRY_COST_FACTOR,
        _ => cx.cold_factor(r),
    };
    let cost = |r: &Runner| {
        let locality =
            if r.data_centre == *selection.data_centre { LOCAL_COST_FACTOR } else { 1.0 };
        let load = cx.loads.get(&r.id);
        // A measured response time includes the distance.
        let extra_ms = load.mean_ms().map_or(cx.places.extra_ms(&r.data_centre), |_| 0.0);
        (load.expected_ms(r.slots, fastest_ms) + extra_ms) * locality * cold_factor(r)
    };
    lowest_cost(&pool, selection.draw, cost).cloned()
}

/// Runners that a plain call may be sent to, apart from those that it was already sent to; in the
/// order of their names, so that a choice by a random number can be reproduced.
pub fn candidates_for_call<'a>(cx: SelectionContext<'a>, tried: &[RunnerId]) -> Vec<&'a Runner> {
    let usable: Vec<&Runner> = cx.open().filter(|r| !tried.contains(&r.id)).collect();
    let mut pool = without_full(cx, without_unreachable_or_failing(cx, usable));
    pool.sort_by(|a, b| a.id.cmp(&b.id));
    pool
}

/// Drops runners that refused a call or hold recently, unless no others are left. Each refusal
/// costs one retry of the budget that all gateways share.
fn without_full<'a>(cx: SelectionContext<'_>, pool: Vec<&'a Runner>) -> Vec<&'a Runner> {
    matching_or_all(pool, |r| !cx.loads.is_full(&r.id, cx.now))
}

/// The runners that match `predicate`, or all of them if none does.
fn matching_or_all(pool: Vec<&Runner>, predicate: impl Fn(&Runner) -> bool) -> Vec<&Runner> {
    let matching: Vec<&Runner> = pool.iter().copied().filter(|r| predicate(r)).collect();
    if matching.is_empty() { pool } else { matching }
}

/// Mean response time of the fastest runner that has answered, in ms without the distance; 0 if none
/// has. A runner that has just started is assumed to be as fast: it then gets calls soon even under
/// low load, and does not attract a whole burst.
fn fastest_mean_ms(cx: SelectionContext<'_>, pool: &[&Runner]) -> f64 {
    let mean_ms = |r: &&Runner| {
        let mean_ms = cx.loads.get(&r.id).mean_ms()?;
        Some((mean_ms - cx.places.extra_ms(&r.data_centre)).max(0.0))
    };
    let means = pool.iter().filter_map(mean_ms);
    means.min_by(f64::total_cmp).unwrap_or(0.0)
}

/// What is known of a prefill runner apart from the load of this gateway.
#[derive(Clone, Copy, Debug)]
pub struct PrefillQueue {
    /// Prompt tokens that other gateways have queued there.
    pub tokens_of_peers: u64,
    /// Duration of its prefills relative to the service's mean.
    pub factor: f64,
}

/// Parameters of the selection of a prefill runner.
#[derive(Clone, Copy, Debug)]
pub struct PrefillSelection<'a> {
    /// Data centre of the decode runner, which fetches the KV cache.
    pub decode: &'a DataCentreName,
    /// Prefill runners that the prompt was already sent to.
    pub tried: &'a [RunnerId],
    /// Tokens of the prompt.
    pub tokens: u64,
    /// Prefill time of a prompt token in ms, for the price of round trips.
    pub ms_per_token: f64,
    /// A random number in `0.0..1.0` that breaks ties.
    pub draw: f64,
}

/// Selects the prefill runner at which the prompt is expected to be complete first. Where all are
/// equally fast, that is the one with the fewest queued tokens. Prefers the data centre of the
/// decode runner; in another region, round trips and the transfer of the KV cache count.
pub fn pick_for_prefill(
    cx: SelectionContext<'_>,
    selection: PrefillSelection<'_>,
    queue: impl Fn(&RunnerId) -> PrefillQueue,
) -> Option<Runner> {
    let PrefillSelection { decode, tried, tokens, ms_per_token, draw } = selection;
    let pool = available_of_stage(cx, Stage::Prefill, tried);
    let cost = |r: &Runner| {
        let PrefillQueue { tokens_of_peers, factor } = queue(&r.id);
        let queued = cx.loads.get(&r.id).queued_prompt_tokens + tokens_of_peers;
        let transfer = if r.data_centre == *decode { 0.0 } else { REMOTE_PREFILL_COST };
        let distance_ms = cx.places.prefill_extra_ms(&r.data_centre, decode);
        let distance = distance_ms / ms_per_token.max(MIN_MS_PER_TOKEN);
        (queued + tokens) as f64 * factor * cx.cold_factor(r) + transfer + distance
    };
    lowest_cost(&pool, draw, cost).cloned()
}

/// Cost, in prompt tokens at the mean rate, of a prefill runner in another data centre: the KV
/// transfer takes twice as long there and is priced higher, which a queue shorter by a few hundred
/// tokens does not make up for.
const REMOTE_PREFILL_COST: f64 = 500.0;

/// Lower bound of the prefill time of a token, in ms; it keeps the price of distance finite.
const MIN_MS_PER_TOKEN: f64 = 1e-4;

/// Ranks decode runners for a memory hold by `peak`, the forecast peak of their memory use with the
/// run; `None` marks a runner without room. Runners that refused recently are left out. Runners of
/// the own region come first: a run in another region costs about two round trips before its first
/// event, and its KV cache may have to cross as well, which a lower peak does not make up for.
pub fn rank_for_decode(
    cx: SelectionContext<'_>,
    tried: &[RunnerId],
    draw: f64,
    peak: impl Fn(&Runner) -> Option<f64>,
) -> Vec<Runner> {
    rank_near_first(cx, tried, draw, |r| cx.places.is_near(&r.data_centre), peak)
}

/// The same, with the runners that `is_near` first.
pub(crate) fn rank_near_first(
    cx: SelectionContext<'_>,
    tried: &[RunnerId],
    draw: f64,
    is_near: impl Fn(&Runner) -> bool,
    peak: impl Fn(&Runner) -> Option<f64>,
) -> Vec<Runner> {
    let mut pool = available_of_stage(cx, Stage::Decode, tried);
    pool.retain(|r| !cx.loads.is_full(&r.id, cx.now));
    pool.sort_by(|a, b| a.id.cmp(&b.id));
    let (near, far) = pool.into_iter().partition(|r| is_near(r));
    // Each part is rotated by itself: rotated together, most draws would fall on the first runner
    // of a part.
    let ranked = rank_by_peak(near, draw, &peak).chain(rank_by_peak(far, draw, &peak));
    let mut ranked: Vec<&Runner> = ranked.collect();
    // The sort is stable: cold runners follow all warm ones, in the same order among themselves.
    ranked.sort_by_key(|r| cx.is_cold(r));
    ranked.into_iter().cloned().collect()
}

/// The runners with room, the better of two random ones first and the rest by peak.
fn rank_by_peak(
    mut pool: Vec<&Runner>,
    draw: f64,
    peak: impl Fn(&Runner) -> Option<f64>,
) -> impl Iterator<Item = &Runner> {
    rotate(&mut pool, draw);
    let with_room = pool.into_iter().filter_map(|r| Some((r, peak(r)?)));
    let mut with_room: Vec<(&Runner, f64)> = with_room.collect();
    // The order is random at this point: the better of the first two runners goes first, followed
    // by the others by peak. As each gateway compares its own two runners, gateways that place runs
    // within the same milliseconds rarely choose the same one.
    let rest = with_room.split_off(with_room.len().min(COMPARED_FIRST));
    let by_peak = |a: &(&Runner, f64), b: &(&Runner, f64)| a.1.total_cmp(&b.1);
    with_room.sort_by(by_peak);
    let mut rest: Vec<(&Runner, f64)> = rest;
    rest.sort_by(by_peak);
    with_room.into_iter().chain(rest).map(|(r, _)| r)
}

/// Runners compared ahead of all others (power of two choices).
const COMPARED_FIRST: usize = 2;

fn available_of_stage<'a>(
    cx: SelectionContext<'a>,
    stage: Stage,
    tried: &[RunnerId],
) -> Vec<&'a Runner> {
    let is_switching =
        |r: &Runner| cx.runs.is_some_and(|runs| runs.is_switching_stage(&r.id, cx.now));
    let of_stage = cx.open().filter(|r| r.stage == Some(stage));
    let of_stage = of_stage.filter(|r| !is_switching(r));
    without_unreachable_or_failing(cx, of_stage.filter(|r| !tried.contains(&r.id)).collect())
}

/// Drops runners that were unreachable recently or have too high a failure rate, unless no others
/// are left.
fn without_unreachable_or_failing<'a>(
    cx: SelectionContext<'_>,
    usable: Vec<&'a Runner>,
) -> Vec<&'a Runner> {
    let is_failing = |r: &Runner| cx.failing.is_some_and(|failing| failing.contains(&r.id));
    let is_unreachable =
        |r: &Runner| cx.runs.is_some_and(|runs| runs.is_silent_at_peers(&r.id, cx.now));
    let is_paused = |r: &Runner| cx.loads.is_paused(&r.id, cx.now) || is_unreachable(r);
    matching_or_all(usable, |r| !is_paused(r) && !is_failing(r))
}

fn lowest_cost<'a>(
    pool: &[&'a Runner],
    draw: f64,
    cost: impl Fn(&Runner) -> f64,
) -> Option<&'a Runner> {
    let mut pool = pool.to_vec();
    pool.sort_by(|a, b| a.id.cmp(&b.id));
    rotate(&mut pool, draw);
    let mut best: Option<(&Runner, f64)> = None;
    for runner in pool {
        let cost = cost(runner);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((runner, cost));
        }
    }
    best.map(|(runner, _)| runner)
}

fn rotate(pool: &mut [&Runner], draw: f64) {
    if !pool.is_empty() {
        let by = (draw * pool.len() as f64) as usize % pool.len();
        pool.rotate_left(by);
    }
}
