//! Configuration of quota enforcement, and its results.

use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;
use derive_more::{Display, Error};

use crate::account::Quota;

/// How gateways share a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sharing {
    /// The quota is split evenly among this fixed number of gateways, without usage reports.
    Fixed(u32),
    /// The quota is split evenly among the gateways that are present.
    Even,
    /// The quota is split among the gateways in proportion to their recent usage, which they
    /// report to each other.
    ByDemand,
    /// Each gateway keeps a replica of one token bucket and reports its own usage to the others.
    Told,
}

/// Configuration of quota enforcement.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaConfig {
    /// How gateways share a quota.
    pub sharing: Sharing,
    /// Length of the sliding window over which a quota is enforced.
    pub window: Millis,
    /// Usage allowed beyond the quota in a window, as a fraction of the quota.
    pub overage: f64,
    /// Further units allowed beyond the quota in a window.
    pub slack: f64,
    /// Time without reports after which a gateway is suspected to be partitioned: it may still run
    /// and use the quota, so the others leave it its share.
    pub silent_after: Millis,
    /// Time without reports after which a gateway is considered stopped and its share goes to the
    /// others, unless it is still announced.
    pub gone_after: Millis,
    /// Maximum number of tracked accounts; the least recently used one is evicted first.
    pub max_accounts: usize,
}

impl Default for QuotaConfig {
    /// `silent_after` covers two report intervals of 0.7 s, so that one lost report is tolerated.
    /// `gone_after` exceeds the few seconds that a killed gateway takes to restart; partitions
    /// rarely outlast a window.
    fn default() -> QuotaConfig {
        QuotaConfig {
            sharing: Sharing::Told,
            window: Millis(8_000),
            overage: 0.1,
            slack: 0.0,
            silent_after: Millis(1_600),
            gone_after: Millis(10_000),
            max_accounts: 100_000,
        }
    }
}

impl QuotaConfig {
    /// True when gateways report their usage to each other.
    pub(crate) fn uses_reports(&self) -> bool {
        matches!(self.sharing, Sharing::ByDemand | Sharing::Told)
    }

    /// Units that may be used beyond the quota in a window.
    pub(crate) fn headroom(&self, quota: Quota) -> f64 {
        self.overage * quota.in_window(self.window) + self.slack
    }

    /// Capacity of the token bucket in units: the burst and a part of the headroom. The rest of the
    /// headroom covers usage that gateways have not reported to each other yet.
    pub(crate) fn capacity(&self, quota: Quota) -> f64 {
        quota.burst + CAPACITY_SHARE * self.headroom(quota)
    }

    /// Units that all gateways together may use at once after a restart of all of them, when
    /// earlier usage is unknown.
    pub(crate) fn start_allowance(&self, quota: Quota) -> f64 {
        START_SHARE * self.headroom(quota)
    }

    /// Units that each of `gateways` gateways may use before it has to report them.
    pub(crate) fn unreported_allowance(&self, quota: Quota, gateways: usize) -> f64 {
        UNREPORTED_SHARE * self.headroom(quota) / gateways as f64
    }
}

/// Share of the headroom added to the burst as bucket capacity, so that requests that bunch in
/// transit are not refused.
const CAPACITY_SHARE: f64 = 0.25;

/// Share of the headroom that may be used at once after a restart of all gateways.
const START_SHARE: f64 = 0.2;

/// Share of the headroom that all gateways together may have used without reporting it.
const UNREPORTED_SHARE: f64 = 0.25;

/// Share of the headroom by which partitioned gateways may exceed their shares of the quota.
pub(crate) const PARTITION_SHARE: f64 = 0.25;

/// The account has used up its quota.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq)]
#[display(
    "over its quota: {missing:.0} units short at {per_second:.0} units/s; retry after {retry_after}"
)]
pub struct OverQuota {
    /// Units short for this request.
    pub missing: f64,
    /// Rate of the quota, in units per second.
    pub per_second: f64,
    /// Gateways that may use the quota and have reported recently, including this one.
    pub live_gateways: usize,
    /// Gateways that may use the quota.
    pub gateways: usize,
    /// Delay after which the quota allows the request.
    pub retry_after: Millis,
}

/// Usage of one account, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage {
    /// The account.
    pub account: ClientAccountName,
    /// Units used within the last window at all gateways.
    pub used: f64,
    /// Largest number of units used within any window.
    pub peak: f64,
    /// Units refused by this gateway.
    pub refused: u64,
    /// The account's quota; `None` when it is unlimited.
    pub quota: Option<Quota>,
}
