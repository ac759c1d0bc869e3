//! HTTP helpers for communication between processes: a client, an NDJSON stream reader, a server.
//!
//! Every wait for data has a timeout, so that a stalled connection is detected in bounded time,
//! except for the response head and error body in [`HttpClient::call_stream`].

mod client;
mod error;
mod lines;
mod listen;
mod serve;

pub use client::{HttpClient, HttpReply, RequestParts};
pub use error::HttpError;
pub use lines::LineStream;
pub use listen::{bind, connect_nodelay, shutdown_signal};
pub use serve::{
    HttpServer, get_route, json_line, json_reply, json_status, post_route, reject_json, serve,
    stream_reply,
};
