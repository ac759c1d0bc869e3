//! Whose request it is, and what it counts as.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use bulrushusher_accounts::{Account, Freshness, KeyDigest};
use bulrushusher_forward::AccountCost;
use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

use crate::knowledge::Knowledge;

/// When a caller comes back whose key cannot be checked: another gateway can, or this one after the store's
/// next answer.
pub(crate) const KEY_CHECK_AGAIN: Millis = Millis(100);

/// The reason of a refusal when a key was taken away, or cannot be checked, before the request was sent on.
pub(crate) const KEY_NOT_CONFIRMED: &str =
    "the key could not be confirmed when the request's turn came";

/// Whose request it is.
#[derive(Clone, Debug)]
pub(crate) enum Caller {
    /// The configuration has no client accounts; what the caller sends to show who it is goes on.
    Unchecked,
    /// Its route is open to anybody.
    Anonymous,
    /// A client account's.
    Account(Arc<Charge>),
}

impl Caller {
    /// The account, where there is one.
    pub(crate) fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Caller::Unchecked | Caller::Anonymous => None,
            Caller::Account(charge) => Some(&charge.account),
        }
    }

    /// Name of the account, where there is one.
    pub(crate) fn account_name(&self) -> Option<&ClientAccountName> {
        self.account().map(|account| &account.name)
    }

    /// What it goes by in a line.
    pub(crate) fn claim(&self) -> AccountCost<'_> {
        AccountCost { account: self.account_name(), cost: self.cost() }
    }

    /// What the request counts as; 0 where it has no account.
    pub(crate) fn cost(&self) -> u64 {
        match self {
            Caller::Unchecked | Caller::Anonymous => 0,
            Caller::Account(charge) => charge.cost,
        }
    }

    /// True when what the caller sent to show who it is goes no further.
    pub(crate) fn hides_key(&self) -> bool {
        !matches!(self, Caller::Unchecked)
    }

    /// True while the request may run as its caller's.
    pub(crate) fn is_good(&self) -> bool {
        match self {
            Caller::Unchecked | Caller::Anonymous => true,
            Caller::Account(charge) => charge.is_good(),
        }
    }

    /// The request is sent to a runner, which may run it.
    pub(crate) fn mark_sent(&self) {
        if let Caller::Account(charge) = self {
            charge.is_sent.store(true, Ordering::Relaxed);
        }
    }

    /// The request has not run and will not.
    pub(crate) fn refund(&self) {
        if let Caller::Account(charge) = self {
            charge.refund();
        }
    }
}

/// A request that is counted to its account's quota. It is refunded when it goes without having been sent.
#[derive(Debug)]
pub(crate) struct Charge {
    knowledge: Arc<Knowledge>,
    account: Arc<Account>,
    key: KeyDigest,
    cost: u64,
    is_sent: AtomicBool,
    is_refunded: AtomicBool,
}

impl Charge {
    /// A request that was counted just now.
    pub(crate) fn new(
        knowledge: Arc<Knowledge>,
        account: Arc<Account>,
        key: KeyDigest,
        cost: u64,
    ) -> Charge {
        let (is_sent, is_refunded) = (AtomicBool::new(false), AtomicBool::new(false));
        Charge { knowledge, account, key, cost, is_sent, is_refunded }
    }

    /// True while the key may be acted on.
    fn is_good(&self) -> bool {
        let Some(routing) = self.knowledge.routing() else { return false };
        let holder = routing.accounts().and_then(|accounts| accounts.find_by_key(self.key));
        let is_held = holder.is_some_and(|holder| holder.name == self.account.name);
        is_held && self.knowledge.freshness() != Freshness::Lapsed
    }

    fn refund(&self) {
        if !self.is_refunded.swap(true, Ordering::Relaxed) {
            self.knowledge.refund(&self.account.name, self.cost);
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if !self.is_sent.load(Ordering::Relaxed) {
            self.refund();
        }
    }
}
