//! The line of generations that wait for decode memory, and when waiting is given up.

use std::collections::{BTreeSet, HashMap};

use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

/// Who goes first among requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineOrder {
    /// Whoever came first.
    Arrival,
    /// Client accounts by turns, weighed by what their requests count as: one that sends many waits behind
    /// its own.
    Account,
}

/// Whose a waiting request is, and what it counts as.
#[derive(Clone, Copy, Debug, Default)]
pub struct Claim<'a> {
    /// The client account; all requests without one share their turns.
    pub account: Option<&'a ClientAccountName>,
    /// What it counts as among those of its account.
    pub cost: u64,
}

/// How long requests wait.
#[derive(Clone, Copy, Debug)]
pub struct WaitingConfig {
    /// Who goes first.
    pub order: LineOrder,
    /// Share of its response-time target that a request waits before it is refused.
    pub target_share: f64,
    /// How long a request waits whose target is past already.
    pub late_wait: Millis,
    /// How many at the head of the line ask for memory at the same time.
    pub askers: usize,
}

impl Default for WaitingConfig {
    /// Half of the target leaves the other half for the prompt and the first event. Under steady
    /// overload it served a third more generations on time than an eighth did, as memory that
    /// comes free then goes to one that can still use it. A late caller gains nothing by leaving,
    /// and stays under the time after which callers abandon a stream. Two askers keep one slow
    /// runner from blocking the line.
    fn default() -> WaitingConfig {
        WaitingConfig {
            order: LineOrder::Account,
            target_share: 0.5,
            late_wait: Millis(2_500),
            askers: 2,
        }
    }
}

/// Whether a gateway asks for memory now, while generations wait at `others` too and `open` runners
/// seem to have room.
///
/// Memory that comes free is seen by all of them at once. If all took it, the runner's memory would
/// be given away several times before their reports crossed; so each asks with its share of the
/// chance, and on the whole one asks at each open runner. `draw` is random in `0.0..1.0`.
///
/// ```
/// use bulrushusher_forward::asks_now;
/// assert!(asks_now(0.9, 0, 1), "nobody else waits");
/// assert!(!asks_now(0.9, 4, 1) && asks_now(0.1, 4, 1));
/// assert!(asks_now(0.9, 4, 5), "there is one for each");
/// assert!(!asks_now(0.0, 0, 0), "there is nothing to ask for");
/// ```
pub fn asks_now(draw: f64, others: usize, open: usize) -> bool {
    draw * (others as f64 + 1.0) < open as f64
}

/// Place in the line: lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// False for requests that can still meet their target; they go first.
    pub late: bool,
    /// The account's rank, or the route's.
    pub priority: u8,
    /// When its account's turn is, in units of the line's own time.
    pub turn: u64,
    /// When the request came.
    pub since: Millis,
    /// Tells apart what came in the same millisecond.
    pub number: u64,
}

/// The line.
///
/// ```
/// use bulrushusher_forward::{Claim, WaitingConfig, WaitingLine};
/// use bulrushusher_time::Millis;
/// let mut line = WaitingLine::new(WaitingConfig { askers: 1, ..WaitingConfig::default() });
/// let late = line.join(true, 1, Claim::default(), Millis(0));
/// let fresh = line.join(false, 1, Claim::default(), Millis(5));
/// assert!(line.may_ask(&fresh) && !line.may_ask(&late));
/// line.leave(&fresh);
/// assert!(line.may_ask(&late));
/// ```
#[derive(Clone, Debug)]
pub struct WaitingLine {
    cfg: WaitingConfig,
    waiting: BTreeSet<Rank>,
    next_number: u64,
    /// The latest turn of a request that has left the line.
    now_at: u64,
    /// When the turn is of the next request of an account.
    next_turn: HashMap<Option<ClientAccountName>, u64>,
}

impl WaitingLine {
    /// Nothing waits.
    pub fn new(cfg: WaitingConfig) -> WaitingLine {
        WaitingLine {
            cfg,
            waiting: BTreeSet::new(),
            next_number: 0,
            now_at: 0,
            next_turn: HashMap::new(),
        }
    }

    /// Takes other bounds; what waits keeps its place.
    pub fn reconfigure(&mut self, cfg: WaitingConfig) {
        self.cfg = cfg;
    }

    /// A request begins to wait.
    pub fn join(&mut self, late: bool, priority: u8, claim: Claim<'_>, now: Millis) -> Rank {
        self.next_number += 1;
        let turn = self.take_turn(claim);
        let rank = Rank { late, priority, turn, since: now, number: self.next_number };
        self.waiting.insert(rank);
        rank
    }

    /// An account that had nothing waiting begins at the line's time, as if it had come now; others go
    /// on after their last request.
    fn take_turn(&mut self, claim: Claim<'_>) -> u64 {
        if self.cfg.order == LineOrder::Arrival {
            return 0;
        }
        let next = self.next_turn.entry(claim.account.cloned()).or_default();
        let turn = self.now_at.max(*next);
        *next = turn + claim.cost.max(1);
        turn
    }

    /// A request waits no more.
    pub fn leave(&mut self, rank: &Rank) {
        self.waiting.remove(rank);
        self.now_at = self.now_at.max(rank.turn);
        if self.waiting.is_empty() {
            self.next_turn.clear();
            self.now_at = 0;
        }
    }

    /// True when the request is far enough ahead to ask for memory.
    pub fn may_ask(&self, rank: &Rank) -> bool {
        self.waiting.iter().take(self.cfg.askers).any(|ahead| ahead == rank)
    }

    /// Requests waiting that can still meet their target.
    pub fn on_time(&self) -> usize {
        self.waiting.iter().filter(|rank| !rank.late).count()
    }

    /// Requests waiting.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True when nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How long a request of a route with that target may wait.
    pub fn longest_wait(&self, late: bool, target: Millis) -> Millis {
        match late {
            true => self.cfg.late_wait,
            false => target.share(self.cfg.target_share),
        }
    }
}
