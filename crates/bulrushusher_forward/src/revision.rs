//! Revisions of a store that may be restored from an older backup.
//!
//! A restored store continues from the backup's revision and hands out some revisions again. The
//! number of times that the store was restored is its *era*. A combined revision holds the era in
//! its high bits and the store's own revision in its low bits, so it increases across restores, and
//! a fencing token derived from it never decreases.

/// Bits for the revision within an era: at 1,000 writes a second they last thirty years. The
/// remaining bits keep a combined revision exact as a JSON number for 8,000 eras.
const NUMBER_BITS: u32 = 40;

/// Combines an era (the number of restores of the store) and the store's own revision `number` into
/// one number.
///
/// ```
/// use bulrushusher_forward::{era_of, number_in_era, revision_in_era};
/// let before = revision_in_era(1, 120);
/// let after = revision_in_era(2, 100);
/// assert!(after > before);
/// assert_eq!((era_of(after), number_in_era(after)), (2, 100));
/// assert_eq!(revision_in_era(0, 120), 120);
/// ```
pub fn revision_in_era(era: u64, number: u64) -> u64 {
    era << NUMBER_BITS | number & ((1 << NUMBER_BITS) - 1)
}

/// The era of a combined revision: how many times the store had been restored.
pub fn era_of(revision: u64) -> u64 {
    revision >> NUMBER_BITS
}

/// The store's own revision, that is, a combined revision without its era.
pub fn number_in_era(revision: u64) -> u64 {
    revision & ((1 << NUMBER_BITS) - 1)
}
