//! Runners as the platform lists them.

use std::net::SocketAddr;

use bulrushusher_world::{DataCentreName, RunnerId, ServiceName};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Which half of a generation a model runner does.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Computes the KV cache of prompts.
    #[display("prefill")]
    Prefill,
    /// Generates tokens.
    #[display("decode")]
    Decode,
}

/// When a runner's process started, in Unix ms, by its own word.
///
/// A runner may start again under the identity that it had. It then holds and knows nothing of
/// before, and only this tells the two starts apart: the later one is higher.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Born(pub u64);

/// One start of a runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Runner {
    /// Its identity, which a later start may have again.
    pub id: RunnerId,
    /// When it started; `None` where runners do not say, and have a new identity at each start.
    pub born: Option<Born>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Its half of a generation; `None` for a plain service.
    pub stage: Option<Stage>,
    /// True when it must get no new work.
    pub leaving: bool,
}
