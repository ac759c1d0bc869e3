//! Settings in INI files, each declared once with its unit, range and default, and validated at
//! start.
//!
//! A program declares a table of [`Setting`]s; [`Values::load`] validates a file against it and
//! reports file, section, key and remedy of the first error.

mod logs;
mod program;
mod settings;

pub use logs::{init_bounded_logs, init_logs};
pub use program::{EXIT_BAD_SETTINGS, Program};
pub use settings::{ConfigError, Kind, Setting, Values, setting, settings_reference};
