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

use crate::dialect::{Change, Freshness, NO_WAIT, News, PlatformStore, StoreFailure, Topic};
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
const INITIAL_BACKOFF: Millis = Millis(60);
const MAX_BACKOFF: Millis = Millis(400);

/// Lists that are waited for at the same time. A connection that stays silent is found out soon by
/// asking again on another one, and a store that is slow for everybody still answers the first.
const MAX_CONCURRENT_LISTS: u32 = 8;

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
        let mut backoff = INITIAL_BACKOFF;
        let mut is_lost = false;
        let mut era = None;
        // What changed since a first list that is some seconds old comes by the watch or the relay after it.
        let mut freshness = Freshness::SecondsOld;
        loop {
            let requested_at = self.knowledge.now();
            match self.list(freshness, &mut is_lost).await {
                Ok(update) => {
                    self.count_call("listed");
                    self.record_watching();
                    if is_lost {
                        log::info!("store: regained topic={}", self.topic);
                    }
                    (is_lost, backoff) = (false, INITIAL_BACKOFF);
                    let revision = update.revision;
                    let known_era = *era.get_or_insert(era_of(revision));
                    let is_behind = freshness == Freshness::SecondsOld
                        && revision < self.knowledge.min_list_revision(self.topic);
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
                        self.record_restore(revision);
                    }
                    self.record_poll_answer(Millis(0));
                    self.intake.apply_list(self.topic, update);
                    self.knowledge.forward_due.notify_one();
                    if freshness == Freshness::Latest {
                        self.renew_lease(requested_at);
                    }
                    freshness = self.follow_changes().await;
                }
                Err(e) => {
                    self.count_call("failed");
                    self.record_lost(&mut is_lost, &e.to_string());
                    self.back_off(&mut backoff).await;
                }
            }
        }
    }

    /// Lists the topic. While no page comes it is asked again, each time on a connection of its own; the
    /// first answer counts.
    async fn list(&self, freshness: Freshness, is_lost: &mut bool) -> Result<News, StoreFailure> {
        let retry_after = self.slack();
        let timeout = Millis(retry_after.0 * u64::from(MAX_CONCURRENT_LISTS));
        let pages = AtomicUsize::new(0);
        let on_page = |page: &[Change]| {
            pages.fetch_add(1, Ordering::Relaxed);
            self.intake.apply_early_page(page);
        };
        let mut calls = FuturesUnordered::new();
        loop {
            calls.push(self.store.list(self.topic, freshness, timeout, &on_page));
            let mut pages_before = pages.load(Ordering::Relaxed);
            loop {
                if let Ok(Some(answer)) =
                    tokio::time::timeout(retry_after.duration(), calls.next()).await
                {
                    return answer;
                }
                // A long list that still comes in is only slowed down by another one beside it.
                let now = pages.load(Ordering::Relaxed);
                if now == pages_before {
                    break;
                }
                pages_before = now;
            }
            self.record_lost(is_lost, "no answer in time");
        }
    }

    /// Follows the changes after a list, until the topic must be listed again; returns how.
    async fn follow_changes(&self) -> Freshness {
        let mut role = self.knowledge.relay_view();
        let mut is_first = true;
        loop {
            let now = role.borrow_and_update().role;
            let next = match now {
                StoreRole::Watch => tokio::select! {
                    next = self.watch(is_first) => Some(next),
                    _ = role.wait_for(|view| view.role == StoreRole::Listen) => None,
                },
                StoreRole::Listen => {
                    is_first = false;
                    tokio::select! {
                        next = self.follow_relays() => Some(next),
                        _ = role.wait_for(|view| view.role == StoreRole::Watch) => None,
                    }
                }
            };
            match next {
                Some(freshness) => return freshness,
                None => log::info!("store: role changed topic={} was={now:?}", self.topic),
            }
        }
    }

    /// Waits until relays tell of something that only the store can be asked for.
    async fn follow_relays(&self) -> Freshness {
        match self.topic {
            Topic::Configuration => {
                let peer_revision = self.knowledge.wait_for_newer_configuration().await;
                self.knowledge.revoke_lease();
                log::info!("store: behind a relay topic={} revision={peer_revision}", self.topic);
                // Only the latest word of the store renews the lease on keys.
                match self.knowledge.has_accounts() {
                    true => Freshness::Latest,
                    false => Freshness::SecondsOld,
                }
            }
            Topic::Runners => loop {
                self.knowledge.store_poll_due.notified().await;
                if self.catch_up().await.is_err() {
                    return Freshness::Latest;
                }
            },
        }
    }

    /// Asks the store once what changed that no relay has told.
    async fn catch_up(&self) -> Result<(), StoreFailure> {
        let revision = self.knowledge.seen_revision(self.topic);
        let answer = self.store.watch(self.topic, revision, NO_WAIT, self.slack()).await;
        self.count_call(if answer.is_ok() { "caught_up" } else { "failed" });
        let update = answer.inspect_err(|e| {
            log::info!("store: catch-up failed topic={} cause=\"{e}\"", self.topic);
        })?;
        let seen = update.revision;
        log::info!("store: caught up topic={} after={revision} revision={seen}", self.topic);
        self.intake.apply_changes(self.topic, revision, update);
        Ok(())
    }

    /// Waits for changes until that fails. What happened before a gateway began to watch is asked for
    /// first, unless a list has just told it.
    async fn watch(&self, is_listed: bool) -> Freshness {
        let base_wait = self.share(WAIT_SHARE);
        if self.topic == Topic::Runners && !is_listed {
            self.knowledge.with_runners(|runners, now| runners.directory.begin_store_polling(now));
        }
        // After a peer's word the store itself is asked, as often as without peers.
        let mut checks_peers = true;
        let mut first_wait = (!is_listed).then_some(NO_WAIT);
        loop {
            let revision = self.knowledge.seen_revision(self.topic);
            let requested_at = self.knowledge.now();
            let polling_wait =
                if checks_peers { self.knowledge.long_poll_wait(base_wait) } else { base_wait };
            let wait = first_wait.unwrap_or(polling_wait);
            let answer = tokio::select! {
                answer = self.store.watch(self.topic, revision, wait, self.slack()) => answer,
                peer_revision = self.knowledge.wait_until_behind(self.topic), if checks_peers => {
                    checks_peers = false;
                    if self.topic == Topic::Configuration {
                        self.knowledge.revoke_lease();
                    }
                    self.count_call("behind");
                    log::info!(
                        "store: behind a peer topic={} revision={revision} peer_revision={peer_revision}",
                        self.topic
                    );
                    continue;
                }
            };
            match answer {
                Ok(update) => {
                    checks_peers = true;
                    first_wait = None;
                    self.count_call("watched");
                    self.record_watching();
                    self.record_poll_answer(wait);
                    let has_changed = !update.changes.is_empty();
                    self.intake.apply_changes(self.topic, revision, update);
                    self.renew_lease(requested_at);
                    if has_changed {
                        self.knowledge.forward_due.notify_one();
                        tokio::time::sleep(self.share(BATCH_SHARE).duration()).await;
                    }
                }
                Err(e) => {
                    self.handle_watch_failure(&e, revision).await;
                    return Freshness::Latest;
                }
            }
        }
    }

    async fn handle_watch_failure(&self, failure: &StoreFailure, revision: u64) {
        match failure {
            StoreFailure::Restored => self.count_call("restored"),
            StoreFailure::HistoryGone => {
                self.count_call("history_gone");
                log::info!("store: history gone topic={} revision={revision}", self.topic);
            }
            e => {
                self.count_call("failed");
                self.knowledge.record_contact(StoreContact::Lost);
                log::info!("store: watch failed topic={} cause=\"{e}\"", self.topic);
                if matches!(e, StoreFailure::Unreadable { .. }) {
                    // A list follows at once, and a store that answers both so is not asked
                    // in a loop without a pause.
                    self.back_off(&mut INITIAL_BACKOFF.clone()).await;
                }
            }
        }
    }

    fn record_restore(&self, revision: u64) {
        log::warn!(
            "store: restored topic={} era={} revision={}",
            self.topic,
            era_of(revision),
            number_in_era(revision)
        );
        self.knowledge.record_store_restore(self.topic);
    }

    fn record_lost(&self, is_lost: &mut bool, cause: &str) {
        if !*is_lost {
            log::warn!("store: lost topic={} cause=\"{cause}\"", self.topic);
        }
        *is_lost = true;
        self.knowledge.record_contact(StoreContact::Lost);
    }

    /// The store answered this gateway.
    fn record_watching(&self) {
        self.knowledge.record_contact(StoreContact::Watching);
    }

    /// The store answered a call that let it wait; only the list of runners says whether entries may
    /// have lapsed.
    fn record_poll_answer(&self, wait: Millis) {
        if self.topic != Topic::Runners {
            return;
        }
        let outage = self
            .knowledge
            .with_runners(|runners, now| runners.directory.store_answered_after(wait, now));
        if let Some(length) = outage {
            log::info!("runners: store was away silent_ms={}", length.0);
        }
    }

    /// The store has told all that it knew when it was asked.
    fn renew_lease(&self, requested_at: Millis) {
        if self.topic == Topic::Configuration {
            self.knowledge.renew_lease(requested_at);
        }
    }

    fn count_call(&self, result: &'static str) {
        self.metrics.store_call(self.topic.word(), result);
    }

    fn share(&self, share: f64) -> Millis {
        self.knowledge.cfg().configuration_in_force.share(share)
    }

    fn slack(&self) -> Millis {
        self.share(SLACK_SHARE)
    }

    async fn back_off(&self, backoff: &mut Millis) {
        let jitter = 0.5 + self.knowledge.draw();
        tokio::time::sleep(backoff.share(jitter).duration()).await;
        *backoff = Millis(backoff.0 * 2).min(MAX_BACKOFF);
    }
}
