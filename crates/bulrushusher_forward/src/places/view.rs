//! The places at which one request may run.

use bulrushusher_world::{DataCentreName, Residency, Topology};

use crate::RegionDistances;

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
}

/// Where the deployment has one region, or states none, all data centres are in the same one.
fn is_same_region(scope: &PlaceScope<'_>, a: &DataCentreName, b: &DataCentreName) -> bool {
    !scope.topology.has_many_regions() || scope.topology.is_same_region(a, b)
}
