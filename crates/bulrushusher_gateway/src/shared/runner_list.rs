//! Age and origin of the runner list that requests are routed by.

use std::sync::Arc;

use bulrushusher_forward::{Runner, era_of};
use bulrushusher_time::Millis;
use derive_more::Display;

use super::SharedState;
use crate::dialect::Topic;

/// How this gateway received the state of the runner list that it uses.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq)]
pub(crate) enum ListSource {
    /// It has none yet.
    #[default]
    #[display("none")]
    None,
    /// A page of a list whose later pages have not arrived.
    #[display("first_pages")]
    FirstPages,
    /// A full list.
    #[display("list")]
    List,
    /// A full list that may have been some seconds old.
    #[display("stale_list")]
    StaleList,
    /// A long poll.
    #[display("watch")]
    Watch,
    /// A single request for the changes that relays did not supply.
    #[display("catch_up")]
    CatchUp,
    /// A relay.
    #[display("relay:{_0}")]
    Relay(Arc<str>),
}

/// The state of the runner list that this gateway last received.
#[derive(Clone, Debug, Default)]
pub(super) struct RunnerListState {
    source: ListSource,
    /// Time up to which the store is known to have had no later change than the list contains.
    confirmed_at: Option<Millis>,
}

/// What a request to a runner was decided by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListEvidence {
    /// Revision of the store up to which the runner list is complete.
    pub revision: u64,
    /// Time since the store confirmed the list; `None` if it has not.
    pub age: Option<Millis>,
    /// How the list was received.
    pub source: ListSource,
    /// Revision of the runner's entry; 0 if the runner is no longer known.
    pub entry_revision: u64,
    /// Time since the runner's entry changed here.
    pub entry_age: Millis,
}

impl SharedState {
    /// Records that the runner list was received, complete as of `confirmed_at`; `None` if the
    /// store may have changed before it was received.
    pub(crate) fn record_runner_list(&self, source: ListSource, confirmed_at: Option<Millis>) {
        let mut list = self.runner_list.lock();
        list.source = source;
        list.confirmed_at = list.confirmed_at.max(confirmed_at);
    }

    /// Records that a relay has confirmed the list `age` ago, with `last_change` as the last change.
    pub(crate) fn record_relay_confirmation(&self, relay: &str, last_change: u64, age: Millis) {
        let seen = self.seen_revision(Topic::Runners);
        if era_of(seen) == era_of(last_change) && last_change <= seen {
            let confirmed_at = Some(self.now().since(age));
            self.record_runner_list(ListSource::Relay(relay.into()), confirmed_at);
        }
    }

    /// Time since the store confirmed the runner list, directly or through a relay; `None` if it
    /// has not.
    pub(crate) fn runner_list_age(&self) -> Option<Millis> {
        let confirmed_at = self.runner_list.lock().confirmed_at;
        confirmed_at.map(|at| self.now().since(at))
    }

    /// What a request that is sent to the runner now is decided by.
    pub(crate) fn list_evidence(&self, runner: &Runner) -> ListEvidence {
        let (entry_revision, changed_at) = self.with_runners(|runners, now| {
            let revision = runners.directory.get(&runner.id, now).map_or(0, |it| it.revision);
            (revision, runners.directory.changed_at(&runner.id).unwrap_or(now))
        });
        ListEvidence {
            revision: self.seen_revision(Topic::Runners),
            age: self.runner_list_age(),
            source: self.runner_list.lock().source.clone(),
            entry_revision,
            entry_age: self.now().since(changed_at),
        }
    }
}
