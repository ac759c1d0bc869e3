//! The messages of the engine's protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Order to compute the KV cache of a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillOrder {
    /// Unique name of this run.
    pub run: String,
    /// The request's key, for the counts.
    pub key: String,
    /// The prompt.
    pub prompt: String,
    /// Lower goes first.
    pub priority: u64,
}

/// What a prefill stream tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum PrefillEvent {
    /// Still at it.
    Beat,
    /// The result is held here, for a short time.
    Done {
        /// Name of the result.
        kv: u64,
        /// Prompt tokens.
        tokens: usize,
        /// Of these, tokens that the prefix cache had.
        cached: usize,
        /// Size of the KV cache.
        bytes: u64,
    },
    /// The result was exported; the stream ends.
    Exported,
    /// The result was evicted before it was exported; the stream ends.
    Evicted,
}

/// Where a KV cache can be fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvSource {
    /// The engine that holds it.
    pub engine: SocketAddr,
    /// Its name there.
    pub kv: u64,
}

/// Asks for a KV cache.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct ExportOrder {
    /// Name of the result.
    pub kv: u64,
}

/// A KV cache, as far as the stand-in goes.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Exported {
    /// The prompt's mark.
    pub mark: String,
    /// Prompt tokens.
    pub tokens: usize,
}

/// Order to generate tokens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecodeOrder {
    /// Unique name of this run.
    pub run: String,
    /// The request's key, for the counts.
    pub key: String,
    /// Where the KV cache is.
    pub kv: KvSource,
    /// Tokens to generate.
    pub max_tokens: usize,
}

/// Names a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunName {
    /// The run.
    pub run: String,
}

/// Asks for the tokens of a run again.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeOrder {
    /// The run.
    pub run: String,
    /// The first token wanted.
    pub from: usize,
}

/// What a decode stream tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum DecodeEvent {
    /// Still at it.
    Beat,
    /// Token `n`, counted from 0.
    Token {
        /// Its place in the answer.
        n: usize,
        /// Its text.
        text: String,
    },
    /// All `tokens` were sent; the stream ends.
    End {
        /// Tokens in all.
        tokens: usize,
    },
    /// The run was cancelled; the stream ends.
    Cancelled,
}

/// Runs that hold engine memory now.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Runs {
    /// Their names.
    pub runs: Vec<String>,
}

/// Load as it was some time ago.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Sequences or prompts in work.
    pub running: usize,
    /// Prompts that wait.
    pub waiting: usize,
}

/// Asks for cache events after a number.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct EventsSince {
    /// The last number seen; 0 for none.
    pub after: u64,
}

/// A change of the prefix cache. Numbers rise; gaps are lost events.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number.
    pub number: u64,
    /// The chained hash of the block.
    pub block: u64,
    /// True when the block came, false when it went.
    pub stored: bool,
}

/// Order to change the engine itself.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Fencing number of the one who orders.
    pub fence: u64,
    /// What to do, such as `load_model rationale-2`.
    pub what: String,
}

/// How often a key ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunCount {
    /// Prefills begun.
    pub prefills: u64,
    /// Decodes (or service calls) begun.
    pub runs: u64,
}

/// The engine's own records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Counts {
    /// Per request key.
    pub keys: BTreeMap<String, RunCount>,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Of these, tokens whose result was discarded before use.
    pub wasted_tokens: u64,
    /// Decode places held now.
    pub held_places: usize,
    /// Prefill results held now.
    pub held_kv: usize,
    /// Orders taken, as "fence what".
    pub orders: Vec<String>,
    /// Times that it ended on a prompt.
    pub crashes: u64,
}
