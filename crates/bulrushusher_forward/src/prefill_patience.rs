//! Whether a prefill that is past its timeout is waited for.
//!
//! A prompt that is given up and sent to another runner is processed twice, which costs two prefill
//! runners' time just when they are busy. So a late prefill is waited for while its runner is known
//! to work, within what is left of the memory hold.

use bulrushusher_time::Millis;
use derive_more::Display;

use crate::{PrefillProgress, PrefillTiming};

/// Where late prefills are waited for.
///
/// ```
/// use bulrushusher_forward::PatientPrefills;
/// assert!(PatientPrefills::Auto.applies(true) && !PatientPrefills::Auto.applies(false));
/// assert!(PatientPrefills::On.applies(false) && !PatientPrefills::Off.applies(true));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum PatientPrefills {
    /// In pools of runners of unequal speed.
    #[default]
    Auto,
    /// Everywhere.
    On,
    /// Nowhere: a prefill is given up at its timeout.
    Off,
}

impl PatientPrefills {
    /// True if late prefills are waited for in a pool that is uneven or not.
    pub fn applies(self, is_uneven: bool) -> bool {
        match self {
            PatientPrefills::Auto => is_uneven,
            PatientPrefills::On => true,
            PatientPrefills::Off => false,
        }
    }
}

/// Limits of the wait for a late prefill.
#[derive(Clone, Copy, Debug)]
pub struct PatienceConfig {
    /// Time between two decisions.
    pub recheck: Millis,
    /// Wait after the timeout for a runner that answers requests but finishes no prefill.
    pub answering_wait: Millis,
    /// Wait for the response after a later prompt has ended at the runner.
    pub passed_grace: Millis,
}

impl Default for PatienceConfig {
    /// A decision costs some microseconds. Slow phases of runners last about 600 ms. The response to
    /// a prefill is a few hundred bytes, and takes less than 100 ms on the slowest links.
    fn default() -> PatienceConfig {
        PatienceConfig {
            recheck: Millis(40),
            answering_wait: Millis(600),
            passed_grace: Millis(100),
        }
    }
}

/// The runner that would prefill the prompt if it were given up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum OtherRunner {
    /// Another prefill runner, with the time within which it likely ends.
    #[display("prefill in {_0}")]
    Prefill(Millis),
    /// The decode runner that holds the memory, with the expected time.
    #[display("decode in {_0}")]
    Decode(Millis),
}

impl OtherRunner {
    /// Time until the prompt is prefilled there.
    fn prefill_time(self) -> Millis {
        match self {
            OtherRunner::Prefill(time) | OtherRunner::Decode(time) => time,
        }
    }

    /// Time for which the memory hold must last; a run at the decode runner uses it at once.
    fn hold_time(self) -> Millis {
        match self {
            OtherRunner::Prefill(time) => time,
            OtherRunner::Decode(_) => Millis(0),
        }
    }
}

/// The work at the runner when the prompt was sent, and the estimate for it.
#[derive(Clone, Copy, Debug)]
pub struct SentPrefill {
    /// Prompt tokens.
    pub tokens: u64,
    /// Prompt tokens queued ahead of it.
    pub queued: u64,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// Prefill times of an idle prefill runner.
    pub timing: PrefillTiming,
}

impl SentPrefill {
    /// Tokens ahead of the prompt that were processed since it was sent; other prompts are taken to
    /// be as long as this one.
    fn processed(&self, progress: &PrefillProgress) -> u64 {
        progress.ended.saturating_mul(self.tokens).min(self.queued)
    }

    /// Time until the prompt ends if the runner is as fast as usual from now on, in ms. The time
    /// since the last end was spent on the first of the prompts that are left.
    fn shortest_ms(&self, progress: &PrefillProgress) -> f64 {
        let left = self.queued - self.processed(progress) + self.tokens;
        let spent = progress.last_end_ago.unwrap_or(self.elapsed).min(self.elapsed);
        (self.timing.expected_ms(left as f64) - spent.0 as f64).max(0.0)
    }
}

/// A prefill past its timeout, and what is known of its runner.
#[derive(Clone, Copy, Debug)]
pub struct LatePrefill {
    /// `None` if the prompt has not been sent: the connection is not open yet.
    pub sent: Option<SentPrefill>,
    /// Time since the timeout.
    pub late_for: Millis,
    /// Other prefills that ended at the runner since the prompt was sent.
    pub progress: PrefillProgress,
    /// Time within which a single prompt ends at a runner that works.
    pub single_timeout: Millis,
    /// True if the runner has answered a request at about the timeout or later.
    pub has_answered: bool,
    /// Time until the memory hold must be used.
    pub hold_left: Millis,
    /// Time until the prompt must be prefilled for the first event to be in time.
    pub target_left: Millis,
    /// The runner that would prefill the prompt instead; `None` if there is none, or the retry
    /// budget does not allow it.
    pub other: Option<OtherRunner>,
}

/// What decides on a late prefill.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum PrefillEvidence {
    /// Nothing shows that the runner works.
    #[display("none")]
    None,
    /// Another prefill ended there.
    #[display("prefill_ended")]
    PrefillEnded,
    /// The runner answers requests.
    #[display("answers")]
    Answers,
    /// No other runner may prefill the prompt.
    #[display("no_other_runner")]
    NoOtherRunner,
    /// A prompt that was sent later ended there, so this one is done or lost.
    #[display("later_prefill_ended")]
    LaterPrefillEnded,
    /// The memory hold ends before this runner's end even at its usual speed, and another runner
    /// can still end in time; or the hold has ended.
    #[display("hold_ends")]
    HoldEnds,
    /// The target passes before this runner's end even at its usual speed, and another runner can
    /// still meet it.
    #[display("target_passes")]
    TargetPasses,
}

/// The decision on a late prefill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PrefillPatience {
    /// Wait, and decide again after this time.
    Wait(PrefillEvidence, Millis),
    /// Give the prefill up.
    GiveUp(PrefillEvidence),
}

impl LatePrefill {
    /// Decides whether the prefill is waited for.
    ///
    /// ```
    /// use bulrushusher_forward::{
    ///     LatePrefill, OtherRunner, PatienceConfig, PrefillEvidence, PrefillPatience,
    ///     PrefillProgress, PrefillTiming, SentPrefill,
    /// };
    /// use bulrushusher_time::Millis;
    /// let timing = PrefillTiming::new(0.02);
    /// let sent = SentPrefill { tokens: 5_000, queued: 5_000, elapsed: Millis(700), timing };
    /// let late = LatePrefill {
    ///     sent: Some(sent),
    ///     late_for: Millis(0),
    ///     progress: PrefillProgress { ended: 1, last_end_ago: Some(Millis(90)), passed_ago: None },
    ///     single_timeout: Millis(450),
    ///     has_answered: false,
    ///     hold_left: Millis(1_200),
    ///     target_left: Millis(100),
    ///     other: Some(OtherRunner::Prefill(Millis(150))),
    /// };
    /// let cfg = PatienceConfig::default();
    /// let waits = PrefillPatience::Wait(PrefillEvidence::PrefillEnded, cfg.recheck);
    /// assert_eq!(late.decide(cfg), waits);
    /// let silent = LatePrefill { progress: PrefillProgress::default(), ..late };
    /// assert_eq!(silent.decide(cfg), PrefillPatience::GiveUp(PrefillEvidence::None));
    /// assert!(late.runner_works(cfg) && !silent.runner_works(cfg));
    /// ```
    pub fn decide(&self, cfg: PatienceConfig) -> PrefillPatience {
        if self.hold_left == Millis(0) {
            return PrefillPatience::GiveUp(PrefillEvidence::HoldEnds);
        }
        let wait = |evidence, length: Millis| {
            PrefillPatience::Wait(evidence, length.min(self.hold_left).max(Millis(1)))
        };
        if let Some(ago) = self.progress.passed_ago {
            let evidence = PrefillEvidence::LaterPrefillEnded;
            return match cfg.passed_grace.since(ago) {
                Millis(0) => PrefillPatience::GiveUp(evidence),
                left => wait(evidence, left),
            };
        }
        let Some(other) = self.other else {
            return wait(PrefillEvidence::NoOtherRunner, cfg.recheck);
        };
        let evidence = self.evidence(cfg);
        let Some(sent) = self.sent.filter(|_| self.runner_works(cfg)) else {
            return PrefillPatience::GiveUp(PrefillEvidence::None);
        };
        let shortest_ms = sent.shortest_ms(&self.progress);
        if self.is_last_chance(other, cfg) && shortest_ms > self.hold_left.0 as f64 {
            return PrefillPatience::GiveUp(PrefillEvidence::HoldEnds);
        }
        let misses_target = shortest_ms > self.target_left.0 as f64;
        if misses_target && other.prefill_time() <= self.target_left {
            return PrefillPatience::GiveUp(PrefillEvidence::TargetPasses);
        }
        wait(evidence, cfg.recheck)
    }

    /// True if something shows that the runner works.
    pub fn runner_works(&self, cfg: PatienceConfig) -> bool {
        self.evidence(cfg) != PrefillEvidence::None
    }

    /// An end counts for as long as the next prompt in the queue may take.
    fn evidence(&self, cfg: PatienceConfig) -> PrefillEvidence {
        if self.progress.last_end_ago.is_some_and(|ago| ago < self.single_timeout) {
            PrefillEvidence::PrefillEnded
        } else if self.has_answered && self.late_for < cfg.answering_wait {
            PrefillEvidence::Answers
        } else {
            PrefillEvidence::None
        }
    }

    /// True if the other runner can still end within the hold, but no more at the next decision.
    fn is_last_chance(&self, other: OtherRunner, cfg: PatienceConfig) -> bool {
        let needs = other.hold_time();
        self.hold_left >= needs && self.hold_left.since(needs) <= cfg.recheck
    }
}
