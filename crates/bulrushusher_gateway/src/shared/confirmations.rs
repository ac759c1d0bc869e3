//! Age and origin of this gateway's copy of the store: when the store last confirmed each topic.
//!
//! A relay that lost the store forwards nothing, which looks like a store without changes. Relays
//! therefore pass on each confirmation, and a gateway whose copy was not confirmed for too long asks
//! the store itself.

use std::sync::Arc;

use bulrushusher_forward::{LogCoverage, Runner, SeenRevisions, era_of};
use bulrushusher_time::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::revisions::of_topic;
use super::{Confirmation, SharedState};
use crate::dialect::Topic;

/// Age at which a gateway asks the store itself, as a part of the time within which a change must
/// take effect. A call without an answer and its repeat fit into the rest.
const MAX_AGE_SHARE: f64 = 0.6;

/// How this gateway received its copy of a topic.
#[derive(Clone, Debug, Default, Display, PartialEq, Eq)]
pub(crate) enum UpdateSource {
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

/// The copy of one topic.
#[derive(Clone, Debug, Default)]
struct TopicCopy {
    source: UpdateSource,
    confirmed: Option<Confirmation>,
}

/// The copies of all topics.
#[derive(Clone, Debug, Default)]
pub(super) struct Confirmations {
    configuration: TopicCopy,
    runners: TopicCopy,
    evacuations: TopicCopy,
}

impl Confirmations {
    fn of(&mut self, topic: Topic) -> &mut TopicCopy {
        match topic {
            Topic::Configuration => &mut self.configuration,
            Topic::Runners => &mut self.runners,
            Topic::Evacuations => &mut self.evacuations,
        }
    }
}

/// Time since the store confirmed each topic, as relays report it; `None` if it has not.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfirmationAges {
    configuration: Option<Millis>,
    runners: Option<Millis>,
    evacuations: Option<Millis>,
    /// Revisions after which the relay has each change of the runner list. Its lists do not show
    /// which runners were removed before them.
    runners_coverage: LogCoverage,
}

/// What a request to a runner was decided by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListEvidence {
    /// Revision of the store up to which the runner list is complete.
    pub revision: u64,
    /// Time since the store confirmed the list; `None` if it has not.
    pub age: Option<Millis>,
    /// How the list was received.
    pub source: UpdateSource,
    /// Revision of the runner's entry; 0 if the runner is no longer known.
    pub entry_revision: u64,
    /// Time since the runner's entry changed here.
    pub entry_age: Millis,
}

impl SharedState {
    /// Records that a topic was received. Without a confirmation, the store may have changed before
    /// it was received, or this gateway cannot put in force what it received.
    pub(crate) fn record_copy(
        &self,
        topic: Topic,
        source: UpdateSource,
        confirmed: Option<Confirmation>,
    ) {
        let mut confirmations = self.confirmations.lock();
        let copy = confirmations.of(topic);
        copy.source = source;
        copy.confirmed = copy.confirmed.max(confirmed);
    }

    /// Records the confirmations of a relay that has received the changes up to `revisions`. They
    /// apply to the topics of which this gateway has received all of these changes.
    pub(crate) fn record_relay_confirmations(
        &self,
        relay: &str,
        revisions: SeenRevisions,
        ages: ConfirmationAges,
    ) {
        for (topic, age) in
            [(Topic::Configuration, ages.configuration), (Topic::Runners, ages.runners)]
        {
            let (seen, last_change) = (self.seen_revision(topic), of_topic(revisions, topic));
            // The configuration is one object, so its last change is all that can be missing.
            let is_covered = topic == Topic::Configuration || ages.runners_coverage.contains(seen);
            let is_complete =
                era_of(seen) == era_of(last_change) && last_change <= seen && is_covered;
            let in_force = self.in_force(topic).filter(|_| is_complete);
            if let (Some(age), Some(in_force)) = (age, in_force) {
                let confirmed = in_force.as_of(self.now().since(age));
                self.record_copy(topic, UpdateSource::Relay(relay.into()), Some(confirmed));
            }
        }
    }

    /// Records that a relay, whose set of evacuations this gateway has or has replaced by a later one
    /// of the same era, had it confirmed by the store.
    pub(super) fn record_evacuations_confirmed(&self, relay: &str, ages: &ConfirmationAges) {
        let in_force = self.in_force(Topic::Evacuations);
        if let (Some(age), Some(in_force)) = (ages.evacuations, in_force) {
            let confirmed = Some(in_force.as_of(self.now().since(age)));
            self.record_copy(Topic::Evacuations, UpdateSource::Relay(relay.into()), confirmed);
        }
    }

    /// Time since the store confirmed a topic, directly or through a relay; `None` if it has not.
    pub(crate) fn confirmation_age(&self, topic: Topic) -> Option<Millis> {
        let confirmed = self.confirmations.lock().of(topic).confirmed;
        confirmed.map(|it| self.now().since(it.at()))
    }

    /// The ages of all topics.
    pub(crate) fn confirmation_ages(&self) -> ConfirmationAges {
        ConfirmationAges {
            configuration: self.confirmation_age(Topic::Configuration),
            runners: self.confirmation_age(Topic::Runners),
            evacuations: self.confirmation_age(Topic::Evacuations),
            runners_coverage: self.recorded_coverage(),
        }
    }

    /// Time within which a change of a topic must take effect.
    pub(crate) fn change_bound(&self, topic: Topic) -> Millis {
        let cfg = self.cfg();
        match topic {
            Topic::Configuration => cfg.configuration_in_force,
            Topic::Runners => cfg.runner_drained,
            Topic::Evacuations => self.evacuation_bound().unwrap_or(cfg.runner_drained),
        }
    }

    /// True while the store itself must confirm a topic, because no relay has for too long.
    pub(crate) fn is_confirmation_due(&self, topic: Topic) -> bool {
        self.time_to_confirmation(topic) == Millis(0)
    }

    /// Returns once the store itself must confirm a topic.
    pub(crate) async fn wait_until_confirmation_due(&self, topic: Topic) {
        while !self.is_confirmation_due(topic) {
            tokio::time::sleep(self.time_to_confirmation(topic).duration()).await;
        }
    }

    fn time_to_confirmation(&self, topic: Topic) -> Millis {
        let max_age = self.change_bound(topic).share(MAX_AGE_SHARE);
        self.confirmation_age(topic).map_or(Millis(0), |age| max_age.since(age))
    }

    /// True if the copy of the topic is no older than the age at which this gateway asks the store itself.
    pub(super) fn is_copy_current(&self, topic: Topic) -> bool {
        let max_age = self.change_bound(topic).share(MAX_AGE_SHARE);
        self.confirmation_age(topic).is_some_and(|age| age <= max_age)
    }

    /// What a request that is sent to the runner now is decided by.
    pub(crate) fn list_evidence(&self, runner: &Runner) -> ListEvidence {
        let (entry_revision, changed_at) = self.with_runners(|runners, now| {
            let revision = runners.directory.get(&runner.id, now).map_or(0, |it| it.revision);
            (revision, runners.directory.changed_at(&runner.id).unwrap_or(now))
        });
        ListEvidence {
            revision: self.seen_revision(Topic::Runners),
            age: self.confirmation_age(Topic::Runners),
            source: self.confirmations.lock().runners.source.clone(),
            entry_revision,
            entry_age: self.now().since(changed_at),
        }
    }
}
