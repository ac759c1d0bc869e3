//! Ballots: which attempt at a key goes first.

use bulrushusher_world::EntryName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The rank of one attempt to run a key. Higher ballots bar lower ones.
///
/// ```
/// use bulrushusher_once::{Ballot, Owner};
/// use bulrushusher_world::EntryName;
/// let entry = EntryName::try_from("entry-1").unwrap();
/// let owner = Owner { entry, incarnation: 7, attempt: 1 };
/// let first = Ballot::Home.next(&owner);
/// assert!(Ballot::Home < first && first < first.next(&owner));
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
    #[display("{number}/{owner}")]
    Barred {
        /// Rises with each bar.
        number: u32,
        /// Who barred.
        owner: Owner,
    },
}

/// Who owns a ballot. No two settlements have the same owner, not even two of one entry for one
/// key: each would take the other's promises for its own.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{entry}/{incarnation:x}/{attempt}")]
pub struct Owner {
    /// The entry.
    pub entry: EntryName,
    /// Which life of that entry; unique to each start.
    pub incarnation: u64,
    /// Which settlement of that life.
    pub attempt: u64,
}

impl Ballot {
    /// The next higher ballot, owned by `owner`.
    #[must_use]
    pub fn next(&self, owner: &Owner) -> Ballot {
        let held = match self {
            Ballot::Home => 0,
            Ballot::Barred { number, .. } => *number,
        };
        Ballot::Barred { number: held.saturating_add(1), owner: owner.clone() }
    }
}
