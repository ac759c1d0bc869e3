//! Small HTTP helpers used at process edges: a JSON client, an NDJSON stream reader, listeners.
//!
//! Every call has a timeout, so a connection that goes silent is noticed in a bounded time.

mod client;
mod error;
mod lines;
mod listen;
mod serve;

pub use client::{HttpClient, HttpReply, RequestParts};
pub use error::HttpError;
pub use lines::LineStream;
pub use listen::{bind, nodelay, terminated};
pub use serve::{
    Served, get_route, json_line, json_reply, json_status, post_route, reject_json, serve,
    stream_reply,
};
