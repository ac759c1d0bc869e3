//! The client.

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

/// Why a call to the store gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum StoreError {
    /// The store does not answer; nothing was written.
    #[display("the store does not answer; nothing was changed, try again later ({cause})")]
    Down {
        /// What went wrong.
        cause: HttpError,
    },
    /// A write may have taken effect, and the store cannot be asked.
    #[display("the store stopped answering; read the object back before trying again ({cause})")]
    OutcomeUnknown {
        /// What went wrong.
        cause: HttpError,
    },
    /// The store's answer was not understood.
    #[display("the store's answer was not understood ({cause})")]
    Answer {
        /// What was wrong.
        cause: String,
    },
}

/// What became of a conditional write.
#[derive(Clone, Debug, PartialEq)]
pub enum PutOutcome {
    /// It took effect.
    Done(StoredObject),
    /// Another version is held (`None`: no such object); nothing was changed.
    Conflict(Option<StoredObject>),
}

/// Calls made so far, by kind.
#[derive(Debug, Default)]
pub struct StoreCalls {
    /// Get and list.
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

/// The one way to the store. Cheap to clone.
#[derive(Clone, Debug)]
pub struct StoreClient {
    store: SocketAddr,
    http: HttpClient,
    calls: Arc<StoreCalls>,
}

impl StoreClient {
    /// A client of the store at `store`.
    pub fn new(store: SocketAddr) -> StoreClient {
        StoreClient { store, http: HttpClient::new(), calls: Arc::default() }
    }

    /// Calls made so far.
    pub fn calls(&self) -> &StoreCalls {
        &self.calls
    }

    /// Every object, with the store's revision.
    ///
    /// # Errors
    /// [`StoreError::Down`] when the store does not answer.
    pub async fn list(&self) -> Result<(u64, Vec<StoredObject>), StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        let call = ListCall { prefix: "" };
        let listing: Listing =
            self.http.post(self.store, "/list", &call, CALL_TIMEOUT).await.map_err(down)?;
        Ok((listing.revision, listing.objects))
    }

    /// One object; `None` when it was never written.
    ///
    /// # Errors
    /// [`StoreError::Down`] when the store does not answer.
    pub async fn get(&self, key: &str) -> Result<Option<StoredObject>, StoreError> {
        self.calls.reads.fetch_add(1, Ordering::Relaxed);
        match self.http.post(self.store, "/get", &GetCall { key }, CALL_TIMEOUT).await {
            Ok(object) => Ok(Some(object)),
            Err(HttpError::Status { status: 404, .. }) => Ok(None),
            Err(e) => Err(down(e)),
        }
    }

    /// Waits for changes after a revision; empty when none came in some seconds.
    ///
    /// # Errors
    /// [`StoreError::Down`] when the store does not answer.
    pub async fn watch(&self, after: u64) -> Result<Vec<StoredObject>, StoreError> {
        self.calls.watches.fetch_add(1, Ordering::Relaxed);
        let call = WatchCall { prefix: "", after };
        let listing: Listing =
            self.http.post(self.store, "/watch", &call, WATCH_TIMEOUT).await.map_err(down)?;
        Ok(listing.objects)
    }

    /// Writes `value` if the object has `expected_version` (0: not there yet). `mark` must be
    /// unique to this write; a lost reply is settled by looking for it.
    ///
    /// # Errors
    /// [`StoreError::Down`] when nothing was written, [`StoreError::OutcomeUnknown`] when that
    /// cannot be told.
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
            Err(HttpError::Status { status: 409, body, .. }) => conflict(mark, &body),
            Err(e @ (HttpError::Connect { .. } | HttpError::Status { .. })) => Err(down(e)),
            Err(cause) => self.settle(key, expected_version, mark, cause).await,
        }
    }

    /// Finds out whether a write whose reply was lost took effect.
    async fn settle(
        &self,
        key: &str,
        expected_version: u64,
        mark: &str,
        cause: HttpError,
    ) -> Result<PutOutcome, StoreError> {
        let held = self.get(key).await;
        match held {
            Ok(Some(object)) if object.mark == mark => Ok(PutOutcome::Done(object)),
            Ok(Some(object)) if object.version != expected_version => {
                Ok(PutOutcome::Conflict(Some(object)))
            }
            // The write may still be on its way.
            Ok(_) | Err(_) => Err(StoreError::OutcomeUnknown { cause }),
        }
    }
}

fn conflict(mark: &str, body: &str) -> Result<PutOutcome, StoreError> {
    let held: Option<StoredObject> =
        serde_json::from_str(body).map_err(|e| StoreError::Answer { cause: e.to_string() })?;
    match held {
        Some(object) if object.mark == mark => Ok(PutOutcome::Done(object)),
        held => Ok(PutOutcome::Conflict(held)),
    }
}

fn down(cause: HttpError) -> StoreError {
    StoreError::Down { cause }
}
