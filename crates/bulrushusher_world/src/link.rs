//! Network links between data centres, used for KV cache transfers.

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

/// A link with limited bandwidth.
///
/// ```
/// use bulrushusher_world::Link;
/// use bulrushusher_time::Millis;
/// let link = Link { bytes_per_second: 2_000_000_000, latency: Millis(1) };
/// assert_eq!(link.transfer_time(200_000_000), Millis(101));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// Bandwidth in bytes per second; at least 1.
    pub bytes_per_second: u64,
    /// One-way latency.
    pub latency: Millis,
}

impl Link {
    /// Time to transfer `bytes` over the idle link, latency included.
    pub fn transfer_time(&self, bytes: u64) -> Millis {
        let ms = bytes.saturating_mul(1000).div_ceil(self.bytes_per_second.max(1));
        self.latency.plus(Millis(ms))
    }
}
