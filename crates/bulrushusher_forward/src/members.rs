//! Which runners are known, and what a gap in the store's answers does to that knowledge.

use std::collections::HashMap;

use bulrushusher_time::Millis;
use bulrushusher_world::{RunnerId, ServiceName};

use serde::{Deserialize, Serialize};

use crate::{Born, Runner, StartNews, Starts};

/// Bounds of the knowledge of runners.
#[derive(Clone, Copy, Debug)]
pub struct MembersConfig {
    /// Silence of the store after which entries may have lapsed without their runner ending.
    pub outage_after: Millis,
    /// How long a lapsed entry is still used once the store answers again.
    pub return_grace: Millis,
}

impl Default for MembersConfig {
    /// The platform promises that entries of living runners are back two seconds after the store;
    /// entries lapse after three missed heartbeats, so a shorter silence lapses none.
    fn default() -> MembersConfig {
        MembersConfig { outage_after: Millis(1_500), return_grace: Millis(2_000) }
    }
}

/// How long a removed entry is remembered: a store comes back from a copy that is some seconds old.
const REMOVED_KEPT: Millis = Millis(60_000);

/// How long a drain notice is remembered of a runner that is listed no more: longer than gateways tell
/// each other of it, so that none is new again to whoever has forgotten it.
const NOTICE_KEPT: Millis = Millis(2 * REMOVED_KEPT.0);

/// Whether the list still names a runner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Standing {
    Listed,
    /// Gone from the list around an outage of the store; used until then unless it comes back.
    Lapsed {
        until: Millis,
    },
}

#[derive(Clone, Debug)]
struct Known {
    runner: Runner,
    standing: Standing,
}

/// What a whole list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListNews {
    /// Runners that it no longer names.
    pub missing: Vec<RunnerId>,
    /// Runners that started again: what was believed of them is void.
    pub started_again: Vec<RunnerId>,
}

/// The runners that are known.
///
/// ```
/// use bulrushusher_forward::{Members, MembersConfig, Runner};
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
/// };
/// let mut members = Members::new(MembersConfig::default());
/// members.store_answered(Millis(0));
/// members.put(runner.clone());
/// members.remove(&runner.id, Millis(100));
/// assert!(members.get(&runner.id, Millis(100)).is_none(), "removed while the store was well");
/// ```
#[derive(Clone, Debug)]
pub struct Members {
    cfg: MembersConfig,
    known: HashMap<RunnerId, Known>,
    starts: Starts,
    last_answer: Option<Millis>,
    last_outage_end: Option<Millis>,
    listed_once: bool,
    /// Runners whose entries were removed, and when.
    removed: HashMap<RunnerId, Millis>,
    /// True until the first list after the store came back from a copy.
    is_restored: bool,
    /// Starts of runners that have said themselves that they leave, and when that was heard.
    drain_notices: HashMap<RunnerId, DrainNotice>,
}

/// A runner's own notice that it leaves, as gateways tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainReport {
    /// The runner.
    pub runner: RunnerId,
    /// The start that said so.
    pub born: Option<Born>,
}

#[derive(Clone, Copy, Debug)]
struct DrainNotice {
    born: Option<Born>,
    heard_at: Millis,
}

impl Members {
    /// No runner is known yet.
    pub fn new(cfg: MembersConfig) -> Members {
        Members {
            cfg,
            known: HashMap::new(),
            starts: Starts::default(),
            last_answer: None,
            last_outage_end: None,
            listed_once: false,
            removed: HashMap::new(),
            is_restored: false,
            drain_notices: HashMap::new(),
        }
    }

    /// A start of a runner has said itself that it leaves: it gets no new work from then on, whatever its
    /// entry says. The entry is written by the same runner, later, and comes by way of a store that may be
    /// silent or be back from an older copy. Returns whether that is new.
    pub fn note_leaving(&mut self, report: &DrainReport, now: Millis) -> bool {
        let DrainReport { runner, born } = report;
        if self.starts.is_past(runner, *born) || self.has_said_that_it_leaves(runner, *born) {
            return false;
        }
        let known = &self.known;
        self.drain_notices.retain(|id, notice| {
            known.contains_key(id) || now.since(notice.heard_at) < NOTICE_KEPT
        });
        self.drain_notices.insert(runner.clone(), DrainNotice { born: *born, heard_at: now });
        if let Some(known) = self.known.get_mut(runner).filter(|it| it.runner.born == *born) {
            known.runner.leaving = true;
        }
        true
    }

    /// Runners that have said themselves that they leave, for other gateways. Those whose entry has been
    /// gone for some time are left out.
    pub fn drain_reports(&self, now: Millis) -> Vec<DrainReport> {
        let is_told = |id: &RunnerId, notice: &DrainNotice| {
            self.known.contains_key(id) || now.since(notice.heard_at) < REMOVED_KEPT
        };
        let told = self.drain_notices.iter().filter(|(id, notice)| is_told(id, notice));
        let mut reports: Vec<DrainReport> =
            told.map(|(id, it)| DrainReport { runner: id.clone(), born: it.born }).collect();
        reports.sort_unstable_by(|a, b| a.runner.cmp(&b.runner));
        reports
    }

    /// True when that start of the runner has said itself that it leaves.
    pub fn has_said_that_it_leaves(&self, id: &RunnerId, born: Option<Born>) -> bool {
        self.drain_notices.get(id).is_some_and(|notice| notice.born == born)
    }

    /// The store came back from an older copy. Entries that the copy has not are written again, as after
    /// an outage; what the copy shows of runners that leave or are gone is old.
    pub fn note_restore(&mut self, now: Millis) {
        self.last_outage_end = Some(now);
        self.is_restored = true;
    }

    /// The store answered a call. Returns how long it had been silent when that was an outage.
    pub fn store_answered(&mut self, now: Millis) -> Option<Millis> {
        self.store_answered_after(Millis(0), now)
    }

    /// The same for a call that asked the store to wait for up to `wait` until something changes: no
    /// answer was due before.
    ///
    /// ```
    /// use bulrushusher_forward::{Members, MembersConfig};
    /// use bulrushusher_time::Millis;
    /// let mut members = Members::new(MembersConfig::default());
    /// members.store_answered(Millis(0));
    /// assert_eq!(members.store_answered_after(Millis(8_000), Millis(8_010)), None);
    /// assert!(members.store_answered_after(Millis(1_000), Millis(12_000)).is_some());
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

    /// The store is asked from now on: the time before was no silence of its.
    pub fn begin_asking(&mut self, now: Millis) {
        self.last_answer = Some(now);
    }

    /// A relay tells that the store was back from an outage at that moment.
    pub fn note_outage_end(&mut self, at: Millis) {
        self.last_outage_end = self.last_outage_end.max(Some(at));
    }

    /// Time since an outage by which entries may still have lapsed.
    pub fn outage_age(&self, now: Millis) -> Option<Millis> {
        let age = self.last_outage_end.map(|end| now.since(end));
        age.filter(|age| *age < self.cfg.return_grace)
    }

    /// True when the runner's entry is listed and says just this.
    pub fn is_listed_as(&self, runner: &Runner) -> bool {
        let known = self.known.get(&runner.id);
        known.is_some_and(|it| it.standing == Standing::Listed && it.runner == *runner)
    }

    /// True once some entries are known, be it the first page of a list.
    pub fn is_begun(&self) -> bool {
        self.listed_once || !self.known.is_empty()
    }

    /// True once a whole list was taken in.
    pub fn is_complete(&self) -> bool {
        self.listed_once
    }

    /// Takes in a whole list.
    pub fn replace_all(&mut self, mut runners: Vec<Runner>, now: Millis) -> ListNews {
        if std::mem::take(&mut self.is_restored) {
            self.correct_copy(&mut runners, now);
        }
        let named: HashMap<RunnerId, Runner> =
            runners.into_iter().map(|r| (r.id.clone(), r)).collect();
        let missing: Vec<RunnerId> =
            self.known.keys().filter(|id| !named.contains_key(*id)).cloned().collect();
        for id in &missing {
            self.remove(id, now);
        }
        let mut started_again = Vec::new();
        for (id, runner) in named {
            if self.put(runner) == StartNews::Later {
                started_again.push(id);
            }
        }
        self.listed_once = true;
        ListNews { missing, started_again }
    }

    /// Takes out of an older list what is known to be over: a runner that is gone comes back by its own
    /// word only, and one that leaves leaves.
    fn correct_copy(&self, runners: &mut Vec<Runner>, now: Millis) {
        let is_gone =
            |id: &RunnerId| self.removed.get(id).is_some_and(|at| now.since(*at) < REMOVED_KEPT);
        runners.retain(|runner| !is_gone(&runner.id));
        for runner in runners {
            let known = self.known.get(&runner.id).map(|known| &known.runner);
            let is_same = |known: &&Runner| known.born == runner.born;
            runner.leaving |= known.filter(is_same).is_some_and(|known| known.leaving);
        }
    }

    /// Takes in one entry. One of an earlier start than is known changes nothing; one without a
    /// start, of a runner that told its start before, is another writer's and names no runner to
    /// use.
    pub fn put(&mut self, mut runner: Runner) -> StartNews {
        let news = self.starts.note(&runner.id, runner.born);
        match news {
            StartNews::Earlier => {}
            StartNews::Untold => self.forget(&runner.id),
            StartNews::Same | StartNews::Later => {
                self.forget_former_tenant(&runner);
                self.removed.remove(&runner.id);
                runner.leaving |= self.has_said_that_it_leaves(&runner.id, runner.born);
                let known = Known { runner, standing: Standing::Listed };
                self.known.insert(known.runner.id.clone(), known);
            }
        }
        news
    }

    /// A runner told its start itself, before its entry does.
    pub fn note_start(&mut self, id: &RunnerId, born: Option<Born>) -> StartNews {
        let news = self.starts.note(id, born);
        if let (StartNews::Later, Some(known)) = (news, self.known.get_mut(id)) {
            known.runner.born = born;
        }
        news
    }

    /// True when a later start under the identity of `runner` is known: holds, KV caches and runs
    /// there are gone.
    pub fn is_past(&self, runner: &Runner) -> bool {
        self.starts.is_past(&runner.id, runner.born)
    }

    /// An address belongs to the runner that was listed there last.
    fn forget_former_tenant(&mut self, runner: &Runner) {
        self.known.retain(|id, known| {
            *id == runner.id
                || known.standing == Standing::Listed
                || known.runner.address != runner.address
        });
    }

    /// An entry was removed. Around an outage of the store its runner may live on.
    pub fn remove(&mut self, id: &RunnerId, now: Millis) {
        let until = self.last_outage_end.map(|end| end.plus(self.cfg.return_grace));
        match until {
            Some(until) if now < until => {
                if let Some(known) = self.known.get_mut(id) {
                    known.standing = Standing::Lapsed { until };
                }
            }
            _ => {
                self.known.remove(id);
                self.removed.retain(|_, at| now.since(*at) < REMOVED_KEPT);
                self.removed.insert(id.clone(), now);
            }
        }
    }

    /// A runner was told, or is known, to be gone for good.
    pub fn forget(&mut self, id: &RunnerId) {
        self.known.remove(id);
    }

    /// The runner of that identity, if it may still be used.
    pub fn get(&self, id: &RunnerId, now: Millis) -> Option<&Runner> {
        self.known.get(id).filter(|known| known.is_usable(now)).map(|known| &known.runner)
    }

    /// Runners of a service that take new work.
    pub fn usable<'a>(
        &'a self,
        service: &'a ServiceName,
        now: Millis,
    ) -> impl Iterator<Item = &'a Runner> {
        self.known
            .values()
            .filter(move |known| known.is_usable(now) && known.runner.service == *service)
            .map(|known| &known.runner)
            .filter(|runner| !runner.leaving)
    }

    /// All runners known, also leaving ones.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = &Runner> {
        self.known.values().filter(move |known| known.is_usable(now)).map(|known| &known.runner)
    }
}

impl Known {
    fn is_usable(&self, now: Millis) -> bool {
        match self.standing {
            Standing::Listed => true,
            Standing::Lapsed { until } => now < until,
        }
    }
}
