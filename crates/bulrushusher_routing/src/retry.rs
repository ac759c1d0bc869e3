//! A retry budget, so that retries do not add load to a pool that is failing.

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Retries earned by each first attempt, usually a fraction.
    pub per_request: f64,
    /// Maximum number of retries saved up.
    pub max_saved: f64,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig { per_request: 0.2, max_saved: 50.0 }
    }
}

impl RetryConfig {
    /// The share of each of `processes`, so that all together stay within the total budget when
    /// they spend their savings at once. Each may save up at least one retry if the total allows
    /// any; otherwise it could never retry.
    ///
    /// ```
    /// use bulrushusher_routing::RetryConfig;
    /// let total = RetryConfig { per_request: 0.2, max_saved: 54.0 };
    /// assert_eq!(total.split(27).max_saved, 2.0);
    /// assert_eq!(total.split(27).per_request, 0.2, "each earns by its own requests");
    /// ```
    #[must_use]
    pub fn split(self, processes: usize) -> RetryConfig {
        let share = self.max_saved / processes.max(1) as f64;
        RetryConfig { max_saved: share.max(self.max_saved.min(1.0)), ..self }
    }
}

/// The retries still allowed, as a token bucket filled by first attempts.
///
/// ```
/// use bulrushusher_routing::{RetryBudget, RetryConfig};
/// let mut budget = RetryBudget::new(RetryConfig { per_request: 0.5, max_saved: 1.0 });
/// assert!(budget.has_retry() && budget.take(), "a budget starts full");
/// assert!(!budget.has_retry() && !budget.take());
/// budget.earn();
/// budget.earn();
/// assert!(budget.take());
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    saved: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(cfg: RetryConfig) -> RetryBudget {
        RetryBudget { cfg, saved: cfg.max_saved }
    }

    /// Replaces the limits; savings above the new maximum are discarded.
    pub fn reconfigure(&mut self, cfg: RetryConfig) {
        self.cfg = cfg;
        self.saved = self.saved.min(cfg.max_saved);
    }

    /// Records a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.cfg.per_request).min(self.cfg.max_saved);
    }

    /// Retries saved up.
    pub fn saved(&self) -> f64 {
        self.saved
    }

    /// True if a retry is left.
    pub fn has_retry(&self) -> bool {
        self.saved >= 1.0
    }

    /// Takes one retry; returns false if none is left.
    pub fn take(&mut self) -> bool {
        if !self.has_retry() {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
