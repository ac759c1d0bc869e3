//! Encoding of the datagrams between gateways: a version byte, then a compact binary encoding.
//!
//! During a rolling deployment gateways of two versions run side by side. Datagrams of another
//! version are recognised by their first bytes and ignored. Their sender then counts as unreachable
//! until it is upgraded too.

use bulrushusher_forward::{
    CallPoolUpdate, DeltaRequest, EvacuationSet, GatewayDelta, GatewayReport, RunnerDelta,
    SeenRevisions, ServiceVersion, StreamKey, StreamRecord,
};
use bulrushusher_routing::CrashUpdate;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::shared::{ConfirmationAges, RoutingUpdate};

/// Changes of the store, as a relay forwards them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StoreChanges {
    /// Revision of the last change of each topic that the relay has received.
    pub revisions: SeenRevisions,
    /// Changes of the runner list.
    pub runners: Option<RunnerDelta>,
    /// The last change of the configuration.
    pub routing: Option<RoutingUpdate>,
    /// The evacuated data centres, as a whole; `None` where there are no evacuations.
    pub evacuations: Option<EvacuationSet>,
    /// Time since the store confirmed that `revisions` contains the last change of each topic.
    pub ages: ConfirmationAges,
}

/// First byte of every datagram between gateways.
const MARK: u8 = 0xB5;

/// Incremented with each change to the encoding of [`Datagram`] or of its contents.
const VERSION: u8 = 11;

/// A datagram between two gateways.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct Datagram {
    /// Name of the sender; empty in [`Message::Calls`], which is sent often: the receiver has the
    /// name by the address.
    pub from: String,
    pub message: Message,
}

/// Contents of a datagram.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum Message {
    /// The full state of the sender's requests at runners.
    Full(GatewayReport),
    /// Changes since the sender's previous report.
    Delta(GatewayDelta),
    /// Changes of the sender's plain calls since its last full report.
    Calls(CallPoolUpdate),
    /// Requests a full report, after a report was missed.
    RequestFull,
    /// Update on requests that crash runners.
    CrashUpdate(CrashUpdate),
    /// What the receiver of a crash update has and its sender lacks.
    CrashReply(CrashUpdate),
    /// Changes of the store, forwarded by a relay.
    StoreChanges(StoreChanges),
    /// Requests missed changes of the runner list from a relay.
    RequestRunners(DeltaRequest),
    /// The sender does not know all of the requested changes; the store must be asked.
    HistoryGone,
    /// The version of a stream that the sender began, for the receiver to keep.
    KeepStream(StreamRecord),
    /// The receiver of such a message keeps it.
    StreamKept(StreamKey),
    /// Asks for the version of a stream.
    FindStream(StreamKey),
    /// The version of a stream that the receiver asked for.
    StreamFound(StreamRecord),
    /// Asks which software versions the store has recorded, while the sender cannot read that.
    FindVersions,
    /// Listed versions that the sender knows to be recorded.
    VersionsRecorded(Vec<ServiceVersion>),
}

/// Why a datagram cannot be decoded.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub(crate) enum CodecError {
    /// The datagram was not sent by a gateway.
    #[display("not a gateway datagram; check which program sends to this address")]
    Foreign,
    /// It was encoded by a gateway of another version.
    #[display("unknown datagram version {version}; roll all gateways to the same version")]
    OtherVersion {
        /// The sender's version.
        version: u8,
    },
    /// It was truncated or corrupted.
    #[display("datagram is truncated or corrupt; the next report replaces it")]
    Broken,
}

/// Encodes a datagram.
///
/// # Errors
///
/// [`CodecError::Broken`] if it cannot be encoded, which is not known to happen.
pub(crate) fn encode(datagram: &Datagram) -> Result<Vec<u8>, CodecError> {
    postcard::to_extend(datagram, vec![MARK, VERSION]).map_err(|_| CodecError::Broken)
}

/// Decodes a datagram.
///
/// # Errors
///
/// The reason why it cannot be decoded.
pub(crate) fn decode(bytes: &[u8]) -> Result<Datagram, CodecError> {
    match bytes {
        [MARK, VERSION, rest @ ..] => {
            let datagram = postcard::from_bytes(rest).map_err(|_| CodecError::Broken)?;
            Ok(with_limited_counts(datagram))
        }
        [MARK, version, ..] => Err(CodecError::OtherVersion { version: *version }),
        _ => Err(CodecError::Foreign),
    }
}

/// The datagram with counts that can be added to those of other gateways.
fn with_limited_counts(mut datagram: Datagram) -> Datagram {
    match &mut datagram.message {
        Message::Full(report) => report.limit_counts(),
        Message::Delta(delta) => delta.report.limit_counts(),
        _ => {}
    }
    datagram
}
