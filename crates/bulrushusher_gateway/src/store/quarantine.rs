//! Persists the quarantined requests in the store, for gateways that start after all others have
//! ended.
//!
//! Peers report entries to each other at once. The store is read at start and when a request is
//! first suspected, since a gateway that receives no peer reports gets the entries only there.

use std::sync::Arc;

use bulrushusher_report::GatewayMetrics;
use bulrushusher_routing::Quarantined;
use serde::{Deserialize, Serialize};

use crate::dialect::{PlatformStore, RecordWrite};
use crate::shared::SharedState;
use crate::store::{CALL_TIMEOUT, RETRY_DELAY, parse_record};

/// Name of the record in the store.
const RECORD: &str = "quarantine";

/// Contents of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantineRecord {
    requests: Vec<Quarantined>,
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
                _ = restores.changed() => self.shared.rewrite_quarantined(),
            }
        }
    }

    /// Inserts the entries of the record, and adds the ones that this gateway has found.
    async fn sync(&self) -> Result<(), String> {
        let record = self.store.read_record(RECORD, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        self.metrics.record_store_call("quarantine", "read");
        let (revision, stored) = match record {
            Some(record) => (
                Some(record.revision),
                parse_record::<QuarantineRecord>(RECORD, record.value).requests,
            ),
            None => (None, Vec::new()),
        };
        let added = self.shared.insert_quarantined(&stored);
        if added > 0 {
            log::info!("quarantine: read from the store learned={added}");
        }
        let unwritten = self.shared.unwritten_quarantined();
        let is_stored = |it: &Quarantined| stored.iter().any(|stored| stored.digest == it.digest);
        if !unwritten.iter().all(is_stored) {
            self.write(revision).await?;
        }
        self.shared.mark_quarantined_written(&unwritten);
        Ok(())
    }

    /// Writes all entries in quarantine. Expired ones are thereby removed from the record.
    async fn write(&self, revision: Option<u64>) -> Result<(), String> {
        let requests = self.shared.all_quarantined();
        let count = requests.len();
        let value =
            serde_json::to_value(QuarantineRecord { requests }).map_err(|e| e.to_string())?;
        let written = self.store.write_record(RECORD, value, revision, CALL_TIMEOUT).await;
        match written.map_err(|e| e.to_string())? {
            RecordWrite::Written(revision) => {
                self.metrics.record_store_call("quarantine", "written");
                log::info!("quarantine: written requests={count} revision={revision}");
                Ok(())
            }
            RecordWrite::Conflict => Err("another gateway wrote the record first".to_owned()),
        }
    }
}
