//! Counts of what callers saw.

use std::ops::AddAssign;

/// Number of data centres; gateways are assigned to them round-robin.
pub const DATA_CENTRES: usize = 4;

/// Counts over one or more simulations.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// All callers.
    pub callers: usize,
    /// Callers whose first event and all gaps between events were within their targets.
    pub on_time: usize,
    /// Callers with a complete answer that missed a target.
    pub late: usize,
    /// Callers that were refused and never served.
    pub refused: usize,
    /// Refused callers whose retry was refused, too.
    pub refused_twice: usize,
    /// Callers whose run failed at an engine.
    pub failed: usize,
    /// Callers per data centre.
    pub callers_by_data_centre: [usize; DATA_CENTRES],
    /// Callers served on time per data centre.
    pub on_time_by_data_centre: [usize; DATA_CENTRES],
    /// Callers that disconnected before their run started.
    pub disconnected: usize,
    /// Preemptions of runs.
    pub preempted: usize,
    /// Moves of runs to another engine.
    pub moved: usize,
    /// Tokens of discarded prefill, and of prompts and output that a preemption discarded.
    pub wasted_tokens: f64,
    /// Callers with large prompts and answers, about a tenth of all.
    pub large: usize,
    /// Large callers that were served.
    pub large_served: usize,
    /// Sum of the share of decode memory in use, over the steps in which callers were queued.
    pub memory_share_sum: f64,
    /// Number of these steps.
    pub steps: usize,
}

impl Outcome {
    /// Share of callers served on time.
    pub fn goodput(&self) -> f64 {
        self.on_time as f64 / self.callers.max(1) as f64
    }

    /// Share of callers served.
    pub fn served(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.callers.max(1) as f64
    }

    /// Lowest goodput of a data centre.
    pub fn min_goodput_by_data_centre(&self) -> f64 {
        let centres = self.on_time_by_data_centre.iter().zip(self.callers_by_data_centre);
        let shares =
            centres.filter(|(_, all)| *all > 0).map(|(on_time, all)| *on_time as f64 / all as f64);
        shares.fold(1.0, f64::min)
    }

    /// Share of large callers that were served.
    pub fn large_served_share(&self) -> f64 {
        self.large_served as f64 / self.large.max(1) as f64
    }

    /// Mean share of decode memory in use while callers were queued.
    pub fn memory_use(&self) -> f64 {
        self.memory_share_sum / self.steps.max(1) as f64
    }
}

impl AddAssign for Outcome {
    fn add_assign(&mut self, other: Outcome) {
        self.callers += other.callers;
        self.on_time += other.on_time;
        self.late += other.late;
        self.refused += other.refused;
        self.refused_twice += other.refused_twice;
        self.failed += other.failed;
        for centre in 0..DATA_CENTRES {
            self.callers_by_data_centre[centre] += other.callers_by_data_centre[centre];
            self.on_time_by_data_centre[centre] += other.on_time_by_data_centre[centre];
        }
        self.disconnected += other.disconnected;
        self.preempted += other.preempted;
        self.moved += other.moved;
        self.wasted_tokens += other.wasted_tokens;
        self.large += other.large;
        self.large_served += other.large_served;
        self.memory_share_sum += other.memory_share_sum;
        self.steps += other.steps;
    }
}
