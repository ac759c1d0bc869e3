//! Distribution of calls over runners such that their expected response times become equal.

/// Load of one runner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RunnerLevel {
    /// Calls in flight, over all gateways.
    pub in_flight: f64,
    /// Number of calls that the runner processes concurrently.
    pub slots: f64,
    /// Mean service time in ms.
    pub service_ms: f64,
    /// Factor of the cost; below 1 for preferred runners.
    pub cost_factor: f64,
}

/// Weight of the slots in use while some are free. It spreads calls over equally fast runners
/// before any of them has a queue.
const FREE_SLOT_WEIGHT: f64 = 0.5;

/// Bisection steps; 30 halvings leave an error far below one call.
const STEPS: usize = 30;

impl RunnerLevel {
    /// Expected response time of one more call, in ms.
    pub(crate) fn expected_ms(&self) -> f64 {
        self.service_ms * ((self.in_flight + 1.0) / self.slots).max(1.0)
    }

    /// Cost of one more call while `in_flight` are in flight; increases with `in_flight`.
    fn cost(&self, in_flight: f64) -> f64 {
        let used = (in_flight + 1.0) / self.slots;
        self.cost_factor * self.service_ms * (used.max(1.0) + FREE_SLOT_WEIGHT * used.min(1.0))
    }

    /// Calls to add until the cost reaches `cost`.
    fn calls_up_to(&self, cost: f64) -> f64 {
        let relative = cost / (self.cost_factor * self.service_ms);
        let full = 1.0 + FREE_SLOT_WEIGHT;
        let used = if relative >= full {
            relative - FREE_SLOT_WEIGHT
        } else {
            (relative - 1.0).max(0.0) / FREE_SLOT_WEIGHT
        };
        (used * self.slots - 1.0 - self.in_flight).max(0.0)
    }
}

/// Distributes `calls` over the runners such that their costs become equal, and picks a runner at
/// random by its share of them; `draw` is in `0.0..1.0`. `None` only without runners.
pub(crate) fn pick_by_share(levels: &[RunnerLevel], calls: f64, draw: f64) -> Option<usize> {
    let shares = shares(levels, calls.max(1.0));
    let mut left = draw * shares.iter().sum::<f64>();
    for (at, share) in shares.iter().enumerate() {
        left -= share;
        if left < 0.0 {
            return Some(at);
        }
    }
    shares.iter().rposition(|share| *share > 0.0)
}

/// Number of calls for each runner.
fn shares(levels: &[RunnerLevel], calls: f64) -> Vec<f64> {
    let mut low = 0.0;
    let mut high =
        levels.iter().map(|level| level.cost(level.in_flight + calls)).fold(0.0, f64::max);
    for _ in 0..STEPS {
        let middle = f64::midpoint(low, high);
        let fitting: f64 = levels.iter().map(|level| level.calls_up_to(middle)).sum();
        if fitting < calls {
            low = middle;
        } else {
            high = middle;
        }
    }
    levels.iter().map(|level| level.calls_up_to(high)).collect()
}
