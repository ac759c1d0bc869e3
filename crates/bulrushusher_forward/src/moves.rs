//! When a run leaves a decode runner whose memory is about to run out, and where it goes.
//!
//! An engine without memory preempts its newest run, which then pauses for seconds and is read in
//! again. Where runs can move with their memory, that run goes on at a runner with room instead, and
//! pauses for some ten milliseconds.

use bulrushusher_time::Millis;

use crate::{
    Candidate, ForecastConfig, MemoryForecast, MemoryNeed, RunNumber, RunReport, Runner, Runs,
    rank_for_decode,
};

/// When runs move.
#[derive(Clone, Copy, Debug)]
pub struct MoveConfig {
    /// How far ahead a runner's memory is looked at.
    pub ahead: Millis,
    /// Share of the memory that runs may have by then.
    pub fill: f64,
    /// Share of the memory that may be forecast to be used at the runner that a run moves to.
    pub target_fill: f64,
    /// Standard deviations above the mean need that must fit there.
    pub target_caution: f64,
}

impl Default for MoveConfig {
    /// A move takes two calls of some milliseconds, and peers hear of it some milliseconds later;
    /// a fifth of a second leaves room for one that is tried again. Memory is given out in blocks,
    /// half of one is lost for each run, and what peers made since their last report is a guess:
    /// two parts in a hundred. A run that moves should not have to move again soon.
    fn default() -> MoveConfig {
        MoveConfig { ahead: Millis(200), fill: 0.98, target_fill: 0.95, target_caution: 1.0 }
    }
}

impl MemoryForecast {
    /// True when the runs at a runner will have more than its memory soon, if none of them ends. A
    /// run that is alone stays: no other runner has more room for it.
    ///
    /// ```
    /// use bulrushusher_forward::{ForecastConfig, LengthModel, MemoryForecast, MoveConfig, RunShape};
    /// let forecast = MemoryForecast {
    ///     lengths: LengthModel::default(),
    ///     tokens_per_ms: 1.4,
    ///     memory: 20_000.0,
    ///     cfg: ForecastConfig::default(),
    /// };
    /// let run = RunShape { prompt: 5_000.0, made: 1_000.0, expected: 4_000.0, most: 9_000.0 };
    /// let grown = RunShape { made: 1_500.0, ..run };
    /// let overflows = |run| {
    ///     forecast.overflows_soon(&forecast.need(&[run; 3]), MoveConfig::default())
    /// };
    /// assert!(!overflows(run) && overflows(grown));
    /// ```
    pub fn overflows_soon(&self, there: &MemoryNeed, cfg: MoveConfig) -> bool {
        let grown = cfg.ahead.0 as f64 * self.tokens_per_ms * there.runs as f64;
        there.runs > 1 && there.now + grown > self.memory * cfg.fill
    }

    /// What a runner would need with a run that moves to it; `None` when it has no room for it.
    pub fn peak_after_move(
        &self,
        there: &MemoryNeed,
        run: &MemoryNeed,
        cfg: MoveConfig,
    ) -> Option<f64> {
        let bold = ForecastConfig { caution: cfg.target_caution, fill: cfg.target_fill };
        MemoryForecast { cfg: bold, ..*self }.peak_if_it_fits(there, run)
    }
}

impl Runs {
    /// The run, if it should move now: its runner is about to run out of memory, and it is the one that
    /// would be preempted.
    pub fn due_to_move(
        &self,
        run: RunNumber,
        forecast: &MemoryForecast,
        now: Millis,
    ) -> Option<&RunReport> {
        let note = self.get(run)?;
        let there = self.need_at(&note.runner, forecast, now);
        let is_due = forecast.overflows_soon(&there, MoveConfig::default())
            && self.is_newest(run, forecast.tokens_per_ms, now);
        is_due.then_some(note)
    }
}

/// The decode runner to which a run should move: one with a place and room for it. `draw` is random in
/// `0.0..1.0`.
pub fn pick_for_move(
    cx: Candidate<'_>,
    runs: &Runs,
    forecast: &MemoryForecast,
    note: &RunReport,
    draw: f64,
) -> Option<Runner> {
    let need = forecast.need(&[note.shape()]);
    let now = cx.now;
    let peak = |runner: &Runner| {
        let there = runs.need_at(&runner.id, forecast, now);
        let has_slot = there.runs < runner.slots as usize;
        has_slot.then(|| forecast.peak_after_move(&there, &need, MoveConfig::default()))?
    };
    let here = std::slice::from_ref(&note.runner);
    rank_for_decode(cx, here, draw, peak).into_iter().next()
}
