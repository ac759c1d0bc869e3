//! The agent's shared state, start and shutdown.

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
use crate::desk::Desk;
use crate::engine::EngineClient;
use crate::keys::Keys;
use crate::{AgentConfig, LOG, streams};

const GATE_TICK: Duration = Duration::from_millis(5);
const LOAD_TICK: Duration = Duration::from_millis(500);
const PEER_TICK: Duration = Duration::from_millis(500);
const PEER_TIMEOUT: Duration = Duration::from_millis(1_000);
const DRAIN_TICK: Duration = Duration::from_millis(20);
const MAX_CONNECTIONS: u32 = 8_192;

/// What the agent's tasks share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) cfg: AgentConfig,
    pub(crate) incarnation: u64,
    pub(crate) keys: Keys,
    pub(crate) desk: Desk,
    pub(crate) http: HttpClient,
    pub(crate) engine: EngineClient,
    engine_load: Mutex<(u32, u32)>,
    peers: ArcSwap<BTreeMap<EndpointName, SocketAddr>>,
}

impl Shared {
    pub(crate) fn status(&self) -> AgentStatus {
        AgentStatus {
            endpoint: self.cfg.name.clone(),
            incarnation: self.incarnation,
            revision: self.keys.revision(),
            leaving: self.desk.is_leaving(),
            load: self.desk.load(),
            engine_load: *self.engine_load.lock(),
        }
    }

    /// Takes a later endpoint list. An endpoint that is not in it any more is leaving.
    pub(crate) fn take_list(&self, push: EndpointListUpdate) {
        if push.service != self.cfg.service || !self.keys.set_list(push.list) {
            return;
        }
        let me = push.endpoints.iter().find(|endpoint| endpoint.name == self.cfg.name);
        let leaving = me.is_none_or(|endpoint| endpoint.leaving);
        if leaving != self.desk.is_leaving() {
            log::info!("{LOG} {} is leaving: {leaving}", self.cfg.name);
            self.desk.set_leaving(leaving);
        }
        let known = push.endpoints.iter().chain(&push.departed);
        let addresses = known.map(|endpoint| (endpoint.name.clone(), endpoint.control)).collect();
        self.peers.store(Arc::new(addresses));
    }
}

/// A running agent. Dropping it stops listening at once; see [`Agent::shut_down`].
#[derive(Debug)]
pub struct Agent {
    /// Where control calls are taken.
    pub control: SocketAddr,
    /// Where streams are taken.
    pub stream: SocketAddr,
    shared: Arc<Shared>,
    served: HttpServer,
    rpc: ServerHandle,
    tasks: Vec<JoinHandle<()>>,
}

impl Agent {
    /// Frees what an earlier life left in the engine, then starts listening.
    ///
    /// # Errors
    /// What the system says, such as "address in use".
    pub async fn start(cfg: AgentConfig) -> std::io::Result<Agent> {
        let clock = Clock::system();
        let incarnation = uuid::Uuid::now_v7().as_u128() as u64;
        let http = HttpClient::new();
        let silent = cfg.idle_timeout.duration();
        let engine = EngineClient::new(http.clone(), cfg.target, silent);
        let shared = Arc::new(Shared {
            incarnation,
            keys: Keys::new(&cfg, clock.clone(), incarnation),
            desk: Desk::new(cfg.admission, clock),
            http,
            engine,
            engine_load: Mutex::new((0, 0)),
            peers: ArcSwap::default(),
            cfg,
        });
        free_leftovers(&shared).await;
        let rpc_listener = bind(shared.cfg.control)?;
        let control = rpc_listener.local_addr()?;
        let rpc = serve_control(rpc_listener, Arc::clone(&shared))?;
        let served = serve(shared.cfg.stream, streams::routes(Arc::clone(&shared)))?;
        let tasks = vec![
            tokio::spawn(gate_loop(Arc::clone(&shared))),
            tokio::spawn(load_loop(Arc::clone(&shared))),
            tokio::spawn(peer_loop(Arc::clone(&shared))),
        ];
        log::info!(
            "{LOG} {} takes control on {control}, streams on {}",
            shared.cfg.name,
            served.addr
        );
        Ok(Agent { control, stream: served.addr, shared, served, rpc, tasks })
    }

    /// Keys on record as executor and as home, and bytes of answers kept.
    pub fn record_sizes(&self) -> (usize, usize, usize) {
        self.shared.keys.sizes()
    }

    /// Takes no new work, lets what is in flight finish, then stops.
    pub async fn shut_down(self) {
        log::info!(
            "{LOG} {} shuts down, {} in flight",
            self.shared.cfg.name,
            self.shared.desk.used()
        );
        self.shared.desk.set_leaving(true);
        let drained = async {
            while self.shared.desk.used() > 0 {
                tokio::time::sleep(DRAIN_TICK).await;
            }
        };
        let drain = self.shared.cfg.drain_timeout.duration();
        let cut = tokio::time::timeout(drain, drained).await.is_err();
        if cut {
            log::warn!("{LOG} the drain bound is over, {} cut off", self.shared.desk.used());
        }
        self.rpc.stop().ok();
        tokio::time::timeout(drain, self.served.stop()).await.ok();
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

/// Cancels what an earlier life of this agent left running: nobody can reach its answer.
async fn free_leftovers(shared: &Shared) {
    if shared.cfg.role != Role::Decode {
        return;
    }
    match shared.engine.requests().await {
        Ok(runs) => {
            for run in runs {
                log::info!("{LOG} run {run} is left from an earlier life, cancelled");
                shared.engine.cancel(&run).await.ok();
            }
        }
        Err(e) => log::warn!("{LOG} the engine does not tell its runs: {e}"),
    }
}

async fn gate_loop(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(GATE_TICK).await;
        shared.desk.tick();
    }
}

async fn load_loop(shared: Arc<Shared>) {
    if shared.cfg.role == Role::Service {
        return;
    }
    loop {
        tokio::time::sleep(LOAD_TICK).await;
        if let Ok(load) = shared.engine.load().await {
            *shared.engine_load.lock() = load;
        }
    }
}

/// Asks agents of the list before whether they hold the present one.
async fn peer_loop(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(PEER_TICK).await;
        for name in shared.keys.unacknowledged() {
            let Some(addr) = shared.peers.load().get(&name).copied() else { continue };
            let url = format!("http://{addr}");
            let client = HttpClientBuilder::default().request_timeout(PEER_TIMEOUT).build(url);
            let Ok(client) = client else { continue };
            if let Ok(status) = client.heartbeat(Heartbeat::default()).await {
                shared.keys.acknowledged(&name, status.revision);
            }
        }
    }
}
