//! Settings of `bulrush-standin run`: addresses and behaviour of the stand-ins.

use std::net::SocketAddr;

use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_time::Millis;

use crate::{EngineConfig, ServiceConfig};

const SETTINGS: &[Setting] = &[
    setting(
        "store",
        "listen",
        Kind::Address,
        Some("127.0.0.1:7000"),
        "Address on which the store listens.",
    ),
    setting(
        "prefill",
        "listen",
        Kind::Address,
        Some("127.0.0.1:7010"),
        "Address on which the prefill engine listens.",
    ),
    setting(
        "decode",
        "listen",
        Kind::Address,
        Some("127.0.0.1:7020"),
        "Address on which the decode engine listens.",
    ),
    setting(
        "service",
        "listen",
        Kind::Address,
        Some("127.0.0.1:7030"),
        "Address on which the plain service listens.",
    ),
    setting(
        "engine",
        "places",
        Kind::Count(1, 1_000),
        Some("20"),
        "Decode slots: the maximum batch size.",
    ),
    setting(
        "engine",
        "prefill_tokens_per_second",
        Kind::Count(1, 100_000_000),
        Some("40000"),
        "Prefill rate, in prompt tokens per second.",
    ),
    setting(
        "engine",
        "kv_life_ms",
        Kind::Millis(1, 60_000),
        Some("800"),
        "How long a prefill result is held before it is evicted.",
    ),
    setting(
        "engine",
        "link_bytes_per_second",
        Kind::Count(1, 1_000_000_000_000),
        Some("5000000000"),
        "Bandwidth of the link that exports KV caches, in bytes per second.",
    ),
    setting(
        "engine",
        "checks_fencing",
        Kind::Flag,
        Some("no"),
        "Reject admin requests with an outdated fencing token.",
    ),
    setting("service", "call_ms", Kind::Millis(0, 60_000), Some("20"), "Duration of one call."),
    setting(
        "service",
        "places",
        Kind::Count(1, 10_000),
        Some("8"),
        "Maximum number of concurrent calls.",
    ),
];

/// The command line of `bulrush-standin run`.
pub const PROGRAM: Program = Program {
    name: "bulrush-standin",
    about: "Stand-ins for the store, two engines and a plain service, in one process",
    settings: SETTINGS,
};

/// Configuration of the stand-ins.
#[derive(Clone, Debug)]
pub struct StandinConfig {
    /// Address on which the store listens.
    pub store: SocketAddr,
    /// Address on which the prefill engine listens.
    pub prefill: SocketAddr,
    /// Address on which the decode engine listens.
    pub decode: SocketAddr,
    /// Address on which the plain service listens.
    pub service: SocketAddr,
    /// Configuration of both engines.
    pub engine_config: EngineConfig,
    /// Configuration of the plain service.
    pub service_config: ServiceConfig,
}

impl StandinConfig {
    /// Builds the configuration from validated settings.
    ///
    /// # Errors
    /// Never fails; the signature is shared by all programs.
    pub fn from_values(values: &Values) -> Result<StandinConfig, ConfigError> {
        Ok(StandinConfig {
            store: values.address("store", "listen"),
            prefill: values.address("prefill", "listen"),
            decode: values.address("decode", "listen"),
            service: values.address("service", "listen"),
            engine_config: EngineConfig {
                slots: values.count("engine", "places"),
                prefill_tokens_per_second: values.count("engine", "prefill_tokens_per_second")
                    as u64,
                kv_ttl: Millis(values.millis("engine", "kv_life_ms").0),
                link_bytes_per_second: values.count("engine", "link_bytes_per_second") as u64,
                checks_fencing: values.flag("engine", "checks_fencing"),
                ..EngineConfig::default()
            },
            service_config: ServiceConfig {
                call_duration: values.millis("service", "call_ms"),
                slots: values.count("service", "places"),
            },
        })
    }
}
