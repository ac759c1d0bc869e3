//! Sums over requests.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::{End, Request};

/// By what requests are summed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Group {
    /// The kind of request.
    #[display("route")]
    Route,
    /// The second in which it came, from the first request on.
    #[display("second")]
    Second,
    /// The runner that had it last.
    #[display("runner")]
    Runner,
    /// The gateway's data centre.
    #[display("data-centre")]
    DataCentre,
    /// The size of its prompt among those of its kind.
    #[display("size")]
    Size,
    /// How it ended, with the cause.
    #[display("cause")]
    Cause,
}

impl Group {
    /// All, by the word that names each.
    pub const ALL: [(&str, Group); 6] = [
        ("route", Group::Route),
        ("second", Group::Second),
        ("runner", Group::Runner),
        ("data-centre", Group::DataCentre),
        ("size", Group::Size),
        ("cause", Group::Cause),
    ];
}

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sums {
    /// All attempts of callers.
    pub attempts: u64,
    /// Those that had come before and were refused, as far as gateways could tell.
    pub returns: u64,
    /// Whole and on time.
    pub on_time: u64,
    /// Whole and late.
    pub late: u64,
    /// Refused as not run.
    pub refused: u64,
    /// Broken off, or without a whole answer.
    pub broken_off: u64,
    /// The runner's own failure was passed on.
    pub failed: u64,
    /// The caller left.
    pub given_up: u64,
    /// The log does not tell.
    pub open: u64,
}

impl Sums {
    fn add(&mut self, request: &Request) {
        self.attempts += 1;
        self.returns += u64::from(request.is_return());
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

    /// The sum of all ends; as many as there were attempts.
    pub fn ends(&self) -> u64 {
        self.on_time
            + self.late
            + self.refused
            + self.broken_off
            + self.failed
            + self.given_up
            + self.open
    }
}

/// Requests summed by one thing, in order of its names.
#[derive(Clone, Debug, Default)]
pub struct Losses {
    /// The sums, by name.
    pub groups: BTreeMap<String, Sums>,
}

/// Shares of a kind of request, by the size of their prompts: the largest tenth, and the next fifth.
const LARGEST: f64 = 0.9;
const LARGE: f64 = 0.7;

impl Losses {
    /// Sums requests by `group`.
    pub fn of(requests: &[Request], group: Group) -> Losses {
        let first_ms = requests.iter().map(|request| request.at_ms).min().unwrap_or(0);
        let sizes = sizes_by_route(requests);
        let mut losses = Losses::default();
        for request in requests {
            let name = match group {
                Group::Route => request.route.to_string(),
                Group::Second => format!("{:4}", (request.at_ms - first_ms) / 1_000),
                Group::Runner => request.runner.as_deref().unwrap_or("none").to_owned(),
                Group::DataCentre => request.data_centre.to_string(),
                Group::Size => size_word(request, &sizes),
                Group::Cause => cause_word(request),
            };
            losses.groups.entry(name).or_default().add(request);
        }
        losses
    }

    /// All groups together.
    pub fn total(requests: &[Request]) -> Sums {
        let mut sums = Sums::default();
        requests.iter().for_each(|request| sums.add(request));
        sums
    }
}

/// The sizes from which a prompt of each kind counts as large, and as one of the largest.
fn sizes_by_route(requests: &[Request]) -> BTreeMap<&str, (u64, u64)> {
    let mut all: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for request in requests.iter().filter(|request| request.prompt > 0) {
        all.entry(&request.route).or_default().push(request.prompt);
    }
    let bounds = |mut sizes: Vec<u64>| {
        sizes.sort_unstable();
        let at = |share: f64| sizes[((sizes.len() - 1) as f64 * share) as usize];
        (at(LARGE), at(LARGEST))
    };
    all.into_iter().map(|(route, sizes)| (route, bounds(sizes))).collect()
}

/// How a request ended; of a refusal, whether its caller had been told to come back.
fn cause_word(request: &Request) -> String {
    let end = request.end();
    let again = matches!(end, End::Refused(_)) && request.is_return();
    format!("{}: {end}{}", request.route, if again { ", when it came back" } else { "" })
}

fn size_word(request: &Request, sizes: &BTreeMap<&str, (u64, u64)>) -> String {
    let word = match sizes.get(request.route.as_ref()) {
        None => "no prompt",
        Some(_) if request.prompt == 0 => "no prompt",
        Some((_, largest)) if request.prompt > *largest => "largest tenth",
        Some((large, _)) if request.prompt > *large => "next fifth",
        Some(_) => "others",
    };
    format!("{}: {word}", request.route)
}
