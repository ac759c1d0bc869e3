//! Endpoints: a runner (engine or plain service) with the agent beside it.

use std::net::SocketAddr;

use bulrushusher_time::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{DataCentreName, EndpointName, ServiceName, WorldError};

/// What an endpoint does.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes the KV cache of prompts.
    #[display("prefill")]
    Prefill,
    /// Generates tokens from an imported KV cache.
    #[display("decode")]
    Decode,
    /// A plain service.
    #[display("service")]
    Service,
}

impl TryFrom<&str> for Role {
    type Error = WorldError;
    fn try_from(text: &str) -> Result<Role, WorldError> {
        match text {
            "prefill" => Ok(Role::Prefill),
            "decode" => Ok(Role::Decode),
            "service" => Ok(Role::Service),
            other => Err(WorldError::field("role", other, "give `prefill`, `decode` or `service`")),
        }
    }
}

/// Whether the engine itself refuses orders with an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine checks.
    Checked,
    /// The engine ignores the number; the agent is the fence.
    Ignored,
}

/// One endpoint, as configured.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawEndpoint", into = "RawEndpoint")]
pub struct Endpoint {
    /// Its name, unique in the deployment.
    pub name: EndpointName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// What it does there.
    pub role: Role,
    /// Where it stands.
    pub data_centre: DataCentreName,
    /// Where its agent takes control calls.
    pub control: SocketAddr,
    /// Where its agent takes streams.
    pub stream: SocketAddr,
    /// Whether its engine checks fencing numbers.
    pub fencing: Fencing,
    /// True when it must get no new work.
    pub leaving: bool,
    /// When it was taken out of the list, Unix time; `None` while it is in. It is remembered
    /// because it may have run keys that are sent again.
    pub removed: Option<Millis>,
}

/// An endpoint as operators write it; see [`Endpoint`] for the fields.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of Endpoint")]
pub struct RawEndpoint {
    pub name: String,
    pub service: String,
    pub role: String,
    pub data_centre: String,
    pub control: String,
    pub stream: String,
    pub checks_fencing: bool,
    pub leaving: bool,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub removed_unix_ms: Option<u64>,
}

fn address(field: &'static str, text: &str) -> Result<SocketAddr, WorldError> {
    text.parse().map_err(|_| WorldError::field(field, text, "give IP:port, such as 127.0.0.1:7101"))
}

impl TryFrom<RawEndpoint> for Endpoint {
    type Error = WorldError;
    fn try_from(raw: RawEndpoint) -> Result<Endpoint, WorldError> {
        Ok(Endpoint {
            name: raw.name.try_into()?,
            service: raw.service.try_into()?,
            role: raw.role.as_str().try_into()?,
            data_centre: raw.data_centre.try_into()?,
            control: address("control", &raw.control)?,
            stream: address("stream", &raw.stream)?,
            fencing: if raw.checks_fencing { Fencing::Checked } else { Fencing::Ignored },
            leaving: raw.leaving,
            removed: raw.removed_unix_ms.map(Millis),
        })
    }
}

impl From<Endpoint> for RawEndpoint {
    fn from(e: Endpoint) -> RawEndpoint {
        RawEndpoint {
            name: e.name.into(),
            service: e.service.into(),
            role: e.role.to_string(),
            data_centre: e.data_centre.into(),
            control: e.control.to_string(),
            stream: e.stream.to_string(),
            checks_fencing: e.fencing == Fencing::Checked,
            leaving: e.leaving,
            removed_unix_ms: e.removed.map(|at| at.0),
        }
    }
}
