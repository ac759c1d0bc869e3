//! An entry's estimate of a runner's load.

use bulrushusher_time::Millis;

/// A runner's last load report, and this entry's own requests there.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadHint {
    /// Concurrency slots of the runner that requests of all entries use, at the time of the report.
    pub used: u32,
    /// Total slots; 0 before the first report.
    pub places: u32,
    /// Requests waiting for a slot, at the time of the report.
    pub waiting: u32,
    /// Expected wait for a slot, at the time of the report.
    pub expected_wait: Millis,
    /// Running and waiting requests by the engine's own metrics, which lag behind.
    pub engine_load: u32,
    /// When the report arrived; zero before the first one.
    pub reported_at: Millis,
    /// Requests of this entry in flight at the runner.
    pub own_in_flight: u32,
    /// Of these, requests sent after `reported_at`.
    pub own_since_report: u32,
}

impl LoadHint {
    /// Estimated requests at the runner: the reported number, decayed by the age of the report with
    /// `half_life`, plus the requests that this entry sent since; at least this entry's requests in
    /// flight.
    ///
    /// ```
    /// use bulrushusher_routing::LoadHint;
    /// use bulrushusher_time::Millis;
    /// let reported_at = Millis(1_000);
    /// let hint = LoadHint { used: 8, places: 20, reported_at, ..LoadHint::default() };
    /// assert_eq!(hint.estimate(Millis(1_000), Millis(500)), 8.0);
    /// assert_eq!(hint.estimate(Millis(1_500), Millis(500)), 4.0);
    /// ```
    pub fn estimate(&self, now: Millis, half_life: Millis) -> f64 {
        let age = now.since(self.reported_at).0 as f64;
        let decay = 0.5_f64.powf(age / half_life.0.max(1) as f64);
        let reported = f64::from(self.used + self.waiting) * decay;
        (reported + f64::from(self.own_since_report)).max(f64::from(self.own_in_flight))
    }

    /// [`LoadHint::estimate`] per slot; above 1, requests are waiting.
    pub fn utilization(&self, now: Millis, half_life: Millis) -> f64 {
        self.estimate(now, half_life) / f64::from(self.places.max(1))
    }
}
