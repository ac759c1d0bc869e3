//! Settings of the gateway.

use std::net::SocketAddr;

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_forward::{
    ForecastConfig, GatewayDirectoryConfig, HoldConfig, LoadConfig, QueueOrder, RetryAfterConfig,
    RunnerDirectoryConfig, ShutdownConfig, StagesConfig, WaitQueueConfig,
};
use bulrushusher_routing::{QuarantineConfig, RetryConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, VmName};

/// The gateway's program.
pub const PROGRAM: Program = Program {
    name: "bulrush-gateway",
    about: "Forwards callers' requests to runners that check who they are",
    settings: SETTINGS,
};

const SETTINGS: &[Setting] = &[
    setting("gateway", "name", Kind::Text, None, "Name of the VM, unique in the deployment."),
    setting("gateway", "data_centre", Kind::Text, None, "Data centre it stands in."),
    setting("gateway", "callers", Kind::Address, None, "Where callers' HTTP is taken."),
    setting("gateway", "ready", Kind::Address, None, "Where the balancer asks for readiness."),
    setting("gateway", "peers", Kind::Address, None, "Where other gateways' reports are heard."),
    setting("gateway", "metrics", Kind::Address, None, "Where metrics are served as text."),
    setting("gateway", "store", Kind::Address, None, "Address of the platform's store."),
    setting(
        "gateway",
        "max_connections",
        Kind::Count(16, 100_000),
        Some("3000"),
        "Callers' connections at once; what comes beyond is closed.",
    ),
    setting(
        "gateway",
        "max_buffered_bytes",
        Kind::Count(65_536, 1 << 32),
        Some("33554432"),
        "Bytes of request bodies in memory at once; requests beyond are refused as not run.",
    ),
    setting(
        "gateway",
        "log_lines_per_second",
        Kind::Count(1, 100_000),
        Some("400"),
        "Log lines a second; what comes beyond is counted and left out.",
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
        "shutdown_grace_s",
        Kind::Real(0.5, 3_600.0),
        Some("8"),
        "Seconds between the signal to stop and the kill.",
    ),
    setting(
        "bounds",
        "retry_share",
        Kind::Real(0.0, 1.0),
        Some("0.2"),
        "Repeats allowed for each request, over all gateways.",
    ),
    setting(
        "bounds",
        "retry_burst",
        Kind::Real(0.0, 1_000_000.0),
        Some("50"),
        "Repeats allowed beyond that share, over all gateways.",
    ),
    setting(
        "bounds",
        "order_spacing_ms",
        Kind::Millis(300, 600_000),
        Some("3000"),
        "Time that must pass between orders of two holders of a duty.",
    ),
    setting(
        "bounds",
        "keys_revoked_ms",
        Kind::Millis(500, 600_000),
        Some("5000"),
        "Time within which a key that was taken away must be refused, also without the store.",
    ),
    setting(
        "quota",
        "window_s",
        Kind::Real(0.1, 3_600.0),
        Some("8"),
        "Seconds: any span of this length is held to an account's quota.",
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
        "How gateways share a quota: they tell what they used, or have parts by demand, or even ones.",
    ),
    setting(
        "waiting",
        "order",
        Kind::Choice(&["account", "arrival"]),
        Some("account"),
        "Who goes first among requests of one rank: client accounts by turns, or whoever came first.",
    ),
    setting(
        "waiting",
        "target_share",
        Kind::Real(0.0, 10.0),
        Some("0.5"),
        "Share of its response-time target that a generation waits for memory before it is refused.",
    ),
    setting(
        "waiting",
        "late_wait_ms",
        Kind::Millis(0, 60_000),
        Some("2500"),
        "How long a generation waits for memory whose target is past.",
    ),
    setting(
        "waiting",
        "return_after_ms",
        Kind::Millis(0, 600_000),
        Some("4000"),
        "When a refused generation is told to come back: after a burst, not into it.",
    ),
    setting(
        "waiting",
        "return_spread",
        Kind::Real(0.0, 1.0),
        Some("0.2"),
        "Share of that time over which returns are spread.",
    ),
    setting(
        "gateways",
        "gone_after_s",
        Kind::Real(1.0, 604_800.0),
        Some("300"),
        "Silence in seconds after which a gateway's announcement is removed from the store.",
    ),
    setting(
        "quarantine",
        "crashes",
        Kind::Count(1, 100),
        Some("2"),
        "Runners in a row that end on a request before it is run no more.",
    ),
    setting(
        "quarantine",
        "lasts_s",
        Kind::Real(0.0, 604_800.0),
        Some("3600"),
        "Seconds for which such a request is refused; 0 runs all requests, at once.",
    ),
    setting(
        "holds",
        "per_expected_output",
        Kind::Real(0.0, 100.0),
        Some("0.0"),
        "Output tokens held for each one that the caller expects.",
    ),
    setting(
        "forecast",
        "caution",
        Kind::Real(0.0, 10.0),
        Some("2.5"),
        "Standard deviations above the mean need of a decode runner's runs that must fit.",
    ),
    setting(
        "forecast",
        "caution_with_moves",
        Kind::Real(0.0, 10.0),
        Some("1.5"),
        "The same where runs can move to another runner before memory runs out.",
    ),
    setting(
        "forecast",
        "fill",
        Kind::Real(0.1, 1.0),
        Some("0.92"),
        "Share of a decode runner's memory that may be forecast to be used.",
    ),
    setting(
        "stages",
        "prefill_share",
        Kind::Real(0.0, 0.9),
        Some("0.1"),
        "Share of a service's model runners that prompts keep busy; 0 leaves stages as they are.",
    ),
    setting(
        "stages",
        "prefill_margin",
        Kind::Real(0.0, 10.0),
        Some("0.48"),
        "Model runners beyond that share that read prompts, in square roots of their number.",
    ),
];

/// The gateway's configuration.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// Name of the VM.
    pub name: VmName,
    /// Data centre it stands in.
    pub data_centre: DataCentreName,
    /// Where callers' HTTP is taken.
    pub callers: SocketAddr,
    /// Where the balancer asks for readiness.
    pub ready: SocketAddr,
    /// Where other gateways' reports are heard.
    pub peers: SocketAddr,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Callers' connections at once.
    pub max_connections: usize,
    /// Bytes of request bodies in memory at once.
    pub max_buffered_bytes: usize,
    /// Log lines a second.
    pub log_lines_per_second: usize,
    /// Time within which a configuration must be in force.
    pub configuration_in_force: Millis,
    /// Time within which a key that was taken away must be refused.
    pub keys_revoked: Millis,
    /// How strictly quotas of client accounts are kept.
    pub quotas: QuotaConfig,
    /// Least time between orders of two holders of a duty.
    pub lease: Millis,
    /// Retry budget of each service; what may be saved up is shared by all gateways.
    pub retries: RetryConfig,
    /// Bounds of a graceful shutdown.
    pub shutdown: ShutdownConfig,
    /// How long generations wait for memory.
    pub waiting: WaitQueueConfig,
    /// When refused generations come back.
    pub return_after: Millis,
    /// Share of that time over which they are spread.
    pub return_spread: f64,
    /// When a request that crashes runners is run no more.
    pub quarantine: QuarantineConfig,
    /// When other gateways count as gone.
    pub gateways: GatewayDirectoryConfig,
    /// How much memory is held.
    pub holds: HoldConfig,
    /// How cautious forecasts of memory are.
    pub forecast: ForecastConfig,
    /// The caution where runs can move to another runner.
    pub caution_with_moves: f64,
    /// The wanted ratio of prefill and decode runners.
    pub stages: StagesConfig,
    /// How results at runners are weighed.
    pub loads: LoadConfig,
    /// Bounds of the knowledge of runners.
    pub members: RunnerDirectoryConfig,
}

/// Part of the allowed share of repeats that gateways spend: windows slide, and requests of the
/// last window count only as long as they are in it.
const RETRY_SHARE_USED: f64 = 0.75;

/// A balancer asks once a second and takes a VM out after two misses; half a second is for the
/// connections that are on their way then.
const ACCEPT_AFTER_SIGNAL: Millis = Millis(2_500);

/// Between the last request's expected end and the kill: a tenth or so of the usual grace.
const SHUTDOWN_MARGIN: Millis = Millis(900);

impl GatewayConfig {
    /// When refused generations come back.
    pub(crate) fn returns(&self) -> RetryAfterConfig {
        RetryAfterConfig { delay: self.return_after, spread: self.return_spread }
    }

    /// Makes the configuration of checked values.
    ///
    /// # Errors
    /// [`ConfigError`] names the setting and what to give instead.
    pub fn from_values(values: &Values) -> Result<GatewayConfig, ConfigError> {
        let grace = Millis((values.real("bounds", "shutdown_grace_s") * 1_000.0) as u64);
        Ok(GatewayConfig {
            name: values.checked("gateway", "name")?,
            data_centre: values.checked("gateway", "data_centre")?,
            callers: values.address("gateway", "callers"),
            ready: values.address("gateway", "ready"),
            peers: values.address("gateway", "peers"),
            metrics: values.address("gateway", "metrics"),
            store: values.address("gateway", "store"),
            max_connections: values.count("gateway", "max_connections"),
            max_buffered_bytes: values.count("gateway", "max_buffered_bytes"),
            log_lines_per_second: values.count("gateway", "log_lines_per_second"),
            configuration_in_force: values.millis("bounds", "configuration_in_force_ms"),
            keys_revoked: values.millis("bounds", "keys_revoked_ms"),
            quotas: QuotaConfig {
                sharing: sharing(values.text("quota", "sharing")),
                window: Millis((values.real("quota", "window_s") * 1_000.0) as u64),
                overage: values.real("quota", "overage"),
                slack: values.real("quota", "slack"),
                ..QuotaConfig::default()
            },
            lease: values.millis("bounds", "order_spacing_ms"),
            retries: RetryConfig {
                per_request: values.real("bounds", "retry_share") * RETRY_SHARE_USED,
                max_saved: values.real("bounds", "retry_burst"),
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
            return_after: values.millis("waiting", "return_after_ms"),
            return_spread: values.real("waiting", "return_spread"),
            quarantine: QuarantineConfig {
                crash_threshold: values.count("quarantine", "crashes") as u32,
                duration: Millis((values.real("quarantine", "lasts_s") * 1_000.0) as u64),
                ..QuarantineConfig::default()
            },
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
            stages: StagesConfig {
                prefill_share: values.real("stages", "prefill_share"),
                prefill_margin: values.real("stages", "prefill_margin"),
                ..StagesConfig::default()
            },
            loads: LoadConfig::default(),
            members: RunnerDirectoryConfig::default(),
        })
    }
}

fn sharing(word: &str) -> Sharing {
    match word {
        "even" => Sharing::Even,
        "by-demand" => Sharing::ByDemand,
        // The only other word that the setting takes.
        _ => Sharing::Told,
    }
}
