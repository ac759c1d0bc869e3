//! `bulrushctl losses`: outcomes of requests and their causes, from gateway logs.

use std::path::{Path, PathBuf};

use bulrushusher_losses::{EndCounts, GroupBy, LogReader, Losses, ReadStats, Request, draw_losses};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::CtlError;
use crate::show::{OutputFormat, Rows};

const HEADING: [&str; 9] = [
    "name",
    "attempts",
    "returns",
    "on_time",
    "late",
    "refused",
    "broken_off",
    "failed",
    "given_up",
];

pub(crate) fn command() -> Command {
    let logs = Arg::new("log")
        .required(true)
        .num_args(1..)
        .value_name("LOG")
        .value_parser(value_parser!(PathBuf))
        .help("Standard output of gateways; a file's name stands in for a missing gateway name");
    let by = Arg::new("by")
        .long("by")
        .value_parser(GroupBy::ALL.map(|(name, _)| name))
        .default_value("route")
        .help("Property by which requests are grouped");
    let plot = Arg::new("plot")
        .long("plot")
        .value_name("FILE.svg")
        .value_parser(value_parser!(PathBuf))
        .help("Also plot the outcomes per second as SVG");
    Command::new("losses")
        .about("Count the outcomes of requests and their causes, from gateway logs")
        .args([logs, by, plot])
}

/// Reads the logs and renders the outcomes of their requests.
pub(crate) fn losses(args: &ArgMatches, output: OutputFormat) -> Result<String, CtlError> {
    let mut reader = LogReader::default();
    for file in args.get_many::<PathBuf>("log").unwrap_or_default() {
        let bytes = std::fs::read(file).map_err(|e| file_error(file, &e.to_string()))?;
        reader.read(&file.display().to_string(), &bytes);
    }
    let (requests, stats) = reader.finish();
    if let Some(file) = args.get_one::<PathBuf>("plot") {
        let by_second = Losses::by_group(&requests, GroupBy::Second);
        draw_losses(file, &by_second).map_err(|e| file_error(file, &e.to_string()))?;
    }
    let by = args.get_one::<String>("by").map_or("route", String::as_str);
    let group = GroupBy::ALL.into_iter().find(|(name, _)| *name == by);
    let group = group.map_or(GroupBy::Route, |(_, group)| group);
    let rows = rows(&requests, group).render(output);
    match output {
        OutputFormat::Json => Ok(rows),
        OutputFormat::Table => Ok(format!("{rows}{}", summary(stats))),
    }
}

fn rows(requests: &[Request], group: GroupBy) -> Rows {
    let losses = Losses::by_group(requests, group);
    let total = Losses::total(requests);
    let named = losses.groups.iter().map(|(name, counts)| (name.as_str(), *counts));
    let rows = named.chain([("all", total)]).map(row).collect();
    Rows { heading: HEADING.to_vec(), rows }
}

fn row((name, ends): (&str, EndCounts)) -> Vec<serde_json::Value> {
    let counts = [
        ends.attempts,
        ends.returns,
        ends.on_time,
        ends.late,
        ends.refused,
        ends.broken_off,
        ends.failed,
        ends.given_up + ends.open,
    ];
    std::iter::once(name.into()).chain(counts.map(Into::into)).collect()
}

/// Counts of the lines read, which show whether the table covers the whole log.
fn summary(stats: ReadStats) -> String {
    format!(
        "lines {}, foreign {}, cut {}, left out by gateways {}, requests without their beginning {}\n",
        stats.lines, stats.foreign, stats.truncated, stats.dropped, stats.unknown_requests
    )
}

fn file_error(file: &Path, cause: &str) -> CtlError {
    CtlError::File { file: file.display().to_string(), cause: cause.to_owned() }
}
