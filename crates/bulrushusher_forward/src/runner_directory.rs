//! Directory of known runners, and how it treats lapsed entries around a store outage.

use std::collections::{HashMap, HashSet};

use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};

use serde::{Deserialize, Serialize};

use crate::{
    EvacuationDiff, EvacuationUpdate, Evacuations, Runner, RunnerRemoval, ServiceVersion,
    StartStatus, StartTime, StartTimes,
};

/// Time limits of the runner directory.
#[derive(Clone, Copy, Debug)]
pub struct RunnerDirectoryConfig {
    /// Time without answers of the store after which entries may have lapsed although their runners
    /// are alive.
    pub outage_after: Millis,
    /// How long a lapsed entry stays usable once the store answers again.
    pub return_grace: Millis,
}

impl Default for RunnerDirectoryConfig {
    /// The platform guarantees that entries of live runners are back within two seconds after the
    /// store returns. Entries lapse after three missed heartbeats, so a shorter silence lapses
    /// none.
    fn default() -> RunnerDirectoryConfig {
        RunnerDirectoryConfig { outage_after: Millis(1_500), return_grace: Millis(2_000) }
    }
}

/// How long the removal of an entry is remembered. A store can be restored from a backup that is
/// some seconds old and still contains the entry.
const REMOVAL_TTL: Millis = Millis(60_000);

/// Number of changes of runners that are not known up to which none is dropped.
const MIN_APPLIED: usize = 256;

/// How long a drain notice is kept for a runner that is no longer listed. Gateways stop passing it
/// on earlier than that, so a gateway that has dropped it does not receive it as new.
const DRAIN_NOTICE_TTL: Millis = Millis(2 * REMOVAL_TTL.0);

/// Maximum number of drain notices that are kept of one runner.
const MAX_DRAIN_NOTICES: usize = 8;

/// Whether the store's list still contains a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Listing {
    Listed,
    /// Missing from the list around a store outage; its runner is used up to the time `until`, or
    /// for longer if it is listed again by then.
    Lapsed {
        until: Millis,
    },
}

#[derive(Clone, Debug)]
struct Entry {
    runner: Runner,
    listing: Listing,
    /// When it was last applied with another content.
    changed_at: Millis,
    /// True if its version gets new work.
    is_serving: bool,
}

/// The latest change of a runner's entry that was applied.
#[derive(Clone, Copy, Debug, Default)]
struct AppliedChange {
    /// Its revision; 0 if no change of the entry had one.
    revision: u64,
    is_removal: bool,
    at: Millis,
}

/// Changes made by a full list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerListDiff {
    /// Runners that the list no longer contains.
    pub missing: Vec<RunnerId>,
    /// Runners that restarted; their earlier state is invalid.
    pub restarted: Vec<RunnerId>,
    /// Runners whose entry was not applied: a later one, or a later start, is known.
    pub passed_over: Vec<RunnerId>,
}

/// The known runners.
///
/// ```
/// use bulrushusher_forward::{Runner, RunnerDirectory, RunnerDirectoryConfig, RunnerRemoval};
/// use bulrushusher_time::Millis;
/// let runner = Runner {
///     id: "i-1".try_into().unwrap(),
///     born: None,
///     service: "board-app".try_into().unwrap(),
///     address: "10.0.0.1:80".parse().unwrap(),
///     data_centre: "ba-ruzinov".try_into().unwrap(),
///     slots: 6,
///     stage: None,
///     leaving: false,
///     cold_for: Millis(0),
///     revision: 0,
///     version: "v1".into(),
/// };
/// let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
/// runners.store_answered(Millis(0));
/// runners.put(runner.clone(), Millis(10));
/// runners.remove(&RunnerRemoval { id: runner.id.clone(), revision: 0 }, Millis(100));
/// assert!(runners.get(&runner.id, Millis(100)).is_none(), "removed while the store answered");
/// ```
#[derive(Clone, Debug)]
pub struct RunnerDirectory {
    cfg: RunnerDirectoryConfig,
    known: HashMap<RunnerId, Entry>,
    starts: StartTimes,
    last_answer: Option<Millis>,
    last_outage_end: Option<Millis>,
    was_fully_listed: bool,
    /// The latest change of each known or recently removed runner. Lists, answers and messages of
    /// relays may arrive in another order than that in which they were read.
    applied: HashMap<RunnerId, AppliedChange>,
    /// Revision of the latest full list. A runner without a change in `applied` had no entry then.
    list_revision: u64,
    /// True until the first full list after the store was restored from a backup.
    is_restored: bool,
    /// Drain notices by runner, of different starts.
    drain_notices: HashMap<RunnerId, Vec<DrainNotice>>,
    evacuations: Evacuations,
    /// Versions of which model runners get new work; `None` for all.
    serving: Option<HashSet<ServiceVersion>>,
}

/// A runner's drain notice, as gateways pass it on to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The runner.
    pub runner: RunnerId,
    /// The start of the runner that sent the notice.
    pub born: Option<StartTime>,
}

#[derive(Clone, Copy, Debug)]
struct DrainNotice {
    born: Option<StartTime>,
    received_at: Millis,
}

impl RunnerDirectory {
    /// Creates an empty directory.
    pub fn new(cfg: RunnerDirectoryConfig) -> RunnerDirectory {
        RunnerDirectory {
            cfg,
            known: HashMap::new(),
            starts: StartTimes::default(),
            last_answer: None,
            last_outage_end: None,
            was_fully_listed: false,
            applied: HashMap::new(),
            list_revision: 0,
            is_restored: false,
            drain_notices: HashMap::new(),
            evacuations: Evacuations::default(),
            serving: None,
        }
    }

    /// Records that a start of a runner announced its drain in a response; it gets no new work from
    /// then on, whatever its store entry states. The runner updates that entry later, and the store
    /// may be unavailable or restored from an older backup. Returns true when the notice is new.
    pub fn record_drain_notice(&mut self, report: &DrainReport, now: Millis) -> bool {
        let DrainReport { runner, born } = report;
        if self.starts.is_past(runner, *born) || self.has_drain_notice(runner, *born) {
            return false;
        }
        let known = &self.known;
        self.drain_notices.retain(|id, notices| {
            let is_kept = |it: &DrainNotice| now.since(it.received_at) < DRAIN_NOTICE_TTL;
            known.contains_key(id) || notices.iter().any(is_kept)
        });
        let notices = self.drain_notices.entry(runner.clone()).or_default();
        notices.push(DrainNotice { born: *born, received_at: now });
        if notices.len() > MAX_DRAIN_NOTICES {
            notices.remove(0);
        }
        if let Some(known) = self.known.get_mut(runner).filter(|it| it.runner.born == *born) {
            known.runner.leaving = true;
        }
        true
    }

    /// Drain notices to pass on to other gateways. Those of runners removed for longer than
    /// a minute are left out.
    pub fn drain_reports(&self, now: Millis) -> Vec<DrainReport> {
        let is_passed_on = |id: &RunnerId, notice: &DrainNotice| {
            let is_recent = now.since(notice.received_at) < REMOVAL_TTL;
            !self.starts.is_past(id, notice.born) && (self.known.contains_key(id) || is_recent)
        };
        let all = self.drain_notices.iter();
        let all = all.flat_map(|(id, notices)| notices.iter().map(move |notice| (id, notice)));
        let passed_on = all.filter(|(id, notice)| is_passed_on(id, notice));
        let mut reports: Vec<DrainReport> =
            passed_on.map(|(id, it)| DrainReport { runner: id.clone(), born: it.born }).collect();
        reports.sort_unstable_by(|a, b| a.runner.cmp(&b.runner));
        reports
    }

    /// True when this start of the runner sent a drain notice.
    pub fn has_drain_notice(&self, id: &RunnerId, born: Option<StartTime>) -> bool {
        let notices = self.drain_notices.get(id);
        notices.is_some_and(|notices| notices.iter().any(|notice| notice.born == born))
    }

    /// Records that the store was restored from an older backup. Entries missing from the backup
    /// are rewritten by their runners, as after an outage; entries in it may be outdated, for
    /// runners that have since begun to drain or have been removed.
    pub fn record_store_restore(&mut self, now: Millis) {
        self.last_outage_end = Some(now);
        self.is_restored = true;
    }

    /// Records an answer of the store; returns for how long the store had not answered before, if
    /// that was an outage.
    pub fn store_answered(&mut self, now: Millis) -> Option<Millis> {
        self.store_answered_after(Millis(0), now)
    }

    /// Like [`RunnerDirectory::store_answered`], for a long poll of up to `wait`, during which no
    /// answer was due.
    ///
    /// ```
    /// use bulrushusher_forward::{RunnerDirectory, RunnerDirectoryConfig};
    /// use bulrushusher_time::Millis;
    /// let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
    /// runners.store_answered(Millis(0));
    /// assert_eq!(runners.store_answered_after(Millis(8_000), Millis(8_010)), None);
    /// assert!(runners.store_answered_after(Millis(1_000), Millis(12_000)).is_some());
    /// ```
    pub fn store_answered_after(&mut self, wait: Millis, now: Millis) -> Option<Millis> {
        let silent = self.last_answer.map(|at| now.since(at).since(wait));
        self.last_answer = Some(now);
        let outage = silent.filter(|silent| *silent >= self.cfg.outage_after);
        if outage.is_some() {
            self.last_outage_end = Some(now);
        }
        outage
    }

    /// Starts measuring the time without answers of the store: this gateway sent it no requests
    /// before `now`.
    pub fn begin_store_polling(&mut self, now: Millis) {
        self.last_answer = Some(now);
    }

    /// Records the end of a store outage that a relay reported.
    pub fn record_outage_end(&mut self, at: Millis) {
        self.last_outage_end = self.last_outage_end.max(Some(at));
    }

    /// Time since the end of an outage, while entries may still be missing because of it.
    pub fn outage_age(&self, now: Millis) -> Option<Millis> {
        let age = self.last_outage_end.map(|end| now.since(end));
        age.filter(|age| *age < self.cfg.return_grace)
    }

    /// True when the store lists the runner with exactly this entry.
    pub fn is_listed_as(&self, runner: &Runner) -> bool {
        let known = self.known.get(&runner.id);
        known.is_some_and(|it| it.listing == Listing::Listed && it.runner == *runner)
    }

    /// True once any entries are known, even if only the first page of a list.
    pub fn has_entries(&self) -> bool {
        self.was_fully_listed || !self.known.is_empty()
    }

    /// True once a full list was applied.
    pub fn has_full_list(&self) -> bool {
        self.was_fully_listed
    }

    /// Replaces the directory by a full list, read at a revision of the store (0 if that is not
    /// known). State from later revisions is kept.
    pub fn replace_all(
        &mut self,
        mut runners: Vec<Runner>,
        revision: u64,
        now: Millis,
    ) -> RunnerListDiff {
        if std::mem::take(&mut self.is_restored) {
            self.correct_restored_list(&mut runners, now);
        }
        let listed: HashMap<RunnerId, Runner> =
            runners.into_iter().map(|r| (r.id.clone(), r)).collect();
        let is_older = |known: &Entry| revision == 0 || known.runner.revision <= revision;
        let is_missing =
            |(id, known): &(&RunnerId, &Entry)| !listed.contains_key(*id) && is_older(known);
        let missing: Vec<RunnerId> =
            self.known.iter().filter(is_missing).map(|(id, _)| id.clone()).collect();
        for id in &missing {
            self.remove(&RunnerRemoval { id: id.clone(), revision }, now);
        }
        if revision >= self.list_revision {
            // Every entry of the latest list exists.
            self.list_revision = 0;
        }
        let (mut restarted, mut passed_over) = (Vec::new(), Vec::new());
        for (id, runner) in listed {
            match self.put(runner, now) {
                StartStatus::Current => {}
                StartStatus::Newer => restarted.push(id),
                StartStatus::Stale | StartStatus::Missing => passed_over.push(id),
            }
        }
        self.list_revision = self.list_revision.max(revision);
        self.was_fully_listed = true;
        RunnerListDiff { missing, restarted, passed_over }
    }

    /// Corrects a list from a restored backup: a removed runner comes back only by registering
    /// again, a draining one stays draining, and one that has started again since the backup keeps
    /// its entry.
    fn correct_restored_list(&self, runners: &mut Vec<Runner>, now: Millis) {
        let is_gone = |id: &RunnerId| {
            let removal = self.applied.get(id).filter(|it| it.is_removal);
            !self.known.contains_key(id) && removal.is_some_and(|it| now.since(it.at) < REMOVAL_TTL)
        };
        runners.retain(|runner| !is_gone(&runner.id));
        for runner in runners {
            let known = self.known.get(&runner.id).map(|known| &known.runner);
            if let Some(known) = known.filter(|it| self.starts.is_past(&it.id, runner.born)) {
                *runner = Runner { revision: runner.revision, ..known.clone() };
            }
            let is_same = |known: &&Runner| known.born == runner.born;
            runner.leaving |= known.filter(is_same).is_some_and(|known| known.leaving);
        }
    }

    /// True when a later change of the runner's entry was applied, or a later list without it, so
    /// that this entry must be ignored.
    pub fn is_outdated(&self, entry: &Runner) -> bool {
        let latest = self.latest_change(&entry.id);
        let is_removed = latest.is_removal && latest.revision >= entry.revision;
        entry.revision > 0 && (latest.revision > entry.revision || is_removed)
    }

    /// Applies one entry. An outdated entry or one of an earlier start is ignored. An entry without
    /// a start time, for a runner that has reported one, was not written by that runner and makes
    /// it unusable.
    pub fn put(&mut self, mut runner: Runner, now: Millis) -> StartStatus {
        if self.is_outdated(&runner) {
            return StartStatus::Stale;
        }
        let (id, born, revision) = (&runner.id, runner.born, runner.revision);
        let status = self.record_born(id, born, |starts| starts.record_entry(id, born, revision));
        match status {
            StartStatus::Stale => {}
            StartStatus::Missing => self.forget(&runner.id),
            StartStatus::Current | StartStatus::Newer => {
                self.remove_lapsed_at_address(&runner);
                self.record_change(&runner.id, runner.revision, false, now);
                runner.leaving |= self.has_drain_notice(&runner.id, runner.born);
                let known = self.known.get(&runner.id).filter(|known| known.runner == runner);
                let changed_at = known.map_or(now, |known| known.changed_at);
                let is_serving = is_serving(self.serving.as_ref(), &runner);
                let entry = Entry { runner, listing: Listing::Listed, changed_at, is_serving };
                self.known.insert(entry.runner.id.clone(), entry);
            }
        }
        status
    }

    /// Records a start time that the runner reported itself, possibly before its entry shows it.
    pub fn record_start(&mut self, id: &RunnerId, born: Option<StartTime>) -> StartStatus {
        let status = self.record_born(id, born, |starts| starts.record_own(id, born));
        let is_leaving = self.has_drain_notice(id, born);
        if let (StartStatus::Newer, Some(known)) = (status, self.known.get_mut(id)) {
            known.runner.born = born;
            known.runner.leaving |= is_leaving;
        }
        status
    }

    /// Records a reported start. The first one that becomes known may have sent a drain notice
    /// before, which then binds it.
    fn record_born(
        &mut self,
        id: &RunnerId,
        born: Option<StartTime>,
        record: impl FnOnce(&mut StartTimes) -> StartStatus,
    ) -> StartStatus {
        let is_first = self.starts.latest(id).is_none();
        let status = record(&mut self.starts);
        for notice in self.drain_notices.get_mut(id).filter(|_| is_first).into_iter().flatten() {
            notice.born = notice.born.or(born);
        }
        status
    }

    /// True when a later start under the identity of `runner` is known; memory holds, KV caches and
    /// runs of the earlier one are lost.
    pub fn is_superseded(&self, runner: &Runner) -> bool {
        self.starts.is_superseded(&runner.id, runner.born)
    }

    /// The latest known start of a runner; `None` if it reports none.
    pub fn latest_start(&self, id: &RunnerId) -> Option<StartTime> {
        self.starts.latest(id)
    }

    /// Drops lapsed runners at the same address: it now belongs to the runner listed last.
    fn remove_lapsed_at_address(&mut self, runner: &Runner) {
        self.known.retain(|id, known| {
            *id == runner.id
                || known.listing == Listing::Listed
                || known.runner.address != runner.address
        });
    }

    /// Records the removal of an entry, unless the runner has registered again since. Around a store
    /// outage the runner may still be alive, so its entry only lapses.
    pub fn remove(&mut self, removal: &RunnerRemoval, now: Millis) {
        let RunnerRemoval { id, revision } = removal;
        if *revision > 0 && self.latest_change(id).revision > *revision {
            return;
        }
        self.record_change(id, *revision, true, now);
        let until = self.last_outage_end.map(|end| end.plus(self.cfg.return_grace));
        match until {
            Some(until) if now < until => {
                if let Some(known) = self.known.get_mut(id) {
                    known.listing = match known.listing {
                        Listing::Listed => Listing::Lapsed { until },
                        // A later outage is no reason to wait longer for its runner.
                        lapsed @ Listing::Lapsed { .. } => lapsed,
                    };
                }
            }
            _ => drop(self.known.remove(id)),
        }
    }

    /// The latest change of a runner. One that has no entry was missing from the latest list too.
    fn latest_change(&self, id: &RunnerId) -> AppliedChange {
        let none = AppliedChange { is_removal: true, ..AppliedChange::default() };
        let applied = self.applied.get(id).copied().unwrap_or(none);
        let listed = if applied.is_removal { self.list_revision } else { 0 };
        AppliedChange { revision: applied.revision.max(listed), ..applied }
    }

    /// Records a change as the latest one of its runner.
    fn record_change(&mut self, id: &RunnerId, revision: u64, is_removal: bool, now: Millis) {
        if self.applied.len() > 2 * self.known.len() + MIN_APPLIED {
            let known = &self.known;
            self.applied
                .retain(|id, change| known.contains_key(id) || now.since(change.at) < REMOVAL_TTL);
        }
        let applied = self.applied.entry(id.clone()).or_default();
        let revision = applied.revision.max(revision);
        *applied = AppliedChange { revision, is_removal, at: now };
    }

    /// Drops a runner that is known to be gone.
    pub fn forget(&mut self, id: &RunnerId) {
        self.known.remove(id);
    }

    /// The runner with that identity, if it is usable.
    pub fn get(&self, id: &RunnerId, now: Millis) -> Option<&Runner> {
        self.known.get(id).filter(|known| known.is_usable(now)).map(|known| &known.runner)
    }

    /// When the entry of a known runner was last changed here.
    pub fn changed_at(&self, id: &RunnerId) -> Option<Millis> {
        self.known.get(id).map(|known| known.changed_at)
    }

    /// Usable runners of a service that accept new work.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Millis,
    ) -> impl Iterator<Item = &'a Runner> {
        self.staying(service, now).filter(|runner| !self.is_evacuated(runner))
    }

    /// Usable runners of a service that are not leaving, including those in evacuated data centres.
    pub fn staying<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Millis,
    ) -> impl Iterator<Item = &'a Runner> {
        self.known
            .values()
            .filter(move |known| known.is_usable(now) && known.runner.service == *service)
            .filter(|known| known.is_serving)
            .map(|known| &known.runner)
            .filter(|runner| !runner.leaving)
    }

    /// Sets the versions of which model runners get new work.
    ///
    /// ```
    /// use bulrushusher_forward::{Runner, RunnerDirectory, RunnerDirectoryConfig, Stage};
    /// use bulrushusher_forward::ServiceVersion;
    /// use bulrushusher_time::Millis;
    /// let runner = Runner {
    ///     id: "i-1".try_into().unwrap(),
    ///     born: None,
    ///     service: "llm".try_into().unwrap(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     data_centre: "ba-a".try_into().unwrap(),
    ///     slots: 1,
    ///     stage: Some(Stage::Decode),
    ///     leaving: false,
    ///     cold_for: Millis(0),
    ///     revision: 1,
    ///     version: "v1".into(),
    /// };
    /// let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
    /// runners.set_serving([].into());
    /// runners.put(runner.clone(), Millis(0));
    /// assert_eq!(runners.usable(&runner.service, Millis(0)).count(), 0);
    /// let v1 = ServiceVersion { service: runner.service.clone(), version: "v1".into() };
    /// runners.set_serving([v1].into());
    /// assert_eq!(runners.usable(&runner.service, Millis(0)).count(), 1);
    /// ```
    pub fn set_serving(&mut self, versions: HashSet<ServiceVersion>) {
        if self.serving.as_ref() == Some(&versions) {
            return;
        }
        self.serving = Some(versions);
        let serving = self.serving.as_ref();
        self.known.values_mut().for_each(|it| it.is_serving = is_serving(serving, &it.runner));
    }

    /// True if model runners of some version get new work.
    pub fn serves_some_version(&self) -> bool {
        self.serving.as_ref().is_none_or(|versions| !versions.is_empty())
    }

    /// True while the runner's data centre must get no new work. The runner stays known, and its runs
    /// continue.
    pub fn is_evacuated(&self, runner: &Runner) -> bool {
        self.evacuations.contains(&runner.data_centre)
    }

    /// The evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Applies what was received about evacuations.
    ///
    /// ```
    /// use bulrushusher_forward::{
    ///     EvacuationSet, EvacuationUpdate, Runner, RunnerDirectory, RunnerDirectoryConfig,
    /// };
    /// use bulrushusher_time::Millis;
    /// let runner = Runner {
    ///     id: "i-1".try_into().unwrap(),
    ///     born: None,
    ///     service: "app".try_into().unwrap(),
    ///     address: "10.0.0.1:80".parse().unwrap(),
    ///     data_centre: "ba-a".try_into().unwrap(),
    ///     slots: 1,
    ///     stage: None,
    ///     leaving: false,
    ///     cold_for: Millis(0),
    ///     revision: 1,
    ///     version: "v1".into(),
    /// };
    /// let mut runners = RunnerDirectory::new(RunnerDirectoryConfig::default());
    /// runners.put(runner.clone(), Millis(0));
    /// let data_centres = [runner.data_centre.clone()].into();
    /// let set = EvacuationSet { revision: 2, data_centres };
    /// runners.update_evacuations(EvacuationUpdate::List(set));
    /// assert!(runners.is_evacuated(&runner));
    /// assert_eq!(runners.usable(&runner.service, Millis(0)).count(), 0);
    /// assert_eq!(runners.staying(&runner.service, Millis(0)).count(), 1);
    /// assert!(runners.get(&runner.id, Millis(0)).is_some(), "its runs continue");
    /// ```
    pub fn update_evacuations(&mut self, update: EvacuationUpdate) -> EvacuationDiff {
        self.evacuations.update(update)
    }

    /// All usable runners, including draining ones.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = &Runner> {
        self.known.values().filter(move |known| known.is_usable(now)).map(|known| &known.runner)
    }
}

/// True if the version of the runner gets new work, where model runners of the versions `serving` do.
fn is_serving(serving: Option<&HashSet<ServiceVersion>>, runner: &Runner) -> bool {
    let Some(serving) = serving.filter(|_| runner.stage.is_some()) else { return true };
    serving.contains(&ServiceVersion::of(runner))
}

impl Entry {
    fn is_usable(&self, now: Millis) -> bool {
        match self.listing {
            Listing::Listed => true,
            Listing::Lapsed { until } => now < until,
        }
    }
}
