//! What gateways pass on of the store's changes, and what they hear of it.

use std::sync::Arc;

use bulrushusher_forward::{
    ChangeLog, DeltaPages, DeltaRequest, PageOutcome, RoutingConfig, RoutingDelta, RunnerChange,
    RunnerDelta, SeenRevisions, StoreRole, era_of,
};
use serde::{Deserialize, Serialize};

use super::Knowledge;
use super::news::of_topic;
use crate::dialect::Topic;

/// Changes that are kept for those who missed some: twice the runners to design for.
const CHANGES_KEPT: usize = 5_400;

/// Changes in one datagram.
const PAGE: usize = 128;

/// A change of the configuration, as relays tell it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ToldRouting {
    /// Revision of the store's change.
    pub revision: u64,
    pub delta: RoutingDelta,
}

/// What was passed on, and what may be.
#[derive(Debug)]
pub(super) struct PassedOn {
    /// The last changes, as far as relays told.
    told: SeenRevisions,
    /// The last change of the configuration that this gateway took in.
    routing: Option<ToldRouting>,
    log: ChangeLog,
    pages: DeltaPages,
}

impl Default for PassedOn {
    fn default() -> PassedOn {
        PassedOn {
            told: SeenRevisions::default(),
            routing: None,
            log: ChangeLog::new(CHANGES_KEPT),
            pages: DeltaPages::default(),
        }
    }
}

impl Knowledge {
    /// Notes a list of runners, and what it changed.
    pub(crate) fn log_list(&self, revision: u64, last_change: u64, changes: Vec<RunnerChange>) {
        let log = &mut self.passed.lock().log;
        match era_of(log.revision()) == era_of(revision) && log.revision() > 0 {
            true => log.record(log.revision(), revision, last_change, changes),
            false => log.restart(revision, last_change),
        }
    }

    /// Notes what changed between two revisions.
    pub(crate) fn log_changes(
        &self,
        after: u64,
        revision: u64,
        last_change: u64,
        changes: Vec<RunnerChange>,
    ) {
        self.passed.lock().log.record(after, revision, last_change, changes);
    }

    /// The revision that the noted changes lead to.
    pub(crate) fn logged_revision(&self) -> u64 {
        self.passed.lock().log.revision()
    }

    /// What changed since a revision, for a gateway that asks; `None` where that is not remembered.
    pub(crate) fn delta(&self, req: &DeltaRequest) -> Option<RunnerDelta> {
        let outage_age = self.with_runners(|known, now| known.members.outage_age(now));
        let delta = self.passed.lock().log.since(req, PAGE)?;
        Some(RunnerDelta { outage_age, ..delta })
    }

    /// Notes what the configuration in force changes of the one before, by a change of the store at that
    /// revision.
    pub(crate) fn note_routing_change(&self, old: Option<&RoutingConfig>, revision: u64) {
        let (Some(old), Some(new)) = (old, self.routing()) else { return };
        if new.version == old.version {
            return;
        }
        let delta = RoutingDelta::between(old, &new);
        let delta = delta.filter(|delta| delta.route_count() <= PAGE);
        self.passed.lock().routing = delta.map(|delta| ToldRouting { revision, delta });
    }

    /// The last change of the configuration, for gateways that listen.
    pub(crate) fn routing_change(&self) -> Option<ToldRouting> {
        self.passed.lock().routing.clone()
    }

    /// Takes in a relay's change of the configuration. One that changes another configuration than the one
    /// in force is passed over: the store is asked then.
    pub(crate) fn take_routing_change(&self, told: ToldRouting) {
        let ToldRouting { revision, delta } = told;
        let seen = self.news_seen(Topic::Configuration);
        if self.relay_view.borrow().role != StoreRole::Listen
            || era_of(seen) != era_of(revision)
            || revision <= seen
        {
            return;
        }
        let Some(old) = self.routing() else { return };
        match delta.apply(&old) {
            Ok(Some(routing)) => {
                self.take_routing(routing);
                self.note_news(Topic::Configuration, revision, revision);
            }
            Ok(None) => {}
            Err(e) => log::error!("configuration: a relay's change cannot be used cause=\"{e}\""),
        }
    }

    /// Takes in what a relay tells of the last changes.
    pub(crate) fn hear_store_news(&self, news: SeenRevisions) {
        let mut state = self.passed.lock();
        let told = state.told.max(news);
        let is_new = std::mem::replace(&mut state.told, told) != told;
        drop(state);
        if is_new {
            self.store_news_heard.notify_waiters();
        }
    }

    /// What a delta is to this gateway; it is for whoever listens only.
    pub(crate) fn sort_delta(&self, page: RunnerDelta) -> PageOutcome {
        if self.relay_view.borrow().role != StoreRole::Listen || !self.is_listed() {
            return PageOutcome::Known;
        }
        let seen = self.news_seen(Topic::Runners);
        self.passed.lock().pages.add(page, seen)
    }

    /// The last change of the runners' list that is known to somebody and not here.
    pub(crate) fn runners_missed(&self) -> Option<u64> {
        if self.relay_view.borrow().role != StoreRole::Listen || !self.is_listed() {
            return None;
        }
        let theirs = self.told_of(Topic::Runners);
        (theirs > self.news_seen(Topic::Runners)).then_some(theirs)
    }

    /// Peers that watch and know of a change, or all that watch where none does.
    pub(crate) fn relays_that_know(&self, change: u64) -> Vec<Arc<str>> {
        let watching = self.relay_view.borrow().watching.clone();
        let runs = self.runs.lock();
        let knows = |name: &&Arc<str>| runs.revisions_seen_by(name).runners >= change;
        let know: Vec<Arc<str>> = watching.iter().filter(knows).cloned().collect();
        if know.is_empty() { watching } else { know }
    }

    /// The revision that a list must have reached to be of use: of runners, what is known already, as relays
    /// tell what follows; of the configuration, what anybody has told of.
    pub(crate) fn last_known(&self, topic: Topic) -> u64 {
        match topic {
            Topic::Configuration => self.told_of(topic),
            Topic::Runners => self.news_seen(topic),
        }
    }

    /// True once runners were listed as a whole.
    pub(crate) fn is_listed(&self) -> bool {
        self.with_runners(|known, _| known.members.has_full_list())
    }

    /// The last change of a topic that relays or other peers have told of.
    pub(crate) fn told_of(&self, topic: Topic) -> u64 {
        let peers = self.runs.lock().revisions_seen_by_peers(self.now());
        of_topic(self.passed.lock().told.max(peers), topic)
    }

    /// Returns once a later configuration is known to a relay, or for some time to another peer.
    pub(crate) async fn configuration_is_behind(&self) -> u64 {
        loop {
            let heard = self.store_news_heard.notified();
            let told = self.passed.lock().told.configuration;
            if told > self.news_seen(Topic::Configuration) {
                return told;
            }
            tokio::select! {
                () = heard => {}
                theirs = self.falls_behind(Topic::Configuration) => return theirs,
            }
        }
    }
}
