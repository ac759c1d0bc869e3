//! The state shared by the agent's tasks, startup and shutdown.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use bulrushusher_http::{HttpClient, HttpServer, bind, serve};
use bulrushusher_time::Clock;
use bulrushusher_wire::{
    AgentControlClient, AgentControlServer, AgentStatus, EndpointListUpdate, Heartbeat,
};
use bulrushusher_world::{EndpointName, Role};
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::server::{ServerBuilder, ServerConfig, ServerHandle};
use parking_lot::Mutex;
use tokio::task::JoinHandle;

use crate::control::Control;
use crate::engine::EngineClient;
use crate::keys::Keys;
use crate::slots::Slots;
use crate::{AgentConfig, LOG, streams};

/// Interval at which expired reservations and waits are handled.
const SLOTS_TICK: Duration = Duration::from_millis(5);
/// Interval at which the engine's load is read.
const ENGINE_LOAD_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which agents that have not acknowledged the present list are asked again.
const LIST_ACK_INTERVAL: Duration = Duration::from_millis(500);
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_CONNECTIONS: u32 = 8_192;

/// State shared by the agent's tasks.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: AgentConfig,
    /// Identifies this run of the agent process.
    pub(crate) incarnation: u64,
    pub(crate) keys: Keys,
    pub(crate) slots: Slots,
    pub(crate) http: HttpClient,
    pub(crate) engine: EngineClient,
    /// Running and waiting requests as last reported by the engine.
    engine_load: Mutex<(u32, u32)>,
    /// Control addresses of the service's agents, present and departed.
    agents: ArcSwap<BTreeMap<EndpointName, SocketAddr>>,
}

impl Shared {
    pub(crate) fn status(&self) -> AgentStatus {
        AgentStatus {
            endpoint: self.cfg.name.clone(),
            incarnation: self.incarnation,
            revision: self.keys.revision(),
            leaving: self.slots.is_draining(),
            load: self.slots.current_load(),
            engine_load: *self.engine_load.lock(),
        }
    }

    /// Applies an endpoint list if its revision is higher. An endpoint that is not in it drains.
    pub(crate) fn apply_list(&self, update: EndpointListUpdate) {
        if update.service != self.cfg.service || !self.keys.set_list(update.list) {
            return;
        }
        let own = update.endpoints.iter().find(|endpoint| endpoint.name == self.cfg.name);
        let leaving = own.is_none_or(|endpoint| endpoint.leaving);
        if leaving != self.slots.is_draining() {
            log::info!("{LOG} {} is draining: {leaving}", self.cfg.name);
            self.slots.set_draining(leaving);
        }
        let known = update.endpoints.iter().chain(&update.departed);
        let addresses = known.map(|endpoint| (endpoint.name.clone(), endpoint.control)).collect();
        self.agents.store(Arc::new(addresses));
    }
}

/// A running agent. Dropping it stops listening at once; see [`Agent::shut_down`].
#[derive(Debug)]
pub struct Agent {
    /// Bound address of the control calls.
    pub control: SocketAddr,
    /// Bound address of the streams.
    pub stream: SocketAddr,
    shared: Arc<Shared>,
    stream_server: HttpServer,
    control_server: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Cancels runs that an earlier agent process left in the engine, then starts the listeners.
    ///
    /// # Errors
    /// The I/O error of a listener that cannot be opened, such as "address in use".
    pub async fn start(cfg: AgentConfig) -> std::io::Result<Agent> {
        let clock = Clock::system();
        let incarnation = uuid::Uuid::now_v7().as_u128() as u64;
        let http = HttpClient::new();
        let idle_timeout = cfg.idle_timeout.duration();
        let engine = EngineClient::new(http.clone(), cfg.target, idle_timeout);
        let shared = Arc::new(Shared {
            incarnation,
            keys: Keys::new(&cfg, clock.clone(), incarnation),
            slots: Slots::new(cfg.admission, clock),
            http,
            engine,
            engine_load: Mutex::new((0, 0)),
            agents: ArcSwap::default(),
            cfg,
        });
        cancel_leftover_runs(&shared).await;
        let rpc_listener = bind(shared.cfg.control)?;
        let control = rpc_listener.local_addr()?;
        let control_server = serve_control(rpc_listener, Arc::clone(&shared))?;
        let stream_server = serve(shared.cfg.stream, streams::routes(Arc::clone(&shared)))?;
        let tasks = vec![
            tokio::spawn(slots_loop(Arc::clone(&shared))),
            tokio::spawn(engine_load_loop(Arc::clone(&shared))),
            tokio::spawn(list_ack_loop(Arc::clone(&shared))),
        ];
        log::info!(
            "{LOG} {} listens for control calls on {control}, for streams on {}",
            shared.cfg.name,
            stream_server.addr
        );
        let stream = stream_server.addr;
        Ok(Agent { control, stream, shared, stream_server, control_server, tasks })
    }

    /// The number of executor records, the number of home records, and the bytes of retained
    /// answers.
    pub fn record_sizes(&self) -> (usize, usize, usize) {
        self.shared.keys.sizes()
    }

    /// Stops accepting work, waits for requests in flight up to the drain timeout, and stops.
    pub async fn shut_down(self) {
        log::info!(
            "{LOG} {} is shutting down, {} requests in flight",
            self.shared.cfg.name,
            self.shared.slots.used()
        );
        self.shared.slots.set_draining(true);
        let drained = async {
            while self.shared.slots.used() > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        let drain = self.shared.cfg.drain_timeout.duration();
        let timed_out = tokio::time::timeout(drain, drained).await.is_err();
        if timed_out {
            log::warn!(
                "{LOG} drain timeout exceeded, {} requests aborted",
                self.shared.slots.used()
            );
        }
        self.control_server.stop().ok();
        tokio::time::timeout(drain, self.stream_server.stop()).await.ok();
        for task in &self.tasks {
            task.abort();
        }
        log::info!("{LOG} {} stopped", self.shared.cfg.name);
    }
}

fn serve_control(
    listener: tokio::net::TcpListener,
    shared: Arc<Shared>,
) -> std::io::Result<ServerHandle> {
    let cfg = ServerConfig::builder().max_connections(MAX_CONNECTIONS).http_only().build();
    let server = ServerBuilder::with_config(cfg).build_from_tcp(listener.into_std()?)?;
    Ok(server.start(Control(shared).into_rpc()))
}

/// Cancels runs that an earlier process of this agent started, because their answers are lost.
async fn cancel_leftover_runs(shared: &Shared) {
    if shared.cfg.role != Role::Decode {
        return;
    }
    match shared.engine.requests().await {
        Ok(runs) => {
            for run in runs {
                log::info!("{LOG} run {run} is left from an earlier life, cancelled");
                shared.engine.cancel_run(&run).await.ok();
            }
        }
        Err(e) => log::warn!("{LOG} the engine did not list its runs: {e}"),
    }
}

async fn slots_loop(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SLOTS_TICK).await;
        shared.slots.tick();
    }
}

async fn engine_load_loop(shared: Arc<Shared>) {
    if shared.cfg.role == Role::Service {
        return;
    }
    loop {
        tokio::time::sleep(ENGINE_LOAD_INTERVAL).await;
        if let Ok(load) = shared.engine.load().await {
            *shared.engine_load.lock() = load;
        }
    }
}

/// Asks the agents that must acknowledge the present list for the revision that they use.
async fn list_ack_loop(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(LIST_ACK_INTERVAL).await;
        for name in shared.keys.pending_acks() {
            let Some(addr) = shared.agents.load().get(&name).copied() else { continue };
            let url = format!("http://{addr}");
            let client = HttpClientBuilder::default().request_timeout(PEER_TIMEOUT).build(url);
            let Ok(client) = client else { continue };
            if let Ok(status) = client.heartbeat(Heartbeat::default()).await {
                shared.keys.record_ack(&name, status.revision);
            }
        }
    }
}
