//! What gateways pass on of the store's changes, and what they hear of it.

use std::sync::Arc;

use bulrushusher_forward::{
    ChangeLog, DeltaPages, DeltaRequest, PageOutcome, RoutingConfig, RoutingDelta, RunnerChange,
    RunnerDelta, SeenRevisions, StoreRole, era_of,
};
use serde::{Deserialize, Serialize};

use super::Knowledge;
use super::revisions::of_topic;
use crate::dialect::Topic;

/// Changes that are kept for those who missed some: twice the runners to design for.
const MAX_CHANGES: usize = 5_400;

/// Changes in one datagram.
const PAGE_CHANGES: usize = 128;

/// A change of the configuration, as relays tell it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RoutingUpdate {
    /// Revision of the store's change.
    pub revision: u64,
    pub delta: RoutingDelta,
}

/// What was passed on, and what may be.
#[derive(Debug)]
pub(super) struct RelayedChanges {
    /// The last changes, as far as relays told.
    reported: SeenRevisions,
    /// The last change of the configuration that this gateway took in.
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

impl Knowledge {
    /// Notes a list of runners, and what it changed.
    pub(crate) fn record_list(&self, revision: u64, last_change: u64, changes: Vec<RunnerChange>) {
        let log = &mut self.relayed.lock().log;
        match era_of(log.revision()) == era_of(revision) && log.revision() > 0 {
            true => log.record(log.revision(), revision, last_change, changes),
            false => log.restart(revision, last_change),
        }
    }

    /// Notes what changed between two revisions.
    pub(crate) fn record_changes(
        &self,
        after: u64,
        revision: u64,
        last_change: u64,
        changes: Vec<RunnerChange>,
    ) {
        self.relayed.lock().log.record(after, revision, last_change, changes);
    }

    /// The revision that the noted changes lead to.
    pub(crate) fn recorded_revision(&self) -> u64 {
        self.relayed.lock().log.revision()
    }

    /// What changed since a revision, for a gateway that asks; `None` where that is not remembered.
    pub(crate) fn delta_since(&self, req: &DeltaRequest) -> Option<RunnerDelta> {
        let outage_age = self.with_runners(|runners, now| runners.directory.outage_age(now));
        let delta = self.relayed.lock().log.since(req, PAGE_CHANGES)?;
        Some(RunnerDelta { outage_age, ..delta })
    }

    /// Notes what the configuration in force changes of the one before, by a change of the store at that
    /// revision.
    pub(crate) fn record_routing_change(&self, old: Option<&RoutingConfig>, revision: u64) {
        let (Some(old), Some(new)) = (old, self.routing()) else { return };
        if new.version == old.version {
            return;
        }
        let delta = RoutingDelta::between(old, &new);
        let delta = delta.filter(|delta| delta.route_count() <= PAGE_CHANGES);
        self.relayed.lock().routing = delta.map(|delta| RoutingUpdate { revision, delta });
    }

    /// The last change of the configuration, for gateways that listen.
    pub(crate) fn last_routing_change(&self) -> Option<RoutingUpdate> {
        self.relayed.lock().routing.clone()
    }

    /// Takes in a relay's change of the configuration. One that changes another configuration than the one
    /// in force is passed over: the store is asked then.
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
                self.record_revisions(Topic::Configuration, revision, revision);
            }
            Ok(None) => {}
            Err(e) => {
                log::error!("configuration: a relay's update cannot be applied cause=\"{e}\"")
            }
        }
    }

    /// Takes in what a relay tells of the last changes.
    pub(crate) fn record_relay_revisions(&self, revisions: SeenRevisions) {
        let mut state = self.relayed.lock();
        let reported = state.reported.max(revisions);
        let is_new = std::mem::replace(&mut state.reported, reported) != reported;
        drop(state);
        if is_new {
            self.relay_revisions_changed.notify_waiters();
        }
    }

    /// What a delta is to this gateway; it is for whoever listens only.
    pub(crate) fn accept_delta_page(&self, page: RunnerDelta) -> PageOutcome {
        if self.relay_view.borrow().role != StoreRole::Listen || !self.has_full_list() {
            return PageOutcome::Known;
        }
        let seen = self.seen_revision(Topic::Runners);
        self.relayed.lock().pages.add(page, seen)
    }

    /// The last change of the runners' list that is known to somebody and not here.
    pub(crate) fn missed_runner_change(&self) -> Option<u64> {
        if self.relay_view.borrow().role != StoreRole::Listen || !self.has_full_list() {
            return None;
        }
        let peer_revision = self.reported_revision(Topic::Runners);
        (peer_revision > self.seen_revision(Topic::Runners)).then_some(peer_revision)
    }

    /// Peers that watch and know of a change, or all that watch where none does.
    pub(crate) fn relays_with(&self, change: u64) -> Vec<Arc<str>> {
        let watching = self.relay_view.borrow().watching.clone();
        let runs = self.runs.lock();
        let has_seen = |name: &&Arc<str>| runs.revisions_seen_by(name).runners >= change;
        let with_change: Vec<Arc<str>> = watching.iter().filter(has_seen).cloned().collect();
        if with_change.is_empty() { watching } else { with_change }
    }

    /// The revision that a list must have reached to be of use: of runners, what is known already, as relays
    /// tell what follows; of the configuration, what anybody has told of.
    pub(crate) fn min_list_revision(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Configuration => self.reported_revision(topic),
            Topic::Runners => self.seen_revision(topic),
        }
    }

    /// True once runners were listed as a whole.
    pub(crate) fn has_full_list(&self) -> bool {
        self.with_runners(|runners, _| runners.directory.has_full_list())
    }

    /// The last change of a topic that relays or other peers have told of.
    pub(crate) fn reported_revision(&self, topic: Topic) -> u64 {
        let peers = self.runs.lock().revisions_seen_by_peers(self.now());
        of_topic(self.relayed.lock().reported.max(peers), topic)
    }

    /// Returns once a later configuration is known to a relay, or for some time to another peer.
    pub(crate) async fn wait_for_newer_configuration(&self) -> u64 {
        loop {
            let changed = self.relay_revisions_changed.notified();
            let reported = self.relayed.lock().reported.configuration;
            if reported > self.seen_revision(Topic::Configuration) {
                return reported;
            }
            tokio::select! {
                () = changed => {}
                peer_revision = self.wait_until_behind(Topic::Configuration) => return peer_revision,
            }
        }
    }
}
