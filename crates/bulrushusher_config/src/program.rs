//! What every daemon's command line has in common.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{ConfigError, Setting, Values, reference};

/// Exit code for settings or arguments that were not accepted.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// A daemon: its name, and the settings it takes.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// What it is, in one line.
    pub about: &'static str,
    /// Its settings.
    pub settings: &'static [Setting],
}

impl Program {
    /// The command line: `--config`, `--check-config`, `--print-settings`.
    pub fn command(&self) -> Command {
        let config = Arg::new("config")
            .long("config")
            .value_name("FILE.ini")
            .value_parser(clap::value_parser!(PathBuf))
            .required_unless_present("print-settings")
            .help("Settings file");
        let check = Arg::new("check-config")
            .long("check-config")
            .action(ArgAction::SetTrue)
            .help("Check the settings and exit: 0 when good, 2 when bad");
        let print = Arg::new("print-settings")
            .long("print-settings")
            .action(ArgAction::SetTrue)
            .help("Print every setting with unit, range and default, and exit");
        Command::new(self.name)
            .about(self.about)
            .version(env!("CARGO_PKG_VERSION"))
            .args([config, check, print])
    }

    /// Reads the command line and the settings, and makes the daemon's configuration of them.
    /// Ends the process where the command line asks for that or something is wrong.
    pub fn configure<T>(&self, make: fn(&Values) -> Result<T, ConfigError>) -> T {
        self.configure_from(&self.command().get_matches(), make)
    }

    /// As [`Program::configure`], with a command line that was read already.
    pub fn configure_from<T>(
        &self,
        matches: &ArgMatches,
        make: fn(&Values) -> Result<T, ConfigError>,
    ) -> T {
        if matches.get_flag("print-settings") {
            print!("{}", reference(self.settings));
            std::process::exit(0);
        }
        let file = matches.get_one::<PathBuf>("config").cloned().unwrap_or_default();
        let made = Values::load(&file, self.settings).and_then(|values| make(&values));
        match made {
            Ok(_) if matches.get_flag("check-config") => {
                println!("{}: {} is good", self.name, file.display());
                std::process::exit(0);
            }
            Ok(cfg) => cfg,
            Err(e) => {
                eprintln!("{}: {e}", self.name);
                std::process::exit(EXIT_BAD_SETTINGS);
            }
        }
    }
}
