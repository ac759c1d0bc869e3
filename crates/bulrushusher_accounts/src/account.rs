//! A validated client account.

use bulrushusher_time::Millis;
use bulrushusher_world::{ClientAccountName, NameError, Residency};
use derive_more::{Display, Error};

use crate::KeyDigest;

/// Unit in which a quota is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request costs 1.
    Requests,
    /// A generation costs its prompt tokens plus its maximum number of output tokens.
    Tokens {
        /// Cost in tokens of a request that is not a generation.
        plain: u64,
    },
}

/// Usage limit of an account, as the parameters of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Refill rate in units per second; greater than 0.
    pub per_second: f64,
    /// Units that may be used at once on top of the rate.
    pub burst: f64,
}

impl Quota {
    /// Units that the quota allows within a window: the refill plus the burst.
    ///
    /// ```
    /// use bulrushusher_accounts::Quota;
    /// use bulrushusher_time::Millis;
    /// let quota = Quota { per_second: 100.0, burst: 50.0 };
    /// assert_eq!(quota.in_window(Millis(8_000)), 850.0);
    /// ```
    pub fn in_window(&self, window: Millis) -> f64 {
        self.per_second / 1_000.0 * window.0 as f64 + self.burst
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Unique name.
    pub name: ClientAccountName,
    /// Digests of the account's keys; empty for a disabled account.
    pub keys: Vec<KeyDigest>,
    /// Priority of the account's requests, overriding that of the route; 0 is the highest.
    pub priority: Option<u8>,
    /// Unit in which the quota is measured.
    pub unit: Unit,
    /// Usage limit; `None` for an unlimited account.
    pub quota: Option<Quota>,
    /// Where the account's requests may be processed.
    pub residency: Residency,
}

impl Account {
    /// Cost of a request in units of the quota. `tokens` is the token count of a generation, and
    /// `None` for any other request.
    ///
    /// ```
    /// use bulrushusher_accounts::{Account, RawAccount, Unit};
    /// let unit = Unit::Tokens { plain: 200 };
    /// let raw = RawAccount { name: "studio-7", unit, ..RawAccount::default() };
    /// let account = Account::try_from(raw).unwrap();
    /// assert_eq!(account.cost(Some(3_070)), 3_070);
    /// assert_eq!(account.cost(None), 200);
    /// ```
    pub fn cost(&self, tokens: Option<u64>) -> u64 {
        match self.unit {
            Unit::Requests => 1,
            Unit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }
}

/// A client account as configured, before validation.
#[derive(Clone, Debug)]
pub struct RawAccount<'a> {
    /// Unique name.
    pub name: &'a str,
    /// API keys in plain text.
    pub keys: &'a [String],
    /// Priority of the account's requests; 0 is the highest.
    pub priority: Option<u8>,
    /// Unit in which the quota is measured.
    pub unit: Unit,
    /// Rate of the quota in units per second; 0 for no limit.
    pub per_second: f64,
    /// Units that may be used at once on top of the rate.
    pub burst: f64,
    /// Where the account's requests may be processed.
    pub residency: Residency,
}

impl Default for RawAccount<'_> {
    /// An account without a name, keys or limit.
    fn default() -> Self {
        RawAccount {
            name: "",
            keys: &[],
            priority: None,
            unit: Unit::Requests,
            per_second: 0.0,
            burst: 0.0,
            residency: Residency::Anywhere,
        }
    }
}

/// Why an account is invalid. No variant contains a key, so that errors can be logged.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum AccountError {
    /// The name is invalid.
    #[display("field `name`: {cause}")]
    InvalidName {
        /// Why the name is invalid.
        cause: NameError,
    },
    /// A number is negative or not finite.
    #[display(
        "account {account}, field `{field}` is {value}; set 0 for no limit, or a positive number"
    )]
    InvalidNumber {
        /// The account.
        account: ClientAccountName,
        /// Name of the field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A key is empty.
    #[display("account {account}, field `keys`: key {nth} is empty; remove it or set its text")]
    EmptyKey {
        /// The account.
        account: ClientAccountName,
        /// Position of the key in the list, from 1.
        nth: usize,
    },
}

impl TryFrom<RawAccount<'_>> for Account {
    type Error = AccountError;

    fn try_from(raw: RawAccount<'_>) -> Result<Account, AccountError> {
        let name = ClientAccountName::try_from(raw.name);
        let name = name.map_err(|cause| AccountError::InvalidName { cause })?;
        let per_second = check_number(&name, "rate", raw.per_second)?;
        let burst = check_number(&name, "burst", raw.burst)?;
        if let Some(at) = raw.keys.iter().position(String::is_empty) {
            return Err(AccountError::EmptyKey { account: name, nth: at + 1 });
        }
        Ok(Account {
            name,
            keys: raw.keys.iter().map(|key| KeyDigest::of(key)).collect(),
            priority: raw.priority,
            unit: raw.unit,
            quota: (per_second > 0.0).then_some(Quota { per_second, burst }),
            residency: raw.residency,
        })
    }
}

fn check_number(
    account: &ClientAccountName,
    field: &'static str,
    value: f64,
) -> Result<f64, AccountError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(AccountError::InvalidNumber { account: account.clone(), field, value }),
    }
}
