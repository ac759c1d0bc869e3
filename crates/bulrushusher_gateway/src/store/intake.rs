//! Takes in what the store holds of runners, whoever told it: the store itself or a relay.

use std::sync::Arc;

use bulrushusher_forward::{
    RoutingConfig, Runner, RunnerChange, RunnerDelta, RunnerListDiff, StartStatus,
};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_world::RunnerId;

use crate::dialect::{Change, ChangeBatch, InvalidObject, Topic};
use crate::knowledge::Knowledge;
use crate::runners::pool::RunnerPool;

/// Most characters of another writer's text in one line of the log.
const MOST_LOGGED: usize = 80;

/// Changes what is believed, and closes connections to runners that are gone.
#[derive(Clone, Debug)]
pub(crate) struct Intake {
    pub knowledge: Arc<Knowledge>,
    pub pool: Arc<RunnerPool>,
    pub metrics: Arc<GatewayMetrics>,
}

impl Intake {
    /// Takes in a whole list of the store.
    pub(crate) fn take_list(&self, topic: Topic, news: ChangeBatch) {
        let old = self.knowledge.routing();
        let mut runners = Vec::new();
        let mut unreadable = Vec::new();
        for change in news.changes {
            match change {
                Change::Runner(runner) => runners.push(runner),
                Change::Invalid(bad) => unreadable.extend(self.pass_over(topic, &bad)),
                Change::Configuration(routing) => self.knowledge.take_routing(routing),
                Change::RunnerGone(id) => self.remove(&id),
            }
        }
        if topic == Topic::Runners {
            log::info!(
                "runners: listed count={} unreadable={} revision={}",
                runners.len(),
                unreadable.len(),
                news.revision
            );
            let mut changes = self.replace_runners(runners);
            unreadable.iter().for_each(|change| self.apply(change));
            changes.extend(unreadable);
            self.knowledge.log_list(news.revision, news.last_change, changes);
        }
        self.note_taken(topic, old.as_deref(), news.revision, news.last_change);
    }

    /// Takes in a page of a first list, so that requests are served before the last one comes.
    pub(crate) fn take_early(&self, page: &[Change]) {
        if self.knowledge.is_listed() {
            return;
        }
        for change in page {
            if let Change::Runner(runner) = change {
                self.knowledge.put_runner(runner.clone());
            }
        }
    }

    /// Takes in what changed in the store after a revision.
    pub(crate) fn take_changes(&self, topic: Topic, after: u64, news: ChangeBatch) {
        let old = self.knowledge.routing();
        let mut logged = Vec::new();
        for change in news.changes {
            let change = match change {
                Change::Configuration(routing) => {
                    self.knowledge.take_routing(routing);
                    None
                }
                Change::Runner(runner) => Some(RunnerChange::Entry(runner)),
                Change::RunnerGone(id) => Some(RunnerChange::Removed(id)),
                Change::Invalid(bad) => self.pass_over(topic, &bad),
            };
            change.iter().for_each(|change| self.apply(change));
            logged.extend(change);
        }
        if topic == Topic::Runners {
            self.knowledge.log_changes(after, news.revision, news.last_change, logged);
        }
        self.note_taken(topic, old.as_deref(), news.revision, news.last_change);
    }

    /// What the store told is in force here: only now peers hear of it, and it can be passed on.
    fn note_taken(
        &self,
        topic: Topic,
        old: Option<&RoutingConfig>,
        revision: u64,
        last_change: u64,
    ) {
        self.knowledge.note_routing_change(old, last_change);
        self.knowledge.note_news(topic, revision, last_change);
    }

    /// Takes in what a relay told.
    pub(crate) fn take_delta(&self, delta: RunnerDelta) {
        let RunnerDelta { request, revision, last_change, changes, outage_age, .. } = delta;
        log::info!(
            "runners: told by a relay changes={} after={} revision={revision}",
            changes.len(),
            request.after
        );
        self.knowledge.with_runners(|known, now| {
            if let Some(age) = outage_age {
                known.members.record_outage_end(now.since(age));
            }
        });
        changes.iter().for_each(|change| self.apply(change));
        self.knowledge.log_changes(request.after, revision, last_change, changes);
        self.knowledge.note_news(Topic::Runners, revision, last_change);
    }

    fn apply(&self, change: &RunnerChange) {
        match change {
            RunnerChange::Entry(runner) => self.put(runner),
            RunnerChange::Removed(id) => self.remove(id),
            RunnerChange::Unusable(id) => self.drop(id),
        }
    }

    /// Puts all entries in place of those that are known. Returns what changed.
    fn replace_runners(&self, listed: Vec<Runner>) -> Vec<RunnerChange> {
        let mut changes: Vec<RunnerChange> = self.knowledge.with_runners(|known, _| {
            let changed = listed.iter().filter(|it| !known.members.is_listed_as(it)).cloned();
            changed.map(RunnerChange::Entry).collect()
        });
        let RunnerListDiff { missing, restarted } = self.knowledge.put_all_runners(listed);
        self.forget(&missing);
        restarted.iter().for_each(|id| self.pool.forget(id));
        if !missing.is_empty() {
            log::info!("runners: no longer listed count={}", missing.len());
        }
        changes.extend(missing.into_iter().map(RunnerChange::Removed));
        changes
    }

    fn put(&self, runner: &Runner) {
        let id = &runner.id;
        log::info!(
            "runners: entry id={id} service={} stage={} leaving={} born={}",
            runner.service,
            runner.stage.map_or("none".to_owned(), |stage| stage.to_string()),
            runner.leaving,
            runner.born.map_or(0, |born| born.0),
        );
        match self.knowledge.put_runner(runner.clone()) {
            StartStatus::Current => {}
            StartStatus::Newer => self.pool.forget(id),
            StartStatus::Stale => {
                log::info!("runners: entry passed over id={id} cause=\"an earlier start\"");
            }
            StartStatus::Missing => {
                log::warn!(
                    "runners: entry passed over id={id} field=born cause=\"not the runner's own\""
                );
                self.pool.forget(id);
            }
        }
    }

    fn remove(&self, id: &RunnerId) {
        log::info!("runners: removed id={id}");
        self.knowledge.with_runners(|known, now| known.members.remove(id, now));
        self.forget(std::slice::from_ref(id));
    }

    /// An entry by another writer names no runner to use, also where its name was good before.
    fn pass_over(&self, topic: Topic, bad: &InvalidObject) -> Option<RunnerChange> {
        let InvalidObject { name, field, cause } = bad;
        log::warn!(
            "store: object cannot be read topic={topic} id=\"{}\" field={field} cause=\"{}\"",
            shortened(name),
            shortened(cause),
        );
        self.metrics.record_store_call(topic.label(), "unreadable");
        let id = RunnerId::try_from(name.as_str()).ok()?;
        (topic == Topic::Runners).then_some(RunnerChange::Unusable(id))
    }

    fn drop(&self, id: &RunnerId) {
        self.knowledge.drop_runner(id);
        self.pool.forget(id);
    }

    /// Closes connections to runners that are gone, and forgets how runs and calls there ended.
    fn forget(&self, gone: &[RunnerId]) {
        for id in gone {
            self.pool.forget(id);
            self.knowledge.forget_run_ends(id);
        }
    }
}

/// Another writer's text as it may stand between quotes in the log.
fn shortened(text: &str) -> String {
    text.chars()
        .take(MOST_LOGGED)
        .map(|c| if c.is_control() || c == '"' { '?' } else { c })
        .collect()
}
