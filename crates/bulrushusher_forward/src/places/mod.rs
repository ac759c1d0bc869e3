//! Where requests may run, and what distance costs them.

mod distance;
mod view;

pub use distance::RegionDistances;
pub use view::{PlaceScope, PlaceView};
