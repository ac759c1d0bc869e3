//! A stand-in for the platform's object API: versioned objects, conditional updates, watches and
//! call counts.
//!
//! Protocol, HTTP/JSON:
//! - `POST /get` [`GetRequest`] → [`Object`], or 404.
//! - `POST /list` [`ListRequest`] → [`Listing`].
//! - `POST /put` [`PutRequest`] → [`Object`], or 409 with the current [`Object`], if any, on a
//!   version conflict; 413 if the value exceeds 1 MiB.
//! - `POST /watch` [`WatchRequest`] → [`Listing`] of the objects changed after a revision; empty
//!   if none changes within 10 s.
//! - `GET /calls` → [`CallCounts`]; `POST /faults` [`StoreFaults`].

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_http::{
    HttpServer, get_route, json_reply, json_status, post_route, reject_json, serve,
};
use bulrushusher_time::Millis;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use warp::Filter;
use warp::reply::Response;

/// Maximum size of a value, in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// How long a watch waits for a change.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);

/// A versioned object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Key of the object, such as `closing/november`.
    pub key: String,
    /// Number of writes to the object.
    pub version: u64,
    /// The store's revision at the object's last write.
    pub revision: u64,
    /// The mark of the last write; see [`PutRequest::mark`].
    pub mark: String,
    /// Value of the object.
    pub value: serde_json::Value,
}

/// Request for one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetRequest {
    /// Key of the object.
    pub key: String,
}

/// Request for all objects whose key has a prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListRequest {
    /// Prefix of the keys.
    pub prefix: String,
}

/// Request for the objects that changed after a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// The last revision that the client has received.
    pub after: u64,
}

/// Request to write an object if its current version is the expected one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutRequest {
    /// Key of the object.
    pub key: String,
    /// The version to be replaced; 0 creates the object.
    pub expected_version: u64,
    /// Text unique to this write, by which the writer recognises it after a lost reply.
    pub mark: String,
    /// The new value.
    pub value: serde_json::Value,
}

/// Objects, with the store's revision at the time of the read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision.
    pub revision: u64,
    /// The objects that match the request.
    pub objects: Vec<Object>,
}

/// Number of calls received, by kind. A watch counts once, however long it waits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Get and list calls.
    pub reads: u64,
    /// Put calls.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
}

/// Faults that a test can inject.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StoreFaults {
    /// Every call is rejected with status 503.
    pub outage: bool,
    /// Number of further writes that are applied but never answered.
    pub lose_replies: u32,
    /// Latency added to every call.
    pub slow: Millis,
}

#[derive(Debug, Default)]
struct Tables {
    objects: BTreeMap<String, Object>,
    revision: u64,
    counts: CallCounts,
    faults: StoreFaults,
}

#[derive(Debug)]
struct StoreState {
    tables: Mutex<Tables>,
    changed: watch::Sender<u64>,
}

/// A running stand-in store.
#[derive(Debug)]
pub struct Store {
    /// Address on which the store listens.
    pub addr: SocketAddr,
    state: Arc<StoreState>,
    server: HttpServer,
}

impl Store {
    /// Starts a store on `addr`; port 0 picks a free port.
    ///
    /// # Errors
    /// The I/O error of binding the listener, such as "address in use".
    pub fn start(addr: SocketAddr) -> std::io::Result<Store> {
        let state =
            Arc::new(StoreState { tables: Mutex::default(), changed: watch::Sender::new(0) });
        let server = serve(addr, routes(Arc::clone(&state)))?;
        Ok(Store { addr: server.addr, state, server })
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.set_faults(faults);
    }

    /// Number of calls received so far.
    pub fn counts(&self) -> CallCounts {
        self.state.tables.lock().counts
    }

    /// Stops the store once the open calls have ended.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

impl StoreState {
    fn set_faults(&self, faults: StoreFaults) {
        self.tables.lock().faults = faults;
        // Wakes pending watches, so that an outage fails them at once.
        self.changed.send_modify(|_| {});
    }

    /// Counts a call and applies the injected latency and outage to it.
    async fn apply_faults(&self, count: fn(&mut CallCounts)) -> Option<Response> {
        let faults = {
            let mut tables = self.tables.lock();
            count(&mut tables.counts);
            tables.faults
        };
        tokio::time::sleep(faults.slow.duration()).await;
        faults.outage.then(|| json_status(503, &"the store is unavailable (injected outage)"))
    }

    fn put(&self, req: PutRequest) -> Result<Object, Option<Object>> {
        let mut tables = self.tables.lock();
        let current = tables.objects.get(&req.key);
        let version = current.map_or(0, |object| object.version);
        if version != req.expected_version {
            return Err(current.cloned());
        }
        tables.revision += 1;
        let object = Object {
            key: req.key.clone(),
            version: version + 1,
            revision: tables.revision,
            mark: req.mark,
            value: req.value,
        };
        tables.objects.insert(req.key, object.clone());
        self.changed.send_replace(tables.revision);
        Ok(object)
    }

    fn list(&self, prefix: &str, after: u64) -> Listing {
        let tables = self.tables.lock();
        let matches = |o: &&Object| o.key.starts_with(prefix) && o.revision > after;
        let objects = tables.objects.values().filter(matches).cloned().collect();
        Listing { revision: tables.revision, objects }
    }

    fn take_lost_reply(&self) -> bool {
        let mut tables = self.tables.lock();
        let lose = tables.faults.lose_replies > 0;
        tables.faults.lose_replies = tables.faults.lose_replies.saturating_sub(1);
        lose
    }
}

fn routes(
    state: Arc<StoreState>,
) -> impl Filter<Extract = (impl warp::Reply,), Error = Infallible> + Clone + Send + Sync {
    post_route("get", Arc::clone(&state), get)
        .or(post_route("list", Arc::clone(&state), list))
        .unify()
        .or(post_route("put", Arc::clone(&state), put))
        .unify()
        .or(post_route("watch", Arc::clone(&state), watch_changes))
        .unify()
        .or(post_route("faults", Arc::clone(&state), set_faults))
        .unify()
        .or(get_route("calls", state, calls))
        .unify()
        .recover(reject_json)
}

async fn get(state: Arc<StoreState>, req: GetRequest) -> Response {
    if let Some(rejection) = state.apply_faults(|counts| counts.reads += 1).await {
        return rejection;
    }
    match state.tables.lock().objects.get(&req.key) {
        Some(object) => json_reply(object),
        None => json_status(404, &"no object has this key"),
    }
}

async fn list(state: Arc<StoreState>, req: ListRequest) -> Response {
    match state.apply_faults(|counts| counts.reads += 1).await {
        Some(rejection) => rejection,
        None => json_reply(&state.list(&req.prefix, 0)),
    }
}

async fn put(state: Arc<StoreState>, req: PutRequest) -> Response {
    if let Some(rejection) = state.apply_faults(|counts| counts.writes += 1).await {
        return rejection;
    }
    if req.value.to_string().len() > MAX_VALUE_BYTES {
        return json_status(413, &"the value exceeds the limit of 1 MiB");
    }
    let done = state.put(req);
    if done.is_ok() && state.take_lost_reply() {
        std::future::pending::<()>().await;
    }
    match done {
        Ok(object) => json_reply(&object),
        Err(current) => json_status(409, &current),
    }
}

async fn watch_changes(state: Arc<StoreState>, req: WatchRequest) -> Response {
    let mut changed = state.changed.subscribe();
    if let Some(rejection) = state.apply_faults(|counts| counts.watches += 1).await {
        return rejection;
    }
    let deadline = tokio::time::Instant::now() + WATCH_TIMEOUT;
    loop {
        if state.tables.lock().faults.outage {
            return json_status(503, &"the store is unavailable (injected outage)");
        }
        let listing = state.list(&req.prefix, req.after);
        if !listing.objects.is_empty() {
            return json_reply(&listing);
        }
        let woken = tokio::time::timeout_at(deadline, changed.changed()).await;
        if !matches!(woken, Ok(Ok(()))) {
            return json_reply(&state.list(&req.prefix, req.after));
        }
    }
}

async fn set_faults(state: Arc<StoreState>, faults: StoreFaults) -> Response {
    state.set_faults(faults);
    json_reply(&"ok")
}

async fn calls(state: Arc<StoreState>) -> Response {
    let counts = state.tables.lock().counts;
    json_reply(&counts)
}
