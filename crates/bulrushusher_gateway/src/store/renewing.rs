//! Renews the lease on the configuration: asks the store whether it is still in force.
//!
//! A wait for changes says nothing until it ends, and waits are long where many gateways follow the store.
//! So the store is asked in between, by a call that does not wait.

use std::sync::Arc;

use bulrushusher_forward::{SeenRevisions, era_of};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;

use crate::dialect::{Change, ChangeBatch, Freshness, NO_WAIT, PlatformStore, StoreError, Topic};
use crate::knowledge::Knowledge;
use crate::store::intake::Intake;

/// Longest wait for an answer; it comes within milliseconds when the store is well.
const CALL_TIMEOUT: Millis = Millis(400);

/// Pause after a call that failed, half of it random: some tries fit into what is left of a lease.
const TRY_AGAIN: Millis = Millis(250);

/// Least time between two calls, however many callers bring keys that are not known.
const LEAST_GAP: Millis = Millis(100);

/// The task that renews the lease.
#[derive(Debug)]
pub(crate) struct LeaseKeeper<S> {
    pub store: S,
    pub knowledge: Arc<Knowledge>,
    pub intake: Arc<Intake>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> LeaseKeeper<S> {
    /// Renews until dropped.
    pub(crate) async fn keep(self) {
        let mut lost = false;
        loop {
            self.until_due().await;
            match self.renew().await {
                Ok(()) => {
                    if lost {
                        log::info!("access: lease renewed again");
                    }
                    lost = false;
                    tokio::time::sleep(LEAST_GAP.duration()).await;
                }
                Err(cause) => {
                    if !lost {
                        log::warn!("access: lease not renewed cause=\"{cause}\"");
                    }
                    lost = true;
                    let pause = TRY_AGAIN.0 as f64 * (0.5 + 0.5 * self.knowledge.draw());
                    tokio::time::sleep(Millis(pause as u64).duration()).await;
                }
            }
        }
    }

    /// Waits until the lease is to be renewed, or somebody brings a key that is not known here.
    async fn until_due(&self) {
        loop {
            let due = self.knowledge.lease_due.notified();
            match self.knowledge.lease_due_in() {
                Some(Millis(0)) => return,
                Some(left) => {
                    if tokio::time::timeout(left.duration(), due).await.is_ok() {
                        return;
                    }
                }
                None => due.await,
            }
        }
    }

    async fn renew(&self) -> Result<(), String> {
        let (asked_at, topic) = (self.knowledge.now(), Topic::Configuration);
        let after = self.knowledge.news_seen(topic);
        let answer = match self.store.watch(topic, after, NO_WAIT, CALL_TIMEOUT).await {
            // Nobody has asked for longer than the store remembers.
            Err(StoreError::HistoryGone) => self.list().await,
            answer => answer,
        };
        let word = if answer.is_ok() { "renewed" } else { "not_renewed" };
        self.metrics.record_store_call("configuration", word);
        let news = answer.map_err(|e| e.to_string())?;
        self.intake.take_changes(topic, after, news);
        self.knowledge.renew_lease(asked_at);
        Ok(())
    }

    /// Asks for the configuration as it is. A store that came back from an older copy is for the feed to
    /// take in, which hears of it here.
    async fn list(&self) -> Result<ChangeBatch, StoreError> {
        let (topic, freshness) = (Topic::Configuration, Freshness::Latest);
        let news = self.store.list(topic, freshness, CALL_TIMEOUT, &|_: &[Change]| ()).await?;
        if era_of(news.revision) != era_of(self.knowledge.news_seen(topic)) {
            let told = SeenRevisions { configuration: news.revision, ..SeenRevisions::default() };
            self.knowledge.hear_store_news(told);
            return Err(StoreError::Restored);
        }
        Ok(news)
    }
}
