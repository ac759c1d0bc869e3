//! Speeds of model runners.

use bulrushusher_world::ServiceName;

use super::SharedState;

impl SharedState {
    /// True if the runners of the service are known to differ in speed. Speeds are not measured yet.
    pub(crate) fn is_uneven(&self, _service: &ServiceName) -> bool {
        false
    }
}
