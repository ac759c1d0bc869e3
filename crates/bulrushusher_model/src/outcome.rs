//! What callers saw.

use std::ops::AddAssign;

/// Data centres that gateways stand in, in turn.
pub const DATA_CENTRES: usize = 4;

/// Counts of one or more plays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outcome {
    /// Callers.
    pub callers: usize,
    /// First event within the target and no pause beyond its target.
    pub on_time: usize,
    /// Whole, but late.
    pub late: usize,
    /// Refused, and never served.
    pub refused: usize,
    /// Of these, refused when they came back.
    pub refused_twice: usize,
    /// Failed by an engine.
    pub failed: usize,
    /// Callers of each data centre.
    pub callers_by_centre: [usize; DATA_CENTRES],
    /// Of these, served on time.
    pub on_time_by_centre: [usize; DATA_CENTRES],
    /// Left before they were served.
    pub left: usize,
    /// Runs that were preempted.
    pub preempted: usize,
    /// Runs that moved to another engine.
    pub moved: usize,
    /// Prompt tokens read that served nobody, or were read again.
    pub wasted_tokens: f64,
    /// Callers with the largest tenth of prompts and answers.
    pub large: usize,
    /// Of these, served.
    pub large_served: usize,
    /// Sum over steps of the share of decode memory in use, and the number of steps.
    pub memory_share: f64,
    /// Steps counted in it.
    pub steps: usize,
}

impl Outcome {
    /// Share of the callers that were served on time.
    pub fn goodput(&self) -> f64 {
        self.on_time as f64 / self.callers.max(1) as f64
    }

    /// Share of the callers that were served.
    pub fn served(&self) -> f64 {
        (self.on_time + self.late) as f64 / self.callers.max(1) as f64
    }

    /// Lowest share served on time in a data centre.
    pub fn lowest_goodput_of_a_centre(&self) -> f64 {
        let centres = self.on_time_by_centre.iter().zip(self.callers_by_centre);
        let shares =
            centres.filter(|(_, all)| *all > 0).map(|(on_time, all)| *on_time as f64 / all as f64);
        shares.fold(1.0, f64::min)
    }

    /// Share of the largest callers that were served.
    pub fn large_served_share(&self) -> f64 {
        self.large_served as f64 / self.large.max(1) as f64
    }

    /// Mean share of decode memory in use.
    pub fn memory_use(&self) -> f64 {
        self.memory_share / self.steps.max(1) as f64
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
            self.callers_by_centre[centre] += other.callers_by_centre[centre];
            self.on_time_by_centre[centre] += other.on_time_by_centre[centre];
        }
        self.left += other.left;
        self.preempted += other.preempted;
        self.moved += other.moved;
        self.wasted_tokens += other.wasted_tokens;
        self.large += other.large;
        self.large_served += other.large_served;
        self.memory_share += other.memory_share;
        self.steps += other.steps;
    }
}
