//! The service and the places that a request may be sent to.

use bulrushusher_forward::Runner;
use bulrushusher_world::{Residency, ServiceName};

use crate::shared::SharedState;

/// Where a request may be sent at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    /// The service that must handle it.
    pub service: ServiceName,
    /// Where it may be processed.
    pub residency: Residency,
}

impl Destination {
    /// All runners of a service.
    pub(crate) fn anywhere(service: &ServiceName) -> Destination {
        Destination { service: service.clone(), residency: Residency::Anywhere }
    }
}

impl SharedState {
    /// True if a request with this residency may be processed by the runner.
    pub(crate) fn permits_place(&self, residency: &Residency, runner: &Runner) -> bool {
        residency.permits(&self.cfg().topology, &runner.data_centre)
    }
}
