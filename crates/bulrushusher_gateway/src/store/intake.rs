//! Applies changes of the store, received from the store itself or from a relay.

use std::sync::Arc;

use bulrushusher_forward::{
    EvacuationChange, EvacuationSet, EvacuationUpdate, RoutingConfig, Runner, RunnerChange,
    RunnerDelta, RunnerListDiff, RunnerRemoval, StartStatus, StoredConfiguration,
};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_world::{DataCentreName, RunnerId};

use crate::dialect::{Change, ChangeBatch, InvalidObject, Topic};
use crate::runners::pool::RunnerPool;
use crate::shared::{SharedState, UpdateSource};
use crate::store::sanitized;

/// Applies changes to the shared state, and closes connections to runners that are gone.
#[derive(Clone, Debug)]
pub(crate) struct Intake {
    pub shared: Arc<SharedState>,
    pub pool: Arc<RunnerPool>,
    pub metrics: Arc<GatewayMetrics>,
}

impl Intake {
    /// Applies a full list of the store.
    pub(crate) fn apply_list(&self, topic: Topic, update: ChangeBatch) {
        if topic == Topic::Evacuations {
            return self.apply_evacuation_list(update);
        }
        let old = self.shared.routing();
        let mut runners = Vec::new();
        let mut unreadable = Vec::new();
        // A list without a configuration confirms none.
        let mut stored = StoredConfiguration::Unreadable;
        for change in update.changes {
            match change {
                Change::Runner(runner) => runners.push(runner),
                Change::Invalid(bad) => unreadable.extend(self.skip_unreadable(topic, &bad)),
                Change::Configuration(routing) => {
                    self.shared.apply_routing(*routing);
                    stored = StoredConfiguration::Readable;
                }
                Change::RunnerGone(removal) => self.remove(&removal),
                Change::Evacuation(_) | Change::EvacuationOver(_) => {}
            }
        }
        let mut last_change = update.last_change;
        if topic == Topic::Runners {
            log::info!(
                "runners: listed count={} unreadable={} revision={}",
                runners.len(),
                unreadable.len(),
                update.revision
            );
            let mut changes = self.replace_runners(runners, update.revision);
            unreadable.iter().for_each(|change| self.apply(change));
            changes.extend(unreadable);
            if changes.iter().any(|it| matches!(it, RunnerChange::Removed(_))) {
                // The list does not tell when a runner was removed.
                last_change = update.revision;
            }
            self.shared.record_list(update.revision, last_change, changes);
        }
        self.record_configuration(topic, stored, update.revision);
        self.record_applied(topic, old.as_deref(), update.revision, last_change);
    }

    /// Applies a page of the first list, so that requests are served before the last page arrives.
    pub(crate) fn apply_early_page(&self, page: &[Change]) {
        if self.shared.has_full_list() {
            return;
        }
        for change in page {
            if let Change::Runner(runner) = change {
                self.shared.put_runner(runner.clone());
            }
        }
        self.shared.record_copy(Topic::Runners, UpdateSource::FirstPages, None);
    }

    /// Applies the changes in the store after a revision.
    pub(crate) fn apply_changes(&self, topic: Topic, after: u64, update: ChangeBatch) {
        if topic == Topic::Evacuations {
            return self.apply_evacuation_changes(after, update);
        }
        let old = self.shared.routing();
        let mut recorded = Vec::new();
        let mut stored = StoredConfiguration::Unchanged;
        for change in update.changes {
            let change = match change {
                Change::Configuration(routing) => {
                    self.shared.apply_routing(*routing);
                    stored = StoredConfiguration::Readable;
                    None
                }
                Change::Runner(runner) => Some(RunnerChange::Entry(runner)),
                Change::RunnerGone(removal) => Some(RunnerChange::Removed(removal)),
                Change::Invalid(bad) => {
                    stored = StoredConfiguration::Unreadable;
                    self.skip_unreadable(topic, &bad)
                }
                Change::Evacuation(_) | Change::EvacuationOver(_) => None,
            };
            change.iter().for_each(|change| self.apply(change));
            recorded.extend(change);
        }
        if topic == Topic::Runners {
            self.shared.record_changes(after, update.revision, update.last_change, recorded);
        }
        self.record_configuration(topic, stored, update.revision);
        self.record_applied(topic, old.as_deref(), update.revision, update.last_change);
    }

    fn record_configuration(&self, topic: Topic, stored: StoredConfiguration, revision: u64) {
        if topic == Topic::Configuration {
            self.shared.record_configuration(stored, revision);
        }
    }

    fn apply_evacuation_list(&self, update: ChangeBatch) {
        let ChangeBatch { changes, revision, last_change } = update;
        let listed = changes.iter().filter_map(|change| self.evacuation_change(change));
        let data_centres = listed.filter_map(|change| match change {
            EvacuationChange::Began(name) => Some(name),
            EvacuationChange::Ended(_) => None,
        });
        let set = EvacuationSet { revision, data_centres: data_centres.collect() };
        log::info!("evacuations: listed count={} revision={revision}", set.data_centres.len());
        let diff = self.shared.update_evacuations(EvacuationUpdate::List(set), "list");
        // The list does not tell when an evacuation ended.
        let last_change = if diff.ended.is_empty() { last_change } else { revision };
        self.shared.record_revisions(Topic::Evacuations, revision, last_change);
    }

    fn apply_evacuation_changes(&self, after: u64, update: ChangeBatch) {
        let ChangeBatch { changes, revision, last_change } = update;
        let changes = changes.iter().filter_map(|change| self.evacuation_change(change)).collect();
        let update = EvacuationUpdate::Changes { after, revision, changes };
        self.shared.update_evacuations(update, "changes");
        self.shared.record_revisions(Topic::Evacuations, revision, last_change);
    }

    /// The evacuation that a change of the store stands for. An object that cannot be parsed counts
    /// if its name can be: its content has no meaning.
    fn evacuation_change(&self, change: &Change) -> Option<EvacuationChange> {
        match change {
            Change::Evacuation(name) => Some(EvacuationChange::Began(name.clone())),
            Change::EvacuationOver(name) => Some(EvacuationChange::Ended(name.clone())),
            Change::Invalid(bad) => {
                self.skip_unreadable(Topic::Evacuations, bad);
                let name = DataCentreName::try_from(bad.name.as_str()).ok()?;
                Some(EvacuationChange::Began(name))
            }
            Change::Configuration(_) | Change::Runner(_) | Change::RunnerGone(_) => None,
        }
    }

    /// Records that a change was received, and is in force unless it cannot be read. Only from now
    /// on it is reported to peers and can be forwarded.
    fn record_applied(
        &self,
        topic: Topic,
        old: Option<&RoutingConfig>,
        revision: u64,
        last_change: u64,
    ) {
        self.shared.record_routing_change(old, last_change);
        self.shared.record_revisions(topic, revision, last_change);
    }

    /// Applies changes of the runner list from a relay.
    pub(crate) fn apply_delta(&self, relay: &str, delta: RunnerDelta) {
        let RunnerDelta { request, revision, last_change, changes, outage_age, .. } = delta;
        log::info!(
            "runners: delta received relay={relay} changes={} after={} revision={revision}",
            changes.len(),
            request.after
        );
        // A relay may have lost the store while others, or this gateway, did not.
        let outage_age = outage_age.filter(|_| self.shared.is_confirmation_due(Topic::Runners));
        self.shared.with_runners(|runners, now| {
            if let Some(age) = outage_age {
                runners.directory.record_outage_end(now.since(age));
            }
        });
        changes.iter().for_each(|change| self.apply(change));
        self.shared.record_copy(Topic::Runners, UpdateSource::Relay(relay.into()), None);
        self.shared.record_changes(request.after, revision, last_change, changes);
        self.shared.record_revisions(Topic::Runners, revision, last_change);
    }

    fn apply(&self, change: &RunnerChange) {
        match change {
            RunnerChange::Entry(runner) => self.put(runner),
            RunnerChange::Removed(removal) => self.remove(removal),
            RunnerChange::Unusable(id) => self.forget_unusable(id),
        }
    }

    /// Replaces all runner entries by a list that was read at `revision`. Returns what changed.
    fn replace_runners(&self, listed: Vec<Runner>, revision: u64) -> Vec<RunnerChange> {
        let mut changes: Vec<RunnerChange> = self.shared.with_runners(|runners, _| {
            let directory = &runners.directory;
            let is_new = |it: &&Runner| !directory.is_listed_as(it) && !directory.is_outdated(it);
            listed.iter().filter(is_new).cloned().map(RunnerChange::Entry).collect()
        });
        let RunnerListDiff { missing, restarted, .. } =
            self.shared.replace_runners(listed, revision);
        self.forget(&missing);
        restarted.iter().for_each(|id| self.pool.forget(id));
        if !missing.is_empty() {
            log::info!("runners: no longer listed count={}", missing.len());
        }
        let removals = missing.into_iter().map(|id| RunnerRemoval { id, revision });
        changes.extend(removals.map(RunnerChange::Removed));
        changes
    }

    fn put(&self, runner: &Runner) {
        let id = &runner.id;
        log::info!(
            "runners: entry id={id} service={} stage={} leaving={} data_centre={} revision={} born={}",
            runner.service,
            runner.stage.map_or("none".to_owned(), |stage| stage.to_string()),
            runner.leaving,
            runner.data_centre,
            runner.revision,
            runner.born.map_or(0, |born| born.0),
        );
        if self.shared.with_runners(|runners, _| runners.directory.is_outdated(runner)) {
            log::info!("runners: entry passed over id={id} cause=\"a later change is known\"");
            return;
        }
        match self.shared.put_runner(runner.clone()) {
            StartStatus::Current => {}
            StartStatus::Newer => self.pool.forget(id),
            StartStatus::Stale => {
                log::info!("runners: entry passed over id={id} cause=\"an earlier start\"");
            }
            StartStatus::Missing => {
                log::warn!(
                    "runners: entry passed over id={id} field=born \
                     cause=\"not written by the runner itself\""
                );
                self.pool.forget(id);
            }
        }
    }

    fn remove(&self, removal: &RunnerRemoval) {
        let RunnerRemoval { id, revision } = removal;
        log::info!("runners: removed id={id} revision={revision}");
        self.shared.with_runners(|runners, now| runners.directory.remove(removal, now));
        self.forget(std::slice::from_ref(id));
    }

    /// Skips an object that another writer has left. Its runner becomes unusable, even if its
    /// previous entry was valid.
    fn skip_unreadable(&self, topic: Topic, bad: &InvalidObject) -> Option<RunnerChange> {
        let InvalidObject { name, field, cause } = bad;
        log::warn!(
            "store: object cannot be read topic={topic} id=\"{}\" field={field} cause=\"{}\"",
            sanitized(name),
            sanitized(cause),
        );
        self.metrics.record_store_call(topic.label(), "unreadable");
        let id = RunnerId::try_from(name.as_str()).ok()?;
        (topic == Topic::Runners).then_some(RunnerChange::Unusable(id))
    }

    fn forget_unusable(&self, id: &RunnerId) {
        self.shared.forget_runner(id);
        self.pool.forget(id);
    }

    /// Closes connections to runners that are gone, and forgets how runs and calls there ended.
    fn forget(&self, gone: &[RunnerId]) {
        for id in gone {
            self.pool.forget(id);
            self.shared.forget_run_ends(id);
        }
    }
}
