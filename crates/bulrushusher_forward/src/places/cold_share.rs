//! The division of a cold runner's bound among gateways.

use std::sync::Arc;

use bulrushusher_time::Millis;

use crate::rendezvous::is_among_first;

/// Tolerance above the rate that a cold runner is stated to tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimitConfig {
    /// Factor of the stated rate.
    pub overage: f64,
    /// Requests per second beyond that.
    pub slack: f64,
}

impl Default for ColdLimitConfig {
    fn default() -> ColdLimitConfig {
        ColdLimitConfig { overage: 1.0, slack: 0.0 }
    }
}

/// How the bound of a cold runner is divided among gateways.
///
/// ```
/// use bulrushusher_forward::{ColdLimitConfig, ColdShare};
/// let share = ColdShare::of(24.0, ColdLimitConfig { overage: 1.5, slack: 5.0 });
/// assert_eq!(share, ColdShare { per_second: 5, sharers: 4, spare: 4 });
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdShare {
    /// Requests that one gateway may send to the runner in any second.
    pub per_second: usize,
    /// Number of gateways that may send to the runner; 0 where the bound is too low to be divided.
    pub sharers: usize,
    /// Number of further gateways that may send for a time because they see another list.
    pub spare: usize,
}

impl ColdShare {
    /// Divides the bound of a runner that tolerates `requests_per_second`. Each gateway may send at
    /// least two requests where the bound allows it, as a generation needs two at its decode runner:
    /// the hold and the run.
    pub fn of(requests_per_second: f64, cfg: ColdLimitConfig) -> ColdShare {
        // The conversion saturates, and gives 0 for a bound that is not a number.
        let bound = (requests_per_second * cfg.overage + cfg.slack) as u32;
        let half = bound as usize / 2;
        let sharers = half.isqrt();
        let per_second = half.checked_div(sharers).unwrap_or(0);
        ColdShare { per_second, sharers, spare: sharers }
    }
}

/// The other gateways, as [`GatewayDirectory`](crate::GatewayDirectory) knows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownGateways {
    /// Names of the other gateways that are announced or have sent a message.
    pub others: Vec<Arc<str>>,
    /// Until when the list is certain to contain nearly all gateways, and theirs to contain this
    /// one; `None` while it is not certain.
    pub certain_until: Option<Millis>,
}

impl KnownGateways {
    /// True if the gateway `own` is one of the first `count` in rendezvous order for a key.
    pub fn is_among_first(&self, count: usize, key: &str, own: &str) -> bool {
        is_among_first(count, key, own, self.others.iter().map(|name| &**name))
    }

    /// Number of gateways including this one; `None` while it is not certain.
    ///
    /// ```
    /// use bulrushusher_forward::KnownGateways;
    /// use bulrushusher_time::Millis;
    /// let certain_until = Some(Millis(9));
    /// let known = KnownGateways { others: vec!["entry-2".into()], certain_until };
    /// assert_eq!(known.certain_count(Millis(8)), Some(2));
    /// assert_eq!(known.certain_count(Millis(9)), None);
    /// ```
    pub fn certain_count(&self, now: Millis) -> Option<usize> {
        self.certain_until.filter(|until| now < *until).map(|_| self.others.len() + 1)
    }
}
