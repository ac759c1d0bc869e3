//! Enforcement of account quotas across all gateways.
//!
//! Each account has one token bucket, of which every gateway keeps a replica. A gateway deducts the
//! requests that it admits and the usage that other gateways report, and refills at the full rate
//! of the quota. Usage that the replicas do not know of yet is bounded by how soon it is reported.
//! Gateways that receive no reports from each other fall back to their shares of the quota.

use std::borrow::Borrow;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

use crate::account::Quota;
use crate::bucket::{Bucket, Membership, QuotaShare, REPORTED_BELOW};
use crate::peer::Peer;
use crate::quota::{AccountUsage, OverQuota, QuotaConfig, Sharing};
use crate::report::{AccountId, MAX_REPORTED_ACCOUNTS, UsageCounter, UsageReport};

/// Fraction of an even share that a gateway keeps with [`Sharing::ByDemand`], whatever its demand.
const MIN_DEMAND_SHARE: f64 = 0.25;

/// An incremental report that is sent anyway includes accounts whose unreported usage has reached
/// this fraction of the amount that triggers a report.
const EARLY_REPORT_FRACTION: f64 = 0.25;

/// How long the computed [`Membership`] is cached.
const MEMBERSHIP_TTL: Millis = Millis(50);

/// Maximum age of levels that are adopted once the quotas are known. Usage in the meantime is not
/// deducted from them. Of ten gateways or more, one sends a full report every 100 ms.
const UNADOPTED_TTL: Millis = Millis(200);

/// Time after other gateways are first found in which their usage is expected. Without a report
/// after a second, all of them have probably started as well, and waiting longer helps no request.
const USAGE_EXPECTED_FOR: Millis = Millis(1_000);

/// Drops the accounts without recent activity from a report that exceeds the size limit.
fn keep_reportable<B: Borrow<Bucket>>(buckets: &mut Vec<B>) {
    if buckets.len() > MAX_REPORTED_ACCOUNTS {
        buckets.sort_unstable_by_key(|bucket| Reverse(bucket.borrow().refilled_at));
        buckets.truncate(MAX_REPORTED_ACCOUNTS);
    }
}

/// Distributed rate limiter for the quotas of all accounts.
///
/// ```
/// use bulrushusher_accounts::{Quota, QuotaConfig, QuotaLimiter};
/// use bulrushusher_time::Millis;
/// let cfg = QuotaConfig { overage: 0.0, ..QuotaConfig::default() };
/// let name = "studio-7".try_into().unwrap();
/// let quota = Quota { per_second: 100.0, burst: 50.0 };
/// let mut limiter = QuotaLimiter::new(cfg, Millis(0));
/// limiter.set_quotas([(&name, Some(quota))], Millis(0));
/// // The bucket starts empty, because usage before the start is unknown.
/// assert!(limiter.admit(&name, 40, Millis(0)).is_err());
/// assert!(limiter.admit(&name, 40, Millis(400)).is_ok());
/// assert_eq!(limiter.admit(&name, 40, Millis(500)).unwrap_err().retry_after, Millis(300));
/// limiter.refund(&name, 40, Millis(500));
/// assert!(limiter.admit(&name, 40, Millis(500)).is_ok());
/// ```
#[derive(Clone, Debug)]
pub struct QuotaLimiter {
    cfg: QuotaConfig,
    started: Millis,
    /// True once usage before this gateway's start is known or has left the window.
    is_synced: bool,
    buckets: HashMap<ClientAccountName, Bucket>,
    names: HashMap<AccountId, ClientAccountName>,
    peers: HashMap<Arc<str>, Peer>,
    /// The last full report of a synced gateway before the quotas were known, and its arrival.
    unadopted: Option<(UsageReport, Millis)>,
    /// Number of other gateways that have announced themselves outside the reports.
    announced_peers: usize,
    /// When other gateways were first announced.
    peers_found_at: Option<Millis>,
    /// The membership and the time at which it was computed.
    membership: (Membership, Millis),
}

impl QuotaLimiter {
    /// Creates a limiter at the time `started`. Earlier usage is unknown, so buckets start empty;
    /// with [`Sharing::Fixed`] no gateway reports usage, and they start full.
    pub fn new(cfg: QuotaConfig, started: Millis) -> QuotaLimiter {
        QuotaLimiter {
            cfg,
            started,
            is_synced: matches!(cfg.sharing, Sharing::Fixed(_)),
            buckets: HashMap::new(),
            names: HashMap::new(),
            peers: HashMap::new(),
            unadopted: None,
            announced_peers: 0,
            peers_found_at: None,
            membership: (Membership { live: 1, gateways: 1 }, Millis(0)),
        }
    }

    /// Replaces the configuration of the limiter.
    pub fn set_config(&mut self, cfg: QuotaConfig) {
        self.cfg = cfg;
    }

    /// Sets the quotas of accounts. A lower quota caps the units left in the bucket; a higher one
    /// does not fill it. Accounts that are not listed are kept, because other gateways may still
    /// report usage of them.
    pub fn set_quotas<'a>(
        &mut self,
        accounts: impl IntoIterator<Item = (&'a ClientAccountName, Option<Quota>)>,
        now: Millis,
    ) {
        self.refresh(now);
        let weight = self.membership.0.live_fraction();
        for (account, quota) in accounts {
            let is_new = self.ensure_tracked(account);
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            bucket.refill(&self.cfg, weight, now);
            bucket.set_quota(&self.cfg, quota);
            if is_new && !self.is_synced {
                bucket.start_unsynced(&self.cfg);
            }
        }
        if !self.is_synced && self.has_quotas() {
            let unadopted = self.unadopted.take();
            if let Some((report, _)) = unadopted.filter(|(_, at)| now.since(*at) < UNADOPTED_TTL) {
                self.adopt(&report, now);
            }
        }
    }

    /// Sets the number of other gateways that have announced themselves.
    pub fn set_announced_peers(&mut self, count: usize, now: Millis) {
        self.announced_peers = count;
        if count > 0 {
            self.peers_found_at.get_or_insert(now);
        }
    }

    /// Admits a request and charges its cost, in units, to the account. An account without a
    /// configured quota is unlimited.
    ///
    /// # Errors
    /// [`OverQuota`] with the delay before a retry; nothing is charged then.
    pub fn admit(
        &mut self,
        account: &ClientAccountName,
        cost: u64,
        now: Millis,
    ) -> Result<(), OverQuota> {
        self.refresh(now);
        self.ensure_tracked(account);
        let membership = self.membership.0;
        let weight = self.weight(account, now);
        let cfg = self.cfg;
        let Some(bucket) = self.buckets.get_mut(account) else { return Ok(()) };
        bucket.refill(&cfg, weight, now);
        if let Some(quota) = bucket.quota {
            let missing = bucket.shortfall(&cfg, quota, weight, cost as f64);
            if missing > 0.0 {
                bucket.refused = bucket.refused.saturating_add(cost);
                let share = QuotaShare { weight, membership };
                let retry_after = bucket.next_retry(&cfg, share, missing, cost, now);
                let Membership { live: live_gateways, gateways } = membership;
                let per_second = quota.per_second;
                return Err(OverQuota {
                    missing,
                    per_second,
                    live_gateways,
                    gateways,
                    retry_after,
                });
            }
        }
        bucket.take(cost, &cfg, now);
        Ok(())
    }

    /// True when a request should wait for the reports of other gateways before [`Self::admit`]:
    /// this gateway has just found them, does not know their usage yet, and would refuse the
    /// request. Nothing is charged.
    ///
    /// ```
    /// use bulrushusher_accounts::{Quota, QuotaConfig, QuotaLimiter, UsageReport};
    /// use bulrushusher_time::Millis;
    /// let name = "studio-7".try_into().unwrap();
    /// let quota = Quota { per_second: 100.0, burst: 500.0 };
    /// let mut limiter = QuotaLimiter::new(QuotaConfig::default(), Millis(0));
    /// limiter.set_quotas([(&name, Some(quota))], Millis(0));
    /// assert!(!limiter.awaits_usage(&name, 400, Millis(0)));
    /// limiter.set_announced_peers(1, Millis(0));
    /// assert!(limiter.awaits_usage(&name, 400, Millis(0)));
    /// let usage = UsageReport { synced: true, accounts: Vec::new() };
    /// limiter.merge_report("gateway-2", 1, &usage, true, Millis(30));
    /// assert!(!limiter.awaits_usage(&name, 400, Millis(60)));
    /// assert!(limiter.admit(&name, 400, Millis(60)).is_ok());
    /// ```
    pub fn awaits_usage(&mut self, account: &ClientAccountName, cost: u64, now: Millis) -> bool {
        self.refresh(now);
        let is_found = |at: Millis| now.since(at) < USAGE_EXPECTED_FOR;
        if self.is_synced || !self.peers_found_at.is_some_and(is_found) {
            return false;
        }
        let (cfg, weight) = (self.cfg, self.weight(account, now));
        let Some(bucket) = self.buckets.get_mut(account) else { return false };
        bucket.refill(&cfg, weight, now);
        let missing = bucket.quota.map(|quota| bucket.shortfall(&cfg, quota, weight, cost as f64));
        missing.is_some_and(|missing| missing > 0.0)
    }

    /// True once usage before this gateway's start is known or has left the window.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Refunds the cost of an admitted request that was not run.
    pub fn refund(&mut self, account: &ClientAccountName, cost: u64, now: Millis) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.refund(cost, &self.cfg, now);
        }
    }

    /// True when the account has enough unreported usage that a report must be sent at once.
    pub fn is_report_due(&self, account: &ClientAccountName) -> bool {
        let gateways = self.membership.0.gateways;
        let is_due = |bucket: &Bucket| bucket.is_report_due(&self.cfg, gateways, 1.0);
        self.cfg.uses_reports() && self.buckets.get(account).is_some_and(is_due)
    }

    /// Builds the next report to all other gateways and marks its usage as reported.
    ///
    /// A full report covers all accounts with usage; otherwise only those whose unreported usage is
    /// significant. Above the size limit, accounts without recent activity are left out.
    pub fn next_report(&mut self, is_full: bool, now: Millis) -> UsageReport {
        self.refresh(now);
        let mut report = UsageReport { synced: self.is_synced, accounts: Vec::new() };
        if !self.cfg.uses_reports() {
            return report;
        }
        let (cfg, membership) = (self.cfg, self.membership.0);
        let weight = membership.live_fraction();
        let is_due = |bucket: &&mut Bucket| match is_full {
            true => bucket.is_active(&cfg, weight, now),
            false => bucket.is_report_due(&cfg, membership.gateways, EARLY_REPORT_FRACTION),
        };
        let mut due: Vec<&mut Bucket> = self.buckets.values_mut().filter(is_due).collect();
        keep_reportable(&mut due);
        due.iter_mut().for_each(|bucket| bucket.reported = bucket.used);
        let counter = |bucket: &mut Bucket| match is_full {
            true => bucket.full_counter(&cfg, weight, now),
            false => bucket.counter(),
        };
        report.accounts = due.into_iter().map(counter).collect();
        report
    }

    /// Builds a full report for a single gateway that has missed earlier ones. Usage is not marked
    /// as reported, because the other gateways do not receive this report.
    pub fn resync_report(&mut self, now: Millis) -> UsageReport {
        self.refresh(now);
        let mut report = UsageReport { synced: self.is_synced, accounts: Vec::new() };
        if self.cfg.uses_reports() {
            let (cfg, weight) = (&self.cfg, self.membership.0.live_fraction());
            let is_active = |bucket: &&Bucket| bucket.is_active(cfg, weight, now);
            let mut active: Vec<&Bucket> = self.buckets.values().filter(is_active).collect();
            keep_reportable(&mut active);
            let counter = |bucket: &Bucket| bucket.full_counter(cfg, weight, now);
            report.accounts = active.into_iter().map(counter).collect();
        }
        report
    }

    /// Merges a report of another gateway. `incarnation` identifies the start of that gateway.
    /// `is_full` is true when accounts that the report does not list have no usage.
    pub fn merge_report(
        &mut self,
        peer: &str,
        incarnation: u64,
        report: &UsageReport,
        is_full: bool,
        now: Millis,
    ) {
        self.refresh(now);
        let adopts = !self.is_synced && report.synced && is_full;
        let is_recent = |peer: &Peer| now.since(peer.last_report_at) < self.cfg.silent_after;
        let previous = self.peers.remove(peer).filter(|known| known.incarnation == incarnation);
        let is_start = previous.is_none() && !report.synced;
        // This gateway kept to its own share while the other one was silent, so the counters are
        // baselines then.
        let mut known =
            previous.filter(is_recent).unwrap_or_else(|| Peer::new(incarnation, is_start));
        known.last_report_at = now;
        for counter in &report.accounts {
            if let Some(before) = known.update(counter) {
                self.deduct(counter, before, now);
            }
        }
        known.is_complete |= is_full && report.is_complete();
        self.peers.insert(peer.into(), known);
        if adopts {
            match self.has_quotas() {
                true => self.adopt(report, now),
                false => self.unadopted = Some((report.clone(), now)),
            }
        }
    }

    /// Deducts the usage that another gateway has added since its counter was `before`.
    fn deduct(&mut self, counter: &UsageCounter, before: u64, now: Millis) {
        let (cfg, weight) = (self.cfg, self.membership.0.live_fraction());
        let Some(name) = self.names.get(&counter.account) else { return };
        let Some(bucket) = self.buckets.get_mut(name) else { return };
        let Some(quota) = bucket.quota else { return };
        bucket.refill(&cfg, weight, now);
        let max = cfg.headroom(quota) + quota.burst;
        let units = (counter.used as f64 - before as f64).clamp(-max, max);
        bucket.level = (bucket.level - units).max(-max);
        bucket.record_usage(units, &cfg, now);
    }

    /// True once the configuration has created buckets, which can adopt levels.
    fn has_quotas(&self) -> bool {
        self.buckets.values().any(|bucket| bucket.quota.is_some())
    }

    /// Adopts the bucket levels of a gateway that is already synced.
    fn adopt(&mut self, report: &UsageReport, now: Millis) {
        self.is_synced = true;
        let counters: HashMap<AccountId, &UsageCounter> =
            report.accounts.iter().map(|counter| (counter.account, counter)).collect();
        for bucket in self.buckets.values_mut() {
            let Some(quota) = bucket.quota else { continue };
            let capacity = self.cfg.capacity(quota);
            let level = counters.get(&bucket.id).map(|counter| {
                counter.remaining.map_or(capacity * REPORTED_BELOW, |remaining| remaining as f64)
            });
            bucket.adopt(level.unwrap_or(capacity).min(capacity), &self.cfg, now);
        }
    }

    /// Usage of every tracked account, for operators.
    pub fn usage(&mut self, now: Millis) -> Vec<AccountUsage> {
        let window = self.cfg.window;
        let usage = self.buckets.iter_mut().map(|(account, bucket)| AccountUsage {
            account: account.clone(),
            used: bucket.global_usage.sum(window, now),
            peak: bucket.global_usage.peak(),
            refused: bucket.refused,
            quota: bucket.quota,
        });
        usage.collect()
    }

    /// Number of tracked accounts.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// True when no account is tracked.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Tracks an account, evicting the least recently used one at the limit. Returns true when the
    /// account was not tracked before.
    fn ensure_tracked(&mut self, account: &ClientAccountName) -> bool {
        if self.buckets.contains_key(account) {
            return false;
        }
        if self.buckets.len() >= self.cfg.max_accounts {
            let oldest = self.buckets.iter().min_by_key(|(_, bucket)| bucket.refilled_at);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.buckets.remove(&oldest);
            }
        }
        let id = AccountId::from(account);
        let refilled_at = if self.is_synced { Millis(0) } else { self.started };
        self.names.insert(id, account.clone());
        self.buckets.insert(account.clone(), Bucket::new(id, refilled_at));
        true
    }

    /// Updates the state that depends on time alone: sync after a start, and the membership.
    fn refresh(&mut self, now: Millis) {
        if !self.is_synced && now.since(self.started) >= self.cfg.window {
            self.finish_start(now);
        }
        if now.since(self.membership.1) >= MEMBERSHIP_TTL || self.membership.1 == Millis(0) {
            let gone_after = self.cfg.gone_after;
            self.peers.retain(|_, peer| now.since(peer.last_report_at) < gone_after);
            let before = self.membership.0;
            let membership = self.compute_membership(now);
            self.membership = (membership, now);
            // A newly found gateway that was not counted before has not used anything yet, so only
            // a drop in the number of live gateways counts.
            let newly_silent = before.live.saturating_sub(membership.live);
            if newly_silent > 0 {
                let share = newly_silent as f64 / membership.gateways.max(before.gateways) as f64;
                self.deduct_silent(share, now);
            }
        }
    }

    /// Marks the limiter as synced one window after the start. Usage before the start has left the
    /// window by now, so buckets get the units that they would hold had they started full.
    fn finish_start(&mut self, now: Millis) {
        self.is_synced = true;
        let weight = self.membership.0.live_fraction();
        for bucket in self.buckets.values_mut() {
            bucket.refill(&self.cfg, weight, now);
            bucket.finish_start(&self.cfg, now);
        }
    }

    /// Handles gateways with the fraction `share` of the quotas becoming silent. They may continue
    /// to use their share, and their usage since the last report is unknown, also shortly after a
    /// restart of all gateways.
    fn deduct_silent(&mut self, share: f64, now: Millis) {
        let (cfg, weight) = (self.cfg, self.membership.0.live_fraction());
        if cfg.sharing != Sharing::Told {
            return;
        }
        for bucket in self.buckets.values_mut().filter(|bucket| bucket.quota.is_some()) {
            bucket.refill(&cfg, weight, now);
            bucket.deduct_silent(share, &cfg, now);
        }
    }

    fn compute_membership(&self, now: Millis) -> Membership {
        if let Sharing::Fixed(gateways) = self.cfg.sharing {
            return Membership { live: 1, gateways: gateways.max(1) as usize };
        }
        let is_recent = |peer: &&Peer| now.since(peer.last_report_at) < self.cfg.silent_after;
        let live = self.peers.values().filter(is_recent).count() + 1;
        // An announced gateway without recent reports may be partitioned and still use its share.
        Membership { live, gateways: self.peers.len().max(self.announced_peers) + 1 }
    }

    /// Fraction of an account's quota that this gateway may use.
    fn weight(&mut self, account: &ClientAccountName, now: Millis) -> f64 {
        let even = 1.0 / self.membership.0.gateways as f64;
        match self.cfg.sharing {
            Sharing::Fixed(_) | Sharing::Even => even,
            Sharing::Told => self.membership.0.live_fraction(),
            Sharing::ByDemand => {
                let window = self.cfg.window;
                let Some(bucket) = self.buckets.get_mut(account) else { return even };
                let local = bucket.local_usage.sum(window, now);
                let global = bucket.global_usage.sum(window, now);
                let share = if global > 0.0 { local / global } else { even };
                MIN_DEMAND_SHARE * even + (1.0 - MIN_DEMAND_SHARE) * share
            }
        }
    }
}
