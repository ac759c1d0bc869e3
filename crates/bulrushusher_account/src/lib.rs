//! An account of loss: what happened to each request of a run, and why, from gateways' logs.
//!
//! [`Reader`] takes in lines of any gateways' logs in any order of files, [`Account`] sums up what
//! became of the requests. Lines that are cut or not a gateway's are counted and passed over.

mod account;
mod end;
mod line;
mod plot;
mod reader;
mod request;

pub use account::{Account, Group, Sums};
pub use end::{BrokenBy, End, LateBy};
pub use line::{Line, LineError};
pub use plot::draw;
pub use reader::{Reader, Seen};
pub use request::Request;
