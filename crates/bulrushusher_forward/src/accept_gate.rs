//! Decides which new connections of callers are accepted while the process is overloaded.
//!
//! A caller whose connection is closed before its request was read tries another gateway; a request
//! that was read and answered too late may not be repeated. So a gateway reads no more than it can
//! serve, and learns how much that is from its own lateness: how long its other tasks take between two
//! turns of the one that accepts connections. Each request needs some such rounds, so the number of
//! connections that are served from a turn follows the length of the rounds, from the first one on.
//! The others wait in the listener's queue. Once that queue has not been empty for a while, the oldest
//! are closed unread, as the newest still have the most time left. A burst that is worked off soon
//! costs nobody a connection, and neither does a round that is long because the process applies a
//! large configuration: only lateness that persists over several rounds counts. Connections that are
//! already open are not touched.

use bulrushusher_time::Millis;

/// How many connections are accepted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AcceptGateConfig {
    /// Length of a round of the process's tasks above which fewer connections are served from a turn.
    pub target: Millis,
    /// Time for which connections may be left in the listener's queue before the oldest are closed.
    pub patience: Millis,
    /// Consecutive rounds that must be too long, and turns in which connections must be left, before
    /// fewer are served and the oldest are closed.
    pub persistence: u32,
    /// Connections that are served from a turn at first.
    pub initial_batch: f64,
    /// Maximum number of connections that are served from a turn.
    pub max_batch: f64,
    /// Factor by which that number grows after a turn that used it up while rounds are short.
    pub growth: f64,
    /// Maximum number of connections that are accepted in a turn, which delays all other tasks.
    pub max_accepted: usize,
}

impl Default for AcceptGateConfig {
    /// A plain call has a target of some hundreds of ms and takes about six rounds. The listener's queue
    /// holds 1,024 connections.
    fn default() -> AcceptGateConfig {
        AcceptGateConfig {
            target: Millis(30),
            patience: Millis(100),
            persistence: 3,
            initial_batch: 4.0,
            max_batch: 128.0,
            growth: 1.2,
            max_accepted: 512,
        }
    }
}

/// What to do in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptTurn {
    /// Connections to accept, if there are as many.
    pub accept: usize,
    /// How many of them to serve, the newest ones; the others are closed unread.
    pub serve: usize,
}

/// The connections that a process accepts, turn by turn.
///
/// ```
/// use bulrushusher_forward::{AcceptGate, AcceptGateConfig};
/// use bulrushusher_time::Millis;
/// let mut gate = AcceptGate::new(AcceptGateConfig::default());
/// let turn = gate.begin_turn(Millis(0));
/// assert_eq!((turn.accept, turn.serve), (4, 4), "others wait for the next turn");
/// // More connections wait than can be served: each round takes 300 ms.
/// for nth in 0..4 {
///     let now = Millis(nth * 300);
///     let turn = gate.begin_turn(now);
///     gate.end_turn(turn.accept, false, now);
///     gate.record_round(now, now.plus(Millis(300)));
/// }
/// let turn = gate.begin_turn(Millis(1_200));
/// assert_eq!((turn.accept, turn.serve), (512, 1), "the others are closed");
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AcceptGate {
    cfg: AcceptGateConfig,
    /// Connections to serve from a turn.
    batch: f64,
    /// True if the last turn had as many connections as it could serve.
    is_used_up: bool,
    /// Since when not all connections that wait are served; `None` if they are.
    waiting_since: Option<Millis>,
    /// Turns since then.
    waiting_turns: u32,
    /// Consecutive rounds that were too long, while connections waited.
    late_rounds: u32,
    /// Length of the shortest of them.
    shortest_late: Millis,
    /// When the batch was last reduced.
    reduced_at: Millis,
}

impl AcceptGate {
    /// The gate of a process that has just started.
    pub fn new(cfg: AcceptGateConfig) -> AcceptGate {
        let batch = cfg.initial_batch;
        AcceptGate {
            cfg,
            batch,
            is_used_up: false,
            waiting_since: None,
            waiting_turns: 0,
            late_rounds: 0,
            shortest_late: Millis::MAX,
            reduced_at: Millis(0),
        }
    }

    /// Decides on the connections that wait now.
    pub fn begin_turn(&self, now: Millis) -> AcceptTurn {
        let serve = self.batch();
        let is_queue_old = self.waiting_turns >= self.cfg.persistence
            && self.waiting_since.is_some_and(|since| now.since(since) >= self.cfg.patience);
        let accept = if is_queue_old { self.cfg.max_accepted.max(serve) } else { serve };
        AcceptTurn { accept, serve }
    }

    /// Ends a turn in which connections were accepted; `is_drained` if none was left in the queue.
    /// Returns true if all that waited are served.
    pub fn end_turn(&mut self, accepted: usize, is_drained: bool, now: Millis) -> bool {
        self.is_used_up = accepted >= self.batch();
        let are_all_served = is_drained && accepted <= self.batch();
        match are_all_served {
            true => {
                (self.waiting_since, self.waiting_turns) = (None, 0);
                self.forget_late_rounds();
            }
            false => {
                self.waiting_since.get_or_insert(now);
                self.waiting_turns += 1;
            }
        }
        are_all_served
    }

    /// Records a round of the process's tasks, from the beginning of a turn to that of the next.
    pub fn record_round(&mut self, began: Millis, ended: Millis) {
        self.record_lateness(began, ended);
        let length = ended.since(began);
        if length > self.cfg.target {
            self.late_rounds += 1;
            self.shortest_late = self.shortest_late.min(length);
            return;
        }
        self.forget_late_rounds();
        if self.is_used_up {
            self.batch = (self.batch * self.cfg.growth).min(self.cfg.max_batch);
        }
    }

    /// Records the time from the accept of a connection until its task first ran, which is a part of a
    /// round. What began before the batch was last reduced does not count again.
    pub fn record_lateness(&mut self, began: Millis, ended: Millis) {
        let lateness = ended.since(began);
        let persists = self.late_rounds + 1 >= self.cfg.persistence;
        if lateness > self.cfg.target && persists && began >= self.reduced_at {
            let shortest = lateness.min(self.shortest_late);
            let factor = self.cfg.target.0 as f64 / shortest.0 as f64;
            self.batch = (self.batch * factor).max(1.0);
            self.reduced_at = ended;
        }
    }

    fn forget_late_rounds(&mut self) {
        (self.late_rounds, self.shortest_late) = (0, Millis::MAX);
    }

    /// Number of connections that are served from a turn.
    pub fn batch(&self) -> usize {
        self.batch as usize
    }
}
