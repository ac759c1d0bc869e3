//! What an agent knows as the home of keys: which executor each was given to.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, RequestKey};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{KeyAge, RecordCoverage, home_of, key_time};

/// Earlier endpoint lists remembered while some home has not acknowledged the next one.
const MAX_EARLIER_LISTS: usize = 16;

/// Bounds of a home's table.
#[derive(Clone, Copy, Debug)]
pub struct HomeConfig {
    /// Records held at once; one more is refused.
    pub max_records: usize,
    /// When this home vouches for a key that it has no record of.
    pub coverage: RecordCoverage,
}

/// The home's answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim is recorded; the executor may run the key at ballot [`crate::Ballot::Home`].
    Recorded,
    /// The key belongs to another executor; attach there.
    Held(EndpointName),
    /// This home cannot vouch for the key; bar it.
    InDoubt,
    /// This agent is not the key's home by the list that it holds, of that revision.
    OtherList {
        /// Revision of the list held here.
        revision: u64,
    },
    /// The key is older than the retry horizon; it was not run by this claim.
    TooOld,
    /// The table is full; not recorded.
    TableFull,
}

/// What a barred home tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HomeBarReply {
    /// The key was given to that executor before.
    Given(EndpointName),
    /// The key was not given to anyone by this home, and will not be.
    NotGiven,
}

/// The table is at its bound.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the table of keys is full; come back later")]
pub struct TableFull;

/// A revision of the endpoint list of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceList {
    /// Its revision.
    pub revision: u64,
    /// The revision that it came directly after, where the sender knows that there was none in
    /// between; else 0.
    pub previous: u64,
    /// Endpoints that may run keys.
    pub executors: Vec<EndpointName>,
    /// Endpoints that were in the list within the retry horizon and are not any more.
    pub departed: Vec<EndpointName>,
}

/// Agents that may have given keys away by a list before `revision`, each with the time at which it
/// acknowledged that revision or a later one. Until then it may still give keys away; what it gave
/// away before is on its record only.
#[derive(Clone, Debug)]
struct EarlierHomes {
    revision: u64,
    /// The list before, with what its members acknowledged.
    executors: BTreeMap<EndpointName, Option<Millis>>,
    /// Agents that may be the home of any key by lists that this agent never saw.
    unknown: BTreeMap<EndpointName, Option<Millis>>,
}

impl EarlierHomes {
    fn all(&self) -> impl Iterator<Item = (&EndpointName, &Option<Millis>)> {
        self.executors.iter().chain(&self.unknown)
    }

    /// When all that may have given `key` away had acknowledged; `None` while some have not.
    fn closed_for(&self, key: &RequestKey, me: &EndpointName) -> Option<Millis> {
        let home = home_of(key, self.executors.keys()).filter(|home| *home != me);
        let by_home = match home {
            Some(home) => self.executors[home]?,
            None => Millis(0),
        };
        let by_unknown: Option<Vec<Millis>> = self.unknown.values().copied().collect();
        by_unknown?.into_iter().chain([by_home]).max()
    }

    /// True when nothing given away by these lists can be sent again.
    fn is_over(&self, now: Millis, life: Millis) -> bool {
        self.all().all(|(_, at)| at.is_some_and(|at| now.since(at) > life))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Claim {
    /// The key was given to that executor.
    Given(EndpointName),
    /// The key was barred before it was given to anyone.
    Barred,
}

/// Which executor each key was given to.
///
/// ```
/// use bulrushusher_once::{ClaimReply, HomeConfig, HomeTable, ServiceList, RecordCoverage};
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::{EndpointName, RequestKey};
/// let name = |text| EndpointName::try_from(text).unwrap();
/// let coverage = RecordCoverage { since: Millis(0), skew: Millis(10), horizon: Millis(1_000) };
/// let mut home = HomeTable::new(name("d1"), HomeConfig { max_records: 10, coverage });
/// let list = ServiceList { revision: 1, executors: vec![name("d1")], ..ServiceList::default() };
/// home.set_list(list, Millis(0));
/// let key = RequestKey::try_from("order-7").unwrap();
/// assert_eq!(home.claim(&key, &name("d2"), 1, Millis(5_000)), ClaimReply::Recorded);
/// assert_eq!(home.claim(&key, &name("d3"), 1, Millis(5_001)), ClaimReply::Held(name("d2")));
/// ```
#[derive(Debug)]
pub struct HomeTable {
    cfg: HomeConfig,
    me: EndpointName,
    list: ServiceList,
    earlier: Vec<EarlierHomes>,
    records: HashMap<RequestKey, Claim>,
    by_age: VecDeque<(Millis, RequestKey)>,
}

impl HomeTable {
    /// An empty table of the agent `me`, which knows no list yet and so is nobody's home.
    pub fn new(me: EndpointName, cfg: HomeConfig) -> HomeTable {
        HomeTable {
            cfg,
            me,
            list: ServiceList::default(),
            earlier: Vec::new(),
            records: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// A list of the service's endpoints came. Lower or equal revisions are ignored; false then.
    ///
    /// A key that had another home by the list before is in doubt until that home has acknowledged
    /// this list or a later one, and for good when it is older than that. Where this agent did not
    /// see the list before, every key is in doubt until every other agent has; see
    /// [`HomeTable::record_ack`].
    pub fn set_list(&mut self, list: ServiceList, now: Millis) -> bool {
        if list.revision <= self.list.revision {
            return false;
        }
        let saw_before = list.previous == self.list.revision && list.previous != 0;
        let before = if saw_before { self.list.executors.as_slice() } else { &[] };
        let mut unknown = list.departed.clone();
        if !saw_before {
            unknown.extend(list.executors.iter().cloned());
        }
        unknown.retain(|name| *name != self.me && !before.contains(name));
        self.earlier.push(EarlierHomes {
            revision: list.revision,
            executors: before.iter().map(|name| (name.clone(), None)).collect(),
            unknown: unknown.into_iter().map(|name| (name, None)).collect(),
        });
        self.list = list;
        let (me, revision) = (self.me.clone(), self.list.revision);
        self.record_ack(&me, revision, now);
        if self.earlier.len() > MAX_EARLIER_LISTS {
            self.forget_lists(now);
        }
        true
    }

    /// `agent` holds the list of `revision`, or is gone for longer than the VM list's lag.
    pub fn record_ack(&mut self, agent: &EndpointName, revision: u64, now: Millis) {
        for earlier in self.earlier.iter_mut().filter(|earlier| earlier.revision <= revision) {
            let held = [earlier.executors.get_mut(agent), earlier.unknown.get_mut(agent)];
            for at in held.into_iter().flatten() {
                at.get_or_insert(now);
            }
        }
        let life = self.cfg.coverage.retention();
        self.earlier.retain(|earlier| !earlier.is_over(now, life));
    }

    /// Agents that have still to acknowledge the present list.
    pub fn pending_acks(&self) -> Vec<EndpointName> {
        let all = self.earlier.iter().flat_map(EarlierHomes::all);
        let open: BTreeSet<_> = all.filter(|(_, at)| at.is_none()).map(|(name, _)| name).collect();
        open.into_iter().cloned().collect()
    }

    /// Too many lists to tell apart: every key is in doubt until all agents in them have
    /// acknowledged the last, and every key that is older than now.
    fn forget_lists(&mut self, now: Millis) {
        let unknown = self.pending_acks().into_iter().map(|name| (name, None)).collect();
        let revision = self.list.revision;
        self.earlier = vec![EarlierHomes { revision, executors: BTreeMap::new(), unknown }];
        self.cfg.coverage.since = self.cfg.coverage.since.max(now);
    }

    /// The revision of the list held; 0 for none.
    pub fn revision(&self) -> u64 {
        self.list.revision
    }

    /// An entry that holds the list of `revision` wants `executor` to run `key`.
    pub fn claim(
        &mut self,
        key: &RequestKey,
        executor: &EndpointName,
        revision: u64,
        now: Millis,
    ) -> ClaimReply {
        self.drop_old(now);
        match self.records.get(key) {
            Some(Claim::Given(held)) if held == executor => return ClaimReply::Recorded,
            Some(Claim::Given(held)) => return ClaimReply::Held(held.clone()),
            Some(Claim::Barred) => return ClaimReply::InDoubt,
            None => {}
        }
        let is_home = home_of(key, &self.list.executors) == Some(&self.me);
        if revision != self.list.revision || !is_home {
            return ClaimReply::OtherList { revision: self.list.revision };
        }
        let Some(since) = self.vouches_since(key) else { return ClaimReply::InDoubt };
        let coverage = RecordCoverage { since, ..self.cfg.coverage };
        match coverage.key_age(key_time(key), now) {
            KeyAge::InDoubt => ClaimReply::InDoubt,
            KeyAge::TooOld => ClaimReply::TooOld,
            KeyAge::Covered => match self.record(key, Claim::Given(executor.clone()), now) {
                true => ClaimReply::Recorded,
                false => ClaimReply::TableFull,
            },
        }
    }

    /// A key is barred: from now on it is given to nobody by a claim.
    ///
    /// # Errors
    /// [`TableFull`] when that cannot be put on record.
    pub fn bar(&mut self, key: &RequestKey, now: Millis) -> Result<HomeBarReply, TableFull> {
        self.drop_old(now);
        match self.records.get(key).cloned() {
            Some(Claim::Given(executor)) => Ok(HomeBarReply::Given(executor)),
            Some(Claim::Barred) => Ok(HomeBarReply::NotGiven),
            None if self.record(key, Claim::Barred, now) => Ok(HomeBarReply::NotGiven),
            None => Err(TableFull),
        }
    }

    /// Records held now.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True when no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Since when this home alone gives `key` away; `None` while another may.
    fn vouches_since(&self, key: &RequestKey) -> Option<Millis> {
        let closed = self.earlier.iter().map(|earlier| earlier.closed_for(key, &self.me));
        let closed: Option<Vec<Millis>> = closed.collect();
        closed?.into_iter().chain([self.cfg.coverage.since]).max()
    }

    /// Puts `claim` on record; false when the table is full.
    fn record(&mut self, key: &RequestKey, claim: Claim, now: Millis) -> bool {
        if self.records.len() >= self.cfg.max_records {
            return false;
        }
        self.records.insert(key.clone(), claim);
        self.by_age.push_back((now, key.clone()));
        true
    }

    fn drop_old(&mut self, now: Millis) {
        let life = self.cfg.coverage.retention();
        while let Some((made, _)) = self.by_age.front() {
            if now.since(*made) <= life {
                return;
            }
            if let Some((_, key)) = self.by_age.pop_front() {
                self.records.remove(&key);
            }
        }
    }
}
