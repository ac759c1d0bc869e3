//! The simulated gateways and engines, and the policies of the gateways.

use bulrushusher_forward::{ForecastConfig, RetryAfterConfig, WaitQueueConfig};
use bulrushusher_time::Millis;

use crate::EngineSpec;

/// Gateways send reports at most every 8 ms. Sending one to all peers over a link of 10 Mbit/s and
/// decoding it there takes the remaining time.
const REPORT_LAG: Millis = Millis(15);

/// How decode memory is allocated to runs.
#[derive(Clone, Copy, Debug)]
pub enum Admission {
    /// Each run reserves its prompt and a multiple of the output tokens that its caller expects.
    Reserve {
        /// The multiple; a large number reserves the maximum output.
        times: f64,
    },
    /// Each run reserves its prompt, and a forecast over the runs of all gateways decides.
    Forecast(ForecastConfig),
}

/// Gateways, engines and faults of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    /// Number of gateways, over which callers are distributed.
    pub gateways: usize,
    /// Number of prefill engines.
    pub prefills: usize,
    /// Number of decode engines.
    pub decodes: usize,
    /// Speed and memory of the engines.
    pub engine: EngineSpec,
    /// How decode memory is allocated to runs.
    pub admission: Admission,
    /// Wait queue of each gateway.
    pub wait_queue: WaitQueueConfig,
    /// Delay after which refused callers retry.
    pub retry_after: RetryAfterConfig,
    /// Whether gateways report their runs to each other.
    pub peers_report: bool,
    /// Time until the other gateways have applied a gateway's report.
    pub report_lag: Millis,
    /// Time at which a decode engine crashes, if one does.
    pub engine_lost_at: Option<Millis>,
    /// Share of runs that fail at one decode engine, which keeps granting memory.
    pub failure_share: f64,
    /// Factor by which the steps of another decode engine take longer.
    pub slowdown: f64,
    /// Factor by which every fourth decode engine is faster.
    pub speedup: f64,
    /// Whether moves are decided with the learned generation rate of each engine instead of the mean.
    pub uses_paces: bool,
    /// Whether most reports are deltas, which omit the progress of runs, as between real gateways.
    pub sends_deltas: bool,
    /// Whether gateways avoid engines whose runs fail.
    pub avoids_failing: bool,
    /// Whether runs move to another engine before memory runs out.
    pub runs_move: bool,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            gateways: 5,
            prefills: 3,
            decodes: 9,
            engine: EngineSpec::default(),
            admission: Admission::Forecast(ForecastConfig::default()),
            wait_queue: WaitQueueConfig::default(),
            retry_after: RetryAfterConfig { delay: Millis(4_000), spread: 0.2 },
            peers_report: true,
            report_lag: REPORT_LAG,
            engine_lost_at: None,
            failure_share: 0.0,
            slowdown: 1.0,
            speedup: 1.0,
            uses_paces: false,
            sends_deltas: false,
            avoids_failing: true,
            runs_move: false,
        }
    }
}
