//! The command line and the execution of its commands.

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
use crate::reconcile::apply;
use crate::show::{self, OutputFormat, Rows};
use crate::{gateways, losses, quarantine, quotas};

pub(crate) type Client = OperatorClient<Channel>;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(50);

const OUTPUTS: [&str; 2] = ["table", "json"];

/// The settings of `bulrushctl`. Command-line options take precedence.
pub const SETTINGS: &[Setting] = &[
    setting(
        "operator",
        "entry",
        Kind::Address,
        Some("127.0.0.1:7200"),
        "Operator address of an entry.",
    ),
    setting("operator", "output", Kind::Choice(&OUTPUTS), Some("table"), "Output format."),
];

fn command_with_name(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(Arg::new("name").required(true).help("Name of the object"))
}

fn object_commands(kind: &'static str, about: &'static str) -> Command {
    let version =
        Arg::new("version").long("version").required(true).value_parser(value_parser!(u64)).help(
            "Expected version of the object; the command fails with a conflict if it differs",
        );
    Command::new(kind)
        .about(about)
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List all"))
        .subcommand(command_with_name("get", "Show one"))
        .subcommand(command_with_name("delete", "Delete one").arg(version))
}

/// The command line.
pub fn command() -> Command {
    let entry =
        Arg::new("entry").long("entry").global(true).action(ArgAction::Append).help(
            "Operator address of an entry, overrides the settings; may be repeated for `wait`",
        );
    let output = Arg::new("output")
        .long("output")
        .global(true)
        .value_parser(OUTPUTS)
        .help("Output format, overrides the settings");
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
        .help("Check the settings and exit: 0 if valid, 2 if invalid");
    let file = Arg::new("file")
        .short('f')
        .long("file")
        .required(true)
        .value_name("FILE.ini")
        .value_parser(value_parser!(PathBuf))
        .help("File of desired objects");
    let dry_run = Arg::new("dry-run")
        .long("dry-run")
        .action(ArgAction::SetTrue)
        .help("Show the changes without writing them");
    let revision = Arg::new("revision")
        .long("revision")
        .required(true)
        .value_parser(value_parser!(u64))
        .help("Revision to wait for");
    let seconds = Arg::new("seconds")
        .long("seconds")
        .default_value("10")
        .value_parser(value_parser!(u64))
        .help("Timeout of the wait, in seconds");
    Command::new("bulrushctl")
        .about("Manages the router: closings, endpoints and client accounts")
        .version(env!("CARGO_PKG_VERSION"))
        .after_help(
            "Exit codes: 0 success, 1 refused or failed, 2 invalid command line or file, \
             3 conflicting update, 4 entry or store unreachable, or `wait` timed out",
        )
        .args([entry, output, config, check])
        .subcommand(object_commands("closing", "Closings"))
        .subcommand(object_commands("endpoint", "Endpoints"))
        .subcommand(object_commands("account", "Client accounts"))
        .subcommand(
            Command::new("apply")
                .about("Create or update the objects of a file")
                .args([file, dry_run]),
        )
        .subcommand(command_with_name(
            "drain",
            "Drain an endpoint: no new work is sent, in-flight work finishes",
        ))
        .subcommand(command_with_name("undrain", "Resume sending work to an endpoint"))
        .subcommand(losses::command())
        .subcommand(quotas::command())
        .subcommand(gateways::command())
        .subcommand(quarantine::command())
        .subcommand(
            Command::new("status").about("Show the applied revision of an entry and its endpoints"),
        )
        .subcommand(
            Command::new("wait")
                .about("Wait until entries have applied a revision")
                .args([revision, seconds]),
        )
}

/// Runs the command and returns the text to print.
///
/// # Errors
/// [`CtlError`], which determines the exit code.
pub async fn execute(matches: &ArgMatches) -> Result<String, CtlError> {
    let (entries, output) = entries_and_format(matches)?;
    if matches.get_flag("check-config") {
        return Ok("bulrushctl: the settings are valid\n".to_owned());
    }
    let first = entries.first().cloned().unwrap_or_default();
    let rows = match matches.subcommand() {
        Some(("wait", args)) => return wait(&entries, args).await,
        Some(("closing", args)) => closing(&mut connect(&first).await?, args).await?,
        Some(("endpoint", args)) => endpoint(&mut connect(&first).await?, args).await?,
        Some(("account", args)) => account(&mut connect(&first).await?, args).await?,
        Some(("losses", args)) => return losses::losses(args, output),
        Some(("quotas", args)) => return quotas::quotas(args, output).await,
        Some(("gateways", args)) => return gateways::gateways(args, output).await,
        Some(("quarantine", args)) => return quarantine::quarantine(args, output).await,
        Some(("apply", args)) => {
            let file = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
            let desired = read_desired(&file)?;
            let dry_run = args.get_flag("dry-run");
            apply(&mut connect(&first).await?, &desired, dry_run).await?
        }
        Some((verb @ ("drain" | "undrain"), args)) => {
            let req = v1::DrainRequest { name: name_of(args), drain: verb == "drain" };
            let reply = connect(&first).await?.drain_endpoint(req).await?;
            show::put("endpoint", &name_of(args), reply.into_inner())
        }
        Some(("status", _)) => return status(&first, output).await,
        _ => return Err(CtlError::NoCommand),
    };
    Ok(rows.render(output))
}

/// Addresses of entries and the output format, from the command line or else from the settings.
fn entries_and_format(matches: &ArgMatches) -> Result<(Vec<String>, OutputFormat), CtlError> {
    let values = match matches.get_one::<PathBuf>("config") {
        Some(file) => Values::load(file, SETTINGS)?,
        None => Values::parse("defaults", "", SETTINGS)?,
    };
    let from_args: Vec<String> = matches.get_many("entry").unwrap_or_default().cloned().collect();
    let entries = match from_args.is_empty() {
        true => vec![values.text("operator", "entry").to_owned()],
        false => from_args,
    };
    let format = matches.get_one::<String>("output").map(String::as_str);
    let output = match format.unwrap_or(values.text("operator", "output")) {
        "json" => OutputFormat::Json,
        _ => OutputFormat::Table,
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

async fn status(entry: &str, output: OutputFormat) -> Result<String, CtlError> {
    let status = connect(entry).await?.status(v1::StatusRequest {}).await?.into_inner();
    let rows = show::status(&status).render(output);
    if output == OutputFormat::Json {
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
    let deadline = Instant::now() + Duration::from_secs(seconds);
    for entry in entries {
        let mut client = connect(entry).await?;
        loop {
            let current = client.status(v1::StatusRequest {}).await?.into_inner().revision;
            if current >= revision {
                break;
            }
            if Instant::now() > deadline {
                return Err(CtlError::RevisionTimeout { revision, entry: entry.clone(), current });
            }
            sleep(WAIT_POLL_INTERVAL).await;
        }
    }
    Ok(format!("revision {revision} is applied at {}\n", entries.join(", ")))
}
