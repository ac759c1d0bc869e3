//! What this gateway and its peers know of the store's changes.

use bulrushusher_forward::{LongPollConfig, SeenRevisions};
use bulrushusher_time::Millis;
use tokio::sync::watch;

use super::Knowledge;
use crate::dialect::Topic;

/// How often it is looked whether a peer knows more.
const LOOK_EVERY: Millis = Millis(50);

impl Knowledge {
    /// The store told a topic up to a revision, with a last change at another.
    pub(crate) fn note_news(&self, topic: Topic, revision: u64, last_change: u64) {
        let mut news = self.news.lock();
        let known = &mut *news;
        let (told, seen) = match topic {
            Topic::Configuration => (&mut known.told.configuration, &mut known.seen.configuration),
            Topic::Runners => (&mut known.told.runners, &mut known.seen.runners),
        };
        *told = (*told).max(last_change);
        *seen = (*seen).max(revision);
    }

    /// The revision up to which no change of a topic was missed.
    pub(crate) fn news_seen(&self, topic: Topic) -> u64 {
        of_topic(self.news.lock().seen, topic)
    }

    /// The changes that this gateway knows, for its peers.
    pub(crate) fn news_told(&self) -> SeenRevisions {
        let version = self.routing().map_or(0, |routing| routing.version);
        SeenRevisions { version, ..self.news.lock().told }
    }

    /// The store holds that version of the configuration, be it in force or an older copy.
    pub(super) fn note_stored_version(&self, version: u64) {
        self.news.lock().stored_version = version;
    }

    /// True while the store does not hold the latest configuration that any gateway knows: it came back
    /// from an older copy, and vouches for nothing until the operator has written again.
    pub(super) fn store_is_behind(&self) -> bool {
        let now = self.now();
        let known = self.news_told().max(self.runs.lock().revisions_seen_by_peers(now)).version;
        self.news.lock().stored_version < known
    }

    /// The store came back from an older copy, as an answer of a later era shows.
    pub(crate) fn note_restore(&self, topic: Topic) {
        match topic {
            Topic::Configuration => self.restored.send_modify(|times| *times += 1),
            Topic::Runners => {
                self.with_runners(|runners, now| runners.members.record_store_restore(now));
            }
        }
    }

    /// Counts how often the store came back from an older copy, as far as this gateway saw.
    pub(crate) fn restores(&self) -> watch::Receiver<u64> {
        self.restored.subscribe()
    }

    /// How long to wait for a topic's changes, beside the peers that watch too; alone it would be `alone`.
    pub(crate) fn news_wait(&self, alone: Millis) -> Millis {
        let peers = self.relay_view.borrow().watching.len();
        let wait = LongPollConfig::default().wait(alone, peers);
        // Spread, so that gateways that began together are not all answered at the same time.
        let spread = 0.5 + 0.5 * self.draw();
        wait.share(spread).max(alone)
    }

    /// Returns once a peer has known for some time of a change that the store did not tell here.
    pub(crate) async fn falls_behind(&self, topic: Topic) -> u64 {
        let mut behind_since = None;
        loop {
            tokio::time::sleep(LOOK_EVERY.duration()).await;
            let Some(theirs) = self.behind_peers(topic) else {
                behind_since = None;
                continue;
            };
            let now = self.now();
            let since = *behind_since.get_or_insert(now);
            if now.since(since) >= LongPollConfig::default().behind_grace {
                return theirs;
            }
        }
    }

    /// The last change that a peer knows, if it is not known here.
    fn behind_peers(&self, topic: Topic) -> Option<u64> {
        let theirs = of_topic(self.runs.lock().revisions_seen_by_peers(self.now()), topic);
        (theirs > self.news_seen(topic)).then_some(theirs)
    }
}

/// A topic's part of the news.
pub(super) fn of_topic(news: SeenRevisions, topic: Topic) -> u64 {
    match topic {
        Topic::Configuration => news.configuration,
        Topic::Runners => news.runners,
    }
}

/// What the store told.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KnownNews {
    /// The last changes.
    told: SeenRevisions,
    /// The revisions up to which nothing was missed.
    seen: SeenRevisions,
    /// Version of the configuration that the store held last.
    stored_version: u64,
}
