//! Decisions for forwarded requests, independent of the protocol by which they arrived.
//!
//! A forwarded request has an opaque body and is sent to a runner unchanged. It is either a plain
//! call or a *generation*: text that a language model generates, answered as a stream of events. A
//! prefill runner computes the KV cache of the prompt, and a decode runner generates the tokens in
//! a *run*, which takes up some of its memory.
//!
//! This crate decides on a request's route and runner, on waiting or refusal, on the decode memory
//! to reserve, on retries after a failed attempt, and on what a process still accepts during
//! shutdown. Nothing here does I/O or reads a clock; callers pass in [`bulrushusher_time::Millis`]
//! and random draws.

mod accept_gate;
mod answer_origin;
mod arrivals;
mod attempt_plan;
mod back_pressure;
mod by_runner;
mod call_peers;
mod call_pool;
mod call_report;
mod call_stats;
mod caller_connection;
mod configuration_copy;
mod demand;
mod event_reader;
mod far_reports;
mod forecast;
mod gateway_directory;
mod health;
mod limit_share;
mod load;
mod long_gaps;
mod long_poll;
mod memory;
mod moves;
mod normal;
mod pace_meter;
mod pauses;
mod peer_state;
mod places;
mod prefill_ends;
mod prefill_patience;
mod prefill_site;
mod prefill_timing;
mod prompt_parts;
mod rate_limit;
mod relays;
mod rendezvous;
mod report;
mod request;
mod retry_after;
mod revision;
mod route;
mod routing_delta;
mod runner;
mod runner_changes;
mod runner_directory;
mod runner_selection;
mod runner_speeds;
mod runs;
mod sharing_need;
mod shutdown;
mod signals;
mod stage_pacing;
mod stages;
mod start_times;
mod stop_outcome;
mod stream_versions;
mod timing_model;
mod wait_queue;
mod water_filling;

pub use accept_gate::{AcceptGate, AcceptGateConfig, AcceptTurn};
pub use answer_origin::{AnswerHead, AnswerOrigin, ConnectionCalls, RunnerCall};
pub use arrivals::RequestArrivals;
pub use attempt_plan::{AttemptEnd, AttemptPlan, FinalAnswer, NextStep};
pub use back_pressure::{
    BackPressure, BackPressureConfig, BackPressureCounts, BackPressureError, BackPressureView,
    LimitReport,
};
pub use call_pool::{
    Admission, CallPool, CallPoolConfig, CallPoolLoad, CallTicket, CallToPlace, slots_of,
};
pub use call_report::{CallPoolReport, CallPoolUpdate, RunnerCalls};
pub use caller_connection::{CloseReason, ConnectionLimits, ConnectionState, LimitHistory};
pub use configuration_copy::{ConfigurationCopy, StoredConfiguration};
pub use demand::DemandMeter;
pub use event_reader::{CompleteEvents, EventReader, InvalidEvent};
pub use far_reports::FarReports;
pub use forecast::{ForecastConfig, LengthModel, MemoryForecast, MemoryNeed, RunShape};
pub use gateway_directory::{
    AnnouncementDiff, GatewayAnnouncement, GatewayDirectory, GatewayDirectoryConfig,
};
pub use health::{HealthConfig, RunCounts, RunnerHealth};
pub use load::{CallResult, LoadConfig, LoadEpoch, RunnerLoads};
pub use long_gaps::LongGaps;
pub use long_poll::{LongPollConfig, SeenRevisions};
pub use memory::{HoldConfig, tokens_to_hold};
pub use moves::{MoveConfig, pick_for_move};
pub use pace_meter::PaceMeter;
pub use pauses::PauseModel;
pub use places::{
    ColdChange, ColdLimitConfig, ColdLimiter, ColdShare, EvacuationChange, EvacuationDiff,
    EvacuationSet, EvacuationUpdate, Evacuations, KnownGateways, PlaceScope, PlaceView,
    RegionDistances, ResidencyScope, SendKind,
};
pub use prefill_ends::{PeerPrefills, PrefillEnds, PrefillEndsConfig, PrefillProgress};
pub use prefill_patience::{
    LatePrefill, OtherRunner, PatienceConfig, PatientPrefills, PrefillEvidence, PrefillPatience,
    SentPrefill,
};
pub use prefill_site::{DecodeLoad, PrefillSite, PrefillSiteConfig, PrefillTask};
pub use prefill_timing::PrefillTiming;
pub use prompt_parts::{MAX_PROMPT_PARTS, PartId, PromptParts, PromptPartsError};
pub use rate_limit::{RateLimit, RateLimitError};
pub use relays::{RelayPeer, RelayView, Relays, RelaysConfig, StoreContact, StoreRole};
pub use report::{GatewayDelta, GatewayReport, RunReport};
pub use request::{MAX_TOKENS, PromptSize, RequestId, tokens_in_events};
pub use retry_after::{RetryAfterConfig, TypicalPatience};
pub use revision::{era_of, number_in_era, revision_in_era};
pub use route::{
    CallerLimits, ColdSpec, EngineSpec, Route, RouteKind, RouteMatch, RoutingConfig, RoutingError,
    ServiceSpec, UnreadablePart, UnreadableRoute, WeightedService,
};
pub use routing_delta::RoutingDelta;
pub use runner::{Runner, SoftwareVersion, Stage, StartTime};
pub use runner_changes::{
    ChangeLog, DeltaPages, DeltaRequest, LogCoverage, PageOutcome, RunnerChange, RunnerDelta,
    RunnerRemoval,
};
pub use runner_directory::{DrainReport, RunnerDirectory, RunnerDirectoryConfig, RunnerListDiff};
pub use runner_selection::{
    CallSelection, PrefillQueue, PrefillSelection, SelectionContext, candidates_for_call,
    pick_for_call, pick_for_prefill, rank_for_decode,
};
pub use runner_speeds::{PoolChange, RunnerSpeeds, RunnerSpeedsConfig, SpeedReport};
pub use runs::{DeltaOutcome, PeersConfig, RunNumber, Runs};
pub use sharing_need::{PoolSize, SharingNeed, SharingNeedConfig};
pub use shutdown::{Shutdown, ShutdownConfig};
pub use signals::RunnerSignals;
pub use stage_pacing::StagePacing;
pub use stages::{OrderLease, OrderLeaseConfig, StageChange, StagesConfig, needed_stage_changes};
pub use start_times::{StartStatus, StartTimes};
pub use stop_outcome::StopOutcome;
pub use stream_versions::{
    ServiceVersion, StreamKey, StreamRecord, StreamShard, StreamVersions, VersionLedger,
};
pub use timing_model::{TimingConfig, TimingModel};
pub use wait_queue::{
    AccountCost, QueueOrder, QueueRank, WaitQueue, WaitQueueConfig, should_request_memory,
};

/// The most common types.
pub mod prelude {
    pub use crate::{
        AttemptEnd, AttemptPlan, NextStep, PromptSize, RequestId, Route, RouteKind, RoutingConfig,
        Runner, RunnerDirectory, RunnerLoads, Stage, WaitQueue,
    };
}
