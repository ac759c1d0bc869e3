//! `bulrushctl gateways`: what gateways know of their runners, and what they refused, from their metrics.

use std::net::SocketAddr;

use clap::{ArgMatches, Command};

use crate::CtlError;
use crate::metrics::{Sample, gateways_arg, read_metrics};
use crate::show::{OutputFormat, Rows};

/// Prefix of the names of all metrics of gateways.
const PREFIX: &str = "bulrush_gateway_";

const HEADING: [&str; 11] = [
    "gateway",
    "runners",
    "list_age_ms",
    "evacuated",
    "cold",
    "limited",
    "leaving",
    "residency_refusals",
    "retries",
    "streams_resumed",
    "streams_refused",
];

pub(crate) fn command() -> Command {
    Command::new("gateways")
        .about("Show what gateways know of their runners, and what they refused")
        .long_about(
            "Shows a row for each gateway, from its metrics: the runners that it lists and the age of \
             the list; how many data centres are evacuated; how many runners are cold, limit their \
             requests, or leave; and since its start the requests refused for residency, the arrivals \
             of requests at runners beyond the first of each, and the callers that continued a stream \
             or could not.",
        )
        .after_help("Example: bulrushctl gateways 10.1.0.35:9464 10.1.0.36:9464")
        .arg(gateways_arg())
}

/// What one gateway exports. A gauge that it does not export is `None`, as it does not apply.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct GatewayState {
    runners: Option<u64>,
    list_age_ms: Option<u64>,
    evacuated: Option<u64>,
    cold: Option<u64>,
    limited: Option<u64>,
    leaving: Option<u64>,
    residency_refusals: u64,
    retries: u64,
    streams_resumed: u64,
    streams_refused: u64,
}

impl GatewayState {
    fn parse(metrics: &str) -> GatewayState {
        let mut state = GatewayState::default();
        metrics.lines().filter_map(Sample::parse).for_each(|sample| state.add(sample));
        state
    }

    fn add(&mut self, sample: Sample<'_>) {
        let value = Some(sample.value);
        match (sample.name.strip_prefix(PREFIX), sample.label("what")) {
            (Some("state"), Some("runners")) => self.runners = value,
            (Some("state"), Some("runner_list_age_ms")) => self.list_age_ms = value,
            (Some("state"), Some("evacuated_data_centres")) => self.evacuated = value,
            (Some("state"), Some("cold_runners")) => self.cold = value,
            (Some("state"), Some("limited_runners")) => self.limited = value,
            (Some("state"), Some("leaving_runners")) => self.leaving = value,
            (Some("residency_refusals_total"), _) => self.residency_refusals += sample.value,
            (Some("retries_total"), _) => self.retries += sample.value,
            (Some("resumed_streams_total"), _) => match sample.label("outcome") {
                Some("unknown_version" | "no_runner") => self.streams_refused += sample.value,
                _ => self.streams_resumed += sample.value,
            },
            _ => {}
        }
    }

    fn row(self, gateway: SocketAddr) -> Vec<serde_json::Value> {
        let gauges =
            [self.runners, self.list_age_ms, self.evacuated, self.cold, self.limited, self.leaving];
        let counters =
            [self.residency_refusals, self.retries, self.streams_resumed, self.streams_refused];
        std::iter::once(gateway.to_string().into())
            .chain(gauges.map(Into::into))
            .chain(counters.map(Into::into))
            .collect()
    }
}

/// Reads the metrics of gateways and renders one row per gateway.
pub(crate) async fn gateways(args: &ArgMatches, output: OutputFormat) -> Result<String, CtlError> {
    let mut rows = Vec::new();
    for gateway in args.get_many::<SocketAddr>("gateway").unwrap_or_default() {
        rows.push(GatewayState::parse(&read_metrics(*gateway).await?).row(*gateway));
    }
    Ok(Rows { heading: HEADING.to_vec(), rows }.render(output))
}
