//! Settings and configuration of the entry.

use std::net::SocketAddr;

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_routing::{PairingConfig, Policy, RetryConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, EntryName};

const POLICIES: &[&str] = &["round-robin", "least-loaded", "prefill-first", "paired"];

const SETTINGS: &[Setting] = &[
    setting("entry", "name", Kind::Text, None, "Name of this entry, unique in the deployment."),
    setting("entry", "data_centre", Kind::Text, None, "Data centre of this entry."),
    setting("entry", "callers", Kind::Address, None, "Listen address of the callers' HTTP API."),
    setting("entry", "operators", Kind::Address, None, "Listen address of the operators' RPC."),
    setting("entry", "store", Kind::Address, None, "Address of the platform's store."),
    setting(
        "entry",
        "max_body_bytes",
        Kind::Count(1_024, 268_435_456),
        Some("8388608"),
        "Maximum size of a request body, in bytes.",
    ),
    setting(
        "entry",
        "max_in_flight",
        Kind::Count(1, 1_000_000),
        Some("20000"),
        "Maximum requests in flight; further ones are refused.",
    ),
    setting(
        "entry",
        "drain_ms",
        Kind::Millis(0, 3_600_000),
        Some("120000"),
        "How long a graceful shutdown waits for requests in flight.",
    ),
    setting("routing", "policy", Kind::Choice(POLICIES), Some("paired"), "Routing policy."),
    setting("routing", "choices", Kind::Count(1, 64), Some("4"), "Runners sampled per decision."),
    setting(
        "routing",
        "hint_half_life_ms",
        Kind::Millis(10, 60_000),
        Some("2000"),
        "Half-life of a load report of a runner.",
    ),
    setting(
        "routing",
        "affinity_slack",
        Kind::Real(0.0, 100.0),
        Some("0.5"),
        "Extra load per slot at which a runner that has the prefix cached is still preferred.",
    ),
    setting(
        "routing",
        "seed",
        Kind::Count(0, 4_294_967_295),
        Some("1"),
        "Seed of the random sampling.",
    ),
    setting(
        "limits",
        "entries",
        Kind::Count(1, 100_000),
        Some("1"),
        "Entries that share the callers' traffic; each grants an equal part of an account's quota.",
    ),
    setting(
        "retries",
        "per_request",
        Kind::Real(0.0, 10.0),
        Some("0.2"),
        "Retries that each request adds to the budget of its window.",
    ),
    setting(
        "streams",
        "silent_ms",
        Kind::Millis(50, 60_000),
        Some("1500"),
        "Time without data from an agent after which its connections are replaced.",
    ),
    setting(
        "streams",
        "resume_ms",
        Kind::Millis(100, 600_000),
        Some("8000"),
        "How long the entry retries to resume a broken stream before the run counts as lost.",
    ),
    setting(
        "records",
        "horizon_ms",
        Kind::Millis(1_000, 86_400_000),
        Some("600000"),
        "How long callers may retry a key; must equal the agents' setting.",
    ),
    setting(
        "records",
        "skew_ms",
        Kind::Millis(0, 60_000),
        Some("500"),
        "Maximum clock skew between two processes; must equal the agents' setting.",
    ),
];

/// The entry's command line.
pub const PROGRAM: Program = Program {
    name: "bulrush-entry",
    about: "Serves the callers' API and the operators' RPC, and routes requests to runners",
    settings: SETTINGS,
};

/// Configuration of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Name of this entry, unique in the deployment.
    pub name: EntryName,
    /// Data centre of this entry.
    pub data_centre: DataCentreName,
    /// Listen address of the callers' HTTP API.
    pub callers: SocketAddr,
    /// Listen address of the operators' RPC.
    pub operators: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum requests in flight; further ones are refused.
    pub max_in_flight: usize,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain_timeout: Millis,
    /// Routing policy and its parameters.
    pub pairing: PairingConfig,
    /// How the entries share the quotas of client accounts.
    pub quotas: QuotaConfig,
    /// Limits of the retry budget.
    pub retries: RetryConfig,
    /// Time without data from an agent after which its connections are replaced.
    pub idle_timeout: Millis,
    /// How long the entry retries to resume a broken stream before the run counts as lost.
    pub resume_timeout: Millis,
    /// How long callers may retry an idempotency key.
    pub horizon: Millis,
    /// Maximum clock skew between two processes.
    pub skew: Millis,
}

impl EntryConfig {
    /// Creates the configuration from validated settings.
    ///
    /// # Errors
    /// [`ConfigError::BadValue`] if a name is malformed.
    pub fn from_values(values: &Values) -> Result<EntryConfig, ConfigError> {
        let policy: Policy = values.checked("routing", "policy")?;
        Ok(EntryConfig {
            name: values.checked("entry", "name")?,
            data_centre: values.checked("entry", "data_centre")?,
            callers: values.address("entry", "callers"),
            operators: values.address("entry", "operators"),
            store: values.address("entry", "store"),
            max_body_bytes: values.count("entry", "max_body_bytes"),
            max_in_flight: values.count("entry", "max_in_flight"),
            drain_timeout: values.millis("entry", "drain_ms"),
            pairing: PairingConfig {
                policy,
                choices: values.count("routing", "choices"),
                hint_half_life: values.millis("routing", "hint_half_life_ms"),
                affinity_slack: values.real("routing", "affinity_slack"),
                seed: values.count("routing", "seed") as u64,
                ..PairingConfig::default()
            },
            quotas: split_evenly(values.count("limits", "entries") as u32),
            retries: RetryConfig {
                per_request: values.real("retries", "per_request"),
                ..RetryConfig::default()
            },
            idle_timeout: values.millis("streams", "silent_ms"),
            resume_timeout: values.millis("streams", "resume_ms"),
            horizon: values.millis("records", "horizon_ms"),
            skew: values.millis("records", "skew_ms"),
        })
    }
}

/// Client accounts that one entry tracks; above the number that the router is designed for.
const MAX_ACCOUNTS: usize = 20_000;

/// Quota configuration for a fixed number of `entries`: each grants an equal part of every quota,
/// without overage and without usage reports.
pub fn split_evenly(entries: u32) -> QuotaConfig {
    QuotaConfig {
        sharing: Sharing::Fixed(entries),
        overage: 0.0,
        max_accounts: MAX_ACCOUNTS,
        ..QuotaConfig::default()
    }
}
