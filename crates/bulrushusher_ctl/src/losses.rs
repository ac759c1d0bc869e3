//! `bulrushctl losses`: what happened to each request of a run, and why, from gateways' logs.

use std::path::{Path, PathBuf};

use bulrushusher_losses::{Group, Losses, Reader, Request, Seen, Sums, draw};
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::CtlError;
use crate::show::{Output, Rows};

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
        .help("Standard output of gateways; a file's name stands for a gateway's where its lines name none");
    let by = Arg::new("by")
        .long("by")
        .value_parser(Group::ALL.map(|(word, _)| word))
        .default_value("route")
        .help("What the requests are summed by");
    let plot = Arg::new("plot")
        .long("plot")
        .value_name("FILE.svg")
        .value_parser(value_parser!(PathBuf))
        .help("Also draw what happened by the second");
    Command::new("losses")
        .about("What happened to each request of a run, and why, from gateways' logs")
        .args([logs, by, plot])
}

/// Reads the logs and shows their losses.
pub(crate) fn losses(args: &ArgMatches, output: Output) -> Result<String, CtlError> {
    let mut reader = Reader::default();
    for file in args.get_many::<PathBuf>("log").unwrap_or_default() {
        let bytes = std::fs::read(file).map_err(|e| unusable(file, &e.to_string()))?;
        reader.read(&file.display().to_string(), &bytes);
    }
    let (requests, seen) = reader.finish();
    if let Some(file) = args.get_one::<PathBuf>("plot") {
        let by_second = Losses::of(&requests, Group::Second);
        draw(file, &by_second).map_err(|e| unusable(file, &e.to_string()))?;
    }
    let word = args.get_one::<String>("by").map_or("route", String::as_str);
    let group = Group::ALL.into_iter().find(|(name, _)| *name == word);
    let group = group.map_or(Group::Route, |(_, group)| group);
    let rows = rows(&requests, group).show(output);
    match output {
        Output::Json => Ok(rows),
        Output::Table => Ok(format!("{rows}{}", told(seen))),
    }
}

fn rows(requests: &[Request], group: Group) -> Rows {
    let losses = Losses::of(requests, group);
    let total = Losses::total(requests);
    let named = losses.groups.iter().map(|(name, sums)| (name.as_str(), *sums));
    let rows = named.chain([("all", total)]).map(row).collect();
    Rows { heading: HEADING.to_vec(), rows }
}

fn row((name, sums): (&str, Sums)) -> Vec<serde_json::Value> {
    let counts = [
        sums.attempts,
        sums.returns,
        sums.on_time,
        sums.late,
        sums.refused,
        sums.broken_off,
        sums.failed,
        sums.given_up + sums.open,
    ];
    std::iter::once(name.into()).chain(counts.map(Into::into)).collect()
}

/// What was read, so that nobody takes a part for the whole.
fn told(seen: Seen) -> String {
    format!(
        "lines {}, foreign {}, cut {}, left out by gateways {}, requests without their beginning {}\n",
        seen.lines, seen.foreign, seen.cut, seen.left_out, seen.unknown_requests
    )
}

fn unusable(file: &Path, cause: &str) -> CtlError {
    CtlError::File { file: file.display().to_string(), cause: cause.to_owned() }
}
