//! Renews the lease on the configuration by asking the store whether it is still in force.
//!
//! A long poll confirms nothing until it ends, and polls are long where many gateways follow the
//! store. Calls without a wait therefore renew the lease in between.

use std::sync::Arc;

use bulrushusher_forward::{SeenRevisions, era_of};
use bulrushusher_report::GatewayMetrics;
use bulrushusher_time::Millis;

use crate::dialect::{Change, ChangeBatch, Freshness, NO_WAIT, PlatformStore, StoreError, Topic};
use crate::shared::{SharedState, UpdateSource};
use crate::store::intake::Intake;

/// Timeout of a call. A healthy store answers within milliseconds.
const CALL_TIMEOUT: Millis = Millis(400);

/// Delay after a failed call, half of it random, so that several retries fit into the remaining
/// lease.
const RETRY_DELAY: Millis = Millis(250);

/// Delay after a response that leaves an unreadable configuration in the store. The feed receives a
/// corrected one as soon as it is written.
const UNREADABLE_DELAY: Millis = Millis(1_000);

/// Minimum time between two calls, regardless of how many callers present unknown API keys.
const MIN_CALL_INTERVAL: Millis = Millis(100);

/// What a response of the store did to the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Renewal {
    Renewed,
    /// The store's configuration cannot be read, so nothing confirms the one in force.
    Unreadable,
}

/// The task that renews the lease on the configuration.
#[derive(Debug)]
pub(crate) struct LeaseKeeper<S> {
    pub store: S,
    pub shared: Arc<SharedState>,
    pub intake: Arc<Intake>,
    pub metrics: Arc<GatewayMetrics>,
}

impl<S: PlatformStore> LeaseKeeper<S> {
    /// Renews the lease on the configuration until dropped.
    pub(crate) async fn run(self) {
        let mut is_failing = false;
        loop {
            self.wait_until_due().await;
            match self.renew().await {
                Ok(Renewal::Unreadable) => {
                    tokio::time::sleep(UNREADABLE_DELAY.duration()).await;
                }
                Ok(Renewal::Renewed) => {
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
                    let pause = RETRY_DELAY.0 as f64 * (0.5 + 0.5 * self.shared.draw());
                    tokio::time::sleep(Millis(pause as u64).duration()).await;
                }
            }
        }
    }

    /// Waits until the lease must be renewed, or a caller presents an unknown API key.
    async fn wait_until_due(&self) {
        loop {
            let due = self.shared.lease_due.notified();
            match self.shared.lease_due_in() {
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

    async fn renew(&self) -> Result<Renewal, String> {
        let (requested_at, topic) = (self.shared.now(), Topic::Configuration);
        let after = self.shared.seen_revision(topic);
        let answer = match self.store.watch(topic, after, NO_WAIT, CALL_TIMEOUT).await {
            // The last call is longer ago than the store keeps its history.
            Err(StoreError::HistoryGone) => self.list().await,
            answer => answer,
        };
        let update = answer.map_err(|e| {
            self.count_call("not_renewed");
            e.to_string()
        })?;
        self.intake.apply_changes(topic, after, update);
        let Some(in_force) = self.shared.in_force(topic) else {
            self.count_call("not_renewed");
            return Ok(Renewal::Unreadable);
        };
        self.count_call("renewed");
        let confirmed = Some(in_force.as_of(requested_at));
        self.shared.record_copy(topic, UpdateSource::CatchUp, confirmed);
        self.shared.renew_lease(in_force, requested_at);
        Ok(Renewal::Renewed)
    }

    fn count_call(&self, result: &'static str) {
        self.metrics.record_store_call("configuration", result);
    }

    /// Requests the current configuration. A restore of the store is handled by the feed, which is
    /// notified here.
    async fn list(&self) -> Result<ChangeBatch, StoreError> {
        let (topic, freshness) = (Topic::Configuration, Freshness::Latest);
        let update = self.store.list(topic, freshness, CALL_TIMEOUT, &|_: &[Change]| ()).await?;
        if era_of(update.revision) != era_of(self.shared.seen_revision(topic)) {
            let revisions =
                SeenRevisions { configuration: update.revision, ..SeenRevisions::default() };
            self.shared.record_relay_revisions(revisions);
            return Err(StoreError::Restored);
        }
        Ok(update)
    }
}
