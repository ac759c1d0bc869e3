//! Where requests may run, and what distance costs them.

mod cold_limit;
mod distance;
mod evacuations;
mod residency;
mod view;

pub use cold_limit::{
    ColdChange, ColdLimitConfig, ColdLimiter, ColdShare, KnownGateways, SendKind,
};
pub use distance::RegionDistances;
pub use evacuations::{
    EvacuationChange, EvacuationDiff, EvacuationSet, EvacuationUpdate, Evacuations,
};
pub use residency::ResidencyScope;
pub use view::{PlaceScope, PlaceView};
