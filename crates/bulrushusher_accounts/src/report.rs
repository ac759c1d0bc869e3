//! Usage reports that gateways exchange to enforce quotas together.

use bulrushusher_world::ClientAccountName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of accounts in a report, so that it fits into one datagram.
pub(crate) const MAX_REPORTED_ACCOUNTS: usize = 512;

/// Short identifier of an account in usage reports; every gateway derives the same one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountId(u32);

impl From<&ClientAccountName> for AccountId {
    /// Hashes the name to 32 bits. With 10,000 accounts, about one deployment in a hundred has two
    /// accounts with the same identifier; usage of each is then charged to the other too, and both
    /// are refused too early.
    fn from(name: &ClientAccountName) -> AccountId {
        AccountId(xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// Usage of one account at one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounter {
    /// The account.
    pub account: AccountId,
    /// Units used since the gateway started, less refunds.
    pub used: u64,
    /// Units left in the gateway's token bucket, in full reports only; `None` while at least half
    /// of the bucket is left.
    pub remaining: Option<i64>,
}

/// Usage of accounts at one gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// True when a gateway that has just started may adopt [`UsageCounter::remaining`]: the sender
    /// accounts for all usage before its own start.
    pub synced: bool,
    /// Counters of the accounts that this report covers.
    pub accounts: Vec<UsageCounter>,
}

impl UsageReport {
    /// True when the report was not cut off at the size limit.
    pub(crate) fn is_complete(&self) -> bool {
        self.accounts.len() < MAX_REPORTED_ACCOUNTS
    }
}
