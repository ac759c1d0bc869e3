//! `bulrush-model`: simulates load patterns, prints a table of the results and plots them.

use std::path::PathBuf;

use bulrushusher_accounts::{QuotaConfig, Sharing};
use bulrushusher_forward::ForecastConfig;
use bulrushusher_model::{
    Admission, Bar, Fleet, LimitPattern, LimitSharing, Outcome, Pattern, QuotaFault, QuotaLoad,
    QuotaOutcome, QuotaPattern, draw_bars, generate_arrivals, max_on_time, simulate,
    simulate_limit, simulate_quota_faults, simulate_quotas,
};
use bulrushusher_time::Millis;
use clap::{Arg, ArgAction, Command, value_parser};
use comfy_table::Table;

fn main() {
    let seeds = Arg::new("seeds")
        .long("seeds")
        .value_parser(value_parser!(u64).range(1..=1_000))
        .default_value("3")
        .help("Number of seeds to simulate each pattern with");
    let plots = Arg::new("plots")
        .long("plots")
        .value_parser(value_parser!(PathBuf))
        .help("Directory for SVG plots");
    let quotas = Arg::new("quotas")
        .long("quotas")
        .action(ArgAction::SetTrue)
        .help("Simulate only the quotas of client accounts");
    let pairs = Arg::new("pairs")
        .long("pairs")
        .action(ArgAction::SetTrue)
        .help("Simulate only the quotas, for each pair of patterns with several delays");
    let limits = Arg::new("limits")
        .long("limits")
        .action(ArgAction::SetTrue)
        .help("Simulate only the rate limits of runners");
    let matches = Command::new("bulrush-model")
        .about("Simulates load patterns on a model of engines and gateways")
        .arg(seeds)
        .arg(plots)
        .arg(quotas)
        .arg(limits)
        .arg(pairs)
        .get_matches();
    if matches.get_flag("quotas") {
        println!("{}", quota_table());
        return;
    }
    if matches.get_flag("limits") {
        println!("{}", limit_table());
        return;
    }
    if matches.get_flag("pairs") {
        println!("{}", pair_table());
        return;
    }
    let seeds = matches.get_one::<u64>("seeds").copied().unwrap_or(3);
    let mut table = Table::new();
    table.set_header([
        "pattern",
        "memory",
        "callers",
        "on time",
        "of the most",
        "late",
        "refused",
        "failed",
        "twice",
        "left",
        "preempted",
        "wasted tokens",
        "large served",
        "worst centre",
        "memory used",
    ]);
    let mut on_time = Vec::new();
    let mut served = Vec::new();
    for pattern in Pattern::ALL {
        for (name, fleet) in policies() {
            let (outcome, max_on_time) = simulate_seeds(pattern, fleet, seeds);
            let bar = |share| Bar { pattern: pattern.to_string(), policy: name, share };
            on_time.push(bar(outcome.goodput()));
            served.push(bar(outcome.served()));
            table.add_row(row(pattern, name, &outcome, max_on_time));
        }
    }
    println!("{table}");
    println!("{}", quota_table());
    if let Some(dir) = matches.get_one::<PathBuf>("plots") {
        let result = draw_bars(&dir.join("model-on-time.svg"), "Callers served on time", &on_time)
            .and_then(|()| draw_bars(&dir.join("model-served.svg"), "Callers served", &served));
        if let Err(e) = result {
            eprintln!(
                "bulrush-model: cannot write the plots: {e}; check that the directory exists"
            );
            std::process::exit(1);
        }
    }
}

/// Results of shared quotas, by pattern, number of gateways and way of sharing.
fn quota_table() -> Table {
    let mut table = Table::new();
    table.set_header([
        "pattern",
        "gateways",
        "sharing",
        "owed and refused",
        "worst window of the allowed",
        "words a second",
    ]);
    for pattern in QuotaPattern::ALL {
        for gateways in [5, 28, 100, 300] {
            for sharing in [Sharing::Even, Sharing::ByDemand, Sharing::Told] {
                let load = QuotaLoad::new(gateways);
                let cfg = QuotaConfig { sharing, ..load.cfg };
                let outcome = simulate_quotas(&QuotaLoad { cfg, ..load }, pattern, 1);
                table.add_row([
                    pattern.to_string(),
                    gateways.to_string(),
                    format!("{sharing:?}"),
                    format!("{:.2}%", outcome.lost_share() * 100.0),
                    format!("{:.2}", outcome.worst_window),
                    format!("{:.1}", outcome.reports_per_second),
                ]);
            }
        }
    }
    table
}

/// The worst window of each pair of patterns, over delays of up to two windows between them.
fn pair_table() -> Table {
    let mut table = Table::new();
    table.set_header(["first", "then", "gateways", "sharing", "worst window", "after ms"]);
    let delays = (0..=16_000).step_by(1_000);
    for first in QuotaPattern::ALL {
        for then in QuotaPattern::ALL {
            for gateways in [5, 28] {
                for sharing in [Sharing::Even, Sharing::ByDemand, Sharing::Told] {
                    let worst = |after: u64| {
                        (simulate_pair(first, then, after, gateways, sharing).worst_window, after)
                    };
                    let worst = delays.clone().map(worst);
                    let Some((worst, after)) = worst.max_by(|a, b| a.0.total_cmp(&b.0)) else {
                        continue;
                    };
                    table.add_row([
                        first.to_string(),
                        then.to_string(),
                        gateways.to_string(),
                        format!("{sharing:?}"),
                        format!("{worst:.2}"),
                        after.to_string(),
                    ]);
                }
            }
        }
    }
    table
}

fn simulate_pair(
    first: QuotaPattern,
    then: QuotaPattern,
    after: u64,
    gateways: usize,
    sharing: Sharing,
) -> QuotaOutcome {
    let load = QuotaLoad::new(gateways);
    let cfg = QuotaConfig { sharing, ..load.cfg };
    let load = QuotaLoad { cfg, seconds: 45, ..load };
    let faults = [
        QuotaFault { pattern: first, at: Millis(10_000) },
        QuotaFault { pattern: then, at: Millis(10_000 + after) },
    ];
    simulate_quota_faults(&load, &faults, 1)
}

/// Results of shared rate limits, by pattern, number of gateways, limit and way of sharing.
fn limit_table() -> Table {
    let mut table = Table::new();
    table.set_header(["pattern", "gateways", "limit", "sharing", "worst span", "used"]);
    for pattern in LimitPattern::ALL {
        for gateways in [5, 28, 100, 300] {
            for limit in [0.0, 0.3, 1.0, 5.1, 200.0] {
                for sharing in LimitSharing::ALL {
                    let outcome = simulate_limit(gateways, limit, sharing, pattern, 1);
                    table.add_row([
                        pattern.to_string(),
                        gateways.to_string(),
                        limit.to_string(),
                        sharing.to_string(),
                        format!("{:.2}", outcome.worst_span),
                        format!("{:.0}%", outcome.used * 100.0),
                    ]);
                }
            }
        }
    }
    table
}

/// The admission policies that are compared.
fn policies() -> [(&'static str, Fleet); 4] {
    let with = |admission| Fleet { admission, ..Fleet::default() };
    let forecast = Admission::Forecast(ForecastConfig::default());
    [
        ("hold the most", with(Admission::Reserve { times: 1_000.0 })),
        ("hold twice the estimate", with(Admission::Reserve { times: 2.0 })),
        ("forecast alone", Fleet { peers_report: false, ..with(forecast) }),
        ("forecast", with(forecast)),
    ]
}

/// Simulates a pattern with several seeds; returns also the upper bound on callers served on time.
fn simulate_seeds(pattern: Pattern, fleet: Fleet, seeds: u64) -> (Outcome, usize) {
    let mut sum = Outcome::default();
    let mut bound = 0;
    for seed in 1..=seeds {
        let (fleet, callers) = (pattern.fleet(fleet), generate_arrivals(&pattern.load(), seed));
        sum += simulate(&fleet, &callers, seed);
        bound += max_on_time(&fleet, &callers);
    }
    (sum, bound)
}

fn row(pattern: Pattern, name: &str, outcome: &Outcome, max_on_time: usize) -> Vec<String> {
    let percent = |share: f64| format!("{:.1}%", share * 100.0);
    vec![
        pattern.to_string(),
        name.to_owned(),
        outcome.callers.to_string(),
        percent(outcome.goodput()),
        percent(outcome.on_time as f64 / max_on_time.max(1) as f64),
        outcome.late.to_string(),
        outcome.refused.to_string(),
        outcome.failed.to_string(),
        outcome.refused_twice.to_string(),
        outcome.disconnected.to_string(),
        outcome.preempted.to_string(),
        format!("{:.0}", outcome.wasted_tokens),
        percent(outcome.large_served_share()),
        percent(outcome.min_goodput_by_data_centre()),
        percent(outcome.memory_use()),
    ]
}
