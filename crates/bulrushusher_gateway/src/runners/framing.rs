//! How the end of a response's body is marked.

use derive_more::Display;
use hyper::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode};

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
    /// The framing of the response to a request. A response that has no body ends with its head.
    pub(crate) fn of_reply_to(method: &Method, head: &Parts) -> BodyFraming {
        let is_head_only = *method == Method::HEAD
            || matches!(
                head.status,
                StatusCode::NO_CONTENT | StatusCode::RESET_CONTENT | StatusCode::NOT_MODIFIED
            );
        match is_head_only {
            true => BodyFraming::Marked,
            false => BodyFraming::of(&head.headers),
        }
    }

    /// The framing that the headers of a response state.
    pub(crate) fn of(headers: &HeaderMap) -> BodyFraming {
        match headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING) {
            true => BodyFraming::Marked,
            false => BodyFraming::Close,
        }
    }
}
