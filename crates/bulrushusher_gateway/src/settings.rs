//! Settings of the gateway.

use std::net::SocketAddr;

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_forward::{
    ColdLimitConfig, ForecastConfig, GatewayDirectoryConfig, HoldConfig, LoadConfig,
    PatientPrefills, QueueOrder, RetryAfterConfig, RunnerDirectoryConfig, ShutdownConfig,
    StagesConfig, WaitQueueConfig,
};
use bulrushusher_routing::{KeySet, QuarantineConfig, RetryConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, Topology, VmName};

/// The gateway's program.
pub const PROGRAM: Program = Program {
    name: "bulrush-gateway",
    about: "Forwards callers' requests to runners that check who they are",
    settings: SETTINGS,
};

/// Value of the setting that names released keys, if there are none.
const NO_RELEASE: &str = "none";

const SETTINGS: &[Setting] = &[
    setting("gateway", "name", Kind::Text, None, "Name of the VM, unique in the deployment."),
    setting("gateway", "data_centre", Kind::Text, None, "Data centre of the VM."),
    setting(
        "gateway",
        "region",
        Kind::Text,
        Some("none"),
        "Region of the VM; `none` without regions.",
    ),
    setting(
        "gateway",
        "data_centres",
        Kind::Text,
        Some("none"),
        "Data centres with their regions, as `dc-1:region-a,dc-2:region-b`; `none` without regions.",
    ),
    setting("gateway", "callers", Kind::Address, None, "Listen address for callers' HTTP."),
    setting("gateway", "ready", Kind::Address, None, "Listen address for readiness checks."),
    setting("gateway", "peers", Kind::Address, None, "UDP address for other gateways' reports."),
    setting("gateway", "metrics", Kind::Address, None, "Listen address for metrics as text."),
    setting("gateway", "store", Kind::Address, None, "Address of the platform's store."),
    setting(
        "gateway",
        "max_connections",
        Kind::Count(16, 100_000),
        Some("3000"),
        "Maximum of callers' connections; further ones are closed at once.",
    ),
    setting(
        "gateway",
        "max_buffered_bytes",
        Kind::Count(65_536, 1 << 32),
        Some("33554432"),
        "Maximum bytes of request bodies in memory; further requests are refused as not run.",
    ),
    setting(
        "gateway",
        "max_answer_bytes",
        Kind::Count(65_536, 1 << 32),
        Some("16777216"),
        "Maximum bytes of runners' answers in memory, beyond 64 KiB of each; a larger one counts as broken.",
    ),
    setting(
        "gateway",
        "log_lines_per_second",
        Kind::Count(1, 100_000),
        Some("400"),
        "Maximum log lines per second; further ones are counted and left out.",
    ),
    setting(
        "bounds",
        "configuration_in_force_ms",
        Kind::Millis(200, 600_000),
        Some("2000"),
        "Time within which an accepted configuration must be in force.",
    ),
    setting(
        "bounds",
        "runner_drained_ms",
        Kind::Millis(200, 600_000),
        Some("2000"),
        "Time after which a runner that drains or was removed must get no more work.",
    ),
    setting(
        "bounds",
        "shutdown_grace_s",
        Kind::Real(0.5, 3_600.0),
        Some("8"),
        "Seconds between the signal to stop and the kill.",
    ),
    setting(
        "bounds",
        "retry_share",
        Kind::Real(0.0, 100.0),
        Some("0.2"),
        "Retries allowed per request, over all gateways.",
    ),
    setting(
        "bounds",
        "retry_burst",
        Kind::Real(0.0, 1_000_000.0),
        Some("50"),
        "Retries allowed beyond that share in any window, over all gateways.",
    ),
    setting(
        "bounds",
        "retry_window_s",
        Kind::Real(0.1, 3_600.0),
        Some("10"),
        "Length of the windows in which retries are limited.",
    ),
    setting(
        "bounds",
        "order_spacing_ms",
        Kind::Millis(300, 600_000),
        Some("3000"),
        "Minimum time between orders of two successive holders of the ordering lease.",
    ),
    setting(
        "bounds",
        "keys_revoked_ms",
        Kind::Millis(500, 600_000),
        Some("5000"),
        "Time within which a revoked key must be refused, even while the store is unreachable.",
    ),
    setting(
        "bounds",
        "data_centre_evacuated_ms",
        Kind::OptionalMillis(200, 600_000),
        Some("none"),
        "Time after which an evacuated data centre must get no more work; none: no evacuations.",
    ),
    setting(
        "bounds",
        "cold_factor",
        Kind::Real(0.0, 1_000.0),
        Some("1"),
        "Factor by which the requests to a cold runner may exceed the rate that its service states.",
    ),
    setting(
        "bounds",
        "cold_extra",
        Kind::Real(0.0, 1_000_000.0),
        Some("0"),
        "Requests in a second that a cold runner may get beyond that, over all gateways.",
    ),
    setting(
        "quota",
        "window_s",
        Kind::Real(0.1, 3_600.0),
        Some("8"),
        "Length in seconds of the sliding window to which an account's quota applies.",
    ),
    setting(
        "quota",
        "overage",
        Kind::Real(0.0, 10.0),
        Some("0.1"),
        "Share of an account's quota that may be used beyond it in a window.",
    ),
    setting(
        "quota",
        "slack",
        Kind::Real(0.0, 1e12),
        Some("0"),
        "Units that may be used beyond that in a window.",
    ),
    setting(
        "quota",
        "sharing",
        Kind::Choice(&["told", "by-demand", "even"]),
        Some("told"),
        "How gateways share a quota: by reporting their usage, or by shares, by demand or even.",
    ),
    setting(
        "waiting",
        "order",
        Kind::Choice(&["account", "arrival"]),
        Some("account"),
        "Order of queued requests of one priority: client accounts in turn, or order of arrival.",
    ),
    setting(
        "waiting",
        "target_share",
        Kind::Real(0.0, 10.0),
        Some("0.5"),
        "Wait for memory before a generation is refused, as a share of its response-time target.",
    ),
    setting(
        "waiting",
        "late_wait_ms",
        Kind::Millis(0, 60_000),
        Some("2500"),
        "Time that a generation waits for memory after its response-time target has passed.",
    ),
    setting(
        "waiting",
        "return_after_ms",
        Kind::Millis(0, 600_000),
        Some("4000"),
        "Retry-After of a refused generation; long enough for a burst to be over.",
    ),
    setting(
        "waiting",
        "return_spread",
        Kind::Real(0.0, 1.0),
        Some("0.2"),
        "Random spread of that time, as a share of it.",
    ),
    setting(
        "calls",
        "sharing",
        Kind::Choice(&["auto", "observed", "on", "off"]),
        Some("auto"),
        "Whether gateways share their plain calls; auto: where they outnumber the runners' slots; \
         observed: also while few slots for each gateway are seen to be full, as auto does with \
         several regions.",
    ),
    setting(
        "gateways",
        "gone_after_s",
        Kind::Real(1.0, 604_800.0),
        Some("300"),
        "Seconds without a report after which a gateway's announcement is removed from the store.",
    ),
    setting(
        "quarantine",
        "crashes",
        Kind::Count(1, 100),
        Some("2"),
        "Consecutive runner crashes on a request after which it is quarantined.",
    ),
    setting(
        "quarantine",
        "part_crashes",
        Kind::Count(1, 100),
        Some("3"),
        "Consecutive runner crashes on requests with a part of a prompt after which it is quarantined.",
    ),
    setting(
        "quarantine",
        "sound_part_crashes",
        Kind::Count(1, 100),
        Some("5"),
        "The same for a part that runners have survived before.",
    ),
    setting(
        "quarantine",
        "release",
        Kind::Text,
        Some(NO_RELEASE),
        "Keys whose quarantine ends at once, as `bulrushctl quarantine` shows them, separated by commas; \
         or `none`.",
    ),
    setting(
        "quarantine",
        "lasts_s",
        Kind::Real(0.0, 604_800.0),
        Some("3600"),
        "Seconds for which a quarantined request is refused; 0 disables the quarantine at once.",
    ),
    setting(
        "holds",
        "per_expected_output",
        Kind::Real(0.0, 100.0),
        Some("0.0"),
        "Output tokens held for each token that the caller expects.",
    ),
    setting(
        "forecast",
        "caution",
        Kind::Real(0.0, 10.0),
        Some("2.5"),
        "Standard deviations above the mean forecast of a decode runner's memory that must fit.",
    ),
    setting(
        "forecast",
        "caution_with_moves",
        Kind::Real(0.0, 10.0),
        Some("1.5"),
        "The same where runs can be migrated to another runner before memory runs out.",
    ),
    setting(
        "forecast",
        "fill",
        Kind::Real(0.1, 1.0),
        Some("0.92"),
        "Maximum share of a decode runner's memory that the forecast may use.",
    ),
    setting(
        "runners",
        "speeds",
        Kind::Choice(&["auto", "off"]),
        Some("auto"),
        "Whether decisions use each model runner's own speed where a pool's runners differ in it.",
    ),
    setting(
        "stages",
        "prefill_share",
        Kind::Real(0.0, 0.9),
        Some("0.1"),
        "Share of a service's model runners that prefills keep busy; 0 leaves stages unchanged.",
    ),
    setting(
        "stages",
        "prefill_margin",
        Kind::Real(0.0, 10.0),
        Some("0.48"),
        "Prefill runners beyond that share, as a multiple of the square root of the runner count.",
    ),
    setting(
        "runners",
        "patient_prefills",
        Kind::Choice(&["auto", "on", "off"]),
        Some("auto"),
        "Wait for late prefills while their runner works: auto where runners differ in speed.",
    ),
];

/// The gateway's configuration.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre of the VM.
    pub data_centre: DataCentreName,
    /// The region of each data centre; empty without regions.
    pub topology: Topology,
    /// Listen address for callers' HTTP.
    pub callers: SocketAddr,
    /// Listen address for readiness checks of the load balancer.
    pub ready: SocketAddr,
    /// UDP address for other gateways' reports.
    pub peers: SocketAddr,
    /// Listen address for metrics.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum number of callers' connections.
    pub max_connections: usize,
    /// Maximum bytes of request bodies in memory.
    pub max_buffered_bytes: usize,
    /// Maximum bytes of large answers in memory.
    pub max_answer_bytes: usize,
    /// Maximum number of log lines per second.
    pub log_lines_per_second: usize,
    /// Time within which a configuration must be in force.
    pub configuration_in_force: Millis,
    /// Time after which a runner that drains or was removed must get no more work.
    pub runner_drained: Millis,
    /// Time within which a revoked API key must be refused.
    pub keys_revoked: Millis,
    /// Time after which an evacuated data centre must get no more work; `None` where there are no
    /// evacuations.
    pub data_centre_evacuated: Option<Millis>,
    /// Tolerance above the request rate that is stated for cold runners.
    pub cold_limit: ColdLimitConfig,
    /// Enforcement of client accounts' quotas.
    pub quotas: QuotaConfig,
    /// Minimum time between orders of two successive holders of the ordering lease.
    pub order_spacing: Millis,
    /// Retry budget of each service; the burst is shared by all gateways.
    pub retries: RetryConfig,
    /// Bounds of a graceful shutdown.
    pub shutdown: ShutdownConfig,
    /// Queue of generations that wait for memory.
    pub waiting: WaitQueueConfig,
    /// Retry-After of refused generations.
    pub retry_after: Millis,
    /// Random spread of that time, as a share of it.
    pub retry_after_spread: f64,
    /// Where gateways share their plain calls.
    pub call_sharing: CallSharing,
    /// When a request that crashes runners is quarantined.
    pub quarantine: QuarantineConfig,
    /// Keys whose quarantine the operator has ended.
    pub released_keys: KeySet,
    /// When other gateways count as live or gone.
    pub gateways: GatewayDirectoryConfig,
    /// Amount of memory that is held for a generation.
    pub holds: HoldConfig,
    /// Caution of memory forecasts.
    pub forecast: ForecastConfig,
    /// Caution, in standard deviations, where runs can be migrated to another runner.
    pub caution_with_moves: f64,
    /// True to use each model runner's own speed in pools whose runners differ in it.
    pub runner_speeds: bool,
    /// Target ratio of prefill and decode runners.
    pub stages: StagesConfig,
    /// Where late prefills are waited for.
    pub patient_prefills: PatientPrefills,
    /// Weighting of the results recorded for runners.
    pub loads: LoadConfig,
    /// Limits of the directory of runners.
    pub members: RunnerDirectoryConfig,
}

/// Where gateways share their plain calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallSharing {
    /// Where there are fewer than 0.75 slots for each gateway; with several regions as `Observed`.
    Auto,
    /// Also with fewer than 4 slots for each gateway while a gateway sees that they are full.
    Observed,
    /// At all plain services.
    On,
    /// Nowhere.
    Off,
}

/// Part of the allowed retry share that gateways use: more retries than this make a full pool fuller.
/// The rest also covers the time from a caller's send to the gateway's count, and from the gateway's
/// count to the arrival at a runner.
const RETRY_SHARE_USED: f64 = 0.75;

/// Time for which requests are accepted after the signal. The load balancer checks once a second
/// and removes a VM after two failures; half a second is left for connections in flight by then.
const ACCEPT_AFTER_SIGNAL: Millis = Millis(2_500);

/// Time between the expected end of the last request and the kill: about a tenth of the usual
/// grace.
const SHUTDOWN_MARGIN: Millis = Millis(900);

impl GatewayConfig {
    /// Configuration of Retry-After for refused generations.
    pub(crate) fn retry_after_config(&self) -> RetryAfterConfig {
        RetryAfterConfig { delay: self.retry_after, spread: self.retry_after_spread }
    }

    /// Builds the configuration from validated values.
    ///
    /// # Errors
    /// [`ConfigError`] with the setting and the values that it accepts.
    pub fn from_values(values: &Values) -> Result<GatewayConfig, ConfigError> {
        let grace = Millis((values.real("bounds", "shutdown_grace_s") * 1_000.0) as u64);
        Ok(GatewayConfig {
            name: values.checked("gateway", "name")?,
            data_centre: values.checked("gateway", "data_centre")?,
            topology: topology(values)?,
            callers: values.address("gateway", "callers"),
            ready: values.address("gateway", "ready"),
            peers: values.address("gateway", "peers"),
            metrics: values.address("gateway", "metrics"),
            store: values.address("gateway", "store"),
            max_connections: values.count("gateway", "max_connections"),
            max_buffered_bytes: values.count("gateway", "max_buffered_bytes"),
            max_answer_bytes: values.count("gateway", "max_answer_bytes"),
            log_lines_per_second: values.count("gateway", "log_lines_per_second"),
            configuration_in_force: values.millis("bounds", "configuration_in_force_ms"),
            runner_drained: values.millis("bounds", "runner_drained_ms"),
            keys_revoked: values.millis("bounds", "keys_revoked_ms"),
            data_centre_evacuated: values.optional_millis("bounds", "data_centre_evacuated_ms"),
            cold_limit: ColdLimitConfig {
                overage: values.real("bounds", "cold_factor"),
                slack: values.real("bounds", "cold_extra"),
            },
            quotas: QuotaConfig {
                sharing: sharing(values.text("quota", "sharing")),
                window: Millis((values.real("quota", "window_s") * 1_000.0) as u64),
                overage: values.real("quota", "overage"),
                slack: values.real("quota", "slack"),
                ..QuotaConfig::default()
            },
            order_spacing: values.millis("bounds", "order_spacing_ms"),
            retries: RetryConfig {
                per_request: values.real("bounds", "retry_share") * RETRY_SHARE_USED,
                burst: values.real("bounds", "retry_burst"),
                window: Millis((values.real("bounds", "retry_window_s") * 1_000.0) as u64),
            },
            shutdown: ShutdownConfig {
                grace,
                accept_for: ACCEPT_AFTER_SIGNAL,
                margin: SHUTDOWN_MARGIN,
            },
            waiting: WaitQueueConfig {
                order: match values.text("waiting", "order") {
                    "arrival" => QueueOrder::Arrival,
                    _ => QueueOrder::Account,
                },
                target_share: values.real("waiting", "target_share"),
                late_wait: values.millis("waiting", "late_wait_ms"),
                ..WaitQueueConfig::default()
            },
            retry_after: values.millis("waiting", "return_after_ms"),
            retry_after_spread: values.real("waiting", "return_spread"),
            call_sharing: call_sharing(values.text("calls", "sharing")),
            quarantine: QuarantineConfig {
                crash_threshold: values.count("quarantine", "crashes") as u32,
                part_threshold: values.count("quarantine", "part_crashes") as u32,
                sound_part_threshold: values.count("quarantine", "sound_part_crashes") as u32,
                duration: Millis((values.real("quarantine", "lasts_s") * 1_000.0) as u64),
                ..QuarantineConfig::default()
            },
            released_keys: released_keys(values)?,
            gateways: GatewayDirectoryConfig {
                gone_after: Millis((values.real("gateways", "gone_after_s") * 1_000.0) as u64),
                ..GatewayDirectoryConfig::default()
            },
            holds: HoldConfig { per_expected_output: values.real("holds", "per_expected_output") },
            forecast: ForecastConfig {
                caution: values.real("forecast", "caution"),
                max_fill: values.real("forecast", "fill"),
            },
            caution_with_moves: values.real("forecast", "caution_with_moves"),
            runner_speeds: values.text("runners", "speeds") == "auto",
            stages: StagesConfig {
                prefill_share: values.real("stages", "prefill_share"),
                prefill_margin: values.real("stages", "prefill_margin"),
                ..StagesConfig::default()
            },
            patient_prefills: match values.text("runners", "patient_prefills") {
                "on" => PatientPrefills::On,
                "off" => PatientPrefills::Off,
                _ => PatientPrefills::Auto,
            },
            loads: LoadConfig::default(),
            members: RunnerDirectoryConfig::default(),
        })
    }
}

/// Value of a setting for a deployment without regions.
const NO_REGIONS: &str = "none";

/// The region of each data centre. A VM whose data centre the map lacks adds its own region.
fn topology(values: &Values) -> Result<Topology, ConfigError> {
    let data_centre: DataCentreName = values.checked("gateway", "data_centre")?;
    let topology: Topology = match values.text("gateway", "data_centres") {
        NO_REGIONS => Topology::default(),
        _ => values.checked("gateway", "data_centres")?,
    };
    match values.text("gateway", "region") {
        NO_REGIONS => Ok(topology),
        _ => Ok(topology.with(data_centre, values.checked("gateway", "region")?)),
    }
}

/// The keys whose quarantine the operator has ended.
fn released_keys(values: &Values) -> Result<KeySet, ConfigError> {
    match values.text("quarantine", "release") {
        NO_RELEASE => Ok(KeySet::default()),
        _ => values.checked("quarantine", "release"),
    }
}

fn call_sharing(value: &str) -> CallSharing {
    match value {
        "on" => CallSharing::On,
        "observed" => CallSharing::Observed,
        "off" => CallSharing::Off,
        // `auto`, the only other value that the setting accepts.
        _ => CallSharing::Auto,
    }
}

fn sharing(value: &str) -> Sharing {
    match value {
        "even" => Sharing::Even,
        "by-demand" => Sharing::ByDemand,
        // `told`, the only other value that the setting accepts.
        _ => Sharing::Told,
    }
}
