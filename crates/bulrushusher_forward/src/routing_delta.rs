//! What changed from one configuration to the next, as relays pass it on.
//!
//! Most changes touch a few of hundreds of routes. Keys of client accounts are told by the store alone, so that
//! configurations with accounts have no delta.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use bulrushusher_world::RouteName;
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, Route, RoutingConfig, RoutingError, ServiceSpec};

/// The difference of two configurations without client accounts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoutingDelta {
    /// Version of the configuration that it changes.
    pub from: u64,
    /// Version of the one that it leads to.
    pub version: u64,
    limits: CallerLimits,
    services: Vec<ServiceSpec>,
    removed: Vec<RouteName>,
    changed: Vec<Route>,
}

impl RoutingDelta {
    /// What leads from one configuration to another; `None` where either has client accounts, or names
    /// several routes alike.
    pub fn between(old: &RoutingConfig, new: &RoutingConfig) -> Option<RoutingDelta> {
        if old.accounts().is_some() || new.accounts().is_some() {
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

    /// Routes that it changes or removes.
    pub fn route_count(&self) -> usize {
        self.changed.len() + self.removed.len()
    }

    /// The configuration that it leads to from `old`; `None` where it does not begin there.
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

/// The routes by their names; `None` where two have the same.
fn by_name(cfg: &RoutingConfig) -> Option<HashMap<RouteName, &Arc<Route>>> {
    let routes: HashMap<RouteName, &Arc<Route>> =
        cfg.routes().map(|route| (route.name.clone(), route)).collect();
    (routes.len() == cfg.route_count()).then_some(routes)
}
