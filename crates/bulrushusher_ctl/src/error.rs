//! Errors and exit codes.

use bulrushusher_config::ConfigError;
use derive_more::{Display, Error, From};
use tonic::{Code, Status};

/// Exit code: the entry refused the call, or the call failed.
pub const EXIT_FAILED: u8 = 1;
/// Exit code: the command line or a file is invalid.
pub const EXIT_USAGE: u8 = 2;
/// Exit code: the object was updated concurrently.
pub const EXIT_CONFLICT: u8 = 3;
/// Exit code: the entry or the store is unreachable, or `wait` timed out.
pub const EXIT_UNREACHABLE: u8 = 4;

/// The error of a command.
#[derive(Debug, Display, Error, From)]
pub enum CtlError {
    /// The entry refused the call.
    #[display("{}", _0.message())]
    Refused(Status),
    /// The entry is unreachable.
    #[display("the entry is unreachable; check --entry ({_0})")]
    Unreachable(tonic::transport::Error),
    /// The settings are invalid.
    #[display("{_0}")]
    Settings(ConfigError),
    /// The command line contains no command.
    #[from(ignore)]
    #[display("no command given; see --help")]
    NoCommand,
    /// A file is invalid or cannot be read or written.
    #[from(ignore)]
    #[display("{file}: {cause}")]
    File {
        /// Path of the file.
        file: String,
        /// The cause and the remedy.
        cause: String,
    },
    /// The metrics of a gateway cannot be read.
    #[from(ignore)]
    #[display("no metrics from {gateway} ({cause}); give a gateway's metrics address")]
    MetricsUnavailable {
        /// The address on the command line.
        gateway: std::net::SocketAddr,
        /// The cause.
        cause: String,
    },
    /// An entry did not apply the revision within the time limit.
    #[from(ignore)]
    #[display(
        "{entry} did not apply revision {revision} in time and is at revision {current}; raise \
         --seconds or check the entry with `status`"
    )]
    RevisionTimeout {
        /// The awaited revision.
        revision: u64,
        /// The entry that has not applied it.
        entry: String,
        /// The revision that the entry has applied.
        current: u64,
    },
}

impl CtlError {
    /// The exit code for the error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CtlError::File { .. } | CtlError::Settings(_) | CtlError::NoCommand => EXIT_USAGE,
            CtlError::Unreachable(_)
            | CtlError::MetricsUnavailable { .. }
            | CtlError::RevisionTimeout { .. } => EXIT_UNREACHABLE,
            CtlError::Refused(status) => match status.code() {
                Code::Aborted => EXIT_CONFLICT,
                Code::Unavailable => EXIT_UNREACHABLE,
                Code::InvalidArgument => EXIT_USAGE,
                _ => EXIT_FAILED,
            },
        }
    }
}
