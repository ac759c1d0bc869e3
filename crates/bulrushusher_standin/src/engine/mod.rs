//! A stand-in model engine: prefill and decode with KV export and import.
//!
//! Protocol: HTTP/JSON; streams are newline-delimited JSON.
//! - `POST /prefill` [`PrefillRequest`] → stream of [`PrefillEvent`]. Closing the stream cancels
//!   the prefill.
//! - `POST /export` [`ExportRequest`] → [`ExportResponse`], or 410 if the KV cache is no longer
//!   held.
//! - `POST /decode` [`DecodeRequest`] → stream of [`DecodeEvent`]; 409 if the run ID was used
//!   before, 410 if the KV cache is no longer held, 429 if all decode slots are in use. Closing the
//!   stream does *not* cancel the run.
//! - `POST /resume` [`ResumeRequest`] → stream of [`DecodeEvent`] from a given token, or 404 for an
//!   unknown run.
//! - `POST /cancel` [`RunId`] → whether an active run was cancelled.
//! - `GET /requests` → [`RunList`], the active runs.
//! - `GET /load` → [`LoadReport`].
//! - `POST /events` [`EventsRequest`] → list of [`CacheEvent`].
//! - `POST /order` [`AdminRequest`] → the highest fencing token accepted, or 409 with it if the
//!   request's token is lower and fencing is on.
//! - `GET /counts` → [`Counts`], the tests' oracle.

mod cache;
mod decode;
mod messages;
mod prefill;
mod server;
mod state;

pub use messages::{
    AdminRequest, CacheEvent, Counts, DecodeEvent, DecodeRequest, EventsRequest, ExportRequest,
    ExportResponse, KvSource, LoadReport, PrefillEvent, PrefillRequest, ResumeRequest, RunCount,
    RunId, RunList,
};
pub use server::Engine;
pub use state::Faults;

use bulrushusher_time::Millis;

/// Capacity and timing of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Decode slots: the maximum batch size.
    pub slots: usize,
    /// Prefill rate, in prompt tokens per second. Prompts are computed one at a time.
    pub prefill_tokens_per_second: u64,
    /// Fixed time added to each prefill.
    pub prefill_base: Millis,
    /// Duration of a decode step with an empty batch, in microseconds.
    pub step_base_us: u64,
    /// Time that each sequence adds to a step, in microseconds.
    pub step_per_sequence_us: u64,
    /// KV cache size per token, in bytes.
    pub kv_bytes_per_token: u64,
    /// Bandwidth of the link that exports KV caches, in bytes per second.
    pub link_bytes_per_second: u64,
    /// How long a prefill result is held; it is evicted unless exported by then.
    pub kv_ttl: Millis,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Delay before a cache event is published.
    pub event_delay: Millis,
    /// Probability that a cache event is never published, 0 to 1.
    pub event_loss: f64,
    /// Age of the reported load.
    pub load_lag: Millis,
    /// Whether admin requests with an outdated fencing token are rejected.
    pub checks_fencing: bool,
    /// Seed of the random loss of cache events.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            slots: 20,
            prefill_tokens_per_second: 40_000,
            prefill_base: Millis(4),
            step_base_us: 12_000,
            step_per_sequence_us: 600,
            kv_bytes_per_token: 60_000,
            link_bytes_per_second: 5_000_000_000,
            kv_ttl: Millis(800),
            cache_blocks: 512,
            event_delay: Millis(200),
            event_loss: 0.1,
            load_lag: Millis(500),
            checks_fencing: false,
            seed: 1,
        }
    }
}

impl EngineConfig {
    /// Duration of a prefill that computes `tokens` prompt tokens.
    ///
    /// ```
    /// # use bulrushusher_standin::EngineConfig;
    /// # use bulrushusher_time::Millis;
    /// assert_eq!(EngineConfig::default().prefill_time(4_000), Millis(104));
    /// ```
    pub fn prefill_time(&self, tokens: usize) -> Millis {
        Millis(tokens as u64 * 1000 / self.prefill_tokens_per_second.max(1)).plus(self.prefill_base)
    }

    /// Duration of one decode step with `batch` sequences, in microseconds.
    pub fn step_us(&self, batch: usize) -> u64 {
        self.step_base_us + self.step_per_sequence_us * batch as u64
    }

    /// Time to export the KV cache of `tokens` over an idle link.
    pub fn transfer_time(&self, tokens: usize) -> Millis {
        let bytes = tokens as u64 * self.kv_bytes_per_token;
        Millis(bytes.saturating_mul(1000).div_ceil(self.link_bytes_per_second.max(1)))
    }
}
