//! Messages between the router's processes, and the typed errors sent to callers.
//!
//! Control calls use JSON-RPC ([`AgentControlClient`], [`AgentControlServer`]). Streams are HTTP
//! bodies with one JSON [`Frame`] per line; [`Frame::Answer`] is followed by raw bytes.

mod api_error;
mod control;
mod frame;

pub use api_error::{ApiError, ErrorBody, ErrorCode, ErrorDetail, RunState};
pub use control::{
    AgentControlClient, AgentControlServer, AgentLoad, AgentStatus, BarRequest, BarResponse,
    CancelRequest, ClaimRequest, EndpointListUpdate, Heartbeat, OpenStreamId, Reservation,
    ReserveReply, ReserveRequest,
};
pub use frame::{
    AttachOrder, CallOrder, DecodeRun, Frame, KvHandle, OrderRejection, PrefillRun, RunOrder, Work,
};
