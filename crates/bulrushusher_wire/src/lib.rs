//! Messages between the router's own processes, and callers' typed errors.
//!
//! Control calls go over JSON-RPC ([`AgentControlClient`], [`AgentControlServer`]); streams go over
//! HTTP bodies as one [`Frame`] a line, with raw bytes behind a frame that announces some.

mod api_error;
mod control;
mod frame;

pub use api_error::{ApiError, ErrorBody, ErrorCode, ErrorDetail, RunState};
pub use control::{
    AgentControlClient, AgentControlServer, AgentLoad, AgentStatus, BarAnswer, BarAsk, CancelAsk,
    ClaimAsk, Heartbeat, ListPush, OpenStreamName, ReserveAsk, ReserveReply, Reserved,
};
pub use frame::{
    AttachOrder, CallOrder, DecodeRun, Frame, KvHandle, NotTaken, PrefillRun, RunOrder, Work,
};
