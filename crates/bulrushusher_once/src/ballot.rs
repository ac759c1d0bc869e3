//! Ballots: the order of precedence among attempts to run a key.

use bulrushusher_world::EntryName;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The precedence of one attempt to run a key. An agent that has promised a ballot for a key
/// refuses orders for it at lower ballots.
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
    /// The attempt recorded by the key's home; the lowest ballot.
    #[default]
    #[display("home")]
    Home,
    /// An attempt made after a bar round ([`crate::BarRound`]).
    #[display("{number}/{owner}")]
    Barred {
        /// Increases with each bar round.
        number: u32,
        /// The settlement that ran the bar round.
        owner: Owner,
    },
}

/// The settlement that owns a ballot. It must be unique even among settlements of one entry for one
/// key: with equal ballots, each would treat promises made to the other as its own.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{entry}/{incarnation:x}/{attempt}")]
pub struct Owner {
    /// The entry.
    pub entry: EntryName,
    /// Identifies one run of the entry's process; unique to each start.
    pub incarnation: u64,
    /// Number of the settlement within that incarnation.
    pub attempt: u64,
}

impl Ballot {
    /// The next higher ballot, owned by `owner`.
    #[must_use]
    pub fn next(&self, owner: &Owner) -> Ballot {
        let number = match self {
            Ballot::Home => 0,
            Ballot::Barred { number, .. } => *number,
        };
        Ballot::Barred { number: number.saturating_add(1), owner: owner.clone() }
    }
}
