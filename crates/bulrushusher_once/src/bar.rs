//! The bar round: an entry obtains from all agents the promise to refuse a key at lower ballots,
//! and finds out whether the key ran at any of them.

use std::collections::BTreeSet;

use bulrushusher_world::EndpointName;

use crate::{Ballot, BarReply, HomeBarReply, RunStatus};

/// The outcome of a bar round.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BarVerdict {
    /// The key ran nowhere, and every agent refuses lower ballots: run it at this round's ballot.
    Clear,
    /// The key ran or is running at that endpoint; attach there if its answer is available.
    Ran(EndpointName, RunStatus),
    /// An agent has promised a higher ballot to another settlement: bar again above that ballot.
    Higher(Ballot),
    /// An agent that may have run the key is unreachable or has incomplete records.
    Unknown,
    /// An agent has a later endpoint list, of that revision: fetch it and bar again.
    StaleList(u64),
    /// An agent's table is full, so that it could not record the promise: retry later.
    TableFull,
}

/// One agent's reply to a request to bar a key, that is, to refuse it at lower ballots.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentBarReply {
    /// From the agent's executor table.
    pub reply: BarReply,
    /// From the agent's home table.
    pub home: HomeBarReply,
    /// The highest endpoint list revision that the agent has seen.
    pub revision: u64,
}

/// One bar round: requests that all agents refuse the key at lower ballots. Collects each agent's
/// reply and derives the verdict.
///
/// A key's home does not execute it, so an unreachable home does not block the round, provided
/// that no other list and no other attempt can be involved: every other agent has the same list
/// revision, none has promised an earlier ballot for the key, none reports that the key was
/// assigned to the home, and the key is younger than the list.
///
/// ```
/// use bulrushusher_once::{
///     Ballot, BarReply, AgentBarReply, BarRound, BarVerdict, HomeBarReply, Owner,
/// };
/// use bulrushusher_world::{EndpointName, EntryName};
/// let entry = EntryName::try_from("entry-1").unwrap();
/// let d1 = EndpointName::try_from("d1").unwrap();
/// let owner = Owner { entry, incarnation: 1, attempt: 1 };
/// let mut round = BarRound::new(Ballot::Home.next(&owner), 4, [d1.clone()], None);
/// assert_eq!(round.verdict(), None);
/// let reply = BarReply::Clean { earlier: None };
/// round.record_reply(&d1, AgentBarReply { reply, home: HomeBarReply::NotGiven, revision: 4 });
/// assert_eq!(round.verdict(), Some(BarVerdict::Clear));
/// ```
#[derive(Debug)]
pub struct BarRound {
    ballot: Ballot,
    revision: u64,
    pending: BTreeSet<EndpointName>,
    non_executing_home: Option<EndpointName>,
    home_unreachable: bool,
    /// Another list or another attempt may have been involved.
    conflict_possible: bool,
    ran: Option<(EndpointName, RunStatus)>,
    assigned: BTreeSet<EndpointName>,
    inconclusive: BTreeSet<EndpointName>,
    higher: Option<Ballot>,
    later_list: Option<u64>,
    table_full: bool,
}

impl BarRound {
    /// A round at `ballot` that waits for `agents`: by the endpoint list of `revision`, all that
    /// may have run the key within the retry horizon. `non_executing_home` is the key's home if the
    /// key is younger than the list and another endpoint could have run it; otherwise `None`.
    pub fn new(
        ballot: Ballot,
        revision: u64,
        agents: impl IntoIterator<Item = EndpointName>,
        non_executing_home: Option<EndpointName>,
    ) -> BarRound {
        BarRound {
            ballot,
            revision,
            pending: agents.into_iter().collect(),
            non_executing_home,
            home_unreachable: false,
            conflict_possible: false,
            ran: None,
            assigned: BTreeSet::new(),
            inconclusive: BTreeSet::new(),
            higher: None,
            later_list: None,
            table_full: false,
        }
    }

    /// This round's ballot.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Agents that have not replied yet.
    pub fn pending(&self) -> impl Iterator<Item = &EndpointName> {
        self.pending.iter()
    }

    /// Records an agent's reply. Further replies of the same agent are ignored.
    pub fn record_reply(&mut self, agent: &EndpointName, response: AgentBarReply) {
        if !self.pending.remove(agent) {
            return;
        }
        if response.revision != self.revision {
            self.conflict_possible = true;
        }
        if response.revision > self.revision {
            self.later_list = self.later_list.max(Some(response.revision));
        }
        if let HomeBarReply::Given(executor) = response.home {
            self.assigned.insert(executor);
        }
        match response.reply {
            BarReply::Clean { earlier } => self.conflict_possible |= earlier.is_some(),
            BarReply::Ran(status) => self.record_run(agent, status),
            BarReply::CannotSay => drop(self.inconclusive.insert(agent.clone())),
            BarReply::Higher(ballot) => self.higher = self.higher.take().max(Some(ballot)),
            BarReply::TableFull => self.table_full = true,
        }
    }

    /// Records that an agent could not be reached before the timeout.
    pub fn record_unreachable(&mut self, agent: &EndpointName) {
        if !self.pending.remove(agent) {
            return;
        }
        if self.non_executing_home.as_ref() == Some(agent) {
            self.home_unreachable = true;
        } else {
            self.inconclusive.insert(agent.clone());
        }
    }

    /// The verdict: available once every agent has replied or is unreachable, and earlier if one
    /// has a run to attach to.
    pub fn verdict(&self) -> Option<BarVerdict> {
        let ran = self.ran.clone().map(|(agent, ran)| BarVerdict::Ran(agent, ran));
        if let Some(BarVerdict::Ran(_, RunStatus::Running | RunStatus::Finished)) = ran {
            return ran;
        }
        if !self.pending.is_empty() {
            return None;
        }
        if ran.is_some() {
            return ran;
        }
        if let Some(revision) = self.later_list {
            return Some(BarVerdict::StaleList(revision));
        }
        if let Some(ballot) = &self.higher {
            return Some(BarVerdict::Higher(ballot.clone()));
        }
        if !self.inconclusive.is_empty() || (self.home_unreachable && self.home_may_have_run()) {
            return Some(BarVerdict::Unknown);
        }
        if self.table_full {
            return Some(BarVerdict::TableFull);
        }
        Some(BarVerdict::Clear)
    }

    /// Keeps one of several runs, preferring one that can be attached to. Several are possible only
    /// for idempotent keys.
    fn record_run(&mut self, agent: &EndpointName, status: RunStatus) {
        let has_answer =
            |status: RunStatus| matches!(status, RunStatus::Running | RunStatus::Finished);
        if self.ran.as_ref().is_none_or(|(_, known)| !has_answer(*known)) {
            self.ran = Some((agent.clone(), status));
        }
    }

    fn home_may_have_run(&self) -> bool {
        let home = self.non_executing_home.as_ref();
        let assigned_to_home = home.is_some_and(|home| self.assigned.contains(home));
        self.conflict_possible || assigned_to_home
    }
}
