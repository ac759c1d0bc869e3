//! How strictly quotas are kept, and what is said of one that is used up.

use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use derive_more::{Display, Error};

use crate::account::Quota;

/// How a quota is shared by gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sharing {
    /// Each of so many gets its fixed part; nothing is told.
    Fixed(u32),
    /// Each gets the same part.
    Even,
    /// Each gets a part that follows its callers' demand.
    ByDemand,
    /// All take from one, and tell each other what they took.
    Told,
}

/// How strictly quotas are kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// How a quota is shared.
    pub sharing: Sharing,
    /// Any span of this length is held to the quota.
    pub window: Millis,
    /// Share of the quota that may be used beyond it in a window.
    pub overage: f64,
    /// Units that may be used beyond that in a window.
    pub slack: f64,
    /// Silence after which another gateway is not counted on: it may be cut off, and use the quota too.
    pub silent_after: Millis,
    /// Silence after which another gateway is gone, and its part is used by the others.
    pub gone_after: Millis,
    /// Accounts that are tracked; those that were not used for longest go first.
    pub most: usize,
}

impl Default for QuotaConfig {
    /// Gateways speak every 0.7 s, and a word may be lost. One that was killed is back within some
    /// seconds, and one that is cut off stays so for longer than a window only now and then.
    fn default() -> QuotaConfig {
        QuotaConfig {
            sharing: Sharing::Told,
            window: Millis(8_000),
            overage: 0.1,
            slack: 0.0,
            silent_after: Millis(1_600),
            gone_after: Millis(10_000),
            most: 100_000,
        }
    }
}

impl QuotaConfig {
    /// True where gateways tell each other what they let through.
    pub(crate) fn is_told(&self) -> bool {
        matches!(self.sharing, Sharing::ByDemand | Sharing::Told)
    }

    /// Units that may be used in a window beyond the quota.
    pub(crate) fn headroom(&self, quota: Quota) -> f64 {
        self.overage * quota.in_window(self.window) + self.slack
    }

    /// Units that may be used at once: the burst and a part of the headroom. The rest is for what gateways
    /// do not know of each other yet.
    pub(crate) fn capacity(&self, quota: Quota) -> f64 {
        quota.burst + CAPACITY_SHARE * self.headroom(quota)
    }

    /// Units that may be used at once after all gateways have started anew, whatever was used before.
    pub(crate) fn at_start(&self, quota: Quota) -> f64 {
        START_SHARE * self.headroom(quota)
    }

    /// Units that one of `gateways` may use untold.
    pub(crate) fn untold(&self, quota: Quota, gateways: usize) -> f64 {
        UNTOLD_SHARE * self.headroom(quota) / gateways as f64
    }
}

/// Share of the headroom by which a bucket is larger than the burst, so that requests which crowd on
/// their way are not refused.
const CAPACITY_SHARE: f64 = 0.25;

/// Share of the headroom that may be used at once after a start of all.
const START_SHARE: f64 = 0.2;

/// Share of the headroom that all gateways together may have used untold.
const UNTOLD_SHARE: f64 = 0.25;

/// Share of the headroom by which gateways that are apart may go beyond their parts.
pub(crate) const APART_SHARE: f64 = 0.25;

/// The account has used up its quota.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display("over quota by {missing:.0} of {per_second:.0} a second; come back after {come_back}")]
pub struct OverQuota {
    /// Units that were missing.
    pub missing: f64,
    /// The quota.
    pub per_second: f64,
    /// Gateways that were heard of those that may use the quota, this one included.
    pub heard: usize,
    /// Gateways that may use it.
    pub gateways: usize,
    /// When the quota allows it again.
    pub come_back: Millis,
}

/// What an account has used.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUse {
    /// The account.
    pub account: ClientAccountName,
    /// Units within the last window, at all gateways.
    pub used: f64,
    /// The most that was used within a window.
    pub worst: f64,
    /// Units that this gateway refused.
    pub refused: u64,
    /// The quota, where there is one.
    pub quota: Option<Quota>,
}
