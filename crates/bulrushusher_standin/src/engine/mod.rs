//! A stand-in model engine: prefill and decode with KV export and import.
//!
//! Protocol, all HTTP/JSON, streams as one JSON message a line:
//! - `POST /prefill` [`PrefillOrder`] → stream of [`PrefillEvent`]; closing the stream cancels it.
//! - `POST /export` [`ExportOrder`] → [`Exported`], or 410 when the result is gone.
//! - `POST /decode` [`DecodeOrder`] → stream of [`DecodeEvent`], 429 when every place is taken, 410
//!   when the KV cache is gone. Closing the stream does *not* cancel it.
//! - `POST /resume` [`ResumeOrder`] → stream of [`DecodeEvent`] from a token on, or 404.
//! - `POST /cancel` [`RunName`]; `GET /requests`; `GET /load`; `POST /events`; `POST /order`.
//! - `GET /counts` → [`Counts`], the oracle.

mod cache;
mod decode;
mod messages;
mod prefill;
mod server;
mod state;

pub use messages::{
    CacheEvent, Counts, DecodeEvent, DecodeOrder, EngineOrder, EventsSince, ExportOrder, Exported,
    KvSource, LoadReport, PrefillEvent, PrefillOrder, ResumeOrder, RunCount, RunName, Runs,
};
pub use server::Engine;
pub use state::Faults;

use bulrushusher_time::Millis;

/// What a stand-in engine can do, and how fast.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Decode requests held at once.
    pub places: usize,
    /// Prompt tokens computed a second; prompts are computed one at a time.
    pub prefill_tokens_per_second: u64,
    /// Fixed cost of a prefill.
    pub prefill_base: Millis,
    /// Time of a decode step with an empty batch, in microseconds.
    pub step_base_us: u64,
    /// What each sequence adds to a step, in microseconds.
    pub step_per_sequence_us: u64,
    /// Bytes of KV cache of one token.
    pub kv_bytes_per_token: u64,
    /// Rate of the link that KV caches leave by.
    pub link_bytes_per_second: u64,
    /// How long a prefill result is held; it must have left by then.
    pub kv_life: Millis,
    /// Blocks in the prefix cache.
    pub cache_blocks: usize,
    /// How late cache events are published.
    pub event_delay: Millis,
    /// Share of cache events that are never published, 0 to 1.
    pub event_loss: f64,
    /// How old the reported load is.
    pub load_lag: Millis,
    /// Whether old fencing numbers are refused.
    pub checks_fencing: bool,
    /// Seed of what is random here.
    pub seed: u64,
}

impl Default for EngineConfig {
    fn default() -> EngineConfig {
        EngineConfig {
            places: 20,
            prefill_tokens_per_second: 40_000,
            prefill_base: Millis(4),
            step_base_us: 12_000,
            step_per_sequence_us: 600,
            kv_bytes_per_token: 60_000,
            link_bytes_per_second: 5_000_000_000,
            kv_life: Millis(800),
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
    /// Time to compute `tokens` prompt tokens.
    ///
    /// ```
    /// # use bulrushusher_standin::EngineConfig;
    /// # use bulrushusher_time::Millis;
    /// assert_eq!(EngineConfig::default().prefill_time(4_000), Millis(104));
    /// ```
    pub fn prefill_time(&self, tokens: usize) -> Millis {
        Millis(tokens as u64 * 1000 / self.prefill_tokens_per_second.max(1)).plus(self.prefill_base)
    }

    /// Time of one decode step with `batch` sequences, in microseconds.
    pub fn step_us(&self, batch: usize) -> u64 {
        self.step_base_us + self.step_per_sequence_us * batch as u64
    }

    /// Time for the KV cache of `tokens` to leave by the idle link.
    pub fn transfer_time(&self, tokens: usize) -> Millis {
        let bytes = tokens as u64 * self.kv_bytes_per_token;
        Millis(bytes.saturating_mul(1000).div_ceil(self.link_bytes_per_second.max(1)))
    }
}
