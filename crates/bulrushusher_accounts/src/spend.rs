//! What gateways tell each other of the use of quotas.

use bulrushusher_world::ClientAccountName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// An account, as gateways tell each other: short, and the same at all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountId(u32);

impl From<&ClientAccountName> for AccountId {
    /// Two of ten thousand accounts share one in a hundred deployments; these two are then told of each
    /// other's use, and refused too early.
    fn from(name: &ClientAccountName) -> AccountId {
        AccountId(xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// What one gateway has let an account use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountSpend {
    /// The account.
    pub account: AccountId,
    /// Units since the gateway's start, less what was refunded.
    pub spent: u64,
    /// What is left of the quota, where that is less than half; in units.
    pub left: Option<i64>,
}

/// What one gateway tells of all accounts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spends {
    /// True when a gateway that starts may go by what is left.
    pub settled: bool,
    /// Accounts of which there is something to tell.
    pub accounts: Vec<AccountSpend>,
}
