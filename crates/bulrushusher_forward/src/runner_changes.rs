//! Changes of the runners' list, as relays pass them on.
//!
//! Each delta says from which revision of the store to which it leads, so that whoever hears it knows
//! whether something is missing, and asks for that. What no relay remembers is asked of the store.

use std::collections::{BTreeMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

use crate::{Runner, era_of};

/// A change of one runner's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerChange {
    /// The entry as it is now.
    Entry(Runner),
    /// It was removed.
    Removed(RunnerId),
    /// It cannot be read, and names no runner to use.
    Unusable(RunnerId),
}

impl RunnerChange {
    /// The runner that it is about.
    pub fn runner(&self) -> &RunnerId {
        match self {
            RunnerChange::Entry(runner) => &runner.id,
            RunnerChange::Removed(id) | RunnerChange::Unusable(id) => id,
        }
    }
}

/// What a gateway asks a relay for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// The revision up to which it has missed nothing.
    pub after: u64,
    /// The runner after which to go on, where a delta has several pages.
    pub page_after: Option<RunnerId>,
}

/// One page of what changed between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerDelta {
    /// What it was asked for; `after` is where it begins.
    pub of: DeltaRequest,
    /// Where it leads to.
    pub revision: u64,
    /// Revision of the last change up to there.
    pub last_change: u64,
    /// The last state of each runner that changed, in order of their identities.
    pub changes: Vec<RunnerChange>,
    /// The runner after which the next page goes on; `None` on the last one.
    pub next_page: Option<RunnerId>,
    /// Time since the store was back from an outage, where entries may have lapsed by it.
    pub outage_age: Option<Millis>,
}

/// The last changes, for those who ask.
///
/// ```
/// use bulrushusher_forward::{ChangeLog, DeltaRequest, RunnerChange};
/// let mut log = ChangeLog::new(100);
/// log.restart(10, 9);
/// let gone = RunnerChange::Removed("i-1".try_into().unwrap());
/// log.record(10, 12, 11, vec![gone.clone()]);
/// let since = |after| log.since(&DeltaRequest { after, page_after: None }, 10);
/// assert_eq!(since(10).unwrap().changes, [gone]);
/// assert!(since(12).unwrap().changes.is_empty());
/// assert!(since(9).is_none(), "what was before is not known");
/// ```
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    most: usize,
    /// Nothing after this revision is missing.
    base: u64,
    revision: u64,
    last_change: u64,
    /// Each with the revision that its batch led to.
    changes: VecDeque<(u64, RunnerChange)>,
}

impl ChangeLog {
    /// A log of at most so many changes.
    pub fn new(most: usize) -> ChangeLog {
        ChangeLog { most, ..ChangeLog::default() }
    }

    /// The revision that it leads to; 0 while it is empty.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Forgets all; what follows begins at `revision`.
    pub fn restart(&mut self, revision: u64, last_change: u64) {
        self.changes.clear();
        (self.base, self.revision, self.last_change) = (revision, revision, last_change);
    }

    /// Adds what changed from one revision to another.
    pub fn record(
        &mut self,
        after: u64,
        revision: u64,
        last_change: u64,
        changes: Vec<RunnerChange>,
    ) {
        if after > self.revision || era_of(after) != era_of(self.revision) {
            self.restart(after, last_change);
        }
        self.revision = self.revision.max(revision);
        self.last_change = self.last_change.max(last_change);
        self.changes.extend(changes.into_iter().map(|change| (revision, change)));
        while self.changes.len() > self.most {
            let oldest = self.changes.pop_front();
            self.base = oldest.map_or(self.base, |(at, _)| self.base.max(at));
        }
    }

    /// What changed since a revision, at most `most` runners of it; `None` when that is not known.
    pub fn since(&self, req: &DeltaRequest, most: usize) -> Option<RunnerDelta> {
        if req.after < self.base || era_of(req.after) != era_of(self.revision) {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > req.after);
        let last: BTreeMap<&RunnerId, &RunnerChange> =
            later.map(|(_, change)| (change.runner(), change)).collect();
        let delta = RunnerDelta {
            of: req.clone(),
            revision: self.revision,
            last_change: self.last_change,
            ..RunnerDelta::default()
        };
        Some(delta.with_page(last.into_values().cloned(), most))
    }
}

impl RunnerDelta {
    /// Takes the page that was asked for out of all changes, which are in order.
    fn with_page(self, all: impl Iterator<Item = RunnerChange>, most: usize) -> RunnerDelta {
        let page_after = self.of.page_after.as_ref();
        let mut changes: Vec<RunnerChange> = all
            .filter(|change| page_after.is_none_or(|id| change.runner() > id))
            .take(most + 1)
            .collect();
        let goes_on = changes.len() > most;
        changes.truncate(most);
        let next_page = changes.last().filter(|_| goes_on).map(|last| last.runner().clone());
        RunnerDelta { changes, next_page, ..self }
    }
}

/// What a delta is to whoever hears it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DeltaNews {
    /// All of it is here and leads on from what is known.
    Apply(RunnerDelta),
    /// Something before it, or a page of it, is missing: ask for that.
    Missing(DeltaRequest),
    /// It tells nothing new.
    Known,
    /// The store has come back from an older copy, and must be asked itself.
    OtherEra,
}

/// Puts the pages of deltas together.
#[derive(Clone, Debug, Default)]
pub struct DeltaPages {
    partial: Option<RunnerDelta>,
}

impl DeltaPages {
    /// Takes a page, while nothing up to the revision `seen` was missed.
    pub fn take(&mut self, page: RunnerDelta, seen: u64) -> DeltaNews {
        if era_of(page.revision) > era_of(seen) {
            self.partial = None;
            return DeltaNews::OtherEra;
        }
        if page.revision <= seen || era_of(page.revision) != era_of(seen) {
            return DeltaNews::Known;
        }
        if page.of.after > seen {
            return DeltaNews::Missing(DeltaRequest { after: seen, page_after: None });
        }
        let joined = self.join(page).filter(|joined| joined.revision > seen);
        let Some(joined) = joined else { return DeltaNews::Known };
        match joined.next_page.clone() {
            Some(next) => {
                let req = DeltaRequest { after: joined.of.after, page_after: Some(next) };
                self.partial = Some(joined);
                DeltaNews::Missing(req)
            }
            None => DeltaNews::Apply(joined),
        }
    }

    /// Adds a page to those before it; `None` when they are not here. What changed between pages comes
    /// with the next delta, as the revision stays that of the first.
    fn join(&mut self, page: RunnerDelta) -> Option<RunnerDelta> {
        if page.of.page_after.is_none() {
            return Some(page);
        }
        let follows = |partial: &RunnerDelta| {
            partial.next_page == page.of.page_after && partial.of.after == page.of.after
        };
        let mut first = self.partial.take().filter(follows)?;
        first.changes.extend(page.changes);
        first.next_page = page.next_page;
        Some(first)
    }
}
