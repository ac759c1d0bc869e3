//! Client accounts and their limits.

use serde::{Deserialize, Serialize};

use crate::{ClientAccountName, WorldError};

/// A client account, as configured.
///
/// ```
/// use bulrushusher_world::{ClientAccount, RawClientAccount};
/// let raw = RawClientAccount { name: "studio-7".into(), requests_per_second: 0.0, burst: 5 };
/// assert!(ClientAccount::try_from(raw).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawClientAccount", into = "RawClientAccount")]
pub struct ClientAccount {
    /// Its name.
    pub name: ClientAccountName,
    /// Sustained requests a second over all entries; above 0.
    pub requests_per_second: f64,
    /// Requests that may come at once; at least 1.
    pub burst: u64,
}

/// A client account as operators write it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of ClientAccount")]
pub struct RawClientAccount {
    pub name: String,
    pub requests_per_second: f64,
    pub burst: u64,
}

impl TryFrom<RawClientAccount> for ClientAccount {
    type Error = WorldError;
    fn try_from(raw: RawClientAccount) -> Result<ClientAccount, WorldError> {
        if !raw.requests_per_second.is_finite() || raw.requests_per_second <= 0.0 {
            return Err(WorldError::field(
                "requests_per_second",
                raw.requests_per_second,
                "give a number above 0",
            ));
        }
        if raw.burst == 0 {
            return Err(WorldError::field("burst", raw.burst, "give at least 1"));
        }
        Ok(ClientAccount {
            name: raw.name.try_into()?,
            requests_per_second: raw.requests_per_second,
            burst: raw.burst,
        })
    }
}

impl From<ClientAccount> for RawClientAccount {
    fn from(a: ClientAccount) -> RawClientAccount {
        RawClientAccount {
            name: a.name.into(),
            requests_per_second: a.requests_per_second,
            burst: a.burst,
        }
    }
}
