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
const TRY_AGAIN: Millis = Millis(700);

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
    pub(crate) async fn keep(self) {
        let mut restores = self.knowledge.restores();
        loop {
            while let Err(cause) = self.look().await {
                self.metrics.record_store_call("quarantine", "failed");
                log::info!("quarantine: record not read or written yet cause=\"{cause}\"");
                tokio::time::sleep(TRY_AGAIN.duration()).await;
            }
            tokio::select! {
                () = self.knowledge.quarantine_due.notified() => {}
                // The sender lives as long as this.
                _ = restores.changed() => self.knowledge.write_quarantined_again(),
            }
        }
    }

    /// Takes in what the record holds, and adds what this gateway found out.
    async fn look(&self) -> Result<(), String> {
        let record = self.store.read_record(RECORD, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        self.metrics.record_store_call("quarantine", "read");
        let (revision, held) = match record {
            Some(record) => (Some(record.revision), read(record.value).requests),
            None => (None, Vec::new()),
        };
        let learned = self.knowledge.hold_quarantined(&held);
        if learned > 0 {
            log::info!("quarantine: read from the store learned={learned}");
        }
        let found = self.knowledge.quarantined_to_write();
        let is_held = |it: &Quarantined| held.iter().any(|held| held.digest == it.digest);
        if !found.iter().all(is_held) {
            self.write(revision).await?;
        }
        self.knowledge.quarantined_written(&found);
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
                self.metrics.record_store_call("quarantine", "written");
                log::info!("quarantine: written requests={count} revision={revision}");
                Ok(())
            }
            RecordWrite::Conflict => Err("another gateway wrote first".to_owned()),
        }
    }
}

/// Reads the record. One by another writer holds nothing; what is written next replaces it.
fn read(value: serde_json::Value) -> QuarantineRecord {
    serde_json::from_value(value).unwrap_or_else(|e| {
        log::warn!("quarantine: record passed over name={RECORD} cause=\"{e}\"");
        QuarantineRecord::default()
    })
}
