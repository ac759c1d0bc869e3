//! Messages of the engine's protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Request to compute the KV cache of a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// Unique ID of this run.
    pub run: String,
    /// The request key under which the run is counted.
    pub key: String,
    /// The prompt.
    pub prompt: String,
    /// Scheduling priority; lower values run first.
    pub priority: u64,
}

/// Event of a prefill stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum PrefillEvent {
    /// Keep-alive while the prefill is queued or running, or its result is held.
    Beat,
    /// The KV cache is computed and held by this engine for a limited time.
    Done {
        /// Handle of the KV cache.
        kv: u64,
        /// Prompt tokens.
        tokens: usize,
        /// Prompt tokens found in the prefix cache.
        cached: usize,
        /// Size of the KV cache, in bytes.
        bytes: u64,
    },
    /// The KV cache was exported; the stream ends.
    Exported,
    /// The KV cache was evicted before its export; the stream ends.
    Evicted,
}

/// Location of a KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// Address of the engine that holds it.
    pub engine: SocketAddr,
    /// Its handle on that engine.
    pub kv: u64,
}

/// Request to export a KV cache.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ExportRequest {
    /// Handle of the KV cache.
    pub kv: u64,
}

/// An exported KV cache. The stand-in transfers only the data that it needs to decode.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ExportResponse {
    /// The prompt's mark, from which the answer's tokens are derived.
    pub mark: String,
    /// Prompt tokens.
    pub tokens: usize,
}

/// Request to generate tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecodeRequest {
    /// Unique ID of this run.
    pub run: String,
    /// The request key under which the run is counted.
    pub key: String,
    /// Location of the KV cache.
    pub kv: KvSource,
    /// Tokens to generate.
    pub max_tokens: usize,
}

/// Identifies a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunId {
    /// ID of the run.
    pub run: String,
}

/// Request to stream the tokens of a run again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// ID of the run.
    pub run: String,
    /// Index of the first token to send.
    pub from: usize,
}

/// Event of a decode stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum DecodeEvent {
    /// Keep-alive while no token is produced.
    Beat,
    /// A generated token.
    Token {
        /// Index of the token in the answer, from 0.
        n: usize,
        /// Its text.
        text: String,
    },
    /// All tokens were sent; the stream ends.
    End {
        /// Number of tokens generated.
        tokens: usize,
    },
    /// The run was cancelled; the stream ends.
    Cancelled,
}

/// Active runs: those that hold engine memory.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RunList {
    /// IDs of the runs.
    pub runs: Vec<String>,
}

/// Load of the engine at an earlier time; see [`EngineConfig::load_lag`].
///
/// [`EngineConfig::load_lag`]: super::EngineConfig::load_lag
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences decoding and prompts prefilling.
    pub running: usize,
    /// Prompts queued for prefill.
    pub waiting: usize,
}

/// Request for the cache events after a sequence number.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EventsRequest {
    /// The last sequence number received; 0 for none.
    pub after: u64,
}

/// A change of the prefix cache. Gaps in the sequence numbers are lost events.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub number: u64,
    /// The chained hash of the block.
    pub block: u64,
    /// True if the block was stored, false if it was evicted.
    pub stored: bool,
}

/// Request to change the engine itself, protected by a fencing token.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdminRequest {
    /// Fencing token of the sender.
    pub fence: u64,
    /// The command, such as `load_model rationale-2`.
    pub what: String,
}

/// Number of runs of a request key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Prefills started.
    pub prefills: u64,
    /// Decodes (or service calls) started.
    pub runs: u64,
}

/// Counters kept by a stand-in engine or service; the oracle of the tests.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Runs per request key.
    pub keys: BTreeMap<String, RunCount>,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens computed whose result was discarded before use.
    pub wasted_tokens: u64,
    /// Slots in use.
    pub held_places: usize,
    /// Prefill results held.
    pub held_kv: usize,
    /// Admin requests accepted, each as "fence what".
    pub orders: Vec<String>,
    /// Crashes caused by a prompt; see [`Faults::crashes_on`].
    ///
    /// [`Faults::crashes_on`]: super::Faults::crashes_on
    pub crashes: u64,
}
