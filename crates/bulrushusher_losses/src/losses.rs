//! Counts of outcomes over groups of requests.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::{End, Request};

/// How requests are grouped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum GroupBy {
    /// By route.
    #[display("route")]
    Route,
    /// By second of arrival, relative to the first request.
    #[display("second")]
    Second,
    /// By the last runner that the request was sent to.
    #[display("runner")]
    Runner,
    /// By data centre of the gateway.
    #[display("data-centre")]
    DataCentre,
    /// By size of the prompt, relative to the prompts of the same route.
    #[display("size")]
    Size,
    /// By route and outcome with its cause.
    #[display("cause")]
    Cause,
}

impl GroupBy {
    /// All groupings, with the name of each on the command line.
    pub const ALL: [(&str, GroupBy); 6] = [
        ("route", GroupBy::Route),
        ("second", GroupBy::Second),
        ("runner", GroupBy::Runner),
        ("data-centre", GroupBy::DataCentre),
        ("size", GroupBy::Size),
        ("cause", GroupBy::Cause),
    ];
}

/// Number of requests by kind of outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// All requests, with callers' retries counted separately.
    pub attempts: u64,
    /// Retries of callers after a refusal, as far as gateways recognised them.
    pub returns: u64,
    /// Complete and on time.
    pub on_time: u64,
    /// Complete, but late.
    pub late: u64,
    /// Refused without being run.
    pub refused: u64,
    /// Incomplete, or ended without a response.
    pub broken_off: u64,
    /// The runner returned an error, which was forwarded.
    pub failed: u64,
    /// The caller disconnected.
    pub given_up: u64,
    /// The log contains no end.
    pub open: u64,
}

impl EndCounts {
    fn add(&mut self, request: &Request) {
        self.attempts += 1;
        self.returns += u64::from(request.is_caller_retry());
        let count = match request.end() {
            End::OnTime => &mut self.on_time,
            End::Late(_) => &mut self.late,
            End::Refused(_) => &mut self.refused,
            End::Broken(_) => &mut self.broken_off,
            End::Failed => &mut self.failed,
            End::GivenUp => &mut self.given_up,
            End::Open => &mut self.open,
        };
        *count += 1;
    }

    /// Sum of all outcomes; equal to `attempts`.
    pub fn total_ends(&self) -> u64 {
        self.on_time
            + self.late
            + self.refused
            + self.broken_off
            + self.failed
            + self.given_up
            + self.open
    }
}

/// Counts of outcomes per group, ordered by the group's name.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// The counts by name of the group.
    pub groups: BTreeMap<String, EndCounts>,
}

/// Quantiles of prompt sizes per route, above which a prompt counts among the largest tenth and
/// among the next fifth.
const LARGEST_QUANTILE: f64 = 0.9;
const LARGE_QUANTILE: f64 = 0.7;

impl Losses {
    /// Counts the outcomes of `requests` per group.
    pub fn by_group(requests: &[Request], group: GroupBy) -> Losses {
        let first_ms = requests.iter().map(|request| request.at_ms).min().unwrap_or(0);
        let sizes = size_bounds_by_route(requests);
        let mut losses = Losses::default();
        for request in requests {
            let name = match group {
                GroupBy::Route => request.route.to_string(),
                GroupBy::Second => format!("{:4}", (request.at_ms - first_ms) / 1_000),
                GroupBy::Runner => request.runner.as_deref().unwrap_or("none").to_owned(),
                GroupBy::DataCentre => request.data_centre.to_string(),
                GroupBy::Size => size_name(request, &sizes),
                GroupBy::Cause => cause_name(request),
            };
            losses.groups.entry(name).or_default().add(request);
        }
        losses
    }

    /// Counts the outcomes of all requests.
    pub fn total(requests: &[Request]) -> EndCounts {
        let mut counts = EndCounts::default();
        requests.iter().for_each(|request| counts.add(request));
        counts
    }
}

/// Prompt sizes per route at [`LARGE_QUANTILE`] and [`LARGEST_QUANTILE`].
fn size_bounds_by_route(requests: &[Request]) -> BTreeMap<&str, (u64, u64)> {
    let mut all: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for request in requests.iter().filter(|request| request.prompt > 0) {
        all.entry(&request.route).or_default().push(request.prompt);
    }
    let bounds = |mut sizes: Vec<u64>| {
        sizes.sort_unstable();
        let at = |share: f64| sizes[((sizes.len() - 1) as f64 * share) as usize];
        (at(LARGE_QUANTILE), at(LARGEST_QUANTILE))
    };
    all.into_iter().map(|(route, sizes)| (route, bounds(sizes))).collect()
}

/// Route and outcome of a request; marks the refusal of a caller's retry.
fn cause_name(request: &Request) -> String {
    let end = request.end();
    let is_refused_retry = matches!(end, End::Refused(_)) && request.is_caller_retry();
    format!("{}: {end}{}", request.route, if is_refused_retry { ", when it came back" } else { "" })
}

fn size_name(request: &Request, sizes: &BTreeMap<&str, (u64, u64)>) -> String {
    let size = match sizes.get(request.route.as_ref()) {
        None => "no prompt",
        Some(_) if request.prompt == 0 => "no prompt",
        Some((_, largest)) if request.prompt > *largest => "largest tenth",
        Some((large, _)) if request.prompt > *large => "next fifth",
        Some(_) => "others",
    };
    format!("{}: {size}", request.route)
}
