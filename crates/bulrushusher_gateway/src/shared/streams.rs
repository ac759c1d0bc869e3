//! Which software version began each stream, at this gateway and at those that keep its records.

use bulrushusher_forward::{Runner, SoftwareVersion, StreamKey, StreamRecord};
use bulrushusher_time::Millis;
use bulrushusher_world::ServiceName;

use super::SharedState;
use crate::dialect::Topic;

/// Longest time from the beginning of a stream to a caller's last return. A version that was listed
/// within this time may have begun a stream.
const MAX_STREAM_LIFETIME: Millis = Millis(60_000);

/// Interval at which the listed versions are recorded: a runner that is removed was listed at most
/// this long before.
const OBSERVE_INTERVAL: Millis = Millis(500);

/// Number of gateways that keep the store's record of versions that serve side by side.
const RECORD_KEEPERS: usize = 2;

/// A software version of a service, and when it was last listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct VersionSighting {
    pub service: ServiceName,
    pub version: SoftwareVersion,
    pub at: Millis,
}

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

    /// The only version that may have begun a stream of the service that still lasts; `None` if several
    /// may have, or if the list of runners is too old to tell. The second value is false if this gateway
    /// has not run for as long as a stream may last, nor read the store's record, so that it may have
    /// missed a version.
    pub(crate) fn sole_version(&self, service: &ServiceName) -> (Option<SoftwareVersion>, bool) {
        if !self.is_copy_current(Topic::Runners) {
            return (None, false);
        }
        self.observe_versions();
        let now = self.now();
        let sole = self.version_history.lock().sole(service, now.since(MAX_STREAM_LIFETIME));
        let is_certain = now.since(self.started_at) >= MAX_STREAM_LIFETIME;
        (sole, is_certain || *self.versions_read.borrow())
    }

    /// Waits up to `longest` until the store's record of versions was read.
    pub(crate) async fn wait_for_versions(&self, longest: Millis) -> bool {
        self.versions_wanted.notify_one();
        let mut read = self.versions_read.subscribe();
        let waiting = read.wait_for(|is_read| *is_read);
        tokio::time::timeout(longest.duration(), waiting).await.is_ok_and(|read| read.is_ok())
    }

    /// Records that the store's record of versions was read.
    pub(crate) fn set_versions_read(&self) {
        self.versions_read.send_replace(true);
    }

    /// Records versions that other gateways have seen.
    pub(crate) fn learn_versions(&self, sightings: &[VersionSighting]) {
        let mut history = self.version_history.lock();
        for VersionSighting { service, version, at } in sightings {
            history.observe(service, version, *at);
        }
    }

    /// The versions of services of which several are recent.
    pub(crate) fn mixed_versions(&self) -> Vec<VersionSighting> {
        let mixed = self.version_history.lock().mixed();
        mixed
            .into_iter()
            .map(|(service, version, at)| VersionSighting { service, version, at })
            .collect()
    }

    /// Time before which a version that was last listed no longer counts.
    pub(crate) fn oldest_version_sighting(&self) -> Millis {
        self.now().since(MAX_STREAM_LIFETIME)
    }

    /// True if this gateway is one of those that keep the store's record of versions.
    pub(crate) fn keeps_version_record(&self) -> bool {
        let known = self.known_gateways.lock();
        known.certain_count(self.now()).is_some()
            && known.is_among_first(RECORD_KEEPERS, "versions", self.cfg().name.as_str())
    }

    /// Records the versions of the listed runners.
    fn observe_versions(&self) {
        self.with_runners(|runners, now| {
            let mut history = self.version_history.lock();
            for runner in runners.directory.all(now) {
                history.observe(&runner.service, &runner.version, now);
            }
            history.forget_before(now.since(MAX_STREAM_LIFETIME));
        });
    }

    /// Records the listed versions and drops expired records, until the gateway stops.
    pub(crate) async fn watch_versions(&self) {
        loop {
            tokio::time::sleep(OBSERVE_INTERVAL.duration()).await;
            self.observe_versions();
            self.streams.lock().drop_expired(self.now());
        }
    }
}
