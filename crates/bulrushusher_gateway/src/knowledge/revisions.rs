//! What this gateway and its peers know of the store's changes.

use bulrushusher_forward::{LongPollConfig, SeenRevisions};
use bulrushusher_time::Millis;
use tokio::sync::watch;

use super::Knowledge;
use crate::dialect::Topic;

/// How often it is looked whether a peer knows more.
const CHECK_INTERVAL: Millis = Millis(50);

impl Knowledge {
    /// The store told a topic up to a revision, with a last change at another.
    pub(crate) fn record_revisions(&self, topic: Topic, revision: u64, last_change: u64) {
        let mut revisions = self.revisions.lock();
        let state = &mut *revisions;
        let (changes, seen) = match topic {
            Topic::Configuration => {
                (&mut state.changes.configuration, &mut state.seen.configuration)
            }
            Topic::Runners => (&mut state.changes.runners, &mut state.seen.runners),
        };
        *changes = (*changes).max(last_change);
        *seen = (*seen).max(revision);
    }

    /// The revision up to which no change of a topic was missed.
    pub(crate) fn seen_revision(&self, topic: Topic) -> u64 {
        of_topic(self.revisions.lock().seen, topic)
    }

    /// The changes that this gateway knows, for its peers.
    pub(crate) fn own_revisions(&self) -> SeenRevisions {
        let version = self.routing().map_or(0, |routing| routing.version);
        SeenRevisions { version, ..self.revisions.lock().changes }
    }

    /// The store holds that version of the configuration, be it in force or an older copy.
    pub(super) fn record_stored_version(&self, version: u64) {
        self.revisions.lock().stored_version = version;
    }

    /// True while the store does not hold the latest configuration that any gateway knows: it came back
    /// from an older copy, and vouches for nothing until the operator has written again.
    pub(super) fn store_is_behind(&self) -> bool {
        let now = self.now();
        let latest =
            self.own_revisions().max(self.runs.lock().revisions_seen_by_peers(now)).version;
        self.revisions.lock().stored_version < latest
    }

    /// The store came back from an older copy, as an answer of a later era shows.
    pub(crate) fn record_store_restore(&self, topic: Topic) {
        match topic {
            Topic::Configuration => self.restores.send_modify(|times| *times += 1),
            Topic::Runners => {
                self.with_runners(|runners, now| runners.directory.record_store_restore(now));
            }
        }
    }

    /// Counts how often the store came back from an older copy, as far as this gateway saw.
    pub(crate) fn store_restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }

    /// How long to wait for a topic's changes, beside the peers that watch too; alone it would be `alone`.
    pub(crate) fn long_poll_wait(&self, base_wait: Millis) -> Millis {
        let peers = self.relay_view.borrow().watching.len();
        let wait = LongPollConfig::default().wait(base_wait, peers);
        // Spread, so that gateways that began together are not all answered at the same time.
        let spread = 0.5 + 0.5 * self.draw();
        wait.share(spread).max(base_wait)
    }

    /// Returns once a peer has known for some time of a change that the store did not tell here.
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

    /// The last change that a peer knows, if it is not known here.
    fn revision_of_peers(&self, topic: Topic) -> Option<u64> {
        let peer_revision = of_topic(self.runs.lock().revisions_seen_by_peers(self.now()), topic);
        (peer_revision > self.seen_revision(topic)).then_some(peer_revision)
    }
}

/// A topic's part of the news.
pub(super) fn of_topic(revisions: SeenRevisions, topic: Topic) -> u64 {
    match topic {
        Topic::Configuration => revisions.configuration,
        Topic::Runners => revisions.runners,
    }
}

/// What the store told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RevisionState {
    /// The last changes.
    changes: SeenRevisions,
    /// The revisions up to which nothing was missed.
    seen: SeenRevisions,
    /// Version of the configuration that the store held last.
    stored_version: u64,
}
