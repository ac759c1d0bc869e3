//! By what a request is recognised when runners crash on it.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::RequestDigest;

/// Something that a request has in common with others, and that may crash runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CrashKey {
    /// The whole request, as its caller repeats it.
    Request(RequestDigest),
    /// A part of its prompt, at one service: engines of another service may run it.
    Part(RequestDigest),
}

impl fmt::Display for CrashKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CrashKey::Request(digest) => write!(f, "request:{digest}"),
            CrashKey::Part(digest) => write!(f, "part:{digest}"),
        }
    }
}

/// A text that is not a key.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "`{text}` is no key of a quarantine; give `part:` or `request:` and 16 hexadecimal digits"
)]
pub struct CrashKeyError {
    /// The invalid text.
    #[error(not(source))]
    pub text: String,
}

impl TryFrom<&str> for CrashKey {
    type Error = CrashKeyError;

    fn try_from(text: &str) -> Result<CrashKey, CrashKeyError> {
        let key = text.split_once(':').and_then(|(kind, digest)| {
            let digest = RequestDigest::try_from(digest.to_owned()).ok()?;
            match kind {
                "request" => Some(CrashKey::Request(digest)),
                "part" => Some(CrashKey::Part(digest)),
                _ => None,
            }
        });
        key.ok_or_else(|| CrashKeyError { text: text.to_owned() })
    }
}

impl From<RequestDigest> for CrashKey {
    fn from(request: RequestDigest) -> CrashKey {
        CrashKey::Request(request)
    }
}

/// All keys of one request.
///
/// ```
/// use bulrushusher_routing::{CrashKey, RequestDigest, RequestKeys};
/// let digest = |text: &str| RequestDigest::of([text.as_bytes()]);
/// let keys = RequestKeys::new(digest("whole"), [digest("first part"), digest("second part")]);
/// assert!(keys.contains(CrashKey::Part(digest("first part"))));
/// assert_eq!(keys.iter().count(), 3);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestKeys {
    request: RequestDigest,
    parts: Arc<[RequestDigest]>,
}

impl RequestKeys {
    /// The keys of a request whose prompt contains the parts.
    pub fn new(
        request: RequestDigest,
        parts: impl IntoIterator<Item = RequestDigest>,
    ) -> RequestKeys {
        let mut parts: Vec<RequestDigest> = parts.into_iter().collect();
        parts.sort_unstable();
        parts.dedup();
        RequestKeys { request, parts: parts.into() }
    }

    /// Each key once.
    pub fn iter(&self) -> impl Iterator<Item = CrashKey> {
        let parts = self.parts.iter().map(|part| CrashKey::Part(*part));
        std::iter::once(CrashKey::Request(self.request)).chain(parts)
    }

    /// True if `key` is among them.
    pub fn contains(&self, key: CrashKey) -> bool {
        match key {
            CrashKey::Request(request) => request == self.request,
            CrashKey::Part(part) => self.parts.binary_search(&part).is_ok(),
        }
    }
}

impl From<RequestDigest> for RequestKeys {
    fn from(request: RequestDigest) -> RequestKeys {
        RequestKeys::new(request, [])
    }
}

/// Keys that a request must have all of to be refused. It has one key, or several parts of which it
/// is not known which one crashes runners. The text form has commas between the keys.
///
/// ```
/// use bulrushusher_routing::KeySet;
/// let keys = KeySet::try_from("part:00000000000000ff, request:0123456789abcdef").unwrap();
/// assert_eq!(keys.to_string(), "request:0123456789abcdef,part:00000000000000ff");
/// assert!(KeySet::try_from("part:ff").is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "Vec<CrashKey>")]
pub struct KeySet(Arc<[CrashKey]>);

impl KeySet {
    /// The keys, in order.
    pub fn iter(&self) -> impl Iterator<Item = CrashKey> {
        self.0.iter().copied()
    }

    /// The only key; `None` if there are several.
    pub fn sole(&self) -> Option<CrashKey> {
        match *self.0 {
            [key] => Some(key),
            _ => None,
        }
    }

    /// True if a request has all of these keys. A set without keys matches nothing.
    pub fn matches(&self, keys: &RequestKeys) -> bool {
        !self.0.is_empty() && self.0.iter().all(|key| keys.contains(*key))
    }

    /// True if `key` is one of them.
    pub fn contains(&self, key: CrashKey) -> bool {
        self.0.contains(&key)
    }

    /// The set without the keys; `None` if nothing is left.
    pub(super) fn without(&self, keys: &[CrashKey]) -> Option<KeySet> {
        let left: Vec<CrashKey> = self.iter().filter(|key| !keys.contains(key)).collect();
        (!left.is_empty()).then(|| KeySet::from(left))
    }
}

impl TryFrom<&str> for KeySet {
    type Error = CrashKeyError;

    fn try_from(text: &str) -> Result<KeySet, CrashKeyError> {
        let keys = text.split(',').map(|key| CrashKey::try_from(key.trim()));
        keys.collect::<Result<Vec<CrashKey>, _>>().map(KeySet::from)
    }
}

impl From<Vec<CrashKey>> for KeySet {
    fn from(mut keys: Vec<CrashKey>) -> KeySet {
        keys.sort_unstable();
        keys.dedup();
        KeySet(keys.into())
    }
}

impl From<CrashKey> for KeySet {
    fn from(key: CrashKey) -> KeySet {
        KeySet(Arc::new([key]))
    }
}

impl fmt::Display for KeySet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, key) in self.0.iter().enumerate() {
            write!(f, "{}{key}", if n > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}
