//! Orders of an entry to an agent, and the frames of the streams that they open. An order makes the
//! agent prefill a prompt, execute the request of a key, or send the response of a key; the agent
//! replies with a stream of frames.

use std::net::SocketAddr;

use bulrushusher_admission::{Refusal, ReservationId};
use bulrushusher_once::{Ballot, RunStatus};
use bulrushusher_world::RequestKey;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Order to compute the KV cache of a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillRun {
    /// The slot reserved for it.
    pub reservation: ReservationId,
    /// The request's key.
    pub key: RequestKey,
    /// Unique name of this attempt.
    pub run: String,
    /// The prompt.
    pub prompt: String,
}

/// Location of a KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// The engine that holds it.
    pub engine: SocketAddr,
    /// Its id at that engine.
    pub kv: u64,
}

/// A decode run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecodeRun {
    /// Location of the KV cache to import.
    pub kv: KvHandle,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
}

/// An HTTP call of a plain service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CallOrder {
    /// HTTP method.
    pub method: String,
    /// Path and query at the service.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// The body, as text.
    pub body: String,
}

/// The work of a [`RunOrder`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "work", rename_all = "snake_case")]
pub enum Work {
    /// Generate tokens.
    Decode(DecodeRun),
    /// Call the service.
    Call(CallOrder),
}

/// Order to execute the request of a key, at most once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOrder {
    /// The slot reserved for it.
    pub reservation: ReservationId,
    /// Incarnation of the agent that granted the reservation.
    pub incarnation: u64,
    /// The request's key.
    pub key: RequestKey,
    /// True when the caller chose the key, so that other requests may use it too.
    pub shared_key: bool,
    /// Ballot of this attempt.
    pub ballot: Ballot,
    /// Unique name of the stream that this order opens.
    pub stream: String,
    /// The work to do.
    pub work: Work,
}

/// Order to read the response of a key that is being executed or has been executed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttachOrder {
    /// The request's key.
    pub key: RequestKey,
    /// Unique name of the stream that this order opens.
    pub stream: String,
    /// Index of the first token to send.
    pub from: u32,
    /// How long to wait for the execution to begin, in milliseconds.
    pub wait_ms: u64,
    /// A reservation whose order may be in flight: if the execution has not begun by the end of the
    /// wait, the reservation is released, so that an order that arrives later is refused.
    pub revoke: Option<ReservationId>,
}

/// Why an agent did not carry out an order of an entry.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "not_taken", rename_all = "snake_case")]
pub enum OrderRejection {
    /// Admission control refused it; it was not executed.
    #[display("{refusal}")]
    Refused {
        /// The reason.
        refusal: Refusal,
    },
    /// The key was executed here and its response is no longer available.
    #[display("executed here ({ran}), but the response is no longer available")]
    RanWithoutAnswer {
        /// How far the execution got.
        ran: RunStatus,
    },
    /// The agent has promised another ballot; this order was not executed.
    #[display("not executed here: ballot {ballot} is promised")]
    Barred {
        /// The promised ballot.
        ballot: Ballot,
    },
    /// The agent has no record of the key, but its records may not reach back far enough to rule
    /// out an earlier execution; this order was not executed.
    #[display("order not executed: this agent's records may not cover the key")]
    InDoubt,
    /// The key is older than the retry horizon; this order was not executed.
    #[display("order not executed: the key is older than the retry horizon")]
    TooOld,
    /// This incarnation of the agent had not begun to execute the key by the end of the wait that
    /// the [`AttachOrder`] allows.
    #[display("execution of the key has not begun here")]
    NotHere {
        /// Incarnation of the agent that replies.
        incarnation: u64,
    },
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// Keep-alive; sent when the stream is otherwise idle.
    Beat,
    /// The KV cache is ready.
    Prefilled {
        /// Its location.
        kv: KvHandle,
        /// Number of prompt tokens.
        tokens: u64,
        /// Number of these that were prefix cache hits.
        cached: u64,
    },
    /// The KV cache was imported by a decode engine; ends a prefill stream.
    Exported,
    /// The KV cache was evicted before it was used; ends a prefill stream.
    Evicted,
    /// One generated token.
    Token {
        /// Its index in the response, from 0.
        n: u32,
        /// Its text.
        text: String,
    },
    /// All tokens were sent; ends a decode stream.
    End {
        /// Total number of tokens.
        tokens: u32,
    },
    /// The response of a service; `len` raw bytes of body follow and end the stream.
    Answer {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Number of bytes that follow.
        len: u64,
    },
    /// The order was rejected; ends the stream.
    NotTaken(OrderRejection),
    /// The KV cache was gone before the decode began, so nothing was executed; ends the stream.
    KvGone,
    /// The run began, then failed or was cancelled; ends the stream.
    Failed {
        /// The cause, for logs.
        cause: String,
        /// True when the engine process ended during the run; the restarted engine has no state of
        /// the run.
        #[serde(default)]
        engine_ended: bool,
    },
}
