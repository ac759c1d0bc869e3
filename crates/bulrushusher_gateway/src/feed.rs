//! Follows the store: what it holds is listed once, then changes are waited for.
//!
//! Every wait is short against the time within which a configuration must be in force, and a
//! connection that stays silent is replaced. What was learned stays in force while the store is
//! away, and is never replaced by something older.

use std::sync::Arc;

use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::dialect::{Change, News, PlatformStore, StoreFailure, Topic};
use crate::knowledge::Knowledge;
use crate::pool::RunnerPool;

/// Share of the time to be in force that one wait for changes lasts.
const WAIT_SHARE: f64 = 0.5;

/// Share of it after which a wait without answer counts as lost; with the share above, and a list
/// anew, a silent connection costs less than the time to be in force.
const SLACK_SHARE: f64 = 0.2;

/// Share of it for which nothing is asked after a change, so that one call brings several: runners
/// that start or leave together cost a third fewer calls, and no change is known later than that.
const BATCH_SHARE: f64 = 0.05;

/// First and longest pause between calls that fail; a store that is down is asked some times a
/// second by each gateway, a small part of its rate.
const FIRST_PAUSE: Millis = Millis(60);
const LONGEST_PAUSE: Millis = Millis(400);

/// Lists that are waited for at the same time. A connection that stays silent is found out soon by
/// asking again on another one, and a store that is slow for everybody still answers the first.
const LISTS_AT_ONCE: u32 = 8;

/// Keeps a gateway's knowledge up to date with one topic of the store.
#[derive(Debug)]
pub(crate) struct Feed<S> {
    pub store: S,
    pub topic: Topic,
    pub knowledge: Arc<Knowledge>,
    pub pool: Arc<RunnerPool>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> Feed<S> {
    /// Follows until dropped.
    pub(crate) async fn follow(self) {
        let mut pause = FIRST_PAUSE;
        let mut lost = false;
        loop {
            match self.list(&mut lost).await {
                Ok(news) => {
                    self.note_call("listed");
                    if lost {
                        log::info!("store: regained topic={}", self.topic);
                    }
                    (lost, pause) = (false, FIRST_PAUSE);
                    let revision = news.revision;
                    self.apply_list(news);
                    self.watch_from(revision).await;
                }
                Err(e) => {
                    self.note_call("failed");
                    self.note_lost(&mut lost, &e.to_string());
                    self.pause(&mut pause).await;
                }
            }
        }
    }

    /// Lists the topic. While there is no answer it is asked again, each time on a connection of its
    /// own; the first answer counts.
    async fn list(&self, lost: &mut bool) -> Result<News, StoreFailure> {
        let again = self.slack();
        let longest = Millis(again.0 * u64::from(LISTS_AT_ONCE));
        let mut asked = FuturesUnordered::new();
        loop {
            asked.push(self.store.list(self.topic, longest));
            match tokio::time::timeout(again.duration(), asked.next()).await {
                Ok(Some(answer)) => return answer,
                Ok(None) | Err(_) => self.note_lost(lost, "it is slow or silent"),
            }
        }
    }

    fn note_lost(&self, lost: &mut bool, cause: &str) {
        if !*lost {
            log::warn!("store: lost topic={} cause=\"{cause}\"", self.topic);
        }
        *lost = true;
    }

    /// Waits for changes until that fails.
    async fn watch_from(&self, mut revision: u64) {
        let wait = self.share(WAIT_SHARE);
        loop {
            match self.store.watch(self.topic, revision, wait, self.slack()).await {
                Ok(news) => {
                    self.note_call("watched");
                    revision = revision.max(news.revision);
                    self.note_answer();
                    let has_changed = !news.changes.is_empty();
                    for change in news.changes {
                        self.apply(change);
                    }
                    if has_changed {
                        tokio::time::sleep(self.share(BATCH_SHARE).duration()).await;
                    }
                }
                Err(StoreFailure::HistoryGone) => {
                    self.note_call("history_gone");
                    log::info!("store: history gone topic={} revision={revision}", self.topic);
                    return;
                }
                Err(e) => {
                    self.note_call("failed");
                    log::info!("store: watch failed topic={} cause=\"{e}\"", self.topic);
                    return;
                }
            }
        }
    }

    /// Takes in a whole list.
    fn apply_list(&self, news: News) {
        self.note_answer();
        let mut runners = Vec::new();
        for change in news.changes {
            match change {
                Change::Runner(runner) => runners.push(runner),
                change => self.apply(change),
            }
        }
        if self.topic == Topic::Runners {
            let count = runners.len();
            let missing =
                self.knowledge.with_runners(|known, now| known.members.replace_all(runners, now));
            log::info!(
                "runners: listed count={count} missing={} revision={}",
                missing.len(),
                news.revision
            );
            self.forget(&missing);
        }
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Configuration(routing) => {
                let (version, routes) = (routing.version, routing.route_count());
                if self.knowledge.apply_routing(routing) {
                    log::info!("configuration: in force version={version} routes={routes}");
                }
            }
            Change::Runner(runner) => {
                log::info!(
                    "runners: entry id={} service={} stage={} leaving={}",
                    runner.id,
                    runner.service,
                    runner.stage.map_or("none".to_owned(), |stage| stage.to_string()),
                    runner.leaving,
                );
                self.knowledge.with_runners(|known, _| known.members.put(runner));
            }
            Change::RunnerGone(id) => {
                log::info!("runners: removed id={id}");
                self.knowledge.with_runners(|known, now| known.members.remove(&id, now));
                self.forget(&[id]);
            }
            Change::Unreadable { name, cause } => {
                log::warn!("store: object cannot be read name={name} cause=\"{cause}\"");
            }
        }
    }

    /// Closes connections to runners that are gone, and forgets how their runs ended.
    fn forget(&self, gone: &[bulrushusher_world::RunnerId]) {
        for id in gone {
            self.pool.forget(id);
            self.knowledge.forget_run_ends(id);
        }
    }

    /// The store answered; only the list of runners says whether entries may have lapsed.
    fn note_answer(&self) {
        if self.topic != Topic::Runners {
            return;
        }
        let outage = self.knowledge.with_runners(|known, now| known.members.store_answered(now));
        if let Some(silent) = outage {
            log::info!("runners: store was away silent_ms={}", silent.0);
        }
    }

    fn note_call(&self, result: &'static str) {
        let topic = match self.topic {
            Topic::Configuration => "configuration",
            Topic::Runners => "runners",
        };
        self.metrics.store_call(topic, result);
    }

    fn share(&self, share: f64) -> Millis {
        let bound = self.knowledge.cfg().configuration_in_force;
        Millis((bound.0 as f64 * share) as u64)
    }

    fn slack(&self) -> Millis {
        self.share(SLACK_SHARE)
    }

    async fn pause(&self, pause: &mut Millis) {
        let jitter = 0.5 + self.knowledge.draw();
        let length = Millis((pause.0 as f64 * jitter) as u64);
        tokio::time::sleep(length.duration()).await;
        *pause = Millis(pause.0 * 2).min(LONGEST_PAUSE);
    }
}
