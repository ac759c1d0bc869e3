//! The state shared by the entry's tasks, startup and shutdown.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

use arc_swap::ArcSwap;
use bulrushusher_accounts::{Quota, QuotaLimiter};
use bulrushusher_http::{HttpServer, bind, serve};
use bulrushusher_once::Owner;
use bulrushusher_operator::v1::operator_server::OperatorServer;
use bulrushusher_report::EntryMetrics;
use bulrushusher_routing::{LoadHint, PairingTable, Quarantine, QuarantineConfig, RetryBudget};
use bulrushusher_store::StoreClient;
use bulrushusher_time::{Clock, Millis};
use bulrushusher_wire::{AgentLoad, ApiError, ErrorCode};
use bulrushusher_world::EndpointName;
use parking_lot::Mutex;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::{Notify, oneshot};
use tokio::task::JoinHandle;
use tonic::transport::server::TcpIncoming;

use crate::agents::Agents;
use crate::configuration::{self, Configuration};
use crate::guards::Streams;
use crate::operator::OperatorService;
use crate::request::Job;
use crate::{EntryConfig, LOG, agent_sync, api};

/// Retry delay sent by an entry that is full or shutting down. The load balancer can route the
/// retry to another entry.
const OTHER_ENTRY_RETRY_AFTER: Millis = Millis(1_000);
const DRAIN_POLL_INTERVAL: Millis = Millis(20);

/// State shared by the entry's tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: EntryConfig,
    pub(crate) clock: Clock,
    /// Identifies this run of the entry process; part of its ballots.
    pub(crate) incarnation: u64,
    pub(crate) table: Mutex<PairingTable>,
    pub(crate) quotas: Mutex<QuotaLimiter>,
    retries: Mutex<RetryBudget>,
    /// Prompts that crash the engines that run them.
    pub(crate) quarantine: Mutex<Quarantine>,
    pub(crate) configuration: ArcSwap<Configuration>,
    /// Serializes changes of the configuration.
    pub(crate) configuration_lock: Mutex<()>,
    /// Notified when an endpoint list has changed.
    pub(crate) list_changed: Notify,
    pub(crate) agents: Agents,
    pub(crate) streams: Streams,
    pub(crate) store: StoreClient,
    metrics: EntryMetrics,
    store_up: AtomicBool,
    in_flight: AtomicUsize,
    shutting_down: AtomicBool,
    next_name: AtomicU64,
    rng: Mutex<ChaCha8Rng>,
}

impl Shared {
    fn new(cfg: EntryConfig) -> Shared {
        let incarnation = uuid::Uuid::now_v7().as_u128() as u64;
        Shared {
            clock: Clock::system(),
            incarnation,
            table: Mutex::new(PairingTable::new(cfg.pairing)),
            quotas: Mutex::new(QuotaLimiter::new(cfg.quotas, Millis(0))),
            // No total is stated for all entries, so each has its burst from the start.
            retries: Mutex::new(RetryBudget::new(cfg.retries, Millis(0))),
            quarantine: Mutex::new(Quarantine::new(QuarantineConfig::default())),
            configuration: ArcSwap::default(),
            configuration_lock: Mutex::new(()),
            list_changed: Notify::new(),
            agents: Agents::new(cfg.idle_timeout.duration()),
            streams: Streams::default(),
            store: StoreClient::new(cfg.store),
            metrics: EntryMetrics::new(cfg.name.as_str()),
            store_up: AtomicBool::new(false),
            in_flight: AtomicUsize::new(0),
            shutting_down: AtomicBool::new(false),
            next_name: AtomicU64::new(1),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(cfg.pairing.seed)),
            cfg,
        }
    }

    /// Credits the retry budget for a new request.
    pub(crate) fn earn_retry(&self) {
        let mut budget = self.retries.lock();
        budget.advance(self.clock.now());
        budget.earn();
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub(crate) fn take_retry(&self) -> bool {
        let mut budget = self.retries.lock();
        budget.advance(self.clock.now());
        budget.take()
    }

    /// Refuses a request if this entry is shutting down or has too many requests in flight.
    pub(crate) fn admit(&self) -> Result<(), ApiError> {
        if self.shutting_down.load(Ordering::SeqCst) {
            let message = "this entry is shutting down";
            return Err(ApiError::not_run(ErrorCode::ShuttingDown, message)
                .with_retry_after(OTHER_ENTRY_RETRY_AFTER));
        }
        if self.in_flight() >= self.cfg.max_in_flight {
            let message = "this entry has reached its limit of requests in flight";
            return Err(ApiError::not_run(ErrorCode::Overloaded, message)
                .with_retry_after(OTHER_ENTRY_RETRY_AFTER));
        }
        Ok(())
    }

    /// Charges a request to its account's quota, of which this entry grants a fixed part.
    pub(crate) fn admit_account(&self, cfg: &Configuration, job: &Job) -> Result<(), ApiError> {
        let account = job.account.as_ref().and_then(|name| cfg.account(name));
        let Some(account) = account else { return Ok(()) };
        let quota = Quota { per_second: account.requests_per_second, burst: account.burst as f64 };
        let now = self.clock.now();
        let mut quotas = self.quotas.lock();
        quotas.set_quotas([(&account.name, Some(quota))], now);
        quotas.admit(&account.name, 1, now).map_err(|over| {
            let message = format!("client account {} is {over}", account.name);
            ApiError::not_run(ErrorCode::AccountLimit, message).with_retry_after(over.retry_after)
        })
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub(crate) fn track_in_flight(self: &Arc<Shared>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        self.metrics.record_accepted();
        InFlight(Arc::clone(self))
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::SeqCst)
    }

    pub(crate) fn record_error(&self, job: &Job, e: &ApiError) {
        self.metrics.record_refused(&e.code.to_string());
        log::info!("{LOG} {} of class {} ends with {e} ({})", job.key, job.class.name, e.run);
    }

    pub(crate) fn metrics_text(&self) -> String {
        self.metrics.render()
    }

    /// Records the load that an agent reported.
    pub(crate) fn record_load(&self, endpoint: &EndpointName, load: AgentLoad) {
        let hint = LoadHint {
            used: load.used,
            places: load.places,
            waiting: load.waiting,
            expected_wait: load.expected_wait,
            reported_at: self.clock.now(),
            ..LoadHint::default()
        };
        self.table.lock().update_load(endpoint, hint);
    }

    /// Returns a name that no other stream or run of any entry has.
    pub(crate) fn unique_name(&self) -> String {
        let n = self.next_name.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{n}", self.cfg.name, self.incarnation)
    }

    /// Returns a ballot owner that no other settlement has.
    pub(crate) fn next_owner(&self) -> Owner {
        Owner {
            entry: self.cfg.name.clone(),
            incarnation: self.incarnation,
            attempt: self.next_name.fetch_add(1, Ordering::Relaxed),
        }
    }

    pub(crate) fn random_below(&self, bound: u64) -> u64 {
        self.rng.lock().random_range(0..bound)
    }

    pub(crate) fn set_store_up(&self, up: bool) {
        self.store_up.store(up, Ordering::SeqCst);
    }

    pub(crate) fn is_store_up(&self) -> bool {
        self.store_up.load(Ordering::SeqCst)
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlight(Arc<Shared>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Status of an entry, for programs that embed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EntryStatus {
    /// Requests in flight.
    pub in_flight: usize,
    /// Revision of the configuration in force.
    pub revision: u64,
    /// Whether the last call to the store succeeded.
    pub store_up: bool,
}

/// A running entry. Dropping it stops listening at once; see [`Entry::shut_down`].
#[derive(Debug)]
pub struct Entry {
    /// Bound address of the callers' HTTP API.
    pub callers: SocketAddr,
    /// Bound address of the operators' RPC.
    pub operators: SocketAddr,
    shared: Arc<Shared>,
    http_server: HttpServer,
    stop_operators: Option<oneshot::Sender<()>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts the listeners, and the tasks that follow the store and the agents.
    ///
    /// # Errors
    /// The I/O error of a listener that cannot be opened, such as "address in use".
    pub async fn start(cfg: EntryConfig) -> std::io::Result<Entry> {
        let shared = Arc::new(Shared::new(cfg));
        let http_server = serve(shared.cfg.callers, api::routes(Arc::clone(&shared)))?;
        let listener = bind(shared.cfg.operators)?;
        let operators = listener.local_addr()?;
        let (stop_operators, stop_requested) = oneshot::channel::<()>();
        let rpc_server = tonic::transport::Server::builder()
            .add_service(OperatorServer::new(OperatorService::new(Arc::clone(&shared))))
            .serve_with_incoming_shutdown(TcpIncoming::from(listener), async move {
                stop_requested.await.ok();
            });
        let rpc_task = async move {
            if let Err(e) = rpc_server.await {
                log::error!("{LOG} the operators' RPC server failed: {e}");
            }
        };
        let tasks = vec![
            tokio::spawn(rpc_task),
            tokio::spawn(configuration::watch_store(Arc::clone(&shared))),
            tokio::spawn(agent_sync::sync_agents(Arc::clone(&shared))),
        ];
        let name = &shared.cfg.name;
        log::info!(
            "{LOG} {name} listens for callers on {}, for operators on {operators}",
            http_server.addr
        );
        let callers = http_server.addr;
        Ok(Entry {
            callers,
            operators,
            shared,
            http_server,
            stop_operators: Some(stop_operators),
            tasks,
        })
    }

    /// Returns the entry's status.
    pub fn status(&self) -> EntryStatus {
        EntryStatus {
            in_flight: self.shared.in_flight(),
            revision: self.shared.configuration.load().snapshot.revision,
            store_up: self.shared.is_store_up(),
        }
    }

    /// Stops accepting requests, waits for those in flight up to the drain timeout, and stops.
    pub async fn shut_down(mut self) {
        let name = self.shared.cfg.name.clone();
        log::info!("{LOG} {name} is shutting down, {} requests in flight", self.shared.in_flight());
        self.shared.shutting_down.store(true, Ordering::SeqCst);
        let drain = self.shared.cfg.drain_timeout.duration();
        let shared = Arc::clone(&self.shared);
        let drained = async move {
            while shared.in_flight() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL.duration()).await;
            }
        };
        if tokio::time::timeout(drain, drained).await.is_err() {
            log::warn!(
                "{LOG} drain timeout exceeded, {} requests aborted",
                self.shared.in_flight()
            );
        }
        tokio::time::timeout(drain, self.http_server.stop()).await.ok();
        if let Some(stop) = self.stop_operators.take() {
            stop.send(()).ok();
        }
        for task in &self.tasks {
            task.abort();
        }
        log::info!("{LOG} {name} stopped");
    }
}
