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
        let has_length = headers.contains_key(CONTENT_LENGTH);
        let is_marked = has_length || headers.contains_key(TRANSFER_ENCODING);
        match is_marked && !BodyFraming::is_ambiguous(headers) {
            true => BodyFraming::Marked,
            false => BodyFraming::Close,
        }
    }

    /// True if the headers state two framings, or a transfer coding besides chunks: readers differ in
    /// where such a body ends and what it is.
    pub(crate) fn is_ambiguous(headers: &HeaderMap) -> bool {
        let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
        let Some(coding) = codings.next() else { return false };
        let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
        !is_chunked || codings.next().is_some() || headers.contains_key(CONTENT_LENGTH)
    }
}
