//! Where requests may run, and what distance costs them.

mod cold_limit;
mod cold_runner;
mod cold_share;
mod distance;
mod evacuations;
mod residency;
mod view;

pub use cold_limit::{ColdChange, ColdLimiter, SendKind};
pub use cold_share::{ColdLimitConfig, ColdShare, KnownGateways};
pub use distance::RegionDistances;
pub use evacuations::{
    EvacuationChange, EvacuationDiff, EvacuationSet, EvacuationUpdate, Evacuations,
};
pub use residency::ResidencyScope;
pub use view::{PlaceScope, PlaceView};
