//! Which software version began each stream, and which versions serve.
//!
//! A stream continues only at the version that began it. The gateway that begins a stream keeps its
//! version and sends it to a few others, which answer for it when the caller returns elsewhere.

use std::collections::{BTreeSet, HashMap, HashSet};

use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::{RequestId, Runner, SoftwareVersion};

/// Maximum number of records; at 300 bytes each they take 20 MB. Beyond it only expired ones make
/// room.
const MAX_RECORDS: usize = 65_536;

/// Number of times that a record is sent to the gateways that keep it, until they confirm it.
const MAX_SENDS: u32 = 3;

/// Time between these sends: a peer answers within some milliseconds, in another region within 60.
const RESEND_INTERVAL: Millis = Millis(80);

/// Identifies a stream by the id of the attempt that brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u128);

impl StreamKey {
    /// The key of the stream that this attempt began.
    pub fn of(id: &RequestId) -> StreamKey {
        StreamKey(xxh3_128(id.as_str().as_bytes()))
    }

    /// The key as text.
    pub fn to_hex(self) -> String {
        format!("{:032x}", self.0)
    }

    /// The key with that text.
    pub fn from_hex(text: &str) -> Option<StreamKey> {
        u128::from_str_radix(text, 16).ok().map(StreamKey)
    }

    /// The shard whose keepers have the record of the stream.
    pub fn shard(self) -> StreamShard {
        StreamShard((self.0 % u128::from(SHARDS)) as u8)
    }
}

/// Number of shards. Each has two keepers among the gateways, and one object in the store: with 2,800
/// streams a second, one keeps 44 of them.
const SHARDS: u8 = 64;

/// A part of all streams, by their keys.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("streams-{_0}")]
pub struct StreamShard(u8);

/// The version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The version of the runner that began it.
    pub version: SoftwareVersion,
    /// For how long the caller may still return.
    pub lifetime: Millis,
}

#[derive(Clone, Debug)]
struct Known {
    version: SoftwareVersion,
    expires_at: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Unconfirmed {
    due_at: Millis,
    sends_left: u32,
    confirmations_left: u32,
}

/// The streams whose version is known here.
///
/// ```
/// use bulrushusher_forward::{RequestId, StreamKey, StreamRecord, StreamVersions};
/// use bulrushusher_time::Millis;
/// let key = StreamKey::of(&RequestId::from("r-1"));
/// let record = StreamRecord { key, version: "v2".into(), lifetime: Millis(14_000) };
/// let mut streams = StreamVersions::default();
/// streams.record_own(record.clone(), 2, Millis(0));
/// assert_eq!(streams.take_due(Millis(0)), [record]);
/// assert!(streams.take_due(Millis(10)).is_empty(), "it is sent again only later");
/// assert_eq!(streams.find(key, Millis(4_000)).unwrap().lifetime, Millis(10_000));
/// assert!(streams.find(key, Millis(14_000)).is_none());
/// ```
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    known: HashMap<StreamKey, Known>,
    /// Own records that the gateways which keep them have not all confirmed.
    unconfirmed: HashMap<StreamKey, Unconfirmed>,
    /// Shards with records that may be missing in the store.
    unsaved: BTreeSet<StreamShard>,
}

impl StreamVersions {
    /// Records a stream that this gateway began, to be confirmed by `keepers` other gateways.
    pub fn record_own(&mut self, record: StreamRecord, keepers: u32, now: Millis) {
        let key = record.key;
        if self.record(record, now) && keepers > 0 {
            let unconfirmed =
                Unconfirmed { due_at: now, sends_left: MAX_SENDS, confirmations_left: keepers };
            self.unconfirmed.insert(key, unconfirmed);
        }
    }

    /// Records what another gateway knows of a stream; false if it was known or there is no room. The
    /// version of a stream never changes, so the first record stays.
    pub fn record(&mut self, record: StreamRecord, now: Millis) -> bool {
        let shard = record.key.shard();
        let is_new = self.learn(record, now);
        if is_new {
            self.unsaved.insert(shard);
        }
        is_new
    }

    /// Records what the store has of a stream; false if it was known or there is no room.
    pub fn learn(&mut self, record: StreamRecord, now: Millis) -> bool {
        if self.known.len() >= MAX_RECORDS {
            self.known.retain(|_, it| now < it.expires_at);
        }
        let is_new = self.find(record.key, now).is_none() && self.known.len() < MAX_RECORDS;
        if is_new {
            let expires_at = now.plus(record.lifetime);
            self.known.insert(record.key, Known { version: record.version, expires_at });
        }
        is_new
    }

    /// What is known of a stream.
    pub fn find(&self, key: StreamKey, now: Millis) -> Option<StreamRecord> {
        let known = self.known.get(&key).filter(|it| now < it.expires_at)?;
        let lifetime = known.expires_at.since(now);
        Some(StreamRecord { key, version: known.version.clone(), lifetime })
    }

    /// Takes the shards with records that may be missing in the store, of those that `is_kept` here.
    ///
    /// ```
    /// use bulrushusher_forward::{RequestId, StreamKey, StreamRecord, StreamVersions};
    /// use bulrushusher_time::Millis;
    /// let key = StreamKey::of(&RequestId::from("r-1"));
    /// let record = StreamRecord { key, version: "v2".into(), lifetime: Millis(14_000) };
    /// let mut streams = StreamVersions::default();
    /// streams.record(record.clone(), Millis(0));
    /// assert!(streams.take_unsaved(|_| false).is_empty());
    /// assert_eq!(streams.take_unsaved(|_| true), [key.shard()]);
    /// assert_eq!(streams.of_shard(key.shard(), Millis(0)), [record]);
    /// assert!(streams.take_unsaved(|_| true).is_empty());
    /// ```
    pub fn take_unsaved(&mut self, is_kept: impl Fn(StreamShard) -> bool) -> Vec<StreamShard> {
        let taken: Vec<StreamShard> =
            self.unsaved.iter().copied().filter(|shard| is_kept(*shard)).collect();
        self.unsaved.retain(|shard| !taken.contains(shard));
        taken
    }

    /// Marks a shard whose records could not be saved.
    pub fn mark_unsaved(&mut self, shard: StreamShard) {
        self.unsaved.insert(shard);
    }

    /// All records of a shard, those that last longest first.
    pub fn of_shard(&self, shard: StreamShard, now: Millis) -> Vec<StreamRecord> {
        let keys = self.known.keys().filter(|key| key.shard() == shard);
        let mut records: Vec<StreamRecord> = keys.filter_map(|key| self.find(*key, now)).collect();
        records.sort_unstable_by_key(|it| (std::cmp::Reverse(it.lifetime), it.key));
        records
    }

    /// Records that one of the gateways that keep an own record has it.
    pub fn confirm(&mut self, key: StreamKey) {
        let Some(unconfirmed) = self.unconfirmed.get_mut(&key) else { return };
        unconfirmed.confirmations_left = unconfirmed.confirmations_left.saturating_sub(1);
        if unconfirmed.confirmations_left == 0 {
            self.unconfirmed.remove(&key);
        }
    }

    /// Own records to be sent now to the gateways that keep them.
    pub fn take_due(&mut self, now: Millis) -> Vec<StreamRecord> {
        let mut due = Vec::new();
        self.unconfirmed.retain(|key, it| {
            if now >= it.due_at {
                due.push(*key);
                it.sends_left = it.sends_left.saturating_sub(1);
                it.due_at = now.plus(RESEND_INTERVAL);
            }
            it.sends_left > 0
        });
        due.into_iter().filter_map(|key| self.find(key, now)).collect()
    }

    /// Time until the next own record is due; `None` if none is.
    pub fn time_until_due(&self, now: Millis) -> Option<Millis> {
        self.unconfirmed.values().map(|it| it.due_at.since(now)).min()
    }

    /// Number of records, for metrics.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// True without any record.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Drops expired records.
    pub fn drop_expired(&mut self, now: Millis) {
        self.known.retain(|_, it| now < it.expires_at);
    }
}

/// Time without a listed runner of a version after which a gateway no longer relies on its own copy
/// of the record for it. Shorter than the time after which another gateway may remove it there.
const RECORDED_TTL: Millis = Millis(30_000);

/// Time after which a listed version serves although it could not be recorded, while the store has no
/// record at all: a store that accepts writes has one within milliseconds.
const UNRECORDED_GRACE: Millis = Millis(3_000);

/// Time after which a read that found no record no longer lets versions serve. A gateway that cannot
/// write the record reads it several times within it.
const ABSENCE_TTL: Millis = Millis(3_000);

/// Longest time between two observations of the list within which no version can have come and gone
/// unseen. It leaves room for a busy process, which observes every 500 ms.
const MAX_OBSERVE_GAP: Millis = Millis(2_000);

/// A software version of a service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: SoftwareVersion,
}

impl ServiceVersion {
    /// The version of a runner.
    pub fn of(runner: &Runner) -> ServiceVersion {
        ServiceVersion { service: runner.service.clone(), version: runner.version.clone() }
    }
}

#[derive(Clone, Copy, Debug)]
struct VersionState {
    /// When a runner of it was first and last listed here.
    first_listed: Millis,
    last_listed: Millis,
    is_recorded: bool,
}

/// The software versions that runners are listed with, and which of them the store's record has.
///
/// A version serves only once it is in the record, so the record has every version that can have
/// begun a stream, also for gateways that start after all others have ended. While the store has no
/// record, nobody can take a version for the only one, and any version serves.
///
/// ```
/// use bulrushusher_forward::{ServiceVersion, VersionLedger};
/// use bulrushusher_time::Millis;
/// let v1 = ServiceVersion { service: "llm".try_into().unwrap(), version: "v1".into() };
/// let mut ledger = VersionLedger::default();
/// ledger.observe(&v1, Millis(0));
/// assert!(!ledger.serving(Millis(100)).contains(&v1));
/// assert_eq!(ledger.unrecorded(), [v1.clone()]);
/// ledger.set_recorded([v1.clone()], Millis(100));
/// assert!(ledger.serving(Millis(100)).contains(&v1));
/// assert!(ledger.unrecorded().is_empty());
/// ```
#[derive(Clone, Debug, Default)]
pub struct VersionLedger {
    versions: HashMap<ServiceVersion, VersionState>,
    /// When the last read of the record began, if it found none.
    absent_at: Option<Millis>,
    /// Since when the list has been observed without a gap.
    observed: Option<Observed>,
}

/// A time within which the whole list was observed again and again.
#[derive(Clone, Copy, Debug)]
struct Observed {
    since: Millis,
    until: Millis,
}

impl VersionLedger {
    /// Records that a runner of the version is listed. Returns true if the version is not recorded.
    pub fn observe(&mut self, version: &ServiceVersion, now: Millis) -> bool {
        if let Some(state) = self.versions.get_mut(version) {
            state.is_recorded &= now.since(state.last_listed) < RECORDED_TTL;
            state.last_listed = now;
            return !state.is_recorded;
        }
        let state = VersionState { first_listed: now, last_listed: now, is_recorded: false };
        self.versions.insert(version.clone(), state);
        true
    }

    /// Records the content of the record. A version that it lacks, as the store was restored, stops
    /// serving until it is recorded again.
    pub fn set_recorded(
        &mut self,
        recorded: impl IntoIterator<Item = ServiceVersion>,
        now: Millis,
    ) {
        self.versions.values_mut().for_each(|state| state.is_recorded = false);
        self.add_recorded(recorded, now);
    }

    /// Records that the record has some versions, as another gateway knows.
    pub fn add_recorded(
        &mut self,
        recorded: impl IntoIterator<Item = ServiceVersion>,
        now: Millis,
    ) {
        self.absent_at = None;
        for version in recorded {
            if let Some(state) = self.versions.get_mut(&version) {
                state.is_recorded |= now.since(state.last_listed) < RECORDED_TTL;
            }
        }
    }

    /// Records that a read which began at `began` found no record.
    ///
    /// ```
    /// use bulrushusher_forward::{ServiceVersion, VersionLedger};
    /// use bulrushusher_time::Millis;
    /// let v1 = ServiceVersion { service: "llm".try_into().unwrap(), version: "v1".into() };
    /// let mut ledger = VersionLedger::default();
    /// ledger.observe(&v1, Millis(0));
    /// assert!(ledger.serving(Millis(4_000)).is_empty(), "there may be a record");
    /// ledger.set_absent(Millis(4_000));
    /// assert!(ledger.serving(Millis(4_100)).contains(&v1));
    /// ```
    pub fn set_absent(&mut self, began: Millis) {
        self.absent_at = Some(began);
    }

    /// The versions of which runners may begin streams.
    pub fn serving(&self, now: Millis) -> HashSet<ServiceVersion> {
        let is_absent = self.absent_at.is_some_and(|at| now.since(at) < ABSENCE_TTL);
        let may_serve = |state: &VersionState| {
            state.is_recorded || (is_absent && now.since(state.first_listed) >= UNRECORDED_GRACE)
        };
        let serving = self.versions.iter().filter(|(_, state)| may_serve(state));
        serving.map(|(version, _)| version.clone()).collect()
    }

    /// True if other gateways that list the same versions may let some serve without a record by now.
    pub fn is_grace_near(&self, now: Millis) -> bool {
        let half = UNRECORDED_GRACE.share(0.5);
        self.versions.values().any(|state| now.since(state.first_listed) >= half)
    }

    /// Longest time for which versions may still serve without being recorded after there is a record.
    pub fn max_absence_lag() -> Millis {
        ABSENCE_TTL
    }

    /// True if no version is listed.
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// The listed versions that are not known to be in the record.
    pub fn unrecorded(&self) -> Vec<ServiceVersion> {
        let unrecorded = self.versions.iter().filter(|(_, state)| !state.is_recorded);
        let mut unrecorded: Vec<_> = unrecorded.map(|(version, _)| version.clone()).collect();
        unrecorded.sort_unstable();
        unrecorded
    }

    /// Versions that are in the record as far as is known here; a gateway that stood still knows none until
    /// it has observed the list again.
    pub fn recorded(&self, now: Millis) -> Vec<ServiceVersion> {
        let is_recorded =
            |it: &VersionState| it.is_recorded && now.since(it.last_listed) < RECORDED_TTL;
        let recorded = self.versions.iter().filter(|(_, state)| is_recorded(state));
        recorded.map(|(version, _)| version.clone()).collect()
    }

    /// Records that all listed versions were observed, in a list that was current.
    pub fn set_observed(&mut self, now: Millis) {
        let before = self.observed.filter(|it| now.since(it.until) < MAX_OBSERVE_GAP);
        let since = before.map_or(now, |it| it.since);
        self.observed = Some(Observed { since, until: now });
    }

    /// True if the list was observed for all of `span`, so that no version that was listed is missing here.
    pub fn has_observed_for(&self, span: Millis, now: Millis) -> bool {
        self.observed
            .is_some_and(|it| it.since <= now.since(span) && now.since(it.until) < MAX_OBSERVE_GAP)
    }

    /// True if the version was not listed for `span`, so that no stream of it lasts any more. Only a gateway
    /// that observed the list for all of that time can tell.
    pub fn is_over(&self, version: &ServiceVersion, span: Millis, now: Millis) -> bool {
        let from = now.since(span);
        let is_listed = self.versions.get(version).is_some_and(|state| state.last_listed >= from);
        !is_listed && self.has_observed_for(span, now)
    }

    /// Drops versions that were last listed before `since`.
    pub fn forget_before(&mut self, since: Millis) {
        self.versions.retain(|_, state| state.last_listed >= since);
    }
}
