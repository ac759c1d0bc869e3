//! `bulrush-standin`: runs the stand-ins, or sends an open-loop load to entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use bulrushusher_config::{EXIT_BAD_SETTINGS, init_logs};
use bulrushusher_report::{ClassStats, LatencyTargets};
use bulrushusher_standin::caller::{Caller, Outcome};
use bulrushusher_standin::load::{Flow, FlowKind, ScheduledRequest, fresh_key, schedule};
use bulrushusher_standin::settings::{PROGRAM, StandinConfig};
use bulrushusher_standin::{Engine, PlainService, Store};
use bulrushusher_time::Millis;
use clap::{Arg, ArgMatches, Command, value_parser};
use parking_lot::Mutex;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

const EXIT_LOST: i32 = 1;

fn load_command() -> Command {
    let text = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).default_value(default).help(help)
    };
    let entry = Arg::new("entry")
        .long("entry")
        .value_name("IP:PORT")
        .required(true)
        .action(clap::ArgAction::Append)
        .value_parser(value_parser!(SocketAddr));
    Command::new("load")
        .about("Sends a seeded open-loop load of prompts and prints a summary of the outcomes")
        .arg(entry.help("Caller address of an entry; may be repeated"))
        .arg(text("model", "rationale-llm", "Model of the requests"))
        .arg(text("class", "rationale", "Deliverable class of the requests"))
        .arg(text("rate", "5", "Requests per second").value_parser(value_parser!(f64)))
        .arg(
            text("seconds", "5", "Duration of the load, in seconds")
                .value_parser(value_parser!(u64)),
        )
        .arg(text("seed", "1", "Seed of the schedule").value_parser(value_parser!(u64)))
}

fn main() -> std::io::Result<()> {
    let run = PROGRAM.command().name("run");
    let matches = Command::new(PROGRAM.name)
        .about("Stand-ins for tests and examples")
        .subcommand_required(true)
        .subcommand(run)
        .subcommand(load_command())
        .get_matches();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    match matches.subcommand() {
        Some(("run", matches)) => {
            let cfg = PROGRAM.configure_from(matches, StandinConfig::from_values);
            init_logs();
            runtime.block_on(run_standins(cfg))
        }
        Some(("load", matches)) => {
            let lost = runtime.block_on(load(matches));
            std::process::exit(if lost == 0 { 0 } else { EXIT_LOST });
        }
        _ => std::process::exit(EXIT_BAD_SETTINGS),
    }
}

async fn run_standins(cfg: StandinConfig) -> std::io::Result<()> {
    let store = Store::start(cfg.store)?;
    let prefill = Engine::start(cfg.prefill, cfg.engine_config.clone())?;
    let decode = Engine::start(cfg.decode, cfg.engine_config)?;
    let service = PlainService::start(cfg.service, cfg.service_config)?;
    log::info!("standin: store on {}, prefill engine on {}", store.addr, prefill.addr);
    log::info!("standin: decode engine on {}, service on {}", decode.addr, service.addr);
    bulrushusher_http::shutdown_signal().await?;
    log::info!("standin: stopping");
    tokio::join!(service.stop(), decode.stop(), prefill.stop(), store.stop());
    Ok(())
}

/// Sends the load and returns the number of requests with a lost, duplicated or crossed answer.
async fn load(matches: &ArgMatches) -> u64 {
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let entries: Vec<SocketAddr> = matches.get_many("entry").unwrap_or_default().copied().collect();
    let seconds = matches.get_one::<u64>("seconds").copied().unwrap_or(1);
    let flow = Flow {
        class: text("class"),
        kind: FlowKind::Prompts {
            model: text("model"),
            prompt_tokens: (500, 3_000),
            answer_tokens: (20, 60),
            shared_blocks: 1,
        },
        idempotent: false,
        rate: matches.get_one::<f64>("rate").copied().unwrap_or(1.0),
        accounts: 1,
    };
    let targets = LatencyTargets { ttft: Millis(600), per_token: Millis(71) };
    let figures = Arc::new(Mutex::new(ClassStats::new(&flow.class, targets)));
    let lost = Arc::new(AtomicU64::new(0));
    let caller = Caller::new(entries);
    let start = Instant::now();
    let mut in_flight = JoinSet::new();
    let seed = matches.get_one::<u64>("seed").copied().unwrap_or(1);
    let scheduled = schedule(&[flow], Millis(seconds * 1000), seed);
    for (number, ScheduledRequest { at, mut request, .. }) in scheduled.into_iter().enumerate() {
        sleep_until(start + at.duration()).await;
        request.key = request.key.map(|_| fresh_key());
        request.account = None;
        let (caller, figures, lost) = (caller.clone(), Arc::clone(&figures), Arc::clone(&lost));
        in_flight.spawn(async move {
            let outcome = caller.send(&request, number).await;
            figures.lock().record_accepted();
            match outcome {
                Outcome::Answered { ttft, per_token_ms } => {
                    figures.lock().record_answered(ttft, per_token_ms);
                }
                Outcome::Refused { code, run, .. } => println!("refused: {code} ({run})"),
                Outcome::Cancelled => {}
                other => {
                    println!("lost: {other:?}");
                    lost.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    while in_flight.join_next().await.is_some() {}
    let report = figures.lock().report(seconds as f64);
    println!(
        "accepted {}, answered {}, goodput {:.1}/s, TTFT p50 {:.0} ms p95 {:.0} ms, \
         per token p95 {:.1} ms",
        report.accepted,
        report.answered,
        report.goodput,
        report.ttft_ms.p50,
        report.ttft_ms.p95,
        report.per_token_ms.p95
    );
    lost.load(Ordering::Relaxed)
}
