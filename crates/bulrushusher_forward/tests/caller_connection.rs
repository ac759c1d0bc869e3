//! Connections that are checked for idleness while requests arrive, configurations change and the
//! process is late, in random order, on a simulated clock.

use std::collections::VecDeque;

use bulrushusher_forward::{CallerLimits, CloseReason, ConnectionState, LimitHistory};
use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Random orders of events.
const ORDERS: u64 = 200_000;

const SWEEP_INTERVAL: u64 = 500;

/// Share of the idle timeout within which callers use a connection again, in percent.
const REUSE_PERCENT: u64 = 80;

/// Time by which callers may learn of a configuration later than the process.
const CALLER_LAG: u64 = 400;

fn limits(idle_timeout: u64) -> CallerLimits {
    CallerLimits {
        header_bytes: 16_384,
        body_bytes: 1 << 20,
        header_timeout: Millis(700),
        idle_timeout: Millis(idle_timeout),
    }
}

/// A process with one connection. Its tasks run only while it is not late.
struct Simulation {
    rng: ChaCha8Rng,
    state: ConnectionState,
    history: LimitHistory,
    /// Configured idle timeouts with the time of each.
    timeouts: Vec<(u64, u64)>,
    /// When the parts of requests reached the socket; true for the last part of one.
    socket: VecDeque<bool>,
    /// Requests that were sent, and those that were answered.
    sent: u32,
    answered: u32,
    /// When the response to the request in hand is due.
    responds_at: Option<u64>,
    last_use: u64,
    closed_at: Option<u64>,
    /// True if the last sweep found bytes that were not read.
    was_spared: bool,
    /// The process runs nothing before this time.
    late_until: u64,
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let first = rng.random_range(500..6_000);
        Simulation {
            rng,
            state: ConnectionState::new(Millis(0)),
            history: LimitHistory::default(),
            timeouts: vec![(0, first)],
            socket: VecDeque::new(),
            sent: 0,
            answered: 0,
            responds_at: None,
            last_use: 0,
            closed_at: None,
            was_spared: false,
            late_until: 0,
        }
    }

    /// The idle timeout that the caller knows at `now`.
    fn known_to_caller(&self, now: u64) -> u64 {
        let known = self.timeouts.iter().rev().find(|(at, _)| at + CALLER_LAG <= now);
        known.unwrap_or(&self.timeouts[0]).1
    }

    /// The connection's task reads what has arrived, and responds.
    fn run_task(&mut self, now: u64) {
        if self.responds_at.is_some_and(|at| at <= now) {
            self.responds_at = None;
            self.answered += 1;
            self.last_use = now;
            self.state.end_request(Millis(now));
        }
        while self.responds_at.is_none() {
            let Some(is_last) = self.socket.pop_front() else { break };
            self.state.record_bytes(Millis(now));
            if is_last {
                self.state.begin_request();
                self.responds_at = Some(now + self.rng.random_range(1..800));
            }
        }
    }

    /// The sweep, and the connection's task if it is woken by it. A task that is woken by the sweep alone
    /// has not been told of what has arrived.
    fn sweep(&mut self, now: u64) {
        let timeout = self.timeouts.last().expect("there is one").1;
        let due = self.history.update(&limits(timeout), Millis(now));
        if self.state.close_reason(&due, Millis(now)).is_none() {
            return;
        }
        // The runtime tells the task of arrivals between two sweeps.
        if self.was_spared || self.rng.random_bool(0.5) {
            self.run_task(now);
        }
        let has_unread = !self.socket.is_empty();
        if self.state.close_if_due(&due, Millis(now), has_unread).is_some() {
            self.closed_at = Some(now);
        }
        self.was_spared = has_unread;
    }

    fn step(&mut self, now: u64) {
        let is_awake = now >= self.late_until;
        match self.rng.random_range(0..12) {
            0 if self.timeouts.len() < 6 => {
                let timeout = self.rng.random_range(500..6_000);
                self.timeouts.push((now, timeout));
            }
            1 => self.late_until = now + self.rng.random_range(10..1_500),
            2..=4 if self.answered == self.sent => {
                let idle = now - self.last_use;
                if idle * 100 <= self.known_to_caller(now) * REUSE_PERCENT {
                    self.sent += 1;
                    self.socket.push_back(true);
                }
            }
            _ if is_awake => self.run_task(now),
            _ => {}
        }
    }
}

/// Guards against a request that its caller sent in time and that is closed unanswered, because the
/// process was late, a configuration has shortened the idle timeout, or both.
#[test]
fn no_order_of_events_loses_a_request_that_was_sent_in_time() {
    for seed in 0..ORDERS {
        let mut simulation = Simulation::new(seed);
        let (mut now, mut next_sweep) = (0, SWEEP_INTERVAL);
        while simulation.closed_at.is_none() && now < 20_000 {
            now += simulation.rng.random_range(5..300);
            if now >= next_sweep && now >= simulation.late_until {
                next_sweep = now + SWEEP_INTERVAL;
                simulation.sweep(now);
            } else {
                simulation.step(now);
            }
        }
        let Simulation { sent, answered, closed_at, .. } = &simulation;
        assert!(
            closed_at.is_none() || sent == answered,
            "seed {seed}: {answered} of {sent} requests were answered before the close"
        );
    }
}

/// Guards against a connection that stays open because what its caller has sent is never read.
#[test]
fn unread_bytes_spare_a_connection_once() {
    let limits = LimitHistory::default().update(&limits(1_000), Millis(0));
    let mut state = ConnectionState::new(Millis(0));
    assert_eq!(state.close_if_due(&limits, Millis(2_000), true), None);
    assert_eq!(state.close_if_due(&limits, Millis(2_500), true), Some(CloseReason::Idle));
}

/// Guards against connections that are kept for ever, which would use up descriptors.
#[test]
fn an_unused_connection_is_closed_after_the_longest_timeout_that_its_caller_may_know() {
    for seed in 0..1_000 {
        let mut simulation = Simulation::new(seed);
        simulation.timeouts.push((700, 1_000));
        let mut now = 0;
        while simulation.closed_at.is_none() && now < 30_000 {
            now += SWEEP_INTERVAL;
            if now == 1_000 {
                // The first sweep knows the first timeout only.
                let first = simulation.timeouts[0].1;
                simulation.history.update(&limits(first), Millis(600));
            }
            simulation.sweep(now);
        }
        let longest = simulation.timeouts.iter().map(|(_, timeout)| *timeout).max();
        let latest = longest.unwrap_or_default() * 2 + 2_000;
        assert!(simulation.closed_at.is_some_and(|at| at <= latest), "seed {seed}: {now}");
    }
}
