//! Client accounts and their limits.

use serde::{Deserialize, Serialize};

use crate::{ClientAccountName, ValidationError};

/// A validated client account.
///
/// ```
/// use bulrushusher_world::{ClientAccount, RawClientAccount};
/// let raw = RawClientAccount { name: "studio-7".into(), requests_per_second: 0.0, burst: 5 };
/// assert!(ClientAccount::try_from(raw).is_err());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "RawClientAccount", into = "RawClientAccount")]
pub struct ClientAccount {
    /// Its name, unique in the deployment.
    pub name: ClientAccountName,
    /// Sustained rate limit over all entries, in requests per second; above 0.
    pub requests_per_second: f64,
    /// Burst size of the rate limit, in requests; at least 1.
    pub burst: u64,
}

/// A client account as written by operators, not yet validated.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[expect(missing_docs, reason = "the fields are those of ClientAccount")]
pub struct RawClientAccount {
    pub name: String,
    pub requests_per_second: f64,
    pub burst: u64,
}

impl TryFrom<RawClientAccount> for ClientAccount {
    type Error = ValidationError;
    fn try_from(raw: RawClientAccount) -> Result<ClientAccount, ValidationError> {
        if !raw.requests_per_second.is_finite() || raw.requests_per_second <= 0.0 {
            return Err(ValidationError::field(
                "requests_per_second",
                raw.requests_per_second,
                "give a number above 0",
            ));
        }
        if raw.burst == 0 {
            return Err(ValidationError::field("burst", raw.burst, "give at least 1"));
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
