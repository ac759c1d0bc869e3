//! The places at which one request may run.

use bulrushusher_world::{DataCentreName, Residency, Topology};

use crate::RegionDistances;

/// Time to transfer a KV cache to another region, in ms: ten times as long as the 1 ms that 5,200
/// tokens of 131 KB take at 5,900 Gbit/s inside a data centre.
const REMOTE_TRANSFER_MS: f64 = 10.0;

/// What decides on the places of a request.
#[derive(Clone, Copy, Debug)]
pub struct PlaceScope<'a> {
    /// The region of each data centre.
    pub topology: &'a Topology,
    /// The regions in which the request may be processed.
    pub residency: &'a Residency,
    /// The data centre of this gateway.
    pub data_centre: &'a DataCentreName,
    /// Round trips to the other regions.
    pub distances: &'a RegionDistances,
}

/// Where a request may run, and how far away each place is.
///
/// Each selection of a runner needs one, so that no selection can ignore where a request may run.
///
/// ```
/// use bulrushusher_forward::{PlaceScope, PlaceView, RegionDistances};
/// use bulrushusher_world::{DataCentreName, RegionName, Residency, Topology};
/// let topology = Topology::try_from("ba-a:west,ba-b:west,ke-a:east").unwrap();
/// let name = |text| DataCentreName::try_from(text).unwrap();
/// let (own, distances) = (name("ba-a"), RegionDistances::default());
/// let residency = Residency::only([RegionName::try_from("west").unwrap()]);
/// let view = PlaceView::new(PlaceScope {
///     topology: &topology,
///     residency: &residency,
///     data_centre: &own,
///     distances: &distances,
/// });
/// assert!(view.permits(&name("ba-b")) && !view.permits(&name("ke-a")));
/// assert!(view.is_near(&name("ba-b")) && !view.is_near(&name("ke-a")));
/// assert_eq!(view.extra_ms(&name("ba-b")), 0.0);
/// assert!(view.extra_ms(&name("ke-a")) > 0.0);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct PlaceView<'a> {
    scope: Option<PlaceScope<'a>>,
}

impl<'a> PlaceView<'a> {
    /// Every place is permitted and equally near.
    pub const ANYWHERE: PlaceView<'static> = PlaceView { scope: None };

    /// The places of a request.
    pub fn new(scope: PlaceScope<'a>) -> PlaceView<'a> {
        PlaceView { scope: Some(scope) }
    }

    /// True if a runner in the data centre may process the request.
    pub fn permits(&self, data_centre: &DataCentreName) -> bool {
        self.scope.is_none_or(|scope| scope.residency.permits(scope.topology, data_centre))
    }

    /// True if the data centre is in the region of this gateway.
    pub fn is_near(&self, data_centre: &DataCentreName) -> bool {
        self.scope.is_none_or(|scope| is_same_region(&scope, scope.data_centre, data_centre))
    }

    /// True if both data centres are in one region.
    pub fn is_same_region(&self, a: &DataCentreName, b: &DataCentreName) -> bool {
        self.scope.is_none_or(|scope| is_same_region(&scope, a, b))
    }

    /// Round trip from this gateway to the data centre in ms, beyond one inside its own region.
    pub fn extra_ms(&self, data_centre: &DataCentreName) -> f64 {
        match self.scope {
            Some(scope) if !self.is_near(data_centre) => {
                scope.distances.round_trip_ms(scope.topology.region_of(data_centre))
            }
            _ => 0.0,
        }
    }

    /// Round trip between two data centres in ms, beyond one inside a region. Round trips between
    /// two other regions are not measured; the longer of those from this gateway stands in.
    fn between_ms(&self, a: &DataCentreName, b: &DataCentreName) -> f64 {
        if self.is_same_region(a, b) { 0.0 } else { self.extra_ms(a).max(self.extra_ms(b)) }
    }

    /// Time in ms by which the region of a prefill runner delays the first event: the round trip
    /// for the prompt, and the fetch of the KV cache by the decode runner.
    ///
    /// ```
    /// use bulrushusher_forward::{PlaceScope, PlaceView, RegionDistances};
    /// use bulrushusher_world::{DataCentreName, Residency, Topology};
    /// let topology = Topology::try_from("ba-a:west,ba-b:west,ke-a:east").unwrap();
    /// let name = |text| DataCentreName::try_from(text).unwrap();
    /// let (own, distances) = (name("ba-a"), RegionDistances::default());
    /// let view = PlaceView::new(PlaceScope {
    ///     topology: &topology,
    ///     residency: &Residency::Anywhere,
    ///     data_centre: &own,
    ///     distances: &distances,
    /// });
    /// assert_eq!(view.prefill_extra_ms(&name("ba-b"), &own), 0.0);
    /// assert_eq!(view.prefill_extra_ms(&name("ke-a"), &own), 130.0, "there, and the fetch");
    /// assert_eq!(view.prefill_extra_ms(&name("ke-a"), &name("ke-a")), 60.0, "there");
    /// ```
    pub fn prefill_extra_ms(&self, prefill: &DataCentreName, decode: &DataCentreName) -> f64 {
        if self.is_same_region(prefill, decode) {
            return self.extra_ms(prefill);
        }
        self.extra_ms(prefill) + self.between_ms(prefill, decode) + REMOTE_TRANSFER_MS
    }
}

/// Where the deployment has one region, or states none, all data centres are in the same one.
fn is_same_region(scope: &PlaceScope<'_>, a: &DataCentreName, b: &DataCentreName) -> bool {
    !scope.topology.has_many_regions() || scope.topology.is_same_region(a, b)
}
