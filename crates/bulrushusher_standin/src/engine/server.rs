//! The engine's listener and handle.

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

use super::decode::{self, Refused};
use super::state::{EngineState, Faults};
use super::{
    Counts, DecodeOrder, EngineConfig, EngineOrder, EventsSince, ExportOrder, PrefillOrder,
    ResumeOrder, RunName, Runs, prefill,
};

const STREAM_BUFFER: usize = 64;
const TICK: Duration = Duration::from_millis(20);
const NDJSON: &str = "application/x-ndjson";

#[derive(Clone)]
struct Shared {
    engine: Arc<EngineState>,
    client: HttpClient,
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct Engine {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<EngineState>,
    served: HttpServer,
    tasks: Vec<JoinHandle<()>>,
}

impl Engine {
    /// Starts an engine on `addr`; port 0 takes any.
    ///
    /// # Errors
    /// What the system says, such as "address in use".
    pub fn start(addr: SocketAddr, cfg: EngineConfig) -> std::io::Result<Engine> {
        let state = Arc::new(EngineState::new(cfg));
        let shared = Shared { engine: Arc::clone(&state), client: HttpClient::new() };
        let served = serve(addr, routes(shared))?;
        let tasks = vec![
            tokio::spawn(decode::step_loop(Arc::clone(&state))),
            tokio::spawn(tick_loop(Arc::clone(&state))),
        ];
        Ok(Engine { addr: served.addr, state, served, tasks })
    }

    /// The engine's own records.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Its settings.
    pub fn config(&self) -> &EngineConfig {
        &self.state.cfg
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.tables.lock().faults = faults;
    }

    /// Waits until told, then stops listening once the open streams have ended.
    pub async fn stop(self) {
        self.served.stop().await;
        for task in &self.tasks {
            task.abort();
        }
    }
}

async fn tick_loop(engine: Arc<EngineState>) {
    loop {
        tokio::time::sleep(TICK).await;
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
        .or(post_route("order", shared.clone(), order))
        .unify()
        .or(get_route("requests", shared.clone(), requests))
        .unify()
        .or(get_route("load", shared.clone(), load))
        .unify()
        .or(get_route("counts", shared, counts))
        .unify()
        .recover(reject_json)
}

async fn start_prefill(shared: Shared, order: PrefillOrder) -> Response {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(prefill::run(shared.engine, order, tx));
    stream_reply(rx, NDJSON)
}

async fn export(shared: Shared, order: ExportOrder) -> Response {
    match prefill::export(shared.engine, order).await {
        Some(kv) => json_reply(&kv),
        None => json_status(410, &"the KV cache is gone; prefill again"),
    }
}

async fn start_decode(shared: Shared, order: DecodeOrder) -> Response {
    // A task of its own: a caller that goes away must not leave a half-made place.
    let begin = tokio::spawn(async move {
        let begun = decode::begin(&shared.engine, &shared.client, &order).await;
        (shared, order, begun)
    });
    let Ok((shared, order, begun)) = begin.await else {
        return json_status(500, &"the engine failed");
    };
    match begun {
        Ok(()) => follow(shared, order.run, 0),
        Err(Refused::Full) => json_status(429, &"every decode place is taken"),
        Err(Refused::KvGone) => json_status(410, &"the KV cache is gone; prefill again"),
        Err(Refused::SameRun) => json_status(409, &"this run was ordered before; resume it"),
    }
}

async fn resume(shared: Shared, order: ResumeOrder) -> Response {
    let known = shared.engine.tables.lock().sequences.contains_key(&order.run);
    match known {
        true => follow(shared, order.run, order.from),
        false => json_status(404, &"no such run"),
    }
}

fn follow(shared: Shared, run: String, from: usize) -> Response {
    let (tx, rx) = mpsc::channel(STREAM_BUFFER);
    tokio::spawn(decode::follow(shared.engine, run, from, tx));
    stream_reply(rx, NDJSON)
}

async fn cancel(shared: Shared, run: RunName) -> Response {
    json_reply(&decode::cancel(&shared.engine, &run.run))
}

async fn events(shared: Shared, since: EventsSince) -> Response {
    let now = shared.engine.clock.now();
    let events = shared.engine.tables.lock().cache.events(since.after, now);
    json_reply(&events)
}

async fn order(shared: Shared, order: EngineOrder) -> Response {
    let mut tables = shared.engine.tables.lock();
    if shared.engine.cfg.checks_fencing && order.fence < tables.highest_fence {
        return json_status(409, &tables.highest_fence);
    }
    tables.highest_fence = tables.highest_fence.max(order.fence);
    tables.orders.push(format!("{} {}", order.fence, order.what));
    json_reply(&tables.highest_fence)
}

async fn requests(shared: Shared) -> Response {
    let runs = shared.engine.tables.lock().active.iter().cloned().collect();
    json_reply(&Runs { runs })
}

async fn load(shared: Shared) -> Response {
    json_reply(&shared.engine.lagged_load())
}

async fn counts(shared: Shared) -> Response {
    json_reply(&shared.engine.counts())
}
