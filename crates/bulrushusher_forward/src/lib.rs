//! Decisions for forwarded requests, whatever protocol they came by.
//!
//! A forwarded request has an opaque body and goes to a runner unchanged. This crate decides which
//! route and runner it takes, whether it waits or is refused, how much decode memory is held for
//! it, what may follow a failed attempt, and what a stopping process still accepts. Nothing here
//! does I/O or reads a clock; callers hand in [`bulrushusher_time::Millis`] and random draws.

mod back_pressure;
mod choose;
mod events;
mod forecast;
mod gateways;
mod health;
mod heard;
mod limit_share;
mod load;
mod members;
mod memory;
mod moves;
mod news;
mod normal;
mod pace;
mod pauses;
mod rate_limit;
mod read_pace;
mod reading;
mod relays;
mod rendezvous;
mod repeat;
mod report;
mod request;
mod returns;
mod revision;
mod route;
mod routing_delta;
mod runner;
mod runner_changes;
mod runs;
mod shutdown;
mod signals;
mod stages;
mod starts;
mod told;
mod waiting;

pub use back_pressure::{
    BackPressure, BackPressureConfig, BackPressureCounts, BackPressureError, BackPressureView,
    LimitReport,
};
pub use choose::{
    PlainSelection, SelectionContext, pick_for_call, pick_for_prefill, rank_for_decode,
};
pub use events::{CompleteEvents, EventSplitter};
pub use forecast::{ForecastConfig, LengthModel, MemoryForecast, MemoryNeed, RunShape};
pub use gateways::{Announced, Gateways, GatewaysConfig, ListedGateways};
pub use health::{HealthConfig, RunCounts, RunnerHealth};
pub use load::{CallResult, LoadConfig, LoadEpoch, RunnerLoads};
pub use members::{DrainReport, ListNews, Members, MembersConfig};
pub use memory::{HoldConfig, tokens_to_hold};
pub use moves::{MoveConfig, pick_for_move};
pub use news::{NewsConfig, NewsSeen};
pub use pace::{TimingConfig, TimingModel};
pub use pauses::PauseModel;
pub use rate_limit::{RateLimit, RateLimitError};
pub use read_pace::PrefillTiming;
pub use reading::{DecodeLoad, PrefillSite, PrefillSiteConfig, PrefillTask};
pub use relays::{RelayPeer, RelayView, Relays, RelaysConfig, StoreContact, StoreRole};
pub use repeat::{AttemptEnd, AttemptPlan, FinalAnswer, NextStep};
pub use report::{GatewayChanges, GatewayReport, RunNote};
pub use request::{PromptSize, RequestId};
pub use returns::{RetryAfterConfig, TypicalPatience};
pub use revision::{era_of, number_of, revision_in_era};
pub use route::{
    CallerLimits, EngineSpec, Route, RouteKind, RoutingConfig, RoutingError, ServiceSpec,
    WeightedService,
};
pub use routing_delta::RoutingDelta;
pub use runner::{Born, Runner, Stage};
pub use runner_changes::{
    ChangeLog, DeltaNews, DeltaPages, DeltaRequest, RunnerChange, RunnerDelta,
};
pub use runs::{ChangesNews, PeersConfig, RunNumber, Runs};
pub use shutdown::{Shutdown, ShutdownConfig};
pub use signals::RunnerSignals;
pub use stages::{OrderLease, OrderLeaseConfig, StageChange, StagesConfig, next_stage_change};
pub use starts::{StartNews, Starts};
pub use waiting::{
    AccountCost, QueueOrder, QueueRank, WaitQueue, WaitQueueConfig, should_request_memory,
};

/// The common types in one `use`.
pub mod prelude {
    pub use crate::{
        AttemptEnd, AttemptPlan, Members, NextStep, PromptSize, RequestId, Route, RouteKind,
        RoutingConfig, Runner, RunnerLoads, Stage, WaitQueue,
    };
}
