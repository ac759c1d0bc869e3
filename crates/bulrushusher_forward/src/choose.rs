//! Which runner gets a request.

use std::collections::BTreeSet;

use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RunnerId, ServiceName};

use crate::{PressureView, Runner, RunnerDirectory, RunnerLoads, Runs, Stage};

/// What a choice looks at.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Runners known.
    pub members: &'a RunnerDirectory,
    /// What this process has there.
    pub loads: &'a RunnerLoads,
    /// The service to serve.
    pub service: &'a ServiceName,
    /// Runners that change their stage now, as peers tell.
    pub runs: Option<&'a Runs>,
    /// Runners that fail too many runs; they are passed over while there are others.
    pub failing: Option<&'a BTreeSet<RunnerId>>,
    /// What runners asked for. Unlike what is guessed of a runner, it binds where there are no others.
    pub pressure: Option<PressureView<'a>>,
    /// The present time.
    pub now: Millis,
}

impl<'a> Candidate<'a> {
    /// Runners of the service that take new work from this gateway now.
    fn open(self) -> impl Iterator<Item = &'a Runner> {
        let is_open = move |r: &&Runner| self.pressure.is_none_or(|it| it.is_open(r, self.now));
        self.members.usable(self.service, self.now).filter(is_open)
    }
}

/// A choice for a plain call.
#[derive(Clone, Copy, Debug)]
pub struct PlainPick<'a> {
    /// Runners that had the request before.
    pub tried: &'a [RunnerId],
    /// The data centre of this process.
    pub near: &'a DataCentreName,
    /// A random draw in `0.0..1.0` that breaks ties.
    pub draw: f64,
}

/// Runners a process cannot tell apart by load are taken by the draw; a near one counts as this
/// much quicker, which keeps answers inside the data centre while loads are even.
const NEAR_BONUS: f64 = 0.95;

/// The runner with the shortest expected time for a plain call.
pub fn pick_for_call(cx: Candidate<'_>, pick: PlainPick<'_>) -> Option<Runner> {
    let fresh = |r: &&Runner| !pick.tried.contains(&r.id);
    let usable: Vec<&Runner> = cx.open().filter(fresh).collect();
    let from = with_room_if_any(cx, awake_if_any(cx, usable));
    let quickest_ms = quickest_of_pool(cx, &from);
    let cost = |r: &Runner| {
        let near = if r.data_centre == *pick.near { NEAR_BONUS } else { 1.0 };
        cx.loads.get(&r.id).expected_ms(r.slots, quickest_ms) * near
    };
    lowest(&from, pick.draw, cost).cloned()
}

/// Without the runners that refused a moment ago, unless there are no others. A refusal costs one of the
/// repeats that all gateways share.
fn with_room_if_any<'a>(cx: Candidate<'_>, from: Vec<&'a Runner>) -> Vec<&'a Runner> {
    those_if_any(from, |r| !cx.loads.is_full(&r.id, cx.now))
}

/// Those for which `holds`, or all where it holds for none.
fn those_if_any(from: Vec<&Runner>, holds: impl Fn(&Runner) -> bool) -> Vec<&Runner> {
    let those: Vec<&Runner> = from.iter().copied().filter(|r| holds(r)).collect();
    if those.is_empty() { from } else { those }
}

/// Mean time of the answers of the quickest that has answered, in ms; 0 when none has. A runner that has
/// just started is taken to be as quick: it is tried soon, also while little is asked for, and does not
/// get a burst alone.
fn quickest_of_pool(cx: Candidate<'_>, pool: &[&Runner]) -> f64 {
    let means = pool.iter().filter_map(|r| cx.loads.get(&r.id).mean_ms());
    means.min_by(f64::total_cmp).unwrap_or(0.0)
}

/// The prefill runner with the fewest prompt tokens waiting, those that others have `elsewhere` in
/// this process's sight included; near the decode runner at a tie.
pub fn pick_for_prefill(
    cx: Candidate<'_>,
    near: &DataCentreName,
    tried: &[RunnerId],
    draw: f64,
    elsewhere: impl Fn(&RunnerId) -> u64,
) -> Option<Runner> {
    let from = staged(cx, Stage::Prefill, tried);
    let cost = |r: &Runner| {
        let waiting = (cx.loads.get(&r.id).prompt_tokens + elsewhere(&r.id)) as f64;
        let far = if r.data_centre == *near { 0.0 } else { FAR_PREFILL_TOKENS };
        waiting + far
    };
    lowest(&from, draw, cost).cloned()
}

/// A transfer between data centres takes twice as long and is priced higher; one prompt of some
/// hundred tokens less in a queue does not make up for it.
const FAR_PREFILL_TOKENS: f64 = 500.0;

/// Decode runners in the order in which to ask them for memory: by the `peak` of what they would
/// use, which is `None` for one without room. Those that refused a moment ago are left out.
pub fn rank_for_decode(
    cx: Candidate<'_>,
    tried: &[RunnerId],
    draw: f64,
    peak: impl Fn(&Runner) -> Option<f64>,
) -> Vec<Runner> {
    let mut from = staged(cx, Stage::Decode, tried);
    from.retain(|r| !cx.loads.is_full(&r.id, cx.now));
    from.sort_by(|a, b| a.id.cmp(&b.id));
    rotate(&mut from, draw);
    let with_room = from.into_iter().filter_map(|r| Some((r, peak(r)?)));
    let mut with_room: Vec<(&Runner, f64)> = with_room.collect();
    // Runners were rotated by the draw: the better of the first two goes first, then the others by
    // what they would use. Gateways that place runs in the same milliseconds meet at one runner
    // seldom, as each looks at two of its own.
    let rest = with_room.split_off(with_room.len().min(CHOICES));
    let by_peak = |a: &(&Runner, f64), b: &(&Runner, f64)| a.1.total_cmp(&b.1);
    with_room.sort_by(by_peak);
    let mut rest: Vec<(&Runner, f64)> = rest;
    rest.sort_by(by_peak);
    with_room.into_iter().chain(rest).map(|(r, _)| r.clone()).collect()
}

/// Runners looked at before all others: the power of two choices.
const CHOICES: usize = 2;

fn staged<'a>(cx: Candidate<'a>, stage: Stage, tried: &[RunnerId]) -> Vec<&'a Runner> {
    let changes = |r: &Runner| cx.runs.is_some_and(|runs| runs.is_switching_stage(&r.id, cx.now));
    let of_stage = cx.open().filter(|r| r.stage == Some(stage));
    let of_stage = of_stage.filter(|r| !changes(r));
    awake_if_any(cx, of_stage.filter(|r| !tried.contains(&r.id)).collect())
}

/// Without the runners that were unreachable a moment ago or fail too many runs, unless there are no
/// others.
fn awake_if_any<'a>(cx: Candidate<'_>, usable: Vec<&'a Runner>) -> Vec<&'a Runner> {
    let fails = |r: &Runner| cx.failing.is_some_and(|failing| failing.contains(&r.id));
    let silent = |r: &Runner| cx.runs.is_some_and(|runs| runs.is_silent_at_peers(&r.id, cx.now));
    let paused = |r: &Runner| cx.loads.is_paused(&r.id, cx.now) || silent(r);
    those_if_any(usable, |r| !paused(r) && !fails(r))
}

fn lowest<'a>(from: &[&'a Runner], draw: f64, cost: impl Fn(&Runner) -> f64) -> Option<&'a Runner> {
    let mut from = from.to_vec();
    from.sort_by(|a, b| a.id.cmp(&b.id));
    rotate(&mut from, draw);
    let mut best: Option<(&Runner, f64)> = None;
    for runner in from {
        let cost = cost(runner);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((runner, cost));
        }
    }
    best.map(|(runner, _)| runner)
}

fn rotate(from: &mut [&Runner], draw: f64) {
    if !from.is_empty() {
        let by = (draw * from.len() as f64) as usize % from.len();
        from.rotate_left(by);
    }
}
