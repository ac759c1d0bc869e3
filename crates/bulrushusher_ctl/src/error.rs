//! What can go wrong, and the exit codes.

use bulrushusher_config::ConfigError;
use derive_more::{Display, Error, From};
use tonic::{Code, Status};

/// Exit code: the call was refused or failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the command line or a file is not valid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: another update came first.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code: the entry or the store cannot be reached, or a wait was not met in time.
pub const EXIT_UNREACHABLE: u8 = 4;

/// Why a command failed.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The entry refused the call.
    #[display("{}", _0.message())]
    Refused(Status),
    /// The entry cannot be reached.
    #[display("the entry cannot be reached; check --entry ({_0})")]
    Unreachable(tonic::transport::Error),
    /// The settings are not valid.
    #[display("{_0}")]
    Settings(ConfigError),
    /// The command line asks for nothing.
    #[from(ignore)]
    #[display("no command is given; see --help")]
    NoCommand,
    /// A file is not valid.
    #[from(ignore)]
    #[display("{file}: {cause}")]
    File {
        /// The file.
        file: String,
        /// What is wrong, and what to do.
        cause: String,
    },
    /// A gateway's metrics cannot be read.
    #[from(ignore)]
    #[display("{gateway} gives no metrics ({cause}); give a gateway's metrics address")]
    NoMetrics {
        /// The address that was given.
        gateway: std::net::SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The revision was not in force in time.
    #[from(ignore)]
    #[display("revision {revision} was not in force at {entry} in time; it has {held}")]
    NotInForce {
        /// The revision waited for.
        revision: u64,
        /// The entry that lacks it.
        entry: String,
        /// What it has.
        held: u64,
    },
}

impl CtlError {
    /// The exit code that goes with the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::File { .. } | CtlError::Settings(_) | CtlError::NoCommand => EXIT_USAGE,
            CtlError::Unreachable(_) | CtlError::NoMetrics { .. } | CtlError::NotInForce { .. } => {
                EXIT_UNREACHABLE
            }
            CtlError::Refused(status) => match status.code() {
                Code::Aborted => EXIT_CONFLICT,
                Code::Unavailable => EXIT_UNREACHABLE,
                Code::InvalidArgument => EXIT_USAGE,
                _ => EXIT_FAILED,
            },
        }
    }
}
