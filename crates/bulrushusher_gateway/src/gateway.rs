//! Start, operation and graceful shutdown of a gateway.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_forward::Shutdown;
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::{Clock, Millis};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinSet;

use crate::callers::front::Front;
use crate::callers::server::Server;
use crate::dialect::{Dialect, PlatformStore, Topic};
use crate::lifecycle::Lifecycle;
use crate::panics::{keep_running, report_panics};
use crate::peers::announcing::Announcer;
use crate::peers::reporting::PeerMessenger;
use crate::probes::{self, Probe};
use crate::runners::exchange::Exchanger;
use crate::runners::pool::RunnerPool;
use crate::runners::router::Router;
use crate::settings::GatewayConfig;
use crate::shared::SharedState;
use crate::store::feed::Feed;
use crate::store::intake::Intake;
use crate::store::orders::StageKeeper;
use crate::store::quarantine::QuarantineKeeper;
use crate::store::renewing::LeaseKeeper;
use crate::store::streams::StreamSaver;
use crate::store::versions::VersionKeeper;

/// Length of the accept queue; large enough for a burst, as a full queue delays callers by a
/// second.
const BACKLOG: u32 = 1_024;

/// Interval of the check for changes of the settings file that were made without a signal.
const SETTINGS_POLL_INTERVAL: Millis = Millis(5_000);

/// Time between the last response and the kill, for the process to exit by itself.
const EXIT_MARGIN: Millis = Millis(150);

/// Reads the current settings; used to reload them.
pub type ReadSettings = fn() -> Result<GatewayConfig, String>;

/// Runs a gateway until a signal stops it.
///
/// # Errors
/// The system's error when an address cannot be bound, or signal handlers cannot be installed.
pub async fn run<D, S>(
    cfg: GatewayConfig,
    dialect: D,
    store: S,
    read_settings: ReadSettings,
) -> io::Result<()>
where
    D: Dialect,
    S: PlatformStore,
{
    let clock = Clock::system();
    log::info!(
        "gateway: start name={} data_centre={} callers={} store={}",
        cfg.name,
        cfg.data_centre,
        cfg.callers,
        cfg.store
    );
    let components = Arc::new(Components::new(cfg.clone(), dialect, clock.clone()));
    report_panics(components.metrics.clone());
    let callers = listen(cfg.callers)?;
    let mut tasks = JoinSet::new();
    components.spawn_probes(&cfg, &mut tasks)?;
    components.spawn_feeds(&store, &mut tasks);
    let announcer = components.announcer(&store, cfg.peers);
    components.spawn_peers(&cfg, announcer.clone(), &mut tasks).await?;
    spawn_keepers(&components, &store, &mut tasks);
    let server = Arc::new(Server::new(components.front.clone(), clock));
    let sweeper = server.clone();
    tasks.spawn(keep_running("sweeper", move || {
        let sweeper = sweeper.clone();
        async move { sweeper.sweep().await }
    }));
    let acceptor = server.clone();
    let max_connections = cfg.max_connections;
    let callers = Arc::new(callers);
    let accepting = tokio::spawn(keep_running("acceptor", move || {
        let (acceptor, callers) = (acceptor.clone(), callers.clone());
        async move { acceptor.accept(&callers, max_connections).await }
    }));
    wait_for_stop_signal(&components.shared, read_settings).await?;
    let stop = components.lifecycle.stop(components.shared.cfg().shutdown, components.shared.now());
    components.shared.resign_as_relay();
    log::info!("gateway: stopping connections={}", server.connections());
    tasks.spawn(async move { announcer.retract().await });
    let exchanger = &components.front.router.exchanger;
    drain(&components.shared, &server, exchanger, stop, || accepting.abort()).await;
    log::info!("gateway: stopped connections={}", server.connections());
    Ok(())
}

/// Spawns the tasks that keep the gateway's records in the store, and watch what it knows.
fn spawn_keepers<D: Dialect, S: PlatformStore>(
    components: &Arc<Components<D>>,
    store: &S,
    tasks: &mut JoinSet<()>,
) {
    let shared = components.shared.clone();
    tasks.spawn(keep_running("cold runners", move || {
        let shared = shared.clone();
        async move { shared.watch_cold_runners().await }
    }));
    let shared = components.shared.clone();
    tasks.spawn(keep_running("versions", move || {
        let shared = shared.clone();
        async move { shared.watch_versions().await }
    }));
    let (cx, at) = (components.clone(), store.clone());
    tasks.spawn(keep_running("lease", move || cx.lease_keeper(&at).run()));
    let (cx, at) = (components.clone(), store.clone());
    tasks.spawn(keep_running("quarantine", move || cx.quarantine_keeper(&at).run()));
    let (cx, at) = (components.clone(), store.clone());
    tasks.spawn(keep_running("version records", move || cx.version_keeper(&at).run()));
    let (cx, at) = (components.clone(), store.clone());
    tasks.spawn(keep_running("stream records", move || cx.stream_saver(&at).run()));
    let (cx, at) = (components.clone(), store.clone());
    tasks.spawn(keep_running("stages", move || cx.stage_keeper(at.clone()).run()));
}

/// The components that the tasks share.
struct Components<D> {
    shared: Arc<SharedState>,
    lifecycle: Lifecycle,
    metrics: Arc<GatewayMetrics>,
    intake: Arc<Intake>,
    front: Arc<Front<D>>,
}

impl<D: Dialect> Components<D> {
    fn new(cfg: GatewayConfig, dialect: D, clock: Clock) -> Components<D> {
        let metrics = Arc::new(GatewayMetrics::new(&cfg.name.to_string()));
        let seed = u64::from(std::process::id()) ^ clock.now().0;
        let shared = Arc::new(SharedState::new(cfg, clock.clone(), seed));
        let lifecycle = Lifecycle::new();
        let pool = Arc::new(RunnerPool::new(clock));
        let exchanger =
            Exchanger::new(dialect.clone(), pool.clone(), shared.clone(), metrics.clone());
        let router = Arc::new(Router {
            dialect,
            shared: shared.clone(),
            exchanger,
            metrics: metrics.clone(),
        });
        let front =
            Arc::new(Front { router, lifecycle: lifecycle.clone(), buffered: Arc::default() });
        let intake = Intake { shared: shared.clone(), pool, metrics: metrics.clone() };
        Components { shared, lifecycle, metrics, intake: Arc::new(intake), front }
    }

    fn spawn_probes(&self, cfg: &GatewayConfig, tasks: &mut JoinSet<()>) -> io::Result<()> {
        let ready = Probe::Ready(self.shared.clone(), self.lifecycle.clone());
        let metrics = Probe::Metrics(self.shared.clone(), self.metrics.clone());
        for (address, probe) in [(cfg.ready, ready), (cfg.metrics, metrics)] {
            let listener = Arc::new(listen(address)?);
            tasks.spawn(keep_running("probe", move || {
                probes::serve(listener.clone(), probe.clone())
            }));
        }
        Ok(())
    }

    fn stage_keeper<S: PlatformStore>(&self, store: S) -> StageKeeper<D, S> {
        let router = &self.front.router;
        StageKeeper {
            dialect: router.dialect.clone(),
            store,
            exchanger: router.exchanger.clone(),
            shared: self.shared.clone(),
            lifecycle: self.lifecycle.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn lease_keeper<S: PlatformStore>(&self, store: &S) -> LeaseKeeper<S> {
        let (shared, metrics) = (self.shared.clone(), self.metrics.clone());
        LeaseKeeper { store: store.clone(), shared, intake: self.intake.clone(), metrics }
    }

    fn quarantine_keeper<S: PlatformStore>(&self, store: &S) -> QuarantineKeeper<S> {
        let (shared, metrics) = (self.shared.clone(), self.metrics.clone());
        QuarantineKeeper { store: store.clone(), shared, metrics }
    }

    fn version_keeper<S: PlatformStore>(&self, store: &S) -> VersionKeeper<S> {
        let (shared, metrics) = (self.shared.clone(), self.metrics.clone());
        VersionKeeper { store: store.clone(), shared, metrics }
    }

    fn stream_saver<S: PlatformStore>(&self, store: &S) -> StreamSaver<S> {
        StreamSaver::new(store.clone(), self.shared.clone(), self.metrics.clone())
    }

    fn announcer<S: PlatformStore>(&self, store: &S, address: SocketAddr) -> Arc<Announcer<S>> {
        let (shared, lifecycle) = (self.shared.clone(), self.lifecycle.clone());
        Arc::new(Announcer::new(store.clone(), shared, lifecycle, address))
    }

    async fn spawn_peers<S: PlatformStore>(
        &self,
        cfg: &GatewayConfig,
        announcer: Arc<Announcer<S>>,
        tasks: &mut JoinSet<()>,
    ) -> io::Result<()> {
        let socket = Arc::new(UdpSocket::bind(cfg.peers).await?);
        let (shared, intake) = (self.shared.clone(), self.intake.clone());
        let metrics = self.metrics.clone();
        tasks.spawn(keep_running("peers", move || {
            let (sent, names, far_peers, far_due, forwarded_revision) = Default::default();
            let peers = PeerMessenger {
                announcer: announcer.clone(),
                shared: shared.clone(),
                intake: intake.clone(),
                sent,
                names,
                far_peers,
                far_due,
                metrics: metrics.clone(),
                forwarded_revision,
            };
            peers.run(socket.clone())
        }));
        Ok(())
    }

    fn spawn_feeds<S: PlatformStore>(&self, store: &S, tasks: &mut JoinSet<()>) {
        let evacuations = self.shared.evacuation_bound().map(|_| Topic::Evacuations);
        for topic in [Topic::Configuration, Topic::Runners].into_iter().chain(evacuations) {
            let (store, shared) = (store.clone(), self.shared.clone());
            let (intake, metrics) = (self.intake.clone(), self.metrics.clone());
            tasks.spawn(keep_running("feed", move || {
                let (store, shared) = (store.clone(), shared.clone());
                let (intake, metrics) = (intake.clone(), metrics.clone());
                Feed { store, topic, shared, intake, metrics }.follow()
            }));
        }
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Waits for SIGTERM or SIGINT. Meanwhile the settings are reloaded at SIGHUP, and at an interval
/// if they differ, as the file may change without a signal.
async fn wait_for_stop_signal(shared: &SharedState, read_settings: ReadSettings) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let mut poll = tokio::time::interval(SETTINGS_POLL_INTERVAL.duration());
    poll.tick().await;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = hangup.recv() => reload(shared, read_settings),
            _ = poll.tick() => reload_if_changed(shared, read_settings),
        }
    }
}

/// Applies the settings if they are valid and differ from those in use.
fn reload_if_changed(shared: &SharedState, read_settings: ReadSettings) {
    let Ok(cfg) = read_settings() else { return };
    if format!("{cfg:?}") != format!("{:?}", shared.cfg()) {
        reload(shared, read_settings);
    }
}

/// Applies the new settings; changed addresses and names take effect at the next start.
fn reload(shared: &SharedState, read_settings: ReadSettings) {
    match read_settings() {
        Ok(cfg) => {
            let old = shared.cfg();
            if (cfg.callers, cfg.ready, cfg.store) != (old.callers, old.ready, old.store) {
                log::warn!("gateway: new addresses take effect at the next start");
            }
            if cfg.data_centre_evacuated != shared.evacuation_bound() {
                log::warn!(
                    "gateway: a new data_centre_evacuated_ms takes effect at the next start"
                );
            }
            shared.reconfigure(cfg);
            log::info!("gateway: settings reloaded");
        }
        Err(e) => log::error!("gateway: settings kept, the new ones are not valid cause=\"{e}\""),
    }
}

/// Accepts requests until the load balancer has removed this gateway, then waits for the open ones, and
/// until the memory that they leave at runners is released.
async fn drain<D: Dialect>(
    shared: &SharedState,
    server: &Server<D>,
    exchanger: &Exchanger<D>,
    stop: Shutdown,
    stop_accepting: impl FnOnce(),
) {
    while stop.accepts(shared.now()) {
        tokio::time::sleep(ACCEPT_POLL_INTERVAL.duration()).await;
    }
    stop_accepting();
    let remaining = stop.kill().since(shared.now()).since(EXIT_MARGIN);
    if tokio::time::timeout(remaining.duration(), server.drain()).await.is_err() {
        log::warn!(
            "gateway: responses are cut off by the kill connections={}",
            server.connections()
        );
    }
    // Memory that is held or kept for them at runners would otherwise stay so until it lapses.
    let remaining = stop.kill().since(shared.now()).since(EXIT_MARGIN);
    if tokio::time::timeout(remaining.duration(), exchanger.finish_releases()).await.is_err() {
        log::warn!("gateway: memory at runners is not released before the kill, it lapses");
    }
}

/// Interval of the check for the end of the time in which requests are accepted.
const ACCEPT_POLL_INTERVAL: Millis = Millis(50);
