//! Keys of client accounts, of which only a digest is ever kept.

use std::fmt;

/// Domain of the digests, so that they match no other use of the same hash.
const CONTEXT: &str = "bulrushusher client account key, first version";

/// Characters of a digest that are shown; enough to tell keys apart, too few to find one out.
const SHOWN: usize = 8;

/// Digest of an account's key. Digests are compared in constant time, and neither a display nor a debug
/// print shows more than the first characters.
///
/// ```
/// use bulrushusher_accounts::KeyDigest;
/// let digest = KeyDigest::of("a-key");
/// assert_eq!(digest, KeyDigest::of("a-key"));
/// assert_ne!(digest, KeyDigest::of("another"));
/// assert_eq!(digest.to_string().len(), 8);
/// ```
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct KeyDigest(blake3::Hash);

impl KeyDigest {
    /// The digest of a key as its holder sends it.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(blake3::Hash::from_bytes(blake3::derive_key(CONTEXT, key.as_bytes())))
    }

    /// A part of it that finds its place in a table.
    pub(crate) fn slot(&self) -> u64 {
        let bytes = self.0.as_bytes();
        bytes[..8].iter().fold(0, |slot, byte| slot << 8 | u64::from(*byte))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex()[..SHOWN])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}
