//! Token bucket of one account, as one gateway tracks it.

use bulrushusher_time::Millis;

use crate::account::Quota;
use crate::quota::{PARTITION_SHARE, QuotaConfig, Sharing};
use crate::report::{AccountId, UsageCounter};
use crate::window::WindowSum;

/// Shortest retry delay given to a refused client, so that retries do not bunch.
const MIN_RETRY_DELAY: Millis = Millis(50);

/// A bucket filled to at least this fraction does not report its level.
pub(crate) const REPORTED_BELOW: f64 = 0.5;

/// A request that costs more than the bucket's capacity is admitted from this fill fraction on.
const OVERSIZED_FILL: f64 = 0.95;

/// How many of the gateways that may use the quotas have reported recently.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Membership {
    /// Gateways that have reported recently, including this one.
    pub live: usize,
    /// All gateways that may use the quotas.
    pub gateways: usize,
}

impl Membership {
    /// Fraction of the gateways that have reported recently.
    pub(crate) fn live_fraction(self) -> f64 {
        self.live as f64 / self.gateways as f64
    }
}

/// This gateway's share of an account's quota.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaShare {
    /// Fraction of the quota that this gateway enforces against.
    pub weight: f64,
    pub membership: Membership,
}

#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    pub id: AccountId,
    pub quota: Option<Quota>,
    /// Units left; negative when usage of other gateways was reported late.
    pub level: f64,
    /// Part of the level granted to all gateways together after a restart of all of them; this
    /// gateway may use only its share of it.
    start_grant: f64,
    /// Units that the bucket would hold in addition had it started full. Refills of a full bucket
    /// are lost, so this shrinks to the room that is left.
    start_missing: f64,
    /// Until then the level is not limited to this gateway's share, see [`Bucket::adopt`].
    whole_until: Millis,
    pub refilled_at: Millis,
    /// Units admitted by this gateway, less refunds.
    pub used: u64,
    /// Value of `used` in the last report.
    pub reported: u64,
    /// Usage within the last window at this gateway.
    pub local_usage: WindowSum,
    /// Usage within the last window at all gateways.
    pub global_usage: WindowSum,
    /// Usage at all live gateways within [`QuotaConfig::silent_after`]: what may have been used
    /// since the last report of a gateway that has just become silent.
    pub recent_usage: WindowSum,
    pub refused: u64,
    /// Time at which the last refused client was asked to retry.
    last_retry_at: Millis,
}

impl Bucket {
    pub(crate) fn new(id: AccountId, refilled_at: Millis) -> Bucket {
        Bucket {
            id,
            quota: None,
            level: 0.0,
            start_grant: 0.0,
            start_missing: 0.0,
            whole_until: Millis(0),
            refilled_at,
            used: 0,
            reported: 0,
            local_usage: WindowSum::default(),
            global_usage: WindowSum::default(),
            recent_usage: WindowSum::default(),
            refused: 0,
            last_retry_at: Millis(0),
        }
    }

    pub(crate) fn set_quota(&mut self, cfg: &QuotaConfig, quota: Option<Quota>) {
        let was_unlimited = self.quota.is_none();
        self.quota = quota;
        if let Some(quota) = quota {
            if was_unlimited {
                // Usage while the account had no quota is not charged.
                self.level = cfg.capacity(quota);
            }
            self.level = self.level.min(cfg.capacity(quota));
            self.start_grant = self.start_grant.min(cfg.start_allowance(quota));
        }
    }

    /// Sets the level of a bucket whose earlier usage is unknown: empty except for the allowance
    /// that may be used in any case.
    pub(crate) fn start_unsynced(&mut self, cfg: &QuotaConfig) {
        self.start_grant = self.quota.map_or(0.0, |quota| cfg.start_allowance(quota));
        self.level = self.start_grant;
        self.start_missing = self.quota.map_or(0.0, |quota| cfg.capacity(quota)) - self.level;
    }

    /// Sets the level once usage before the start has left the window: the one that the bucket
    /// would have had it started full.
    pub(crate) fn finish_start(&mut self, cfg: &QuotaConfig, now: Millis) {
        let capacity = self.quota.map_or(0.0, |quota| cfg.capacity(quota));
        self.sync((self.level + self.start_missing).min(capacity), now);
    }

    /// Sets the level once earlier usage is known or has left the window.
    pub(crate) fn sync(&mut self, level: f64, now: Millis) {
        (self.level, self.refilled_at) = (level, now);
        (self.start_grant, self.start_missing) = (0.0, 0.0);
    }

    /// Sets the level that another gateway reports. It already is limited to the share of the
    /// gateways that this one hears, and the others have yet to report to a gateway that starts.
    pub(crate) fn adopt(&mut self, level: f64, cfg: &QuotaConfig, now: Millis) {
        self.sync(level, now);
        self.whole_until = now.plus(cfg.silent_after);
    }

    pub(crate) fn refill(&mut self, cfg: &QuotaConfig, weight: f64, now: Millis) {
        if self.quota.is_some() {
            self.level = self.level_at(cfg, weight, now);
            self.refilled_at = self.refilled_at.max(now);
            let capacity = self.quota.map_or(0.0, |quota| cfg.capacity(quota));
            self.start_missing = self.start_missing.min(capacity - self.level).max(0.0);
        }
    }

    /// The level after a refill at the time `now`.
    fn level_at(&self, cfg: &QuotaConfig, weight: f64, now: Millis) -> f64 {
        let Some(quota) = self.quota else { return self.level };
        let passed = now.since(self.refilled_at).0 as f64;
        let is_whole = self.start_grant > 0.0 || now < self.whole_until;
        let share = if is_whole { 1.0 } else { weight };
        let capacity = cfg.capacity(quota) * share;
        (self.level + passed * refill_rate(cfg, quota, weight)).min(capacity)
    }

    /// Units short for a request; zero or less when it can be admitted.
    ///
    /// A request larger than the bucket is admitted when the bucket is nearly full; the level then
    /// goes negative, and later requests wait until it is refilled.
    pub(crate) fn shortfall(
        &self,
        cfg: &QuotaConfig,
        quota: Quota,
        weight: f64,
        units: f64,
    ) -> f64 {
        let capacity = cfg.capacity(quota) * weight;
        let others = self.start_grant * (1.0 - weight);
        units.min(capacity * OVERSIZED_FILL) - (self.level - others)
    }

    pub(crate) fn take(&mut self, cost: u64, cfg: &QuotaConfig, now: Millis) {
        self.level -= cost as f64;
        self.used = self.used.saturating_add(cost);
        self.local_usage.add(cost as f64, cfg.window, now);
        self.record_usage(cost as f64, cfg, now);
    }

    pub(crate) fn refund(&mut self, cost: u64, cfg: &QuotaConfig, now: Millis) {
        self.level += cost as f64;
        self.used = self.used.saturating_sub(cost);
        self.local_usage.add(-(cost as f64), cfg.window, now);
        self.record_usage(-(cost as f64), cfg, now);
    }

    /// Records units used (or, if negative, refunded) at this gateway or at a live one.
    pub(crate) fn record_usage(&mut self, units: f64, cfg: &QuotaConfig, now: Millis) {
        self.global_usage.add(units, cfg.window, now);
        self.recent_usage.add(units, cfg.silent_after, now);
    }

    /// Deducts what gateways that have just become silent may have used without reporting it.
    ///
    /// They hold the fraction `share` of the quota, and could use that fraction of everything
    /// available since their last report: the current level and the usage in the meantime.
    pub(crate) fn deduct_silent(&mut self, share: f64, cfg: &QuotaConfig, now: Millis) {
        let available = self.level.max(0.0) + self.recent_usage.sum(cfg.silent_after, now);
        self.level -= share * available;
    }

    /// True when unreported usage has reached `fraction` of the amount that must be reported.
    pub(crate) fn is_report_due(&self, cfg: &QuotaConfig, gateways: usize, fraction: f64) -> bool {
        let Some(quota) = self.quota else { return false };
        let unreported = self.used.abs_diff(self.reported) as f64;
        unreported > 0.0 && unreported >= cfg.unreported_allowance(quota, gateways) * fraction
    }

    /// True when a full report must list the account: this gateway has admitted requests of it, or
    /// the bucket is low because of usage at other gateways.
    pub(crate) fn is_active(&self, cfg: &QuotaConfig, weight: f64, now: Millis) -> bool {
        self.quota.is_some() && (self.used > 0 || self.remaining(cfg, weight, now).is_some())
    }

    /// The counter for an incremental report.
    pub(crate) fn counter(&self) -> UsageCounter {
        UsageCounter { account: self.id, used: self.used, remaining: None }
    }

    /// The counter for a full report, with the level.
    pub(crate) fn full_counter(&self, cfg: &QuotaConfig, weight: f64, now: Millis) -> UsageCounter {
        UsageCounter { remaining: self.remaining(cfg, weight, now), ..self.counter() }
    }

    /// The level at the time `now`; `None` from [`REPORTED_BELOW`] on.
    fn remaining(&self, cfg: &QuotaConfig, weight: f64, now: Millis) -> Option<i64> {
        let capacity = self.quota.map_or(0.0, |quota| cfg.capacity(quota));
        let level = self.level_at(cfg, weight, now);
        (level < capacity * REPORTED_BELOW).then_some(level as i64)
    }

    /// Delay after which the client of a refused request may retry. Retries are scheduled one after
    /// the other, at this gateway's part of the quota's rate.
    pub(crate) fn next_retry(
        &mut self,
        cfg: &QuotaConfig,
        share: QuotaShare,
        shortfall: f64,
        cost: u64,
        now: Millis,
    ) -> Millis {
        let Some(quota) = self.quota else { return Millis(0) };
        let rate = refill_rate(cfg, quota, share.weight).max(f64::MIN_POSITIVE);
        let earliest = now.plus(Millis((shortfall / rate).ceil() as u64).max(MIN_RETRY_DELAY));
        let own_rate = rate / share.membership.live as f64;
        let after_last = self.last_retry_at.plus(Millis((cost as f64 / own_rate) as u64));
        self.last_retry_at = earliest.max(after_last.min(now.plus(cfg.window)));
        self.last_retry_at.since(now)
    }
}

/// Refill rate in units per millisecond for a gateway that may use the fraction `weight` of the
/// quota. During a partition a part of the headroom compensates for the share that silent gateways
/// may not be using.
fn refill_rate(cfg: &QuotaConfig, quota: Quota, weight: f64) -> f64 {
    let full_rate = quota.per_second / 1_000.0;
    match cfg.sharing {
        Sharing::Told if weight < 1.0 => {
            let spare = PARTITION_SHARE * cfg.headroom(quota) / cfg.window.0 as f64;
            (weight * (full_rate + spare)).min(full_rate)
        }
        _ => weight * full_rate,
    }
}
