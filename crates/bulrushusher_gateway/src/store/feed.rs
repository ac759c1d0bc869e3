//! Follows one topic of the store: lists it once, then waits for changes.
//!
//! Only a few gateways watch the store. The others receive changes from these relays, and ask the
//! store only if that fails. A connection without answers is replaced. While the store is
//! unreachable, the received state stays in force, and it is never replaced by an older one.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bulrushusher_forward::{StoreContact, StoreRole, era_of, number_in_era};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::dialect::{Change, ChangeBatch, Freshness, NO_WAIT, PlatformStore, StoreError, Topic};
use crate::shared::{SharedState, UpdateSource};
use crate::store::intake::Intake;

/// Length of one long poll where no peers watch the store, as a part of the time within which a
/// change of the topic must take effect.
const WAIT_SHARE: f64 = 0.5;

/// Length of a relay's long poll, as a part of the same time. Each one confirms the copies of the
/// listening gateways; two of them and the pause after a change are shorter than the age at which
/// those ask the store themselves.
const RELAY_WAIT_SHARE: f64 = 0.25;

/// Time after which an unanswered request counts as lost, as a part of the same time. Together with
/// the long poll above and a new list, an unresponsive connection costs less than the whole.
const SLACK_SHARE: f64 = 0.2;

/// Pause after a change, as a part of the same time, so that one call returns several changes.
/// Runners that start or leave together cost a third fewer calls, and no change is delayed by more
/// than this.
const BATCH_SHARE: f64 = 0.05;

/// Time after a message within which unchanged evacuations are not confirmed again, as a part of
/// the same time. A copy is then confirmed at least every two long polls of a relay, before the age
/// at which listening gateways ask the store themselves, and the third topic adds few messages.
const CONFIRMED_SHARE: f64 = 0.1;

/// First and longest backoff after a failed call. A store that is down receives a few calls per
/// second from each gateway that watches it.
const INITIAL_BACKOFF: Millis = Millis(60);
const MAX_BACKOFF: Millis = Millis(400);

/// Maximum number of concurrent list calls. Another call on a new connection soon detects an
/// unresponsive connection, and a store that is slow for all callers still answers the first call.
const MAX_CONCURRENT_LISTS: u32 = 8;

/// Keeps one topic of the store up to date.
#[derive(Debug)]
pub(crate) struct Feed<S> {
    pub store: S,
    pub topic: Topic,
    pub shared: Arc<SharedState>,
    pub intake: Arc<Intake>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> Feed<S> {
    /// Follows the topic until dropped.
    pub(crate) async fn follow(self) {
        let mut backoff = INITIAL_BACKOFF;
        let mut is_lost = false;
        let mut era = None;
        // Requests are served from the first list on, and an old one may contain runners that drain.
        let mut freshness = Freshness::Latest;
        loop {
            let requested_at = self.shared.now();
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
                    let is_behind = freshness == Freshness::AllowStale
                        && revision < self.shared.min_list_revision(self.topic);
                    if era_of(revision) < known_era || is_behind {
                        // The answer is from before the restore of the store, or other gateways
                        // have later changes.
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
                    let (source, confirmed_at) = match freshness {
                        Freshness::Latest => (UpdateSource::List, Some(requested_at)),
                        Freshness::AllowStale => (UpdateSource::StaleList, None),
                    };
                    self.record_copy(source, confirmed_at, confirmed_at);
                    self.shared.forward_due.notify_one();
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

    /// Lists the topic. While no page arrives, the call is repeated on another connection. The
    /// first complete answer is used.
    async fn list(
        &self,
        freshness: Freshness,
        is_lost: &mut bool,
    ) -> Result<ChangeBatch, StoreError> {
        let retry_after = self.slack();
        let timeout = Millis(retry_after.0 * u64::from(MAX_CONCURRENT_LISTS));
        let pages = AtomicUsize::new(0);
        let on_page = |page: &[Change]| {
            pages.fetch_add(1, Ordering::Relaxed);
            if self.topic == Topic::Runners {
                self.intake.apply_early_page(page);
            }
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
                // While pages arrive, another concurrent list would only slow down this one.
                let now = pages.load(Ordering::Relaxed);
                if now == pages_before {
                    break;
                }
                pages_before = now;
            }
            self.record_lost(is_lost, "no answer in time");
        }
    }

    /// Follows the changes after a list until the topic must be listed again. Returns how fresh
    /// that list must be.
    async fn follow_changes(&self) -> Freshness {
        let mut role = self.shared.relay_view();
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

    /// Waits until a change must be requested from the store, because relays report it without
    /// its content, or have not confirmed for too long that there is none.
    async fn follow_relays(&self) -> Freshness {
        match self.topic {
            Topic::Configuration => {
                let peer_revision = loop {
                    tokio::select! {
                        newer = self.shared.wait_for_newer_configuration() => break newer,
                        () = self.shared.wait_until_confirmation_due(self.topic) => {}
                    }
                    if self.catch_up().await.is_err() {
                        return Freshness::Latest;
                    }
                };
                self.shared.revoke_lease();
                log::info!("store: behind a relay topic={} revision={peer_revision}", self.topic);
                // Only the latest state of the store renews the lease on the configuration, under
                // which API keys are accepted.
                match self.shared.has_accounts() {
                    true => Freshness::Latest,
                    false => Freshness::AllowStale,
                }
            }
            Topic::Runners => loop {
                tokio::select! {
                    () = self.shared.store_poll_due.notified() => {}
                    () = self.shared.wait_until_confirmation_due(self.topic) => {}
                }
                if self.catch_up().await.is_err() {
                    return Freshness::Latest;
                }
            },
            // Relays forward the whole set, so nothing has to be requested from them.
            Topic::Evacuations => loop {
                tokio::select! {
                    _ = self.shared.wait_until_behind(self.topic) => {}
                    () = self.shared.wait_until_confirmation_due(self.topic) => {}
                }
                if self.catch_up().await.is_err() {
                    return Freshness::Latest;
                }
            },
        }
    }

    /// Requests from the store, in one call, all changes after the last revision that this gateway
    /// has received. Called when relays could not supply or confirm them.
    async fn catch_up(&self) -> Result<(), StoreError> {
        let requested_at = self.shared.now();
        self.begin_polling();
        let revision = self.shared.seen_revision(self.topic);
        let answer = self.store.watch(self.topic, revision, NO_WAIT, self.slack()).await;
        self.count_call(if answer.is_ok() { "caught_up" } else { "failed" });
        let update = answer.inspect_err(|e| {
            log::info!("store: catch-up failed topic={} cause=\"{e}\"", self.topic);
        })?;
        let seen = update.revision;
        log::info!("store: caught up topic={} after={revision} revision={seen}", self.topic);
        self.intake.apply_changes(self.topic, revision, update);
        let requested_at = Some(requested_at);
        if !self.record_copy(UpdateSource::CatchUp, requested_at, requested_at) {
            // The store has to be asked again until it sends a version that can be read.
            tokio::time::sleep(self.share(RELAY_WAIT_SHARE).duration()).await;
        }
        Ok(())
    }

    /// Watches for changes until a call fails. Unless a list has just been received, the first call
    /// returns the earlier changes at once.
    async fn watch(&self, is_listed: bool) -> Freshness {
        let base_wait = self.share(WAIT_SHARE);
        if !is_listed {
            self.begin_polling();
        }
        // After a peer has reported a later change, the store is polled as often as without peers.
        let mut checks_peers = true;
        let mut first_wait = (!is_listed).then_some(NO_WAIT);
        loop {
            let revision = self.shared.seen_revision(self.topic);
            let requested_at = self.shared.now();
            let polling_wait = match (checks_peers, self.shared.has_listeners()) {
                (true, false) => self.shared.long_poll_wait(base_wait),
                (false, false) => base_wait,
                (_, true) => self.share(RELAY_WAIT_SHARE),
            };
            let wait = first_wait.unwrap_or(polling_wait);
            let answer = tokio::select! {
                answer = self.store.watch(self.topic, revision, wait, self.slack()) => answer,
                peer_revision = self.shared.wait_until_behind(self.topic), if checks_peers => {
                    checks_peers = false;
                    if self.topic == Topic::Configuration {
                        self.shared.revoke_lease();
                    }
                    self.count_call("behind");
                    log::info!(
                        "store: behind a peer topic={} revision={revision} \
                         peer_revision={peer_revision}",
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
                    let elapsed = self.shared.now().since(requested_at);
                    // The store answers without changes at the end of the wait, and at once if
                    // there is one.
                    let confirmed_at = match has_changed || elapsed < wait {
                        true => requested_at,
                        false => requested_at.plus(wait),
                    };
                    self.record_copy(UpdateSource::Watch, Some(confirmed_at), Some(requested_at));
                    self.notify_forwarding(has_changed);
                    if has_changed {
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

    async fn handle_watch_failure(&self, failure: &StoreError, revision: u64) {
        match failure {
            StoreError::Restored => self.count_call("restored"),
            StoreError::HistoryGone => {
                self.count_call("history_gone");
                log::info!("store: history gone topic={} revision={revision}", self.topic);
            }
            e => {
                self.count_call("failed");
                self.shared.record_contact(StoreContact::Lost);
                log::info!("store: watch failed topic={} cause=\"{e}\"", self.topic);
                if matches!(e, StoreError::InvalidResponse { .. }) {
                    // A list follows at once. The delay keeps a store that answers both calls like
                    // this from being called in a tight loop.
                    self.back_off(&mut INITIAL_BACKOFF.clone()).await;
                }
            }
        }
    }

    /// Records how the topic was received, complete as of `confirmed_at`, and renews the lease on the
    /// configuration from the time `requested_at` of the request. Neither is confirmed while the
    /// latest configuration cannot be read; returns false then.
    fn record_copy(
        &self,
        source: UpdateSource,
        confirmed_at: Option<Millis>,
        requested_at: Option<Millis>,
    ) -> bool {
        let in_force = self.shared.in_force(self.topic);
        let confirmed = in_force.and_then(|it| Some(it.as_of(confirmed_at?)));
        self.shared.record_copy(self.topic, source, confirmed);
        if let (Some(in_force), Some(requested_at)) = (in_force, requested_at)
            && self.topic == Topic::Configuration
        {
            self.shared.renew_lease(in_force, requested_at);
        }
        in_force.is_some()
    }

    fn record_restore(&self, revision: u64) {
        log::warn!(
            "store: restored topic={} era={} revision={}",
            self.topic,
            era_of(revision),
            number_in_era(revision)
        );
        self.shared.record_store_restore(self.topic);
    }

    fn record_lost(&self, is_lost: &mut bool, cause: &str) {
        if !*is_lost {
            log::warn!("store: lost topic={} cause=\"{cause}\"", self.topic);
        }
        *is_lost = true;
        self.shared.record_contact(StoreContact::Lost);
    }

    /// Records that the store answered this gateway.
    fn record_watching(&self) {
        self.shared.record_contact(StoreContact::Watching);
    }

    /// Records that this gateway calls the store after it made no calls, so that their absence does
    /// not count as an outage.
    fn begin_polling(&self) {
        if self.topic == Topic::Runners {
            self.shared.with_runners(|runners, now| runners.directory.begin_store_polling(now));
        }
    }

    /// Records that the store answered a call with the given wait. Only the feed of runners uses
    /// it, to decide whether entries may have expired.
    fn record_poll_answer(&self, wait: Millis) {
        if self.topic != Topic::Runners {
            return;
        }
        let outage = self
            .shared
            .with_runners(|runners, now| runners.directory.store_answered_after(wait, now));
        if let Some(length) = outage {
            log::info!("runners: store was away silent_ms={}", length.0);
        }
    }

    /// Has an answer of the store forwarded. The confirmation of unchanged evacuations is left out
    /// shortly after another message, which contained the one before.
    fn notify_forwarding(&self, has_changed: bool) {
        let is_repeated = self.topic == Topic::Evacuations
            && !has_changed
            && self.shared.time_since_forward() < self.share(CONFIRMED_SHARE);
        if !is_repeated {
            self.shared.forward_due.notify_one();
        }
    }

    fn count_call(&self, result: &'static str) {
        self.metrics.record_store_call(self.topic.label(), result);
    }

    fn share(&self, share: f64) -> Millis {
        self.shared.change_bound(self.topic).share(share)
    }

    fn slack(&self) -> Millis {
        self.share(SLACK_SHARE)
    }

    async fn back_off(&self, backoff: &mut Millis) {
        let jitter = 0.5 + self.shared.draw();
        tokio::time::sleep(backoff.share(jitter).duration()).await;
        *backoff = Millis(backoff.0 * 2).min(MAX_BACKOFF);
    }
}
