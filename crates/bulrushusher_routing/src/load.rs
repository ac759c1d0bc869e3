//! What an entry believes of a runner's load.

use bulrushusher_time::Millis;

/// Load of a runner as last heard, and what this entry itself has there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadHint {
    /// Places held, by all entries, when heard.
    pub used: u32,
    /// Places in all; 0 when never heard.
    pub places: u32,
    /// Requests that waited when heard.
    pub waiting: u32,
    /// Expected wait when heard.
    pub expected_wait: Millis,
    /// Load that the engine reported of itself, late.
    pub engine_load: u32,
    /// When it was heard; zero for never.
    pub reported_at: Millis,
    /// Requests of this entry that are there now.
    pub own_in_flight: u32,
    /// Of these, requests sent after `heard`.
    pub own_since_report: u32,
}

impl LoadHint {
    /// Requests there now, as far as one can tell: what was heard, fading with age, and what this
    /// entry sent since; never less than what this entry has there.
    ///
    /// ```
    /// use bulrushusher_routing::LoadHint;
    /// use bulrushusher_time::Millis;
    /// let hint = LoadHint { used: 8, places: 20, reported_at: Millis(1_000), ..LoadHint::default() };
    /// assert_eq!(hint.estimate(Millis(1_000), Millis(500)), 8.0);
    /// assert_eq!(hint.estimate(Millis(1_500), Millis(500)), 4.0);
    /// ```
    pub fn estimate(&self, now: Millis, half_life: Millis) -> f64 {
        let age = now.since(self.reported_at).0 as f64;
        let fade = 0.5_f64.powf(age / half_life.0.max(1) as f64);
        let heard = f64::from(self.used + self.waiting) * fade;
        (heard + f64::from(self.own_since_report)).max(f64::from(self.own_in_flight))
    }

    /// [`LoadHint::estimate`] per place; above 1 means that requests wait.
    pub fn utilization(&self, now: Millis, half_life: Millis) -> f64 {
        self.estimate(now, half_life) / f64::from(self.places.max(1))
    }
}
