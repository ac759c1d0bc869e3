//! An upper bound on the callers that can be served on time, which holds even for a scheduler that
//! knows the length of every answer and every arrival in advance.

use crate::Fleet;
use crate::load::Arrival;
use crate::simulation::TTFT_TARGET;

/// Spacing of the endpoints of the examined intervals, in ms.
const INTERVAL_GRID_MS: f64 = 500.0;

/// The minimum use of decode memory by a caller that is served on time.
struct MinMemoryUse {
    /// Earliest and latest start of the run, in ms.
    earliest_start: f64,
    latest_start: f64,
    /// Duration of the run, in ms.
    duration: f64,
    /// Tokens.
    prompt: f64,
    tokens_per_ms: f64,
}

impl MinMemoryUse {
    fn of(fleet: &Fleet, caller: &Arrival) -> MinMemoryUse {
        let engine = fleet.engine;
        let step = engine.step_ms + engine.step_ms_per_run;
        let at = caller.at.0 as f64;
        MinMemoryUse {
            earliest_start: at + caller.prompt / engine.prefill_tokens_per_ms,
            latest_start: at + TTFT_TARGET.0 as f64,
            duration: caller.output * step,
            prompt: caller.prompt,
            tokens_per_ms: 1.0 / step,
        }
    }

    /// Minimum token-milliseconds used within an interval over all possible starts of the run. As
    /// the start moves later, the use within the interval first grows and then shrinks, so the
    /// minimum is at the earliest or the latest start.
    fn within(&self, from: f64, until: f64) -> f64 {
        let used = |start: f64| {
            let first = (from - start).clamp(0.0, self.duration);
            let last = (until - start).clamp(0.0, self.duration);
            let generated = self.tokens_per_ms * (last * last - first * first) / 2.0;
            self.prompt * (last - first) + generated
        };
        used(self.earliest_start).min(used(self.latest_start))
    }
}

/// An upper bound on the callers that are served on time.
///
/// Under any schedule the runs that overlap an interval share the memory of that interval. The
/// bound counts the runs that use least of it as served, and takes the speed of engines with a
/// single run.
///
/// ```
/// use bulrushusher_model::{Fleet, Load, generate_arrivals, max_on_time};
/// let usual = generate_arrivals(&Load::default(), 1);
/// assert_eq!(max_on_time(&Fleet::default(), &usual), usual.len());
/// let crowd = generate_arrivals(&Load { per_second: 130.0, ..Load::default() }, 1);
/// assert!(max_on_time(&Fleet::default(), &crowd) < crowd.len(), "not all of ten times as many");
/// ```
pub fn max_on_time(fleet: &Fleet, callers: &[Arrival]) -> usize {
    let uses: Vec<MinMemoryUse> =
        callers.iter().map(|caller| MinMemoryUse::of(fleet, caller)).collect();
    let end = uses.iter().map(|it| it.latest_start + it.duration).fold(0.0, f64::max);
    let bounds: Vec<f64> =
        (0..).map(|n| f64::from(n) * INTERVAL_GRID_MS).take_while(|at| *at < end).collect();
    let mut max = callers.len();
    for from in &bounds {
        for until in bounds.iter().filter(|until| *until > from) {
            max = max.min(max_for_interval(fleet, &uses, *from, *until));
        }
    }
    max
}

/// The bound that follows from the memory of one interval.
fn max_for_interval(fleet: &Fleet, uses: &[MinMemoryUse], from: f64, until: f64) -> usize {
    let mut used: Vec<f64> = uses.iter().map(|it| it.within(from, until)).collect();
    let mut free = fleet.engine.memory_tokens * fleet.decodes as f64 * (until - from);
    if used.iter().sum::<f64>() <= free {
        return uses.len();
    }
    used.sort_by(f64::total_cmp);
    let fits = used.iter().take_while(|it| {
        free -= **it;
        free >= 0.0
    });
    fits.count()
}
