//! Runners as the platform lists them.

use std::net::SocketAddr;

use bulrushusher_world::{DataCentreName, RunnerId, ServiceName};
use derive_more::Display;

/// Which half of a generation a model runner does.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Stage {
    /// Computes the KV cache of prompts.
    #[display("prefill")]
    Prefill,
    /// Generates tokens.
    #[display("decode")]
    Decode,
}

/// One start of a runner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Runner {
    /// Identity of this start.
    pub id: RunnerId,
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
