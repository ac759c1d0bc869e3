//! A discrete-time simulation of engines and gateways without a network.
//!
//! `engines` models prefill and the memory growth of runs, `load` generates callers, and
//! `simulation` drives the router's own decision types (wait queue, memory forecast, choice of the
//! prefill runner, retry delays) over both in steps of a few milliseconds. It measures what callers
//! see. It does not replace tests of the real programs: transfers take no time, and a report
//! between gateways arrives after a fixed delay.

mod bound;
mod engines;
mod fleet;
mod limits;
mod load;
mod memory;
mod outcome;
mod patterns;
mod plot;
mod prefill_site;
mod quota_patterns;
mod quotas;
mod run_moves;
mod simulation;

pub use bound::max_on_time;
pub use engines::{DecodeEngine, EngineSpec, PrefillEngine};
pub use fleet::{Admission, Fleet};
pub use limits::{LimitOutcome, LimitPattern, LimitSharing, simulate_limit};
pub use load::{Arrival, Burst, Load, generate_arrivals};
pub use outcome::{DATA_CENTRES, Outcome};
pub use patterns::Pattern;
pub use plot::{Bar, draw_bars};
pub use prefill_site::{
    PrefillLoad, PrefillOutcome, PrefillPolicy, PrefillShape, simulate_prefill_site,
};
pub use quota_patterns::QuotaPattern;
pub use quotas::{QuotaFault, QuotaLoad, QuotaOutcome, simulate_quota_faults, simulate_quotas};
pub use simulation::simulate;
