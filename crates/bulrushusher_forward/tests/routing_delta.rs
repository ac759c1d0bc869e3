//! Configuration deltas forwarded by relays produce exactly the configuration in the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use bulrushusher_forward::{
    CallerLimits, Route, RouteKind, RoutingConfig, RoutingDelta, ServiceSpec, WeightedService,
};
use bulrushusher_time::Millis;
use proptest::prelude::*;

fn route(name: u8, timeout: u64) -> Route {
    Route {
        name: format!("route-{name}").as_str().try_into().expect("valid name"),
        host: format!("{}.example", name % 3).into(),
        path_start: format!("/{name}/").into(),
        kind: RouteKind::Idempotent,
        services: vec![WeightedService { service: service_name(), weight: 1 }],
        timeout: Millis(timeout),
        target: Millis(300),
        gap_target: Millis(0),
        max_runners: 2,
        priority: 2,
        is_open: false,
        residency: Default::default(),
    }
}

fn service_name() -> bulrushusher_world::ServiceName {
    "app".try_into().expect("valid name")
}

fn configuration(version: u64, routes: &BTreeMap<u8, u64>, connections: u32) -> RoutingConfig {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 65_536,
        header_timeout: Millis(700),
        idle_timeout: Millis(5_000),
    };
    let service = ServiceSpec {
        name: service_name(),
        max_connections: connections,
        engine: None,
        cold: None,
    };
    let routes = routes.iter().map(|(name, timeout)| route(*name, *timeout)).collect();
    RoutingConfig::new(version, routes, vec![service], limits).expect("valid configuration")
}

fn routes_of(cfg: &RoutingConfig) -> BTreeMap<String, Arc<Route>> {
    cfg.routes().map(|route| (route.name.to_string(), route.clone())).collect()
}

fn drawn_routes() -> impl Strategy<Value = BTreeMap<u8, u64>> {
    prop::collection::btree_map(0..20_u8, 1..4_u64, 0..12)
}

proptest! {
    #[test]
    fn a_delta_leads_from_one_configuration_to_the_next(
        before in drawn_routes(),
        after in drawn_routes(),
        connections in 1..5_u32,
    ) {
        let (old, new) = (configuration(1, &before, 1), configuration(2, &after, connections));
        let delta = RoutingDelta::between(&old, &new).expect("no client accounts");
        let applied = delta.clone().apply(&old).expect("valid configuration");
        let applied = applied.expect("same base version");
        prop_assert_eq!(routes_of(&applied), routes_of(&new));
        prop_assert_eq!(applied.service(&service_name()), new.service(&service_name()));
        prop_assert_eq!(applied.version, 2);
        let other = configuration(3, &before, 1);
        let applied = delta.apply(&other).expect("valid configuration");
        prop_assert!(applied.is_none(), "other base version");
    }
}
