//! Follows the store: what it holds is listed once, then changes are waited for.
//!
//! A gateway alone waits for a time that is short against the one within which a configuration must be
//! in force; with peers that tell what they know it waits longer. A connection that stays silent is
//! replaced. What was learned stays in force while the store is
//! away, and is never replaced by something older.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bulrushusher_forward::{Runner, StartNews, era_of, number_of};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::dialect::{Change, News, PlatformStore, StoreFailure, Topic, Unreadable};
use crate::knowledge::Knowledge;
use crate::runners::pool::RunnerPool;

/// Share of the time to be in force that one wait for changes lasts where no peers are heard.
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
        let mut era = None;
        loop {
            let asked_at = self.knowledge.now();
            match self.list(&mut lost).await {
                Ok(news) => {
                    self.note_call("listed");
                    if lost {
                        log::info!("store: regained topic={}", self.topic);
                    }
                    (lost, pause) = (false, FIRST_PAUSE);
                    let revision = news.revision;
                    let known_era = *era.get_or_insert(era_of(revision));
                    if era_of(revision) < known_era {
                        // It lay on its way since before the store came back.
                        continue;
                    }
                    if era_of(revision) > known_era {
                        era = Some(era_of(revision));
                        self.note_restore(revision);
                    }
                    self.knowledge.note_news(self.topic, revision, news.last_change);
                    self.apply_list(news);
                    self.note_confirmed(asked_at);
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

    /// Lists the topic. While no page comes it is asked again, each time on a connection of its own; the
    /// first answer counts.
    async fn list(&self, lost: &mut bool) -> Result<News, StoreFailure> {
        let again = self.slack();
        let longest = Millis(again.0 * u64::from(LISTS_AT_ONCE));
        let pages = AtomicUsize::new(0);
        let mut asked = FuturesUnordered::new();
        loop {
            asked.push(self.store.list(self.topic, longest, &pages));
            let mut came = pages.load(Ordering::Relaxed);
            loop {
                if let Ok(Some(answer)) = tokio::time::timeout(again.duration(), asked.next()).await
                {
                    return answer;
                }
                // A long list that still comes in is only slowed down by another one beside it.
                let now = pages.load(Ordering::Relaxed);
                if now == came {
                    break;
                }
                came = now;
            }
            self.note_lost(lost, "it is slow or silent");
        }
    }

    fn note_restore(&self, revision: u64) {
        log::warn!(
            "store: restored topic={} era={} revision={}",
            self.topic,
            era_of(revision),
            number_of(revision)
        );
        self.knowledge.note_restore(self.topic);
    }

    fn note_lost(&self, lost: &mut bool, cause: &str) {
        if !*lost {
            log::warn!("store: lost topic={} cause=\"{cause}\"", self.topic);
        }
        *lost = true;
    }

    /// Waits for changes until that fails.
    async fn watch_from(&self, mut revision: u64) {
        let alone = self.share(WAIT_SHARE);
        // After a peer's word the store itself is asked, as often as without peers.
        let mut heeds_peers = true;
        loop {
            let asked_at = self.knowledge.now();
            let wait = if heeds_peers { self.knowledge.news_wait(alone) } else { alone };
            let answer = tokio::select! {
                answer = self.store.watch(self.topic, revision, wait, self.slack()) => answer,
                theirs = self.knowledge.falls_behind(self.topic), if heeds_peers => {
                    heeds_peers = false;
                    if self.topic == Topic::Configuration {
                        self.knowledge.end_lease();
                    }
                    self.note_call("behind");
                    log::info!(
                        "store: behind a peer topic={} revision={revision} peer_revision={theirs}",
                        self.topic
                    );
                    continue;
                }
            };
            match answer {
                Ok(news) => {
                    heeds_peers = true;
                    self.note_call("watched");
                    revision = revision.max(news.revision);
                    self.knowledge.note_news(self.topic, revision, news.last_change);
                    self.note_answer(wait);
                    let has_changed = !news.changes.is_empty();
                    for change in news.changes {
                        self.apply(change);
                    }
                    self.note_confirmed(asked_at);
                    if has_changed {
                        tokio::time::sleep(self.share(BATCH_SHARE).duration()).await;
                    }
                }
                Err(StoreFailure::Restored) => {
                    self.note_call("restored");
                    return;
                }
                Err(StoreFailure::HistoryGone) => {
                    self.note_call("history_gone");
                    log::info!("store: history gone topic={} revision={revision}", self.topic);
                    return;
                }
                Err(e) => {
                    self.note_call("failed");
                    log::info!("store: watch failed topic={} cause=\"{e}\"", self.topic);
                    if matches!(e, StoreFailure::Unreadable { .. }) {
                        // A list follows at once, and a store that answers both so is not asked
                        // in a loop without a pause.
                        self.pause(&mut FIRST_PAUSE.clone()).await;
                    }
                    return;
                }
            }
        }
    }

    /// Takes in a whole list.
    fn apply_list(&self, news: News) {
        self.note_answer(Millis(0));
        let mut runners = Vec::new();
        let mut unreadable = Vec::new();
        for change in news.changes {
            match change {
                Change::Runner(runner) => runners.push(runner),
                change @ Change::Unreadable { .. } => unreadable.push(change),
                change => self.apply(change),
            }
        }
        if self.topic == Topic::Runners {
            let count = runners.len();
            let listed = self.knowledge.put_all_runners(runners);
            log::info!(
                "runners: listed count={count} missing={} unreadable={} revision={}",
                listed.missing.len(),
                unreadable.len(),
                news.revision
            );
            self.forget(&listed.missing);
            listed.started_again.iter().for_each(|id| self.pool.forget(id));
        }
        unreadable.into_iter().for_each(|change| self.apply(change));
    }

    fn apply(&self, change: Change) {
        match change {
            Change::Configuration(routing) => self.knowledge.take_routing(routing),
            Change::Runner(runner) => self.put(runner),
            Change::RunnerGone(id) => {
                log::info!("runners: removed id={id}");
                self.knowledge.with_runners(|known, now| known.members.remove(&id, now));
                self.forget(&[id]);
            }
            Change::Unreadable(bad) => self.pass_over(&bad),
        }
    }

    fn put(&self, runner: Runner) {
        let id = runner.id.clone();
        log::info!(
            "runners: entry id={id} service={} stage={} leaving={} born={}",
            runner.service,
            runner.stage.map_or("none".to_owned(), |stage| stage.to_string()),
            runner.leaving,
            runner.born.map_or(0, |born| born.0),
        );
        match self.knowledge.put_runner(runner) {
            StartNews::Same => {}
            StartNews::Later => self.pool.forget(&id),
            StartNews::Earlier => {
                log::info!("runners: entry passed over id={id} cause=\"an earlier start\"");
            }
            StartNews::Untold => {
                log::warn!(
                    "runners: entry passed over id={id} field=born cause=\"not the runner's own\""
                );
                self.pool.forget(&id);
            }
        }
    }

    /// An entry by another writer names no runner to use, also where its name was good before.
    fn pass_over(&self, bad: &Unreadable) {
        let Unreadable { name, field, cause } = bad;
        log::warn!(
            "store: object cannot be read topic={} id=\"{}\" field={field} cause=\"{}\"",
            self.topic,
            shortened(name),
            shortened(cause),
        );
        self.metrics.store_call(topic_word(self.topic), "unreadable");
        if self.topic != Topic::Runners {
            return;
        }
        if let Ok(id) = RunnerId::try_from(name.as_str()) {
            self.knowledge.drop_runner(&id);
            self.pool.forget(&id);
        }
    }

    /// Closes connections to runners that are gone, and forgets how runs and calls there ended.
    fn forget(&self, gone: &[RunnerId]) {
        for id in gone {
            self.pool.forget(id);
            self.knowledge.forget_run_ends(id);
        }
    }

    /// The store answered a call that let it wait; only the list of runners says whether entries may
    /// have lapsed.
    fn note_answer(&self, wait: Millis) {
        if self.topic != Topic::Runners {
            return;
        }
        let outage =
            self.knowledge.with_runners(|known, now| known.members.store_answered_after(wait, now));
        if let Some(silent) = outage {
            log::info!("runners: store was away silent_ms={}", silent.0);
        }
    }

    /// The store has told all that it knew when it was asked.
    fn note_confirmed(&self, asked_at: Millis) {
        if self.topic == Topic::Configuration {
            self.knowledge.renew_lease(asked_at);
        }
    }

    fn note_call(&self, result: &'static str) {
        self.metrics.store_call(topic_word(self.topic), result);
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

fn topic_word(topic: Topic) -> &'static str {
    match topic {
        Topic::Configuration => "configuration",
        Topic::Runners => "runners",
    }
}

/// Most characters of another writer's text in one line of the log.
const MOST_LOGGED: usize = 80;

/// Another writer's text as it may stand between quotes in the log.
fn shortened(text: &str) -> String {
    text.chars()
        .take(MOST_LOGGED)
        .map(|c| if c.is_control() || c == '"' { '?' } else { c })
        .collect()
}
