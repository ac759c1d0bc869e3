//! The command line, and what each command does.

use std::path::PathBuf;
use std::time::Duration;

use bulrushusher_config::{Kind, Setting, Values, setting};
use bulrushusher_operator::v1;
use bulrushusher_operator::v1::operator_client::OperatorClient;
use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use tokio::time::{Instant, sleep};
use tonic::transport::Channel;

use crate::CtlError;
use crate::apply::read_desired;
use crate::show::{self, Output, Rows};
use crate::writing::apply;
use crate::{losses, quotas};

pub(crate) type Client = OperatorClient<Channel>;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const WAIT_POLL: Duration = Duration::from_millis(50);

const OUTPUTS: [&str; 2] = ["table", "json"];

/// The settings of `bulrushctl`; the command line goes before them.
pub const SETTINGS: &[Setting] = &[
    setting(
        "operator",
        "entry",
        Kind::Address,
        Some("127.0.0.1:7200"),
        "Operators' address of an entry.",
    ),
    setting("operator", "output", Kind::Choice(&OUTPUTS), Some("table"), "How replies are shown."),
];

fn named(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(Arg::new("name").required(true).help("Name of the object"))
}

fn object(kind: &'static str, about: &'static str) -> Command {
    let version = Arg::new("version")
        .long("version")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("The version you saw; a different one held is a conflict");
    Command::new(kind)
        .about(about)
        .subcommand_required(true)
        .subcommand(Command::new("list").about("Lists all"))
        .subcommand(named("get", "Shows one"))
        .subcommand(named("delete", "Deletes one").arg(version))
}

/// The command line.
pub fn command() -> Command {
    let entry = Arg::new("entry").long("entry").global(true).action(ArgAction::Append).help(
        "Operators' address of an entry, instead of the settings'; may be repeated for `wait`",
    );
    let output = Arg::new("output")
        .long("output")
        .global(true)
        .value_parser(OUTPUTS)
        .help("How replies are shown, instead of the settings' way");
    let config = Arg::new("config")
        .long("config")
        .global(true)
        .value_name("FILE.ini")
        .value_parser(value_parser!(PathBuf))
        .help("Settings file");
    let check = Arg::new("check-config")
        .long("check-config")
        .action(ArgAction::SetTrue)
        .requires("config")
        .help("Check the settings and exit: 0 when good, 2 when bad");
    let file = Arg::new("file")
        .short('f')
        .long("file")
        .required(true)
        .value_name("FILE.ini")
        .value_parser(value_parser!(PathBuf))
        .help("Objects to apply");
    let dry = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show what would change");
    let revision = Arg::new("revision")
        .long("revision")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("Revision to wait for");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .default_value("10")
        .value_parser(value_parser!(u64))
        .help("How long to wait");
    Command::new("bulrushctl")
        .about("Drives the router: closings, endpoints, client accounts")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Exit codes: 0 done, 1 refused, 2 bad command line or file, 3 conflicting update, \
             4 entry or store not reached, or wait not met",
        )
        .args([entry, output, config, check])
        .subcommand(object("closing", "Closings"))
        .subcommand(object("endpoint", "Endpoints"))
        .subcommand(object("account", "Client accounts"))
        .subcommand(Command::new("apply").about("Creates or updates objects").args([file, dry]))
        .subcommand(named("drain", "An endpoint gets no new work; what is in flight finishes"))
        .subcommand(named("undrain", "An endpoint gets work again"))
        .subcommand(losses::command())
        .subcommand(quotas::command())
        .subcommand(Command::new("status").about("What an entry has in force and sees"))
        .subcommand(
            Command::new("wait")
                .about("Waits for a revision to be in force")
                .args([revision, seconds]),
        )
}

/// Does what the command line says; returns what to print.
///
/// # Errors
/// [`CtlError`], with its exit code.
pub async fn execute(matches: &ArgMatches) -> Result<String, CtlError> {
    let (entries, output) = settings(matches)?;
    if matches.get_flag("check-config") {
        return Ok("bulrushctl: the settings are good\n".to_owned());
    }
    let first = entries.first().cloned().unwrap_or_default();
    let rows = match matches.subcommand() {
        Some(("wait", args)) => return wait(&entries, args).await,
        Some(("closing", args)) => closing(&mut connect(&first).await?, args).await?,
        Some(("endpoint", args)) => endpoint(&mut connect(&first).await?, args).await?,
        Some(("account", args)) => account(&mut connect(&first).await?, args).await?,
        Some(("losses", args)) => return losses::losses(args, output),
        Some(("quotas", args)) => return quotas::quotas(args, output).await,
        Some(("apply", args)) => {
            let file = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
            let desired = read_desired(&file)?;
            let dry = args.get_flag("dry-run");
            apply(&mut connect(&first).await?, &desired, dry).await?
        }
        Some((verb @ ("drain" | "undrain"), args)) => {
            let req = v1::DrainRequest { name: name_of(args), drain: verb == "drain" };
            let reply = connect(&first).await?.drain_endpoint(req).await?;
            show::put("endpoint", &name_of(args), reply.into_inner())
        }
        Some(("status", _)) => return status(&first, output).await,
        _ => return Err(CtlError::NoCommand),
    };
    Ok(rows.show(output))
}

/// The entries to speak to and how to show replies: as the command line says, else the settings.
fn settings(matches: &ArgMatches) -> Result<(Vec<String>, Output), CtlError> {
    let values = match matches.get_one::<PathBuf>("config") {
        Some(file) => Values::load(file, SETTINGS)?,
        None => Values::parse("defaults", "", SETTINGS)?,
    };
    let given: Vec<String> = matches.get_many("entry").unwrap_or_default().cloned().collect();
    let entries = match given.is_empty() {
        true => vec![values.text("operator", "entry").to_owned()],
        false => given,
    };
    let shown = matches.get_one::<String>("output").map(String::as_str);
    let output = match shown.unwrap_or(values.text("operator", "output")) {
        "json" => Output::Json,
        _ => Output::Table,
    };
    Ok((entries, output))
}

async fn connect(entry: &str) -> Result<Client, CtlError> {
    let endpoint = tonic::transport::Endpoint::from_shared(format!("http://{entry}"))?;
    let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).timeout(CALL_TIMEOUT);
    Ok(OperatorClient::new(endpoint.connect().await?))
}

fn name_of(args: &ArgMatches) -> String {
    args.get_one::<String>("name").cloned().unwrap_or_default()
}

fn get_request(args: &ArgMatches) -> v1::GetRequest {
    v1::GetRequest { name: name_of(args) }
}

fn delete_request(args: &ArgMatches) -> v1::DeleteRequest {
    let expected_version = args.get_one::<u64>("version").copied().unwrap_or(0);
    v1::DeleteRequest { name: name_of(args), expected_version }
}

async fn closing(client: &mut Client, args: &ArgMatches) -> Result<Rows, CtlError> {
    Ok(match args.subcommand() {
        Some(("get", args)) => {
            show::closings(&[client.get_closing(get_request(args)).await?.into_inner()])
        }
        Some(("delete", args)) => {
            let reply = client.delete_closing(delete_request(args)).await?;
            show::put("closing", &name_of(args), reply.into_inner())
        }
        _ => {
            let reply = client.list_closings(v1::ListRequest {}).await?;
            show::closings(&reply.into_inner().closings)
        }
    })
}

async fn endpoint(client: &mut Client, args: &ArgMatches) -> Result<Rows, CtlError> {
    Ok(match args.subcommand() {
        Some(("get", args)) => {
            show::endpoints(&[client.get_endpoint(get_request(args)).await?.into_inner()])
        }
        Some(("delete", args)) => {
            let reply = client.delete_endpoint(delete_request(args)).await?;
            show::put("endpoint", &name_of(args), reply.into_inner())
        }
        _ => {
            let reply = client.list_endpoints(v1::ListRequest {}).await?;
            show::endpoints(&reply.into_inner().endpoints)
        }
    })
}

async fn account(client: &mut Client, args: &ArgMatches) -> Result<Rows, CtlError> {
    Ok(match args.subcommand() {
        Some(("get", args)) => {
            show::accounts(&[client.get_account(get_request(args)).await?.into_inner()])
        }
        Some(("delete", args)) => {
            let reply = client.delete_account(delete_request(args)).await?;
            show::put("account", &name_of(args), reply.into_inner())
        }
        _ => {
            let reply = client.list_accounts(v1::ListRequest {}).await?;
            show::accounts(&reply.into_inner().accounts)
        }
    })
}

async fn status(entry: &str, output: Output) -> Result<String, CtlError> {
    let status = connect(entry).await?.status(v1::StatusRequest {}).await?.into_inner();
    let rows = show::status(&status).show(output);
    if output == Output::Json {
        return Ok(rows);
    }
    Ok(format!(
        "entry {}, revision {}, store {}, {} in flight\n{rows}",
        status.entry,
        status.revision,
        if status.store_up { "up" } else { "down" },
        status.in_flight
    ))
}

async fn wait(entries: &[String], args: &ArgMatches) -> Result<String, CtlError> {
    let revision = args.get_one::<u64>("revision").copied().unwrap_or(0);
    let seconds = args.get_one::<u64>("seconds").copied().unwrap_or(0);
    let end = Instant::now() + Duration::from_secs(seconds);
    for entry in entries {
        let mut client = connect(entry).await?;
        loop {
            let held = client.status(v1::StatusRequest {}).await?.into_inner().revision;
            if held >= revision {
                break;
            }
            if Instant::now() > end {
                return Err(CtlError::NotInForce { revision, entry: entry.clone(), held });
            }
            sleep(WAIT_POLL).await;
        }
    }
    Ok(format!("revision {revision} is in force at {}\n", entries.join(", ")))
}
