//! An entry's way to the right to run a key: the home's claim, and the bar when the home cannot
//! vouch. Does no I/O: the entry carries out each [`SettleAction`] and reports what came back.

use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, RequestKey};

use crate::{
    Ballot, BarResponse, BarRound, BarVerdict, ClaimReply, Owner, RunStatus, home_of, key_time,
};

/// Rounds of a bar before a request gives way to the others that want the same key.
const MAX_ROUNDS: u32 = 8;

/// The endpoint list as an entry holds it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListView {
    /// Its revision.
    pub revision: u64,
    /// Endpoints that may run keys of the service.
    pub executors: Vec<EndpointName>,
    /// Endpoints that were in the list within the retry horizon and are not any more.
    pub departed: Vec<EndpointName>,
    /// When the entry learned this list.
    pub learned: Millis,
}

impl ListView {
    /// The key's home, where another endpoint could run the key.
    pub fn home(&self, key: &RequestKey) -> Option<&EndpointName> {
        if self.executors.len() < 2 {
            return None;
        }
        home_of(key, &self.executors)
    }
}

/// What the request wants.
#[derive(Clone, Debug)]
pub struct SettleRequest {
    /// The key.
    pub key: RequestKey,
    /// True when it may run more than once.
    pub idempotent: bool,
    /// Who asks; a new one for each settlement.
    pub owner: Owner,
    /// Largest difference between two clocks.
    pub skew: Millis,
}

/// What the entry has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleAction {
    /// Ask this home to give the key to this executor; report by [`Settlement::record_claim_reply`].
    Claim {
        /// The home.
        home: EndpointName,
        /// The executor.
        executor: EndpointName,
        /// The revision of the list that both were taken from.
        revision: u64,
    },
    /// Ask these agents to bar the key; report each by [`Settlement::record_bar_reply`].
    Bar {
        /// The agents.
        agents: Vec<EndpointName>,
        /// The ballot.
        ballot: Ballot,
        /// The revision of the list that they were taken from.
        revision: u64,
    },
    /// Take the list anew, pause for a moment, and call [`Settlement::next_round`].
    Pause,
    /// Done.
    Done(Settled),
}

/// How it came out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// Run the key at this ballot: at the executor asked for when it is [`Ballot::Home`], else at
    /// any one executor of the list.
    Run(Ballot),
    /// The key belongs to that endpoint: attach there. `ran` tells that it began there for certain.
    Attach {
        /// The endpoint.
        executor: EndpointName,
        /// True when it began there for certain.
        ran: bool,
    },
    /// It may not run, for that reason.
    Failed(SettleFailure),
}

/// Why a key may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleFailure {
    /// It is older than the retry horizon.
    TooOld,
    /// It ran, and its answer cannot be had.
    RanWithoutAnswer(RunStatus),
    /// An endpoint that may have run it cannot tell.
    Unknown,
    /// A table is full.
    TableFull,
    /// Others want the same key, and went first again and again.
    Contended,
}

#[derive(Debug)]
enum State {
    Claiming { home: EndpointName, executor: EndpointName },
    Barring(BarRound),
    Pausing { above: Ballot },
    Done(Settled),
}

/// One request's settlement of its key.
///
/// ```
/// use bulrushusher_once::{
///     Ballot, ClaimReply, ListView, Owner, SettleAction, SettleRequest, Settled, Settlement,
/// };
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::{EndpointName, EntryName, RequestKey};
/// let name = |text| EndpointName::try_from(text).unwrap();
/// let ask = SettleRequest {
///     key: RequestKey::try_from("order-7").unwrap(),
///     idempotent: false,
///     owner: Owner {
///         entry: EntryName::try_from("entry-1").unwrap(), incarnation: 1, attempt: 1,
///     },
///     skew: Millis(10),
/// };
/// let view = ListView { revision: 3, executors: vec![name("d1")], ..ListView::default() };
/// let mut settlement = Settlement::claim(ask, view, name("d1"));
/// assert!(matches!(settlement.action(), SettleAction::Claim { .. }));
/// settlement.record_claim_reply(Some(ClaimReply::Recorded));
/// assert_eq!(settlement.action(), SettleAction::Done(Settled::Run(Ballot::Home)));
/// ```
#[derive(Debug)]
pub struct Settlement {
    ask: SettleRequest,
    view: ListView,
    rounds: u32,
    state: State,
}

impl Settlement {
    /// Begins with a claim at the key's home for `executor`.
    pub fn claim(ask: SettleRequest, view: ListView, executor: EndpointName) -> Settlement {
        // The only endpoint is the home of its own keys.
        let home = view.home(&ask.key).or(view.executors.first()).cloned();
        let state = match home {
            Some(home) => State::Claiming { home, executor },
            None => State::Done(Settled::Failed(SettleFailure::Unknown)),
        };
        Settlement { ask, view, rounds: 0, state }
    }

    /// Begins with a bar above a ballot.
    pub fn bar(ask: SettleRequest, view: ListView, above: Ballot) -> Settlement {
        let state = State::Pausing { above: above.clone() };
        let mut settlement = Settlement { ask, view, rounds: 0, state };
        settlement.begin_round(&above);
        settlement
    }

    /// What to do next. Asking twice gives the same.
    pub fn action(&self) -> SettleAction {
        let revision = self.view.revision;
        match &self.state {
            State::Claiming { home, executor } => {
                SettleAction::Claim { home: home.clone(), executor: executor.clone(), revision }
            }
            State::Barring(round) => SettleAction::Bar {
                agents: round.pending().cloned().collect(),
                ballot: round.ballot().clone(),
                revision,
            },
            State::Pausing { .. } => SettleAction::Pause,
            State::Done(settled) => SettleAction::Done(settled.clone()),
        }
    }

    /// The home's answer to the claim; `None` when it did not answer.
    pub fn record_claim_reply(&mut self, reply: Option<ClaimReply>) {
        if !matches!(self.state, State::Claiming { .. }) {
            return;
        }
        let settled = match reply {
            Some(ClaimReply::Recorded) => Settled::Run(Ballot::Home),
            Some(ClaimReply::Held(executor)) => Settled::Attach { executor, ran: false },
            Some(ClaimReply::TooOld) => Settled::Failed(SettleFailure::TooOld),
            Some(ClaimReply::TableFull) => Settled::Failed(SettleFailure::TableFull),
            Some(ClaimReply::InDoubt | ClaimReply::OtherList { .. }) | None => {
                self.begin_round(&Ballot::Home);
                return;
            }
        };
        self.state = State::Done(settled);
    }

    /// An agent's answer to the bar at `ballot`; `None` when it did not answer. Answers to other
    /// ballots are ignored.
    pub fn record_bar_reply(&mut self, agent: &EndpointName, ballot: &Ballot, heard: Option<BarResponse>) {
        let State::Barring(round) = &mut self.state else { return };
        if round.ballot() != ballot {
            return;
        }
        match heard {
            Some(heard) => round.record_reply(agent, heard),
            None => round.record_unreachable(agent),
        }
        if let Some(verdict) = round.verdict() {
            let ballot = ballot.clone();
            self.conclude(verdict, ballot);
        }
    }

    /// After a pause: another round, by the list as it is now.
    pub fn next_round(&mut self, view: ListView) {
        let State::Pausing { above } = &self.state else { return };
        let above = above.clone();
        self.view = view;
        self.begin_round(&above);
    }

    fn begin_round(&mut self, above: &Ballot) {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            self.state = State::Done(Settled::Failed(SettleFailure::Contended));
            return;
        }
        let ballot = above.next(&self.ask.owner);
        let view = &self.view;
        let younger_than_list =
            key_time(&self.ask.key).is_some_and(|time| time > view.learned.plus(self.ask.skew));
        let idle_home = view.home(&self.ask.key).filter(|_| younger_than_list).cloned();
        let agents = view.executors.iter().chain(&view.departed).cloned();
        self.state = State::Barring(BarRound::new(ballot, view.revision, agents, idle_home));
    }

    fn conclude(&mut self, verdict: BarVerdict, ballot: Ballot) {
        let settled = match verdict {
            BarVerdict::Clear => Settled::Run(ballot),
            BarVerdict::Ran(executor, RunStatus::Running | RunStatus::Finished) => {
                Settled::Attach { executor, ran: true }
            }
            BarVerdict::Ran(..) | BarVerdict::Unknown if self.ask.idempotent => {
                Settled::Run(ballot)
            }
            BarVerdict::Ran(_, ran) => Settled::Failed(SettleFailure::RanWithoutAnswer(ran)),
            BarVerdict::Unknown => Settled::Failed(SettleFailure::Unknown),
            BarVerdict::TableFull => Settled::Failed(SettleFailure::TableFull),
            BarVerdict::Higher(above) => {
                self.state = State::Pausing { above };
                return;
            }
            BarVerdict::StaleList(_) => {
                self.state = State::Pausing { above: ballot };
                return;
            }
        };
        self.state = State::Done(settled);
    }
}
