//! Changes of the store that relays forward to the other gateways.

use std::sync::Arc;

use bulrushusher_forward::{
    ChangeLog, DeltaPages, DeltaRequest, LogCoverage, PageOutcome, RoutingConfig, RoutingDelta,
    RunnerChange, RunnerDelta, SeenRevisions, StoreRole, StoredConfiguration, era_of,
};
use serde::{Deserialize, Serialize};

use super::SharedState;
use super::revisions::of_topic;
use crate::dialect::Topic;

/// Changes that are kept for gateways that missed some: twice the number of runners that the system
/// is designed for.
const MAX_CHANGES: usize = 5_400;

/// Maximum number of changes in one datagram.
const PAGE_CHANGES: usize = 128;

/// A change of the configuration, as relays forward it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RoutingUpdate {
    /// Revision of the change in the store.
    pub revision: u64,
    pub delta: RoutingDelta,
}

/// Changes to forward, and those received from relays.
#[derive(Debug)]
pub(super) struct RelayedChanges {
    /// Revisions of the last changes that relays have reported.
    reported: SeenRevisions,
    /// The last change of the configuration that this gateway has applied.
    routing: Option<RoutingUpdate>,
    log: ChangeLog,
    pages: DeltaPages,
}

impl Default for RelayedChanges {
    fn default() -> RelayedChanges {
        RelayedChanges {
            reported: SeenRevisions::default(),
            routing: None,
            log: ChangeLog::new(MAX_CHANGES),
            pages: DeltaPages::default(),
        }
    }
}

impl SharedState {
    /// Records a list of runners and what it changed.
    pub(crate) fn record_list(&self, revision: u64, last_change: u64, changes: Vec<RunnerChange>) {
        self.relayed.lock().log.record_list(revision, last_change, changes);
    }

    /// Records the changes between two revisions.
    pub(crate) fn record_changes(
        &self,
        after: u64,
        revision: u64,
        last_change: u64,
        changes: Vec<RunnerChange>,
    ) {
        self.relayed.lock().log.record(after, revision, last_change, changes);
    }

    /// The revision that the recorded changes lead to.
    pub(crate) fn recorded_revision(&self) -> u64 {
        self.relayed.lock().log.revision()
    }

    /// The revisions after which all changes are recorded.
    pub(super) fn recorded_coverage(&self) -> LogCoverage {
        self.relayed.lock().log.coverage().clone()
    }

    /// The changes since a revision, for a gateway that requests them. `None` if some of
    /// them are not known.
    pub(crate) fn delta_since(&self, req: &DeltaRequest) -> Option<RunnerDelta> {
        let outage_age = self.with_runners(|runners, now| runners.directory.outage_age(now));
        let delta = self.relayed.lock().log.since(req, PAGE_CHANGES)?;
        Some(RunnerDelta { outage_age, ..delta })
    }

    /// Records the difference between the previous configuration and the one in force, which the
    /// store changed at `revision`.
    pub(crate) fn record_routing_change(&self, old: Option<&RoutingConfig>, revision: u64) {
        let (Some(old), Some(new)) = (old, self.routing()) else { return };
        if new.version == old.version {
            return;
        }
        let delta = RoutingDelta::between(old, &new);
        let delta = delta.filter(|delta| delta.route_count() <= PAGE_CHANGES);
        self.relayed.lock().routing = delta.map(|delta| RoutingUpdate { revision, delta });
    }

    /// The last change of the configuration, for gateways that do not watch the store.
    pub(crate) fn last_routing_change(&self) -> Option<RoutingUpdate> {
        self.relayed.lock().routing.clone()
    }

    /// Applies a configuration change from a relay. A change to another configuration than the one
    /// in force is ignored; the configuration is then requested from the store.
    pub(crate) fn apply_routing_update(&self, update: RoutingUpdate) {
        let RoutingUpdate { revision, delta } = update;
        let seen = self.seen_revision(Topic::Configuration);
        if self.relay_view.borrow().role != StoreRole::Listen
            || era_of(seen) != era_of(revision)
            || revision <= seen
        {
            return;
        }
        let Some(old) = self.routing() else { return };
        match delta.apply(&old) {
            Ok(Some(routing)) => {
                self.apply_routing(routing);
                self.record_configuration(StoredConfiguration::Readable, revision);
                self.record_revisions(Topic::Configuration, revision, revision);
            }
            Ok(None) => {}
            Err(e) => {
                log::error!("configuration: a relay's update cannot be applied cause=\"{e}\"");
            }
        }
    }

    /// Records the revisions that a relay reports.
    pub(crate) fn record_relay_revisions(&self, revisions: SeenRevisions) {
        let mut state = self.relayed.lock();
        let reported = state.reported.max(revisions);
        let is_new = std::mem::replace(&mut state.reported, reported) != reported;
        drop(state);
        if is_new {
            self.relay_revisions_changed.notify_waiters();
        }
    }

    /// Classifies a page of changes from a relay. Only gateways that do not watch the store use it.
    pub(crate) fn accept_delta_page(&self, page: RunnerDelta) -> PageOutcome {
        if self.relay_view.borrow().role != StoreRole::Listen || !self.has_full_list() {
            return PageOutcome::Known;
        }
        let seen = self.seen_revision(Topic::Runners);
        self.relayed.lock().pages.add(page, seen)
    }

    /// The last change of the runner list that a relay or another peer has and this gateway has
    /// not.
    pub(crate) fn missed_runner_change(&self) -> Option<u64> {
        if self.relay_view.borrow().role != StoreRole::Listen || !self.has_full_list() {
            return None;
        }
        let peer_revision = self.reported_revision(Topic::Runners);
        (peer_revision > self.seen_revision(Topic::Runners)).then_some(peer_revision)
    }

    /// Relays that have received a change, or all relays if none has.
    pub(crate) fn relays_with(&self, change: u64) -> Vec<Arc<str>> {
        let watching = self.relay_view.borrow().watching.clone();
        let runs = self.runs.lock();
        let has_seen = |name: &&Arc<str>| runs.revisions_seen_by(name).runners >= change;
        let with_change: Vec<Arc<str>> = watching.iter().filter(has_seen).cloned().collect();
        if with_change.is_empty() { watching } else { with_change }
    }

    /// The minimum revision of a usable list. For runners it is the revision already received,
    /// since relays forward the changes after it; for the configuration it is the last one that any
    /// gateway has reported.
    pub(crate) fn min_list_revision(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Configuration => self.reported_revision(topic),
            Topic::Runners | Topic::Evacuations => self.seen_revision(topic),
        }
    }

    /// True once the full list of runners was received.
    pub(crate) fn has_full_list(&self) -> bool {
        self.with_runners(|runners, _| runners.directory.has_full_list())
    }

    /// The last change of a topic that relays or other peers have reported.
    pub(crate) fn reported_revision(&self, topic: Topic) -> u64 {
        let peers = self.runs.lock().revisions_seen_by_peers(self.now());
        of_topic(self.relayed.lock().reported.max(peers), topic)
    }

    /// Returns once a relay reports a later configuration, or another peer has had one for a grace
    /// period.
    pub(crate) async fn wait_for_newer_configuration(&self) -> u64 {
        loop {
            let changed = self.relay_revisions_changed.notified();
            let reported = self.relayed.lock().reported.configuration;
            if reported > self.seen_revision(Topic::Configuration) {
                return reported;
            }
            tokio::select! {
                () = changed => {}
                revision = self.wait_until_behind(Topic::Configuration) => return revision,
            }
        }
    }
}
