//! A stand-in for the platform's object API: versions, conditional updates, watches, call counts.
//!
//! Protocol, all `POST` with JSON: `/get` [`GetCall`] → [`Object`] or 404; `/list` [`ListCall`] →
//! [`Listing`]; `/put` [`PutCall`] → [`Object`], or 409 with the [`Object`] held; `/watch`
//! [`WatchCall`] → [`Listing`] of what changed after a revision, empty when nothing did in time.
//! `GET /calls` → [`CallCounts`]; `POST /faults` [`StoreFaults`].

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

/// The largest value, in bytes.
const MAX_VALUE: usize = 1 << 20;
/// The longest time a watch waits.
const MAX_WATCH: Duration = Duration::from_secs(10);

/// An object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Its key, such as `closing/november`.
    pub key: String,
    /// How often it was written.
    pub version: u64,
    /// The store's revision at its last write.
    pub revision: u64,
    /// The mark of its last writer.
    pub mark: String,
    /// Its value.
    pub value: serde_json::Value,
}

/// Asks for one object.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct GetCall {
    /// Its key.
    pub key: String,
}

/// Asks for all objects whose key starts with a text.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListCall {
    /// The text.
    pub prefix: String,
}

/// Asks for what changes after a revision.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WatchCall {
    /// Keys start with this.
    pub prefix: String,
    /// The last revision seen.
    pub after: u64,
}

/// Writes an object if it has the expected version; 0 for "not there yet".
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PutCall {
    /// Its key.
    pub key: String,
    /// The version that the writer saw.
    pub expected_version: u64,
    /// A text unique to this write, to recognise it after a lost reply.
    pub mark: String,
    /// The new value.
    pub value: serde_json::Value,
}

/// Objects, and the store's revision when they were read.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Listing {
    /// The store's revision.
    pub revision: u64,
    /// The objects.
    pub objects: Vec<Object>,
}

/// Calls served, by kind. A waiting watch counts as one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads: get and list.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
}

/// Faults that a test switches on and off.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct StoreFaults {
    /// Every call is refused.
    pub outage: bool,
    /// So many writes take effect and then lose their reply.
    pub lose_replies: u32,
    /// Every call takes this much longer.
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
    /// Where it listens.
    pub addr: SocketAddr,
    state: Arc<StoreState>,
    served: HttpServer,
}

impl Store {
    /// Starts a store on `addr`; port 0 takes any.
    ///
    /// # Errors
    /// What the system says, such as "address in use".
    pub fn start(addr: SocketAddr) -> std::io::Result<Store> {
        let state =
            Arc::new(StoreState { tables: Mutex::default(), changed: watch::Sender::new(0) });
        let served = serve(addr, routes(Arc::clone(&state)))?;
        Ok(Store { addr: served.addr, state, served })
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.state.set_faults(faults);
    }

    /// Calls served so far.
    pub fn counts(&self) -> CallCounts {
        self.state.tables.lock().counts
    }

    /// Stops listening once the open calls have ended.
    pub async fn stop(self) {
        self.served.stop().await;
    }
}

impl StoreState {
    fn set_faults(&self, faults: StoreFaults) {
        self.tables.lock().faults = faults;
        // Wakes the waiting watches, so that an outage ends them.
        self.changed.send_modify(|_| {});
    }

    /// Delays or refuses a call as the faults say, and counts it.
    async fn admit(&self, count: fn(&mut CallCounts)) -> Option<Response> {
        let faults = {
            let mut tables = self.tables.lock();
            count(&mut tables.counts);
            tables.faults
        };
        tokio::time::sleep(faults.slow.duration()).await;
        faults.outage.then(|| json_status(503, &"the store is down"))
    }

    fn put(&self, call: PutCall) -> Result<Object, Option<Object>> {
        let mut tables = self.tables.lock();
        let held = tables.objects.get(&call.key);
        let version = held.map_or(0, |object| object.version);
        if version != call.expected_version {
            return Err(held.cloned());
        }
        tables.revision += 1;
        let object = Object {
            key: call.key.clone(),
            version: version + 1,
            revision: tables.revision,
            mark: call.mark,
            value: call.value,
        };
        tables.objects.insert(call.key, object.clone());
        self.changed.send_replace(tables.revision);
        Ok(object)
    }

    fn list(&self, prefix: &str, after: u64) -> Listing {
        let tables = self.tables.lock();
        let wanted = |o: &&Object| o.key.starts_with(prefix) && o.revision > after;
        let objects = tables.objects.values().filter(wanted).cloned().collect();
        Listing { revision: tables.revision, objects }
    }

    fn lose_reply(&self) -> bool {
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

async fn get(state: Arc<StoreState>, call: GetCall) -> Response {
    if let Some(refusal) = state.admit(|counts| counts.reads += 1).await {
        return refusal;
    }
    match state.tables.lock().objects.get(&call.key) {
        Some(object) => json_reply(object),
        None => json_status(404, &"no such object"),
    }
}

async fn list(state: Arc<StoreState>, call: ListCall) -> Response {
    match state.admit(|counts| counts.reads += 1).await {
        Some(refusal) => refusal,
        None => json_reply(&state.list(&call.prefix, 0)),
    }
}

async fn put(state: Arc<StoreState>, call: PutCall) -> Response {
    if let Some(refusal) = state.admit(|counts| counts.writes += 1).await {
        return refusal;
    }
    if call.value.to_string().len() > MAX_VALUE {
        return json_status(413, &"a value has at most 1 MiB");
    }
    let done = state.put(call);
    if done.is_ok() && state.lose_reply() {
        std::future::pending::<()>().await;
    }
    match done {
        Ok(object) => json_reply(&object),
        Err(held) => json_status(409, &held),
    }
}

async fn watch_changes(state: Arc<StoreState>, call: WatchCall) -> Response {
    let mut changed = state.changed.subscribe();
    if let Some(refusal) = state.admit(|counts| counts.watches += 1).await {
        return refusal;
    }
    let end = tokio::time::Instant::now() + MAX_WATCH;
    loop {
        if state.tables.lock().faults.outage {
            return json_status(503, &"the store is down");
        }
        let listing = state.list(&call.prefix, call.after);
        if !listing.objects.is_empty() {
            return json_reply(&listing);
        }
        let waited = tokio::time::timeout_at(end, changed.changed()).await;
        if !matches!(waited, Ok(Ok(()))) {
            return json_reply(&state.list(&call.prefix, call.after));
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
