//! How gateways write to each other: a version, then a compact binary form.
//!
//! Gateways of two versions may run side by side while a deployment is rolled. What another version
//! wrote is told apart by its first bytes and passed over; its gateway then counts as one that is not
//! heard, and comes back with its next version.

use bulrushusher_forward::{DeltaRequest, GatewayDelta, GatewayReport};
use bulrushusher_routing::CrashUpdate;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::peers::relaying::StoreChanges;

/// Marks a datagram as a gateway's.
const MARK: u8 = 0xB5;

/// Raised with each change of the form of [`Datagram`] or of what it holds.
const VERSION: u8 = 4;

/// What one gateway writes to another.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    /// Name of the gateway that writes.
    pub from: String,
    pub message: Message,
}

/// What it says.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// All that it has at runners.
    Full(GatewayReport),
    /// What changed since its report before.
    Delta(GatewayDelta),
    /// It missed a report, and asks for a whole one.
    RequestFull,
    /// Requests that crash runners.
    CrashUpdate(CrashUpdate),
    /// What it knows beyond the news that it was told.
    CrashReply(CrashUpdate),
    /// What a relay passes on of the store's changes.
    StoreChanges(StoreChanges),
    /// It missed changes of the runners' list, and asks a relay for them.
    RequestRunners(DeltaRequest),
    /// It does not remember what it was asked for: the store does.
    HistoryGone,
}

/// Why a datagram cannot be read.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum CodecError {
    /// It is not a gateway's.
    #[display("not a gateway datagram; check which program sends to this address")]
    Foreign,
    /// A gateway of another version wrote it.
    #[display("unknown datagram version {version}; roll all gateways to the same version")]
    OtherVersion {
        /// Its version.
        version: u8,
    },
    /// It is cut or changed on its way.
    #[display("datagram is truncated or corrupt; the next report replaces it")]
    Broken,
}

/// Writes a datagram.
///
/// # Errors
/// [`CodecError::Broken`] when it cannot be written, which no datagram of ours is known for.
pub(crate) fn encode(datagram: &Datagram) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(datagram, vec![MARK, VERSION]).map_err(|_| CodecError::Broken)
}

/// Reads a datagram.
///
/// # Errors
/// Why it cannot be read.
pub(crate) fn decode(bytes: &[u8]) -> Result<Datagram, CodecError> {
    match bytes {
        [MARK, VERSION, rest @ ..] => postcard::from_bytes(rest).map_err(|_| CodecError::Broken),
        [MARK, version, ..] => Err(CodecError::OtherVersion { version: *version }),
        _ => Err(CodecError::Foreign),
    }
}
