//! The difference between two configurations, as relays forward it.
//!
//! Most changes affect a few of hundreds of routes. API keys of client accounts are distributed by
//! the store only, so configurations with accounts have no delta.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use bulrushusher_world::RouteName;
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Route, RoutingConfig, RoutingError, ServiceSpec};

/// The difference between two configurations without client accounts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// Version of the configuration that the delta applies to.
    pub from: u64,
    /// Version of the configuration after the delta is applied.
    pub version: u64,
    limits: CallerLimits,
    services: Vec<ServiceSpec>,
    removed: Vec<RouteName>,
    changed: Vec<Route>,
}

impl RoutingDelta {
    /// The delta from one configuration to another; `None` if either has client accounts or two
    /// routes of the same name, or parts that cannot be read.
    pub fn between(old: &RoutingConfig, new: &RoutingConfig) -> Option<RoutingDelta> {
        let is_whole = |cfg: &RoutingConfig| cfg.unreadable_parts().is_empty();
        if old.accounts().is_some() || new.accounts().is_some() || !is_whole(old) || !is_whole(new)
        {
            return None;
        }
        let (before, now) = (by_name(old)?, by_name(new)?);
        let is_new = |route: &&&Arc<Route>| before.get(&route.name) != Some(*route);
        Some(RoutingDelta {
            from: old.version,
            version: new.version,
            limits: new.limits,
            services: new.services().cloned().collect(),
            removed: before.keys().filter(|name| !now.contains_key(*name)).cloned().collect(),
            changed: now.values().filter(is_new).map(|route| Route::clone(route)).collect(),
        })
    }

    /// Number of changed and removed routes.
    pub fn route_count(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// Applies the delta to `old`; returns `None` if it does not apply to that configuration.
    ///
    /// # Errors
    /// [`RoutingError`] names the first route that cannot be used.
    pub fn apply(self, old: &RoutingConfig) -> Result<Option<RoutingConfig>, RoutingError> {
        if old.version != self.from || old.accounts().is_some() {
            return Ok(None);
        }
        let replaced: HashSet<&RouteName> =
            self.changed.iter().map(|route| &route.name).chain(&self.removed).collect();
        let kept = old.routes().filter(|route| !replaced.contains(&route.name));
        let mut routes: Vec<Route> = kept.map(|route| Route::clone(route)).collect();
        routes.extend(self.changed.iter().cloned());
        RoutingConfig::new(self.version, routes, self.services, self.limits).map(Some)
    }
}

/// The routes by name; `None` if two share a name.
fn by_name(cfg: &RoutingConfig) -> Option<HashMap<RouteName, &Arc<Route>>> {
    let routes: HashMap<RouteName, &Arc<Route>> =
        cfg.routes().map(|route| (route.name.clone(), route)).collect();
    (routes.len() == cfg.route_count()).then_some(routes)
}
