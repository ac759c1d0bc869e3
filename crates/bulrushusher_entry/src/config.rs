//! Settings of the entry.

use std::net::SocketAddr;

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_config::{ConfigError, Kind, Program, Setting, Values, setting};
use bulrushusher_routing::{PairingConfig, Policy, RetryConfig};
use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, EntryName};

const POLICIES: &[&str] = &["round-robin", "least-loaded", "prefill-first", "paired"];

const SETTINGS: &[Setting] = &[
    setting("entry", "name", Kind::Text, None, "Name of this entry, unique in the deployment."),
    setting("entry", "data_centre", Kind::Text, None, "Data centre it stands in."),
    setting("entry", "callers", Kind::Address, None, "Where callers' HTTP is taken."),
    setting("entry", "operators", Kind::Address, None, "Where operators' RPC is taken."),
    setting("entry", "store", Kind::Address, None, "Address of the platform's store."),
    setting(
        "entry",
        "max_body_bytes",
        Kind::Count(1_024, 268_435_456),
        Some("8388608"),
        "Largest body of a request.",
    ),
    setting(
        "entry",
        "max_in_flight",
        Kind::Count(1, 1_000_000),
        Some("20000"),
        "Requests in flight at once; more are refused.",
    ),
    setting(
        "entry",
        "drain_ms",
        Kind::Millis(0, 3_600_000),
        Some("120000"),
        "How long a graceful shutdown waits for what is in flight.",
    ),
    setting("routing", "policy", Kind::Choice(POLICIES), Some("paired"), "How runners are chosen."),
    setting("routing", "choices", Kind::Count(1, 64), Some("4"), "Runners looked at per choice."),
    setting(
        "routing",
        "hint_half_life_ms",
        Kind::Millis(10, 60_000),
        Some("2000"),
        "Half-life of what was heard of a runner's load.",
    ),
    setting(
        "routing",
        "affinity_slack",
        Kind::Real(0.0, 100.0),
        Some("0.5"),
        "Extra load per place at which a runner with the prefix cached is still taken.",
    ),
    setting("routing", "seed", Kind::Count(0, 4_294_967_295), Some("1"), "Seed of the choices."),
    setting(
        "limits",
        "entries",
        Kind::Count(1, 100_000),
        Some("1"),
        "Entries that callers are spread over; each grants its share of an account's limit.",
    ),
    setting(
        "retries",
        "per_request",
        Kind::Real(0.0, 10.0),
        Some("0.2"),
        "Retries earned by each first attempt.",
    ),
    setting(
        "streams",
        "silent_ms",
        Kind::Millis(50, 60_000),
        Some("1500"),
        "Silence of an agent after which the connection is replaced.",
    ),
    setting(
        "streams",
        "resume_ms",
        Kind::Millis(100, 600_000),
        Some("8000"),
        "How long a lost stream is asked for again before the run is given up as lost.",
    ),
    setting(
        "records",
        "horizon_ms",
        Kind::Millis(1_000, 86_400_000),
        Some("600000"),
        "How long callers may retry a key; the same as the agents'.",
    ),
    setting(
        "records",
        "skew_ms",
        Kind::Millis(0, 60_000),
        Some("500"),
        "Largest difference between two clocks; the same as the agents'.",
    ),
];

/// The entry's command line.
pub const PROGRAM: Program = Program {
    name: "bulrush-entry",
    about: "Takes callers' requests and operators' calls, and chooses runners",
    settings: SETTINGS,
};

/// Checked settings of an entry.
#[derive(Clone, Debug)]
pub struct EntryConfig {
    /// Name of this entry.
    pub name: EntryName,
    /// Data centre it stands in.
    pub data_centre: DataCentreName,
    /// Where callers' HTTP is taken.
    pub callers: SocketAddr,
    /// Where operators' RPC is taken.
    pub operators: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Requests in flight at once.
    pub max_in_flight: usize,
    /// How long a graceful shutdown waits for what is in flight.
    pub drain_timeout: Millis,
    /// How runners are chosen.
    pub pairing: PairingConfig,
    /// How accounts' quotas are split.
    pub quotas: QuotaConfig,
    /// How many retries there may be.
    pub retries: RetryConfig,
    /// Silence of an agent after which the connection is replaced.
    pub idle_timeout: Millis,
    /// How long a lost stream is asked for again.
    pub resume_timeout: Millis,
    /// How long callers may retry a key.
    pub horizon: Millis,
    /// Largest difference between two clocks.
    pub skew: Millis,
}

impl EntryConfig {
    /// Makes the configuration of checked settings.
    ///
    /// # Errors
    /// [`ConfigError::BadValue`] for a malformed name.
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

/// Accounts that one entry tracks; more than there are to design for.
const MOST_ACCOUNTS: usize = 20_000;

/// Quotas of which each of so many entries grants its part, to the unit.
pub fn split_evenly(entries: u32) -> QuotaConfig {
    QuotaConfig {
        sharing: Sharing::Fixed(entries),
        overage: 0.0,
        max_accounts: MOST_ACCOUNTS,
        ..QuotaConfig::default()
    }
}
