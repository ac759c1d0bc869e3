//! When a run moves away from a decode runner that is about to run out of memory, and to which
//! other decode runner, its destination.
//!
//! An engine without free memory preempts its newest run, which then stalls for seconds and repeats
//! its prefill. Where the engine can move a run with its KV cache, that run continues at a runner
//! with room instead, after a pause of about ten milliseconds.

use bulrushusher_time::Millis;

use crate::{
    ForecastConfig, MemoryForecast, MemoryNeed, RunNumber, RunReport, Runner, Runs,
    SelectionContext, runner_selection::rank_near_first,
};

/// Thresholds for moves.
#[derive(Clone, Copy, Debug)]
pub struct MoveConfig {
    /// How far ahead a runner's memory use is extrapolated.
    pub look_ahead: Millis,
    /// Share of the runner's memory that its runs may use at that time without a move.
    pub max_fill: f64,
    /// Share of the destination runner's memory up to which its forecast peak may rise with the
    /// moved run.
    pub max_destination_fill: f64,
    /// Standard deviations above the mean memory need that must fit at the destination runner.
    pub destination_caution: f64,
}

impl Default for MoveConfig {
    /// A move takes two calls of a few milliseconds each, and peers learn of it a few milliseconds
    /// later; 200 ms leave room for one retry. Two percent of the memory cover the half block lost
    /// per run and the estimated growth of peers' runs since their last report. The destination
    /// keeps enough room that the run does not soon have to move again.
    fn default() -> MoveConfig {
        MoveConfig {
            look_ahead: Millis(200),
            max_fill: 0.98,
            max_destination_fill: 0.95,
            destination_caution: 1.0,
        }
    }
}

impl MemoryForecast {
    /// True if the runs at a runner will soon exceed its memory unless one of them ends. A single
    /// run stays, as no other runner has more room for it.
    ///
    /// ```
    /// use bulrushusher_forward::{
    ///     ForecastConfig, LengthModel, MemoryForecast, MoveConfig, RunShape,
    /// };
    /// let forecast = MemoryForecast {
    ///     lengths: LengthModel::default(),
    ///     tokens_per_ms: 1.4,
    ///     memory: 20_000.0,
    ///     cfg: ForecastConfig::default(),
    /// };
    /// let run = RunShape {
    ///     prompt: 5_000.0,
    ///     generated: 1_000.0,
    ///     expected: 4_000.0,
    ///     max_output: 9_000.0,
    /// };
    /// let grown = RunShape { generated: 1_500.0, ..run };
    /// let overflows = |run| {
    ///     forecast.overflows_soon(&forecast.need(&[run; 3]), MoveConfig::default())
    /// };
    /// assert!(!overflows(run) && overflows(grown));
    /// ```
    pub fn overflows_soon(&self, at_runner: &MemoryNeed, cfg: MoveConfig) -> bool {
        let growth = cfg.look_ahead.0 as f64 * self.tokens_per_ms * at_runner.runs as f64;
        at_runner.runs > 1 && at_runner.now + growth > self.memory * cfg.max_fill
    }

    /// Forecast peak of a destination runner with the moved run; `None` if the run does not fit.
    pub fn peak_after_move(
        &self,
        at_runner: &MemoryNeed,
        run: &MemoryNeed,
        cfg: MoveConfig,
    ) -> Option<f64> {
        let destination_cfg =
            ForecastConfig { caution: cfg.destination_caution, max_fill: cfg.max_destination_fill };
        MemoryForecast { cfg: destination_cfg, ..*self }.peak_if_it_fits(at_runner, run)
    }
}

impl Runs {
    /// The run, if it should move now: its runner is about to run out of memory and would preempt
    /// it. `pace` is the generation rate of a run at this runner in tokens per ms, where it differs
    /// from the service's. Placement keeps the service's rate: with own rates it preempted more
    /// runs, as all runs at a fast runner also end sooner.
    pub fn run_due_to_move(
        &self,
        run: RunNumber,
        forecast: &MemoryForecast,
        pace: Option<f64>,
        now: Millis,
    ) -> Option<&RunReport> {
        let report = self.get(run)?;
        let forecast = forecast.at_pace(pace);
        // The cached need was computed with the service's rate.
        let at_runner = match pace {
            Some(pace) => MemoryNeed::held_by(&self.shapes_at(&report.runner, pace, now)),
            None => self.need_at(&report.runner, &forecast, now),
        };
        let is_due = forecast.overflows_soon(&at_runner, MoveConfig::default())
            && self.is_newest(run, forecast.tokens_per_ms, now);
        is_due.then_some(report)
    }
}

/// Selects the decode runner that a run should move to, one with a free slot and memory. Runners in
/// the region of the run's current runner come first, as the KV cache has to be copied. `draw` is a
/// random number in `0.0..1.0`.
pub fn pick_for_move(
    cx: SelectionContext<'_>,
    runs: &Runs,
    forecast: &MemoryForecast,
    report: &RunReport,
    draw: f64,
) -> Option<Runner> {
    let need = forecast.need(&[report.shape()]);
    let now = cx.now;
    let peak = |runner: &Runner| {
        let at_runner = runs.need_at(&runner.id, forecast, now);
        let has_slot = at_runner.runs < runner.slots as usize;
        has_slot.then(|| forecast.peak_after_move(&at_runner, &need, MoveConfig::default()))?
    };
    let current = std::slice::from_ref(&report.runner);
    let source = cx.members.get(&report.runner, now).map(|runner| &runner.data_centre);
    let is_near = |runner: &Runner| match source {
        Some(source) => cx.places.is_same_region(source, &runner.data_centre),
        None => cx.places.is_near(&runner.data_centre),
    };
    rank_near_first(cx, current, draw, is_near, peak).into_iter().next()
}
