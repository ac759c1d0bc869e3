//! The data centres that must get no new work, as recorded at one gateway.
//!
//! The set changes by lists and changes of the store, and by whole sets from relays. These arrive in
//! any order. Each has the revision of the store up to which it is complete, and a set is only ever
//! replaced by one of a later revision. Revisions contain the store's era, so the first list after
//! the store was restored from a backup is later than any set from before.

use std::collections::BTreeSet;

use bulrushusher_world::DataCentreName;
use serde::{Deserialize, Serialize};

/// The evacuated data centres, complete up to a revision of the store. Relays forward it as a whole:
/// it has at most one entry for each data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationSet {
    /// Revision of the store, including its era; see [`crate::revision_in_era`].
    pub revision: u64,
    /// The evacuated data centres.
    pub data_centres: BTreeSet<DataCentreName>,
}

/// A change of one evacuation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The data centre must get no new work.
    Began(DataCentreName),
    /// The data centre gets work again.
    Ended(DataCentreName),
}

/// What a gateway received about evacuations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EvacuationUpdate {
    /// A list of the store.
    List(EvacuationSet),
    /// The set of a relay.
    Relayed(EvacuationSet),
    /// All changes of the store between two revisions of one era, in their order.
    Changes {
        /// The revision after which they were made.
        after: u64,
        /// The revision up to which they are complete.
        revision: u64,
        /// The changes.
        changes: Vec<EvacuationChange>,
    },
}

/// What an update changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationDiff {
    /// Data centres that are evacuated now and were not before.
    pub began: Vec<DataCentreName>,
    /// Data centres that are no longer evacuated.
    pub ended: Vec<DataCentreName>,
}

/// The evacuations known at a gateway.
///
/// ```
/// use bulrushusher_forward::{EvacuationChange, EvacuationSet, EvacuationUpdate, Evacuations};
/// use bulrushusher_world::DataCentreName;
/// let name = DataCentreName::try_from("ba-a").unwrap();
/// let mut evacuations = Evacuations::default();
/// evacuations.update(EvacuationUpdate::List(EvacuationSet { revision: 7, ..Default::default() }));
/// let changes = vec![EvacuationChange::Began(name.clone())];
/// evacuations.update(EvacuationUpdate::Changes { after: 7, revision: 9, changes });
/// assert!(evacuations.contains(&name));
/// // A relay that has missed the change does not undo it.
/// let old = EvacuationSet { revision: 8, ..Default::default() };
/// evacuations.update(EvacuationUpdate::Relayed(old));
/// assert!(evacuations.contains(&name));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    set: EvacuationSet,
    is_listed: bool,
}

impl Evacuations {
    /// Applies an update, unless the set is already as late. Sets of relays are used only after the
    /// first list, and changes only if none is missing before them.
    pub fn update(&mut self, update: EvacuationUpdate) -> EvacuationDiff {
        let is_later = |revision: u64| revision > self.set.revision;
        let set = match update {
            EvacuationUpdate::List(set) if !self.is_listed || is_later(set.revision) => set,
            EvacuationUpdate::Relayed(set) if self.is_listed && is_later(set.revision) => set,
            EvacuationUpdate::Changes { after, revision, changes }
                if self.is_listed && self.is_continued_by(after, revision) =>
            {
                self.with_changes(revision, changes)
            }
            EvacuationUpdate::List(_)
            | EvacuationUpdate::Relayed(_)
            | EvacuationUpdate::Changes { .. } => return EvacuationDiff::default(),
        };
        self.is_listed = true;
        let old = std::mem::replace(&mut self.set, set).data_centres;
        let new = &self.set.data_centres;
        EvacuationDiff {
            began: new.difference(&old).cloned().collect(),
            ended: old.difference(new).cloned().collect(),
        }
    }

    /// True if changes between two revisions of one era lead from this set to a later one. Changes
    /// that the set contains already may be among them: applied again in order, they give the same
    /// result.
    fn is_continued_by(&self, after: u64, revision: u64) -> bool {
        (after..revision).contains(&self.set.revision)
    }

    fn with_changes(&self, revision: u64, changes: Vec<EvacuationChange>) -> EvacuationSet {
        let mut data_centres = self.set.data_centres.clone();
        for change in changes {
            match change {
                EvacuationChange::Began(name) => data_centres.insert(name),
                EvacuationChange::Ended(name) => data_centres.remove(&name),
            };
        }
        EvacuationSet { revision, data_centres }
    }

    /// True while the data centre must get no new work.
    pub fn contains(&self, data_centre: &DataCentreName) -> bool {
        self.set.data_centres.contains(data_centre)
    }

    /// True while no data centre is evacuated.
    pub fn is_empty(&self) -> bool {
        self.set.data_centres.is_empty()
    }

    /// The set with its revision; `None` before the first list.
    pub fn listed(&self) -> Option<&EvacuationSet> {
        self.is_listed.then_some(&self.set)
    }
}
