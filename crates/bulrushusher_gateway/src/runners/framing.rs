//! How the end of a response's body is marked.

use derive_more::Display;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum BodyFraming {
    /// By a length or by chunks, so that a body that was cut off is recognised.
    #[display("marked")]
    Marked,
    /// By the end of the connection. A runner whose process ends closes its connections too.
    #[display("close")]
    Close,
}

impl BodyFraming {
    /// The framing that the headers of a response state.
    pub(crate) fn of(headers: &HeaderMap) -> BodyFraming {
        match headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
            true => BodyFraming::Marked,
            false => BodyFraming::Close,
        }
    }
}
