//! The load patterns and faults that the router is evaluated with, and the reasons for their
//! values.

use bulrushusher_time::Millis;
use derive_more::Display;

use crate::{Burst, Fleet, Load};

/// A load pattern, with a fault where its description says so.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Pattern {
    /// A sine wave around the usual rate, at half of the engines' capacity.
    #[display("steady wave")]
    SteadyWave,
    /// A burst of all callers for five seconds, overlapped by a burst of one class: at a month-end
    /// closing, demand is four times the usual one for some seconds.
    #[display("double burst")]
    DoubleBurst,
    /// Four times the usual rate throughout, so that decode memory is always scarce.
    #[display("overload")]
    Overload,
    /// A double burst with prompts twice as long, as in year-end briefs.
    #[display("long prompts")]
    LongPrompts,
    /// A double burst with answers twice as long and prompts half as long.
    #[display("long answers")]
    LongAnswers,
    /// A decode engine crashes in the middle of a double burst.
    #[display("engine lost")]
    EngineLost,
    /// A decode engine fails half of its runs while its health check passes, at 1.5 times the usual
    /// rate.
    #[display("grey engine")]
    GreyEngine,
    /// The steps of a decode engine take three times as long, in a double burst.
    #[display("slow engine")]
    SlowEngine,
    /// A third of the callers retry immediately after a refusal and ignore `Retry-After`, in a
    /// double burst.
    #[display("retry abuse")]
    RetryAbuse,
    /// A fifth of the callers disconnect after half of the target, in a double burst.
    #[display("leaving callers")]
    DisconnectingCallers,
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
        Pattern::DisconnectingCallers,
    ];

    /// The load of the pattern.
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
            Pattern::DisconnectingCallers => Load { disconnecting: 0.2, bursts, ..usual },
        }
    }

    /// `fleet` with the fault of the pattern.
    pub fn fleet(self, fleet: Fleet) -> Fleet {
        match self {
            Pattern::EngineLost => Fleet { engine_lost_at: Some(Millis(18_000)), ..fleet },
            Pattern::GreyEngine => Fleet { failure_share: 0.5, ..fleet },
            Pattern::SlowEngine => Fleet { slowdown: 3.0, ..fleet },
            _ => fleet,
        }
    }
}

/// Three bursts of all callers; a burst of one class overlaps the second.
fn double_burst() -> Vec<Burst> {
    let burst = |at, length, times| Burst { at: Millis(at), length: Millis(length), times };
    vec![
        burst(6_000, 5_000, 1.8),
        burst(17_000, 4_000, 2.2),
        burst(17_500, 5_000, 1.9),
        burst(27_000, 4_000, 1.8),
    ]
}
