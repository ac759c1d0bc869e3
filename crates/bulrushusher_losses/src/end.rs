//! Outcomes of requests.

use std::sync::Arc;

use derive_more::Display;

/// Why a response was late: its longest phase, or a refusal that preceded it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LateCause {
    /// The request had been refused before, and its latency target had passed when the caller
    /// retried.
    #[display("a refusal and the return")]
    CallerRetry,
    /// The request was queued for decode memory.
    #[display("waiting for memory")]
    MemoryWait,
    /// Prefill took too long.
    #[display("reading")]
    Prefill,
    /// The first event of the run, or the response of a call, took too long.
    #[display("the runner's answer")]
    Runner,
    /// An attempt failed and the gateway's retry finished too late.
    #[display("a repeat")]
    GatewayRetry,
    /// The gap between two events was too long.
    #[display("a pause")]
    EventGap,
}

/// Why a response is missing or incomplete.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakCause {
    /// The connection to the runner broke.
    #[display("its runner")]
    Runner,
    /// The runner sent nothing until a timeout.
    #[display("silence of its runner")]
    RunnerTimeout,
    /// The runner was drained.
    #[display("its runner's leaving")]
    RunnerDrained,
    /// The deadline of the request passed.
    #[display("the deadline")]
    Deadline,
    /// The gateway stopped or was killed.
    #[display("the gateway's stop")]
    Gateway,
}

/// How a request ended.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Complete and on time.
    #[display("on time")]
    OnTime,
    /// Complete, but late.
    #[display("late by {_0}")]
    Late(LateCause),
    /// Refused without being run, with the cause from the log.
    #[display("refused: {_0}")]
    Refused(Arc<str>),
    /// Incomplete, or ended without a response although the request may have run.
    #[display("broken off by {_0}")]
    Broken(BreakCause),
    /// The runner returned an error, which was forwarded to the caller.
    #[display("failed at its runner")]
    Failed,
    /// The caller disconnected before the deadline.
    #[display("given up by its caller")]
    GivenUp,
    /// The log contains no end of the request.
    #[display("no end in the log")]
    Open,
}

impl End {
    /// The kind of outcome, without its cause, as a label.
    pub fn kind(&self) -> &'static str {
        match self {
            End::OnTime => "on_time",
            End::Late(_) => "late",
            End::Refused(_) => "refused",
            End::Broken(_) => "broken_off",
            End::Failed => "failed",
            End::GivenUp => "given_up",
            End::Open => "open",
        }
    }
}
