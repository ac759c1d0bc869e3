//! The edge towards the platform: what a protocol must tell, and how it is told; what its store is asked.
//!
//! A dialect translates one message at a time. It keeps no state, no timers and takes no decision.

use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_accounts::Credentials;
use bulrushusher_forward::{PromptSize, RequestId, RunnerSignals, Stage, StartTime};
use bulrushusher_time::Millis;
use bulrushusher_world::{ClientAccountName, RunnerId};
use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::Method;
use hyper::header::HeaderMap;
use hyper::http::{request, response};

mod store;

pub(crate) use store::NO_WAIT;
pub use store::{
    Announcement, Change, Freshness, News, PlatformStore, Record, RecordWrite, StoreFailure, Topic,
    Unreadable,
};

/// What the head of a caller's request says.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Identity of this attempt of the caller.
    pub id: RequestId,
    /// How long the caller waits; `None` when it does not say.
    pub patience: Option<Millis>,
    /// Size of the generation, if it is one.
    pub size: Option<PromptSize>,
    /// The last event that the caller has, when it goes on with a stream.
    pub resume_after: Option<u64>,
    /// The headers to pass on: nothing that only the router may set.
    pub headers: HeaderMap,
}

/// Why a head is not a request of this protocol.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// It does not say who it is.
    #[display("the request has no identity; send one with each attempt")]
    NoIdentity,
    /// A field cannot be read.
    #[display("the header `{field}` cannot be read; correct it")]
    Unreadable {
        /// The header.
        field: &'static str,
    },
}

/// The KV cache of a prompt at the runner that read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KvCache {
    /// Address of that runner.
    pub at: SocketAddr,
    /// Name of the cache there.
    pub handle: Arc<str>,
}

/// What a runner is to do with a request.
#[derive(Clone, Copy, Debug)]
pub enum Step<'a> {
    /// All of it.
    Whole,
    /// Read the prompt and keep its KV cache.
    ReadPrompt,
    /// Generate, from a KV cache if there is one, in memory held before if there is any.
    Generate {
        /// Where the prompt was read.
        kv: Option<&'a KvCache>,
        /// The lease on memory.
        hold: Option<&'a str>,
    },
}

/// One attempt at a runner.
#[derive(Clone, Copy, Debug)]
pub struct Attempt<'a> {
    /// The only runner that may do it.
    pub runner: &'a RunnerId,
    /// Time left for it.
    pub left: Millis,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    /// The client account that it is for, where callers have one.
    pub account: Option<&'a ClientAccountName>,
    /// What to do.
    pub step: Step<'a>,
}

/// What the head of a runner's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyMarks {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// True when the runner says that it did not run the request.
    pub not_run: bool,
    /// True when another runner has the address.
    pub wrong_runner: bool,
    /// True when the answer bears the runner's proof that it is its own.
    pub sealed: bool,
    /// What the runner asks of those that send to it.
    pub signals: RunnerSignals,
}

/// A small call to a runner that carries no caller's request.
#[derive(Clone, Debug)]
pub struct SideCall {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A run whose memory is copied.
#[derive(Clone, Copy, Debug)]
pub struct RunMove<'a> {
    /// The runner that runs it.
    pub runner: &'a RunnerId,
    /// The request.
    pub request: &'a RequestId,
    /// Address of the runner that gets the copy.
    pub to: SocketAddr,
    /// True to stop the run first: its stream ends, and the copy holds all that it made.
    pub stops: bool,
}

/// An order that changes a runner's stage.
#[derive(Clone, Debug)]
pub struct StageOrder<'a> {
    /// The runner.
    pub runner: &'a RunnerId,
    /// Its stage to be.
    pub stage: Stage,
    /// Who orders.
    pub holder: &'a str,
    /// Fencing token of the holder's lease.
    pub fence: u64,
    /// Orders that the runner has accepted so far; it refuses when that differs.
    pub accepted: u64,
}

/// What a runner says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunnerReport {
    /// When it started, where runners tell.
    pub born: Option<StartTime>,
    /// Its stage.
    pub stage: Option<Stage>,
    /// True while it carries out an order.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub accepted: u64,
}

/// How requests, answers and small calls are written and read.
pub trait Dialect: Clone + Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`HeadError`] for a head that must be refused.
    fn arrival(&self, head: &request::Parts) -> Result<Arrival, HeadError>;

    /// What a caller's request brings to show whose it is.
    fn credentials(&self, head: &request::Parts) -> Credentials;

    /// The headers for a runner.
    fn attempt_headers(&self, arrival: &Arrival, attempt: &Attempt<'_>) -> HeaderMap;

    /// Reads the head of a runner's answer.
    fn marks(&self, head: &response::Parts) -> ReplyMarks;

    /// Headers of an answer that the router itself gives to a request.
    fn refusal_headers(&self, arrival: &Arrival) -> HeaderMap;

    /// Name of the KV cache in a runner's answer to [`Step::ReadPrompt`].
    fn cache_name(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Frees a KV cache.
    fn free_kv(&self, runner: &RunnerId, handle: &str) -> SideCall;

    /// Holds decode memory for some time.
    fn take_hold(&self, runner: &RunnerId, tokens: u64, ttl: Millis) -> SideCall;

    /// Name of the hold in a runner's answer.
    fn hold_name(&self, body: &[u8]) -> Option<Arc<str>>;

    /// Copies the memory of a run to another decode runner. The runner's answer names the copy as it
    /// names a KV cache.
    fn move_run(&self, run: &RunMove<'_>) -> SideCall;

    /// Gives a hold back.
    fn drop_hold(&self, runner: &RunnerId, hold: &str) -> SideCall;

    /// Asks a runner about itself.
    fn ask_report(&self, runner: &RunnerId) -> SideCall;

    /// Reads a runner's report.
    ///
    /// # Errors
    /// [`Unreadable`], which tells the field, when it is not a runner's own word.
    fn report(&self, runner: &RunnerId, body: &[u8]) -> Result<RunnerReport, Unreadable>;

    /// Orders a change of stage.
    fn order_stage(&self, order: &StageOrder<'_>) -> SideCall;
}
