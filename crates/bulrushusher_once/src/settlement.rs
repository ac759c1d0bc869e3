//! How an entry obtains the right to run a key: a claim at the key's home, and bar rounds
//! ([`BarRound`]) if the home is unreachable or its records may be incomplete. Does no I/O: the
//! entry carries out each [`SettleAction`] and reports the replies.

use bulrushusher_time::Millis;
use bulrushusher_world::{EndpointName, RequestKey};

use crate::{
    AgentBarReply, Ballot, BarRound, BarVerdict, ClaimReply, Owner, RunStatus, home_of, key_time,
};

/// Maximum bar rounds; then the request yields to the others that contend for the key.
const MAX_ROUNDS: u32 = 8;

/// An entry's copy of the endpoint list of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListView {
    /// The revision.
    pub revision: u64,
    /// Endpoints that may run requests of the service.
    pub executors: Vec<EndpointName>,
    /// Endpoints that were removed from the list within the retry horizon.
    pub departed: Vec<EndpointName>,
    /// When the entry received this list.
    pub learned: Millis,
}

impl ListView {
    /// The key's home; `None` if there is no other endpoint that could run the key.
    pub fn home(&self, key: &RequestKey) -> Option<&EndpointName> {
        if self.executors.len() < 2 {
            return None;
        }
        home_of(key, &self.executors)
    }
}

/// The key to settle, and for whom.
#[derive(Clone, Debug)]
pub struct SettleRequest {
    /// The key.
    pub key: RequestKey,
    /// True if the key may run more than once.
    pub idempotent: bool,
    /// The owner of the ballots; a new one for each settlement.
    pub owner: Owner,
    /// Maximum clock skew between two processes.
    pub skew: Millis,
}

/// The next step for the entry to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SettleAction {
    /// Claim the key for this executor at its home, and pass the reply to
    /// [`Settlement::record_claim_reply`].
    Claim {
        /// The home.
        home: EndpointName,
        /// The executor.
        executor: EndpointName,
        /// The revision of the list that both are from.
        revision: u64,
    },
    /// Bar the key at these agents, that is, request that they refuse it at ballots below `ballot`,
    /// and pass each reply to [`Settlement::record_bar_reply`].
    Bar {
        /// The agents.
        agents: Vec<EndpointName>,
        /// The ballot.
        ballot: Ballot,
        /// The revision of the list that they are from.
        revision: u64,
    },
    /// Wait briefly, fetch the current list, and call [`Settlement::next_round`].
    Pause,
    /// The settlement is complete.
    Done(Settled),
}

/// The result of a settlement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// Run the key at this ballot: at the claimed executor if it is [`Ballot::Home`], otherwise at
    /// any one executor of the list.
    Run(Ballot),
    /// The key is assigned to that endpoint: attach there.
    Attach {
        /// The endpoint.
        executor: EndpointName,
        /// True if its run is certain to have started there.
        ran: bool,
    },
    /// The key may not run.
    Failed(SettleFailure),
}

/// Why a key may not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettleFailure {
    /// The key is older than the retry horizon.
    TooOld,
    /// The key ran, and its answer is not available.
    RanWithoutAnswer(RunStatus),
    /// An endpoint that may have run the key is unreachable or has incomplete records.
    Unknown,
    /// The table of an agent is full.
    TableFull,
    /// Other settlements of the same key took precedence in every round.
    Contended,
}

#[derive(Debug)]
enum State {
    Claiming { home: EndpointName, executor: EndpointName },
    Barring(BarRound),
    Pausing { above: Ballot },
    Done(Settled),
}

/// Obtains the right to run a key for one request.
///
/// ```
/// use bulrushusher_once::{
///     Ballot, ClaimReply, ListView, Owner, SettleAction, SettleRequest, Settled, Settlement,
/// };
/// use bulrushusher_time::Millis;
/// use bulrushusher_world::{EndpointName, EntryName, RequestKey};
/// let name = |text| EndpointName::try_from(text).unwrap();
/// let req = SettleRequest {
///     key: RequestKey::try_from("order-7").unwrap(),
///     idempotent: false,
///     owner: Owner {
///         entry: EntryName::try_from("entry-1").unwrap(), incarnation: 1, attempt: 1,
///     },
///     skew: Millis(10),
/// };
/// let view = ListView { revision: 3, executors: vec![name("d1")], ..ListView::default() };
/// let mut settlement = Settlement::claim(req, view, name("d1"));
/// assert!(matches!(settlement.action(), SettleAction::Claim { .. }));
/// settlement.record_claim_reply(Some(ClaimReply::Recorded));
/// assert_eq!(settlement.action(), SettleAction::Done(Settled::Run(Ballot::Home)));
/// ```
#[derive(Debug)]
pub struct Settlement {
    req: SettleRequest,
    view: ListView,
    rounds: u32,
    state: State,
}

impl Settlement {
    /// Starts with a claim for `executor` at the key's home.
    pub fn claim(req: SettleRequest, view: ListView, executor: EndpointName) -> Settlement {
        // The only endpoint is the home of its own keys.
        let home = view.home(&req.key).or(view.executors.first()).cloned();
        let state = match home {
            Some(home) => State::Claiming { home, executor },
            None => State::Done(Settled::Failed(SettleFailure::Unknown)),
        };
        Settlement { req, view, rounds: 0, state }
    }

    /// Starts with a bar round above the given ballot.
    pub fn bar(req: SettleRequest, view: ListView, above: Ballot) -> Settlement {
        let state = State::Pausing { above: above.clone() };
        let mut settlement = Settlement { req, view, rounds: 0, state };
        settlement.start_round(&above);
        settlement
    }

    /// The next step. Repeated calls return the same step until a reply is recorded.
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

    /// Records the home's reply to the claim; `None` if it did not reply.
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
                self.start_round(&Ballot::Home);
                return;
            }
        };
        self.state = State::Done(settled);
    }

    /// Records an agent's reply to the request to bar the key at `ballot`; `None` if it did not
    /// reply. Replies for other ballots are ignored.
    pub fn record_bar_reply(
        &mut self,
        agent: &EndpointName,
        ballot: &Ballot,
        response: Option<AgentBarReply>,
    ) {
        let State::Barring(round) = &mut self.state else { return };
        if round.ballot() != ballot {
            return;
        }
        match response {
            Some(response) => round.record_reply(agent, response),
            None => round.record_unreachable(agent),
        }
        if let Some(verdict) = round.verdict() {
            let ballot = ballot.clone();
            self.conclude(verdict, ballot);
        }
    }

    /// Starts another round after a pause, by the current list.
    pub fn next_round(&mut self, view: ListView) {
        let State::Pausing { above } = &self.state else { return };
        let above = above.clone();
        self.view = view;
        self.start_round(&above);
    }

    fn start_round(&mut self, above: &Ballot) {
        self.rounds += 1;
        if self.rounds > MAX_ROUNDS {
            self.state = State::Done(Settled::Failed(SettleFailure::Contended));
            return;
        }
        let ballot = above.next(&self.req.owner);
        let view = &self.view;
        let younger_than_list =
            key_time(&self.req.key).is_some_and(|time| time > view.learned.plus(self.req.skew));
        let idle_home = view.home(&self.req.key).filter(|_| younger_than_list).cloned();
        let agents = view.executors.iter().chain(&view.departed).cloned();
        self.state = State::Barring(BarRound::new(ballot, view.revision, agents, idle_home));
    }

    fn conclude(&mut self, verdict: BarVerdict, ballot: Ballot) {
        let settled = match verdict {
            BarVerdict::Clear => Settled::Run(ballot),
            BarVerdict::Ran(executor, RunStatus::Running | RunStatus::Finished) => {
                Settled::Attach { executor, ran: true }
            }
            BarVerdict::Ran(..) | BarVerdict::Unknown if self.req.idempotent => {
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
