//! The engine's HTTP server and its handle.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_http::{
    HttpClient, HttpServer, get_route, json_reply, json_status, post_route, reject_json, serve,
    stream_reply,
};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use warp::Filter;
use warp::reply::Response;

use super::decode::{self, DecodeRejection};
use super::state::{EngineState, Faults};
use super::{
    AdminRequest, Counts, DecodeRequest, EngineConfig, EventsRequest, ExportRequest,
    PrefillRequest, ResumeRequest, RunId, RunList, prefill,
};

const STREAM_BUFFER: usize = 64;
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const NDJSON: &str = "application/x-ndjson";

#[derive(Clone)]
struct Shared {
    engine: Arc<EngineState>,
    client: HttpClient,
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    /// Address on which the engine listens.
    pub addr: SocketAddr,
    state: Arc<EngineState>,
    server: HttpServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine on `addr`; port 0 picks a free port.
    ///
    /// # Errors
    /// The I/O error of binding the listener, such as "address in use".
    pub fn start(addr: SocketAddr, cfg: EngineConfig) -> std::io::Result<Engine> {
        let state = Arc::new(EngineState::new(cfg));
        let shared = Shared { engine: Arc::clone(&state), client: HttpClient::new() };
        let server = serve(addr, routes(shared))?;
        let tasks = vec![
            tokio::spawn(decode::step_loop(Arc::clone(&state))),
            tokio::spawn(tick_loop(Arc::clone(&state))),
        ];
        Ok(Engine { addr: server.addr, state, server, tasks })
    }

    /// The engine's counters.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// The engine's configuration.
    pub fn config(&self) -> &EngineConfig {
        &self.state.cfg
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.tables.lock().faults = faults;
    }

    /// Stops the engine once the open streams have ended.
    pub async fn stop(self) {
        self.server.stop().await;
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn tick_loop(engine: Arc<EngineState>) {
    loop {
        tokio::time::sleep(TICK_INTERVAL).await;
        engine.tick();
    }
}

fn routes(
    shared: Shared,
) -> impl Filter<Extract = (impl warp::Reply,), Error = std::convert::Infallible> + Clone + Send + Sync
{
    post_route("prefill", shared.clone(), start_prefill)
        .or(post_route("export", shared.clone(), export))
        .unify()
        .or(post_route("decode", shared.clone(), start_decode))
        .unify()
        .or(post_route("resume", shared.clone(), resume))
        .unify()
        .or(post_route("cancel", shared.clone(), cancel))
        .unify()
        .or(post_route("events", shared.clone(), events))
        .unify()
        .or(post_route("order", shared.clone(), admin))
        .unify()
        .or(get_route("requests", shared.clone(), requests))
        .unify()
        .or(get_route("load", shared.clone(), load))
        .unify()
        .or(get_route("counts", shared, counts))
        .unify()
        .recover(reject_json)
}

async fn start_prefill(shared: Shared, req: PrefillRequest) -> Response {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(prefill::run(shared.engine, req, tx));
    stream_reply(rx, NDJSON)
}

async fn export(shared: Shared, req: ExportRequest) -> Response {
    match prefill::export(shared.engine, req).await {
        Some(kv) => json_reply(&kv),
        None => json_status(410, &"the KV cache is no longer held; repeat the prefill"),
    }
}

async fn start_decode(shared: Shared, req: DecodeRequest) -> Response {
    // Runs in its own task, so that a client that disconnects doesn't abandon a half-started run.
    let start = tokio::spawn(async move {
        let started = decode::start(&shared.engine, &shared.client, &req).await;
        (shared, req, started)
    });
    let Ok((shared, req, started)) = start.await else {
        return json_status(500, &"the engine failed to start the run");
    };
    match started {
        Ok(()) => follow(shared, req.run, 0),
        Err(DecodeRejection::NoFreeSlot) => {
            json_status(429, &"all decode slots are in use; retry later")
        }
        Err(DecodeRejection::KvNotHeld) => {
            json_status(410, &"the KV cache is no longer held; repeat the prefill")
        }
        Err(DecodeRejection::DuplicateRun) => {
            json_status(409, &"this run ID was already used; resume the run")
        }
    }
}

async fn resume(shared: Shared, req: ResumeRequest) -> Response {
    let exists = shared.engine.tables.lock().sequences.contains_key(&req.run);
    match exists {
        true => follow(shared, req.run, req.from),
        false => json_status(404, &"unknown run; it is neither active nor kept for resuming"),
    }
}

fn follow(shared: Shared, run: String, from: usize) -> Response {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(decode::follow(shared.engine, run, from, tx));
    stream_reply(rx, NDJSON)
}

async fn cancel(shared: Shared, run: RunId) -> Response {
    json_reply(&decode::cancel(&shared.engine, &run.run))
}

async fn events(shared: Shared, since: EventsRequest) -> Response {
    let now = shared.engine.clock.now();
    let events = shared.engine.tables.lock().cache.events(since.after, now);
    json_reply(&events)
}

async fn admin(shared: Shared, req: AdminRequest) -> Response {
    let mut tables = shared.engine.tables.lock();
    if shared.engine.cfg.checks_fencing && req.fence < tables.max_fence {
        return json_status(409, &tables.max_fence);
    }
    tables.max_fence = tables.max_fence.max(req.fence);
    tables.orders.push(format!("{} {}", req.fence, req.what));
    json_reply(&tables.max_fence)
}

async fn requests(shared: Shared) -> Response {
    let runs = shared.engine.tables.lock().active.iter().cloned().collect();
    json_reply(&RunList { runs })
}

async fn load(shared: Shared) -> Response {
    json_reply(&shared.engine.lagged_load())
}

async fn counts(shared: Shared) -> Response {
    json_reply(&shared.engine.counts())
}
