//! The most callers that anybody could serve on time: what a planner that knew every answer's length
//! and every arrival could not exceed.

use crate::Fleet;
use crate::load::Arrival;
use crate::play::TARGET;

/// Distance of the bounds of intervals that are looked at, in ms.
const GRID_MS: f64 = 500.0;

/// What a caller takes of decode memory at the least.
struct Need {
    /// Its run begins between these, in ms.
    earliest: f64,
    latest: f64,
    /// How long it runs, in ms.
    took: f64,
    prompt: f64,
    tokens_per_ms: f64,
}

impl Need {
    fn of(fleet: &Fleet, caller: &Arrival) -> Need {
        let figures = fleet.figures;
        let step = figures.step_ms + figures.step_ms_per_run;
        let at = caller.at.0 as f64;
        Need {
            earliest: at + caller.prompt / figures.read_tokens_per_ms,
            latest: at + TARGET.0 as f64,
            took: caller.output * step,
            prompt: caller.prompt,
            tokens_per_ms: 1.0 / step,
        }
    }

    /// Tokens times ms within an interval, whenever the run begins: a run that is moved on over an
    /// interval takes more of it and then less, so that one of the two ends is the least.
    fn within(&self, from: f64, until: f64) -> f64 {
        let taken = |begin: f64| {
            let first = (from - begin).clamp(0.0, self.took);
            let last = (until - begin).clamp(0.0, self.took);
            let grown = self.tokens_per_ms * (last * last - first * first) / 2.0;
            self.prompt * (last - first) + grown
        };
        taken(self.earliest).min(taken(self.latest))
    }
}

/// An upper bound on the callers that are served on time.
///
/// Whatever a planner does, the runs that reach into an interval share the memory of that interval.
/// Those that take least of it are counted as served, and engines as quick as with one run each.
///
/// ```
/// use bulrushusher_model::{Fleet, Load, arrivals, most_on_time};
/// let usual = arrivals(&Load::default(), 1);
/// assert_eq!(most_on_time(&Fleet::default(), &usual), usual.len());
/// let crowd = arrivals(&Load { per_second: 130.0, ..Load::default() }, 1);
/// assert!(most_on_time(&Fleet::default(), &crowd) < crowd.len(), "not all of ten times as many");
/// ```
pub fn most_on_time(fleet: &Fleet, callers: &[Arrival]) -> usize {
    let needs: Vec<Need> = callers.iter().map(|caller| Need::of(fleet, caller)).collect();
    let end = needs.iter().map(|need| need.latest + need.took).fold(0.0, f64::max);
    let bounds: Vec<f64> =
        (0..).map(|n| f64::from(n) * GRID_MS).take_while(|at| *at < end).collect();
    let mut most = callers.len();
    for from in &bounds {
        for until in bounds.iter().filter(|until| *until > from) {
            most = most.min(most_with_interval(fleet, &needs, *from, *until));
        }
    }
    most
}

/// The bound that one interval gives.
fn most_with_interval(fleet: &Fleet, needs: &[Need], from: f64, until: f64) -> usize {
    let mut taken: Vec<f64> = needs.iter().map(|need| need.within(from, until)).collect();
    let mut left = fleet.figures.memory_tokens * fleet.decodes as f64 * (until - from);
    if taken.iter().sum::<f64>() <= left {
        return needs.len();
    }
    taken.sort_by(f64::total_cmp);
    let fits = taken.iter().take_while(|need| {
        left -= **need;
        left >= 0.0
    });
    fits.count()
}
