//! Names of regions and data centres that the deployment's settings lack.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_accounts::AccountTable;
use bulrushusher_forward::{RoutingConfig, Runner};
use bulrushusher_world::{DataCentreName, RegionName, Topology};

use super::SharedState;

/// Data centres of runners that were logged because the settings lack their region.
#[derive(Debug, Default)]
pub(super) struct UnknownPlaces {
    data_centres: BTreeSet<DataCentreName>,
}

impl SharedState {
    /// Logs the regions that a configuration allows and the settings lack; nothing runs there. It is
    /// called once for each configuration version.
    pub(super) fn log_unknown_regions(&self, routing: &RoutingConfig) {
        for (region, user) in unknown_regions(routing, &self.cfg().topology) {
            log::warn!(
                "residency: unknown region={region} first_used_by=\"{user}\" version={} \
                 remedy=\"add it to data_centres in the settings, or correct the allowed regions\"",
                routing.version
            );
        }
    }

    /// Logs once a runner's data centre without a region, where the deployment has regions.
    pub(super) fn log_unknown_data_centre(&self, runner: &Runner) {
        let (cfg, name) = (self.cfg(), &runner.data_centre);
        if cfg.topology.is_empty() || cfg.topology.region_of(name).is_some() {
            return;
        }
        if self.unknown_places.lock().data_centres.insert(name.clone()) {
            log::warn!(
                "residency: unknown data_centre={name} runner={} \
                 remedy=\"add it with its region to data_centres in the settings\"",
                runner.id
            );
        }
    }
}

/// The allowed regions that the topology lacks, each with the first route or account that uses it.
fn unknown_regions(routing: &RoutingConfig, topology: &Topology) -> BTreeMap<RegionName, String> {
    let of_routes = routing.routes().map(|it| (format!("route {}", it.name), &it.residency));
    let accounts = routing.accounts().into_iter().flat_map(AccountTable::accounts);
    let of_accounts = accounts.map(|it| (format!("account {}", it.name), &it.residency));
    let mut unknown = BTreeMap::new();
    for (user, residency) in of_routes.chain(of_accounts) {
        for region in residency.regions().filter(|region| !topology.has_region(region)) {
            unknown.entry(region.clone()).or_insert_with(|| user.clone());
        }
    }
    unknown
}
