//! The edge towards the platform: what a protocol must tell, and how it is told.
//!
//! A dialect translates one message at a time. It keeps no state, no timers and takes no decision.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;

use bulrushusher_accounts::Credentials;
use bulrushusher_forward::{Born, PromptSize, RequestId, RoutingConfig, Runner, Stage};
use bulrushusher_time::Millis;
use bulrushusher_world::{ClientAccountName, RunnerId};
use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::Method;
use hyper::header::HeaderMap;
use hyper::http::{request, response};

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
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyMarks {
    /// The request that it answers.
    pub request: Option<RequestId>,
    /// True when the runner says that it did not run the request.
    pub not_run: bool,
    /// True when another runner has the address.
    pub wrong_runner: bool,
    /// True when the answer bears the runner's proof that it is its own.
    pub sealed: bool,
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
    pub born: Option<Born>,
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

/// What the store is asked for.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Topic {
    /// The routing configuration.
    #[display("configuration")]
    Configuration,
    /// The list of runners.
    #[display("runners")]
    Runners,
}

/// One thing that the store holds, or no longer holds.
#[derive(Clone, Debug)]
pub enum Change {
    /// A configuration.
    Configuration(RoutingConfig),
    /// A runner's entry.
    Runner(Runner),
    /// An entry was removed.
    RunnerGone(RunnerId),
    /// An object that cannot be read. One of a runner names none to use; a configuration changes
    /// nothing.
    Unreadable(Unreadable),
}

/// What is wrong with an object of the store, or with what a runner says of itself.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display(
    "the field `{field}` of `{name}` cannot be used: {cause}; only its owner should write it"
)]
pub struct Unreadable {
    /// Its name, as far as it can be told; empty otherwise.
    pub name: String,
    /// The field that is wrong; empty when the whole cannot be read.
    pub field: &'static str,
    /// What is wrong.
    pub cause: String,
}

/// Changes up to a revision of the store. All revisions here tell their era, as
/// [`revision_in_era`](bulrushusher_forward::revision_in_era) makes them.
#[derive(Clone, Debug)]
pub struct News {
    /// What changed, or, of a list, what there is.
    pub changes: Vec<Change>,
    /// The store's revision.
    pub revision: u64,
    /// Revision of the last of the changes; 0 when there is none.
    pub last_change: u64,
}

/// Why the store gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum StoreFailure {
    /// The changes since that revision are forgotten; list anew.
    #[display("the store forgot its history; list anew")]
    HistoryGone,
    /// It came back from an older copy of what it held, and revisions of before say nothing; list anew.
    #[display("the store came back from an older copy; list anew")]
    Restored,
    /// It refused the call; nothing was done.
    #[display("the store refused the call with status {status}; try again later")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// It could not be reached or did not answer; a write may have been done.
    #[display("the store did not answer ({cause}); try again on a new connection")]
    NoAnswer {
        /// What happened.
        cause: String,
    },
    /// Its answer cannot be read.
    #[display("the store's answer cannot be read ({cause}); check its version")]
    Unreadable {
        /// What is wrong.
        cause: String,
    },
}

/// An object of the router's own, as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// What was written.
    pub value: serde_json::Value,
    /// Revision of its last change.
    pub revision: u64,
}

/// A gateway's announcement, as the store holds it.
#[derive(Clone, Debug, PartialEq)]
pub struct Announcement {
    /// The gateway.
    pub gateway: String,
    /// What it wrote.
    pub value: serde_json::Value,
    /// Revision of its last change.
    pub revision: u64,
}

/// What became of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordWrite {
    /// It took effect, at that revision.
    Written(u64),
    /// Another write came first.
    Conflict,
}

/// The platform's store.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// Everything of a topic, each page within `timeout`; `pages` counts those that came.
    fn list(
        &self,
        topic: Topic,
        timeout: Millis,
        pages: &AtomicUsize,
    ) -> impl Future<Output = Result<News, StoreFailure>> + Send;

    /// Changes of a topic after a revision, as soon as there is one; none after `wait`. An answer
    /// that is not there `slack` after that counts as lost.
    fn watch(
        &self,
        topic: Topic,
        after: u64,
        wait: Millis,
        slack: Millis,
    ) -> impl Future<Output = Result<News, StoreFailure>> + Send;

    /// Tells the other gateways where this one is; returns the announcement's revision.
    fn announce(
        &self,
        gateway: &str,
        value: serde_json::Value,
        timeout: Millis,
    ) -> impl Future<Output = Result<u64, StoreFailure>> + Send;

    /// The announcements of all gateways; they may be some seconds old.
    fn announced(
        &self,
        timeout: Millis,
    ) -> impl Future<Output = Result<Vec<Announcement>, StoreFailure>> + Send;

    /// Removes a gateway's announcement if it still has that revision; false when it has not.
    fn retract(
        &self,
        gateway: &str,
        revision: u64,
        timeout: Millis,
    ) -> impl Future<Output = Result<bool, StoreFailure>> + Send;

    /// Reads a record of the router's own; `None` when nobody ever wrote it.
    fn read_record(
        &self,
        name: &str,
        timeout: Millis,
    ) -> impl Future<Output = Result<Option<Record>, StoreFailure>> + Send;

    /// Writes a record if its revision is still `expected` (`None`: not there yet).
    fn write_record(
        &self,
        name: &str,
        value: serde_json::Value,
        expected: Option<u64>,
        timeout: Millis,
    ) -> impl Future<Output = Result<RecordWrite, StoreFailure>> + Send;
}
