//! Model engines and gateways without any network, on which patterns of load are played.
//!
//! `engines` grows the memory of runs and reads prompts, `load` draws callers, `play` drives the
//! router's own decision types (waiting line, forecast, choice of reader, returns) over both in
//! steps of a few milliseconds. It measures what callers see, and is no substitute for the real
//! programs: transfers take no time, and messages between gateways take one step.

mod bound;
mod engines;
mod fleet;
mod limits;
mod load;
mod memory;
mod moving;
mod outcome;
mod patterns;
mod play;
mod plot;
mod quota_patterns;
mod quotas;
mod readers;

pub use bound::most_on_time;
pub use engines::{DecodeEngine, EngineFigures, PrefillEngine};
pub use fleet::{Admission, Fleet};
pub use limits::{LimitOutcome, LimitPattern, LimitSharing, play_limit};
pub use load::{Arrival, Burst, Load, arrivals};
pub use outcome::{DATA_CENTRES, Outcome};
pub use patterns::Pattern;
pub use play::play;
pub use plot::{Bar, draw};
pub use quota_patterns::QuotaPattern;
pub use quotas::{QuotaLoad, QuotaOutcome, QuotaTrouble, play_quota_troubles, play_quotas};
pub use readers::{ReadingLoad, ReadingOutcome, ReadingPolicy, ReadingShape, play_readings};
