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
