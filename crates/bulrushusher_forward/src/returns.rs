//! Tells callers that come back from those that come for the first time, and when to come back.

use std::collections::{HashMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::RouteName;

/// When refused callers are told to come back.
#[derive(Clone, Copy, Debug)]
pub struct ReturnConfig {
    /// The time to wait.
    pub after: Millis,
    /// Share of it over which returns are spread.
    pub spread: f64,
}

/// The patience that callers of each route usually have.
///
/// A caller that comes back has less patience left than one that comes for the first time, by the
/// time that has passed since. Some callers wait far longer than most, so the longest patience says
/// little: what counts is what a good part of the last callers had at least. As each caller comes
/// back once or twice at most, that part is on its first visit.
///
/// ```
/// use bulrushusher_forward::{ReturnConfig, UsualPatience};
/// use bulrushusher_time::Millis;
/// let route = "digest".try_into().unwrap();
/// let returns = ReturnConfig { after: Millis(4_000), spread: 0.2 };
/// let mut usual = UsualPatience::default();
/// usual.elapsed(&route, Millis(60_000), &returns);
/// for _ in 0..20 {
///     usual.elapsed(&route, Millis(14_000), &returns);
/// }
/// let mut elapsed = |patience| usual.elapsed(&route, Millis(patience), &returns);
/// assert_eq!(elapsed(14_000), Millis(0), "what counts is not the patience of one");
/// assert_eq!(elapsed(12_600), Millis(0), "nobody was told to come back so soon");
/// assert_eq!(elapsed(9_500), Millis(4_500));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsualPatience {
    routes: HashMap<RouteName, VecDeque<Millis>>,
}

/// Routes remembered; a configuration has some hundred.
const MAX_ROUTES: usize = 4_096;

/// Callers of a route remembered: some seconds of them, so that a change is followed soon.
const REMEMBERED: usize = 100;

/// The usual patience is that which this share of the callers does not exceed. At least half of all
/// calls are first ones, and they are the upper half.
const USUAL_SHARE: f64 = 0.7;

/// Share of the time to come back before which a caller is taken for one on its first visit.
const SOONEST_RETURN: f64 = 0.6;

impl UsualPatience {
    /// Time since the caller's first attempt, as far as its patience tells.
    /// Less than a part of the time after which callers are told to come back is none: their
    /// patience differs by as much.
    pub fn elapsed(
        &mut self,
        route: &RouteName,
        patience: Millis,
        returns: &ReturnConfig,
    ) -> Millis {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let last = self.routes.entry(route.clone()).or_default();
        last.push_back(patience);
        if last.len() > REMEMBERED {
            last.pop_front();
        }
        let usual = usual(last);
        let elapsed = usual.since(patience);
        let soonest = returns.come_back(usual, 0.5).0 as f64 * SOONEST_RETURN;
        if (elapsed.0 as f64) < soonest { Millis(0) } else { elapsed }
    }
}

fn usual(last: &VecDeque<Millis>) -> Millis {
    let mut sorted: Vec<Millis> = last.iter().copied().collect();
    let at = ((sorted.len() - 1) as f64 * USUAL_SHARE) as usize;
    *sorted.select_nth_unstable(at).1
}

/// Callers heed a time to come back of up to a third of the patience that they have left.
const HEEDED_SHARE: f64 = 0.33;

impl ReturnConfig {
    /// When a caller should come back that has `left` of its patience; `draw` in `0.0..1.0`
    /// spreads the returns.
    ///
    /// ```
    /// use bulrushusher_forward::ReturnConfig;
    /// use bulrushusher_time::Millis;
    /// let returns = ReturnConfig { after: Millis(4_000), spread: 0.2 };
    /// assert_eq!(returns.come_back(Millis(14_000), 0.5), Millis(4_000));
    /// assert_eq!(returns.come_back(Millis(3_000), 0.5), Millis(990));
    /// ```
    pub fn come_back(&self, left: Millis, draw: f64) -> Millis {
        let spread = 1.0 + self.spread * (draw - 0.5);
        let wished = (self.after.0 as f64 * spread) as u64;
        let heeded = (left.0 as f64 * HEEDED_SHARE) as u64;
        Millis(wished.min(heeded))
    }
}
