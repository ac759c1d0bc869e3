//! The home table of an agent: which executor each key was assigned to.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, RequestKey};
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{KeyAge, RecordCoverage, home_of, key_time};

/// Earlier endpoint lists kept while a home has not acknowledged the list that follows.
const MAX_EARLIER_LISTS: usize = 16;

/// Limits of a home table.
#[derive(Clone, Copy, Debug)]
pub struct HomeConfig {
    /// Maximum number of records; further claims and requests to bar a key are refused.
    pub max_records: usize,
    /// The period that the records cover: a key created within it that has no record was never
    /// assigned to an executor.
    pub coverage: RecordCoverage,
}

/// The home's reply to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimReply {
    /// The claim is recorded; the executor may run the key at ballot [`crate::Ballot::Home`].
    Recorded,
    /// The key is assigned to another executor; attach there.
    Held(EndpointName),
    /// The key may be older than this home's records, may have had another home, or was barred: it
    /// needs a bar round ([`crate::BarRound`]).
    InDoubt,
    /// The entry's claim uses another revision of the endpoint list than this agent, or the list
    /// of this agent names another endpoint as the key's home.
    OtherList {
        /// The revision of this agent's list.
        revision: u64,
    },
    /// The key is older than the retry horizon; the claim was refused.
    TooOld,
    /// The table is full; the claim was not recorded.
    TableFull,
}

/// The home table's part of the reply to a request to bar a key, that is, to refuse it at lower
/// ballots.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HomeBarReply {
    /// The key was assigned to that executor before.
    Given(EndpointName),
    /// This home has not assigned the key, and will not assign it by a claim.
    NotGiven,
}

/// The home table is full.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("the home table is full; retry later")]
pub struct TableFull;

/// One revision of the endpoint list of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceList {
    /// The revision.
    pub revision: u64,
    /// The revision directly before this one; 0 if the sender may have missed a revision in
    /// between.
    pub previous: u64,
    /// Endpoints that may run requests of the service.
    pub executors: Vec<EndpointName>,
    /// Endpoints that were removed from the list within the retry horizon.
    pub departed: Vec<EndpointName>,
}

/// Agents that may have assigned keys by a list before `revision`, each with the time at which it
/// acknowledged that revision or a later one. Until then it may still assign keys; only its own
/// table has the keys that it assigned before.
#[derive(Clone, Debug)]
struct EarlierHomes {
    revision: u64,
    /// Members of the previous list, with the time of their acknowledgement.
    executors: BTreeMap<EndpointName, Option<Millis>>,
    /// Agents that may have been the home of any key by lists that this agent missed.
    unknown: BTreeMap<EndpointName, Option<Millis>>,
}

impl EarlierHomes {
    fn all(&self) -> impl Iterator<Item = (&EndpointName, &Option<Millis>)> {
        self.executors.iter().chain(&self.unknown)
    }

    /// When the last agent that may have assigned `key` acknowledged; `None` while one has not.
    fn acknowledged_for(&self, key: &RequestKey, own_name: &EndpointName) -> Option<Millis> {
        let home = home_of(key, self.executors.keys()).filter(|home| *home != own_name);
        let by_home = match home {
            Some(home) => self.executors[home]?,
            None => Millis(0),
        };
        let by_unknown: Option<Vec<Millis>> = self.unknown.values().copied().collect();
        by_unknown?.into_iter().chain([by_home]).max()
    }

    /// True if every key assigned by these lists is past the retry horizon.
    fn is_expired(&self, now: Millis, retention: Millis) -> bool {
        self.all().all(|(_, at)| at.is_some_and(|at| now.since(at) > retention))
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Claim {
    /// The key was assigned to that executor.
    Given(EndpointName),
    /// The key was barred before it was assigned, so no claim assigns it any more.
    Barred,
}

/// Records which executor each key was assigned to.
///
/// ```
/// use bulrushusher_once::{ClaimReply, HomeConfig, HomeTable, RecordCoverage, ServiceList};
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
    own_name: EndpointName,
    list: ServiceList,
    earlier: Vec<EarlierHomes>,
    records: HashMap<RequestKey, Claim>,
    by_age: VecDeque<(Millis, RequestKey)>,
}

impl HomeTable {
    /// An empty table of the agent `own_name`. Without a list it is not the home of any key.
    pub fn new(own_name: EndpointName, cfg: HomeConfig) -> HomeTable {
        HomeTable {
            cfg,
            own_name,
            list: ServiceList::default(),
            earlier: Vec::new(),
            records: HashMap::new(),
            by_age: VecDeque::new(),
        }
    }

    /// Sets the endpoint list of the service. Returns false if its revision is not higher than the
    /// present one; it is ignored then.
    ///
    /// A key that had another home by the previous list is in doubt until that home has
    /// acknowledged this list or a later one; a key older than that acknowledgement stays in doubt.
    /// If this agent missed the previous list, this applies to every key and every other agent; see
    /// [`HomeTable::record_ack`].
    pub fn set_list(&mut self, list: ServiceList, now: Millis) -> bool {
        if list.revision <= self.list.revision {
            return false;
        }
        let has_previous = list.previous == self.list.revision && list.previous != 0;
        let previous = if has_previous { self.list.executors.as_slice() } else { &[] };
        let mut unknown = list.departed.clone();
        if !has_previous {
            unknown.extend(list.executors.iter().cloned());
        }
        unknown.retain(|name| *name != self.own_name && !previous.contains(name));
        self.earlier.push(EarlierHomes {
            revision: list.revision,
            executors: previous.iter().map(|name| (name.clone(), None)).collect(),
            unknown: unknown.into_iter().map(|name| (name, None)).collect(),
        });
        self.list = list;
        let (own_name, revision) = (self.own_name.clone(), self.list.revision);
        self.record_ack(&own_name, revision, now);
        if self.earlier.len() > MAX_EARLIER_LISTS {
            self.merge_earlier_lists(now);
        }
        true
    }

    /// Records that `agent` has the list of `revision`, or has been gone for longer than the lag of
    /// the VM list.
    pub fn record_ack(&mut self, agent: &EndpointName, revision: u64, now: Millis) {
        for earlier in self.earlier.iter_mut().filter(|earlier| earlier.revision <= revision) {
            let entries = [earlier.executors.get_mut(agent), earlier.unknown.get_mut(agent)];
            for at in entries.into_iter().flatten() {
                at.get_or_insert(now);
            }
        }
        let retention = self.cfg.coverage.retention();
        self.earlier.retain(|earlier| !earlier.is_expired(now, retention));
    }

    /// Agents that have not acknowledged the present list yet.
    pub fn pending_acks(&self) -> Vec<EndpointName> {
        let all = self.earlier.iter().flat_map(EarlierHomes::all);
        let pending: BTreeSet<_> =
            all.filter(|(_, at)| at.is_none()).map(|(name, _)| name).collect();
        pending.into_iter().cloned().collect()
    }

    /// Merges the earlier lists when there are too many to track one by one. Every key is then in
    /// doubt until all their agents have acknowledged the present list, and every key older than
    /// `now` stays in doubt.
    fn merge_earlier_lists(&mut self, now: Millis) {
        let unknown = self.pending_acks().into_iter().map(|name| (name, None)).collect();
        let revision = self.list.revision;
        self.earlier = vec![EarlierHomes { revision, executors: BTreeMap::new(), unknown }];
        self.cfg.coverage.since = self.cfg.coverage.since.max(now);
    }

    /// The revision of the present list; 0 if there is none.
    pub fn revision(&self) -> u64 {
        self.list.revision
    }

    /// Handles a claim of an entry, by its list of `revision`, that `executor` shall run `key`.
    pub fn claim(
        &mut self,
        key: &RequestKey,
        executor: &EndpointName,
        revision: u64,
        now: Millis,
    ) -> ClaimReply {
        self.remove_expired(now);
        match self.records.get(key) {
            Some(Claim::Given(assigned)) if assigned == executor => return ClaimReply::Recorded,
            Some(Claim::Given(assigned)) => return ClaimReply::Held(assigned.clone()),
            Some(Claim::Barred) => return ClaimReply::InDoubt,
            None => {}
        }
        let is_home = home_of(key, &self.list.executors) == Some(&self.own_name);
        if revision != self.list.revision || !is_home {
            return ClaimReply::OtherList { revision: self.list.revision };
        }
        let Some(since) = self.covers_since(key) else { return ClaimReply::InDoubt };
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

    /// Bars a key: from now on no claim assigns it to an executor.
    ///
    /// # Errors
    /// [`TableFull`] if there is no room to record that the key is barred.
    pub fn bar(&mut self, key: &RequestKey, now: Millis) -> Result<HomeBarReply, TableFull> {
        self.remove_expired(now);
        match self.records.get(key).cloned() {
            Some(Claim::Given(executor)) => Ok(HomeBarReply::Given(executor)),
            Some(Claim::Barred) => Ok(HomeBarReply::NotGiven),
            None if self.record(key, Claim::Barred, now) => Ok(HomeBarReply::NotGiven),
            None => Err(TableFull),
        }
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// True if there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Since when only this home can have assigned `key`; `None` while another agent may assign it.
    fn covers_since(&self, key: &RequestKey) -> Option<Millis> {
        let acks = self.earlier.iter().map(|earlier| earlier.acknowledged_for(key, &self.own_name));
        let acks: Option<Vec<Millis>> = acks.collect();
        acks?.into_iter().chain([self.cfg.coverage.since]).max()
    }

    /// Records `claim`; returns false if the table is full.
    fn record(&mut self, key: &RequestKey, claim: Claim, now: Millis) -> bool {
        if self.records.len() >= self.cfg.max_records {
            return false;
        }
        self.records.insert(key.clone(), claim);
        self.by_age.push_back((now, key.clone()));
        true
    }

    fn remove_expired(&mut self, now: Millis) {
        let retention = self.cfg.coverage.retention();
        while let Some((made, _)) = self.by_age.front() {
            if now.since(*made) <= retention {
                return;
            }
            if let Some((_, key)) = self.by_age.pop_front() {
                self.records.remove(&key);
            }
        }
    }
}
