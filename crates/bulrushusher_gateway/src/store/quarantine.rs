//! Persists crashes and quarantined requests in the store, for gateways that start after all others
//! have ended.
//!
//! Peers report to each other at once. The store is read at start and when a request is first
//! suspected, since a gateway that receives no peer reports gets the entries only there.

use std::sync::Arc;

use bulrushusher_report::GatewayMetrics;
use bulrushusher_routing::{CrashKey, CrashUpdate, KeySet, Quarantined, RequestDigest, Suspect};
use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

use crate::dialect::{PlatformStore, RecordWrite};
use crate::shared::SharedState;
use crate::store::{CALL_TIMEOUT, RETRY_DELAY, parse_record};

/// Name of the record in the store.
const RECORD: &str = "quarantine";

/// Maximum number of entries and of suspects in the record, which bounds its size.
const MAX_STORED: usize = 256;

/// A whole request in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRequest {
    digest: RequestDigest,
    since_ms: Millis,
    #[serde(default)]
    crashes: u32,
}

/// Contents of the record. Gateways that know whole requests only read and keep `requests`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantineRecord {
    /// Whole requests in quarantine.
    requests: Vec<StoredRequest>,
    /// Parts of prompts in quarantine.
    #[serde(default)]
    parts: Vec<Quarantined>,
    /// Parts of prompts that have crashed runners.
    #[serde(default)]
    suspects: Vec<Suspect>,
}

impl From<QuarantineRecord> for CrashUpdate {
    fn from(record: QuarantineRecord) -> CrashUpdate {
        let requests = record.requests.into_iter().map(|it| Quarantined {
            keys: KeySet::from(CrashKey::Request(it.digest)),
            since: it.since_ms,
            crashes: it.crashes,
        });
        CrashUpdate {
            suspects: record.suspects,
            quarantined: requests.chain(record.parts).collect(),
            cleared: Vec::new(),
        }
    }
}

impl From<CrashUpdate> for QuarantineRecord {
    fn from(update: CrashUpdate) -> QuarantineRecord {
        let mut record = QuarantineRecord { suspects: update.suspects, ..Default::default() };
        for entry in update.quarantined {
            match entry.keys.sole() {
                Some(CrashKey::Request(digest)) => {
                    let (since_ms, crashes) = (entry.since, entry.crashes);
                    record.requests.push(StoredRequest { digest, since_ms, crashes });
                }
                _ => record.parts.push(entry),
            }
        }
        record
    }
}

/// The task that reads and writes the record.
#[derive(Debug)]
pub(crate) struct QuarantineKeeper<S> {
    pub store: S,
    pub shared: Arc<SharedState>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> QuarantineKeeper<S> {
    /// Reads and writes until dropped.
    pub(crate) async fn run(self) {
        let mut restores = self.shared.store_restores();
        loop {
            while let Err(cause) = self.sync().await {
                self.metrics.record_store_call("quarantine", "failed");
                log::info!("quarantine: record sync failed, retrying cause=\"{cause}\"");
                tokio::time::sleep(RETRY_DELAY.duration()).await;
            }
            tokio::select! {
                () = self.shared.quarantine_due.notified() => {}
                // Never closed: `self` holds the sender.
                _ = restores.changed() => self.shared.rewrite_crashes(),
            }
        }
    }

    /// Applies the record, and adds what this gateway has found.
    async fn sync(&self) -> Result<(), String> {
        let record = self.store.read_record(RECORD, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        self.metrics.record_store_call("quarantine", "read");
        let (revision, stored) = match record {
            Some(record) => {
                let parsed = parse_record::<QuarantineRecord>(RECORD, record.value);
                (Some(record.revision), CrashUpdate::from(parsed))
            }
            None => (None, CrashUpdate::default()),
        };
        let added = self.shared.apply_stored_crashes(&stored);
        if added > 0 || !stored.suspects.is_empty() {
            log::info!(
                "quarantine: read from the store learned={added} suspects={}",
                stored.suspects.len()
            );
        }
        let unwritten = self.shared.unwritten_crashes();
        let changed = merge_stored(stored.clone(), &unwritten);
        if changed != stored {
            self.write(changed, revision).await?;
        }
        self.shared.mark_crashes_written(&unwritten);
        Ok(())
    }

    async fn write(&self, changed: CrashUpdate, revision: Option<u64>) -> Result<(), String> {
        let (entries, suspects) = (changed.quarantined.len(), changed.suspects.len());
        let value = serde_json::to_value(QuarantineRecord::from(changed));
        let value = value.map_err(|e| e.to_string())?;
        let written = self.store.write_record(RECORD, value, revision, CALL_TIMEOUT).await;
        match written.map_err(|e| e.to_string())? {
            RecordWrite::Written(revision) => {
                self.metrics.record_store_call("quarantine", "written");
                log::info!(
                    "quarantine: written requests={entries} suspects={suspects} \
                     revision={revision}"
                );
                Ok(())
            }
            RecordWrite::Conflict => Err("another gateway wrote the record first".to_owned()),
        }
    }
}

/// The record's contents with an update. Expired entries are replaced once there are too many.
fn merge_stored(stored: CrashUpdate, update: &CrashUpdate) -> CrashUpdate {
    let mut merged = stored;
    let is_cleared = |key: &CrashKey| update.cleared.contains(key);
    merged.suspects.retain(|it| !is_cleared(&it.key));
    merged.quarantined.retain(|entry| !entry.keys.iter().any(|key| is_cleared(&key)));
    for suspect in &update.suspects {
        match merged.suspects.iter_mut().find(|it| it.key == suspect.key) {
            Some(known) if known.crashes >= suspect.crashes => {}
            Some(known) => *known = *suspect,
            None => merged.suspects.push(*suspect),
        }
    }
    for entry in &update.quarantined {
        if merged.quarantined.iter().all(|it| it.keys != entry.keys) {
            merged.quarantined.push(entry.clone());
        }
    }
    let excess = merged.suspects.len().saturating_sub(MAX_STORED);
    merged.suspects.drain(..excess);
    let excess = merged.quarantined.len().saturating_sub(MAX_STORED);
    merged.quarantined.drain(..excess);
    merged
}
