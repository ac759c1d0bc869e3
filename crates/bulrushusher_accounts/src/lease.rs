//! Lease on the configuration: how long it may be used while the store does not confirm it.
//!
//! All gateways must refuse a revoked key within a time bound, including those that cannot reach
//! the store. A gateway therefore accepts keys only while its configuration is known to have been
//! in force a short time ago. The lease counts from the time at which the request to the store was
//! sent, because a response may be delayed without limit in the network or in a paused process.

use bulrushusher_time::Millis;

use crate::Freshness;

/// Time bounds of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseConfig {
    /// Time within which a revoked key must be refused; zero for no bound.
    pub revocation_bound: Millis,
    /// Age of the last confirmation up to which a key that the configuration does not list is
    /// rejected for good.
    pub fresh_for: Millis,
}

/// Safety margin as a fraction of the bound: the clocks of the store and of the gateway may drift
/// apart, and the gateway's counts whole milliseconds.
const MARGIN_FRACTION: f64 = 0.02;

/// Fraction of the lease after which it is renewed. The other half allows for a slow store or a
/// dead connection.
const RENEW_FRACTION: f64 = 0.5;

/// Fraction of the lease after which the gateway reports itself not ready: a load balancer takes
/// one or two seconds to notice, and should do so before the lease expires.
const READY_FRACTION: f64 = 0.7;

impl LeaseConfig {
    /// Duration of the lease: the bound less a safety margin, or unlimited without a bound.
    pub fn duration(&self) -> Millis {
        self.fraction(1.0)
    }

    fn fraction(&self, fraction: f64) -> Millis {
        if self.revocation_bound == Millis(0) {
            return Millis::MAX;
        }
        Millis((self.revocation_bound.0 as f64 * (1.0 - MARGIN_FRACTION) * fraction) as u64)
    }
}

/// One gateway's lease on its configuration.
///
/// ```
/// use bulrushusher_accounts::{ConfigLease, Freshness, LeaseConfig};
/// use bulrushusher_time::Millis;
/// let cfg = LeaseConfig { revocation_bound: Millis(5_000), fresh_for: Millis(3_000) };
/// let mut lease = ConfigLease::default();
/// assert_eq!(lease.freshness(cfg, Millis(0)), Freshness::Lapsed);
/// lease.renew(Millis(1_000));
/// assert_eq!(lease.freshness(cfg, Millis(4_000)), Freshness::Fresh);
/// assert_eq!(lease.freshness(cfg, Millis(5_500)), Freshness::Leased);
/// assert_eq!(lease.freshness(cfg, Millis(6_000)), Freshness::Lapsed);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct ConfigLease {
    /// Send time of the latest request in response to which the store confirmed the configuration.
    requested_at: Option<Millis>,
    /// Responses to requests sent before this time are ignored: a newer configuration was known to
    /// be in force by then.
    valid_from: Millis,
}

impl ConfigLease {
    /// Renews the lease after the store confirmed the configuration in response to a request that
    /// was sent at `requested_at`.
    pub fn renew(&mut self, requested_at: Millis) {
        if requested_at >= self.valid_from {
            self.requested_at = self.requested_at.max(Some(requested_at));
        }
    }

    /// Revokes the lease because a newer configuration is in force that this gateway has not
    /// loaded.
    pub fn revoke(&mut self, now: Millis) {
        self.requested_at = None;
        self.valid_from = self.valid_from.max(now);
    }

    /// How far the configuration may be relied on.
    pub fn freshness(&self, cfg: LeaseConfig, now: Millis) -> Freshness {
        match self.age(now) {
            None => Freshness::Lapsed,
            Some(age) if age <= cfg.fresh_for.min(cfg.duration()) => Freshness::Fresh,
            Some(age) if age < cfg.duration() => Freshness::Leased,
            Some(_) => Freshness::Lapsed,
        }
    }

    /// Time since the request behind the last confirmation was sent; `None` without a confirmation.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.requested_at.map(|requested_at| now.since(requested_at))
    }

    /// Time until the lease should be renewed; zero when renewal is due.
    pub fn renew_in(&self, cfg: LeaseConfig, now: Millis) -> Millis {
        self.age(now).map_or(Millis(0), |age| cfg.fraction(RENEW_FRACTION).since(age))
    }

    /// True while a load balancer may send new requests to this gateway.
    pub fn is_ready(&self, cfg: LeaseConfig, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < cfg.fraction(READY_FRACTION))
    }
}
