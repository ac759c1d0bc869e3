//! Orders and frames of the streams from an agent to an entry.

use std::net::SocketAddr;

use bulrushusher_admission::{Refusal, ReservationId};
use bulrushusher_once::{Ballot, RunStatus};
use bulrushusher_world::RequestKey;
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Order to compute the KV cache of a prompt.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PrefillRun {
    /// The place held for it.
    pub reservation: ReservationId,
    /// The request's key.
    pub key: RequestKey,
    /// Unique name of this attempt.
    pub run: String,
    /// The prompt.
    pub prompt: String,
}

/// Where a KV cache is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvHandle {
    /// The engine that holds it.
    pub engine: SocketAddr,
    /// Its name there.
    pub kv: u64,
}

/// A decode.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecodeRun {
    /// Where the KV cache is.
    pub kv: KvHandle,
    /// Tokens to generate.
    pub max_tokens: u32,
}

/// A call of a plain service.
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

/// What to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "work", rename_all = "snake_case")]
pub enum Work {
    /// Generate tokens.
    Decode(DecodeRun),
    /// Call the service.
    Call(CallOrder),
}

/// Order to run a key, once.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunOrder {
    /// The place held for it.
    pub reservation: ReservationId,
    /// Which life of the agent granted the place.
    pub incarnation: u64,
    /// The request's key.
    pub key: RequestKey,
    /// True when the caller chose the key, so that others may send it too.
    pub shared_key: bool,
    /// The attempt's ballot.
    pub ballot: Ballot,
    /// Unique name of the stream that this order opens.
    pub stream: String,
    /// What to run.
    pub work: Work,
}

/// Order to attach to a key that runs or ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AttachOrder {
    /// The request's key.
    pub key: RequestKey,
    /// Unique name of the stream that this order opens.
    pub stream: String,
    /// The first token wanted.
    pub from: u32,
    /// How long to wait for the key to begin, in milliseconds.
    pub wait_ms: u64,
    /// A reservation whose order may be on its way: when the key has not begun by the end of the
    /// wait, the reservation is given up, so that a late order is refused.
    pub revoke: Option<ReservationId>,
}

/// Why an order opened no stream.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "not_taken", rename_all = "snake_case")]
pub enum NotTaken {
    /// The gate refused it; it was not run.
    #[display("{refusal}")]
    Refused {
        /// Why.
        refusal: Refusal,
    },
    /// It ran here and its answer cannot be had any more.
    #[display("it ran here ({ran}) and its answer cannot be had")]
    RanWithoutAnswer {
        /// How far it came.
        ran: RunStatus,
    },
    /// Another ballot was promised; it was not run by this order.
    #[display("ballot {ballot} was promised, not run here")]
    Barred {
        /// The ballot.
        ballot: Ballot,
    },
    /// The agent cannot vouch for the key; it was not run by this order.
    #[display("this agent cannot vouch for the key, not run by this order")]
    InDoubt,
    /// The key is older than the retry horizon; it was not run by this order.
    #[display("the key is older than the retry horizon, not run by this order")]
    TooOld,
    /// The key did not begin here in the time to wait, as far as this life of the agent goes.
    #[display("the key has not begun here")]
    NotHere {
        /// Which life of the agent answers.
        incarnation: u64,
    },
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "frame", rename_all = "snake_case")]
pub enum Frame {
    /// The stream lives; sent when nothing else was for a while.
    Beat,
    /// The KV cache is ready.
    Prefilled {
        /// Where it is held.
        kv: KvHandle,
        /// Prompt tokens.
        tokens: u64,
        /// Of these, tokens that the prefix cache had.
        cached: u64,
    },
    /// The KV cache was taken over by a decode; ends a prefill stream.
    Exported,
    /// The KV cache was evicted unused; ends a prefill stream.
    Evicted,
    /// Token `n`, counted from 0.
    Token {
        /// Its place in the answer.
        n: u32,
        /// Its text.
        text: String,
    },
    /// The whole answer was sent; ends a decode stream.
    End {
        /// Tokens in all.
        tokens: u32,
    },
    /// A service's answer; `len` raw bytes follow and end the stream.
    Answer {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Bytes that follow.
        len: u64,
    },
    /// The order was not taken; ends the stream.
    NotTaken(NotTaken),
    /// The KV cache was gone before the decode began; nothing ran; ends the stream.
    KvGone,
    /// The run began and was lost or cancelled; ends the stream.
    Failed {
        /// What happened.
        cause: String,
        /// True when the engine ended while it ran it: it has started again and knows nothing of it.
        #[serde(default)]
        engine_ended: bool,
    },
}
