//! HTTP client of the object store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bulrushusher_http::{HttpClient, HttpError};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::StoredObject;

const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
const WATCH_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a call to the store failed.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum StoreError {
    /// The store is unavailable; nothing was written.
    #[display("the store is unavailable; nothing was changed, try again later ({cause})")]
    Unavailable {
        /// The failure of the HTTP call.
        cause: HttpError,
    },
    /// The reply to a write was lost, and reading the object back did not show whether the write
    /// took effect.
    #[display(
        "no reply from the store, the write may have taken effect; read the object back before \
         trying again ({cause})"
    )]
    OutcomeUnknown {
        /// The failure of the HTTP call.
        cause: HttpError,
    },
    /// The body of a conflict response could not be decoded.
    #[display("the store sent an invalid response; check its version ({cause})")]
    InvalidResponse {
        /// The decoding error.
        cause: String,
    },
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// The write took effect; the object as stored.
    Done(StoredObject),
    /// The stored object has another version (`None`: there is no object); nothing was changed.
    Conflict(Option<StoredObject>),
}

/// Counts of calls made, by kind.
#[derive(Debug, Default)]
pub struct StoreCalls {
    /// Gets and lists.
    pub reads: AtomicU64,
    /// Puts.
    pub writes: AtomicU64,
    /// Watches.
    pub watches: AtomicU64,
}

#[derive(Debug, Serialize)]
struct GetCall<'a> {
    key: &'a str,
}

#[derive(Debug, Serialize)]
struct ListCall<'a> {
    prefix: &'a str,
}

#[derive(Debug, Serialize)]
struct WatchCall<'a> {
    prefix: &'a str,
    after: u64,
}

#[derive(Debug, Serialize)]
struct PutCall<'a> {
    key: &'a str,
    expected_version: u64,
    mark: &'a str,
    value: &'a serde_json::Value,
}

#[derive(Debug, Deserialize)]
struct Listing {
    revision: u64,
    objects: Vec<StoredObject>,
}

/// Client of the object store. Cheap to clone; clones share the connection pool and counters.
#[derive(Clone, Debug)]
pub struct StoreClient {
    store: SocketAddr,
    http: HttpClient,
    calls: Arc<StoreCalls>,
}

impl StoreClient {
    /// Creates a client of the store at address `store`.
    pub fn new(store: SocketAddr) -> StoreClient {
        StoreClient { store, http: HttpClient::new(), calls: Arc::default() }
    }

    /// Counts of calls made by this client and its clones.
    pub fn calls(&self) -> &StoreCalls {
        &self.calls
    }

    /// Reads all objects, with the store's revision.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] when the call fails.
    pub async fn list(&self) -> Result<(u64, Vec<StoredObject>), StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let call = ListCall { prefix: "" };
        let listing: Listing =
            self.http.post(self.store, "/list", &call, CALL_TIMEOUT).await.map_err(unavailable)?;
        Ok((listing.revision, listing.objects))
    }

    /// Reads one object; `None` when it was never written.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] when the call fails.
    pub async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        match self.http.post(self.store, "/get", &GetCall { key }, CALL_TIMEOUT).await {
            Ok(object) => Ok(Some(object)),
            Err(HttpError::Status { status: 404, .. }) => Ok(None),
            Err(e) => Err(unavailable(e)),
        }
    }

    /// Waits for changes after revision `after`; empty when there were none before the store ended
    /// the wait.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] when the call fails.
    pub async fn watch(&self, after: u64) -> Result<Vec<StoredObject>, StoreError> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        let call = WatchCall { prefix: "", after };
        let listing: Listing = self
            .http
            .post(self.store, "/watch", &call, WATCH_TIMEOUT)
            .await
            .map_err(unavailable)?;
        Ok(listing.objects)
    }

    /// Writes `value` if the object has `expected_version` (0: it must not exist yet). `mark` must
    /// be unique to this write: after a lost reply it shows whether the write took effect.
    ///
    /// # Errors
    /// [`StoreError::Unavailable`] when nothing was written; [`StoreError::OutcomeUnknown`] when
    /// the write may or may not have taken effect; [`StoreError::InvalidResponse`] when the body of
    /// a conflict response cannot be decoded.
    pub async fn put(
        &self,
        key: &str,
        expected_version: u64,
        mark: &str,
        value: &serde_json::Value,
    ) -> Result<PutOutcome, StoreError> {
        self.calls.writes.fetch_add(1, Ordering::Relaxed);
        let call = PutCall { key, expected_version, mark, value };
        match self.http.post(self.store, "/put", &call, CALL_TIMEOUT).await {
            Ok(object) => Ok(PutOutcome::Done(object)),
            Err(HttpError::Status { status: 409, body, .. }) => resolve_conflict(mark, &body),
            Err(e @ (HttpError::Connect { .. } | HttpError::Status { .. })) => Err(unavailable(e)),
            Err(cause) => self.resolve_lost_reply(key, expected_version, mark, cause).await,
        }
    }

    /// Reads the object back to find out whether a write whose reply was lost took effect.
    async fn resolve_lost_reply(
        &self,
        key: &str,
        expected_version: u64,
        mark: &str,
        cause: HttpError,
    ) -> Result<PutOutcome, StoreError> {
        let stored = self.get(key).await;
        match stored {
            Ok(Some(object)) if object.mark == mark => Ok(PutOutcome::Done(object)),
            Ok(Some(object)) if object.version != expected_version => {
                Ok(PutOutcome::Conflict(Some(object)))
            }
            // The write may still be in flight.
            Ok(_) | Err(_) => Err(StoreError::OutcomeUnknown { cause }),
        }
    }
}

fn resolve_conflict(mark: &str, body: &str) -> Result<PutOutcome, StoreError> {
    let stored: Option<StoredObject> = serde_json::from_str(body)
        .map_err(|e| StoreError::InvalidResponse { cause: e.to_string() })?;
    match stored {
        // The stored version is this write itself: an earlier copy of the call took effect.
        Some(object) if object.mark == mark => Ok(PutOutcome::Done(object)),
        stored => Ok(PutOutcome::Conflict(stored)),
    }
}

fn unavailable(cause: HttpError) -> StoreError {
    StoreError::Unavailable { cause }
}
