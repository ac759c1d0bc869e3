//! The service and the places that a request may be sent to.

use bulrushusher_forward::{ResidencyScope, Runner, SoftwareVersion, Stage};
use bulrushusher_world::{DataCentreName, Residency, RunnerId, ServiceName};

use crate::answers::answer::{OUTSIDE_REGIONS, Withheld};
use crate::dialect::Dialect;
use crate::runners::router::{ForwardedRequest, Router};
use crate::shared::SharedState;

/// Where a request may be sent at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    /// The service that must handle it.
    pub service: ServiceName,
    /// Where it may be processed.
    pub residency: Residency,
    /// The software version that must handle it; `None` if any may.
    pub version: Option<SoftwareVersion>,
}

impl Destination {
    /// All runners of a service.
    pub(crate) fn anywhere(service: &ServiceName) -> Destination {
        Destination { service: service.clone(), residency: Residency::Anywhere, version: None }
    }
}

impl SharedState {
    /// Where a request may be processed now. The configuration in force may be narrower than the one
    /// under which the request was accepted; both bind.
    pub(crate) fn residency_in_force(&self, fwd: &ForwardedRequest) -> Residency {
        let scope = ResidencyScope {
            accepted: &fwd.residency,
            host: &fwd.route.host,
            path: fwd.uri.path(),
            account: fwd.caller.account_name(),
        };
        scope.in_force(self.routing().as_deref())
    }

    /// True if a request with this residency may be processed in the data centre.
    pub(crate) fn permits_place(&self, residency: &Residency, at: &DataCentreName) -> bool {
        residency.permits(&self.cfg().topology, at)
    }

    /// True if the runners that could continue a stream, apart from `excluded`, are all of other
    /// versions. Without any runner, one of the version may still come.
    pub(crate) fn is_version_gone(
        &self,
        service: &ServiceName,
        version: &SoftwareVersion,
        excluded: &[RunnerId],
    ) -> bool {
        self.with_runners(|runners, now| {
            let staying = runners.directory.staying(service, now);
            let (own, others): (Vec<&Runner>, Vec<&Runner>) = staying
                .filter(|r| r.stage != Some(Stage::Prefill))
                .partition(|r| r.version == *version);
            !others.is_empty() && own.iter().all(|r| excluded.contains(&r.id))
        })
    }

    /// True if waiting for a runner is of no use, because of the residency: no data centre of the
    /// deployment is permitted, or the service has runners only in others.
    fn is_out_of_reach(&self, to: &Destination) -> bool {
        if to.residency == Residency::Anywhere {
            return false;
        }
        let cfg = self.cfg();
        let permits = |r: &Runner| to.residency.permits(&cfg.topology, &r.data_centre);
        if !to.residency.permits_any(&cfg.topology) {
            return true;
        }
        self.with_runners(|runners, now| {
            if !runners.directory.has_full_list() {
                return false;
            }
            let mut usable = runners.directory.staying(&to.service, now).peekable();
            usable.peek().is_some() && !usable.any(permits)
        })
    }
}

impl<D: Dialect> Router<D> {
    /// Where the request may be sent now.
    pub(crate) fn destination(&self, fwd: &ForwardedRequest) -> Destination {
        let residency = self.shared.residency_in_force(fwd);
        let version = fwd.version.get().cloned();
        Destination { service: fwd.service.clone(), residency, version }
    }

    /// Where the prompt of a request may be prefilled whose run is at the decode runner.
    pub(crate) fn prefill_destination(
        &self,
        fwd: &ForwardedRequest,
        decode: &Runner,
    ) -> Destination {
        Destination { version: Some(decode.version.clone()), ..self.destination(fwd) }
    }

    /// True if the request may be processed at the runner now.
    pub(crate) fn permits(&self, fwd: &ForwardedRequest, runner: &Runner) -> bool {
        self.shared.permits_place(&self.shared.residency_in_force(fwd), &runner.data_centre)
    }

    /// Checks that the residency leaves the request a place to run at.
    ///
    /// # Errors
    /// The refusal, which is logged and counted.
    pub(crate) fn check_residency(&self, fwd: &ForwardedRequest) -> Result<(), Withheld> {
        let to = self.destination(fwd);
        if !self.shared.is_out_of_reach(&to) {
            return Ok(());
        }
        let retry_after = self.usual_retry_after(fwd);
        self.metrics.record_residency_refusal();
        log::info!(
            "residency: refused id={} route={} account={} regions={} retry_after_ms={}",
            fwd.request.id,
            fwd.route.name,
            fwd.caller.account_name().map_or("none", |name| name.as_str()),
            if to.residency.is_empty() { "none".to_owned() } else { to.residency.describe() },
            retry_after.0,
        );
        Err(Withheld { reason: OUTSIDE_REGIONS, retry_after })
    }
}
