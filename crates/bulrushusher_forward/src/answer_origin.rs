//! Which call an answer belongs to, on connections that carry calls with and without an id.
//!
//! Runners echo the id of a request. A second answer to an earlier call may arrive where the answer
//! to the next call is expected. Unless the ids differ, only what the connection has carried before
//! tells the two apart.

use crate::RequestId;

/// Requests that a connection carries before it is replaced, which bounds the ids that are kept of
/// them.
const MAX_REQUESTS: usize = 256;

/// A call to a runner, as far as its answer is told from answers to other calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunnerCall<'a> {
    /// A run or a prefill, which carries the id of its request.
    Request(&'a RequestId),
    /// The copy of a run. It has no id, and an answer to another call would name the memory of
    /// another run.
    Copy,
    /// Another call without an id: a hold, a release, an order or a status request. The connection
    /// must be open and without unread bytes when the call is sent.
    Control,
}

/// The head of an answer, as far as it tells to which call the answer belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerHead<'a> {
    /// The request id that the answer echoes.
    pub id: Option<&'a RequestId>,
    /// True when the answer states that the request was not run.
    pub is_refusal: bool,
}

/// Whether an answer belongs to the call that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerOrigin {
    /// It belongs to the call.
    Own,
    /// It belongs to another call.
    Foreign,
    /// It may belong to this call or to an earlier one.
    Unclear,
}

/// The calls that a connection has carried. It carries one at a time.
///
/// ```
/// use bulrushusher_forward::{AnswerHead, AnswerOrigin, ConnectionCalls, RunnerCall};
///
/// let mut calls = ConnectionCalls::default();
/// let refusal = AnswerHead { id: None, is_refusal: true };
/// assert_eq!(calls.record_answer(RunnerCall::Control, refusal), AnswerOrigin::Own);
/// // It may be a second answer to the control call.
/// let run = RunnerCall::Request(&"r1".into());
/// assert_eq!(calls.record_answer(run, refusal), AnswerOrigin::Unclear);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ConnectionCalls {
    /// Ids of the requests that were sent.
    ids: Vec<RequestId>,
    /// True once a call was sent, or an answer received, without an id.
    has_unnamed: bool,
}

impl ConnectionCalls {
    /// True if an answer to the call can be told from a second answer to an earlier one.
    pub fn permits(&self, call: RunnerCall<'_>) -> bool {
        match call {
            RunnerCall::Request(id) => !self.ids.contains(id),
            RunnerCall::Copy => !self.has_unnamed,
            RunnerCall::Control => true,
        }
    }

    /// Records a call with the head of the answer that arrived for it; returns to which call the
    /// answer belongs. Unless that is [`AnswerOrigin::Own`], the connection must be closed.
    pub fn record_answer(&mut self, call: RunnerCall<'_>, answer: AnswerHead<'_>) -> AnswerOrigin {
        let origin = self.origin(call, answer);
        match call {
            RunnerCall::Request(id) => self.ids.push(id.clone()),
            RunnerCall::Copy | RunnerCall::Control => {}
        }
        self.has_unnamed |= answer.id.is_none();
        origin
    }

    fn origin(&self, call: RunnerCall<'_>, answer: AnswerHead<'_>) -> AnswerOrigin {
        let is_permitted = self.permits(call);
        match (call, answer.id) {
            (RunnerCall::Request(sent), Some(echoed)) if echoed != sent => AnswerOrigin::Foreign,
            (RunnerCall::Request(_), Some(_)) if is_permitted => AnswerOrigin::Own,
            // A refusal may lack the id, as another runner at the address may send it. Only on a
            // connection that has carried nothing else does it belong to this call for certain.
            (RunnerCall::Request(_), None) if answer.is_refusal && self.is_unused() => {
                AnswerOrigin::Own
            }
            (RunnerCall::Copy | RunnerCall::Control, Some(_)) => AnswerOrigin::Foreign,
            (RunnerCall::Copy | RunnerCall::Control, None) if is_permitted => AnswerOrigin::Own,
            _ => AnswerOrigin::Unclear,
        }
    }

    /// True if the connection may carry further calls.
    pub fn is_reusable(&self) -> bool {
        self.ids.len() < MAX_REQUESTS
    }

    fn is_unused(&self) -> bool {
        self.ids.is_empty() && !self.has_unnamed
    }
}
