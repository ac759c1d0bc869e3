//! Queue of text generations that wait for memory of a decode runner, and the limits of the wait.

use std::collections::{BTreeSet, HashMap};

use bulrushusher_time::Millis;
use bulrushusher_world::ClientAccountName;

/// Order of requests with the same priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueOrder {
    /// First come, first served.
    Arrival,
    /// Fair queueing over client accounts, weighted by the cost of their requests: an account with
    /// many requests delays only its own requests.
    Account,
}

/// Account and cost of a queued request.
#[derive(Clone, Copy, Debug, Default)]
pub struct AccountCost<'a> {
    /// The client account; requests without one form a single flow.
    pub account: Option<&'a ClientAccountName>,
    /// Cost of the request, in units of the account's quota; 0 without an account.
    pub cost: u64,
}

/// Order and time limits of the queue.
#[derive(Clone, Copy, Debug)]
pub struct WaitQueueConfig {
    /// Order of requests with the same priority.
    pub order: QueueOrder,
    /// Share of its response-time target that a request may wait before it is refused.
    pub target_share: f64,
    /// How long a request may wait whose target has already passed.
    pub late_wait: Millis,
    /// How many requests at the head of the queue may request memory concurrently.
    pub concurrency: usize,
}

impl Default for WaitQueueConfig {
    /// Half of the target leaves the other half for the prefill and the first event. Under
    /// sustained overload this served a third more generations on time than an eighth did, because
    /// freed memory then goes to a request that can still use it. A late caller gains nothing from
    /// an early refusal; its limit is below the time after which callers abandon a stream. Two
    /// concurrent requests keep one slow runner from blocking the queue.
    fn default() -> WaitQueueConfig {
        WaitQueueConfig {
            order: QueueOrder::Account,
            target_share: 0.5,
            late_wait: Millis(2_500),
            concurrency: 2,
        }
    }
}

/// Whether this gateway requests memory now, while text generations also wait at `others` other
/// gateways and `open` decode runners appear to have free memory.
///
/// All gateways see freed memory at once. If each of them requested it, a runner's memory would be
/// given out several times before their reports are exchanged. So each one requests with the
/// probability `open / (others + 1)`, and on average one gateway requests per open runner. `draw`
/// is a random number in `0.0..1.0`.
///
/// ```
/// use bulrushusher_forward::should_request_memory;
/// assert!(should_request_memory(0.9, 0, 1), "no other gateway waits");
/// assert!(!should_request_memory(0.9, 4, 1) && should_request_memory(0.1, 4, 1));
/// assert!(should_request_memory(0.9, 4, 5), "there is a runner for each gateway");
/// assert!(!should_request_memory(0.0, 0, 0), "no runner has room");
/// ```
pub fn should_request_memory(draw: f64, others: usize, open: usize) -> bool {
    draw * (others as f64 + 1.0) < open as f64
}

/// Position in the queue; lower goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueRank {
    /// True if the request can no longer meet its target; such requests go last.
    pub late: bool,
    /// Priority of the account, or else of the route; 0 is the most urgent.
    pub priority: u8,
    /// Virtual start time of fair queueing, in units of cost; 0 in arrival order.
    pub virtual_start: u64,
    /// When the request arrived.
    pub arrived_at: Millis,
    /// Tie breaker between requests that arrived in the same millisecond.
    pub sequence: u64,
}

/// The queue of one service.
///
/// ```
/// use bulrushusher_forward::{AccountCost, WaitQueue, WaitQueueConfig};
/// use bulrushusher_time::Millis;
/// let cfg = WaitQueueConfig { concurrency: 1, ..WaitQueueConfig::default() };
/// let mut queue = WaitQueue::new(cfg);
/// let late = queue.join(true, 1, AccountCost::default(), Millis(0));
/// let on_time = queue.join(false, 1, AccountCost::default(), Millis(5));
/// assert!(queue.may_request_memory(&on_time) && !queue.may_request_memory(&late));
/// queue.leave(&on_time);
/// assert!(queue.may_request_memory(&late));
/// ```
#[derive(Clone, Debug)]
pub struct WaitQueue {
    cfg: WaitQueueConfig,
    waiting: BTreeSet<QueueRank>,
    last_sequence: u64,
    /// Virtual time: the latest virtual start among the requests that left the queue.
    virtual_time: u64,
    /// Virtual start of the next request, by account.
    next_start_by_account: HashMap<Option<ClientAccountName>, u64>,
}

impl WaitQueue {
    /// Creates an empty queue.
    pub fn new(cfg: WaitQueueConfig) -> WaitQueue {
        WaitQueue {
            cfg,
            waiting: BTreeSet::new(),
            last_sequence: 0,
            virtual_time: 0,
            next_start_by_account: HashMap::new(),
        }
    }

    /// Replaces the limits; queued requests keep their position.
    pub fn reconfigure(&mut self, cfg: WaitQueueConfig) {
        self.cfg = cfg;
    }

    /// Adds a request to the queue.
    pub fn join(
        &mut self,
        late: bool,
        priority: u8,
        request: AccountCost<'_>,
        now: Millis,
    ) -> QueueRank {
        self.last_sequence += 1;
        let virtual_start = self.next_virtual_start(request);
        let rank = QueueRank {
            late,
            priority,
            virtual_start,
            arrived_at: now,
            sequence: self.last_sequence,
        };
        self.waiting.insert(rank);
        rank
    }

    /// An account without queued requests starts at the current virtual time; otherwise its
    /// requests follow one another, spaced by cost.
    fn next_virtual_start(&mut self, request: AccountCost<'_>) -> u64 {
        if self.cfg.order == QueueOrder::Arrival {
            return 0;
        }
        let next = self.next_start_by_account.entry(request.account.cloned()).or_default();
        let virtual_start = self.virtual_time.max(*next);
        *next = virtual_start.saturating_add(request.cost.max(1));
        virtual_start
    }

    /// Removes a request from the queue.
    pub fn leave(&mut self, rank: &QueueRank) {
        self.waiting.remove(rank);
        self.virtual_time = self.virtual_time.max(rank.virtual_start);
        if self.waiting.is_empty() {
            self.next_start_by_account.clear();
            self.virtual_time = 0;
        }
    }

    /// True if the request is close enough to the head of the queue to request memory.
    pub fn may_request_memory(&self, rank: &QueueRank) -> bool {
        self.waiting.iter().take(self.cfg.concurrency).any(|ahead| ahead == rank)
    }

    /// Number of queued requests that can still meet their target.
    pub fn on_time(&self) -> usize {
        self.waiting.iter().filter(|rank| !rank.late).count()
    }

    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// True if no request is queued.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// How long a request may wait on a route with this response-time target.
    pub fn max_wait(&self, late: bool, target: Millis) -> Millis {
        match late {
            true => self.cfg.late_wait,
            false => target.share(self.cfg.target_share),
        }
    }
}
