//! The retry budget of each service, as a share of the one for all gateways.

use bulrushusher_routing::RetryBudget;
use bulrushusher_world::ServiceName;

use super::SharedState;

impl SharedState {
    /// Credits the retry budget of the service for a new request.
    pub(crate) fn earn_retry(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// True if the retry budget allows another attempt.
    pub(crate) fn has_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, |budget| budget.has_retry())
    }

    /// Reserves retries; returns false and reserves none if fewer are left.
    pub(crate) fn reserve_retries(&self, service: &ServiceName, count: u32) -> bool {
        count == 0
            || self.with_budget(service, |budget| {
                let reserved = (0..count).take_while(|_| budget.reserve()).count() as u32;
                if reserved < count {
                    (0..reserved).for_each(|_| budget.release());
                }
                reserved == count
            })
    }

    /// Releases reserved retries.
    pub(crate) fn release_retries(&self, service: &ServiceName, count: u32) {
        if count > 0 {
            self.with_budget(service, |budget| (0..count).for_each(|_| budget.release()));
        }
    }

    /// Spends one retry, which may be reserved. Returns false if the budget does not allow it.
    pub(crate) fn spend_retry(&self, service: &ServiceName, is_reserved: bool) -> bool {
        self.with_budget(service, |budget| {
            if is_reserved {
                budget.release();
            }
            budget.take()
        })
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let now = self.now();
        let sharers = self.known_gateways.lock().certain_count(now);
        let cfg = self.cfg.load().retries.share(sharers);
        let mut budgets = self.retry_budgets.lock();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(cfg, self.started_at));
        budget.reconfigure(cfg);
        budget.advance(now);
        let before = budget.spent();
        let result = f(budget);
        if budget.spent() > before {
            log::info!(
                "retries: taken service={service} spent={} share={:.2} sharers={} up_ms={}",
                budget.spent(),
                budget.burst(),
                sharers.map_or("unknown".to_owned(), |it| it.to_string()),
                now.since(self.started_at).0,
            );
        }
        result
    }
}
