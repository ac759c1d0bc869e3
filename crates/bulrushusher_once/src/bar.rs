//! A bar: one round of an entry that must know whether a key ran anywhere.

use std::collections::BTreeSet;

use bulrushusher_world::EndpointName;

use crate::{Ballot, BarReply, HomeBarReply, RunStatus};

/// What a finished round tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BarVerdict {
    /// It ran nowhere, and lower ballots are refused everywhere: run it at this round's ballot.
    Clear,
    /// It ran or runs at that endpoint: attach there.
    Ran(EndpointName, RunStatus),
    /// Another entry holds a higher ballot: bar again above it.
    Higher(Ballot),
    /// Some agent may have run it and cannot tell: the outcome is unknown.
    Unknown,
    /// Some agent knows a later endpoint list, of that revision: learn it and bar again.
    StaleList(u64),
    /// Some agent's table is full: nothing is known, come back later.
    TableFull,
}

/// What one agent answered to a bar.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BarResponse {
    /// What it knows as an executor.
    pub reply: BarReply,
    /// What it knows as a home.
    pub home: HomeBarReply,
    /// The revision of the endpoint list that it holds.
    pub revision: u64,
}

/// One round of a bar. Feed it each agent's reply; ask it for the verdict.
///
/// The key's home does not execute it, so an unreachable home does not stop the round, as long as
/// nothing hints that another list or another attempt was at work: every other agent holds the same
/// list, none was barred before, and the key is younger than the list.
///
/// ```
/// use bulrushusher_once::{Ballot, BarReply, BarRound, BarVerdict, BarResponse, HomeBarReply, Owner};
/// use bulrushusher_world::{EndpointName, EntryName};
/// let entry = EntryName::try_from("entry-1").unwrap();
/// let d1 = EndpointName::try_from("d1").unwrap();
/// let owner = Owner { entry, incarnation: 1, attempt: 1 };
/// let mut round = BarRound::new(Ballot::Home.next(&owner), 4, [d1.clone()], None);
/// assert_eq!(round.verdict(), None);
/// let reply = BarReply::Clean { earlier: None };
/// round.record_reply(&d1, BarResponse { reply, home: HomeBarReply::NotGiven, revision: 4 });
/// assert_eq!(round.verdict(), Some(BarVerdict::Clear));
/// ```
#[derive(Debug)]
pub struct BarRound {
    ballot: Ballot,
    revision: u64,
    awaited: BTreeSet<EndpointName>,
    idle_home: Option<EndpointName>,
    home_lost: bool,
    hints: bool,
    ran: Option<(EndpointName, RunStatus)>,
    given: BTreeSet<EndpointName>,
    lost: BTreeSet<EndpointName>,
    higher: Option<Ballot>,
    later_list: Option<u64>,
    table_full: bool,
}

impl BarRound {
    /// A round at `ballot`, by the list of `revision`, that awaits every agent in `agents`: all
    /// that may have run the key within the retry horizon. `idle_home` is the key's home, where the
    /// key is younger than the list and another endpoint could have run it; else `None`.
    pub fn new(
        ballot: Ballot,
        revision: u64,
        agents: impl IntoIterator<Item = EndpointName>,
        idle_home: Option<EndpointName>,
    ) -> BarRound {
        BarRound {
            ballot,
            revision,
            awaited: agents.into_iter().collect(),
            idle_home,
            home_lost: false,
            hints: false,
            ran: None,
            given: BTreeSet::new(),
            lost: BTreeSet::new(),
            higher: None,
            later_list: None,
            table_full: false,
        }
    }

    /// This round's ballot.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// Agents that have not answered yet.
    pub fn pending(&self) -> impl Iterator<Item = &EndpointName> {
        self.awaited.iter()
    }

    /// An agent answered. A second answer is ignored.
    pub fn record_reply(&mut self, agent: &EndpointName, heard: BarResponse) {
        if !self.awaited.remove(agent) {
            return;
        }
        if heard.revision != self.revision {
            self.hints = true;
        }
        if heard.revision > self.revision {
            self.later_list = self.later_list.max(Some(heard.revision));
        }
        if let HomeBarReply::Given(executor) = heard.home {
            self.given.insert(executor);
        }
        match heard.reply {
            BarReply::Clean { earlier } => self.hints |= earlier.is_some(),
            BarReply::Ran(ran) => self.note_run(agent, ran),
            BarReply::CannotSay => drop(self.lost.insert(agent.clone())),
            BarReply::Higher(ballot) => self.higher = self.higher.take().max(Some(ballot)),
            BarReply::TableFull => self.table_full = true,
        }
    }

    /// An agent could not be reached within the bound.
    pub fn record_unreachable(&mut self, agent: &EndpointName) {
        if !self.awaited.remove(agent) {
            return;
        }
        if self.idle_home.as_ref() == Some(agent) {
            self.home_lost = true;
        } else {
            self.lost.insert(agent.clone());
        }
    }

    /// What is known once all have answered, and as soon as one has an answer to attach to.
    pub fn verdict(&self) -> Option<BarVerdict> {
        let ran = self.ran.clone().map(|(agent, ran)| BarVerdict::Ran(agent, ran));
        if let Some(BarVerdict::Ran(_, RunStatus::Running | RunStatus::Finished)) = ran {
            return ran;
        }
        if !self.awaited.is_empty() {
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
        if !self.lost.is_empty() || (self.home_lost && self.home_may_have_run()) {
            return Some(BarVerdict::Unknown);
        }
        if self.table_full {
            return Some(BarVerdict::TableFull);
        }
        Some(BarVerdict::Clear)
    }

    /// Keeps the most useful of several runs: one with an answer. (Several are possible only for
    /// keys that may run again.)
    fn note_run(&mut self, agent: &EndpointName, ran: RunStatus) {
        let has_answer = |ran: RunStatus| matches!(ran, RunStatus::Running | RunStatus::Finished);
        if self.ran.as_ref().is_none_or(|(_, held)| !has_answer(*held)) {
            self.ran = Some((agent.clone(), ran));
        }
    }

    fn home_may_have_run(&self) -> bool {
        let given_to_home = self.idle_home.as_ref().is_some_and(|home| self.given.contains(home));
        self.hints || given_to_home
    }
}
