//! Ballots: which attempt at a key goes first.

use bulrushusher_world::EntryName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The rank of one attempt to run a key. Higher ballots bar lower ones.
///
/// ```
/// use bulrushusher_once::Ballot;
/// use bulrushusher_world::EntryName;
/// let entry = EntryName::try_from("entry-1").unwrap();
/// let first = Ballot::Home.next(&entry, 7);
/// assert!(Ballot::Home < first && first < first.next(&entry, 7));
/// ```
#[derive(
    Clone, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Ballot {
    /// The attempt that the key's home recorded; the lowest ballot.
    #[default]
    #[display("home")]
    Home,
    /// An attempt after a bar.
    #[display("{number}/{entry}/{incarnation}")]
    Barred {
        /// Rises with each bar.
        number: u32,
        /// The entry that barred.
        entry: EntryName,
        /// Which life of that entry; unique to each start.
        incarnation: u64,
    },
}

impl Ballot {
    /// The next higher ballot, owned by `entry` in its life `incarnation`.
    #[must_use]
    pub fn next(&self, entry: &EntryName, incarnation: u64) -> Ballot {
        let held = match self {
            Ballot::Home => 0,
            Ballot::Barred { number, .. } => *number,
        };
        Ballot::Barred { number: held.saturating_add(1), entry: entry.clone(), incarnation }
    }
}
