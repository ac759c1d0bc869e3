//! Results of a run, computed from the callers' observations and the runners' counters rather than
//! from the router's state.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_report::ClassReport;
use bulrushusher_standin::caller::Outcome;
use bulrushusher_standin::engine::Counts;
use comfy_table::{Table, presets};
use serde::Serialize;

/// Counters over a complete run. All but the first four and `outcome_unknown` count violations of a
/// guarantee and must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Requests accepted by an entry's admission checks.
    pub accepted: u64,
    /// Requests answered completely.
    pub answered: u64,
    /// Requests refused with a `not_run` error.
    pub refused_not_run: u64,
    /// Requests that their callers cancelled as scheduled.
    pub cancelled: u64,
    /// Requests whose error reports an unknown outcome, or a run whose answer is lost.
    pub outcome_unknown: u64,
    /// Requests with a part of their answer delivered twice.
    pub answered_twice: u64,
    /// Requests with neither a complete answer nor a typed error.
    pub lost: u64,
    /// Requests that received part of another request's answer.
    pub crossed: u64,
    /// Requests that were reported as not run, but ran according to the runners' counters.
    pub refused_but_ran: u64,
    /// Non-idempotent requests that ran more than once according to the runners' counters.
    pub non_idempotent_ran_twice: u64,
    /// Decode slots and prefill results still held after the run, according to the engines'
    /// counters.
    pub slots_still_held: u64,
}

impl Totals {
    /// The counters of guarantee violations, by name.
    pub fn violations(&self) -> [(&'static str, u64); 6] {
        [
            ("answered_twice", self.answered_twice),
            ("lost", self.lost),
            ("crossed", self.crossed),
            ("refused_but_ran", self.refused_but_ran),
            ("non_idempotent_ran_twice", self.non_idempotent_ran_twice),
            ("slots_still_held", self.slots_still_held),
        ]
    }

    /// True if no guarantee was violated.
    pub fn guarantees_hold(&self) -> bool {
        self.violations().iter().all(|(_, count)| *count == 0)
    }

    /// Adds the counters of another run.
    pub fn add(&mut self, other: &Totals) {
        self.accepted += other.accepted;
        self.answered += other.answered;
        self.refused_not_run += other.refused_not_run;
        self.cancelled += other.cancelled;
        self.outcome_unknown += other.outcome_unknown;
        self.answered_twice += other.answered_twice;
        self.lost += other.lost;
        self.crossed += other.crossed;
        self.refused_but_ran += other.refused_but_ran;
        self.non_idempotent_ran_twice += other.non_idempotent_ran_twice;
        self.slots_still_held += other.slots_still_held;
    }
}

/// A completed request and its outcome.
#[derive(Clone, Debug)]
pub struct CompletedRequest {
    /// Idempotency key, if any.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Outcome observed by the caller.
    pub outcome: Outcome,
}

/// Accumulates the outcomes of requests and compares them with the runners' counters.
#[derive(Debug, Default)]
pub struct Tally {
    totals: Totals,
    causes: BTreeMap<String, u64>,
    non_idempotent: BTreeSet<String>,
    reported_not_run: BTreeSet<String>,
}

/// Error codes of requests rejected by an entry's admission checks.
const NOT_ACCEPTED: &[&str] = &["account_limit", "shutting_down"];

impl Tally {
    /// Records a completed request.
    pub fn record(&mut self, completed: &CompletedRequest) {
        if let (Some(key), false) = (&completed.key, completed.idempotent) {
            self.non_idempotent.insert(key.clone());
        }
        let totals = &mut self.totals;
        totals.accepted += 1;
        match &completed.outcome {
            Outcome::Answered { .. } => totals.answered += 1,
            Outcome::Cancelled => totals.cancelled += 1,
            Outcome::Lost { cause } => {
                totals.lost += 1;
                *self.causes.entry(format!("lost: {cause}")).or_default() += 1;
            }
            Outcome::Crossed { .. } => totals.crossed += 1,
            Outcome::Twice { .. } => totals.answered_twice += 1,
            Outcome::Refused { code, run, .. } => {
                *self.causes.entry(format!("{code} ({run})")).or_default() += 1;
                if NOT_ACCEPTED.contains(&code.as_str()) {
                    totals.accepted -= 1;
                }
                if run != "not_run" {
                    totals.outcome_unknown += 1;
                } else {
                    totals.refused_not_run += 1;
                    self.reported_not_run.extend(completed.key.clone());
                }
            }
        }
    }

    /// The totals, given the runners' counters and the number of slots and prefill results still
    /// held.
    pub fn totals(&self, counts: &[Counts], held: usize) -> Totals {
        let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, count) in counts.iter().flat_map(|counts| &counts.keys) {
            *runs.entry(key).or_default() += count.runs;
        }
        let ran = |key: &String| runs.get(key.as_str()).copied().unwrap_or(0);
        Totals {
            refused_but_ran: self.reported_not_run.iter().filter(|key| ran(key) > 0).count() as u64,
            non_idempotent_ran_twice: self.non_idempotent.iter().filter(|key| ran(key) > 1).count()
                as u64,
            slots_still_held: held as u64,
            ..self.totals
        }
    }

    /// Number of refused and lost requests by error or cause.
    pub fn causes(&self) -> &BTreeMap<String, u64> {
        &self.causes
    }
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Counters over the run.
    #[serde(flatten)]
    pub totals: Totals,
    /// Requests answered within both latency targets, per second of the run.
    pub goodput: f64,
    /// Share of the prefilled prompt tokens that were discarded before use, 0 to 1.
    pub wasted_prefill: f64,
    /// Routing policy.
    pub policy: String,
    /// Seed of the run.
    pub seed: u64,
    /// Load factor, where 1.0 is the estimated capacity.
    pub load: f64,
    /// Results per deliverable class.
    pub classes: Vec<ClassReport>,
    /// Number of refused and lost requests by error or cause.
    pub causes: BTreeMap<String, u64>,
}

impl Report {
    /// Merges the reports of deployments that ran concurrently. Each report comes with the number
    /// of prompt tokens prefilled, by which `wasted_prefill` is weighted.
    ///
    /// # Panics
    /// If `reports` is empty.
    pub fn merge(reports: Vec<(Report, u64)>) -> Report {
        let prefilled: u64 = reports.iter().map(|(_, tokens)| tokens).sum();
        let wasted: f64 = reports.iter().map(|(r, tokens)| r.wasted_prefill * *tokens as f64).sum();
        let mut reports = reports.into_iter().map(|(report, _)| report);
        let mut merged = reports.next().expect("at least one report");
        for report in reports {
            merged.totals.add(&report.totals);
            merged.goodput += report.goodput;
            merged.classes.extend(report.classes);
            for (cause, count) in report.causes {
                *merged.causes.entry(cause).or_default() += count;
            }
        }
        merged.wasted_prefill = wasted / prefilled.max(1) as f64;
        merged
    }

    /// Formats the results per class as a text table.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_preset(presets::UTF8_FULL_CONDENSED);
        table.set_header([
            "class",
            "accepted",
            "answered",
            "goodput/s",
            "TTFT p50/p95/p99 ms",
            "per token p50/p95/p99 ms",
            "burn",
        ]);
        for class in &self.classes {
            let (t, p) = (&class.ttft_ms, &class.per_token_ms);
            table.add_row([
                class.class.clone(),
                class.accepted.to_string(),
                class.answered.to_string(),
                format!("{:.1}", class.goodput),
                format!("{:.0} / {:.0} / {:.0}", t.p50, t.p95, t.p99),
                format!("{:.1} / {:.1} / {:.1}", p.p50, p.p95, p.p99),
                format!("{:.2}", class.burn),
            ]);
        }
        table.to_string()
    }
}
