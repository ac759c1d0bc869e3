//! Endpoints: a runner (engine or plain service) together with its agent.

use std::net::SocketAddr;

use bulrushusher_time::Millis;
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{DataCentreName, EndpointName, ServiceName, ValidationError};

/// The kind of work that an endpoint does for its service.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Computes the KV cache of prompts.
    #[display("prefill")]
    Prefill,
    /// Generates tokens from a KV cache imported from a prefill endpoint.
    #[display("decode")]
    Decode,
    /// Serves calls of a plain HTTP service.
    #[display("service")]
    Service,
}

impl TryFrom<&str> for Role {
    type Error = ValidationError;
    fn try_from(text: &str) -> Result<Role, ValidationError> {
        match text {
            "prefill" => Ok(Role::Prefill),
            "decode" => Ok(Role::Decode),
            "service" => Ok(Role::Service),
            other => {
                Err(ValidationError::field("role", other, "give `prefill`, `decode` or `service`"))
            }
        }
    }
}

/// Whether the engine itself rejects orders with a stale fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// The engine compares fencing tokens.
    Checked,
    /// The engine ignores fencing tokens; only the agent rejects stale orders.
    Ignored,
}

/// A validated endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "RawEndpoint", into = "RawEndpoint")]
pub struct Endpoint {
    /// Its name, unique in the deployment.
    pub name: EndpointName,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Its role in that service.
    pub role: Role,
    /// The data centre it runs in.
    pub data_centre: DataCentreName,
    /// Address at which its agent serves control calls.
    pub control: SocketAddr,
    /// Address at which its agent serves streams.
    pub stream: SocketAddr,
    /// Whether its engine checks fencing tokens.
    pub fencing: Fencing,
    /// True while it drains: it must get no new work.
    pub leaving: bool,
    /// When it was removed from the endpoint list, Unix time; `None` while it is listed. A removed
    /// endpoint is kept because it may have run idempotency keys that callers retry.
    pub removed: Option<Millis>,
}

/// An endpoint as written by operators, not yet validated; see [`Endpoint`] for the fields.
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

fn parse_address(field: &'static str, text: &str) -> Result<SocketAddr, ValidationError> {
    text.parse()
        .map_err(|_| ValidationError::field(field, text, "give IP:port, such as 127.0.0.1:7101"))
}

impl TryFrom<RawEndpoint> for Endpoint {
    type Error = ValidationError;
    fn try_from(raw: RawEndpoint) -> Result<Endpoint, ValidationError> {
        Ok(Endpoint {
            name: raw.name.try_into()?,
            service: raw.service.try_into()?,
            role: raw.role.as_str().try_into()?,
            data_centre: raw.data_centre.try_into()?,
            control: parse_address("control", &raw.control)?,
            stream: parse_address("stream", &raw.stream)?,
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
