//! Reads the metrics of gateways.

use std::net::SocketAddr;
use std::time::Duration;

use bulrushusher_http::{HttpClient, HttpError, RequestParts};
use clap::{Arg, value_parser};

use crate::CtlError;

/// Timeout for reading the metrics of one gateway.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// The argument with the metrics addresses of gateways.
pub(crate) fn gateways_arg() -> Arg {
    Arg::new("gateway")
        .required(true)
        .num_args(1..)
        .value_name("IP:PORT")
        .value_parser(value_parser!(SocketAddr))
        .help("Metrics addresses of gateways")
}

/// Reads the metrics of one gateway as text.
pub(crate) async fn read_metrics(gateway: SocketAddr) -> Result<String, CtlError> {
    let body = Default::default();
    let parts = RequestParts { method: "GET", path: "/metrics", headers: &[], body };
    let reply = HttpClient::new().call(gateway, parts, METRICS_TIMEOUT).await;
    let unavailable = |e: HttpError| CtlError::MetricsUnavailable { gateway, cause: e.to_string() };
    Ok(String::from_utf8_lossy(&reply.map_err(unavailable)?.body).into_owned())
}

/// A line of a metric.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Sample<'a> {
    /// Name of the metric.
    pub name: &'a str,
    labels: &'a str,
    /// Its value, rounded down.
    pub value: u64,
}

impl<'a> Sample<'a> {
    /// Parses a line; `None` for comments and unreadable lines.
    pub(crate) fn parse(line: &'a str) -> Option<Sample<'a>> {
        if line.starts_with('#') {
            return None;
        }
        let (metric, value) = line.rsplit_once(' ')?;
        let value = value.trim().parse::<f64>().ok()? as u64;
        let (name, labels) = metric.split_once('{').unwrap_or((metric, ""));
        Some(Sample { name, labels, value })
    }

    /// The value of a label.
    pub(crate) fn label(&self, name: &str) -> Option<&'a str> {
        let (_, rest) = self.labels.split_once(&format!("{name}=\""))?;
        rest.split_once('"').map(|(value, _)| value)
    }
}
