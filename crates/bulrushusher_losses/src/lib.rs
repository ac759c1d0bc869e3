//! Losses: what happened to each request of a run, and why, from gateways' logs.
//!
//! [`Reader`] takes in lines of any gateways' logs in any order of files, [`Losses`] sums up what
//! became of the requests. Lines that are cut or not a gateway's are counted and passed over.

mod end;
mod line;
mod losses;
mod plot;
mod reader;
mod request;

pub use end::{BrokenBy, End, LateBy};
pub use line::{Line, LineError};
pub use losses::{Group, Losses, Sums};
pub use plot::draw;
pub use reader::{Reader, Seen};
pub use request::Request;
