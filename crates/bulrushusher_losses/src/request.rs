//! A request, reconstructed from the log lines of one gateway.

use std::sync::Arc;

use crate::{BreakCause, End, LateCause, LogLine};

/// Response status codes that mean that the request was not run.
const NOT_RUN_STATUSES: [u64; 4] = [408, 421, 429, 503];

/// A caller that disconnects less than this before its deadline counts as timed out.
const DEADLINE_MARGIN_MS: u64 = 300;

/// What the log contains about one request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Name of the route.
    pub route: Arc<str>,
    /// Name of the gateway.
    pub gateway: Arc<str>,
    /// Data centre of the gateway; `unknown` if the log does not contain it.
    pub data_centre: Arc<str>,
    /// Time of acceptance in Unix ms, by the gateway's clock.
    pub at_ms: u64,
    /// Length of the prompt in tokens; 0 for a call.
    pub prompt: u64,
    /// The last runner that ran the request or was asked for memory.
    pub runner: Option<Arc<str>>,
    /// Time since the caller's first attempt in ms, as calculated by the gateway.
    pub elapsed_before_ms: u64,
    /// True if the gateway's process restarted after the request was accepted: a request without an
    /// end in the log was then aborted by the restart.
    pub(crate) gateway_restarted: bool,
    /// Target for the time to the first event or the response.
    target_ms: u64,
    /// Target for the gaps between events; 0 if there is none.
    event_gap_target_ms: u64,
    /// Time from acceptance to the deadline.
    remaining_ms: u64,
    is_stream: bool,
    waited_ms: u64,
    prefill_ms: u64,
    run_ms: u64,
    attempts: u32,
    /// Result and detail of the last attempt.
    last_attempt: Option<(Arc<str>, Arc<str>)>,
    refusal: Option<Arc<str>>,
    /// Status, time in ms and outcome of the response.
    response: Option<(u64, u64, Arc<str>)>,
    /// Result, cause, longest gap in ms and end in Unix ms of the last run.
    run_end: Option<(Arc<str>, Arc<str>, u64, u64)>,
}

impl Request {
    /// Applies a line of the request; returns false if the line is not used.
    pub(crate) fn apply_line(&mut self, line: &LogLine<'_>) -> bool {
        let number = |field| line.number(field).unwrap_or(0);
        let text = |field| Arc::<str>::from(line.text(field).unwrap_or(""));
        match line.event {
            "front: accepted" => {
                self.route = text("route");
                self.at_ms = line.at_ms;
                self.prompt = number("prompt");
                self.elapsed_before_ms = number("elapsed_before_ms");
                self.target_ms = number("target_ms");
                self.event_gap_target_ms = number("pause_target_ms");
                self.remaining_ms = number("left_ms");
                self.is_stream = line.text("kind") == Some("stream");
            }
            "front: refused" => self.refusal = Some(text("reason")),
            "front: answered" => {
                self.response = Some((number("status"), number("ms"), text("outcome")));
            }
            "place: asked for memory" => {
                self.waited_ms = self.waited_ms.max(number("waited_ms"));
                self.runner = Some(text("runner"));
            }
            "place: given up" => self.waited_ms = self.waited_ms.max(number("waited_ms")),
            "route: attempt ended" => {
                match line.text("step") {
                    Some("read") => self.prefill_ms += number("ms"),
                    Some("read_and_generate") => {
                        self.prefill_ms += number("ms");
                        self.attempts += 1;
                        self.runner = Some(text("runner"));
                    }
                    _ => {
                        self.run_ms = number("ms");
                        self.attempts += 1;
                        self.runner = Some(text("runner"));
                    }
                }
                self.last_attempt = Some((text("result"), text("detail")));
            }
            "stream: run ended" => {
                let end = (text("result"), text("cause"), number("longest_gap_ms"), line.at_ms);
                self.run_end = Some(end);
                self.runner = Some(text("runner"));
            }
            _ => return false,
        }
        true
    }

    /// True once the `front: accepted` line was read, which contains the route.
    pub fn is_accepted(&self) -> bool {
        !self.route.is_empty()
    }

    /// True if this is a caller's retry after a refusal, as far as the gateway recognised it.
    pub fn is_caller_retry(&self) -> bool {
        self.elapsed_before_ms > 0
    }

    /// The outcome of the request.
    pub fn end(&self) -> End {
        let Some((status, ms, outcome)) = &self.response else {
            return self.end_without_response();
        };
        match outcome.as_ref() {
            "answered" if *status < 400 && self.is_stream => self.stream_end(*ms),
            "answered" if *status < 400 => self.end_by_latency(*ms, 0),
            "answered" => End::Failed,
            "timed_out" => End::Broken(BreakCause::Deadline),
            _ if NOT_RUN_STATUSES.contains(status) => {
                End::Refused(self.refusal.clone().unwrap_or_else(|| outcome.clone()))
            }
            _ => End::Broken(self.break_cause()),
        }
    }

    /// The outcome of a request without a response: its gateway was killed, or its caller
    /// disconnected first.
    fn end_without_response(&self) -> End {
        match (self.is_accepted(), self.gateway_restarted) {
            (true, true) => End::Broken(BreakCause::Gateway),
            (true, false) => End::GivenUp,
            (false, _) => End::Open,
        }
    }

    fn stream_end(&self, first_event_ms: u64) -> End {
        let Some((result, cause, longest_gap_ms, at_ms)) = &self.run_end else {
            let was_killed = self.gateway_restarted;
            return if was_killed { End::Broken(BreakCause::Gateway) } else { End::Open };
        };
        match result.as_ref() {
            "whole" => self.end_by_latency(first_event_ms, *longest_gap_ms),
            "caller_gone" => {
                let is_past_deadline = at_ms + DEADLINE_MARGIN_MS >= self.at_ms + self.remaining_ms;
                if is_past_deadline { End::Broken(BreakCause::Deadline) } else { End::GivenUp }
            }
            "time_over" => End::Broken(BreakCause::Deadline),
            // The run was moved to another runner, and no later run has ended.
            "moved" | "maybe_stopped" if self.gateway_restarted => End::Broken(BreakCause::Gateway),
            "moved" | "maybe_stopped" => End::Open,
            _ if cause.contains("silent") => End::Broken(BreakCause::RunnerTimeout),
            _ if cause.contains("leav") => End::Broken(BreakCause::RunnerDrained),
            _ => End::Broken(BreakCause::Runner),
        }
    }

    fn break_cause(&self) -> BreakCause {
        let stopped = self.refusal.as_ref().is_some_and(|reason| reason.contains("stops"));
        let timed_out =
            self.last_attempt.as_ref().is_some_and(|(_, detail)| detail.contains("silent"));
        match (stopped, timed_out) {
            (true, _) => BreakCause::Gateway,
            (false, true) => BreakCause::RunnerTimeout,
            (false, false) => BreakCause::Runner,
        }
    }

    /// The outcome of a complete response: on time, or late with the cause. A preceding refusal is
    /// the cause if there was one, else the longest phase.
    fn end_by_latency(&self, ms: u64, longest_gap_ms: u64) -> End {
        let is_on_time = self.elapsed_before_ms + ms <= self.target_ms;
        if is_on_time
            && (self.event_gap_target_ms == 0 || longest_gap_ms <= self.event_gap_target_ms)
        {
            return End::OnTime;
        }
        if is_on_time {
            return End::Late(LateCause::EventGap);
        }
        if self.elapsed_before_ms > 0 {
            return End::Late(LateCause::CallerRetry);
        }
        if !self.is_stream {
            return End::Late(if self.attempts > 1 {
                LateCause::GatewayRetry
            } else {
                LateCause::Runner
            });
        }
        let phases = [
            (self.waited_ms, LateCause::MemoryWait),
            (self.prefill_ms, LateCause::Prefill),
            (self.run_ms, LateCause::Runner),
        ];
        let longest = phases.into_iter().max_by_key(|(ms, _)| *ms);
        End::Late(longest.map_or(LateCause::Runner, |(_, cause)| cause))
    }
}
