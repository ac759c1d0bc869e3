//! Keeps the requests in quarantine in the store, for gateways that start after all others have ended.
//!
//! Peers tell each other at once; the store is read at start and when a request is first suspected,
//! as a gateway that its peers do not reach learns of it there.

use std::sync::Arc;

use bulrushusher_report::GatewayMetrics;
use bulrushusher_routing::Quarantined;
use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

use crate::dialect::{PlatformStore, RecordWrite};
use crate::knowledge::Knowledge;

/// Name of the record in the store.
const RECORD: &str = "quarantine";

/// Longest wait for the store; it answers in milliseconds when it is well.
const CALL_TIMEOUT: Millis = Millis(500);

/// Pause after a call that failed, or that another gateway's write came before.
const RETRY_DELAY: Millis = Millis(700);

/// What the record holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct QuarantineRecord {
    requests: Vec<Quarantined>,
}

/// The task that reads and writes the record.
#[derive(Debug)]
pub(crate) struct QuarantineKeeper<S> {
    pub store: S,
    pub knowledge: Arc<Knowledge>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> QuarantineKeeper<S> {
    /// Reads and writes until dropped.
    pub(crate) async fn run(self) {
        let mut restores = self.knowledge.store_restores();
        loop {
            while let Err(cause) = self.sync().await {
                self.metrics.store_call("quarantine", "failed");
                log::info!("quarantine: record sync failed, retrying cause=\"{cause}\"");
                tokio::time::sleep(RETRY_DELAY.duration()).await;
            }
            tokio::select! {
                () = self.knowledge.quarantine_due.notified() => {}
                // The sender lives as long as this.
                _ = restores.changed() => self.knowledge.rewrite_quarantined(),
            }
        }
    }

    /// Takes in what the record holds, and adds what this gateway found out.
    async fn sync(&self) -> Result<(), String> {
        let record = self.store.read_record(RECORD, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        self.metrics.store_call("quarantine", "read");
        let (revision, stored) = match record {
            Some(record) => (Some(record.revision), parse_record(record.value).requests),
            None => (None, Vec::new()),
        };
        let added = self.knowledge.insert_quarantined(&stored);
        if added > 0 {
            log::info!("quarantine: read from the store learned={added}");
        }
        let unwritten = self.knowledge.unwritten_quarantined();
        let is_stored = |it: &Quarantined| stored.iter().any(|stored| stored.digest == it.digest);
        if !unwritten.iter().all(is_stored) {
            self.write(revision).await?;
        }
        self.knowledge.mark_quarantined_written(&unwritten);
        Ok(())
    }

    /// Writes all that is in quarantine; what is over goes out of the record.
    async fn write(&self, revision: Option<u64>) -> Result<(), String> {
        let requests = self.knowledge.all_quarantined();
        let count = requests.len();
        let value =
            serde_json::to_value(QuarantineRecord { requests }).map_err(|e| e.to_string())?;
        let written = self.store.write_record(RECORD, value, revision, CALL_TIMEOUT).await;
        match written.map_err(|e| e.to_string())? {
            RecordWrite::Written(revision) => {
                self.metrics.store_call("quarantine", "written");
                log::info!("quarantine: written requests={count} revision={revision}");
                Ok(())
            }
            RecordWrite::Conflict => Err("another gateway wrote the record first".to_owned()),
        }
    }
}

/// Reads the record. One by another writer holds nothing; what is written next replaces it.
fn parse_record(value: serde_json::Value) -> QuarantineRecord {
    serde_json::from_value(value).unwrap_or_else(|e| {
        log::warn!("quarantine: record passed over name={RECORD} cause=\"{e}\"");
        QuarantineRecord::default()
    })
}
