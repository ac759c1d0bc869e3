//! Gateways and engines that a load is played on.

use bulrushusher_forward::{ForecastConfig, RetryAfterConfig, WaitQueueConfig};
use bulrushusher_time::Millis;

use crate::EngineFigures;

/// Reports go out eight milliseconds apart at the most, and take some more to be sent to all peers
/// over a link of 10 Mbit/s and to be read there.
const REPORT_LAG: Millis = Millis(15);

/// How memory is given to runs.
#[derive(Clone, Copy, Debug)]
pub enum Admission {
    /// Each run holds its prompt and that many times the tokens that its caller expects.
    Hold {
        /// How many times; a large number holds the most.
        times: f64,
    },
    /// Each run holds its prompt, and a forecast of all gateways' runs decides.
    Forecast(ForecastConfig),
}

/// Gateways and engines.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Gateways that callers are spread over.
    pub gateways: usize,
    /// Prefill engines.
    pub prefills: usize,
    /// Decode engines.
    pub decodes: usize,
    /// What engines can do.
    pub figures: EngineFigures,
    /// How memory is given to runs.
    pub admission: Admission,
    /// How long callers wait.
    pub waiting: WaitQueueConfig,
    /// When refused callers come back.
    pub returns: RetryAfterConfig,
    /// True when gateways tell each other their runs.
    pub peers_speak: bool,
    /// Time until a gateway's report has been taken in by the others.
    pub report_lag: Millis,
    /// A decode engine that is lost, and when.
    pub loses: Option<Millis>,
    /// Share of its runs that one decode engine fails, while it grants memory as always.
    pub grey: f64,
    /// How many times as long as the others another decode engine takes.
    pub slow: f64,
    /// True when gateways pass over engines that fail their runs.
    pub heeds_failures: bool,
    /// True when runs move to another engine before memory runs out.
    pub runs_move: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 5,
            prefills: 3,
            decodes: 9,
            figures: EngineFigures::default(),
            admission: Admission::Forecast(ForecastConfig::default()),
            waiting: WaitQueueConfig::default(),
            returns: RetryAfterConfig { delay: Millis(4_000), spread: 0.2 },
            peers_speak: true,
            report_lag: REPORT_LAG,
            loses: None,
            grey: 0.0,
            slow: 1.0,
            heeds_failures: true,
            runs_move: false,
        }
    }
}
