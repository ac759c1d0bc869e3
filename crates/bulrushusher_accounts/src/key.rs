//! API keys of client accounts. Only a digest of a key is kept.

use std::fmt;

/// Domain separation: the digests differ from those of any other use of the same hash.
const CONTEXT: &str = "bulrushusher client account key, first version";

/// Hex digits of a digest that are printed: enough to tell keys apart, too few to recover one.
const PRINTED_DIGITS: usize = 8;

/// Digest of an account's API key.
///
/// Digests are compared in constant time. `Display` and `Debug` print only the first 8 hex digits.
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
    /// Computes the digest of a key in the form in which clients send it.
    pub fn of(key: &str) -> KeyDigest {
        KeyDigest(blake3::Hash::from_bytes(blake3::derive_key(CONTEXT, key.as_bytes())))
    }

    /// The first 64 bits of the digest, used as the key of a hash table.
    pub(crate) fn prefix(&self) -> u64 {
        let bytes = self.0.as_bytes();
        bytes[..8].iter().fold(0, |prefix, byte| prefix << 8 | u64::from(*byte))
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.to_hex()[..PRINTED_DIGITS])
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}
