//! The platform interface: traits that translate the platform's protocol and access its store.
//!
//! A dialect translates one message at a time. It has no state and no timers, and takes no
//! decisions.

use std::net::SocketAddr;

use bulrushusher_accounts::Credentials;
use bulrushusher_forward::{
    PromptParts, PromptSize, RequestId, RunnerSignals, SoftwareVersion, Stage, StartTime,
};
use bulrushusher_time::Millis;
use bulrushusher_world::{CacheHandle, ClientAccountName, DataCentreName, HoldId, RunnerId};
use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::Method;
use hyper::header::HeaderMap;
use hyper::http::{request, response};

use crate::runners::send_spec::TransferPeer;

mod store;

pub(crate) use store::NO_WAIT;
pub use store::{
    Announcement, Change, ChangeBatch, Freshness, InvalidObject, PlatformStore, Record,
    RecordWrite, StoreError, Topic,
};

/// The parsed head of a caller's request.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Id of this attempt of the caller.
    pub id: RequestId,
    /// The caller's timeout; `None` when the request states none.
    pub timeout: Option<Millis>,
    /// Size of the generation, if the request is one.
    pub size: Option<PromptSize>,
    /// The parts of the prompt; empty if the request states none.
    pub parts: PromptParts,
    /// Id of the last event that the caller received, when it resumes a stream.
    pub resume_after: Option<u64>,
    /// Id of the caller's attempt that brought the first event of that stream.
    pub resumes: Option<RequestId>,
    /// The headers to forward, without those that only the router may set.
    pub headers: HeaderMap,
}

/// Why a request head is not valid in this protocol.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// The request id is missing.
    #[display("the request has no id; send one with each attempt")]
    MissingId,
    /// A header cannot be parsed.
    #[display("the header `{field}` cannot be parsed; correct it")]
    InvalidHeader {
        /// Name of the header.
        field: &'static str,
    },
}

/// The KV cache of a prompt, at the runner that prefilled it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCache {
    /// Address of that runner.
    pub address: SocketAddr,
    /// Data centre of that runner; a request that fetches the cache must be permitted there too.
    pub data_centre: DataCentreName,
    /// Software version of that runner; only runners of the same version can read the cache.
    pub version: SoftwareVersion,
    /// Handle of the cache at that runner.
    pub handle: CacheHandle,
}

impl KvCache {
    /// The runner that has the cache.
    pub(crate) fn holder(&self) -> TransferPeer<'_> {
        TransferPeer { data_centre: &self.data_centre, version: &self.version }
    }
}

/// The part of a request that a runner is to carry out.
#[derive(Clone, Copy, Debug)]
pub enum Step<'a> {
    /// The whole request.
    Whole,
    /// Prefill the prompt and keep its KV cache.
    Prefill,
    /// Generate the output.
    Generate {
        /// The KV cache to start from; without one the runner prefills the prompt itself.
        kv: Option<&'a KvCache>,
        /// Id of the hold on decode memory, if there is one.
        hold: Option<&'a HoldId>,
    },
}

/// One attempt at a runner.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The only runner that may execute the attempt.
    pub runner: &'a RunnerId,
    /// Time remaining until the request's deadline.
    pub remaining: Millis,
    /// Id of the last event that the caller received.
    pub resume_after: Option<u64>,
    /// The client account of the request, where the configuration has accounts.
    pub account: Option<&'a ClientAccountName>,
    /// The part of the request to carry out.
    pub step: Step<'a>,
}

/// The parsed head of a runner's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseInfo {
    /// Id of the request that the response belongs to.
    pub request: Option<RequestId>,
    /// True when the runner states that it did not run the request.
    pub not_run: bool,
    /// True when the address belongs to another runner.
    pub wrong_runner: bool,
    /// True when the response carries the runner's seal, which proves that the runner wrote it.
    pub sealed: bool,
    /// Back-pressure signals of the runner.
    pub signals: RunnerSignals,
}

/// A small request of the gateway itself to a runner, which carries no caller's request.
#[derive(Clone, Debug)]
pub struct ControlRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A copy of a run's memory to another runner.
#[derive(Clone, Copy, Debug)]
pub struct RunCopy<'a> {
    /// The runner that executes the run.
    pub runner: &'a RunnerId,
    /// Id of the request.
    pub request: &'a RequestId,
    /// Address of the runner that receives the copy.
    pub to: SocketAddr,
    /// True to stop the run first: its stream ends, and the copy contains all of its output.
    pub stop_first: bool,
}

/// An order: a gateway's request to a runner to change its stage.
#[derive(Clone, Debug)]
pub struct StageOrder<'a> {
    /// The runner.
    pub runner: &'a RunnerId,
    /// The stage to change to.
    pub stage: Stage,
    /// Gateway that holds the ordering lease, which permits the order.
    pub holder: &'a str,
    /// Fencing token of the holder's lease.
    pub fence: u64,
    /// Number of orders that the runner has accepted so far; it refuses the order when its own
    /// count differs.
    pub accepted: u64,
}

/// A runner's own status report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerStatus {
    /// Time of the runner's process start, where runners report it.
    pub born: Option<StartTime>,
    /// The runner's stage.
    pub stage: Option<Stage>,
    /// True while the runner carries out an order to change its stage.
    pub busy: bool,
    /// Number of orders to change its stage that the runner has accepted since its process start.
    pub accepted: u64,
}

/// Encodes and decodes requests, responses and control requests of a platform's protocol.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    /// [`HeadError`] for a head that must be refused.
    fn parse_request(&self, head: &request::Parts) -> Result<CallerRequest, HeadError>;

    /// The credentials of a caller's request.
    fn credentials(&self, head: &request::Parts) -> Credentials;

    /// The headers of a request to a runner.
    fn attempt_headers(&self, request: &CallerRequest, attempt: &Attempt<'_>) -> HeaderMap;

    /// Parses the head of a runner's response.
    fn parse_response(&self, head: &response::Parts) -> ResponseInfo;

    /// The headers of a refusal, with which the gateway itself responds to a request.
    fn refusal_headers(&self, request: &CallerRequest) -> HeaderMap;

    /// Parses the handle of the KV cache in a runner's response to [`Step::Prefill`] or to
    /// [`copy_run`](Dialect::copy_run).
    fn parse_cache_handle(&self, body: &[u8]) -> Option<CacheHandle>;

    /// The request that frees a KV cache.
    fn free_kv(&self, runner: &RunnerId, handle: &CacheHandle) -> ControlRequest;

    /// The request that holds decode memory for `ttl`.
    fn create_hold(&self, runner: &RunnerId, tokens: u64, ttl: Millis) -> ControlRequest;

    /// Parses the id of the hold in a runner's response to [`create_hold`](Dialect::create_hold).
    fn parse_hold_id(&self, body: &[u8]) -> Option<HoldId>;

    /// The request that copies the memory of a run to another decode runner. The response contains
    /// the handle of the copy in the same form as that of a KV cache.
    fn copy_run(&self, run: &RunCopy<'_>) -> ControlRequest;

    /// The request that releases a hold.
    fn release_hold(&self, runner: &RunnerId, hold: &HoldId) -> ControlRequest;

    /// The request for a runner's status.
    fn status_request(&self, runner: &RunnerId) -> ControlRequest;

    /// Parses a runner's status.
    ///
    /// # Errors
    /// [`InvalidObject`] with the field, when the status was not written by the runner itself.
    fn parse_status(&self, runner: &RunnerId, body: &[u8]) -> Result<RunnerStatus, InvalidObject>;

    /// The request that orders a change of stage.
    fn change_stage(&self, order: &StageOrder<'_>) -> ControlRequest;
}
