//! Reconstructs from gateway logs how each request ended and why.
//!
//! [`LogReader`] parses the logs of any number of gateways, in any order of files. [`Losses`]
//! counts the outcomes of the requests. Truncated lines and lines of other programs are counted and
//! skipped.

mod end;
mod line;
mod losses;
mod plot;
mod reader;
mod request;

pub use end::{BreakCause, End, LateCause};
pub use line::{LineError, LogLine};
pub use losses::{EndCounts, GroupBy, Losses};
pub use plot::draw_losses;
pub use reader::{LogReader, ReadStats};
pub use request::Request;
