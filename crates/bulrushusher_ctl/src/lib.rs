//! `bulrushctl`: the operators' command. See [`command`] for its command line.

mod apply;
mod cli;
mod error;
mod losses;
mod quotas;
mod show;
mod writing;

pub use apply::{Desired, read_desired};
pub use cli::{SETTINGS, command, execute};
pub use error::{CtlError, EXIT_CONFLICT, EXIT_FAILED, EXIT_UNREACHABLE, EXIT_USAGE};
