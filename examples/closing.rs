//! Runs a month-end closing: both sample deployments on embedded stand-ins, under seeded load.
//!
//! All daemons run in this program and communicate over loopback sockets. The closings are created
//! through the operators' RPC. The output shows each deployment's parameters, the progress of the
//! load, and a table of results per class. The counters come from the callers and the engines, not
//! from the router.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use bulrushusher_routing::Policy;
use bulrushusher_testbed::run::{Plan, Progress, run};
use bulrushusher_testbed::{Deployment, Fault, Report};
use bulrushusher_time::Millis;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use indicatif::{ProgressBar, ProgressStyle};
use parking_lot::Mutex;

const EXIT_GUARANTEE_VIOLATED: u8 = 1;
const PROGRESS_TICK: Duration = Duration::from_millis(200);

fn command() -> Command {
    let seed = Arg::new("seed").long("seed").value_name("N").default_value("1");
    let seconds = Arg::new("seconds").long("seconds").value_name("S").default_value("10");
    let load = Arg::new("load").long("load").value_name("FACTOR").default_value("1.0");
    let policy = Arg::new("policy").long("policy").value_name("NAME").default_value("paired");
    let fault = Arg::new("fault").long("fault").value_name("NAME").action(ArgAction::Append);
    let json = Arg::new("json").long("json").action(ArgAction::SetTrue);
    Command::new("closing")
        .about("Runs a month-end closing on embedded stand-ins")
        .arg(
            seed.value_parser(value_parser!(u64))
                .help("Seed of the load, the routing decisions and the stand-ins"),
        )
        .arg(
            seconds
                .value_parser(value_parser!(u64).range(1..))
                .help("Duration of the load, in seconds"),
        )
        .arg(
            load.value_parser(value_parser!(f64))
                .help("Load factor, where 1.0 is the estimated capacity"),
        )
        .arg(
            policy
                .value_parser(parse_policy)
                .help("Routing policy: round-robin, least-loaded, prefill-first or paired"),
        )
        .arg(fault.value_parser(parse_fault).help("Fault to inject; may be repeated"))
        .arg(json.help("Print the report as a JSON object on the last line"))
}

fn parse_policy(text: &str) -> Result<Policy, String> {
    Policy::try_from(text).map_err(|e| e.to_string())
}

fn parse_fault(text: &str) -> Result<Fault, String> {
    Fault::try_from(text).map_err(|e| e.to_string())
}

fn plan_from(matches: &ArgMatches) -> Plan {
    let seconds = *matches.get_one::<u64>("seconds").expect("has a default");
    Plan {
        seed: *matches.get_one("seed").expect("has a default"),
        duration: Millis(seconds * 1000),
        load: *matches.get_one("load").expect("has a default"),
        policy: *matches.get_one("policy").expect("has a default"),
        faults: matches.get_many("fault").unwrap_or_default().copied().collect(),
    }
}

fn print_plan(deployment: &Deployment, plan: &Plan) {
    let (prompts, bound) = deployment.prompt_capacity();
    println!(
        "{}: {} prefill, {} decode, {} {} runners in {}; {} entries",
        deployment.closing,
        deployment.prefill_runners,
        deployment.decode_runners,
        deployment.service_runners,
        deployment.service,
        deployment.data_centres.join(", "),
        deployment.entries,
    );
    println!(
        "  estimated capacity {prompts:.1} prompts/s (bound by {bound}); load {} is {:.1} {}/s and \
         {:.1} {}/s",
        plan.load,
        prompts * plan.load,
        deployment.prompt_class.name,
        deployment.call_rate() * plan.load,
        deployment.call_class.name,
    );
}

async fn show_progress(progress: Arc<Mutex<Progress>>) {
    let style = ProgressStyle::with_template("{elapsed} {bar:40} {pos}/{len} answered {msg}");
    let bar =
        ProgressBar::new(0).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    loop {
        let current = *progress.lock();
        bar.set_length(current.scheduled);
        bar.set_position(current.completed);
        bar.set_message(format!("({} in flight)", current.sent - current.completed));
        tokio::time::sleep(PROGRESS_TICK).await;
    }
}

fn print_report(report: &Report) {
    println!("{}", report.table());
    println!(
        "goodput {:.1}/s, wasted prefill {:.2}%, policy {}, seed {}",
        report.goodput,
        report.wasted_prefill * 100.0,
        report.policy,
        report.seed
    );
    let totals = &report.totals;
    println!(
        "accepted {}, answered {}, cancelled {}, refused as not run {}, outcome unknown {}",
        totals.accepted,
        totals.answered,
        totals.cancelled,
        totals.refused_not_run,
        totals.outcome_unknown
    );
    for (name, count) in totals.violations() {
        println!("  {name}: {count}");
    }
    for (cause, count) in &report.causes {
        println!("  {count} requests ended with: {cause}");
    }
}

async fn run_deployments(plan: &Plan) -> Result<Report, Box<dyn std::error::Error>> {
    let progress = Arc::new(Mutex::new(Progress::default()));
    let progress_task = tokio::spawn(show_progress(Arc::clone(&progress)));
    let naladnik = run(Deployment::naladnik(), plan, Arc::clone(&progress));
    let authority = run(Deployment::authority(), plan, progress);
    let (naladnik, authority) = tokio::join!(naladnik, authority);
    progress_task.abort();
    Ok(Report::merge(vec![naladnik?, authority?]))
}

fn main() -> Result<ExitCode, Box<dyn std::error::Error>> {
    let matches = command().get_matches();
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("error")).init();
    let plan = plan_from(&matches);
    for deployment in [Deployment::naladnik(), Deployment::authority()] {
        print_plan(&deployment, &plan);
    }
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let report = runtime.block_on(run_deployments(&plan))?;
    print_report(&report);
    if matches.get_flag("json") {
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(match report.totals.guarantees_hold() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_GUARANTEE_VIOLATED),
    })
}
