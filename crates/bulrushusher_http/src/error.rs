//! Errors of HTTP calls.

use std::time::Duration;

use derive_more::{Display, Error};

/// Why an HTTP call gave no usable response.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HttpError {
    /// No connection could be established: the peer received nothing of the request.
    #[display("cannot connect to {peer}; check that it is running ({cause})")]
    Connect {
        /// The peer's address.
        peer: String,
        /// The underlying error.
        cause: String,
    },
    /// The peer sent no response, or stopped sending, for longer than the timeout. It may have
    /// executed the request.
    #[display(
        "{peer} was silent for {} ms; it may have executed the request",
        timeout.as_millis()
    )]
    Timeout {
        /// The peer's address.
        peer: String,
        /// The timeout.
        timeout: Duration,
    },
    /// The connection was lost after it was established. The peer may have executed the request.
    #[display("connection to {peer} was lost; it may have executed the request ({cause})")]
    ConnectionLost {
        /// The peer's address.
        peer: String,
        /// The underlying error.
        cause: String,
    },
    /// The peer responded with a status other than 2xx.
    #[display("{peer} responded with status {status}: {body}")]
    Status {
        /// The peer's address.
        peer: String,
        /// HTTP status.
        status: u16,
        /// The body as text, truncated at 2 MiB.
        body: String,
    },
    /// A request could not be encoded, or a response could not be decoded.
    #[display("cannot encode or decode a message to or from {peer}; check its version ({cause})")]
    Codec {
        /// The peer's address.
        peer: String,
        /// The error of the codec.
        cause: String,
    },
}

impl HttpError {
    /// True when it is certain that the peer received nothing of the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Connect { .. })
    }
}
