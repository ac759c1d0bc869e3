//! Round trips between a gateway and the regions of a deployment.

use std::collections::BTreeMap;

use bulrushusher_time::Millis;
use bulrushusher_world::RegionName;

/// Round trip to another region until one was measured, in ms.
const INITIAL_ROUND_TRIP_MS: f64 = 60.0;

/// Weight of a measured time below the estimate.
const LOWER_WEIGHT: f64 = 0.5;

/// Weight of a measured time above the estimate. With these weights the estimate stays near the
/// lowest tenth of the times: a new connection doubles a time and a slow runner adds to it, while
/// nothing makes it shorter than the round trip.
const HIGHER_WEIGHT: f64 = 0.02;

/// Multiple of the estimate beyond which a measured time counts no more.
const MAX_GROWTH: f64 = 2.0;

/// Added to [`MAX_GROWTH`] times the estimate, in ms, so that an estimate near zero can grow.
const GROWTH_SLACK_MS: f64 = 10.0;

/// Estimated round trips from this gateway to other regions, beyond one inside its own region.
///
/// They are learned from the times of requests that runners answer at once.
///
/// ```
/// use bulrushusher_forward::RegionDistances;
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::RegionName;
/// let east = RegionName::try_from("east").unwrap();
/// let mut distances = RegionDistances::default();
/// assert_eq!(distances.round_trip_ms(Some(&east)), 60.0, "not measured yet");
/// for _ in 0..20 {
///     distances.record(None, Millis(4));
///     distances.record(Some(&east), Millis(34));
/// }
/// assert_eq!(distances.round_trip_ms(Some(&east)).round(), 30.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RegionDistances {
    /// Time of a request inside the own region, in ms.
    own_ms: Option<f64>,
    /// Times of requests to other regions, in ms.
    others_ms: BTreeMap<RegionName, f64>,
}

impl RegionDistances {
    /// Round trip to another region in ms; `None` stands for a region that is not known.
    pub fn round_trip_ms(&self, region: Option<&RegionName>) -> f64 {
        let known = region.and_then(|region| self.others_ms.get(region));
        let beyond_own = |ms: &f64| (ms - self.own_ms.unwrap_or(0.0)).max(0.0);
        known.map_or(INITIAL_ROUND_TRIP_MS, beyond_own)
    }

    /// Records the time of a request that a runner in the region answered at once; `None` stands
    /// for the own region.
    pub fn record(&mut self, region: Option<&RegionName>, took: Millis) {
        let took_ms = took.0 as f64;
        match region {
            Some(region) => {
                let first_ms = INITIAL_ROUND_TRIP_MS + self.own_ms.unwrap_or(0.0);
                let ms = self.others_ms.entry(region.clone()).or_insert(first_ms);
                *ms = low_average(*ms, took_ms);
            }
            None => self.own_ms = Some(self.own_ms.map_or(took_ms, |ms| low_average(ms, took_ms))),
        }
    }

    /// The measured regions with their round trips in ms.
    pub fn measured(&self) -> impl Iterator<Item = (&RegionName, f64)> {
        self.others_ms.keys().map(|region| (region, self.round_trip_ms(Some(region))))
    }
}

/// The estimate after another measured time; both in ms.
fn low_average(estimate: f64, measured: f64) -> f64 {
    let highest = MAX_GROWTH * estimate + GROWTH_SLACK_MS;
    let weight = if measured < estimate { LOWER_WEIGHT } else { HIGHER_WEIGHT };
    estimate + weight * (measured.min(highest) - estimate)
}
