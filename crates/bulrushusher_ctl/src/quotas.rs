//! `bulrushctl quotas`: quota use of client accounts, from gateway metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clap::{ArgMatches, Command};

use crate::CtlError;
use crate::metrics::{Sample, gateways_arg, read_metrics};
use crate::show::{OutputFormat, Rows};

const HEADING: [&str; 5] = ["account", "used", "quota", "worst_window", "refused"];

/// Metric with one line per value and client account.
const ACCOUNT_METRIC: &str = "bulrush_gateway_account";

pub(crate) fn command() -> Command {
    Command::new("quotas")
        .about("Show the quota use of client accounts, from gateway metrics")
        .after_help("Example: bulrushctl quotas 10.1.0.35:9464 10.1.0.36:9464")
        .arg(gateways_arg())
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
        merge_metrics(&mut accounts, &read_metrics(*gateway).await?);
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
    let samples = metrics.lines().filter_map(Sample::parse);
    for sample in samples.filter(|sample| sample.name == ACCOUNT_METRIC) {
        let Some((account, what)) = sample.label("account").zip(sample.label("what")) else {
            continue;
        };
        let value = sample.value;
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
