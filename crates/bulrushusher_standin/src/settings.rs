//! Settings of `bulrush-standin run`: which stand-ins to start in this process.

use std::net::SocketAddr;

use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_time::Millis;

use crate::{EngineConfig, ServiceConfig};

const SETTINGS: &[Setting] = &[
    setting("store", "listen", Kind::Address, Some("127.0.0.1:7000"), "Where the store listens."),
    setting("prefill", "listen", Kind::Address, Some("127.0.0.1:7010"), "A prefill engine."),
    setting("decode", "listen", Kind::Address, Some("127.0.0.1:7020"), "A decode engine."),
    setting("service", "listen", Kind::Address, Some("127.0.0.1:7030"), "A plain service."),
    setting("engine", "places", Kind::Count(1, 1_000), Some("20"), "Decode requests held at once."),
    setting(
        "engine",
        "prefill_tokens_per_second",
        Kind::Count(1, 100_000_000),
        Some("40000"),
        "Prompt tokens computed a second.",
    ),
    setting(
        "engine",
        "kv_life_ms",
        Kind::Millis(1, 60_000),
        Some("800"),
        "How long a prefill result is held.",
    ),
    setting(
        "engine",
        "link_bytes_per_second",
        Kind::Count(1, 1_000_000_000_000),
        Some("5000000000"),
        "Rate of the link that KV caches leave by.",
    ),
    setting("engine", "checks_fencing", Kind::Flag, Some("no"), "Refuse old fencing numbers."),
    setting("service", "call_ms", Kind::Millis(0, 60_000), Some("20"), "Time of one call."),
    setting("service", "places", Kind::Count(1, 10_000), Some("8"), "Calls in work at once."),
];

/// The command line of `bulrush-standin run`.
pub const PROGRAM: Program = Program {
    name: "bulrush-standin",
    about: "Stand-ins for the store, two engines and a plain service, in one process",
    settings: SETTINGS,
};

/// Checked settings of the stand-ins.
#[derive(Clone, Debug)]
pub struct StandinConfig {
    /// Where the store listens.
    pub store: SocketAddr,
    /// Where the prefill engine listens.
    pub prefill: SocketAddr,
    /// Where the decode engine listens.
    pub decode: SocketAddr,
    /// Where the plain service listens.
    pub service: SocketAddr,
    /// How the engines behave.
    pub engine: EngineConfig,
    /// How the service behaves.
    pub plain: ServiceConfig,
}

impl StandinConfig {
    /// Makes the configuration of checked settings.
    ///
    /// # Errors
    /// None now; the signature is that of all programs.
    pub fn from_values(values: &Values) -> Result<StandinConfig, ConfigError> {
        Ok(StandinConfig {
            store: values.address("store", "listen"),
            prefill: values.address("prefill", "listen"),
            decode: values.address("decode", "listen"),
            service: values.address("service", "listen"),
            engine: EngineConfig {
                places: values.count("engine", "places"),
                prefill_tokens_per_second: values.count("engine", "prefill_tokens_per_second")
                    as u64,
                kv_life: Millis(values.millis("engine", "kv_life_ms").0),
                link_bytes_per_second: values.count("engine", "link_bytes_per_second") as u64,
                checks_fencing: values.flag("engine", "checks_fencing"),
                ..EngineConfig::default()
            },
            plain: ServiceConfig {
                call_time: values.millis("service", "call_ms"),
                places: values.count("service", "places"),
            },
        })
    }
}
