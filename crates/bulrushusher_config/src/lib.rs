//! Settings in INI, each declared once with its unit, range and default, and checked at start.
//!
//! A program declares a table of [`Setting`]s; [`Values::load`] reads a file against it and names
//! file, section, key and remedy for the first thing that is wrong.

mod logs;
mod program;
mod settings;

pub use logs::{init_bounded_logs, init_logs};
pub use program::{EXIT_BAD_SETTINGS, Program};
pub use settings::{ConfigError, Kind, Setting, Values, reference, setting};
