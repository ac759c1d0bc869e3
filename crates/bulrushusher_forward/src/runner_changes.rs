//! Changes of the runner list, as relays forward them.
//!
//! Each delta names the store revisions between which it leads, so a receiver detects gaps and
//! requests what is missing from a relay. Changes older than a relay's log are read from the store.

use std::collections::{BTreeMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::RunnerId;
use serde::{Deserialize, Serialize};

use crate::{Runner, era_of};

/// The removal of a runner's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerRemoval {
    /// The runner.
    pub id: RunnerId,
    /// Revision of the removal or of the last entry before it; 0 if neither is known.
    pub revision: u64,
}

/// A change of one runner's entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunnerChange {
    /// The entry's new content.
    Entry(Runner),
    /// The entry was removed.
    Removed(RunnerRemoval),
    /// The entry cannot be parsed; the runner must not be used.
    Unusable(RunnerId),
}

impl RunnerChange {
    /// The changed runner.
    pub fn runner(&self) -> &RunnerId {
        match self {
            RunnerChange::Entry(runner) => &runner.id,
            RunnerChange::Removed(removal) => &removal.id,
            RunnerChange::Unusable(id) => id,
        }
    }
}

/// A request to a relay for changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeltaRequest {
    /// The revision up to which the requester has all changes.
    pub after: u64,
    /// The last runner of the previous page, when a further page is requested.
    pub page_after: Option<RunnerId>,
}

/// One page of the changes between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunnerDelta {
    /// The request that it answers; the delta begins at its `after`.
    pub request: DeltaRequest,
    /// The revision at which the delta ends.
    pub revision: u64,
    /// Revision of the last change up to `revision`.
    pub last_change: u64,
    /// The latest state of each changed runner, sorted by identity.
    pub changes: Vec<RunnerChange>,
    /// The runner after which the next page begins; `None` on the last page.
    pub next_page: Option<RunnerId>,
    /// Time since the end of a store outage, while entries may still be missing because of it.
    pub outage_age: Option<Millis>,
}

/// Maximum number of list gaps in a log. A relay that lists this often within the history of its
/// log has an unstable connection to the store, and gateways that lag behind read the store.
const MAX_GAPS: usize = 8;

/// Two revisions between which a log has only the difference of two lists. A runner that was
/// registered and removed between them is in neither list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ListGap {
    from: u64,
    to: u64,
}

/// The revisions after which a log contains every change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogCoverage {
    base: u64,
    /// In the order of their revisions.
    gaps: Vec<ListGap>,
}

impl LogCoverage {
    /// True if the log contains every change that a gateway with all changes up to `revision`
    /// lacks.
    ///
    /// ```
    /// let mut log = bulrushusher_forward::ChangeLog::new(100);
    /// log.record_list(30, 28, vec![]);
    /// log.record_list(36, 28, vec![]);
    /// assert!(log.coverage().contains(30) && log.coverage().contains(36));
    /// assert!(!log.coverage().contains(34), "a runner may have been removed at 35");
    /// assert!(!log.coverage().contains(29));
    /// ```
    pub fn contains(&self, revision: u64) -> bool {
        let is_inside = |gap: &ListGap| gap.from < revision && revision < gap.to;
        revision >= self.base
            && era_of(revision) == era_of(self.base)
            && !self.gaps.iter().any(is_inside)
    }

    /// Drops the history before a revision.
    fn begin_at(&mut self, base: u64) {
        self.base = self.base.max(base);
        self.gaps.retain(|gap| gap.to > base);
    }

    fn add_gap(&mut self, gap: ListGap) {
        self.gaps.push(gap);
        if self.gaps.len() > MAX_GAPS {
            self.begin_at(self.gaps[0].to);
        }
    }
}

/// A bounded log of the latest changes, for answering requests.
///
/// ```
/// use bulrushusher_forward::{ChangeLog, DeltaRequest, RunnerChange, RunnerRemoval};
/// let mut log = ChangeLog::new(100);
/// log.restart(10, 9);
/// let removal = RunnerRemoval { id: "i-1".try_into().unwrap(), revision: 11 };
/// let gone = RunnerChange::Removed(removal);
/// log.record(10, 12, 11, vec![gone.clone()]);
/// let since = |after| log.since(&DeltaRequest { after, page_after: None }, 10);
/// assert_eq!(since(10).unwrap().changes, [gone]);
/// assert!(since(12).unwrap().changes.is_empty());
/// assert!(since(9).is_none(), "what was before is not known");
/// ```
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    most: usize,
    coverage: LogCoverage,
    revision: u64,
    last_change: u64,
    /// Changes, each with the last revision of its batch.
    changes: VecDeque<(u64, RunnerChange)>,
}

impl ChangeLog {
    /// Creates a log of at most `most` changes.
    pub fn new(most: usize) -> ChangeLog {
        ChangeLog { most, ..ChangeLog::default() }
    }

    /// The revision at which the log ends; 0 while it is empty.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The revisions after which the log is complete.
    pub fn coverage(&self) -> &LogCoverage {
        &self.coverage
    }

    /// Clears the log; it continues from `revision`.
    pub fn restart(&mut self, revision: u64, last_change: u64) {
        self.changes.clear();
        self.coverage = LogCoverage { base: revision, gaps: Vec::new() };
        (self.revision, self.last_change) = (revision, last_change);
    }

    /// Records a full list, which changed the state at the end of the log by `changes`. The first
    /// list, and the first one after a restore of the store, begin the log.
    pub fn record_list(&mut self, revision: u64, last_change: u64, changes: Vec<RunnerChange>) {
        let from = self.revision;
        if from == 0 || era_of(from) != era_of(revision) {
            self.restart(revision, last_change);
            return;
        }
        if revision > from.saturating_add(1) {
            self.coverage.add_gap(ListGap { from, to: revision });
        }
        self.record(from, revision, last_change, changes);
    }

    /// Appends the changes between two revisions. Changes that end before the log does arrived late,
    /// and the log contains them or later ones.
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
        if revision < self.revision {
            return;
        }
        self.revision = revision;
        self.last_change = self.last_change.max(last_change);
        self.changes.extend(changes.into_iter().map(|change| (revision, change)));
        while self.changes.len() > self.most {
            let oldest = self.changes.pop_front();
            self.coverage.begin_at(oldest.map_or(0, |(at, _)| at));
        }
    }

    /// One page of the changes after a revision, with at most `most` runners; `None` when the log
    /// does not contain all of them.
    pub fn since(&self, req: &DeltaRequest, most: usize) -> Option<RunnerDelta> {
        if !self.coverage.contains(req.after) {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > req.after);
        let last: BTreeMap<&RunnerId, &RunnerChange> =
            later.map(|(_, change)| (change.runner(), change)).collect();
        let delta = RunnerDelta {
            request: req.clone(),
            revision: self.revision,
            last_change: self.last_change,
            ..RunnerDelta::default()
        };
        Some(delta.with_page(last.into_values().cloned(), most))
    }
}

impl RunnerDelta {
    /// Fills in the requested page from all changes, which are sorted by runner.
    fn with_page(self, all: impl Iterator<Item = RunnerChange>, most: usize) -> RunnerDelta {
        let page_after = self.request.page_after.as_ref();
        let mut changes: Vec<RunnerChange> = all
            .filter(|change| page_after.is_none_or(|id| change.runner() > id))
            .take(most + 1)
            .collect();
        let is_truncated = changes.len() > most;
        changes.truncate(most);
        let next_page = changes.last().filter(|_| is_truncated).map(|last| last.runner().clone());
        RunnerDelta { changes, next_page, ..self }
    }
}

/// What a receiver does with a page.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PageOutcome {
    /// The delta is complete and continues from the receiver's revision: apply it.
    Apply(RunnerDelta),
    /// An earlier change or a further page is missing: send this request.
    Missing(DeltaRequest),
    /// It contains nothing new.
    Known,
    /// The store was restored from an older backup: read the list from the store.
    OtherEra,
}

/// Reassembles deltas from their pages.
#[derive(Clone, Debug, Default)]
pub struct DeltaPages {
    partial: Option<RunnerDelta>,
}

impl DeltaPages {
    /// Adds a page; the receiver has all changes up to the revision `seen`.
    pub fn add(&mut self, page: RunnerDelta, seen: u64) -> PageOutcome {
        if era_of(page.revision) > era_of(seen) {
            self.partial = None;
            return PageOutcome::OtherEra;
        }
        if page.revision <= seen || era_of(page.revision) != era_of(seen) {
            return PageOutcome::Known;
        }
        if page.request.after > seen {
            return PageOutcome::Missing(DeltaRequest { after: seen, page_after: None });
        }
        let combined = self.append(page).filter(|combined| combined.revision > seen);
        let Some(combined) = combined else { return PageOutcome::Known };
        match combined.next_page.clone() {
            Some(next) => {
                let req = DeltaRequest { after: combined.request.after, page_after: Some(next) };
                self.partial = Some(combined);
                PageOutcome::Missing(req)
            }
            None => PageOutcome::Apply(combined),
        }
    }

    /// Appends a page to the previous ones; `None` if they are missing. The delta ends at the lowest
    /// revision of its pages, as another relay may have sent one of them. Later changes that some
    /// pages contain arrive again with the next delta.
    fn append(&mut self, page: RunnerDelta) -> Option<RunnerDelta> {
        if page.request.page_after.is_none() {
            return Some(page);
        }
        let follows = |partial: &RunnerDelta| {
            partial.next_page == page.request.page_after
                && partial.request.after == page.request.after
        };
        let mut first = self.partial.take().filter(follows)?;
        first.changes.extend(page.changes);
        first.next_page = page.next_page;
        first.revision = first.revision.min(page.revision);
        first.last_change = first.last_change.max(page.last_change).min(first.revision);
        Some(first)
    }
}
