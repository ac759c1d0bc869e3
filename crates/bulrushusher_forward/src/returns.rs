//! Tells callers that come back from those that come for the first time, and when to come back.

use std::collections::HashMap;

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
/// time that has passed since.
///
/// ```
/// use bulrushusher_forward::UsualPatience;
/// use bulrushusher_time::Millis;
/// let route = "digest".try_into().unwrap();
/// let mut usual = UsualPatience::default();
/// assert_eq!(usual.elapsed(&route, Millis(14_000)), Millis(0));
/// assert_eq!(usual.elapsed(&route, Millis(9_500)), Millis(4_500));
/// ```
#[derive(Clone, Debug, Default)]
pub struct UsualPatience {
    longest: HashMap<RouteName, Millis>,
}

/// Routes remembered; a configuration has some hundred.
const MAX_ROUTES: usize = 4_096;

impl UsualPatience {
    /// Time since the caller's first attempt, as far as its patience tells.
    pub fn elapsed(&mut self, route: &RouteName, patience: Millis) -> Millis {
        if self.longest.len() >= MAX_ROUTES && !self.longest.contains_key(route) {
            self.longest.clear();
        }
        let longest = self.longest.entry(route.clone()).or_default();
        *longest = (*longest).max(patience);
        longest.since(patience)
    }
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
