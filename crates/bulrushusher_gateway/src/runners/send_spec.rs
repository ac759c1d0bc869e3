//! What is sent to a runner: a request of the gateway itself, or one with the residency of a caller's
//! request.

use bulrushusher_forward::{RequestId, Runner, RunnerCall, SoftwareVersion};
use bulrushusher_time::Millis;
use bulrushusher_world::DataCentreName;

use crate::runners::permit::Permit;
use crate::runners::router::ForwardedRequest;
use crate::runners::send_trace::SendTrace;

/// A caller's request on whose behalf something is sent, and the places that its data reaches.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallerSend<'a> {
    /// The request, which determines the places that are permitted at the moment of the send.
    pub fwd: &'a ForwardedRequest,
    /// The other runner that takes part.
    pub other: Option<TransferPeer<'a>>,
}

/// The source of a KV cache that a runner fetches, or the destination of a copy that it makes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TransferPeer<'a> {
    pub data_centre: &'a DataCentreName,
    pub version: &'a SoftwareVersion,
}

impl<'a> From<&'a Runner> for TransferPeer<'a> {
    fn from(runner: &'a Runner) -> TransferPeer<'a> {
        TransferPeer { data_centre: &runner.data_centre, version: &runner.version }
    }
}

/// What a request to a runner is for.
#[derive(Clone, Copy, Debug)]
pub(crate) enum SendPurpose<'a> {
    /// The gateway itself; the request contains no data of a caller.
    Gateway,
    /// A control request on behalf of a caller's request.
    Control(CallerSend<'a>),
    /// The copy of the run of a caller's request.
    Copy(CallerSend<'a>),
    /// The caller's request.
    Request(CallerSend<'a>),
}

impl<'a> SendPurpose<'a> {
    /// The id of the caller's request that is sent; `None` for control requests.
    pub(crate) fn id(self) -> Option<&'a RequestId> {
        match self {
            SendPurpose::Request(send) => Some(&send.fwd.request.id),
            SendPurpose::Gateway | SendPurpose::Control(_) | SendPurpose::Copy(_) => None,
        }
    }

    /// The call to which the response must belong.
    pub(crate) fn call(self) -> RunnerCall<'a> {
        match self {
            SendPurpose::Request(send) => RunnerCall::Request(&send.fwd.request.id),
            SendPurpose::Copy(_) => RunnerCall::Copy,
            SendPurpose::Gateway | SendPurpose::Control(_) => RunnerCall::Control,
        }
    }

    /// The caller's request, whose residency applies to the send.
    pub(crate) fn caller_send(self) -> Option<CallerSend<'a>> {
        match self {
            SendPurpose::Gateway => None,
            SendPurpose::Control(send) | SendPurpose::Copy(send) | SendPurpose::Request(send) => {
                Some(send)
            }
        }
    }
}

/// How a request is sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SendSpec<'a> {
    pub purpose: SendPurpose<'a>,
    pub permit: Permit,
    /// Timeout of the head of the response.
    pub timeout: Millis,
    /// Records what the send was decided by, for requests that have a log line of their own.
    pub trace: Option<&'a SendTrace>,
}
