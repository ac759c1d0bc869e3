//! The digest that identifies a request when it is sent again.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

/// A digest of a request's content, independent of the identity of the attempt: a request that is
/// sent again has the same digest, at any gateway and after any restart.
///
/// 64 bits suffice: when 240 million requests a day are compared with a hundred digests, one
/// request in some hundred million days is mistaken for another. The text form has 16 hexadecimal
/// digits.
///
/// ```
/// use bulrushusher_routing::RequestDigest;
/// let first = RequestDigest::of([b"POST".as_slice(), b"/a", b"body"]);
/// assert_eq!(first, RequestDigest::of([b"POST".as_slice(), b"/a", b"body"]));
/// assert_ne!(first, RequestDigest::of([b"POST".as_slice(), b"/ab", b"ody"]));
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[display("{_0:016x}")]
#[serde(try_from = "String", into = "String")]
pub struct RequestDigest(u64);

/// A text that is not a request digest.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{text}` is not a request digest; give 16 hexadecimal digits")]
pub struct DigestError {
    /// The invalid text.
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
    /// The digest of a request's parts; their order and boundaries count.
    pub fn of<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> RequestDigest {
        let mut hash = Xxh3Default::new();
        for part in parts {
            // The length prefix makes the boundaries between the parts count.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        RequestDigest(hash.digest())
    }
}
