//! No runner outside the allowed regions is selected, or sent to, on any path to a runner.
//!
//! Guards against a path that ignores the residency of a request, and against a configuration that
//! narrows it between the choice of a runner and the send.

use std::collections::BTreeSet;

use bulrushusher_accounts::{Account, AccountTable, RawAccount};
use bulrushusher_forward::{
    CallSelection, CallerLimits, ForecastConfig, LengthModel, LoadConfig, MemoryForecast,
    PeersConfig, PlaceScope, PlaceView, PrefillQueue, PrefillSelection, RegionDistances,
    ResidencyScope, Route, RouteKind, RoutingConfig, RoutingDelta, RunReport, RunShape, Runner,
    RunnerDirectory, RunnerDirectoryConfig, RunnerLoads, Runs, SelectionContext, Stage,
    WeightedService, candidates_for_call, pick_for_call, pick_for_move, pick_for_prefill,
    rank_for_decode,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{
    ClientAccountName, DataCentreName, RegionName, Residency, RunnerId, Topology,
};
use proptest::prelude::*;

/// Data centre `n` is in region `n / 2`; the topology lacks data centre 6.
const DATA_CENTRES: u8 = 7;
const REGIONS: u8 = 3;
/// Regions that routes and accounts may name; the topology lacks the last one.
const NAMED_REGIONS: u8 = 4;

/// Allowed regions by number; `None` for anywhere.
type Allowed = Option<BTreeSet<u8>>;

#[derive(Clone, Debug)]
struct Configured {
    route: Option<Allowed>,
    account: Option<Allowed>,
}

#[derive(Clone, Copy, Debug)]
enum Path {
    Call,
    CallPool,
    Prefill,
    Decode,
    Move,
}

/// Selects a runner, and sends the request after the configuration may have changed.
#[derive(Clone, Debug)]
struct Attempt {
    path: Path,
    draw: f64,
    /// The configuration that comes into force before the selection.
    before: Option<Configured>,
    /// The configuration that comes into force between the selection and the send.
    between: Option<Configured>,
}

fn data_centre(n: u8) -> DataCentreName {
    format!("dc-{n}").as_str().try_into().expect("valid name")
}

fn residency(allowed: &Allowed) -> Residency {
    let region = |n: &u8| RegionName::try_from(format!("region-{n}").as_str()).unwrap();
    match allowed {
        None => Residency::Anywhere,
        Some(regions) => Residency::only(regions.iter().map(region)),
    }
}

fn topology() -> Topology {
    let entries: Vec<String> =
        (0..2 * REGIONS).map(|n| format!("dc-{n}:region-{}", n / 2)).collect();
    Topology::try_from(entries.join(",").as_str()).expect("valid topology")
}

fn account_name() -> ClientAccountName {
    "studio".try_into().expect("valid name")
}

fn route(allowed: &Allowed) -> Route {
    Route {
        name: "route".try_into().expect("valid name"),
        host: "site.example".into(),
        path_start: "/".into(),
        kind: RouteKind::Idempotent,
        services: vec![WeightedService { service: "s".try_into().unwrap(), weight: 1 }],
        timeout: Millis(1_000),
        target: Millis(300),
        gap_target: Millis(0),
        max_runners: 2,
        priority: 1,
        is_open: false,
        residency: residency(allowed),
    }
}

fn config(version: u64, routes: Vec<Route>) -> RoutingConfig {
    let limits = CallerLimits {
        header_bytes: 16_384,
        body_bytes: 65_536,
        header_timeout: Millis(700),
        idle_timeout: Millis(5_000),
    };
    RoutingConfig::new(version, routes, Vec::new(), limits).expect("valid configuration")
}

fn routing(cfg: &Configured) -> RoutingConfig {
    let account = cfg.account.as_ref().map(|allowed| {
        let raw =
            RawAccount { name: "studio", residency: residency(allowed), ..RawAccount::default() };
        Account::try_from(raw).expect("valid account")
    });
    let table = AccountTable::new(account.into_iter().collect()).expect("valid accounts");
    config(1, cfg.route.iter().map(route).collect()).with_accounts(table)
}

/// True if every constraint permits data centre `n`; written without the types under test.
fn is_inside<'a>(constraints: impl IntoIterator<Item = &'a Allowed>, n: u8) -> bool {
    let permits = |it: &Allowed| {
        it.as_ref().is_none_or(|regions| n < 2 * REGIONS && regions.contains(&(n / 2)))
    };
    constraints.into_iter().all(permits)
}

fn of_config(cfg: &Configured) -> impl Iterator<Item = &Allowed> {
    cfg.route.iter().chain(&cfg.account)
}

struct Pool {
    members: RunnerDirectory,
    loads: RunnerLoads,
    runs: Runs,
}

impl Pool {
    /// Runners in the data centres, with stages in turn.
    fn new(places: &[(u8, Option<Stage>)], refused: &[usize]) -> Pool {
        let runners = places.iter().enumerate().map(|(n, (place, stage))| Runner {
            id: format!("r-{n}-{place}").as_str().try_into().expect("valid name"),
            born: None,
            service: "s".try_into().expect("valid name"),
            address: ([10, 0, 0, n as u8], 8_000).into(),
            data_centre: data_centre(*place),
            slots: 8,
            stage: *stage,
            leaving: false,
            cold_for: Millis(0),
            revision: 0,
            version: "v1".into(),
        });
        let runners: Vec<Runner> = runners.collect();
        let mut loads = RunnerLoads::new(LoadConfig::default());
        for n in refused.iter().filter(|n| **n < runners.len()) {
            loads.record_hold_refusal(&runners[*n].id, Millis(0));
        }
        let mut members = RunnerDirectory::new(RunnerDirectoryConfig::default());
        members.replace_all(runners, 0, Millis(0));
        Pool { members, loads, runs: Runs::new(PeersConfig::default()) }
    }

    /// The runners that a path may send the request to, in order.
    fn select(&self, path: Path, places: PlaceView<'_>, draw: f64) -> Vec<Runner> {
        let service = "s".try_into().expect("valid name");
        let cx = SelectionContext {
            members: &self.members,
            loads: &self.loads,
            service: &service,
            runs: Some(&self.runs),
            failing: None,
            pressure: None,
            places,
            version: None,
            now: Millis(0),
        };
        let near = data_centre(0);
        let queue = |_: &RunnerId| PrefillQueue { tokens_of_peers: 0, factor: 1.0 };
        match path {
            Path::Call => {
                let selection = CallSelection { tried: &[], data_centre: &near, draw };
                pick_for_call(cx, selection).into_iter().collect()
            }
            Path::CallPool => candidates_for_call(cx, &[]).into_iter().cloned().collect(),
            Path::Prefill => {
                let selection = PrefillSelection {
                    decode: &near,
                    tried: &[],
                    tokens: 5_000,
                    ms_per_token: 0.02,
                    draw,
                };
                pick_for_prefill(cx, selection, queue).into_iter().collect()
            }
            Path::Decode => rank_for_decode(cx, &[], draw, |_| Some(1.0)),
            Path::Move => {
                let forecast = MemoryForecast {
                    lengths: LengthModel::default(),
                    tokens_per_ms: 1.4,
                    memory: 72_000.0,
                    cfg: ForecastConfig::default(),
                };
                let run = RunShape {
                    prompt: 5_000.0,
                    expected: 400.0,
                    max_output: 800.0,
                    generated: 10.0,
                };
                let report = RunReport::new("r-gone".try_into().unwrap(), run);
                pick_for_move(cx, &self.runs, &forecast, &report, draw).into_iter().collect()
            }
        }
    }
}

/// Number of a runner's data centre.
fn place_of(runner: &Runner) -> u8 {
    runner.data_centre.as_str()["dc-".len()..].parse().expect("a number")
}

fn allowed() -> impl Strategy<Value = Allowed> {
    prop::option::of(prop::collection::btree_set(0..NAMED_REGIONS, 0..4))
}

fn configured() -> impl Strategy<Value = Configured> {
    let part = || prop::option::weighted(0.9, allowed());
    (part(), part()).prop_map(|(route, account)| Configured { route, account })
}

fn path() -> impl Strategy<Value = Path> {
    prop_oneof![
        Just(Path::Call),
        Just(Path::CallPool),
        Just(Path::Prefill),
        Just(Path::Decode),
        Just(Path::Move),
    ]
}

fn attempt() -> impl Strategy<Value = Attempt> {
    let change = || prop::option::of(configured());
    (path(), 0.0..1.0, change(), change()).prop_map(|(path, draw, before, between)| Attempt {
        path,
        draw,
        before,
        between,
    })
}

fn places() -> impl Strategy<Value = Vec<(u8, Option<Stage>)>> {
    let stage = prop_oneof![Just(None), Just(Some(Stage::Prefill)), Just(Some(Stage::Decode))];
    prop::collection::vec((0..DATA_CENTRES, stage), 0..16)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn no_send_leaves_the_allowed_regions(
        runners in places(),
        refused in prop::collection::vec(0_usize..16, 0..8),
        accepted in configured(),
        attempts in prop::collection::vec(attempt(), 1..12),
    ) {
        let (topology, distances, own) = (topology(), RegionDistances::default(), data_centre(0));
        let (pool, name) = (Pool::new(&runners, &refused), account_name());
        let scope_of = |cfg: &Configured| residency(&cfg.route.clone().flatten())
            .and(&residency(&cfg.account.clone().flatten()));
        let residency_accepted = scope_of(&accepted);
        let scope = ResidencyScope {
            accepted: &residency_accepted,
            host: "site.example",
            path: "/x",
            account: Some(&name),
        };
        let mut now = accepted.clone();
        for Attempt { path, draw, before, between } in attempts {
            now = before.unwrap_or(now);
            let residency = scope.in_force(Some(&routing(&now)));
            let places = PlaceView::new(PlaceScope {
                topology: &topology,
                residency: &residency,
                data_centre: &own,
                distances: &distances,
            });
            let selected = pool.select(path, places, draw);
            for runner in &selected {
                let constraints = of_config(&accepted).chain(of_config(&now));
                prop_assert!(is_inside(constraints, place_of(runner)), "selected {}", runner.id);
            }
            now = between.unwrap_or(now);
            let at_send = scope.in_force(Some(&routing(&now)));
            for runner in &selected {
                let constraints = of_config(&accepted).chain(of_config(&now));
                let is_sent = at_send.permits(&topology, &runner.data_centre);
                prop_assert_eq!(is_sent, is_inside(constraints, place_of(runner)), "at the send");
            }
        }
    }

    /// Guards against a deployment with one region that is served otherwise once regions are stated.
    #[test]
    fn one_region_without_a_restriction_changes_no_decision(
        runners in places(),
        refused in prop::collection::vec(0_usize..16, 0..8),
        path in path(),
        draw in 0.0..1.0,
    ) {
        let pool = Pool::new(&runners, &refused);
        let entries: Vec<String> = (0..DATA_CENTRES).map(|n| format!("dc-{n}:west")).collect();
        let topology = Topology::try_from(entries.join(",").as_str()).unwrap();
        let (distances, own) = (RegionDistances::default(), data_centre(0));
        let places = PlaceView::new(PlaceScope {
            topology: &topology,
            residency: &Residency::Anywhere,
            data_centre: &own,
            distances: &distances,
        });
        let without = pool.select(path, PlaceView::ANYWHERE, draw);
        prop_assert_eq!(pool.select(path, places, draw), without);
    }

    /// Guards against relays that forward a route without its residency.
    #[test]
    fn a_delta_carries_the_residency(old in allowed(), new in allowed()) {
        let (before, after) = (config(1, vec![route(&old)]), config(2, vec![route(&new)]));
        let delta = RoutingDelta::between(&before, &after).expect("no client accounts");
        let applied = delta.apply(&before).expect("valid configuration").expect("same version");
        let forwarded = &applied.route("site.example", "/x").expect("a route").residency;
        prop_assert_eq!(forwarded, &residency(&new));
    }
}
