//! Settings of the agent.

use std::net::SocketAddr;

use bulrushusher_admission::AdmissionConfig;
use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, EndpointName, Role, ServiceName};

const SETTINGS: &[Setting] = &[
    setting("agent", "name", Kind::Text, None, "Name of the endpoint."),
    setting("agent", "service", Kind::Text, None, "Service that the endpoint belongs to."),
    setting("agent", "role", Kind::Choice(&["prefill", "decode", "service"]), None, "Its role."),
    setting("agent", "data_centre", Kind::Text, None, "Data centre it stands in."),
    setting("agent", "control", Kind::Address, None, "Where control calls are taken."),
    setting("agent", "stream", Kind::Address, None, "Where streams are taken."),
    setting("agent", "target", Kind::Address, None, "Address of the engine or plain service."),
    setting("gate", "places", Kind::Count(1, 10_000), Some("20"), "Requests in work at once."),
    setting("gate", "queue", Kind::Count(0, 100_000), Some("512"), "Requests that may wait."),
    setting(
        "gate",
        "time_to_live_ms",
        Kind::Millis(10, 60_000),
        Some("2000"),
        "How long a grant waits for its order.",
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
        "Largest difference between two clocks.",
    ),
    setting("records", "keys", Kind::Count(16, 10_000_000), Some("100000"), "Keys on record."),
    setting(
        "records",
        "answer_bytes",
        Kind::Count(1_024, 4_294_967_296),
        Some("33554432"),
        "Bytes of finished answers kept for retries.",
    ),
    setting(
        "streams",
        "beat_ms",
        Kind::Millis(10, 10_000),
        Some("300"),
        "How often an idle stream sends a heartbeat.",
    ),
    setting(
        "streams",
        "silent_ms",
        Kind::Millis(50, 60_000),
        Some("1500"),
        "Silence of the engine after which the connection is replaced.",
    ),
    setting(
        "streams",
        "orphan_ms",
        Kind::Millis(50, 60_000),
        Some("10000"),
        "How long a run goes on with no entry known to read it.",
    ),
    setting(
        "streams",
        "drain_ms",
        Kind::Millis(0, 3_600_000),
        Some("120000"),
        "How long a graceful shutdown waits for what is in flight.",
    ),
];

/// The agent's command line.
pub const PROGRAM: Program = Program {
    name: "bulrush-agent",
    about: "Runs beside one endpoint and is the only gate to its engine or plain service",
    settings: SETTINGS,
};

/// Checked settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Name of the endpoint.
    pub name: EndpointName,
    /// Service that the endpoint belongs to.
    pub service: ServiceName,
    /// Its role.
    pub role: Role,
    /// Data centre it stands in.
    pub data_centre: DataCentreName,
    /// Where control calls are taken.
    pub control: SocketAddr,
    /// Where streams are taken.
    pub stream: SocketAddr,
    /// Address of the engine or plain service.
    pub target: SocketAddr,
    /// Places, queue and time-to-live of grants.
    pub admission: AdmissionConfig,
    /// How long callers may retry a key.
    pub horizon: Millis,
    /// Largest difference between two clocks.
    pub skew: Millis,
    /// Keys on record.
    pub max_keys: usize,
    /// Bytes of finished answers kept for retries.
    pub max_answer_bytes: usize,
    /// How often an idle stream sends a heartbeat.
    pub heartbeat_interval: Millis,
    /// Silence of the engine after which the connection is replaced.
    pub idle_timeout: Millis,
    /// How long a run goes on with no entry known to read it.
    pub orphan_timeout: Millis,
    /// How long a graceful shutdown waits for what is in flight.
    pub drain_timeout: Millis,
}

impl AgentConfig {
    /// Makes the configuration of checked settings.
    ///
    /// # Errors
    /// [`ConfigError::BadValue`] for a malformed name.
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
