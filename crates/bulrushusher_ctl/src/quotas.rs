//! `bulrushctl quotas`: what client accounts used of their quotas, from gateways' metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bulrushusher_http::{HttpClient, HttpError, RequestParts};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::CtlError;
use crate::show::{Output, Rows};

const HEADING: [&str; 5] = ["account", "used", "quota", "worst_window", "refused"];

/// Longest wait for a gateway's metrics.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The metric of which one line tells one figure of one account.
const METRIC: &str = "bulrush_gateway_account{";

pub(crate) fn command() -> Command {
    let gateways = Arg::new("gateway")
        .required(true)
        .num_args(1..)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("Metrics addresses of gateways");
    Command::new("quotas")
        .about("What client accounts used of their quotas, from gateways' metrics")
        .after_help("Example: bulrushctl quotas 10.1.0.35:9464 10.1.0.36:9464")
        .arg(gateways)
}

/// What one account used: the most that a gateway tells of use at all of them, and what each refused.
#[derive(Clone, Copy, Debug, Default)]
struct Use {
    used: u64,
    quota: u64,
    worst_window: u64,
    refused: u64,
}

/// Reads the metrics of gateways and shows the accounts.
pub(crate) async fn quotas(args: &ArgMatches, output: Output) -> Result<String, CtlError> {
    let mut accounts: BTreeMap<String, Use> = BTreeMap::new();
    for gateway in args.get_many::<SocketAddr>("gateway").unwrap_or_default() {
        let parts = RequestParts {
            method: "GET",
            path: "/metrics",
            headers: &[],
            body: Default::default(),
        };
        let reply = HttpClient::new().call(*gateway, parts, TIMEOUT).await;
        let no_metrics =
            |e: HttpError| CtlError::NoMetrics { gateway: *gateway, cause: e.to_string() };
        let reply = reply.map_err(no_metrics)?;
        add(&mut accounts, &String::from_utf8_lossy(&reply.body));
    }
    let row = |(name, it): (&String, &Use)| {
        let figures = [it.used, it.quota, it.worst_window, it.refused].map(Into::into);
        std::iter::once(name.as_str().into()).chain(figures).collect()
    };
    let rows = accounts.iter().map(row).collect();
    Ok(Rows { heading: HEADING.to_vec(), rows }.show(output))
}

/// Adds what one gateway's metrics tell.
fn add(accounts: &mut BTreeMap<String, Use>, metrics: &str) {
    for (account, what, value) in metrics.lines().filter_map(figure) {
        let known = accounts.entry(account.to_owned()).or_default();
        match what {
            "used" => known.used = known.used.max(value),
            "quota" => known.quota = known.quota.max(value),
            "worst_window" => known.worst_window = known.worst_window.max(value),
            "refused" => known.refused += value,
            _ => {}
        }
    }
}

/// Account, figure and value of a line; `None` for other metrics.
fn figure(line: &str) -> Option<(&str, &str, u64)> {
    let (labels, value) = line.strip_prefix(METRIC)?.split_once("} ")?;
    let label = |name: &str| {
        let (_, rest) = labels.split_once(&format!("{name}=\""))?;
        rest.split_once('"').map(|(value, _)| value)
    };
    Some((label("account")?, label("what")?, value.trim().parse::<f64>().ok()? as u64))
}
