//! The lease on the configuration: how long it may be acted on without new word of the store.
//!
//! A key that is taken away must be refused by all gateways within a bound, also by those that the store
//! does not reach. So a gateway acts on keys only while it can show that its configuration was in force a
//! short time ago. Evidence counts from the moment at which the store was asked: an answer may lie on
//! its way, or in a process that stands still, for any time.

use bulrushusher_time::Millis;

use crate::Freshness;

/// Bounds of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time after which a key that was taken away must be refused; zero is no bound.
    pub bound: Millis,
    /// Age of the evidence up to which what the configuration does not name is not there.
    pub fresh_for: Millis,
}

/// Kept back of the bound: the store's clock and ours may run at slightly different speeds, and ours
/// counts whole milliseconds.
const MARGIN_SHARE: f64 = 0.02;

/// Share of the lease after which it is renewed. Half of it is left for a store that is slow, or a
/// connection that has gone silent.
const RENEW_SHARE: f64 = 0.5;

/// Share after which callers had better go elsewhere: a balancer needs a second or two to notice.
const READY_SHARE: f64 = 0.7;

impl LeaseConfig {
    /// How long the lease lasts.
    pub fn lasts(&self) -> Millis {
        self.share(1.0)
    }

    fn share(&self, share: f64) -> Millis {
        if self.bound == Millis(0) {
            return Millis::MAX;
        }
        Millis((self.bound.0 as f64 * (1.0 - MARGIN_SHARE) * share) as u64)
    }
}

/// The lease of one gateway.
///
/// ```
/// use bulrushusher_accounts::{ConfigLease, Freshness, LeaseConfig};
/// use bulrushusher_time::Millis;
/// let cfg = LeaseConfig { bound: Millis(5_000), fresh_for: Millis(3_000) };
/// let mut lease = ConfigLease::default();
/// assert_eq!(lease.freshness(cfg, Millis(0)), Freshness::Lapsed);
/// lease.renew(Millis(1_000));
/// assert_eq!(lease.freshness(cfg, Millis(4_000)), Freshness::Fresh);
/// assert_eq!(lease.freshness(cfg, Millis(5_500)), Freshness::Leased);
/// assert_eq!(lease.freshness(cfg, Millis(6_000)), Freshness::Lapsed);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigLease {
    /// When the store was asked for the last answer that confirmed the configuration.
    asked_at: Option<Millis>,
    /// Answers to what was asked before say nothing: a later configuration was known to somebody.
    not_before: Millis,
}

impl ConfigLease {
    /// The store confirmed the configuration in answer to a question of that moment.
    pub fn renew(&mut self, asked_at: Millis) {
        if asked_at >= self.not_before {
            self.asked_at = self.asked_at.max(Some(asked_at));
        }
    }

    /// A later configuration is in force, and is not known here.
    pub fn end(&mut self, now: Millis) {
        self.asked_at = None;
        self.not_before = self.not_before.max(now);
    }

    /// How far the configuration may be acted on.
    pub fn freshness(&self, cfg: LeaseConfig, now: Millis) -> Freshness {
        match self.age(now) {
            None => Freshness::Lapsed,
            Some(age) if age <= cfg.fresh_for.min(cfg.lasts()) => Freshness::Fresh,
            Some(age) if age < cfg.lasts() => Freshness::Leased,
            Some(_) => Freshness::Lapsed,
        }
    }

    /// Age of the evidence; `None` while there is none.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.asked_at.map(|asked_at| now.since(asked_at))
    }

    /// Time until the store should be asked again; zero when it is due.
    pub fn renew_in(&self, cfg: LeaseConfig, now: Millis) -> Millis {
        self.age(now).map_or(Millis(0), |age| cfg.share(RENEW_SHARE).since(age))
    }

    /// True while new callers may be sent here.
    pub fn is_ready(&self, cfg: LeaseConfig, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < cfg.share(READY_SHARE))
    }
}
