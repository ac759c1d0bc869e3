//! The patterns of load that the router is judged by, and the grounds for their figures.

use bulrushusher_time::Millis;
use derive_more::Display;

use crate::{Burst, Fleet, Load};

/// A pattern of load.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Pattern {
    /// A steady wave at the usual rate: half of what the engines can bear.
    #[display("steady wave")]
    SteadyWave,
    /// A burst of everybody for five seconds, and on it one of a class: a month-end closing, when
    /// demand is four times the usual one for some seconds.
    #[display("double burst")]
    DoubleBurst,
    /// Four times the usual demand all the time: what memory is worth when there is never enough.
    #[display("overload")]
    Overload,
    /// Prompts twice as long: year-end briefs.
    #[display("long prompts")]
    LongPrompts,
    /// Answers twice as long, with prompts half as long.
    #[display("long answers")]
    LongAnswers,
    /// A decode engine lost in the middle of a double burst.
    #[display("engine lost")]
    EngineLost,
    /// A decode engine that fails half of its runs, with its health check good, at the usual rate
    /// and a half.
    #[display("grey engine")]
    GreyEngine,
    /// A decode engine that takes three times as long as the others, in a double burst.
    #[display("slow engine")]
    SlowEngine,
    /// A third of the refused callers come back at once in a double burst, whatever they are told.
    #[display("retry abuse")]
    RetryAbuse,
    /// A fifth of the callers leave within half of the target in a double burst.
    #[display("leaving callers")]
    LeavingCallers,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Pattern; 10] = [
        Pattern::SteadyWave,
        Pattern::DoubleBurst,
        Pattern::Overload,
        Pattern::LongPrompts,
        Pattern::LongAnswers,
        Pattern::EngineLost,
        Pattern::GreyEngine,
        Pattern::SlowEngine,
        Pattern::RetryAbuse,
        Pattern::LeavingCallers,
    ];

    /// The callers of the pattern.
    pub fn load(self) -> Load {
        let usual = Load::default();
        let bursts = double_burst();
        match self {
            Pattern::SteadyWave => usual,
            Pattern::GreyEngine => Load { per_second: usual.per_second * 1.5, ..usual },
            Pattern::DoubleBurst | Pattern::EngineLost | Pattern::SlowEngine => {
                Load { bursts, ..usual }
            }
            Pattern::Overload => Load { per_second: usual.per_second * 4.0, ..usual },
            Pattern::LongPrompts => Load { prompt: usual.prompt * 2.0, bursts, ..usual },
            Pattern::LongAnswers => {
                Load { prompt: usual.prompt * 0.5, output: usual.output * 2.0, bursts, ..usual }
            }
            Pattern::RetryAbuse => Load { impatient: 0.33, bursts, ..usual },
            Pattern::LeavingCallers => Load { leaving: 0.2, bursts, ..usual },
        }
    }

    /// The fleet with what the pattern does to it.
    pub fn fleet(self, fleet: Fleet) -> Fleet {
        match self {
            Pattern::EngineLost => Fleet { loses: Some(Millis(18_000)), ..fleet },
            Pattern::GreyEngine => Fleet { grey: 0.5, ..fleet },
            Pattern::SlowEngine => Fleet { slow: 3.0, ..fleet },
            _ => fleet,
        }
    }
}

/// Three bursts of everybody, the second with one of a class on it.
fn double_burst() -> Vec<Burst> {
    let burst = |at, length, times| Burst { at: Millis(at), length: Millis(length), times };
    vec![
        burst(6_000, 5_000, 1.8),
        burst(17_000, 4_000, 2.2),
        burst(17_500, 5_000, 1.9),
        burst(27_000, 4_000, 1.8),
    ]
}
