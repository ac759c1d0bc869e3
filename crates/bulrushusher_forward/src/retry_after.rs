//! Distinguishes returning callers from first-time callers, and sets the time after which refused
//! callers retry.

use std::collections::{HashMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::RouteName;

/// Retry-After time for refused callers.
#[derive(Clone, Copy, Debug)]
pub struct RetryAfterConfig {
    /// The time to wait.
    pub delay: Millis,
    /// Share of the time over which retries are spread.
    pub spread: f64,
}

/// The typical patience of callers, by route. Patience is the time that a caller is still willing
/// to wait.
///
/// A returning caller has less patience left than a first-time caller, by the time that has passed
/// since. Some callers wait far longer than most, so the maximum is no good estimate; a percentile
/// of the recent callers is used. As callers return once or twice at most, those at the percentile
/// are first-time callers.
///
/// ```
/// use bulrushusher_forward::{RetryAfterConfig, TypicalPatience};
/// use bulrushusher_time::Millis;
/// let route = "digest".try_into().unwrap();
/// let retry = RetryAfterConfig { delay: Millis(4_000), spread: 0.2 };
/// let mut typical = TypicalPatience::default();
/// typical.elapsed(&route, Millis(60_000), &retry);
/// for _ in 0..20 {
///     typical.elapsed(&route, Millis(14_000), &retry);
/// }
/// let mut elapsed = |patience| typical.elapsed(&route, Millis(patience), &retry);
/// assert_eq!(elapsed(14_000), Millis(0), "one patient caller has no effect");
/// assert_eq!(elapsed(12_600), Millis(0), "too soon for a retry");
/// assert_eq!(elapsed(9_500), Millis(4_500));
/// ```
#[derive(Clone, Debug, Default)]
pub struct TypicalPatience {
    routes: HashMap<RouteName, VecDeque<Millis>>,
}

/// Maximum number of routes; a configuration has about a hundred.
const MAX_ROUTES: usize = 4_096;

/// Recent callers kept per route: a few seconds of traffic, so that changes are followed quickly.
const CALLERS_PER_ROUTE: usize = 100;

/// Percentile of the callers' patience that counts as typical. At least half of all calls are first
/// attempts, and these are the upper half.
const TYPICAL_PERCENTILE: f64 = 0.7;

/// Share of the Retry-After time before which a caller is considered a first-time caller.
const MIN_RETURN_SHARE: f64 = 0.6;

impl TypicalPatience {
    /// Time since the caller's first attempt, estimated from its patience. Zero if it is less than
    /// a part of the Retry-After time: the patience of first-time callers varies by as much.
    pub fn elapsed(
        &mut self,
        route: &RouteName,
        patience: Millis,
        retry: &RetryAfterConfig,
    ) -> Millis {
        if self.routes.len() >= MAX_ROUTES && !self.routes.contains_key(route) {
            self.routes.clear();
        }
        let recent = self.routes.entry(route.clone()).or_default();
        recent.push_back(patience);
        if recent.len() > CALLERS_PER_ROUTE {
            recent.pop_front();
        }
        let typical = typical_patience(recent);
        let elapsed = typical.since(patience);
        let min_elapsed = retry.retry_after(typical, 0.5).0 as f64 * MIN_RETURN_SHARE;
        if (elapsed.0 as f64) < min_elapsed { Millis(0) } else { elapsed }
    }
}

fn typical_patience(recent: &VecDeque<Millis>) -> Millis {
    let mut sorted: Vec<Millis> = recent.iter().copied().collect();
    let at = ((sorted.len() - 1) as f64 * TYPICAL_PERCENTILE) as usize;
    *sorted.select_nth_unstable(at).1
}

/// Share of their remaining patience up to which callers honour a Retry-After.
const MAX_HONOURED_SHARE: f64 = 0.33;

impl RetryAfterConfig {
    /// When a caller with the patience `left` should retry; `draw` in `0.0..1.0` spreads the
    /// retries.
    ///
    /// ```
    /// use bulrushusher_forward::RetryAfterConfig;
    /// use bulrushusher_time::Millis;
    /// let retry = RetryAfterConfig { delay: Millis(4_000), spread: 0.2 };
    /// assert_eq!(retry.retry_after(Millis(14_000), 0.5), Millis(4_000));
    /// assert_eq!(retry.retry_after(Millis(3_000), 0.5), Millis(990));
    /// ```
    pub fn retry_after(&self, left: Millis, draw: f64) -> Millis {
        let spread = 1.0 + self.spread * (draw - 0.5);
        let desired = (self.delay.0 as f64 * spread) as u64;
        let max_honoured = (left.0 as f64 * MAX_HONOURED_SHARE) as u64;
        Millis(desired.min(max_honoured))
    }
}
