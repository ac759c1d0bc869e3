//! `bulrushctl`: the command-line client for operators. See [`command`] for its arguments.

mod apply;
mod cli;
mod error;
mod gateways;
mod losses;
mod metrics;
mod quarantine;
mod quotas;
mod reconcile;
mod show;

pub use apply::{DesiredObjects, read_desired};
pub use cli::{SETTINGS, command, execute};
pub use error::{CtlError, EXIT_CONFLICT, EXIT_FAILED, EXIT_UNREACHABLE, EXIT_USAGE};
