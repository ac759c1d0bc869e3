//! Round trips between a gateway and the regions of a deployment.

use std::collections::BTreeMap;

use bulrushusher_world::RegionName;

/// Round trip to another region until one was measured, in ms.
const INITIAL_ROUND_TRIP_MS: f64 = 60.0;

/// Estimated round trips from this gateway to other regions, beyond one inside its own region.
#[derive(Clone, Debug, Default)]
pub struct RegionDistances {
    round_trips_ms: BTreeMap<RegionName, f64>,
}

impl RegionDistances {
    /// Round trip to another region in ms; `None` stands for a region that is not known.
    pub fn round_trip_ms(&self, region: Option<&RegionName>) -> f64 {
        let known = region.and_then(|region| self.round_trips_ms.get(region));
        known.copied().unwrap_or(INITIAL_ROUND_TRIP_MS)
    }
}
