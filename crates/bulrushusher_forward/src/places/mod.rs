//! Where requests may run, and what distance costs them.

mod distance;
mod residency;
mod view;

pub use distance::RegionDistances;
pub use residency::ResidencyScope;
pub use view::{PlaceScope, PlaceView};
