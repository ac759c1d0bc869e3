//! A process with one worker and a gate, under floods of new connections.

use std::collections::VecDeque;

use bulrushusher_forward::{AcceptGate, AcceptGateConfig, AcceptTurn};
use bulrushusher_time::Millis;

/// Time to turn a connection away, in ms.
const CLOSE_MS: f64 = 0.03;

/// Connections that wait in the kernel.
const BACKLOG: usize = 1_024;

/// Rounds of the process's tasks that a request needs.
const ROUNDS: u32 = 6;

/// What a process without a gate accepts in a turn.
const UNGATED: AcceptTurn = AcceptTurn { accept: 128, serve: 128 };

/// Time within which a request must be answered.
const TARGET_MS: f64 = 300.0;

/// A span of the day with its connections per second.
#[derive(Clone, Copy)]
struct Span {
    length_ms: f64,
    per_s: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    arrived: usize,
    read: usize,
    on_time: usize,
}

impl Count {
    fn served_of_read(self) -> f64 {
        self.on_time as f64 / self.read.max(1) as f64
    }
}

/// A request that has been read.
struct Task {
    arrived: f64,
    accepted: f64,
    span: usize,
    rounds_left: u32,
}

/// Plays a day at a process that needs `serve_ms` for a request. Returns the counts of each span.
fn play(spans: &[Span], serve_ms: f64, mut gate: Option<AcceptGate>) -> Vec<Count> {
    let mut counts = vec![Count::default(); spans.len()];
    let mut arrivals = VecDeque::new();
    let mut start = 0.0;
    for (nth, span) in spans.iter().enumerate() {
        let total = (span.length_ms * span.per_s / 1_000.0) as usize;
        let gap = span.length_ms / total.max(1) as f64;
        arrivals.extend((0..total).map(|n| (start + n as f64 * gap, nth)));
        start += span.length_ms;
    }
    let at = |time: f64| Millis(time as u64);
    let (mut now, mut tasks) = (0.0_f64, VecDeque::<Task>::new());
    while !arrivals.is_empty() || !tasks.is_empty() {
        if tasks.is_empty() {
            now = now.max(arrivals.front().map_or(now, |(at, _)| *at));
        }
        // The kernel drops what exceeds the backlog.
        let waiting = arrivals.iter().take_while(|(at, _)| *at <= now).count();
        for _ in BACKLOG..waiting {
            let dropped: Option<(f64, usize)> = arrivals.remove(BACKLOG);
            counts[dropped.expect("it waits").1].arrived += 1;
        }
        let turn = gate.as_ref().map_or(UNGATED, |gate| gate.begin_turn(at(now)));
        let began = now;
        let accepted = turn.accept.min(waiting.min(BACKLOG));
        for (nth, (arrived, span)) in arrivals.drain(..accepted).enumerate() {
            counts[span].arrived += 1;
            match accepted - nth <= turn.serve {
                true => {
                    counts[span].read += 1;
                    tasks.push_back(Task { arrived, accepted: now, span, rounds_left: ROUNDS });
                }
                false => now += CLOSE_MS,
            }
        }
        let is_drained = accepted < turn.accept;
        let are_all_served =
            gate.as_mut().is_some_and(|gate| gate.end_turn(accepted, is_drained, at(now)));
        for _ in 0..tasks.len() {
            let Some(mut task) = tasks.pop_front() else { break };
            if let Some(gate) = gate.as_mut().filter(|_| task.rounds_left == ROUNDS) {
                gate.record_lateness(at(task.accepted), at(now));
            }
            now += serve_ms / f64::from(ROUNDS);
            task.rounds_left -= 1;
            match task.rounds_left {
                0 => counts[task.span].on_time += usize::from(now - task.arrived <= TARGET_MS),
                _ => tasks.push_back(task),
            }
        }
        if let Some(gate) = gate.as_mut().filter(|_| !are_all_served) {
            gate.record_round(at(began), at(now));
        }
    }
    counts
}

fn gate() -> Option<AcceptGate> {
    Some(AcceptGate::new(AcceptGateConfig::default()))
}

/// The flood's first seconds are a span of their own, as the platform judges what follows them.
fn flood(times: f64, capacity_per_s: f64) -> [Span; 5] {
    let usual = capacity_per_s / 4.0;
    [
        Span { length_ms: 5_000.0, per_s: usual },
        Span { length_ms: 3_000.0, per_s: usual * times },
        Span { length_ms: 8_000.0, per_s: usual * times },
        Span { length_ms: 3_000.0, per_s: usual },
        Span { length_ms: 7_000.0, per_s: usual },
    ]
}

/// Guards against a process that reads more than it can serve while a load balancer sends it most new
/// connections: all requests that it reads then are late.
#[test]
fn what_is_read_in_a_flood_is_served_on_time() {
    for serve_ms in [0.2, 1.0, 4.0] {
        let capacity = 1_000.0 / serve_ms;
        for times in [8.0, 20.0, 60.0] {
            let spans = flood(times, capacity);
            let [before, _, during, _, after] = play(&spans, serve_ms, gate())[..] else {
                panic!()
            };
            assert_eq!(before.read, before.arrived, "none is turned away before");
            let shown = (serve_ms, times, before, during, after);
            assert!(during.served_of_read() >= 0.9 * before.served_of_read(), "{shown:?}");
            // What is left of the process while it turns the others away.
            let left = 1.0 - spans[2].per_s * CLOSE_MS / 1_000.0;
            let usable = left * capacity * spans[2].length_ms / 1_000.0;
            assert!(during.on_time as f64 >= 0.5 * usable, "the process is used: {shown:?}");
            assert_eq!(after.read, after.arrived, "all are accepted again: {shown:?}");
            // The kernel's backlog alone is longer than the target at all but the fastest process.
            if BACKLOG as f64 * serve_ms > TARGET_MS {
                let [_, _, ungated, _, _] = play(&spans, serve_ms, None)[..] else { panic!() };
                assert!(ungated.served_of_read() < 0.5, "{ungated:?}");
            }
        }
    }
}

#[test]
fn a_burst_that_is_worked_off_turns_nobody_away() {
    let mut spans = Vec::new();
    for _ in 0..20 {
        spans.push(Span { length_ms: 40.0, per_s: 2_000.0 });
        spans.push(Span { length_ms: 960.0, per_s: 50.0 });
    }
    for count in play(&spans, 1.0, gate()) {
        assert_eq!(count.read, count.arrived);
    }
}

/// Guards against connections that are closed unread because the process was late with work of its own,
/// as it is when it applies a large configuration.
#[test]
fn rounds_that_are_long_for_other_reasons_turn_no_connection_away() {
    let mut gate = AcceptGate::new(AcceptGateConfig::default());
    let mut now = Millis(0);
    for _ in 0..20 {
        // Two long rounds, in each of which three connections arrive, then short ones.
        for length in [300, 300, 5, 5, 5, 5] {
            let waiting = if length == 300 { 3 } else { 0 };
            let turn = gate.begin_turn(now);
            assert!(turn.accept <= turn.serve && turn.serve >= waiting, "{turn:?} at {now:?}");
            let ended = now.plus(Millis(length));
            if !gate.end_turn(waiting, true, now) {
                gate.record_round(now, ended);
            }
            // The tasks of accepted connections run first at the end of a long round.
            gate.record_lateness(now, ended);
            now = ended;
        }
    }
}
