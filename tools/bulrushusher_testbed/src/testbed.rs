//! A running deployment: store, runners, agents and entries.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_admission::AdmissionConfig;
use bulrushusher_agent::{Agent, AgentConfig};
use bulrushusher_entry::{Entry, EntryConfig, split_evenly};
use bulrushusher_operator::v1;
use bulrushusher_operator::v1::operator_client::OperatorClient;
use bulrushusher_routing::{PairingConfig, Policy, RetryConfig};
use bulrushusher_standin::engine::{Counts, Faults};
use bulrushusher_standin::{Engine, EngineConfig, PlainService, Relay, Store};
use bulrushusher_time::{Clock, Millis};
use bulrushusher_world::{Role, ValidationError};
use derive_more::{Display, Error, From};
use tonic::transport::Channel;

use crate::deployment::{ClassPlan, Deployment};
use crate::node::Node;

/// Why a deployment could not be started or controlled.
#[derive(Debug, Display, Error, From)]
pub enum TestbedError {
    /// An I/O error, such as of binding a listener or starting a runtime.
    #[display("I/O error: {_0}")]
    Io(std::io::Error),
    /// An operator call failed.
    #[display("an operator call failed: {_0}")]
    Operator(tonic::Status),
    /// The connection to an entry failed.
    #[display("cannot connect to an entry: {_0}")]
    Transport(tonic::transport::Error),
    /// A name or field is invalid.
    #[display("{_0}")]
    Validation(ValidationError),
    /// The configuration was not in force at every entry in time.
    #[display("the configuration was not in force at every entry in time")]
    #[from(ignore)]
    ConfigurationTimeout,
}

/// How long the configuration may take to be in force at all entries before a run fails.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Slots of a prefill engine: one prompt each being computed, exported and queued.
const PREFILL_SLOTS: usize = 3;

/// The loopback address with port 0, which picks a free port.
pub fn loopback() -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0)
}

#[derive(Debug)]
enum Target {
    Engine(Engine),
    Plain(PlainService),
}

/// An endpoint: a runner, its agent, and the relays in front of the agent.
#[derive(Debug)]
pub struct Runner {
    /// Name of the endpoint.
    pub name: String,
    /// Role of the endpoint.
    pub role: Role,
    target_node: Node,
    target: Option<Target>,
    target_addr: SocketAddr,
    agent_node: Node,
    agent: Option<Agent>,
    agent_cfg: AgentConfig,
    control_relay: Relay,
    stream_relay: Relay,
    data_centre: String,
    engine_cfg: EngineConfig,
    /// Counters of the runner's earlier processes.
    previous_counts: Vec<Counts>,
}

impl Runner {
    /// Kills the runner but not its agent. The runner's counters are kept.
    pub fn kill_target(&mut self) {
        self.target_node.kill();
        if let Some(mut counts) = self.target.take().map(|target| target.counts()) {
            counts.held_places = 0;
            counts.held_kv = 0;
            self.previous_counts.push(counts);
        }
    }

    /// Restarts the runner, which must be an engine, at its address with empty memory.
    ///
    /// # Errors
    /// [`TestbedError::Io`] if the runtime or the listener cannot be created.
    pub async fn restart_target(&mut self) -> Result<(), TestbedError> {
        self.target_node = Node::new("engine")?;
        let (addr, cfg) = (self.target_addr, self.engine_cfg.clone());
        let engine = self.target_node.run(async move { Engine::start(addr, cfg) }).await?;
        self.target = Some(Target::Engine(engine));
        Ok(())
    }

    /// Kills the agent.
    pub fn kill_agent(&mut self) {
        self.agent_node.kill();
        self.agent = None;
    }

    /// Restarts the agent at its addresses with empty memory.
    ///
    /// # Errors
    /// [`TestbedError::Io`] if the runtime or a listener cannot be created.
    pub async fn restart_agent(&mut self) -> Result<(), TestbedError> {
        self.agent_node = Node::new("agent")?;
        let cfg = self.agent_cfg.clone();
        self.agent = Some(self.agent_node.run(async move { Agent::start(cfg).await }).await?);
        Ok(())
    }

    /// Permanently blackholes the open connections to the agent; new connections work.
    pub fn blackhole_open_connections(&self) {
        self.control_relay.blackhole_open_connections();
        self.stream_relay.blackhole_open_connections();
    }

    /// Replaces the injected faults of an engine; no effect on a plain service.
    pub fn set_faults(&self, faults: Faults) {
        if let Some(Target::Engine(engine)) = &self.target {
            engine.set_faults(faults);
        }
    }

    /// Makes a plain service reject all calls for `duration`, with status 503 and a `retry-after`
    /// header; no effect on an engine.
    pub fn reject_for(&self, duration: Duration) {
        if let Some(Target::Plain(service)) = &self.target {
            service.reject_for(duration);
        }
    }

    /// Number of calls rejected by a plain service; 0 for an engine.
    pub fn rejected_calls(&self) -> usize {
        match &self.target {
            Some(Target::Plain(service)) => service.rejected_calls(),
            Some(Target::Engine(_)) | None => 0,
        }
    }

    /// Counters of the runner, one item per process start.
    pub fn counts(&self) -> Vec<Counts> {
        self.previous_counts
            .iter()
            .cloned()
            .chain(self.target.as_ref().map(Target::counts))
            .collect()
    }
}

impl Target {
    fn counts(&self) -> Counts {
        match self {
            Target::Engine(engine) => engine.counts(),
            Target::Plain(service) => service.counts(),
        }
    }
}

/// An entry and the node that it runs on.
#[derive(Debug)]
pub struct EntryNode {
    node: Node,
    cfg: EntryConfig,
    entry: Option<Entry>,
}

impl EntryNode {
    /// Kills the entry.
    pub fn kill(&mut self) {
        self.node.kill();
        self.entry = None;
    }

    /// Restarts the entry at its addresses with empty memory.
    ///
    /// # Errors
    /// [`TestbedError::Io`] if the runtime or a listener cannot be created.
    pub async fn restart(&mut self) -> Result<(), TestbedError> {
        self.node = Node::new("entry")?;
        let cfg = self.cfg.clone();
        self.entry = Some(self.node.run(async move { Entry::start(cfg).await }).await?);
        Ok(())
    }

    /// Pauses the entry for `duration`.
    pub fn pause(&self, duration: Duration) {
        self.node.pause(duration);
    }

    /// Shuts the entry down gracefully.
    pub async fn shut_down(&mut self) {
        if let Some(entry) = self.entry.take() {
            self.node.run(entry.shut_down()).await;
        }
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Testbed {
    /// The deployment's parameters.
    pub deployment: Deployment,
    /// The store.
    pub store: Arc<Store>,
    /// Runners of all endpoints.
    pub runners: Vec<Runner>,
    /// All entries.
    pub entries: Vec<EntryNode>,
    _store_node: Node,
}

impl Testbed {
    /// Starts all processes of a deployment, configures it through the operators' RPC and waits
    /// until the configuration is in force.
    ///
    /// # Errors
    /// [`TestbedError`] if a process cannot be started or the configuration fails.
    pub async fn start(
        deployment: Deployment,
        policy: Policy,
        seed: u64,
    ) -> Result<Testbed, TestbedError> {
        let store_node = Node::new("store")?;
        let store = Arc::new(store_node.run(async { Store::start(loopback()) }).await?);
        let mut runners = Vec::new();
        let pools = [
            (Role::Prefill, deployment.prefill_runners),
            (Role::Decode, deployment.decode_runners),
            (Role::Service, deployment.service_runners),
        ];
        for (role, count) in pools {
            for number in 0..count {
                runners.push(start_runner(&deployment, role, number, seed).await?);
            }
        }
        let mut entries = Vec::new();
        for number in 0..deployment.entries {
            let cfg = entry_config(&deployment, store.addr, number, policy, seed)?;
            entries.push(start_entry(cfg).await?);
        }
        let testbed = Testbed { deployment, store, runners, entries, _store_node: store_node };
        testbed.configure().await?;
        Ok(testbed)
    }

    /// Caller addresses of the entries.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().map(|entry| entry.cfg.callers).collect()
    }

    /// Connects an operator client to entry number `n`.
    ///
    /// # Errors
    /// [`TestbedError::Transport`] if the connection fails.
    pub async fn operator(&self, n: usize) -> Result<OperatorClient<Channel>, TestbedError> {
        let addr = self.entries[n].cfg.operators;
        Ok(OperatorClient::connect(format!("http://{addr}")).await?)
    }

    /// Indices of the runners with a role.
    pub fn runners_with_role(&self, role: Role) -> Vec<usize> {
        let index_if_match = |(at, runner): (usize, &Runner)| (runner.role == role).then_some(at);
        self.runners.iter().enumerate().filter_map(index_if_match).collect()
    }

    async fn configure(&self) -> Result<(), TestbedError> {
        let mut operator = self.operator(0).await?;
        let mut revision = 0;
        let closing = closing_message(&self.deployment);
        let put = v1::PutClosingRequest { closing: Some(closing), expected_version: 0 };
        operator.put_closing(put).await?;
        for number in 0..self.deployment.accounts {
            let name = format!("account-{number}");
            let account =
                v1::Account { name, version: 0, requests_per_second: 1_000.0, burst: 2_000 };
            let put = v1::PutAccountRequest { account: Some(account), expected_version: 0 };
            operator.put_account(put).await?;
        }
        for runner in &self.runners {
            let endpoint = self.endpoint_message(runner);
            let put = v1::PutEndpointRequest { endpoint: Some(endpoint), expected_version: 0 };
            revision = operator.put_endpoint(put).await?.into_inner().revision;
        }
        self.wait_in_force(revision).await
    }

    fn endpoint_message(&self, runner: &Runner) -> v1::Endpoint {
        let service = match runner.role {
            Role::Service => self.deployment.service,
            Role::Prefill | Role::Decode => self.deployment.model,
        };
        v1::Endpoint {
            name: runner.name.clone(),
            version: 0,
            service: service.to_owned(),
            role: runner.role.to_string(),
            data_centre: runner.data_centre.clone(),
            control: runner.control_relay.addr.to_string(),
            stream: runner.stream_relay.addr.to_string(),
            checks_fencing: false,
            leaving: false,
        }
    }

    /// Waits until every entry has at least `revision` of the configuration in force and has
    /// received a reply from every endpoint.
    ///
    /// # Errors
    /// [`TestbedError::ConfigurationTimeout`] if that takes more than 10 s in total.
    pub async fn wait_in_force(&self, revision: u64) -> Result<(), TestbedError> {
        let deadline = tokio::time::Instant::now() + CONFIGURATION_TIMEOUT;
        for number in 0..self.entries.len() {
            let mut operator = self.operator(number).await?;
            loop {
                let status = operator.status(v1::StatusRequest {}).await?.into_inner();
                let all_reachable = status.endpoints.iter().all(|e| e.heard_ms_ago != u64::MAX);
                let all_listed = status.endpoints.len() == self.runners.len();
                if status.revision >= revision && all_reachable && all_listed {
                    break;
                }
                if tokio::time::Instant::now() > deadline {
                    return Err(TestbedError::ConfigurationTimeout);
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Counters of all runners, one item per process start.
    pub fn counts(&self) -> Vec<Counts> {
        self.runners.iter().flat_map(Runner::counts).collect()
    }

    /// Number of slots in use and prefill results held, according to the runners' counters.
    pub fn held(&self) -> usize {
        let held = |counts: &Counts| counts.held_places + counts.held_kv;
        self.counts().iter().map(held).sum()
    }
}

fn closing_message(deployment: &Deployment) -> v1::Closing {
    const WEEK: u64 = 7 * 24 * 3_600_000;
    let now = Clock::system().now();
    let class = |plan: &ClassPlan| v1::DeliverableClass {
        name: plan.name.to_owned(),
        patience: plan.patience.to_string(),
        repeat: plan.repeat.to_string(),
        ttft_ms: plan.ttft.0,
        per_token_ms: plan.per_token.0,
        deadline_ms: plan.deadline.0,
    };
    v1::Closing {
        name: deployment.closing.to_owned(),
        version: 0,
        starts_unix_ms: now.0 - WEEK,
        ends_unix_ms: now.0 + WEEK,
        services: vec![deployment.model.to_owned(), deployment.service.to_owned()],
        classes: vec![class(&deployment.prompt_class), class(&deployment.call_class)],
        goodput_weight: deployment.goodput_weight,
        waste_weight: deployment.waste_weight,
    }
}

async fn start_runner(
    deployment: &Deployment,
    role: Role,
    number: usize,
    seed: u64,
) -> Result<Runner, TestbedError> {
    let data_centre = deployment.data_centres[number % deployment.data_centres.len()];
    let name = format!("{data_centre}-{role}-{number}");
    let target_node = Node::new("runner")?;
    let engine_cfg =
        EngineConfig { seed: seed.wrapping_add(number as u64), ..deployment.engine_config.clone() };
    let target = match role {
        Role::Prefill | Role::Decode => {
            let cfg = engine_cfg.clone();
            Target::Engine(target_node.run(async move { Engine::start(loopback(), cfg) }).await?)
        }
        Role::Service => {
            let cfg = deployment.service_config.clone();
            let start = async move { PlainService::start(loopback(), cfg) };
            Target::Plain(target_node.run(start).await?)
        }
    };
    let target_addr = match &target {
        Target::Engine(engine) => engine.addr,
        Target::Plain(service) => service.addr,
    };
    let (service, slots) = match role {
        Role::Prefill => (deployment.model, PREFILL_SLOTS),
        Role::Decode => (deployment.model, deployment.engine_config.slots),
        Role::Service => (deployment.service, deployment.service_config.slots),
    };
    let mut agent_cfg = AgentConfig {
        name: name.as_str().try_into().map_err(ValidationError::from)?,
        service: service.try_into().map_err(ValidationError::from)?,
        role,
        data_centre: data_centre.try_into().map_err(ValidationError::from)?,
        control: loopback(),
        stream: loopback(),
        target: target_addr,
        admission: AdmissionConfig { slots, ..AdmissionConfig::default() },
        horizon: Millis(600_000),
        skew: Millis(200),
        max_keys: 100_000,
        max_answer_bytes: 32 << 20,
        heartbeat_interval: Millis(200),
        idle_timeout: Millis(1_000),
        orphan_timeout: deployment.orphan_timeout,
        drain_timeout: Millis(60_000),
    };
    let agent_node = Node::new("agent")?;
    let cfg = agent_cfg.clone();
    let agent = agent_node.run(async move { Agent::start(cfg).await }).await?;
    agent_cfg.control = agent.control;
    agent_cfg.stream = agent.stream;
    let (control, stream) = (agent.control, agent.stream);
    // The relays run outside the agent's node, so that they survive when the agent is killed.
    let control_relay = Relay::start(loopback(), control)?;
    let stream_relay = Relay::start(loopback(), stream)?;
    Ok(Runner {
        name,
        role,
        target_node,
        target: Some(target),
        target_addr,
        agent_node,
        agent: Some(agent),
        agent_cfg,
        control_relay,
        stream_relay,
        data_centre: data_centre.to_owned(),
        engine_cfg,
        previous_counts: Vec::new(),
    })
}

fn entry_config(
    deployment: &Deployment,
    store: SocketAddr,
    number: usize,
    policy: Policy,
    seed: u64,
) -> Result<EntryConfig, TestbedError> {
    let data_centre = deployment.data_centres[number % deployment.data_centres.len()];
    let name = format!("{data_centre}-entry-{number}");
    Ok(EntryConfig {
        name: name.as_str().try_into().map_err(ValidationError::from)?,
        data_centre: data_centre.try_into().map_err(ValidationError::from)?,
        callers: loopback(),
        operators: loopback(),
        store,
        max_body_bytes: 8 << 20,
        max_in_flight: 20_000,
        drain_timeout: Millis(60_000),
        pairing: PairingConfig {
            policy,
            seed: seed.wrapping_add(number as u64),
            ..PairingConfig::default()
        },
        quotas: split_evenly(deployment.entries as u32),
        retries: RetryConfig::default(),
        idle_timeout: Millis(1_000),
        resume_timeout: Millis(6_000),
        horizon: Millis(600_000),
        skew: Millis(200),
    })
}

async fn start_entry(cfg: EntryConfig) -> Result<EntryNode, TestbedError> {
    let mut started = EntryNode { node: Node::new("entry")?, cfg, entry: None };
    let cfg = started.cfg.clone();
    let entry = started.node.run(async move { Entry::start(cfg).await }).await?;
    started.cfg.callers = entry.callers;
    started.cfg.operators = entry.operators;
    started.entry = Some(entry);
    Ok(started)
}
