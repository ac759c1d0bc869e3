//! Saves the versions of streams in the store while several versions serve, for callers that return
//! after all gateways have ended.
//!
//! Streams are divided into shards, each with an object in the store. The first keeper of a shard,
//! which gets its records from the gateways that begin streams, writes what is new in batches. A
//! gateway reads a shard when a caller continues a stream that no gateway knows.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use bulrushusher_forward::{StreamKey, StreamRecord, StreamShard};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use futures_util::future::join_all;
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::dialect::{PlatformStore, RecordWrite};
use crate::shared::SharedState;
use crate::store::CALL_TIMEOUT;

/// Interval of the batches. A stream that began later before all gateways ended is not known.
const BATCH_INTERVAL: Millis = Millis(200);

/// Time between two series of reads, so that callers with unknown streams cost few calls.
const READ_INTERVAL: Millis = Millis(20);

/// Maximum number of records in an object; they take half of the largest value.
const MAX_SAVED: usize = 8_192;

/// Contents of the object of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct SavedShard {
    /// The versions, by their index in `streams`.
    versions: Vec<String>,
    /// By the key of the stream: the index of its version, and until when its caller may return, by the
    /// clock of the VM that wrote it. A wrong clock drops a record early or late, and changes none.
    streams: BTreeMap<String, (usize, Millis)>,
}

impl SavedShard {
    fn of(records: &[StreamRecord], now: Millis) -> SavedShard {
        let mut saved = SavedShard::default();
        for record in records.iter().take(MAX_SAVED) {
            let version = record.version.as_str();
            let known = saved.versions.iter().position(|known| known == version);
            let index = known.unwrap_or(saved.versions.len());
            if known.is_none() {
                saved.versions.push(version.to_owned());
            }
            saved.streams.insert(record.key.to_hex(), (index, now.plus(record.lifetime)));
        }
        saved
    }

    fn records(&self, now: Millis) -> Vec<StreamRecord> {
        let record = |(key, (index, until)): (&String, &(usize, Millis))| {
            let key = StreamKey::from_hex(key)?;
            let version = self.versions.get(*index)?.as_str().into();
            let lifetime = until.since(now);
            (lifetime > Millis(0)).then_some(StreamRecord { key, version, lifetime })
        };
        self.streams.iter().filter_map(record).collect()
    }
}

/// The task that saves and reads shards.
#[derive(Debug)]
pub(crate) struct StreamSaver<S> {
    pub store: S,
    pub shared: Arc<SharedState>,
    pub metrics: Arc<GatewayMetrics>,
    /// Revision of the last write of each shard.
    revisions: Mutex<HashMap<StreamShard, u64>>,
}

impl<S: PlatformStore> StreamSaver<S> {
    pub(crate) fn new(
        store: S,
        shared: Arc<SharedState>,
        metrics: Arc<GatewayMetrics>,
    ) -> StreamSaver<S> {
        StreamSaver { store, shared, metrics, revisions: Mutex::default() }
    }

    /// Saves and reads until dropped.
    pub(crate) async fn run(self) {
        tokio::join!(self.save(), self.read_on_demand());
    }

    async fn save(&self) {
        loop {
            tokio::time::sleep(BATCH_INTERVAL.duration()).await;
            let shards = self.shared.take_unsaved_shards();
            join_all(shards.into_iter().map(|shard| self.save_shard(shard))).await;
        }
    }

    /// Writes all records of a shard that are known here. If that fails, it follows with the next batch.
    async fn save_shard(&self, shard: StreamShard) {
        if let Err(cause) = self.try_save(shard).await {
            log::info!("streams: not saved, retrying shard={shard} cause=\"{cause}\"");
            self.revisions.lock().remove(&shard);
            self.shared.mark_unsaved(shard);
        }
    }

    async fn try_save(&self, shard: StreamShard) -> Result<(), String> {
        let written = self.revisions.lock().get(&shard).copied();
        let expected = match written {
            Some(revision) => Some(revision),
            // What others have written stays.
            None => self.read_shard(shard).await?,
        };
        let records = self.shared.streams_of(shard);
        let saved = SavedShard::of(&records, self.shared.now());
        let value = serde_json::to_value(&saved).map_err(|e| e.to_string())?;
        let name = shard.to_string();
        let written = self.store.write_record(&name, value, expected, CALL_TIMEOUT).await;
        match written.map_err(|e| e.to_string())? {
            RecordWrite::Conflict => Err("another gateway wrote it first".to_owned()),
            RecordWrite::Written(revision) => {
                self.metrics.record_store_call("streams", "written");
                log::info!(
                    "streams: saved shard={shard} records={} revision={revision}",
                    records.len()
                );
                self.revisions.lock().insert(shard, revision);
                Ok(())
            }
        }
    }

    /// Reads shards for callers that continue streams which no gateway knows.
    async fn read_on_demand(&self) {
        loop {
            self.shared.shards_wanted.notified().await;
            let shards = self.shared.take_wanted_shards();
            let read = async |shard| {
                if let Err(cause) = self.read_shard(shard).await {
                    log::info!("streams: not read shard={shard} cause=\"{cause}\"");
                }
            };
            join_all(shards.into_iter().map(read)).await;
            tokio::time::sleep(READ_INTERVAL.duration()).await;
        }
    }

    /// Reads the records of a shard; returns the revision of its object.
    async fn read_shard(&self, shard: StreamShard) -> Result<Option<u64>, String> {
        let record = self.store.read_record(&shard.to_string(), CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        self.metrics.record_store_call("streams", "read");
        let revision = record.as_ref().map(|record| record.revision);
        if let Some(record) = record {
            match serde_json::from_value::<SavedShard>(record.value) {
                Ok(saved) => self.shared.learn_streams(saved.records(self.shared.now())),
                Err(e) => log::error!("streams: object cannot be read name={shard} cause=\"{e}\""),
            }
        }
        Ok(revision)
    }
}
