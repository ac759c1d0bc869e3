//! A budget for retries, so that a failing pool is not loaded further by repeats.

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug)]
pub struct RetryConfig {
    /// Retries earned by each first attempt.
    pub per_request: f64,
    /// Retries that may be saved up.
    pub max_saved: f64,
}

impl Default for RetryConfig {
    fn default() -> RetryConfig {
        RetryConfig { per_request: 0.2, max_saved: 50.0 }
    }
}

impl RetryConfig {
    /// What each of `sharers` processes may save up, so that they stay within the whole when all
    /// spend it at once. Each may save up one repeat at least, if the whole allows any, or it could
    /// never make one.
    ///
    /// ```
    /// use bulrushusher_routing::RetryConfig;
    /// let whole = RetryConfig { per_request: 0.2, max_saved: 54.0 };
    /// assert_eq!(whole.split(27).max_saved, 2.0);
    /// assert_eq!(whole.split(27).per_request, 0.2, "each earns by its own requests");
    /// ```
    #[must_use]
    pub fn split(self, sharers: usize) -> RetryConfig {
        let part = self.max_saved / sharers.max(1) as f64;
        RetryConfig { max_saved: part.max(self.max_saved.min(1.0)), ..self }
    }
}

/// Retries that may still be made.
///
/// ```
/// use bulrushusher_routing::{RetryBudget, RetryConfig};
/// let mut budget = RetryBudget::new(RetryConfig { per_request: 0.5, max_saved: 1.0 });
/// assert!(budget.take(), "a budget starts full");
/// assert!(!budget.take());
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

    /// Takes other bounds; what was saved beyond them is lost.
    pub fn reconfigure(&mut self, cfg: RetryConfig) {
        self.cfg = cfg;
        self.saved = self.saved.min(cfg.max_saved);
    }

    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.cfg.per_request).min(self.cfg.max_saved);
    }

    /// Takes one retry; false when none is left.
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
