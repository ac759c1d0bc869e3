//! What can go wrong with an HTTP exchange.

use std::time::Duration;

use derive_more::{Display, Error};

/// Why an HTTP exchange gave no usable answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum HttpError {
    /// No connection could be made: the peer saw nothing of the request.
    #[display("no connection to {peer}; check that it runs ({cause})")]
    Connect {
        /// The peer's address.
        peer: String,
        /// What the system said.
        cause: String,
    },
    /// The peer did not answer, or went silent, within the bound. It may have acted.
    #[display("{peer} was silent for {} ms; it may have acted", after.as_millis())]
    Silent {
        /// The peer's address.
        peer: String,
        /// The bound.
        after: Duration,
    },
    /// The connection broke. The peer may have acted.
    #[display("connection to {peer} broke; it may have acted ({cause})")]
    Broken {
        /// The peer's address.
        peer: String,
        /// What the system said.
        cause: String,
    },
    /// The peer answered with a status that is not a success.
    #[display("{peer} answered {status}: {body}")]
    Status {
        /// The peer's address.
        peer: String,
        /// HTTP status.
        status: u16,
        /// The body, as text, cut at 2 MiB.
        body: String,
    },
    /// The answer could not be read as the expected message.
    #[display("{peer} sent a message that cannot be read; check its version ({cause})")]
    Codec {
        /// The peer's address.
        peer: String,
        /// What the codec said.
        cause: String,
    },
}

impl HttpError {
    /// True when the peer certainly saw nothing of the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, HttpError::Connect { .. })
    }
}
