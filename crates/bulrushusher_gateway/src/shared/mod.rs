//! Shared state of the gateway: configuration, runners, their load, retry budgets and timing
//! models.
//!
//! Lock order where two locks are held at once: `runners`, `retry_budgets`, `queues`, `timings`,
//! `runs`, `prefill_ends`, `relays`, `relayed`, `health`, `pauses`, `revisions`, `confirmations`,
//! `switching`, `crashes`, `pressure`, `distances`, `quotas`, `lease`, `speeds`, `calls`,
//! `unknown_places`. `demand`, `evacuated_at`, `known_gateways`, `streams`,
//! `asked_streams`, `wanted_shards` and `recorded_versions` are held by
//! themselves. `versions` is taken after `runners`. No lock is held across an await point.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use arc_swap::{ArcSwap, ArcSwapOption};
use bulrushusher_accounts::{AccountTable, ConfigLease, QuotaLimiter};
use bulrushusher_forward::{
    AccountCost, BackPressure, BackPressureConfig, BackPressureView, CallResult, CallSelection,
    DemandMeter, EngineSpec, HealthConfig, KnownGateways, PeersConfig, PlaceScope, PlaceView,
    PrefillEnds, PrefillEndsConfig, PrefillQueue, PrefillSelection, QueueRank, RegionDistances,
    RelayView, Route, RoutingConfig, Runner, RunnerDirectory, RunnerHealth, RunnerLoads,
    RunnerSpeeds, Runs, SelectionContext, ServiceVersion, StreamKey, StreamShard, StreamVersions,
    TimingConfig, TimingModel, TypicalPatience, UnreadablePart, VersionLedger, WaitQueue,
    pick_for_call, pick_for_prefill,
};
use bulrushusher_routing::{Quarantine, RetryBudget};
use bulrushusher_time::{Clock, Millis};
use bulrushusher_world::{DataCentreName, RegionName, Residency, RunnerId, ServiceName};
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, watch};

use crate::runners::destination::Destination;
use crate::settings::GatewayConfig;
use crate::store::sanitized;

mod accounts;
mod call_reports;
mod calls;
mod cold;
mod confirmations;
mod crashes;
mod evacuations;
mod health;
mod memory;
mod moves;
mod pauses;
mod places;
mod prefills;
mod pressure;
mod relayed;
mod relays;
mod retries;
mod revisions;
mod speeds;
mod starts;
mod streams;

pub(crate) use calls::{CallInFlight, CallPlacement, CallTimes, CallWait};
pub(crate) use confirmations::{ConfirmationAges, ListEvidence, UpdateSource};
pub(crate) use memory::PrefillOptions;
pub(crate) use moves::MoveDecision;
pub(crate) use relayed::RoutingUpdate;
pub(crate) use revisions::{Confirmation, InForce};
pub(crate) use streams::{KEEPERS, VersionRead};

/// Maximum number of log lines about unreadable parts of one version of the configuration.
const MAX_LOGGED_PARTS: usize = 8;

/// Largest request head before a configuration is loaded, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 16 << 10;

/// The runner directory, and the load that this gateway has placed on each runner.
#[derive(Debug)]
pub(crate) struct Runners {
    pub directory: RunnerDirectory,
    pub loads: RunnerLoads,
}

/// The state that the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct SharedState {
    pub clock: Clock,
    started_at: Millis,
    cfg: ArcSwap<GatewayConfig>,
    routing: ArcSwapOption<RoutingConfig>,
    /// When the configuration in force was applied.
    routing_applied_at: Mutex<Millis>,
    /// Largest request head of a caller, in bytes.
    max_head_bytes: watch::Sender<usize>,
    runners: Mutex<Runners>,
    retry_budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// The gateways that share retry budgets with this one.
    known_gateways: Mutex<KnownGateways>,
    queues: Mutex<HashMap<ServiceName, WaitQueue>>,
    timings: Mutex<HashMap<ServiceName, TimingModel>>,
    patience: Mutex<TypicalPatience>,
    runs: Mutex<Runs>,
    /// Ends of prefills at this gateway and its peers, and answers of prefill runners.
    prefill_ends: Mutex<PrefillEnds>,
    health: Mutex<RunnerHealth>,
    /// Pauses in this gateway's streams, by decode runner that is prefilling a prompt.
    pauses: Mutex<HashMap<RunnerId, pauses::PauseStats>>,
    /// Revisions of the store that this gateway has received.
    revisions: Mutex<revisions::RevisionState>,
    /// Time within which a data centre must get no more work, by the settings at the start; `None`
    /// where there are no evacuations. A change takes effect at the next start, since the gateway
    /// serves only with a list of the evacuations.
    evacuation_bound: Option<Millis>,
    /// When this gateway last learned of an evacuation that began while it ran.
    evacuated_at: Mutex<Option<Millis>>,
    /// Age and origin of this gateway's copy of the store.
    confirmations: Mutex<confirmations::Confirmations>,
    /// Runners that are switching stage, by service.
    switching: Mutex<HashMap<ServiceName, Vec<RunnerId>>>,
    /// Requests that crash runners.
    crashes: Mutex<crashes::CrashState>,
    /// Requests that this gateway gets.
    demand: Mutex<DemandMeter>,
    /// Back-pressure that runners signalled in their responses.
    pressure: Mutex<BackPressure>,
    /// Quota usage of client accounts.
    quotas: Mutex<QuotaLimiter>,
    /// True once the usage of client accounts before this gateway's start is known.
    usage_known: watch::Sender<bool>,
    /// How long API keys may be accepted without confirmation by the store.
    lease: Mutex<ConfigLease>,
    /// Speeds of model runners, by service.
    speeds: Mutex<HashMap<ServiceName, RunnerSpeeds>>,
    /// Round trips to the regions of the deployment.
    distances: Mutex<RegionDistances>,
    /// Data centres that were logged because the settings lack them.
    unknown_places: Mutex<places::UnknownPlaces>,
    /// Plain calls over all gateways.
    calls: Mutex<calls::CallState>,
    /// True while gateways share the calls to some service.
    calls_shared: AtomicBool,
    /// Selection of the gateways that watch the store.
    relays: Mutex<relays::RelayState>,
    /// Changes of the store that relays forward.
    relayed: Mutex<relayed::RelayedChanges>,
    relay_view: watch::Sender<RelayView>,
    /// When this gateway last forwarded changes or confirmations of the store, in ms.
    forwarded_at: AtomicU64,
    /// Memory of large answers that are read, in bytes.
    answer_bytes: AtomicUsize,
    /// True once this gateway is shutting down.
    shutting_down: AtomicBool,
    /// Number of times that the store was restored from an older copy.
    restores: watch::Sender<u64>,
    /// Notified when the lease on the configuration may be due for renewal: a caller presents an
    /// API key that cannot be checked, or another configuration comes into force.
    pub lease_due: Notify,
    /// Notified when a report to the peers is due.
    pub report_due: Notify,
    /// Notified when a report of this gateway's plain calls is due.
    pub call_report_due: Notify,
    /// Notified when the peers must receive an update on requests that crash runners.
    pub crash_update_due: Notify,
    /// Notified when a relay has changes of the store to forward.
    pub forward_due: Notify,
    /// Notified when a relay has reported newer revisions.
    relay_revisions_changed: Notify,
    /// Notified when the changes of the runner list must be requested from the store itself.
    pub store_poll_due: Notify,
    /// Notified when the quarantine record in the store must be read or written.
    pub quarantine_due: Notify,
    /// Software versions of streams.
    streams: Mutex<StreamVersions>,
    /// Streams to ask other gateways for.
    asked_streams: Mutex<Vec<StreamKey>>,
    /// True if other gateways are to be asked which versions are recorded.
    are_versions_asked: AtomicBool,
    /// Notified when records of streams are due, or questions for them.
    pub stream_records_due: Notify,
    /// Shards of streams to read from the store.
    wanted_shards: Mutex<BTreeSet<StreamShard>>,
    /// Notified when there are some.
    pub shards_wanted: Notify,
    /// Versions in the store's record, as this gateway last read or wrote it.
    recorded_versions: Mutex<Vec<ServiceVersion>>,
    /// Notified when another gateway has told the version of a stream.
    stream_found: Notify,
    /// Software versions that are listed, and those that are in the store's record.
    versions: Mutex<VersionLedger>,
    /// The last read of that record for requests.
    version_reads: watch::Sender<VersionRead>,
    /// Number of requests for such a read.
    version_tickets: AtomicU64,
    /// Notified when that record must be read.
    pub versions_wanted: Notify,
    /// Notified when a listed version is not known to be in that record.
    pub versions_changed: Notify,
    draws: Mutex<ChaCha8Rng>,
}

impl SharedState {
    pub(crate) fn new(cfg: GatewayConfig, clock: Clock, seed: u64) -> SharedState {
        let quarantine = Quarantine::new(cfg.quarantine);
        let released_keys = cfg.released_keys.clone();
        let quotas = QuotaLimiter::new(cfg.quotas, clock.now());
        let name = cfg.name.to_string().into();
        let relays = relays::RelayState::new(&cfg);
        let evacuation_bound = cfg.data_centre_evacuated;
        let pressure = BackPressure::new(BackPressureConfig::default(), name);
        let runners = Runners {
            directory: RunnerDirectory::new(cfg.members),
            loads: RunnerLoads::new(cfg.loads),
        };
        SharedState {
            started_at: clock.now(),
            clock,
            cfg: ArcSwap::from_pointee(cfg),
            routing: ArcSwapOption::empty(),
            routing_applied_at: Mutex::default(),
            max_head_bytes: watch::Sender::new(DEFAULT_MAX_HEAD_BYTES),
            runners: Mutex::new(runners),
            retry_budgets: Mutex::default(),
            known_gateways: Mutex::default(),
            queues: Mutex::default(),
            timings: Mutex::default(),
            patience: Mutex::default(),
            runs: Mutex::new(Runs::new(PeersConfig::default())),
            prefill_ends: Mutex::new(PrefillEnds::new(PrefillEndsConfig::default())),
            health: Mutex::new(RunnerHealth::new(HealthConfig::default())),
            pauses: Mutex::default(),
            revisions: Mutex::default(),
            evacuation_bound,
            evacuated_at: Mutex::default(),
            confirmations: Mutex::default(),
            switching: Mutex::default(),
            crashes: Mutex::new(crashes::CrashState::new(quarantine, released_keys)),
            demand: Mutex::default(),
            pressure: Mutex::new(pressure),
            quotas: Mutex::new(quotas),
            usage_known: watch::Sender::default(),
            lease: Mutex::default(),
            speeds: Mutex::default(),
            distances: Mutex::default(),
            unknown_places: Mutex::default(),
            calls: Mutex::default(),
            calls_shared: AtomicBool::new(false),
            relays: Mutex::new(relays),
            relayed: Mutex::default(),
            relay_view: watch::Sender::default(),
            forwarded_at: AtomicU64::new(0),
            answer_bytes: AtomicUsize::new(0),
            shutting_down: AtomicBool::new(false),
            forward_due: Notify::new(),
            relay_revisions_changed: Notify::new(),
            store_poll_due: Notify::new(),
            restores: watch::Sender::new(0),
            lease_due: Notify::new(),
            report_due: Notify::new(),
            call_report_due: Notify::new(),
            crash_update_due: Notify::new(),
            quarantine_due: Notify::new(),
            streams: Mutex::default(),
            asked_streams: Mutex::default(),
            are_versions_asked: AtomicBool::new(false),
            stream_records_due: Notify::new(),
            wanted_shards: Mutex::default(),
            shards_wanted: Notify::new(),
            recorded_versions: Mutex::default(),
            stream_found: Notify::new(),
            versions: Mutex::default(),
            version_reads: watch::Sender::default(),
            version_tickets: AtomicU64::new(0),
            versions_wanted: Notify::new(),
            versions_changed: Notify::new(),
            draws: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    pub(crate) fn now(&self) -> Millis {
        self.clock.now()
    }

    /// A random number in `0.0..1.0`.
    pub(crate) fn draw(&self) -> f64 {
        self.draws.lock().random()
    }

    pub(crate) fn cfg(&self) -> Arc<GatewayConfig> {
        self.cfg.load_full()
    }

    /// Applies new settings. Queued requests keep their rank.
    pub(crate) fn reconfigure(&self, cfg: GatewayConfig) {
        for queue in self.queues.lock().values_mut() {
            queue.reconfigure(cfg.waiting);
        }
        self.crashes.lock().quarantine.reconfigure(cfg.quarantine);
        self.set_released(cfg.released_keys.clone());
        self.quotas.lock().set_config(cfg.quotas);
        self.cfg.store(Arc::new(cfg));
        self.update_cold_services();
    }

    /// Acquires memory for an answer that is read; false if the answers already take all of theirs.
    pub(crate) fn acquire_answer_bytes(&self, bytes: usize) -> bool {
        let max = self.cfg.load().max_answer_bytes;
        let add = |used: usize| used.checked_add(bytes).filter(|total| *total <= max);
        self.answer_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    /// Releases memory of an answer.
    pub(crate) fn release_answer_bytes(&self, bytes: usize) {
        self.answer_bytes.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Largest request head that a caller may send, in bytes.
    pub(crate) fn max_head_bytes(&self) -> usize {
        *self.max_head_bytes.borrow()
    }

    /// Notifies of changes of that limit.
    pub(crate) fn max_head_changes(&self) -> watch::Receiver<usize> {
        self.max_head_bytes.subscribe()
    }

    /// The configuration in force.
    pub(crate) fn routing(&self) -> Option<Arc<RoutingConfig>> {
        self.routing.load_full()
    }

    /// Time since the configuration in force was applied.
    pub(crate) fn routing_age(&self) -> Millis {
        self.now().since(*self.routing_applied_at.lock())
    }

    /// The engine of a service, if the service runs models.
    pub(crate) fn engine(&self, service: &ServiceName) -> Option<EngineSpec> {
        self.routing()?.service(service)?.engine
    }

    /// Puts a configuration in force unless one of the same or a later version already is.
    pub(crate) fn apply_routing(&self, routing: RoutingConfig) {
        self.record_stored_version(routing.version);
        if self.routing().is_some_and(|old| routing.version <= old.version) {
            return;
        }
        let (version, routes) = (routing.version, routing.route_count());
        let accounts = routing.accounts().map(AccountTable::len);
        self.set_quotas(&routing);
        self.log_unknown_regions(&routing);
        let max_head = routing.limits.header_bytes;
        self.routing.store(Some(Arc::new(routing)));
        self.max_head_bytes.send_if_modified(|it| std::mem::replace(it, max_head) != max_head);
        *self.routing_applied_at.lock() = self.now();
        self.update_cold_services();
        self.log_unreadable_parts();
        // The task that renews the lease sleeps while no request needs an API key.
        self.lease_due.notify_one();
        log::info!(
            "configuration: in force version={version} routes={routes} accounts={}",
            accounts.map_or("none".to_owned(), |count| count.to_string())
        );
    }

    /// Logs the parts of the configuration in force that cannot be read, up to a maximum.
    fn log_unreadable_parts(&self) {
        let Some(routing) = self.routing() else { return };
        let parts = routing.unreadable_parts();
        for UnreadablePart { kind, name, cause } in parts.iter().take(MAX_LOGGED_PARTS) {
            let (name, cause) = (sanitized(name), sanitized(cause));
            log::error!(
                "configuration: part cannot be read version={} part={kind} name=\"{name}\" \
                 unreadable={} cause=\"{cause}\"",
                routing.version,
                parts.len(),
            );
        }
    }

    /// True once requests can be served: a configuration is in force, the evacuations are known, and
    /// some runners are, of which those of a version may begin streams.
    pub(crate) fn can_serve(&self) -> bool {
        self.routing.load().is_some()
            && self.knows_evacuations()
            && self.runners.lock().directory.has_entries()
            && self.serves_some_version()
    }

    /// True once a configuration is in force, and the evacuations and the full list of runners are
    /// known.
    pub(crate) fn is_complete(&self) -> bool {
        self.routing.load().is_some()
            && self.knows_evacuations()
            && self.runners.lock().directory.has_full_list()
    }

    pub(crate) fn with_runners<T>(&self, f: impl FnOnce(&mut Runners, Millis) -> T) -> T {
        let now = self.now();
        f(&mut self.runners.lock(), now)
    }

    /// Selects a runner for a plain call.
    pub(crate) fn pick_for_call(
        &self,
        to: &Destination,
        tried: &[RunnerId],
        near: &DataCentreName,
    ) -> Option<Runner> {
        let pick = CallSelection { tried, data_centre: near, draw: self.draw() };
        let draw = self.draw();
        self.with_runners(|runners, now| {
            let pressure = self.pressure_at(now);
            let view = BackPressureView { pressure: &pressure, draw };
            self.with_places(&to.residency, |places| {
                pick_for_call(runners.candidates(to, view, places, now), pick)
            })
        })
    }

    /// Selects a runner to prefill a prompt of `tokens` for a decode runner in data centre `decode`.
    pub(crate) fn pick_for_prefill(
        &self,
        to: &Destination,
        tried: &[RunnerId],
        decode: &DataCentreName,
        tokens: u64,
    ) -> Option<Runner> {
        let draw = self.draw();
        let ms_per_token = self.with_timing(&to.service, |it| it.prefill().ms_per_token());
        self.with_candidates(to, |cx, runs| {
            let queue = |id: &RunnerId| PrefillQueue {
                tokens_of_peers: runs.prefill_tokens_of_peers(id, cx.now),
                factor: self.prefill_factor(&to.service, id),
            };
            let selection = PrefillSelection { decode, tried, tokens, ms_per_token, draw };
            pick_for_prefill(cx, selection, queue)
        })
    }

    /// Selects among the model runners of a service, with the runs and failures that peers report.
    fn with_candidates<T>(
        &self,
        to: &Destination,
        choose: impl FnOnce(SelectionContext<'_>, &Runs) -> T,
    ) -> T {
        let draw = self.draw();
        self.with_runners(|runners, now| {
            let runs = self.runs.lock();
            let failing = self.failing(runners, &runs, &to.service, now);
            let pressure = self.pressure_at(now);
            let view = BackPressureView { pressure: &pressure, draw };
            self.with_places(&to.residency, |places| {
                let cx = SelectionContext {
                    runs: Some(&runs),
                    failing: Some(&failing),
                    ..runners.candidates(to, view, places, now)
                };
                choose(cx, &runs)
            })
        })
    }

    /// Passes on the places at which a request with this residency may run.
    fn with_places<T>(&self, residency: &Residency, f: impl FnOnce(PlaceView<'_>) -> T) -> T {
        let cfg = self.cfg.load();
        let distances = self.distances.lock();
        f(PlaceView::new(PlaceScope {
            topology: &cfg.topology,
            residency,
            data_centre: &cfg.data_centre,
            distances: &distances,
        }))
    }

    /// Records the time of a request that the runner answered at once.
    pub(crate) fn record_round_trip(&self, runner: &Runner, took: Millis) {
        let cfg = self.cfg.load();
        if !cfg.topology.has_many_regions() {
            return;
        }
        let region = cfg.topology.region_of(&runner.data_centre);
        if cfg.topology.is_same_region(&cfg.data_centre, &runner.data_centre) {
            self.distances.lock().record(None, took);
        } else if let Some(region) = region {
            self.distances.lock().record(Some(region), took);
        }
    }

    /// The measured round trips to other regions, in ms.
    pub(crate) fn region_distances(&self) -> Vec<(RegionName, f64)> {
        let distances = self.distances.lock();
        distances.measured().map(|(region, ms)| (region.clone(), ms)).collect()
    }

    /// Round trip to the data centre beyond one inside this gateway's region.
    pub(crate) fn extra_time(&self, data_centre: &DataCentreName) -> Millis {
        Millis(self.with_places(&Residency::Anywhere, |places| places.extra_ms(data_centre)) as u64)
    }

    /// Time in ms by which the region of a prefill runner delays the first event of a run.
    pub(crate) fn prefill_extra_ms(
        &self,
        prefill: &DataCentreName,
        decode: &DataCentreName,
    ) -> f64 {
        self.with_places(&Residency::Anywhere, |places| places.prefill_extra_ms(prefill, decode))
    }

    /// True if the runners of the service are split into prefill and decode runners.
    pub(crate) fn is_split(&self, service: &ServiceName) -> bool {
        self.with_runners(|runners, now| {
            runners.directory.usable(service, now).any(|runner| runner.stage.is_some())
        })
    }

    /// True while this process start of the runner may receive new work.
    pub(crate) fn accepts_work(&self, runner: &Runner) -> bool {
        self.with_runners(|runners, now| {
            let directory = &runners.directory;
            let entry = directory.get(&runner.id, now);
            entry.is_some_and(|entry| !entry.leaving && !directory.is_evacuated(entry))
                && !directory.is_superseded(runner)
        })
    }

    /// Sends the runner no work for `length`.
    pub(crate) fn pause_runner(&self, runner: &RunnerId, length: Millis) {
        self.with_runners(|runners, now| runners.loads.pause(runner, now.plus(length)));
    }

    /// Records the result of a call to a runner. A result of an earlier process start is ignored.
    pub(crate) fn record_call(&self, runner: &Runner, result: CallResult) {
        self.with_runners(|runners, now| {
            if !runners.directory.is_superseded(runner) {
                runners.loads.record(&runner.id, result, now);
            }
        });
        if result == CallResult::Unreachable {
            self.report_due.notify_one();
        }
    }

    /// True if a runner outside `tried` accepts calls.
    pub(crate) fn has_other_runner(&self, to: &Destination, tried: &[RunnerId]) -> bool {
        let near = self.cfg().data_centre.clone();
        let other = self.pick_for_call(to, tried, &near);
        let accepts_calls =
            |id: &RunnerId| self.with_runners(|it, now| it.loads.accepts_calls(id, now));
        other.is_some_and(|other| accepts_calls(&other.id))
    }

    /// Adds a request to the queue of a service.
    pub(crate) fn join_queue(
        &self,
        service: &ServiceName,
        late: bool,
        priority: u8,
        claim: AccountCost<'_>,
    ) -> QueueRank {
        let now = self.now();
        self.update_queue(service, |queue| queue.join(late, priority, claim, now))
    }

    /// Removes a request from the queue of a service.
    pub(crate) fn leave_queue(&self, service: &ServiceName, rank: &QueueRank) {
        self.update_queue(service, |queue| queue.leave(rank));
    }

    /// Updates a queue. Reports to the peers when its on-time or its late part becomes empty or
    /// non-empty, since gateways with queued requests take turns.
    fn update_queue<T>(&self, service: &ServiceName, f: impl FnOnce(&mut WaitQueue) -> T) -> T {
        let non_empty = |queue: &WaitQueue| (queue.on_time() > 0, queue.len() > queue.on_time());
        let (result, changed) = self.with_queue(service, |queue| {
            let before = non_empty(queue);
            let result = f(queue);
            (result, before != non_empty(queue))
        });
        if changed {
            self.report_due.notify_one();
        }
        result
    }

    pub(crate) fn with_queue<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut WaitQueue) -> T,
    ) -> T {
        let mut queues = self.queues.lock();
        let cfg = self.cfg.load().waiting;
        f(queues.entry(service.clone()).or_insert_with(|| WaitQueue::new(cfg)))
    }

    pub(crate) fn with_timing<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut TimingModel) -> T,
    ) -> T {
        let mut timings = self.timings.lock();
        f(timings
            .entry(service.clone())
            .or_insert_with(|| TimingModel::new(TimingConfig::default())))
    }

    /// Time since the caller's first attempt, estimated from its patience.
    pub(crate) fn elapsed_before(&self, route: &Route, patience: Millis) -> Millis {
        let returns = self.cfg.load().retry_after_config();
        self.patience.lock().elapsed(&route.name, patience, &returns)
    }

    /// Number of requests that are queued for memory, over all services.
    pub(crate) fn queued_requests(&self) -> usize {
        self.queues.lock().values().map(WaitQueue::len).sum()
    }
}

impl Runners {
    fn candidates<'a>(
        &'a self,
        to: &'a Destination,
        pressure: BackPressureView<'a>,
        places: PlaceView<'a>,
        now: Millis,
    ) -> SelectionContext<'a> {
        SelectionContext {
            members: &self.directory,
            loads: &self.loads,
            service: &to.service,
            runs: None,
            failing: None,
            pressure: Some(pressure),
            places,
            version: to.version.as_ref(),
            now,
        }
    }
}
