//! Keeps the store's record of the software versions that can have begun a stream, for gateways that
//! start after all others have ended: that version may have left the list of runners in between.
//!
//! Model runners of a version serve only once the version is in the record, or while there is none, and
//! a version leaves it only after no stream of it can last. A caller that continues a stream which no gateway knows is
//! bound to the only version in the record, as read after its request arrived.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bulrushusher_forward::{ServiceVersion, era_of};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;
use serde::{Deserialize, Serialize};

use crate::dialect::{PlatformStore, RecordWrite, Topic};
use crate::shared::{SharedState, VersionRead};
use crate::store::{CALL_TIMEOUT, RETRY_DELAY};

/// Name of the record in the store.
const RECORD: &str = "stream-versions";

/// Interval of the checks for versions to add or to remove.
const CHECK_INTERVAL: Millis = Millis(500);

/// Time between two reads for requests.
const MIN_READ_INTERVAL: Millis = Millis(100);

/// Delay of gateways that are not the first to write, and what each known gateway adds to it, half of
/// it random: they find the record written and only read it.
const READER_DELAY: Millis = Millis(20);
const READER_DELAY_PER_GATEWAY: f64 = 0.5;

/// Longest delay after a conflict with another writer.
const CONFLICT_DELAY: Millis = Millis(40);

/// Stands for the era of a record that cannot be read; it differs from that of any store.
const UNKNOWN_ERA: u64 = u64::MAX;

/// Contents of the record.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VersionRecord {
    /// Era of the store in which it was written. A store that is restored from a backup may have lost
    /// versions that were added since.
    era: u64,
    /// True if no version is missing that can have begun a stream which still lasts.
    is_complete: bool,
    /// Versions by service.
    versions: BTreeMap<String, BTreeSet<String>>,
}

impl VersionRecord {
    fn add(&mut self, added: &ServiceVersion) {
        let versions = self.versions.entry(added.service.to_string()).or_default();
        versions.insert(added.version.as_str().to_owned());
    }

    fn remove(&mut self, removed: &ServiceVersion) {
        if let Some(versions) = self.versions.get_mut(removed.service.as_str()) {
            versions.remove(removed.version.as_str());
        }
        self.versions.retain(|_, versions| !versions.is_empty());
    }

    /// All versions; a service whose name is not valid has no runners.
    fn all(&self) -> Vec<ServiceVersion> {
        let of_service = |(service, versions): (&String, &BTreeSet<String>)| {
            let service = ServiceName::try_from(service.as_str()).ok()?;
            let version = |version: &String| ServiceVersion {
                service: service.clone(),
                version: version.as_str().into(),
            };
            Some(versions.iter().map(version).collect::<Vec<_>>())
        };
        self.versions.iter().filter_map(of_service).flatten().collect()
    }
}

/// The record as it was read, with the store's era.
struct ReadRecord {
    record: VersionRecord,
    /// `None` if there is no record.
    revision: Option<u64>,
    era: u64,
}

impl ReadRecord {
    /// True if the record speaks for all streams that still last.
    fn is_proof(&self) -> bool {
        self.revision.is_some() && self.record.is_complete && self.record.era == self.era
    }
}

/// The record as this gateway last knew it.
#[derive(Debug, Default)]
struct KnownRecord {
    versions: Vec<ServiceVersion>,
    era: u64,
    /// Since when it has been known to lack versions of earlier streams.
    incomplete_since: Option<Millis>,
}

/// What a write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sync {
    /// The record has all listed versions.
    Done,
    /// Another gateway wrote the record first.
    Conflict,
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
        tokio::join!(self.read_for_requests(), self.keep_current());
    }

    /// Reads the record whenever a request needs it.
    async fn read_for_requests(&self) {
        loop {
            self.shared.versions_wanted.notified().await;
            let ticket = self.shared.version_ticket();
            let versions = match self.read().await {
                Ok(read) => read.is_proof().then(|| read.record.all()),
                Err(cause) => {
                    log::info!("versions: record not read cause=\"{cause}\"");
                    None
                }
            };
            self.shared.publish_version_read(VersionRead { ticket, versions });
            tokio::time::sleep(MIN_READ_INTERVAL.duration()).await;
        }
    }

    /// Has all listed versions recorded, and removes those of which no stream lasts.
    async fn keep_current(&self) {
        let mut restores = self.shared.store_restores();
        let mut known = KnownRecord::default();
        // True until the record was read, and written if needed, after the last restore.
        let mut is_restored = false;
        loop {
            tokio::select! {
                () = self.shared.versions_changed.notified() => {}
                _ = restores.changed() => is_restored = true,
                () = tokio::time::sleep(CHECK_INTERVAL.duration()) => {}
            }
            let is_keeper = self.shared.keeps_version_record();
            let is_missing = !self.shared.unrecorded_versions().is_empty();
            let is_change_due = is_keeper
                && (known.versions.iter().any(|it| self.shared.is_version_over(it))
                    || self.is_complete_by_now(&known));
            if !(is_missing || is_restored || is_change_due) {
                continue;
            }
            if !is_keeper {
                let others = self.shared.other_gateways() as f64 * READER_DELAY_PER_GATEWAY;
                let spread = Millis((others * self.shared.draw()) as u64);
                tokio::time::sleep(READER_DELAY.plus(spread).duration()).await;
            }
            match self.sync(&mut known, is_keeper).await {
                Ok(Sync::Done) => is_restored = false,
                Ok(Sync::Conflict) => {
                    let delay = CONFLICT_DELAY.share(self.shared.draw());
                    tokio::time::sleep(delay.duration()).await;
                    self.shared.versions_changed.notify_one();
                }
                Err(cause) => {
                    log::info!("versions: record not written, retrying cause=\"{cause}\"");
                    self.shared.ask_for_recorded_versions();
                    tokio::time::sleep(RETRY_DELAY.share(0.5).duration()).await;
                    self.shared.versions_changed.notify_one();
                }
            }
        }
    }

    /// Reads the record, and writes it if versions have to be added or removed.
    async fn sync(&self, known: &mut KnownRecord, is_keeper: bool) -> Result<Sync, String> {
        let began = self.shared.now();
        let read = self.read().await?;
        // What is recorded serves also while nothing can be written.
        match read.revision {
            Some(_) => self.shared.set_recorded_versions(&read.record.all()),
            None => self.shared.set_record_absent(began),
        }
        let next = self.update(&read, known, is_keeper);
        if read.revision.is_none() || next != read.record {
            let value = serde_json::to_value(&next).map_err(|e| e.to_string())?;
            let written = self.store.write_record(RECORD, value, read.revision, CALL_TIMEOUT).await;
            match written.map_err(|e| e.to_string())? {
                RecordWrite::Conflict => return Ok(Sync::Conflict),
                RecordWrite::Written(revision) => {
                    self.metrics.record_store_call("versions", "written");
                    log::info!(
                        "versions: written versions={} complete={} revision={revision}",
                        next.all().len(),
                        next.is_complete,
                    );
                }
            }
        }
        let now = self.shared.now();
        known.incomplete_since = match (next.is_complete, known.incomplete_since) {
            (true, _) => None,
            (false, since) if known.era == next.era => since.or(Some(now)),
            (false, _) => Some(now),
        };
        (known.versions, known.era) = (next.all(), next.era);
        self.shared.set_recorded_versions(&known.versions);
        Ok(Sync::Done)
    }

    /// The content that the record must have.
    fn update(&self, read: &ReadRecord, known: &KnownRecord, is_keeper: bool) -> VersionRecord {
        let mut next = read.record.clone();
        if read.revision.is_none() || read.record.era != read.era {
            // Nobody has served a stream before a first record that is written in time. After a restore
            // or behind a record that cannot be read, only a gateway that saw the list for long knows
            // what is missing.
            next.is_complete = match read.revision {
                None => read.era == 0 && !self.shared.may_serve_unrecorded(),
                Some(_) => self.shared.knows_listed_versions(),
            };
            next.era = read.era;
            self.shared.recorded_versions().iter().for_each(|it| next.add(it));
        }
        next.is_complete |= known.era == next.era && self.is_complete_by_now(known);
        if is_keeper {
            let all = next.all();
            all.iter().filter(|it| self.shared.is_version_over(it)).for_each(|it| next.remove(it));
        }
        self.shared.unrecorded_versions().iter().for_each(|it| next.add(it));
        next
    }

    /// True if each stream that began before the record had all versions has ended.
    fn is_complete_by_now(&self, known: &KnownRecord) -> bool {
        let needed = self.shared.completion_time();
        known.incomplete_since.is_some_and(|at| self.shared.now().since(at) >= needed)
    }

    async fn read(&self) -> Result<ReadRecord, String> {
        let record = self.store.read_record(RECORD, CALL_TIMEOUT).await;
        let record = record.map_err(|e| e.to_string())?;
        self.metrics.record_store_call("versions", "read");
        let Some(record) = record else {
            let era = era_of(self.shared.seen_revision(Topic::Runners));
            return Ok(ReadRecord { record: VersionRecord::default(), revision: None, era });
        };
        let era = era_of(record.revision);
        let content = serde_json::from_value(record.value).unwrap_or_else(|e| {
            log::error!("versions: record cannot be read cause=\"{e}\"; it is written anew");
            VersionRecord { era: UNKNOWN_ERA, ..VersionRecord::default() }
        });
        Ok(ReadRecord { record: content, revision: Some(record.revision), era })
    }
}
