//! The caller of a request, and the request's charge against the account's quota.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bulrushusher_accounts::{Account, Freshness, KeyDigest};
use bulrushusher_forward::AccountCost;
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

use crate::shared::SharedState;

/// Retry-After of a request whose API key cannot be checked: another gateway can check it, or this
/// one after the store's next response.
pub(crate) const KEY_RECHECK_DELAY: Millis = Millis(100);

/// Refusal reason when the API key was revoked, or could no longer be checked, before the request
/// was sent to a runner.
pub(crate) const KEY_NOT_CONFIRMED: &str =
    "the key could not be confirmed when the request's turn came";

/// The caller of a request.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// The configuration has no client accounts; the caller's credentials are forwarded.
    Unchecked,
    /// The route requires no credentials.
    Anonymous,
    /// A client account.
    Account(Arc<QuotaCharge>),
}

impl Caller {
    /// The client account, if there is one.
    pub(crate) fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Caller::Unchecked | Caller::Anonymous => None,
            Caller::Account(charge) => Some(&charge.account),
        }
    }

    /// Name of the client account, if there is one.
    pub(crate) fn account_name(&self) -> Option<&ClientAccountName> {
        self.account().map(|account| &account.name)
    }

    /// The account and cost by which the wait queue orders the request.
    pub(crate) fn account_cost(&self) -> AccountCost<'_> {
        AccountCost { account: self.account_name(), cost: self.cost() }
    }

    /// The request's cost against the quota; 0 without an account.
    pub(crate) fn cost(&self) -> u64 {
        match self {
            Caller::Unchecked | Caller::Anonymous => 0,
            Caller::Account(charge) => charge.cost,
        }
    }

    /// True when the caller's credentials must not be forwarded.
    pub(crate) fn strips_key(&self) -> bool {
        !matches!(self, Caller::Unchecked)
    }

    /// True while the caller's API key is valid and may be acted on.
    pub(crate) fn is_authorized(&self) -> bool {
        match self {
            Caller::Unchecked | Caller::Anonymous => true,
            Caller::Account(charge) => charge.is_authorized(),
        }
    }

    /// Marks the request as sent to a runner, which may run it, so that it is not refunded on drop.
    pub(crate) fn mark_sent(&self) {
        if let Caller::Account(charge) = self {
            charge.is_sent.store(true, Ordering::Relaxed);
        }
    }

    /// Refunds the cost of a request that has not run and will not.
    pub(crate) fn refund(&self) {
        if let Caller::Account(charge) = self {
            charge.refund();
        }
    }
}

/// A request's charge against its account's quota. It is refunded on drop if the request was never
/// sent to a runner.
#[derive(Debug)]
pub(crate) struct QuotaCharge {
    shared: Arc<SharedState>,
    account: Arc<Account>,
    key: KeyDigest,
    cost: u64,
    is_sent: AtomicBool,
    is_refunded: AtomicBool,
}

impl QuotaCharge {
    /// Creates the guard of a request that has just been charged.
    pub(crate) fn new(
        shared: Arc<SharedState>,
        account: Arc<Account>,
        key: KeyDigest,
        cost: u64,
    ) -> QuotaCharge {
        let (is_sent, is_refunded) = (AtomicBool::new(false), AtomicBool::new(false));
        QuotaCharge { shared, account, key, cost, is_sent, is_refunded }
    }

    /// True while the API key belongs to the account and the lease on the configuration has not
    /// lapsed.
    fn is_authorized(&self) -> bool {
        let Some(routing) = self.shared.routing() else { return false };
        let holder = routing.accounts().and_then(|accounts| accounts.find_by_key(self.key));
        let is_held = holder.is_some_and(|holder| holder.name == self.account.name);
        is_held && self.shared.freshness() != Freshness::Lapsed
    }

    fn refund(&self) {
        if !self.is_refunded.swap(true, Ordering::Relaxed) {
            self.shared.refund(&self.account.name, self.cost);
        }
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.is_sent.load(Ordering::Relaxed) {
            self.refund();
        }
    }
}
