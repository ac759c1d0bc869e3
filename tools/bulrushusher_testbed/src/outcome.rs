//! What a run came to, from the callers' and the runners' own records.

use std::collections::{BTreeMap, BTreeSet};

use bulrushusher_report::ClassReport;
use bulrushusher_standin::caller::Outcome;
use bulrushusher_standin::engine::Counts;
use comfy_table::{Table, presets};
use serde::Serialize;

/// Counters over a whole run. All but the first four and `outcome_unknown` are promises: they must
/// be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Totals {
    /// Requests that got past the entry's checks.
    pub accepted: u64,
    /// Requests answered whole.
    pub answered: u64,
    /// Requests refused as "not run".
    pub refused_not_run: u64,
    /// Requests whose callers went away, as planned.
    pub cancelled: u64,
    /// Requests told that their outcome is unknown, or that they ran and the answer is gone.
    pub outcome_unknown: u64,
    /// Requests of which a part came twice.
    pub answered_twice: u64,
    /// Requests neither answered whole nor told a typed error.
    pub lost: u64,
    /// Requests that got part of another's answer.
    pub crossed: u64,
    /// Requests told "not run" that ran, by the runners' own records.
    pub refused_but_ran: u64,
    /// Non-idempotent requests that ran more than once, by the runners' own records.
    pub non_idempotent_ran_twice: u64,
    /// Engine memory held after all was over, by the engines' own records.
    pub slots_still_held: u64,
}

impl Totals {
    /// The promise counters by name.
    pub fn promises(&self) -> [(&'static str, u64); 6] {
        [
            ("answered_twice", self.answered_twice),
            ("lost", self.lost),
            ("crossed", self.crossed),
            ("refused_but_ran", self.refused_but_ran),
            ("non_idempotent_ran_twice", self.non_idempotent_ran_twice),
            ("slots_still_held", self.slots_still_held),
        ]
    }

    /// True when every promise was kept.
    pub fn kept(&self) -> bool {
        self.promises().iter().all(|(_, count)| *count == 0)
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

/// How one request came out.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Its key, if it had one.
    pub key: Option<String>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// What its caller saw.
    pub outcome: Outcome,
}

/// Counts requests by what their callers saw and the runners counted.
#[derive(Debug, Default)]
pub struct Tally {
    totals: Totals,
    causes: BTreeMap<String, u64>,
    non_idempotent: BTreeSet<String>,
    told_not_run: BTreeSet<String>,
}

/// Refusals of requests that never got past the entry's checks.
const NOT_ACCEPTED: &[&str] = &["account_limit", "shutting_down"];

impl Tally {
    /// Counts one request.
    pub fn note(&mut self, ended: &Ended) {
        if let (Some(key), false) = (&ended.key, ended.idempotent) {
            self.non_idempotent.insert(key.clone());
        }
        let totals = &mut self.totals;
        totals.accepted += 1;
        match &ended.outcome {
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
                    self.told_not_run.extend(ended.key.clone());
                }
            }
        }
    }

    /// The counters, with the runners' own records and the memory held at the end.
    pub fn totals(&self, counts: &[Counts], held: usize) -> Totals {
        let mut runs: BTreeMap<&str, u64> = BTreeMap::new();
        for (key, count) in counts.iter().flat_map(|counts| &counts.keys) {
            *runs.entry(key).or_default() += count.runs;
        }
        let ran = |key: &String| runs.get(key.as_str()).copied().unwrap_or(0);
        Totals {
            refused_but_ran: self.told_not_run.iter().filter(|key| ran(key) > 0).count() as u64,
            non_idempotent_ran_twice: self.non_idempotent.iter().filter(|key| ran(key) > 1).count()
                as u64,
            slots_still_held: held as u64,
            ..self.totals
        }
    }

    /// What the refused and lost requests were told, with how often.
    pub fn causes(&self) -> &BTreeMap<String, u64> {
        &self.causes
    }
}

/// What a run came to.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// The counters.
    #[serde(flatten)]
    pub totals: Totals,
    /// Requests answered within both targets per second of the run.
    pub goodput: f64,
    /// Share of prefilled prompt tokens discarded before use, 0 to 1.
    pub wasted_prefill: f64,
    /// The policy.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Load factor; 1.0 is the estimated capacity.
    pub load: f64,
    /// Figures per class.
    pub classes: Vec<ClassReport>,
    /// What the refused and lost requests were told, with how often.
    pub causes: BTreeMap<String, u64>,
}

impl Report {
    /// One report of several deployments run side by side.
    ///
    /// # Panics
    /// When there is no report.
    pub fn join(reports: Vec<(Report, u64)>) -> Report {
        let prefilled: u64 = reports.iter().map(|(_, tokens)| tokens).sum();
        let wasted: f64 = reports.iter().map(|(r, tokens)| r.wasted_prefill * *tokens as f64).sum();
        let mut reports = reports.into_iter().map(|(report, _)| report);
        let mut joined = reports.next().expect("at least one report");
        for report in reports {
            joined.totals.add(&report.totals);
            joined.goodput += report.goodput;
            joined.classes.extend(report.classes);
            for (cause, count) in report.causes {
                *joined.causes.entry(cause).or_default() += count;
            }
        }
        joined.wasted_prefill = wasted / prefilled.max(1) as f64;
        joined
    }

    /// A table for people.
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
