//! Limits per client account.

use std::collections::HashMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{ClientAccount, ClientAccountName};
use derive_more::{Display, Error};

/// How the limits of an account are split.
#[derive(Clone, Copy, Debug)]
pub struct LimitsConfig {
    /// Accounts tracked at once; the longest unused go first.
    pub max_accounts: usize,
    /// Entries that callers are spread over; each grants its share of an account's rate.
    pub entries: u32,
}

impl Default for LimitsConfig {
    fn default() -> LimitsConfig {
        LimitsConfig { max_accounts: 20_000, entries: 1 }
    }
}

/// The account has used up its rate.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("client account {account} is over its limit; come back after {retry_after}")]
pub struct OverLimit {
    /// The account.
    pub account: ClientAccountName,
    /// When one request will be allowed again.
    pub retry_after: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    tokens: f64,
    filled: Millis,
}

/// A token bucket per account, refilled at this entry's share of the account's rate.
///
/// ```
/// use bulrushusher_routing::{AccountLimits, LimitsConfig};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::{ClientAccount, RawClientAccount};
/// let raw = RawClientAccount { name: "s".into(), requests_per_second: 2.0, burst: 1 };
/// let account = ClientAccount::try_from(raw).unwrap();
/// let mut limits = AccountLimits::new(LimitsConfig::default());
/// assert!(limits.admit(&account, Millis(0)).is_ok());
/// assert_eq!(limits.admit(&account, Millis(100)).unwrap_err().retry_after, Millis(400));
/// assert!(limits.admit(&account, Millis(500)).is_ok());
/// ```
#[derive(Debug)]
pub struct AccountLimits {
    cfg: LimitsConfig,
    buckets: HashMap<ClientAccountName, Bucket>,
}

impl AccountLimits {
    /// No account has used anything yet.
    pub fn new(cfg: LimitsConfig) -> AccountLimits {
        AccountLimits { cfg, buckets: HashMap::new() }
    }

    /// Counts one request of `account`.
    ///
    /// # Errors
    /// [`OverLimit`] with the time to come back; the request is not counted then.
    pub fn admit(&mut self, account: &ClientAccount, now: Millis) -> Result<(), OverLimit> {
        let share = 1.0 / f64::from(self.cfg.entries.max(1));
        let rate = account.requests_per_second * share / 1000.0;
        let burst = (account.burst as f64 * share).max(1.0);
        self.make_room(&account.name);
        let full = Bucket { tokens: burst, filled: now };
        let bucket = self.buckets.entry(account.name.clone()).or_insert(full);
        let refill = now.since(bucket.filled).0 as f64 * rate;
        bucket.tokens = (bucket.tokens + refill).min(burst);
        bucket.filled = now;
        if bucket.tokens >= 1.0 {
            bucket.tokens -= 1.0;
            return Ok(());
        }
        let retry_after = Millis(((1.0 - bucket.tokens) / rate).ceil() as u64);
        Err(OverLimit { account: account.name.clone(), retry_after })
    }

    /// Accounts tracked now.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// True when no account is tracked.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn make_room(&mut self, name: &ClientAccountName) {
        if self.buckets.len() < self.cfg.max_accounts || self.buckets.contains_key(name) {
            return;
        }
        let oldest = self.buckets.iter().min_by_key(|(_, bucket)| bucket.filled);
        if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
            self.buckets.remove(&oldest);
        }
    }
}
