//! How many requests a gateway gets, which tells its share of what all gateways may do together.

use bulrushusher_time::Millis;

/// Time over which requests are averaged, in ms. A flood must be known to all gateways within some
/// seconds.
const AVERAGING_MS: f64 = 1_000.0;

/// Meters the requests of a gateway, averaged over about a second.
///
/// ```
/// use bulrushusher_forward::DemandMeter;
/// use bulrushusher_time::Millis;
/// let mut meter = DemandMeter::default();
/// for n in 0..500 {
///     meter.record(Millis(n * 20));
/// }
/// assert!((45..=55).contains(&meter.per_second(Millis(10_000))));
/// assert_eq!(meter.per_second(Millis(20_000)), 0);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    /// Requests, each of which decays with its age.
    decayed: f64,
    updated_at: Millis,
}

impl DemandMeter {
    /// Records a request.
    pub fn record(&mut self, now: Millis) {
        self.decayed = self.decayed_at(now) + 1.0;
        self.updated_at = now;
    }

    /// Requests per second.
    pub fn per_second(&self, now: Millis) -> u32 {
        (self.decayed_at(now) * 1_000.0 / AVERAGING_MS).round() as u32
    }

    fn decayed_at(&self, now: Millis) -> f64 {
        let age = now.since(self.updated_at).0 as f64;
        self.decayed * (-age / AVERAGING_MS).exp()
    }
}
