//! `bulrushctl quarantine`: what gateways refuse because runners crash on it, from their metrics.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clap::{ArgMatches, Command};

use crate::CtlError;
use crate::metrics::{Sample, gateways_arg, read_metrics};
use crate::show::{OutputFormat, Rows};

const HEADING: [&str; 3] = ["keys", "gateways", "remaining_s"];

/// Metric with one line per set of keys.
const QUARANTINE_METRIC: &str = "bulrush_gateway_quarantine_ms";

pub(crate) fn command() -> Command {
    Command::new("quarantine")
        .about("Show which requests and prompt parts gateways refuse because runners crash on them")
        .long_about(
            "Shows a row for each quarantine, from the metrics of gateways: its keys, of which a request \
             must have all to be refused, the number of gateways that have it, and the time until it \
             ends. To end it now, write the keys to `release` under `[quarantine]` in the settings of \
             all gateways.",
        )
        .after_help("Example: bulrushctl quarantine 10.1.0.35:9464 10.1.0.36:9464")
        .arg(gateways_arg())
}

/// A quarantine at the gateways that have it.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    gateways: u64,
    remaining_ms: u64,
}

/// Reads the metrics of gateways and renders one row per quarantine.
pub(crate) async fn quarantine(
    args: &ArgMatches,
    output: OutputFormat,
) -> Result<String, CtlError> {
    let mut entries: BTreeMap<String, Entry> = BTreeMap::new();
    for gateway in args.get_many::<SocketAddr>("gateway").unwrap_or_default() {
        merge_metrics(&mut entries, &read_metrics(*gateway).await?);
    }
    let row = |(keys, entry): (&String, &Entry)| {
        let remaining_s = entry.remaining_ms.div_ceil(1_000);
        vec![keys.as_str().into(), entry.gateways.into(), remaining_s.into()]
    };
    let rows = entries.iter().map(row).collect();
    Ok(Rows { heading: HEADING.to_vec(), rows }.render(output))
}

/// Merges the metrics of one gateway. A quarantine that has ended there has no time left.
fn merge_metrics(entries: &mut BTreeMap<String, Entry>, metrics: &str) {
    let samples = metrics.lines().filter_map(Sample::parse);
    for sample in samples.filter(|it| it.name == QUARANTINE_METRIC && it.value > 0) {
        let Some(keys) = sample.label("keys") else { continue };
        let entry = entries.entry(keys.to_owned()).or_default();
        entry.gateways += 1;
        entry.remaining_ms = entry.remaining_ms.max(sample.value);
    }
}
