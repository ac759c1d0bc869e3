//! What is known of client accounts: the lease on their keys, and what they use of their quotas.

use bulrushusher_accounts::{AccountUsage, Freshness, LeaseConfig, OverQuota, Quota, UsageReport};
use bulrushusher_forward::RoutingConfig;
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

use super::Knowledge;

impl Knowledge {
    /// The store confirmed the configuration in answer to a question of that moment.
    pub(crate) fn renew_lease(&self, requested_at: Millis) {
        if !self.store_is_behind() {
            self.lease.lock().renew(requested_at);
        }
    }

    /// A later configuration is in force than the one that is known here.
    pub(crate) fn revoke_lease(&self) {
        self.lease.lock().revoke(self.now());
    }

    /// How far the configuration may be acted on.
    pub(crate) fn freshness(&self) -> Freshness {
        self.lease.lock().freshness(self.lease_cfg(), self.now())
    }

    /// Age of the store's last word on the configuration.
    pub(crate) fn evidence_age(&self) -> Option<Millis> {
        self.lease.lock().age(self.now())
    }

    /// Time until the store must be asked again; `None` while no request needs a key.
    pub(crate) fn lease_due_in(&self) -> Option<Millis> {
        self.has_accounts().then(|| self.lease.lock().renew_in(self.lease_cfg(), self.now()))
    }

    /// True while callers may be sent here.
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

    /// Takes the quotas of a configuration.
    pub(super) fn set_quotas(&self, routing: &RoutingConfig) {
        let Some(accounts) = routing.accounts() else { return };
        let quotas = accounts.accounts().map(|account| (&account.name, account.quota));
        self.quotas.lock().set_quotas(quotas, self.now());
    }

    /// Counts a request to an account, and has peers told when it matters to them.
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

    /// A request that was counted has not run.
    pub(crate) fn refund(&self, account: &ClientAccountName, cost: u64) {
        self.quotas.lock().refund(account, cost, self.now());
    }

    /// What peers are told of the use of quotas.
    pub(crate) fn take_usage(&self, full: bool) -> UsageReport {
        self.quotas.lock().take_report(full, self.now())
    }

    /// All that this gateway has to tell, for one peer.
    pub(crate) fn resync_usage(&self) -> UsageReport {
        self.quotas.lock().resync_report(self.now())
    }

    /// Takes in what a peer told of it.
    pub(super) fn merge_usage(
        &self,
        peer: &str,
        incarnation: u64,
        usage: &UsageReport,
        full: bool,
    ) {
        self.quotas.lock().merge_report(peer, incarnation, usage, full, self.now());
    }

    /// So many other gateways have announced themselves.
    pub(crate) fn set_announced_gateways(&self, others: usize) {
        self.pressure.lock().set_announced(others);
        self.quotas.lock().set_announced_peers(others);
    }

    /// What every account used.
    pub(crate) fn account_usage(&self) -> Vec<AccountUsage> {
        self.quotas.lock().usage(self.now())
    }

    /// An account's quota in one window, in its unit.
    pub(crate) fn quota_in_window(&self, quota: Quota) -> f64 {
        quota.in_window(self.cfg.load().quotas.window)
    }
}
