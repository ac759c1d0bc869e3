//! Revisions of a store that may come back from an older copy.
//!
//! Such a store counts its revisions on from the copy's and gives some out again; how often that has
//! happened is its era. One number of both rises over all of them, so that what was written later is told
//! by a higher one, and a fencing token made of it is never lower than an earlier one.

/// Bits of the revision within its era; a thousand writes a second fill them in thirty years. What is above
/// stays exact in a JSON number for eight thousand eras.
const NUMBER_BITS: u32 = 40;

/// A revision with its era, as one number.
///
/// ```
/// use bulrushusher_forward::{era_of, number_of, revision_in_era};
/// let before = revision_in_era(1, 120);
/// let after = revision_in_era(2, 100);
/// assert!(after > before);
/// assert_eq!((era_of(after), number_of(after)), (2, 100));
/// assert_eq!(revision_in_era(0, 120), 120);
/// ```
pub fn revision_in_era(era: u64, number: u64) -> u64 {
    era << NUMBER_BITS | number & ((1 << NUMBER_BITS) - 1)
}

/// The era of a revision.
pub fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// The revision as the store counts it in its era.
pub fn number_of(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
