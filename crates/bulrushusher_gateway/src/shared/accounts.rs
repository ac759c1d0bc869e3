//! State of client accounts: the lease on the configuration, and their quota usage.
//!
//! The lease is how long this gateway may accept the API keys in its configuration without
//! confirmation by the store, so that a revoked API key is refused within a time bound.

use bulrushusher_accounts::{AccountUsage, Freshness, LeaseConfig, OverQuota, Quota, UsageReport};
use bulrushusher_forward::RoutingConfig;
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

use super::{InForce, SharedState};

/// Maximum wait of a request for the usage at other gateways. They answer within milliseconds; a
/// longer wait would use up the target of short calls.
const MAX_USAGE_WAIT: Millis = Millis(100);

impl SharedState {
    /// Renews the lease on the configuration: the store confirmed the configuration in response to
    /// a request sent at `requested_at`, and the configuration is in force.
    pub(crate) fn renew_lease(&self, _: InForce, requested_at: Millis) {
        if !self.store_is_behind() {
            self.lease.lock().renew(requested_at);
        }
    }

    /// Revokes this gateway's lease on its configuration, because a later configuration is in
    /// force, which may have revoked API keys.
    pub(crate) fn revoke_lease(&self) {
        self.lease.lock().revoke(self.now());
    }

    /// How far decisions may rely on the configuration.
    pub(crate) fn freshness(&self) -> Freshness {
        self.lease.lock().freshness(self.lease_cfg(), self.now())
    }

    /// Time since the store last confirmed the configuration.
    pub(crate) fn evidence_age(&self) -> Option<Millis> {
        self.lease.lock().age(self.now())
    }

    /// Time until the lease on the configuration must be renewed. `None` while the configuration
    /// has no client accounts, so that no request needs an API key.
    pub(crate) fn lease_due_in(&self) -> Option<Millis> {
        self.has_accounts().then(|| self.lease.lock().renew_in(self.lease_cfg(), self.now()))
    }

    /// True while this gateway may receive requests.
    pub(crate) fn is_ready(&self) -> bool {
        let keys_are_checked = || self.lease.lock().is_ready(self.lease_cfg(), self.now());
        self.can_serve() && (!self.has_accounts() || keys_are_checked())
    }

    pub(crate) fn has_accounts(&self) -> bool {
        self.routing().is_some_and(|routing| routing.accounts().is_some())
    }

    fn lease_cfg(&self) -> LeaseConfig {
        let cfg = self.cfg.load();
        LeaseConfig { revocation_bound: cfg.keys_revoked, fresh_for: cfg.configuration_in_force }
    }

    /// Applies the quotas of a configuration.
    pub(super) fn set_quotas(&self, routing: &RoutingConfig) {
        let Some(accounts) = routing.accounts() else { return };
        let quotas = accounts.accounts().map(|account| (&account.name, account.quota));
        self.quotas.lock().set_quotas(quotas, self.now());
    }

    /// Charges a request to an account, and schedules a report to the peers if the usage is
    /// significant.
    pub(crate) fn charge(&self, account: &ClientAccountName, cost: u64) -> Result<(), OverQuota> {
        let mut quotas = self.quotas.lock();
        quotas.admit(account, cost, self.now())?;
        let is_report_due = quotas.is_report_due(account);
        drop(quotas);
        if is_report_due {
            self.report_due.notify_one();
        }
        Ok(())
    }

    /// Waits for the usage that other gateways report if the request would be refused only because
    /// this gateway has just started. Returns the time waited, or `None` if there was no wait.
    pub(crate) async fn wait_for_usage(
        &self,
        account: &ClientAccountName,
        cost: u64,
    ) -> Option<Millis> {
        let mut usage_known = self.usage_known.subscribe();
        let began = self.now();
        if !self.quotas.lock().awaits_usage(account, cost, began) {
            return None;
        }
        let known = usage_known.wait_for(|is_known| *is_known);
        tokio::time::timeout(MAX_USAGE_WAIT.duration(), known).await.ok();
        Some(self.now().since(began))
    }

    /// True until the usage before this gateway's start is known or has left the window.
    pub(crate) fn needs_usage(&self) -> bool {
        !self.quotas.lock().is_synced()
    }

    /// Refunds a charged request that has not run.
    pub(crate) fn refund(&self, account: &ClientAccountName, cost: u64) {
        self.quotas.lock().refund(account, cost, self.now());
    }

    /// The usage to report to all peers.
    pub(crate) fn take_usage(&self, full: bool) -> UsageReport {
        self.quotas.lock().next_report(full, self.now())
    }

    /// All usage, for a single peer that has missed reports.
    pub(crate) fn resync_usage(&self) -> UsageReport {
        self.quotas.lock().resync_report(self.now())
    }

    /// Merges the usage that a peer reports.
    pub(super) fn merge_usage(
        &self,
        peer: &str,
        incarnation: u64,
        usage: &UsageReport,
        full: bool,
    ) {
        let mut quotas = self.quotas.lock();
        quotas.merge_report(peer, incarnation, usage, full, self.now());
        let is_known = quotas.is_synced();
        drop(quotas);
        self.usage_known
            .send_if_modified(|before| !std::mem::replace(before, is_known) && is_known);
    }

    /// Sets the number of other gateways that have announced themselves.
    pub(crate) fn set_announced_gateways(&self, others: usize) {
        self.pressure.lock().set_announced(others);
        self.quotas.lock().set_announced_peers(others, self.now());
    }

    /// Usage of every account.
    pub(crate) fn account_usage(&self) -> Vec<AccountUsage> {
        self.quotas.lock().usage(self.now())
    }

    /// What a quota grants in one sliding window (setting `window_s`): its rate over the length of
    /// the window plus its burst, in the quota's unit.
    pub(crate) fn quota_in_window(&self, quota: Quota) -> f64 {
        quota.in_window(self.cfg.load().quotas.window)
    }
}
