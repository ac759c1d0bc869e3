//! Which software version began each stream, at this gateway and at those that keep its records.

use std::collections::{BTreeSet, HashSet};
use std::sync::atomic::Ordering;

use bulrushusher_forward::{
    Runner, ServiceVersion, SoftwareVersion, StreamKey, StreamRecord, StreamShard, VersionLedger,
};
use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;

use super::SharedState;
use crate::dialect::Topic;

/// Longest time from the beginning of a stream to a caller's last return. A version that was listed
/// within this time may have begun a stream.
const MAX_STREAM_LIFETIME: Millis = Millis(60_000);

/// Interval at which the listed versions are recorded here.
const OBSERVE_INTERVAL: Millis = Millis(500);

/// Number of gateways that write the store's record of versions first.
const RECORD_KEEPERS: usize = 2;

/// Number of other gateways that keep the record of a stream.
pub(crate) const KEEPERS: usize = 2;

impl SharedState {
    /// Records a stream that a runner of the version has begun, for as long as its caller may return.
    pub(crate) fn record_stream(
        &self,
        key: StreamKey,
        version: &SoftwareVersion,
        lifetime: Millis,
    ) {
        let record = StreamRecord { key, version: version.clone(), lifetime };
        let keepers = self.known_gateways.lock().others.len().min(KEEPERS) as u32;
        self.streams.lock().record_own(record, keepers, self.now());
        self.stream_records_due.notify_one();
    }

    /// Records a stream that another gateway has begun.
    pub(crate) fn keep_stream(&self, record: StreamRecord) {
        self.streams.lock().record(record, self.now());
        self.stream_found.notify_waiters();
    }

    /// Records that another gateway keeps a record of this one.
    pub(crate) fn confirm_stream(&self, key: StreamKey) {
        self.streams.lock().confirm(key);
    }

    /// What is known here of a stream.
    pub(crate) fn find_stream(&self, key: StreamKey) -> Option<StreamRecord> {
        self.streams.lock().find(key, self.now())
    }

    /// Asks other gateways for a stream; the answer arrives by [`SharedState::keep_stream`].
    pub(crate) fn ask_for_stream(&self, key: StreamKey) {
        self.asked_streams.lock().push(key);
        self.stream_records_due.notify_one();
    }

    /// Has the record of a stream looked up in the store; it arrives by
    /// [`SharedState::learn_streams`].
    pub(crate) fn look_up_stream(&self, key: StreamKey) {
        self.wanted_shards.lock().insert(key.shard());
        self.shards_wanted.notify_one();
    }

    /// Takes the shards to read from the store.
    pub(crate) fn take_wanted_shards(&self) -> BTreeSet<StreamShard> {
        std::mem::take(&mut *self.wanted_shards.lock())
    }

    /// Records what the store has of streams.
    pub(crate) fn learn_streams(&self, records: Vec<StreamRecord>) {
        let now = self.now();
        let mut streams = self.streams.lock();
        records.into_iter().for_each(|record| {
            streams.learn(record, now);
        });
        drop(streams);
        self.stream_found.notify_waiters();
    }

    /// Takes the shards that this gateway has to save: those of which it is the first keeper, while
    /// several versions can have begun streams.
    pub(crate) fn take_unsaved_shards(&self) -> Vec<StreamShard> {
        if !self.has_several_versions() {
            return Vec::new();
        }
        let own = self.cfg().name.to_string();
        let known = self.known_gateways.lock().clone();
        let is_kept = |shard: StreamShard| known.is_among_first(1, &shard.to_string(), &own);
        self.streams.lock().take_unsaved(is_kept)
    }

    /// Marks a shard whose records could not be saved.
    pub(crate) fn mark_unsaved(&self, shard: StreamShard) {
        self.streams.lock().mark_unsaved(shard);
    }

    /// All records of a shard that are known here.
    pub(crate) fn streams_of(&self, shard: StreamShard) -> Vec<StreamRecord> {
        self.streams.lock().of_shard(shard, self.now())
    }

    /// True if the store's record of versions has several of some service.
    fn has_several_versions(&self) -> bool {
        let recorded = self.recorded_versions.lock();
        let mut services: Vec<&ServiceName> = recorded.iter().map(|it| &it.service).collect();
        services.sort_unstable();
        services.windows(2).any(|pair| pair[0] == pair[1])
    }

    /// Waits up to `longest` until a stream is known here.
    pub(crate) async fn wait_for_stream(
        &self,
        key: StreamKey,
        longest: Millis,
    ) -> Option<StreamRecord> {
        let until = self.now().plus(longest);
        loop {
            let found = self.stream_found.notified();
            let known = self.find_stream(key);
            let left = until.since(self.now());
            if known.is_some() || left == Millis(0) {
                return known;
            }
            tokio::time::timeout(left.duration(), found).await.ok();
        }
    }

    /// Own records to send now, and streams to ask for.
    pub(crate) fn take_stream_messages(&self) -> (Vec<StreamRecord>, Vec<StreamKey>) {
        let records = self.streams.lock().take_due(self.now());
        (records, std::mem::take(&mut *self.asked_streams.lock()))
    }

    /// Time until an own record is to be sent again; `None` if none is.
    pub(crate) fn time_until_stream_due(&self) -> Option<Millis> {
        self.streams.lock().time_until_due(self.now())
    }

    /// The version of this start of a runner by the list; `None` if the runner is not listed.
    pub(crate) fn listed_version(&self, runner: &Runner) -> Option<SoftwareVersion> {
        self.with_runners(|runners, now| {
            let listed = runners.directory.get(&runner.id, now)?;
            (listed.born == runner.born).then(|| listed.version.clone())
        })
    }

    /// Reads the store's record of versions, after this call, and returns the only version that can have
    /// begun a stream of the service. `None` if several can have, or if the record was not read within
    /// `longest` or proves nothing.
    pub(crate) async fn sole_version(
        &self,
        service: &ServiceName,
        longest: Millis,
    ) -> Option<SoftwareVersion> {
        let mut reads = self.version_reads.subscribe();
        let ticket = self.version_tickets.fetch_add(1, Ordering::Relaxed) + 1;
        self.versions_wanted.notify_one();
        let read = reads.wait_for(|read| read.ticket >= ticket);
        let read = tokio::time::timeout(longest.duration(), read).await.ok()?.ok()?;
        let versions = read.versions.as_ref()?;
        let mut of_service = versions.iter().filter(|it| it.service == *service);
        match (of_service.next(), of_service.next()) {
            (Some(sole), None) => Some(sole.version.clone()),
            _ => None,
        }
    }

    /// The number of requests for a read of the record so far.
    pub(crate) fn version_ticket(&self) -> u64 {
        self.version_tickets.load(Ordering::Relaxed)
    }

    /// Publishes a read of the record that began after the request with that ticket.
    pub(crate) fn publish_version_read(&self, read: VersionRead) {
        self.version_reads.send_replace(read);
    }

    /// Applies the content of the record.
    pub(crate) fn set_recorded_versions(&self, recorded: &[ServiceVersion]) {
        let now = self.now();
        *self.recorded_versions.lock() = recorded.to_vec();
        self.versions.lock().set_recorded(recorded.iter().cloned(), now);
        self.apply_serving_versions();
    }

    /// Asks other gateways which versions are recorded, while the record cannot be read; the answer
    /// arrives by [`SharedState::learn_recorded_versions`].
    pub(crate) fn ask_for_recorded_versions(&self) {
        self.are_versions_asked.store(true, Ordering::Relaxed);
        self.stream_records_due.notify_one();
    }

    /// Takes whether to ask other gateways which versions are recorded.
    pub(crate) fn take_version_question(&self) -> bool {
        self.are_versions_asked.swap(false, Ordering::Relaxed)
    }

    /// Applies what another gateway knows to be recorded.
    pub(crate) fn learn_recorded_versions(&self, recorded: Vec<ServiceVersion>) {
        self.versions.lock().add_recorded(recorded, self.now());
        self.apply_serving_versions();
    }

    /// Records that a read of the record which began at `began` found none.
    pub(crate) fn set_record_absent(&self, began: Millis) {
        self.versions.lock().set_absent(began);
        self.apply_serving_versions();
    }

    /// True if some gateway may let versions serve before the first record is written.
    pub(crate) fn may_serve_unrecorded(&self) -> bool {
        self.versions.lock().is_grace_near(self.now())
    }

    /// The listed versions that are not known to be in the record.
    pub(crate) fn unrecorded_versions(&self) -> Vec<ServiceVersion> {
        self.versions.lock().unrecorded()
    }

    /// Versions that are in the record as far as is known here.
    pub(crate) fn recorded_versions(&self) -> Vec<ServiceVersion> {
        self.versions.lock().recorded(self.now())
    }

    /// Time after which all streams have ended that began before a record was complete.
    pub(crate) fn completion_time(&self) -> Millis {
        MAX_STREAM_LIFETIME.plus(VersionLedger::max_absence_lag()).plus(OBSERVE_INTERVAL)
    }

    /// True if this gateway knows all versions that were listed for as long as a stream may last.
    pub(crate) fn knows_listed_versions(&self) -> bool {
        self.versions.lock().has_observed_for(MAX_STREAM_LIFETIME, self.now())
    }

    /// True if the version was not listed for as long as a stream may last, so that it can have begun none
    /// that still lasts.
    pub(crate) fn is_version_over(&self, version: &ServiceVersion) -> bool {
        self.is_copy_current(Topic::Runners)
            && self.versions.lock().is_over(version, MAX_STREAM_LIFETIME, self.now())
    }

    /// True if this gateway is one of those that write the store's record of versions first.
    pub(crate) fn keeps_version_record(&self) -> bool {
        let known = self.known_gateways.lock();
        known.is_among_first(RECORD_KEEPERS, "versions", self.cfg().name.as_str())
    }

    /// Number of other gateways that are known.
    pub(crate) fn other_gateways(&self) -> usize {
        self.known_gateways.lock().others.len()
    }

    /// Records the version of a listed runner. A new one has to be recorded in the store.
    pub(super) fn observe_version(&self, runner: &Runner) {
        if runner.stage.is_none() {
            return;
        }
        self.observe_versions([ServiceVersion::of(runner)]);
    }

    fn observe_versions(&self, listed: impl IntoIterator<Item = ServiceVersion>) {
        let now = self.now();
        let mut versions = self.versions.lock();
        let unrecorded =
            listed.into_iter().filter(|version| versions.observe(version, now)).count();
        drop(versions);
        if unrecorded > 0 {
            self.versions_changed.notify_one();
        }
    }

    /// Lets runners of the versions serve that are recorded.
    fn apply_serving_versions(&self) {
        self.with_runners(|runners, now| {
            runners.directory.set_serving(self.versions.lock().serving(now));
        });
    }

    /// True if runners of some version get work, or if none has a version.
    pub(super) fn serves_some_version(&self) -> bool {
        let serves = self.with_runners(|runners, _| runners.directory.serves_some_version());
        serves || self.versions.lock().is_empty()
    }

    /// Records the listed versions and drops expired records, until the gateway stops.
    pub(crate) async fn watch_versions(&self) {
        self.apply_serving_versions();
        loop {
            tokio::time::sleep(OBSERVE_INTERVAL.duration()).await;
            let listed: HashSet<ServiceVersion> = self.with_runners(|runners, now| {
                let models = runners.directory.all(now).filter(|it| it.stage.is_some());
                models.map(ServiceVersion::of).collect()
            });
            let is_current = self.is_copy_current(Topic::Runners);
            self.observe_versions(listed);
            let now = self.now();
            if is_current {
                self.versions.lock().set_observed(now);
            }
            self.versions.lock().forget_before(now.since(MAX_STREAM_LIFETIME));
            self.apply_serving_versions();
            self.streams.lock().drop_expired(now);
        }
    }
}

/// A read of the store's record of versions.
#[derive(Clone, Debug, Default)]
pub(crate) struct VersionRead {
    /// The read began after the request with this ticket.
    pub ticket: u64,
    /// The versions that can have begun a stream that still lasts; `None` if the record proves nothing.
    pub versions: Option<Vec<ServiceVersion>>,
}
