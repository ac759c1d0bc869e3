//! Compares the routing policies at several loads with the same seeds. Prints a table and writes
//! plots of goodput and wasted prefill against load.
//!
//! `cargo run --release -p bulrushusher_experiment -- --out docs/figures`

mod plot;
mod table;

use std::path::PathBuf;
use std::sync::Arc;

use bulrushusher_routing::Policy;
use bulrushusher_testbed::{Deployment, Fault, Plan, Report, run};
use bulrushusher_time::Millis;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

/// Parameters and results of one run.
#[derive(Clone, Debug)]
pub struct Point {
    /// Routing policy.
    pub policy: Policy,
    /// Load factor, where 1.0 is the estimated capacity.
    pub load: f64,
    /// Seed of the run.
    pub seed: u64,
    /// Goodput of the prompts of both deployments, per second.
    pub prompt_goodput: f64,
    /// Share of the service calls answered within their latency targets, 0 to 1.
    pub calls_in_target: f64,
    /// Merged report of both deployments.
    pub report: Report,
}

fn command() -> Command {
    let list = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).value_delimiter(',').help(help)
    };
    Command::new("experiment")
        .about("Compares routing policies over loads and seeds")
        .arg(
            list("loads", "0.5,1.0,1.3,1.5", "Load factors, where 1.0 is the estimated capacity")
                .action(ArgAction::Append)
                .value_parser(value_parser!(f64)),
        )
        .arg(
            list("seeds", "1,2,3,4,5", "Seeds")
                .action(ArgAction::Append)
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("seconds")
                .long("seconds")
                .default_value("8")
                .value_parser(value_parser!(u64).range(1..))
                .help("Duration of each run's load, in seconds"),
        )
        .arg(
            Arg::new("parallel")
                .long("parallel")
                .default_value("3")
                .value_parser(value_parser!(u64).range(1..16))
                .help("Number of concurrent runs"),
        )
        .arg(
            Arg::new("fault")
                .long("fault")
                .action(ArgAction::Append)
                .value_parser(|text: &str| Fault::try_from(text).map_err(|e| e.to_string()))
                .help("Fault to inject into every run; may be repeated"),
        )
        .arg(
            Arg::new("out")
                .long("out")
                .default_value("target/experiment")
                .value_parser(value_parser!(PathBuf))
                .help("Output directory of the plots"),
        )
}

fn plans(matches: &ArgMatches) -> Vec<Plan> {
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(1);
    let faults: Vec<Fault> = matches.get_many("fault").unwrap_or_default().copied().collect();
    let mut plans = Vec::new();
    for seed in matches.get_many::<u64>("seeds").unwrap_or_default() {
        for load in matches.get_many::<f64>("loads").unwrap_or_default() {
            for policy in Policy::ALL {
                plans.push(Plan {
                    seed: *seed,
                    duration: Millis(seconds * 1000),
                    load: *load,
                    policy,
                    faults: faults.clone(),
                });
            }
        }
    }
    plans
}

async fn run_point(plan: Plan) -> Result<Point, String> {
    let naladnik = run(Deployment::naladnik(), &plan, Arc::default());
    let authority = run(Deployment::authority(), &plan, Arc::default());
    let (naladnik, authority) = tokio::join!(naladnik, authority);
    let reports = vec![naladnik.map_err(|e| e.to_string())?, authority.map_err(|e| e.to_string())?];
    let report = Report::merge(reports);
    let call_classes = ["swatch-card", "pass-lookup"];
    let (mut prompt_goodput, mut good, mut accepted) = (0.0, 0, 0);
    for class in &report.classes {
        if call_classes.contains(&class.class.as_str()) {
            good += class.good;
            accepted += class.accepted;
        } else {
            prompt_goodput += class.goodput;
        }
    }
    let calls_in_target = good as f64 / accepted.max(1) as f64;
    let Plan { policy, load, seed, .. } = plan;
    Ok(Point { policy, load, seed, prompt_goodput, calls_in_target, report })
}

async fn run_points(plans: Vec<Plan>, parallel: usize) -> Vec<Point> {
    let permits = Arc::new(Semaphore::new(parallel));
    let mut running = JoinSet::new();
    for plan in plans {
        let permits = Arc::clone(&permits);
        running.spawn(async move {
            let _permit = permits.acquire_owned().await.map_err(|e| e.to_string())?;
            run_point(plan).await
        });
    }
    let mut points = Vec::new();
    while let Some(done) = running.join_next().await {
        match done {
            Ok(Ok(point)) => {
                eprintln!(
                    "experiment: {} load {} seed {}: prompt goodput {:.1}/s, wasted {:.2}%, \
                     guarantees hold: {}",
                    point.policy,
                    point.load,
                    point.seed,
                    point.prompt_goodput,
                    point.report.wasted_prefill * 100.0,
                    point.report.totals.guarantees_hold(),
                );
                if !point.report.totals.guarantees_hold() {
                    eprintln!("experiment:   {:?} {:?}", point.report.totals, point.report.causes);
                }
                points.push(point);
            }
            Ok(Err(e)) => eprintln!("experiment: a run failed: {e}"),
            Err(e) => eprintln!("experiment: a run panicked: {e}"),
        }
    }
    points
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let matches = command().get_matches();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("off")).init();
    let parallel = matches.get_one::<u64>("parallel").copied().unwrap_or(1);
    let plans = plans(&matches);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let points = runtime.block_on(run_points(plans, parallel as usize));
    println!("{}", table::markdown(&points));
    let out = matches.get_one::<PathBuf>("out").cloned().unwrap_or_default();
    std::fs::create_dir_all(&out)?;
    plot::draw(
        &out.join("goodput.svg"),
        "Prompt goodput, requests per second",
        &points,
        |point| point.prompt_goodput,
    )?;
    plot::draw(&out.join("wasted-prefill.svg"), "Wasted prefill, percent", &points, |point| {
        point.report.wasted_prefill * 100.0
    })?;
    println!("plots written to {}", out.display());
    Ok(())
}
