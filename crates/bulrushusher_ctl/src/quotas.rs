//! `bulrushctl quotas`: quota use of client accounts, from gateway metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushusher_http::{HttpClient, HttpError, RequestParts};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::CtlError;
use crate::show::{OutputFormat, Rows};

const HEADING: [&str; 5] = ["account", "used", "quota", "worst_window", "refused"];

/// Timeout for reading the metrics of one gateway.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Prefix of the metric with one line per value and client account.
const ACCOUNT_METRIC_PREFIX: &str = "bulrush_gateway_account{";

pub(crate) fn command() -> Command {
    let gateways = Arg::new("gateway")
        .required(true)
        .num_args(1..)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("Metrics addresses of gateways");
    Command::new("quotas")
        .about("Show the quota use of client accounts, from gateway metrics")
        .after_help("Example: bulrushctl quotas 10.1.0.35:9464 10.1.0.36:9464")
        .arg(gateways)
}

/// Quota use of one client account. Each gateway exports its estimate of the use at all gateways,
/// so these values are merged by maximum. Refusals are local to a gateway and are added up.
#[derive(Clone, Copy, Debug, Default)]
struct AccountUse {
    used: u64,
    quota: u64,
    worst_window: u64,
    refused: u64,
}

/// Reads the metrics of gateways and renders one row per client account.
pub(crate) async fn quotas(args: &ArgMatches, output: OutputFormat) -> Result<String, CtlError> {
    let mut accounts: BTreeMap<String, AccountUse> = BTreeMap::new();
    for gateway in args.get_many::<SocketAddr>("gateway").unwrap_or_default() {
        let parts = RequestParts {
            method: "GET",
            path: "/metrics",
            headers: &[],
            body: Default::default(),
        };
        let reply = HttpClient::new().call(*gateway, parts, METRICS_TIMEOUT).await;
        let unavailable =
            |e: HttpError| CtlError::MetricsUnavailable { gateway: *gateway, cause: e.to_string() };
        let reply = reply.map_err(unavailable)?;
        merge_metrics(&mut accounts, &String::from_utf8_lossy(&reply.body));
    }
    let row = |(name, account): (&String, &AccountUse)| {
        let values = [account.used, account.quota, account.worst_window, account.refused];
        std::iter::once(name.as_str().into()).chain(values.map(Into::into)).collect()
    };
    let rows = accounts.iter().map(row).collect();
    Ok(Rows { heading: HEADING.to_vec(), rows }.render(output))
}

/// Merges the metrics of one gateway into `accounts`.
fn merge_metrics(accounts: &mut BTreeMap<String, AccountUse>, metrics: &str) {
    for (account, what, value) in metrics.lines().filter_map(parse_metric) {
        let total = accounts.entry(account.to_owned()).or_default();
        match what {
            "used" => total.used = total.used.max(value),
            "quota" => total.quota = total.quota.max(value),
            "worst_window" => total.worst_window = total.worst_window.max(value),
            "refused" => total.refused += value,
            _ => {}
        }
    }
}

/// Parses account, label `what` and value of a line; `None` for other metrics.
fn parse_metric(line: &str) -> Option<(&str, &str, u64)> {
    let (labels, value) = line.strip_prefix(ACCOUNT_METRIC_PREFIX)?.split_once("} ")?;
    let label = |name: &str| {
        let (_, rest) = labels.split_once(&format!("{name}=\""))?;
        rest.split_once('"').map(|(value, _)| value)
    };
    Some((label("account")?, label("what")?, value.trim().parse::<f64>().ok()? as u64))
}
