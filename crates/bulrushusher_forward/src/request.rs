//! What the decisions need to know of a forwarded request.

use std::sync::Arc;

use derive_more::{Display, Error};
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
/// It has 64 bits: with a hundred digests looked for among 240 million requests a day, one request in
/// some hundred million days is taken for another. Written as text of 16 hexadecimal digits.
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
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest(u64);

/// A text that is no digest.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is no digest of a request; give 16 hexadecimal digits")]
pub struct DigestError {
    /// What was given.
    #[error(not(source))]
    pub text: String,
}

impl TryFrom<String> for RequestDigest {
    type Error = DigestError;

    fn try_from(text: String) -> Result<RequestDigest, DigestError> {
        match u64::from_str_radix(&text, 16) {
            Ok(digest) if text.len() == 16 => Ok(RequestDigest(digest)),
            _ => Err(DigestError { text }),
        }
    }
}

impl From<RequestDigest> for String {
    fn from(digest: RequestDigest) -> String {
        digest.to_string()
    }
}

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
