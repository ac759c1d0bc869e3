//! How requests end.

use std::sync::Arc;

use derive_more::Display;

/// What made an answer late: the longest of the parts of its time, or what came before.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LateBy {
    /// It had been refused before, and its target was past when it came back.
    #[display("a refusal and the return")]
    Return,
    /// It waited for decode memory, or for its turn at it.
    #[display("waiting for memory")]
    Memory,
    /// Its prompt took too long to be read.
    #[display("reading")]
    Reading,
    /// The run's first event, or the answer of a call, took too long.
    #[display("the runner's answer")]
    Runner,
    /// A first attempt failed and the repeat came too late.
    #[display("a repeat")]
    Repeat,
    /// A pause between two events was too long.
    #[display("a pause")]
    Pause,
}

/// What broke an answer off, or left it without a whole one.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum BrokenBy {
    /// Its runner's connection broke.
    #[display("its runner")]
    Runner,
    /// Its runner stayed silent.
    #[display("silence of its runner")]
    Silence,
    /// Its runner left.
    #[display("its runner's leaving")]
    Leaving,
    /// Its time was over.
    #[display("the deadline")]
    Deadline,
    /// The gateway stopped.
    #[display("the gateway's stop")]
    Gateway,
}

/// How a request ended.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Whole and on time.
    #[display("on time")]
    OnTime,
    /// Whole, but late.
    #[display("late by {_0}")]
    Late(LateBy),
    /// Refused as not run; the cause as the log tells it.
    #[display("refused: {_0}")]
    Refused(Arc<str>),
    /// Broken off, or ended without an answer although it may have run.
    #[display("broken off by {_0}")]
    Broken(BrokenBy),
    /// The runner's own failure was passed on.
    #[display("failed at its runner")]
    Failed,
    /// The caller left.
    #[display("given up by its caller")]
    GivenUp,
    /// The log does not tell its end.
    #[display("no end in the log")]
    Open,
}

impl End {
    /// One word for the kind of end.
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
