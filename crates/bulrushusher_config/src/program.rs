//! The command line shared by all daemons.

use std::path::PathBuf;

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{ConfigError, Setting, Values, settings_reference};

/// Process exit code for invalid settings or arguments.
pub const EXIT_BAD_SETTINGS: i32 = 2;

/// A daemon: its name and its settings.
#[derive(Clone, Copy, Debug)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// The settings that it accepts.
    pub settings: &'static [Setting],
}

impl Program {
    /// The command line parser, with `--config`, `--check-config` and `--print-settings`.
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

    /// Parses the command line, loads the settings and builds the daemon's configuration with
    /// `build`. Exits the process after `--print-settings` and `--check-config` (status 0), and on
    /// invalid settings (status [`EXIT_BAD_SETTINGS`]).
    pub fn configure<T>(&self, build: fn(&Values) -> Result<T, ConfigError>) -> T {
        self.configure_from(&self.command().get_matches(), build)
    }

    /// As [`Program::configure`], with a command line that is already parsed.
    pub fn configure_from<T>(
        &self,
        matches: &ArgMatches,
        build: fn(&Values) -> Result<T, ConfigError>,
    ) -> T {
        if matches.get_flag("print-settings") {
            print!("{}", settings_reference(self.settings));
            std::process::exit(0);
        }
        let file = matches.get_one::<PathBuf>("config").cloned().unwrap_or_default();
        let result = Values::load(&file, self.settings).and_then(|values| build(&values));
        match result {
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
