//! A stand-in plain service: answers any call after a fixed time and counts the runs per key.

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

/// The header that carries the request's key.
pub const KEY_HEADER: &str = "x-request-key";

/// How a stand-in service behaves.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Time of one call.
    pub call_time: Millis,
    /// Calls in work at once; more wait.
    pub places: usize,
}

impl Default for ServiceConfig {
    fn default() -> ServiceConfig {
        ServiceConfig { call_time: Millis(20), places: 8 }
    }
}

/// What the service answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceAnswer {
    /// The mark found in the call.
    pub mark: String,
    /// The path that was called.
    pub path: String,
}

#[derive(Debug)]
struct ServiceState {
    cfg: ServiceConfig,
    keys: Mutex<BTreeMap<String, RunCount>>,
    places: tokio::sync::Semaphore,
    refuses: Mutex<Refuses>,
}

/// Calls that a service refuses, with the time until which it wants none.
#[derive(Debug, Default)]
struct Refuses {
    until: Option<Instant>,
    refused: usize,
}

/// A running stand-in service.
#[derive(Debug)]
pub struct PlainService {
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<ServiceState>,
    served: HttpServer,
}

impl PlainService {
    /// Starts a service on `addr`; port 0 takes any.
    ///
    /// # Errors
    /// What the system says, such as "address in use".
    pub fn start(addr: SocketAddr, cfg: ServiceConfig) -> std::io::Result<PlainService> {
        let places = tokio::sync::Semaphore::new(cfg.places);
        let state = Arc::new(ServiceState {
            cfg,
            keys: Mutex::default(),
            places,
            refuses: Mutex::default(),
        });
        let served = serve(addr, routes(Arc::clone(&state)))?;
        Ok(PlainService { addr: served.addr, state, served })
    }

    /// The service's own records.
    pub fn counts(&self) -> Counts {
        self.state.counts()
    }

    /// Refuses all calls for that long, and says so.
    pub fn refuse_for(&self, length: Duration) {
        self.state.refuses.lock().until = Some(Instant::now() + length);
    }

    /// Calls that it refused.
    pub fn refused(&self) -> usize {
        self.state.refuses.lock().refused
    }

    /// Its settings.
    pub fn config(&self) -> &ServiceConfig {
        &self.state.cfg
    }

    /// Stops listening once the open calls have ended.
    pub async fn stop(self) {
        self.served.stop().await;
    }
}

impl ServiceState {
    /// How long a call is refused that comes now; counts it.
    fn refused_for(&self) -> Option<Duration> {
        let mut refuses = self.refuses.lock();
        let left = refuses.until?.checked_duration_since(Instant::now())?;
        refuses.refused += 1;
        Some(left)
    }

    fn counts(&self) -> Counts {
        let held_places = self.cfg.places - self.places.available_permits();
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
    if let Some(left) = state.refused_for() {
        let refusal = warp::reply::with_status("busy", StatusCode::SERVICE_UNAVAILABLE);
        let seconds = left.as_secs_f64().to_string();
        return warp::reply::with_header(refusal, "retry-after", seconds).into_response();
    }
    let key = headers.get(KEY_HEADER).and_then(|v| v.to_str().ok()).unwrap_or("unkeyed");
    state.keys.lock().entry(key.to_owned()).or_default().runs += 1;
    let text = String::from_utf8_lossy(&body).into_owned();
    let marked = if text.contains('#') { text } else { query.replace("mark=", "#") };
    let answer =
        ServiceAnswer { mark: prompt::mark(&marked).to_owned(), path: path.as_str().to_owned() };
    // A task of its own: a call once begun goes on when the caller goes away.
    let work = tokio::spawn(async move {
        let permit = state.places.acquire().await;
        tokio::time::sleep(state.cfg.call_time.duration()).await;
        drop(permit);
    });
    work.await.ok();
    json_reply(&answer)
}
