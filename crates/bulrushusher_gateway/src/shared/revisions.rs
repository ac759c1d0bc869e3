//! Revisions of the store that this gateway and its peers have received.

use bulrushusher_forward::{ConfigurationCopy, LongPollConfig, SeenRevisions, StoredConfiguration};
use bulrushusher_time::Millis;
use tokio::sync::watch;

use super::SharedState;
use crate::dialect::Topic;

/// How often the revisions of the peers are checked.
const CHECK_INTERVAL: Millis = Millis(50);

impl SharedState {
    /// Records that changes of a topic are complete up to `revision`, the last of them at
    /// `last_change`.
    pub(crate) fn record_revisions(&self, topic: Topic, revision: u64, last_change: u64) {
        let mut revisions = self.revisions.lock();
        let state = &mut *revisions;
        let (changes, seen) = match topic {
            Topic::Configuration => {
                (&mut state.changes.configuration, &mut state.seen.configuration)
            }
            Topic::Runners => (&mut state.changes.runners, &mut state.seen.runners),
            Topic::Evacuations => (&mut state.changes.evacuations, &mut state.seen.evacuations),
        };
        *changes = (*changes).max(last_change);
        *seen = (*seen).max(revision);
    }

    /// Records which configuration a response of the store, or a relay, contained at `revision`.
    pub(crate) fn record_configuration(&self, stored: StoredConfiguration, revision: u64) {
        let is_outdated = self.revisions.lock().configuration.record(stored, revision);
        if is_outdated {
            log::error!(
                "configuration: the store's version cannot be read revision={revision} \
                 in_force={} accounts={}; API keys are accepted until the lease expires; correct \
                 the configuration",
                self.routing().map_or(0, |routing| routing.version),
                self.has_accounts(),
            );
        }
    }

    /// Proof that all that the store has sent of a topic is in force; `None` while the latest
    /// configuration cannot be read.
    pub(crate) fn in_force(&self, topic: Topic) -> Option<InForce> {
        let is_in_force = match topic {
            Topic::Configuration => self.revisions.lock().configuration.is_in_force(),
            // An unreadable object takes away its own runner, and names no data centre that a
            // readable entry of a runner could have.
            Topic::Runners | Topic::Evacuations => true,
        };
        is_in_force.then_some(InForce(()))
    }

    /// The revision up to which no change of a topic was missed.
    pub(crate) fn seen_revision(&self, topic: Topic) -> u64 {
        of_topic(self.revisions.lock().seen, topic)
    }

    /// The last changes that this gateway has received, for its peers.
    pub(crate) fn own_revisions(&self) -> SeenRevisions {
        let version = self.routing().map_or(0, |routing| routing.version);
        SeenRevisions { version, ..self.revisions.lock().changes }
    }

    /// Records the version of the configuration that the store holds, whether it is in force or an
    /// older copy.
    pub(super) fn record_stored_version(&self, version: u64) {
        self.revisions.lock().stored_version = version;
    }

    /// True while the store does not hold the latest configuration that any gateway has received.
    /// The store was then restored from an older copy, and confirms nothing until an operator has
    /// written the configuration again.
    pub(super) fn store_is_behind(&self) -> bool {
        let now = self.now();
        let latest =
            self.own_revisions().max(self.runs.lock().revisions_seen_by_peers(now)).version;
        self.revisions.lock().stored_version < latest
    }

    /// Records that the store was restored from an older copy, which a response of a later era
    /// shows.
    pub(crate) fn record_store_restore(&self, topic: Topic) {
        match topic {
            Topic::Configuration => self.restores.send_modify(|times| *times += 1),
            Topic::Runners => {
                self.with_runners(|runners, now| runners.directory.record_store_restore(now));
            }
            // The list of a later era replaces the set.
            Topic::Evacuations => {}
        }
    }

    /// Subscribes to the number of store restores that this gateway has detected.
    pub(crate) fn store_restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }

    /// Time to wait for changes of a topic in one long poll. It grows with the number of peers that
    /// also watch the store; `base_wait` is the time for a single gateway.
    pub(crate) fn long_poll_wait(&self, base_wait: Millis) -> Millis {
        let peers = self.relay_view.borrow().watching.len();
        let wait = LongPollConfig::default().wait(base_wait, peers);
        // Random, so that the polls of gateways that started together do not end at the same time.
        let spread = 0.5 + 0.5 * self.draw();
        wait.share(spread).max(base_wait)
    }

    /// Returns once a peer has had, for a grace period, a change that the store has not sent to
    /// this gateway.
    pub(crate) async fn wait_until_behind(&self, topic: Topic) -> u64 {
        let mut behind_since = None;
        loop {
            tokio::time::sleep(CHECK_INTERVAL.duration()).await;
            let Some(peer_revision) = self.revision_of_peers(topic) else {
                behind_since = None;
                continue;
            };
            let now = self.now();
            let since = *behind_since.get_or_insert(now);
            if now.since(since) >= LongPollConfig::default().behind_grace {
                return peer_revision;
            }
        }
    }

    /// The last change that a peer has received, if this gateway has not.
    fn revision_of_peers(&self, topic: Topic) -> Option<u64> {
        let peer_revision = of_topic(self.runs.lock().revisions_seen_by_peers(self.now()), topic);
        (peer_revision > self.seen_revision(topic)).then_some(peer_revision)
    }
}

/// The revision of a topic.
pub(super) fn of_topic(revisions: SeenRevisions, topic: Topic) -> u64 {
    match topic {
        Topic::Configuration => revisions.configuration,
        Topic::Runners => revisions.runners,
        Topic::Evacuations => revisions.evacuations,
    }
}

/// Proof that all that the store has sent of a topic is in force. Only with it a response of the
/// store confirms the copy of the topic, or renews the lease on the configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InForce(());

impl InForce {
    /// The copy is complete as of a time.
    pub(crate) fn as_of(self, at: Millis) -> Confirmation {
        Confirmation(at)
    }
}

/// Time up to which the store is known to have had no later change than the copy contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Confirmation(Millis);

impl Confirmation {
    /// That time.
    pub(super) fn at(self) -> Millis {
        self.0
    }
}

/// Revisions that this gateway has received from the store or from relays.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RevisionState {
    /// Revisions of the last changes.
    changes: SeenRevisions,
    /// Revisions up to which no change was missed.
    seen: SeenRevisions,
    /// Whether the latest configuration received is in force.
    configuration: ConfigurationCopy,
    /// Version of the configuration that the store held last.
    stored_version: u64,
}
