//! Renders replies as tables or JSON.

use bulrushusher_operator::v1;
use comfy_table::{Table, presets};
use serde_json::{Value, json};

/// Format of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OutputFormat {
    Table,
    Json,
}

/// A table with the names of its columns.
pub(crate) struct Rows {
    pub(crate) heading: Vec<&'static str>,
    pub(crate) rows: Vec<Vec<Value>>,
}

impl Rows {
    /// Renders the rows: as a table, or as a JSON array of objects keyed by the columns.
    pub(crate) fn render(&self, output: OutputFormat) -> String {
        match output {
            OutputFormat::Json => {
                let object = |row: &Vec<Value>| -> Value {
                    let pairs = self.heading.iter().map(|h| (*h).to_owned()).zip(row.clone());
                    Value::Object(pairs.collect())
                };
                let all: Vec<Value> = self.rows.iter().map(object).collect();
                format!("{}\n", Value::Array(all))
            }
            OutputFormat::Table => {
                let mut table = Table::new();
                table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
                table.set_header(&self.heading);
                for row in &self.rows {
                    table.add_row(row.iter().map(cell));
                }
                format!("{table}\n")
            }
        }
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}

pub(crate) fn closings(closings: &[v1::Closing]) -> Rows {
    let row = |c: &v1::Closing| {
        let classes: Vec<String> = c
            .classes
            .iter()
            .map(|class| {
                format!(
                    "{} ({}, {}, TTFT {} ms, {} ms a token)",
                    class.name, class.patience, class.repeat, class.ttft_ms, class.per_token_ms
                )
            })
            .collect();
        vec![
            json!(c.name),
            json!(c.version),
            json!(c.starts_unix_ms),
            json!(c.ends_unix_ms),
            json!(c.services),
            json!(classes),
            json!(c.goodput_weight),
            json!(c.waste_weight),
        ]
    };
    Rows {
        heading: vec![
            "name",
            "version",
            "starts_unix_ms",
            "ends_unix_ms",
            "services",
            "classes",
            "goodput_weight",
            "waste_weight",
        ],
        rows: closings.iter().map(row).collect(),
    }
}

pub(crate) fn endpoints(endpoints: &[v1::Endpoint]) -> Rows {
    let row = |e: &v1::Endpoint| {
        vec![
            json!(e.name),
            json!(e.version),
            json!(e.service),
            json!(e.role),
            json!(e.data_centre),
            json!(e.control),
            json!(e.stream),
            json!(e.leaving),
        ]
    };
    Rows {
        heading: vec![
            "name",
            "version",
            "service",
            "role",
            "data_centre",
            "control",
            "stream",
            "leaving",
        ],
        rows: endpoints.iter().map(row).collect(),
    }
}

pub(crate) fn accounts(accounts: &[v1::Account]) -> Rows {
    let row = |a: &v1::Account| {
        vec![json!(a.name), json!(a.version), json!(a.requests_per_second), json!(a.burst)]
    };
    Rows {
        heading: vec!["name", "version", "requests_per_second", "burst"],
        rows: accounts.iter().map(row).collect(),
    }
}

pub(crate) fn status(status: &v1::StatusReply) -> Rows {
    let row = |e: &v1::EndpointStatus| {
        // An entry that has no load report of an endpoint sends `u64::MAX`.
        let report_age_ms = (e.heard_ms_ago != u64::MAX).then_some(e.heard_ms_ago);
        vec![
            json!(e.name),
            json!(e.leaving),
            json!(e.used),
            json!(e.places),
            json!(e.waiting),
            json!(report_age_ms),
        ]
    };
    Rows {
        heading: vec!["endpoint", "leaving", "used", "places", "waiting", "heard_ms_ago"],
        rows: status.endpoints.iter().map(row).collect(),
    }
}

pub(crate) fn put(kind: &str, name: &str, reply: v1::PutReply) -> Rows {
    Rows {
        heading: vec!["kind", "name", "version", "revision"],
        rows: vec![vec![json!(kind), json!(name), json!(reply.version), json!(reply.revision)]],
    }
}
