//! Follows the store: what it holds is listed once, then changes are waited for.
//!
//! Of many gateways a few watch the store; the others hear of changes from those, and ask the store only
//! where that fails. A connection that stays silent is replaced. What was learned stays in force while
//! the store is away, and is never replaced by something older.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bulrushusher_forward::{StoreContact, StoreRole, era_of, number_in_era};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::dialect::{Change, ChangeBatch, Freshness, NO_WAIT, PlatformStore, StoreError, Topic};
use crate::knowledge::Knowledge;
use crate::store::intake::Intake;

/// Share of the time to be in force that one wait for changes lasts where no peers watch too.
const WAIT_SHARE: f64 = 0.5;

/// Share of it after which a wait without answer counts as lost; with the share above, and a list
/// anew, a silent connection costs less than the time to be in force.
const SLACK_SHARE: f64 = 0.2;

/// Share of it for which nothing is asked after a change, so that one call brings several: runners
/// that start or leave together cost a third fewer calls, and no change is known later than that.
const BATCH_SHARE: f64 = 0.05;

/// First and longest pause between calls that fail; a store that is down is asked some times a
/// second by each gateway that watches it.
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
    pub intake: Arc<Intake>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> Feed<S> {
    /// Follows until dropped.
    pub(crate) async fn follow(self) {
        let mut pause = FIRST_PAUSE;
        let mut lost = false;
        let mut era = None;
        // What changed since a first list that is some seconds old comes by the watch or the relay after it.
        let mut freshness = Freshness::AllowStale;
        loop {
            let asked_at = self.knowledge.now();
            match self.list(freshness, &mut lost).await {
                Ok(news) => {
                    self.note_call("listed");
                    self.note_answered();
                    if lost {
                        log::info!("store: regained topic={}", self.topic);
                    }
                    (lost, pause) = (false, FIRST_PAUSE);
                    let revision = news.revision;
                    let known_era = *era.get_or_insert(era_of(revision));
                    let is_behind = freshness == Freshness::AllowStale
                        && revision < self.knowledge.last_known(self.topic);
                    if era_of(revision) < known_era || is_behind {
                        // It lay on its way since before the store came back, or others know more.
                        log::info!(
                            "store: list is too old topic={} revision={revision}",
                            self.topic
                        );
                        freshness = Freshness::Latest;
                        continue;
                    }
                    if era_of(revision) > known_era {
                        era = Some(era_of(revision));
                        self.note_restore(revision);
                    }
                    self.note_answer(Millis(0));
                    self.intake.take_list(self.topic, news);
                    self.knowledge.tell_due.notify_one();
                    if freshness == Freshness::Latest {
                        self.note_confirmed(asked_at);
                    }
                    freshness = self.go_on().await;
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
    async fn list(&self, freshness: Freshness, lost: &mut bool) -> Result<ChangeBatch, StoreError> {
        let again = self.slack();
        let longest = Millis(again.0 * u64::from(LISTS_AT_ONCE));
        let pages = AtomicUsize::new(0);
        let on_page = |page: &[Change]| {
            pages.fetch_add(1, Ordering::Relaxed);
            self.intake.take_early(page);
        };
        let mut asked = FuturesUnordered::new();
        loop {
            asked.push(self.store.list(self.topic, freshness, longest, &on_page));
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

    /// Follows the changes after a list, until the topic must be listed again; returns how.
    async fn go_on(&self) -> Freshness {
        let mut role = self.knowledge.relay_view();
        let mut is_first = true;
        loop {
            let now = role.borrow_and_update().role;
            let done = match now {
                StoreRole::Watch => tokio::select! {
                    done = self.watch(is_first) => Some(done),
                    _ = role.wait_for(|view| view.role == StoreRole::Listen) => None,
                },
                StoreRole::Listen => {
                    is_first = false;
                    tokio::select! {
                        done = self.listen() => Some(done),
                        _ = role.wait_for(|view| view.role == StoreRole::Watch) => None,
                    }
                }
            };
            match done {
                Some(freshness) => return freshness,
                None => log::info!("store: role topic={} was={now:?}", self.topic),
            }
        }
    }

    /// Waits until relays tell of something that only the store can be asked for.
    async fn listen(&self) -> Freshness {
        match self.topic {
            Topic::Configuration => {
                let theirs = self.knowledge.configuration_is_behind().await;
                self.knowledge.end_lease();
                log::info!("store: behind a relay topic={} revision={theirs}", self.topic);
                // Only the latest word of the store renews the lease on keys.
                match self.knowledge.has_accounts() {
                    true => Freshness::Latest,
                    false => Freshness::AllowStale,
                }
            }
            Topic::Runners => loop {
                self.knowledge.store_due.notified().await;
                if self.catch_up().await.is_err() {
                    return Freshness::Latest;
                }
            },
        }
    }

    /// Asks the store once what changed that no relay has told.
    async fn catch_up(&self) -> Result<(), StoreError> {
        let revision = self.knowledge.news_seen(self.topic);
        let answer = self.store.watch(self.topic, revision, NO_WAIT, self.slack()).await;
        self.note_call(if answer.is_ok() { "caught_up" } else { "failed" });
        let news = answer.inspect_err(|e| {
            log::info!("store: not caught up topic={} cause=\"{e}\"", self.topic);
        })?;
        let seen = news.revision;
        log::info!("store: caught up topic={} after={revision} revision={seen}", self.topic);
        self.intake.take_changes(self.topic, revision, news);
        Ok(())
    }

    /// Waits for changes until that fails. What happened before a gateway began to watch is asked for
    /// first, unless a list has just told it.
    async fn watch(&self, is_listed: bool) -> Freshness {
        let alone = self.share(WAIT_SHARE);
        if self.topic == Topic::Runners && !is_listed {
            self.knowledge.with_runners(|known, now| known.members.begin_store_polling(now));
        }
        // After a peer's word the store itself is asked, as often as without peers.
        let mut heeds_peers = true;
        let mut first_wait = (!is_listed).then_some(NO_WAIT);
        loop {
            let revision = self.knowledge.news_seen(self.topic);
            let asked_at = self.knowledge.now();
            let usual = if heeds_peers { self.knowledge.news_wait(alone) } else { alone };
            let wait = first_wait.unwrap_or(usual);
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
                    first_wait = None;
                    self.note_call("watched");
                    self.note_answered();
                    self.note_answer(wait);
                    let has_changed = !news.changes.is_empty();
                    self.intake.take_changes(self.topic, revision, news);
                    self.note_confirmed(asked_at);
                    if has_changed {
                        self.knowledge.tell_due.notify_one();
                        tokio::time::sleep(self.share(BATCH_SHARE).duration()).await;
                    }
                }
                Err(e) => {
                    self.note_watch_failed(&e, revision).await;
                    return Freshness::Latest;
                }
            }
        }
    }

    async fn note_watch_failed(&self, failure: &StoreError, revision: u64) {
        match failure {
            StoreError::Restored => self.note_call("restored"),
            StoreError::HistoryGone => {
                self.note_call("history_gone");
                log::info!("store: history gone topic={} revision={revision}", self.topic);
            }
            e => {
                self.note_call("failed");
                self.knowledge.note_contact(StoreContact::Lost);
                log::info!("store: watch failed topic={} cause=\"{e}\"", self.topic);
                if matches!(e, StoreError::InvalidResponse { .. }) {
                    // A list follows at once, and a store that answers both so is not asked
                    // in a loop without a pause.
                    self.pause(&mut FIRST_PAUSE.clone()).await;
                }
            }
        }
    }

    fn note_restore(&self, revision: u64) {
        log::warn!(
            "store: restored topic={} era={} revision={}",
            self.topic,
            era_of(revision),
            number_in_era(revision)
        );
        self.knowledge.note_restore(self.topic);
    }

    fn note_lost(&self, lost: &mut bool, cause: &str) {
        if !*lost {
            log::warn!("store: lost topic={} cause=\"{cause}\"", self.topic);
        }
        *lost = true;
        self.knowledge.note_contact(StoreContact::Lost);
    }

    /// The store answered this gateway.
    fn note_answered(&self) {
        self.knowledge.note_contact(StoreContact::Watching);
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
        self.metrics.record_store_call(self.topic.label(), result);
    }

    fn share(&self, share: f64) -> Millis {
        self.knowledge.cfg().configuration_in_force.share(share)
    }

    fn slack(&self) -> Millis {
        self.share(SLACK_SHARE)
    }

    async fn pause(&self, pause: &mut Millis) {
        let jitter = 0.5 + self.knowledge.draw();
        tokio::time::sleep(pause.share(jitter).duration()).await;
        *pause = Millis(pause.0 * 2).min(LONGEST_PAUSE);
    }
}
