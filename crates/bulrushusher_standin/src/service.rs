//! A stand-in plain service: answers every call after a fixed time and counts runs per request key.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bulrushusher_http::{HttpServer, get_route, json_reply, serve};
use bulrushusher_time::Millis;
use bytes::Bytes;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use warp::http::{HeaderMap, StatusCode};
use warp::path::FullPath;
use warp::reply::Response;
use warp::{Filter, Reply};

use crate::engine::{Counts, RunCount};
use crate::prompt;

/// Header that carries the request key.
pub const KEY_HEADER: &str = "x-request-key";

/// Capacity and timing of a stand-in service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Duration of one call.
    pub call_duration: Millis,
    /// Maximum number of concurrent calls; further calls are queued.
    pub slots: usize,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig { call_duration: Millis(20), slots: 8 }
    }
}

/// Body of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The mark found in the call's body or query.
    pub mark: String,
    /// Path of the call.
    pub path: String,
}

#[derive(Debug)]
struct ServiceState {
    cfg: ServiceConfig,
    keys: Mutex<BTreeMap<String, RunCount>>,
    slots: tokio::sync::Semaphore,
    backoff: Mutex<Backoff>,
}

/// Rejection of all calls until a given time, and the number of calls rejected.
#[derive(Debug, Default)]
struct Backoff {
    until: Option<Instant>,
    rejected: usize,
}

/// A running stand-in service.
#[derive(Debug)]
pub struct PlainService {
    /// Address on which the service listens.
    pub addr: SocketAddr,
    state: Arc<ServiceState>,
    server: HttpServer,
}

impl PlainService {
    /// Starts a service on `addr`; port 0 picks a free port.
    ///
    /// # Errors
    /// The I/O error of binding the listener, such as "address in use".
    pub fn start(addr: SocketAddr, cfg: ServiceConfig) -> std::io::Result<PlainService> {
        let slots = tokio::sync::Semaphore::new(cfg.slots);
        let state = Arc::new(ServiceState {
            cfg,
            keys: Mutex::default(),
            slots,
            backoff: Mutex::default(),
        });
        let server = serve(addr, routes(Arc::clone(&state)))?;
        Ok(PlainService { addr: server.addr, state, server })
    }

    /// The service's counters.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Rejects all calls for `duration`, with status 503 and a `retry-after` header.
    pub fn reject_for(&self, duration: Duration) {
        self.state.backoff.lock().until = Some(Instant::now() + duration);
    }

    /// Number of calls rejected.
    pub fn rejected_calls(&self) -> usize {
        self.state.backoff.lock().rejected
    }

    /// The service's configuration.
    pub fn config(&self) -> &ServiceConfig {
        &self.state.cfg
    }

    /// Stops the service once the open calls have ended.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl ServiceState {
    /// If calls are rejected now, counts a rejection and returns the remaining duration.
    fn reject(&self) -> Option<Duration> {
        let mut backoff = self.backoff.lock();
        let remaining = backoff.until?.checked_duration_since(Instant::now())?;
        backoff.rejected += 1;
        Some(remaining)
    }

    fn counts(&self) -> Counts {
        let held_places = self.cfg.slots - self.slots.available_permits();
        Counts { keys: self.keys.lock().clone(), held_places, ..Counts::default() }
    }
}

fn routes(
    state: Arc<ServiceState>,
) -> impl Filter<Extract = (impl Reply,), Error = Infallible> + Clone + Send + Sync {
    let calls = Arc::clone(&state);
    let call = warp::any()
        .and(warp::path::full())
        .and(warp::query::raw().or(warp::any().map(String::new)).unify())
        .and(warp::header::headers_cloned())
        .and(warp::body::bytes())
        .then(move |path: FullPath, query: String, headers: HeaderMap, body: Bytes| {
            call(Arc::clone(&calls), path, query, headers, body)
        });
    let counts = get_route("counts", state, |state: Arc<ServiceState>| async move {
        json_reply(&state.counts())
    });
    counts.or(call).unify().recover(bulrushusher_http::reject_json)
}

async fn call(
    state: Arc<ServiceState>,
    path: FullPath,
    query: String,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    if let Some(remaining) = state.reject() {
        let rejection = warp::reply::with_status("busy", StatusCode::SERVICE_UNAVAILABLE);
        let seconds = remaining.as_secs_f64().to_string();
        return warp::reply::with_header(rejection, "retry-after", seconds).into_response();
    }
    let key = headers.get(KEY_HEADER).and_then(|v| v.to_str().ok()).unwrap_or("unkeyed");
    state.keys.lock().entry(key.to_owned()).or_default().runs += 1;
    let text = String::from_utf8_lossy(&body).into_owned();
    let marked = if text.contains('#') { text } else { query.replace("mark=", "#") };
    let answer =
        ServiceAnswer { mark: prompt::mark(&marked).to_owned(), path: path.as_str().to_owned() };
    // Runs in its own task, so that a started call completes even if the client disconnects.
    let task = tokio::spawn(async move {
        let permit = state.slots.acquire().await;
        tokio::time::sleep(state.cfg.call_duration.duration()).await;
        drop(permit);
    });
    task.await.ok();
    json_reply(&answer)
}
