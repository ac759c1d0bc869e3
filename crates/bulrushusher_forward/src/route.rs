//! The routing configuration in force.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_accounts::AccountTable;
use bulrushusher_time::Millis;
use bulrushusher_world::{RouteName, ServiceName};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// What may be repeated on a route, and how its answers come.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A call that may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A call that may run at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// A generation, answered as a series of events.
    #[display("stream")]
    Stream {
        /// True when another run may go on after the last whole event.
        resumable: bool,
    },
}

impl RouteKind {
    /// True when a request may run more than once.
    pub fn may_repeat(self) -> bool {
        match self {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Stream { resumable } => resumable,
        }
    }
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share, relative to the other weights of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// The host that callers name.
    pub host: Arc<str>,
    /// Start of the paths that take this route.
    pub path_start: Arc<str>,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Where its requests go; not empty.
    pub services: Vec<WeightedService>,
    /// The longest time a request may take.
    pub timeout: Millis,
    /// The response-time target.
    pub target: Millis,
    /// The longest pause between two events that is still on time; zero where not given.
    pub gap_target: Millis,
    /// Most runners that one request may run on.
    pub most_runners: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// True where requests need no key of a client account.
    pub is_open: bool,
}

impl Route {
    /// The service for a random `draw` in `0.0..1.0`, by weight.
    pub fn service(&self, draw: f64) -> &ServiceName {
        let total: u32 = self.services.iter().map(|s| s.weight).sum();
        let mut left = draw * f64::from(total);
        for split in &self.services {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return &split.service;
            }
        }
        // Rounding may leave a rest; a service of weight 0 must not get it.
        let last = self.services.iter().rev().find(|s| s.weight > 0);
        &last.unwrap_or(&self.services[0]).service
    }
}

/// What is known of a service's model engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Tokens that fit into a runner's memory.
    pub memory_tokens: u64,
    /// Tokens in one event, at most; at least 1.
    pub tokens_per_event: u64,
    /// How long a runner keeps a KV cache that is not taken.
    pub kv_kept: Millis,
    /// The longest lease on decode memory.
    pub longest_hold: Millis,
    /// How long a runner is away when its stage changes.
    pub switch_time: Millis,
    /// True where a run can move to another decode runner with its memory.
    pub moves_runs: bool,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one of its runners accepts from all callers.
    pub max_connections: u32,
    /// Its engine, where it serves models.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a head to its end.
    pub header_timeout: Millis,
    /// Longest time a connection may stay idle.
    pub idle_timeout: Millis,
}

/// Why a routing configuration was not accepted.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RoutingError {
    /// A route has no service to go to.
    #[display("route {route} names no service; give it a service or a split")]
    NoService {
        /// The route.
        route: RouteName,
    },
    /// A route's prefix is not a path.
    #[display("route {route} has the path prefix `{prefix}`; begin it with a slash")]
    Prefix {
        /// The route.
        route: RouteName,
        /// Its prefix.
        prefix: String,
    },
}

/// A checked configuration.
///
/// ```
/// use bulrushusher_forward::{CallerLimits, Route, RouteKind, RoutingConfig, WeightedService};
/// use bulrushusher_time::Millis;
/// let service = "board-app".try_into().unwrap();
/// let route = Route {
///     name: "thumbs".try_into().unwrap(),
///     host: "boards.example".into(),
///     path_start: "/thumbs/".into(),
///     kind: RouteKind::Idempotent,
///     services: vec![WeightedService { service, weight: 1 }],
///     timeout: Millis(1_500),
///     target: Millis(300),
///     gap_target: Millis(0),
///     most_runners: 2,
///     priority: 2,
///     is_open: false,
/// };
/// let limits = CallerLimits {
///     header_bytes: 16_384,
///     body_bytes: 1 << 20,
///     header_timeout: Millis(3_000),
///     idle_timeout: Millis(15_000),
/// };
/// let cfg = RoutingConfig::new(1, vec![route], vec![], limits).unwrap();
/// assert!(cfg.route("boards.example", "/thumbs/1").is_some());
/// assert!(cfg.route("boards.example", "/cards/1").is_none());
/// ```
#[derive(Clone, Debug)]
pub struct RoutingConfig {
    /// Its version; a higher one replaces it.
    pub version: u64,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    services: HashMap<ServiceName, ServiceSpec>,
    accounts: Option<AccountTable>,
}

impl RoutingConfig {
    /// Checks and indexes a configuration.
    ///
    /// # Errors
    /// [`RoutingError`] names the first route that cannot be used.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: Vec<ServiceSpec>,
        limits: CallerLimits,
    ) -> Result<RoutingConfig, RoutingError> {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            check(&route)?;
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_start.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        Ok(RoutingConfig { version, limits, routes: by_host, services, accounts: None })
    }

    /// The same with client accounts: requests need a key, unless their route is open.
    #[must_use]
    pub fn with_accounts(self, accounts: AccountTable) -> RoutingConfig {
        RoutingConfig { accounts: Some(accounts), ..self }
    }

    /// The client accounts; `None` where callers need no key.
    pub fn accounts(&self) -> Option<&AccountTable> {
        self.accounts.as_ref()
    }

    /// The route of that host whose prefix is the longest that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let routes = self.routes.get(host.as_str())?;
        routes.iter().find(|route| path.starts_with(&*route.path_start))
    }

    /// The service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceSpec> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceSpec> {
        self.services.values()
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes.values().flatten()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }
}

fn check(route: &Route) -> Result<(), RoutingError> {
    if !route.services.iter().any(|s| s.weight > 0) {
        return Err(RoutingError::NoService { route: route.name.clone() });
    }
    if !route.path_start.starts_with('/') {
        let prefix = route.path_start.to_string();
        return Err(RoutingError::Prefix { route: route.name.clone(), prefix });
    }
    Ok(())
}
