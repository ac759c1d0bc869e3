//! The routing configuration.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_accounts::AccountTable;
use bulrushusher_time::Millis;
use bulrushusher_world::{Residency, RouteName, ServiceName};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Whether requests of a route may be repeated, and how they are answered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RouteKind {
    /// A call that may run more than once.
    #[display("idempotent")]
    Idempotent,
    /// A call that may run at most once.
    #[display("non-idempotent")]
    NonIdempotent,
    /// A text generation, answered as a stream of events.
    #[display("stream")]
    Stream {
        /// True when another run may continue after the last complete event.
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

/// A service with its weight on a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its share of the route's requests, relative to the other weights.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: RouteName,
    /// Host name that a request must have for the route to apply; upper and lower case are equal.
    pub host: Arc<str>,
    /// Prefix that the path of a request must have for the route to apply.
    pub path_start: Arc<str>,
    /// Whether requests may be repeated, and how they are answered.
    pub kind: RouteKind,
    /// Destination services; at least one with a weight above zero.
    pub services: Vec<WeightedService>,
    /// Maximum duration of a request.
    pub timeout: Millis,
    /// Response-time target.
    pub target: Millis,
    /// Target for the longest pause between two events; zero if not set.
    pub gap_target: Millis,
    /// Maximum number of runners on which one request may run.
    pub max_runners: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// True where requests need no API key of a client account.
    pub is_open: bool,
    /// Where its requests may be processed.
    pub residency: Residency,
}

/// A route that cannot be read, by the requests that it is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableRoute {
    /// Host name of its requests.
    pub host: Arc<str>,
    /// Prefix of the paths of its requests.
    pub path_start: Arc<str>,
}

/// A part of a configuration that cannot be read, for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadablePart {
    /// What it is: a route, a service or an account.
    pub kind: &'static str,
    /// Its name; empty if that cannot be read either.
    pub name: String,
    /// Why it cannot be read.
    pub cause: String,
}

/// What a configuration tells of requests to a host and path.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteMatch<'a> {
    /// They are for this route.
    Route(&'a Arc<Route>),
    /// They are for a route that cannot be read.
    Unreadable,
    /// No route is for them.
    None,
}

impl Route {
    /// Checks what a single route must fulfil.
    ///
    /// # Errors
    /// [`RoutingError`] tells what the route lacks.
    pub fn check(&self) -> Result<(), RoutingError> {
        if !self.services.iter().any(|s| s.weight > 0) {
            return Err(RoutingError::NoService { route: self.name.clone() });
        }
        if !self.path_start.starts_with('/') {
            let prefix = self.path_start.to_string();
            return Err(RoutingError::Prefix { route: self.name.clone(), prefix });
        }
        Ok(())
    }

    /// Picks a service by weight, for a random `draw` in `0.0..1.0`.
    pub fn service(&self, draw: f64) -> &ServiceName {
        let total: f64 = self.services.iter().map(|s| f64::from(s.weight)).sum();
        let mut left = draw * total;
        for split in &self.services {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return &split.service;
            }
        }
        // Rounding can leave a remainder; a service of weight 0 must not get it.
        let last = self.services.iter().rev().find(|s| s.weight > 0);
        &last.unwrap_or(&self.services[0]).service
    }
}

/// Properties of a service's model engine.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineSpec {
    /// Memory of a runner, in tokens.
    pub memory_tokens: u64,
    /// Maximum number of tokens in one event; at least 1.
    pub tokens_per_event: u64,
    /// How long a runner keeps a KV cache that is not fetched.
    pub kv_retention: Millis,
    /// Maximum lease on decode memory.
    pub max_hold: Millis,
    /// How long a runner is unavailable while it switches between the prefill and decode stages.
    pub switch_time: Millis,
    /// True where a run can move to another decode runner together with its memory.
    pub can_move_runs: bool,
}

/// What the runners of a service tolerate shortly after their start.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ColdSpec {
    /// Requests per second that a cold runner tolerates, over all gateways; above 0.
    pub requests_per_second: f64,
    /// How long a started runner is cold.
    pub duration: Millis,
}

/// A service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceSpec {
    /// Its name.
    pub name: ServiceName,
    /// Maximum number of connections that one of its runners accepts, from all callers together.
    pub max_connections: u32,
    /// Its engine, if it serves models.
    pub engine: Option<EngineSpec>,
    /// What its runners tolerate while they are cold; `None` if it makes no difference.
    pub cold: Option<ColdSpec>,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request head to its end.
    pub header_timeout: Millis,
    /// Maximum idle time of a connection.
    pub idle_timeout: Millis,
}

/// Why a routing configuration was rejected.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RoutingError {
    /// A route has no service with a weight above zero.
    #[display("route {route} has no service with a weight above zero; add a service or a split")]
    NoService {
        /// The route.
        route: RouteName,
    },
    /// The path prefix of a route does not begin with a slash.
    #[display("path prefix `{prefix}` of route {route} does not begin with a slash; prepend one")]
    Prefix {
        /// The route.
        route: RouteName,
        /// Its path prefix.
        prefix: String,
    },
}

/// A validated routing configuration.
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
///     max_runners: 2,
///     priority: 2,
///     is_open: false,
///     residency: Default::default(),
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
    /// Its version; a configuration with a higher version replaces it.
    pub version: u64,
    /// Limits on requests and connections of callers.
    pub limits: CallerLimits,
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    unreadable_routes: Vec<UnreadableRoute>,
    unreadable_parts: Vec<UnreadablePart>,
    services: HashMap<ServiceName, ServiceSpec>,
    accounts: Option<AccountTable>,
    /// True if some route or account is restricted to regions.
    has_residency: bool,
}

impl RoutingConfig {
    /// Validates and indexes a configuration.
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
            route.check()?;
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            by_host.entry(host).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_start.len()));
        }
        let services = services.into_iter().map(|s| (s.name.clone(), s)).collect();
        let has_residency =
            by_host.values().flatten().any(|route| route.residency != Residency::Anywhere);
        let accounts = None;
        Ok(RoutingConfig {
            version,
            limits,
            routes: by_host,
            unreadable_routes: Vec::new(),
            unreadable_parts: Vec::new(),
            services,
            accounts,
            has_residency,
        })
    }

    /// Adds client accounts: requests then need an API key, except on open routes.
    #[must_use]
    pub fn with_accounts(self, accounts: AccountTable) -> RoutingConfig {
        let is_restricted =
            accounts.accounts().any(|account| account.residency != Residency::Anywhere);
        let has_residency = self.has_residency || is_restricted;
        RoutingConfig { accounts: Some(accounts), has_residency, ..self }
    }

    /// Adds routes that cannot be read.
    #[must_use]
    pub fn with_unreadable_routes(self, unreadable_routes: Vec<UnreadableRoute>) -> RoutingConfig {
        // Where the requests of an unreadable route may be processed is not known.
        let has_residency = self.has_residency || !unreadable_routes.is_empty();
        RoutingConfig { unreadable_routes, has_residency, ..self }
    }

    /// Adds descriptions of all parts that cannot be read.
    #[must_use]
    pub fn with_unreadable_parts(self, unreadable_parts: Vec<UnreadablePart>) -> RoutingConfig {
        RoutingConfig { unreadable_parts, ..self }
    }

    /// Descriptions of all parts that cannot be read.
    pub fn unreadable_parts(&self) -> &[UnreadablePart] {
        &self.unreadable_parts
    }

    /// True if some route or account is restricted to regions.
    pub fn has_residency(&self) -> bool {
        self.has_residency
    }

    /// The client accounts; `None` where callers need no API key.
    pub fn accounts(&self) -> Option<&AccountTable> {
        self.accounts.as_ref()
    }

    /// The route of the host with the longest prefix that matches the path; `None` also if that
    /// route cannot be read.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        match self.find_route(host, path) {
            RouteMatch::Route(route) => Some(route),
            RouteMatch::Unreadable | RouteMatch::None => None,
        }
    }

    /// What the configuration tells of requests to a host and path. The route with the longest prefix
    /// that matches the path counts, also if it cannot be read.
    pub fn find_route(&self, host: &str, path: &str) -> RouteMatch<'_> {
        let host = host.to_ascii_lowercase();
        let mut of_host = self.routes.get(host.as_str()).into_iter().flatten();
        let route = of_host.find(|route| path.starts_with(&*route.path_start));
        let matches = |it: &&UnreadableRoute| {
            it.host.eq_ignore_ascii_case(&host) && path.starts_with(&*it.path_start)
        };
        let unreadable = self.unreadable_routes.iter().filter(matches);
        let unreadable_len = unreadable.map(|it| it.path_start.len()).max();
        match route {
            Some(route) if unreadable_len.is_none_or(|len| len < route.path_start.len()) => {
                RouteMatch::Route(route)
            }
            _ if unreadable_len.is_some() => RouteMatch::Unreadable,
            _ => RouteMatch::None,
        }
    }

    /// The service with that name.
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
