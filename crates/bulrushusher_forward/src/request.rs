//! What the decisions need to know of a forwarded request.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// Identity of one attempt of a caller; a caller that tries again sends another one.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// The identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for RequestId {
    fn from(text: &str) -> RequestId {
        RequestId(text.into())
    }
}

/// What a caller asks for, whatever identity its attempt has: a request that is sent again has the
/// same digest, at any gateway and after any restart.
///
/// It has 64 bits, and no key: two requests of a day of 240 million share one of a hundred digests
/// that are looked for with a chance of one in a billion.
///
/// ```
/// use bulrushusher_forward::RequestDigest;
/// let first = RequestDigest::of([b"POST".as_slice(), b"/a", b"body"]);
/// assert_eq!(first, RequestDigest::of([b"POST".as_slice(), b"/a", b"body"]));
/// assert_ne!(first, RequestDigest::of([b"POST".as_slice(), b"/ab", b"ody"]));
/// ```
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
#[serde(transparent)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// The digest of a request's parts, in this order.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> RequestDigest {
        let mut hash = Xxh3Default::new();
        for part in parts {
            // With its length, so that no byte can go from one part to the next unnoticed.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        RequestDigest(hash.digest())
    }
}

/// Size of a generation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be generated.
    pub most_output: u64,
    /// The caller's own estimate of the tokens generated, if it gave one.
    pub expected_output: Option<u64>,
}

impl PromptSize {
    /// Tokens expected: the caller's estimate, or half of the most.
    pub fn expected(&self) -> u64 {
        self.expected_output.unwrap_or(self.most_output / 2).clamp(1, self.most_output.max(1))
    }
}
