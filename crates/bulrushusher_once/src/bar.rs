//! A bar: one round of an entry that must know whether a key ran anywhere.

use std::collections::BTreeSet;

use bulrushusher_world::EndpointName;

use crate::{Ballot, BarReply, Ran};

/// What a finished round tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BarVerdict {
    /// It ran nowhere, and lower ballots are refused everywhere: run it at this round's ballot.
    Clear,
    /// It ran or runs at that endpoint: attach there.
    Ran(EndpointName, Ran),
    /// Another entry holds a higher ballot: bar again above it.
    Higher(Ballot),
    /// Some agent may have run it and cannot tell: the outcome is unknown.
    Unknown,
    /// Some agent knows a later endpoint list, of that revision: learn it and bar again.
    OldList(u64),
    /// Some agent's table is full: nothing is known, come back later.
    TableFull,
}

/// One round of a bar. Feed it each agent's reply; ask it for the verdict.
///
/// ```
/// use bulrushusher_once::{Ballot, BarReply, BarRound, BarVerdict};
/// use bulrushusher_world::{EndpointName, EntryName};
/// let entry = EntryName::try_from("entry-1").unwrap();
/// let d1 = EndpointName::try_from("d1").unwrap();
/// let mut round = BarRound::new(Ballot::Home.next(&entry, 1), 4, [d1.clone()]);
/// assert_eq!(round.verdict(), None);
/// round.reply(&d1, BarReply::Clean, 4);
/// assert_eq!(round.verdict(), Some(BarVerdict::Clear));
/// ```
#[derive(Debug)]
pub struct BarRound {
    ballot: Ballot,
    revision: u64,
    awaited: BTreeSet<EndpointName>,
    ran: Option<(EndpointName, Ran)>,
    higher: Option<Ballot>,
    later_list: Option<u64>,
    unknown: bool,
    table_full: bool,
}

impl BarRound {
    /// A round at `ballot`, by the list of `revision`, that awaits every agent in `agents`: all
    /// that may have run the key within the retry horizon.
    pub fn new(
        ballot: Ballot,
        revision: u64,
        agents: impl IntoIterator<Item = EndpointName>,
    ) -> BarRound {
        BarRound {
            ballot,
            revision,
            awaited: agents.into_iter().collect(),
            ran: None,
            higher: None,
            later_list: None,
            unknown: false,
            table_full: false,
        }
    }

    /// This round's ballot.
    pub fn ballot(&self) -> &Ballot {
        &self.ballot
    }

    /// An agent that holds the list of `revision` answered. A second answer is ignored.
    pub fn reply(&mut self, agent: &EndpointName, reply: BarReply, revision: u64) {
        if !self.awaited.remove(agent) {
            return;
        }
        if revision > self.revision {
            self.later_list = self.later_list.max(Some(revision));
        }
        match reply {
            BarReply::Clean => {}
            BarReply::Ran(ran) => self.ran = Some((agent.clone(), ran)),
            BarReply::CannotSay => self.unknown = true,
            BarReply::Higher(ballot) => self.higher = self.higher.take().max(Some(ballot)),
            BarReply::TableFull => self.table_full = true,
        }
    }

    /// An agent could not be reached within the bound. It may have run the key.
    pub fn unreachable(&mut self, agent: &EndpointName) {
        if self.awaited.remove(agent) {
            self.unknown = true;
        }
    }

    /// What is known once all have answered, and as soon as one says that the key ran.
    pub fn verdict(&self) -> Option<BarVerdict> {
        if let Some((agent, ran)) = &self.ran {
            return Some(BarVerdict::Ran(agent.clone(), *ran));
        }
        if !self.awaited.is_empty() {
            return None;
        }
        if let Some(revision) = self.later_list {
            return Some(BarVerdict::OldList(revision));
        }
        if let Some(ballot) = &self.higher {
            return Some(BarVerdict::Higher(ballot.clone()));
        }
        if self.unknown {
            return Some(BarVerdict::Unknown);
        }
        if self.table_full {
            return Some(BarVerdict::TableFull);
        }
        Some(BarVerdict::Clear)
    }
}
