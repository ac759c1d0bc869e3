//! Persists which software versions served side by side, for gateways that start after all others have
//! ended: the version that began a stream may have left the list of runners in between.
//!
//! While several versions serve, the first few gateways keep the record current. It is read by a gateway
//! that has just started when a caller continues a stream that no gateway knows.

use std::collections::BTreeMap;
use std::sync::Arc;

use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;
use serde::{Deserialize, Serialize};

use crate::dialect::{PlatformStore, RecordWrite};
use crate::shared::{SharedState, VersionSighting};
use crate::store::{CALL_TIMEOUT, RETRY_DELAY, parse_record};

/// Name of the record in the store.
const RECORD: &str = "versions";

/// Interval of the checks for a version that is not in the record.
const CHECK_INTERVAL: Millis = Millis(500);

/// Interval at which the record is written while versions serve side by side; short compared with the
/// time for which a version counts after it was last seen.
const REFRESH_INTERVAL: Millis = Millis(10_000);

/// Contents of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    /// By service and version: when it was last listed, by the clock of the VM that wrote it.
    seen: BTreeMap<String, BTreeMap<String, Millis>>,
}

impl VersionRecord {
    fn add(&mut self, sighting: &VersionSighting) {
        let versions = self.seen.entry(sighting.service.to_string()).or_default();
        let at = versions.entry(sighting.version.as_str().to_owned()).or_default();
        *at = sighting.at.max(*at);
    }

    fn sightings(&self) -> Vec<VersionSighting> {
        let of_service = |(service, versions): (&String, &BTreeMap<String, Millis>)| {
            let service = ServiceName::try_from(service.as_str()).ok()?;
            let sighting = |(version, at): (&String, &Millis)| VersionSighting {
                service: service.clone(),
                version: version.as_str().into(),
                at: *at,
            };
            Some(versions.iter().map(sighting).collect::<Vec<_>>())
        };
        self.seen.iter().filter_map(of_service).flatten().collect()
    }
}

/// The task that reads and writes the record.
#[derive(Debug)]
pub(crate) struct VersionKeeper<S> {
    pub store: S,
    pub shared: Arc<SharedState>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> VersionKeeper<S> {
    /// Reads and writes until dropped.
    pub(crate) async fn run(self) {
        tokio::join!(self.read_on_demand(), self.keep_current());
    }

    /// Reads the record once, when a request needs it.
    async fn read_on_demand(&self) {
        self.shared.versions_wanted.notified().await;
        while let Err(cause) = self.sync(&[]).await {
            log::info!("versions: record not read, retrying cause=\"{cause}\"");
            tokio::time::sleep(RETRY_DELAY.duration()).await;
        }
        self.shared.set_versions_read();
    }

    /// Writes the record while several versions serve, if that is this gateway's task.
    async fn keep_current(&self) {
        let (mut written, mut written_at) = (Vec::new(), None::<Millis>);
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            let mixed = self.shared.mixed_versions();
            if mixed.is_empty() || !self.shared.keeps_version_record() {
                continue;
            }
            let names: Vec<_> =
                mixed.iter().map(|it| (it.service.clone(), it.version.clone())).collect();
            let now = self.shared.now();
            let is_fresh = written_at.is_some_and(|at| now.since(at) < REFRESH_INTERVAL);
            if is_fresh && names == written {
                continue;
            }
            match self.sync(&mixed).await {
                Ok(()) => (written, written_at) = (names, Some(now)),
                Err(cause) => {
                    log::info!("versions: record not written, retrying cause=\"{cause}\"");
                    tokio::time::sleep(RETRY_DELAY.duration()).await;
                }
            }
        }
    }

    /// Reads the record, and writes it with the sightings if there are any.
    async fn sync(&self, sightings: &[VersionSighting]) -> Result<(), String> {
        let record = self.store.read_record(RECORD, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        self.metrics.record_store_call("versions", "read");
        let (revision, mut stored) = match record {
            Some(record) => (Some(record.revision), parse_record(RECORD, record.value)),
            None => (None, VersionRecord::default()),
        };
        self.shared.learn_versions(&stored.sightings());
        if sightings.is_empty() {
            return Ok(());
        }
        let oldest = self.shared.oldest_version_sighting();
        stored.seen.values_mut().for_each(|versions| versions.retain(|_, at| *at >= oldest));
        stored.seen.retain(|_, versions| !versions.is_empty());
        sightings.iter().for_each(|it| stored.add(it));
        let value = serde_json::to_value(&stored).map_err(|e| e.to_string())?;
        let written = self.store.write_record(RECORD, value, revision, CALL_TIMEOUT).await;
        match written.map_err(|e| e.to_string())? {
            RecordWrite::Written(revision) => {
                self.metrics.record_store_call("versions", "written");
                log::info!("versions: written versions={} revision={revision}", sightings.len());
                Ok(())
            }
            RecordWrite::Conflict => Err("another gateway wrote the record first".to_owned()),
        }
    }
}
