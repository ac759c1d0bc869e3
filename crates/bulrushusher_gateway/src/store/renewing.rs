//! Renews the lease on the configuration: asks the store whether it is still in force.
//!
//! A wait for changes says nothing until it ends, and waits are long where many gateways follow the store.
//! So the store is asked in between, by a call that does not wait.

use std::sync::Arc;

use bulrushusher_forward::{SeenRevisions, era_of};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;

use crate::dialect::{Change, Freshness, NO_WAIT, News, PlatformStore, StoreFailure, Topic};
use crate::knowledge::Knowledge;
use crate::store::intake::Intake;

/// Longest wait for an answer; it comes within milliseconds when the store is well.
const CALL_TIMEOUT: Millis = Millis(400);

/// Pause after a call that failed, half of it random: some tries fit into what is left of a lease.
const RETRY_DELAY: Millis = Millis(250);

/// Least time between two calls, however many callers bring keys that are not known.
const MIN_CALL_INTERVAL: Millis = Millis(100);

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
    pub(crate) async fn run(self) {
        let mut is_failing = false;
        loop {
            self.wait_until_due().await;
            match self.renew().await {
                Ok(()) => {
                    if is_failing {
                        log::info!("access: lease renewed again");
                    }
                    is_failing = false;
                    tokio::time::sleep(MIN_CALL_INTERVAL.duration()).await;
                }
                Err(cause) => {
                    if !is_failing {
                        log::warn!("access: lease not renewed cause=\"{cause}\"");
                    }
                    is_failing = true;
                    let pause = RETRY_DELAY.0 as f64 * (0.5 + 0.5 * self.knowledge.draw());
                    tokio::time::sleep(Millis(pause as u64).duration()).await;
                }
            }
        }
    }

    /// Waits until the lease is to be renewed, or somebody brings a key that is not known here.
    async fn wait_until_due(&self) {
        loop {
            let due = self.knowledge.lease_due.notified();
            match self.knowledge.lease_due_in() {
                Some(Millis(0)) => return,
                Some(remaining) => {
                    if tokio::time::timeout(remaining.duration(), due).await.is_ok() {
                        return;
                    }
                }
                None => due.await,
            }
        }
    }

    async fn renew(&self) -> Result<(), String> {
        let (requested_at, topic) = (self.knowledge.now(), Topic::Configuration);
        let after = self.knowledge.seen_revision(topic);
        let answer = match self.store.watch(topic, after, NO_WAIT, CALL_TIMEOUT).await {
            // Nobody has asked for longer than the store remembers.
            Err(StoreFailure::HistoryGone) => self.list().await,
            answer => answer,
        };
        let result = if answer.is_ok() { "renewed" } else { "not_renewed" };
        self.metrics.store_call("configuration", result);
        let update = answer.map_err(|e| e.to_string())?;
        self.intake.apply_changes(topic, after, update);
        self.knowledge.renew_lease(requested_at);
        Ok(())
    }

    /// Asks for the configuration as it is. A store that came back from an older copy is for the feed to
    /// take in, which hears of it here.
    async fn list(&self) -> Result<News, StoreFailure> {
        let (topic, freshness) = (Topic::Configuration, Freshness::Latest);
        let update = self.store.list(topic, freshness, CALL_TIMEOUT, &|_: &[Change]| ()).await?;
        if era_of(update.revision) != era_of(self.knowledge.seen_revision(topic)) {
            let revisions =
                SeenRevisions { configuration: update.revision, ..SeenRevisions::default() };
            self.knowledge.record_relay_revisions(revisions);
            return Err(StoreFailure::Restored);
        }
        Ok(update)
    }
}
