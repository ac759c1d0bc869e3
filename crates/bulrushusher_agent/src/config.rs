//! Settings and configuration of the agent.

use std::net::SocketAddr;

use bulrushusher_admission::AdmissionConfig;
use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, EndpointName, Role, ServiceName};

const SETTINGS: &[Setting] = &[
    setting("agent", "name", Kind::Text, None, "Name of the endpoint."),
    setting("agent", "service", Kind::Text, None, "Service that the endpoint belongs to."),
    setting(
        "agent",
        "role",
        Kind::Choice(&["prefill", "decode", "service"]),
        None,
        "Role of the endpoint.",
    ),
    setting("agent", "data_centre", Kind::Text, None, "Data centre of the endpoint."),
    setting("agent", "control", Kind::Address, None, "Listen address of the control calls."),
    setting("agent", "stream", Kind::Address, None, "Listen address of the streams."),
    setting("agent", "target", Kind::Address, None, "Address of the engine or plain service."),
    setting(
        "gate",
        "places",
        Kind::Count(1, 10_000),
        Some("20"),
        "Number of slots: requests that may be in flight.",
    ),
    setting(
        "gate",
        "queue",
        Kind::Count(0, 100_000),
        Some("512"),
        "Maximum requests queued for a slot.",
    ),
    setting(
        "gate",
        "time_to_live_ms",
        Kind::Millis(10, 60_000),
        Some("2000"),
        "Time within which the order for a granted reservation must arrive.",
    ),
    setting(
        "records",
        "horizon_ms",
        Kind::Millis(1_000, 86_400_000),
        Some("600000"),
        "How long callers may retry a key.",
    ),
    setting(
        "records",
        "skew_ms",
        Kind::Millis(0, 60_000),
        Some("500"),
        "Maximum clock skew between two processes.",
    ),
    setting(
        "records",
        "keys",
        Kind::Count(16, 10_000_000),
        Some("100000"),
        "Maximum keys on record.",
    ),
    setting(
        "records",
        "answer_bytes",
        Kind::Count(1_024, 4_294_967_296),
        Some("33554432"),
        "Maximum total size of finished answers kept for retries, in bytes.",
    ),
    setting(
        "streams",
        "beat_ms",
        Kind::Millis(10, 10_000),
        Some("300"),
        "Interval of heartbeats on an idle stream.",
    ),
    setting(
        "streams",
        "silent_ms",
        Kind::Millis(50, 60_000),
        Some("1500"),
        "Time without data from the engine after which its connection is replaced.",
    ),
    setting(
        "streams",
        "orphan_ms",
        Kind::Millis(50, 60_000),
        Some("10000"),
        "How long a run continues while no entry is known to read it.",
    ),
    setting(
        "streams",
        "drain_ms",
        Kind::Millis(0, 3_600_000),
        Some("120000"),
        "How long a graceful shutdown waits for requests in flight.",
    ),
];

/// The agent's command line.
pub const PROGRAM: Program = Program {
    name: "bulrush-agent",
    about: "Runs next to one endpoint and controls all access to its engine or plain service",
    settings: SETTINGS,
};

/// Configuration of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Role of the endpoint.
    pub role: Role,
    /// Data centre of the endpoint.
    pub data_centre: DataCentreName,
    /// Listen address of the control calls.
    pub control: SocketAddr,
    /// Listen address of the streams.
    pub stream: SocketAddr,
    /// Address of the engine or plain service.
    pub target: SocketAddr,
    /// Slots, queue length and time to live of reservations.
    pub admission: AdmissionConfig,
    /// How long callers may retry an idempotency key.
    pub horizon: Millis,
    /// Maximum clock skew between two processes.
    pub skew: Millis,
    /// Maximum number of idempotency keys on record.
    pub max_keys: usize,
    /// Maximum total size of finished answers kept for retries.
    pub max_answer_bytes: usize,
    /// Interval of heartbeats on an idle stream.
    pub heartbeat_interval: Millis,
    /// Time without data from the engine after which its connection is replaced.
    pub idle_timeout: Millis,
    /// How long a run continues while no entry is known to read it.
    pub orphan_timeout: Millis,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain_timeout: Millis,
}

impl AgentConfig {
    /// Creates the configuration from validated settings.
    ///
    /// # Errors
    /// [`ConfigError::BadValue`] if a name is malformed.
    pub fn from_values(values: &Values) -> Result<AgentConfig, ConfigError> {
        Ok(AgentConfig {
            name: values.checked("agent", "name")?,
            service: values.checked("agent", "service")?,
            role: values.checked("agent", "role")?,
            data_centre: values.checked("agent", "data_centre")?,
            control: values.address("agent", "control"),
            stream: values.address("agent", "stream"),
            target: values.address("agent", "target"),
            admission: AdmissionConfig {
                slots: values.count("gate", "places"),
                max_queued: values.count("gate", "queue").max(1),
                time_to_live: values.millis("gate", "time_to_live_ms"),
            },
            horizon: values.millis("records", "horizon_ms"),
            skew: values.millis("records", "skew_ms"),
            max_keys: values.count("records", "keys"),
            max_answer_bytes: values.count("records", "answer_bytes"),
            heartbeat_interval: values.millis("streams", "beat_ms"),
            idle_timeout: values.millis("streams", "silent_ms"),
            orphan_timeout: values.millis("streams", "orphan_ms"),
            drain_timeout: values.millis("streams", "drain_ms"),
        })
    }
}
