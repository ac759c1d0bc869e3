//! Runners as the platform lists them.

use std::net::SocketAddr;
use std::sync::Arc;

use bulrushusher_time::Millis;
use bulrushusher_world::{DataCentreName, RunnerId, ServiceName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The stage of text generations that a model runner serves.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Computes the KV cache of prompts.
    #[display("prefill")]
    Prefill,
    /// Generates tokens.
    #[display("decode")]
    Decode,
}

/// Start time of a runner's process in Unix ms, as the runner reports it.
///
/// A runner may restart under the same identity. It then has lost all holds, KV caches and runs;
/// only the start time tells the two apart. It has no order, as the clock that it is read from may
/// be set back: see [`StartTimes`](crate::StartTimes).
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StartTime(pub u64);

/// Version of a runner's software, as the runner states it; any text. What two versions write does not
/// fit together: a stream and its KV cache stay at one version.
///
/// ```
/// use bulrushusher_forward::SoftwareVersion;
/// assert_eq!(SoftwareVersion::from("v1.2").as_str(), "v1.2");
/// ```
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "String", into = "String")]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// The version as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for SoftwareVersion {
    fn from(text: &str) -> SoftwareVersion {
        SoftwareVersion(text.into())
    }
}

impl From<String> for SoftwareVersion {
    fn from(text: String) -> SoftwareVersion {
        SoftwareVersion(text.into())
    }
}

impl From<SoftwareVersion> for String {
    fn from(version: SoftwareVersion) -> String {
        version.0.to_string()
    }
}

/// One start of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its identity; a later start may have the same.
    pub id: RunnerId,
    /// Its start time; `None` for runners that report none and get a new identity at each start.
    pub born: Option<StartTime>,
    /// Its service.
    pub service: ServiceName,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Its stage; `None` for a service without model stages.
    pub stage: Option<Stage>,
    /// True while it drains and must get no new work.
    pub leaving: bool,
    /// How long it stays cold after its entry was written; zero if it is warm.
    pub cold_for: Millis,
    /// Revision of the store at which its entry was written, see
    /// [`revision_in_era`](crate::revision_in_era); 0 if that is not known.
    pub revision: u64,
    /// Version of its software.
    pub version: SoftwareVersion,
}
