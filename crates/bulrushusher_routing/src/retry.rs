//! A retry budget, so that retries do not add load to a pool that is failing.

use std::collections::VecDeque;

use bulrushusher_time::Millis;

/// Parts of a window in which requests and retries are counted.
const BUCKETS: u64 = 20;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryConfig {
    /// Retries allowed for each request, usually a fraction.
    pub per_request: f64,
    /// Retries allowed beyond that in any window.
    pub burst: f64,
    /// Length of the window.
    pub window: Millis,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig { per_request: 0.2, burst: 50.0, window: Millis(10_000) }
    }
}

impl RetryConfig {
    /// The share of one of `processes` in half of the burst, which may be less than one retry. The
    /// other half covers processes that see another number of processes for a time. Without a
    /// certain number there is no burst.
    ///
    /// ```
    /// use bulrushusher_routing::RetryConfig;
    /// let total = RetryConfig { burst: 54.0, ..RetryConfig::default() };
    /// assert_eq!(total.share(Some(27)).burst, 1.0);
    /// assert_eq!(total.share(None).burst, 0.0);
    /// assert_eq!(total.share(Some(27)).per_request, 0.2, "each earns by its own requests");
    /// ```
    #[must_use]
    pub fn share(self, processes: Option<usize>) -> RetryConfig {
        let burst = processes.map_or(0.0, |it| self.burst / (2 * it.max(1)) as f64);
        RetryConfig { burst, ..self }
    }

    fn bucket_at(&self, at: Millis) -> u64 {
        at.0 / (self.window.0 / BUCKETS).max(1)
    }
}

/// What was counted within one part of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    requests: u32,
    retries: u32,
}

/// The retries of one process that are still allowed.
///
/// In any window, retries are at most `per_request` times the mean number of requests in that window
/// and in the one before it, plus the burst. The counts of all processes may therefore be added up:
/// together they stay within the same limit. A process has its burst only once it has run for a whole
/// window, as its previous start may have spent the same burst within the window.
///
/// ```
/// use bulrushusher_routing::{RetryBudget, RetryConfig};
/// use bulrushusher_time::Millis;
/// let cfg = RetryConfig { per_request: 0.5, burst: 1.0, window: Millis(1_000) };
/// let mut budget = RetryBudget::new(cfg, Millis(0));
/// assert!(!budget.take(), "a previous start may have spent the burst");
/// budget.advance(Millis(1_000));
/// assert!(budget.has_retry() && budget.take());
/// assert!(!budget.has_retry() && !budget.take());
/// for _ in 0..4 {
///     budget.earn();
/// }
/// assert!(budget.take() && !budget.take());
/// budget.advance(Millis(5_000));
/// assert!(budget.take(), "the former retries are out of the window");
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    started_at: Millis,
    now: Millis,
    reserved: u32,
    /// Two windows up to now, the newest last.
    buckets: VecDeque<Bucket>,
}

impl RetryBudget {
    /// The budget of a process that starts at `now`.
    pub fn new(cfg: RetryConfig, now: Millis) -> RetryBudget {
        let buckets = VecDeque::from([Bucket::default()]);
        RetryBudget { cfg, started_at: now, now, reserved: 0, buckets }
    }

    /// Replaces the limits. A window of another length discards what was counted, and the burst with
    /// it for the length of the new window.
    pub fn reconfigure(&mut self, cfg: RetryConfig) {
        if self.cfg.window != cfg.window {
            let reserved = self.reserved;
            *self = RetryBudget { reserved, ..RetryBudget::new(cfg, self.now) };
        }
        self.cfg = cfg;
    }

    /// Sets the current time. An earlier time than before changes nothing.
    pub fn advance(&mut self, now: Millis) {
        let passed = self.cfg.bucket_at(now).saturating_sub(self.cfg.bucket_at(self.now));
        self.now = self.now.max(now);
        for _ in 0..passed.min(2 * BUCKETS) {
            self.buckets.push_back(Bucket::default());
        }
        let excess = self.buckets.len().saturating_sub(2 * BUCKETS as usize);
        self.buckets.drain(..excess);
    }

    /// Records a request.
    pub fn earn(&mut self) {
        if let Some(newest) = self.buckets.back_mut() {
            newest.requests = newest.requests.saturating_add(1);
        }
    }

    /// The burst that the process has now.
    pub fn burst(&self) -> f64 {
        match self.now.since(self.started_at) >= self.cfg.window {
            true => self.cfg.burst,
            false => 0.0,
        }
    }

    /// Retries within the window that ends now.
    pub fn spent(&self) -> u32 {
        self.buckets.iter().rev().take(BUCKETS as usize + 1).map(|it| it.retries).sum()
    }

    /// True if a retry is left beyond those that are reserved.
    pub fn has_retry(&self) -> bool {
        // A retry is in each window that ends from now until a window from now, and must fit into
        // all of them. `newest_*` sum over the buckets that are still in such a window.
        let burst = self.burst();
        let mut newest_retries = 0;
        let mut newest_requests: u32 =
            self.buckets.iter().rev().take(BUCKETS as usize - 1).map(|it| it.requests).sum();
        let counted = |nth: usize| {
            let nth = self.buckets.len().checked_sub(nth + 1);
            nth.and_then(|nth| self.buckets.get(nth)).copied().unwrap_or_default()
        };
        (0..=BUCKETS as usize).all(|nth| {
            newest_retries += counted(nth).retries;
            newest_requests += counted(nth + BUCKETS as usize - 1).requests;
            let allowed = self.cfg.per_request * f64::from(newest_requests) / 2.0 + burst;
            f64::from(newest_retries) + f64::from(self.reserved) + 1.0 <= allowed
        })
    }

    /// Reserves one retry until it is released; returns false if none is left. To spend it, release
    /// and take it: requests may have left the window in the meantime.
    ///
    /// ```
    /// use bulrushusher_routing::{RetryBudget, RetryConfig};
    /// use bulrushusher_time::Millis;
    /// let cfg = RetryConfig { burst: 1.0, ..RetryConfig::default() };
    /// let mut budget = RetryBudget::new(cfg, Millis(0));
    /// budget.advance(cfg.window);
    /// assert!(budget.reserve() && !budget.take());
    /// budget.release();
    /// assert!(budget.take());
    /// ```
    pub fn reserve(&mut self) -> bool {
        let has_retry = self.has_retry();
        self.reserved += u32::from(has_retry);
        has_retry
    }

    /// Releases one reserved retry.
    pub fn release(&mut self) {
        self.reserved = self.reserved.saturating_sub(1);
    }

    /// Takes one retry; returns false if none is left.
    pub fn take(&mut self) -> bool {
        let has_retry = self.has_retry();
        if let (true, Some(newest)) = (has_retry, self.buckets.back_mut()) {
            newest.retries += 1;
        }
        has_retry
    }
}
