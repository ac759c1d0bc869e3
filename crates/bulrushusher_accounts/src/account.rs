//! One client account, checked.

use bulrushusher_time::Millis;
use bulrushusher_world::{ClientAccountName, NameError};
use derive_more::{Display, Error};

use crate::KeyDigest;

/// Most keys of one account: two while one is replaced, and some for callers that have their own.
const MOST_KEYS: usize = 64;

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// Each request counts as one.
    Requests,
    /// A generation counts as its prompt and the most tokens that it may make.
    Tokens {
        /// What any other request counts as.
        plain: u64,
    },
}

/// How much an account may use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units a second; above 0.
    pub per_second: f64,
    /// Units that may be used beyond that at once.
    pub burst: f64,
}

impl Quota {
    /// Units that it allows within a window.
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
    /// Its name.
    pub name: ClientAccountName,
    /// Digests of its keys; none for an account that cannot be used at present.
    pub keys: Vec<KeyDigest>,
    /// Rank of its requests, in place of their route's; 0 is the most urgent.
    pub priority: Option<u8>,
    /// What its quota counts.
    pub unit: Unit,
    /// Its quota; `None` where it has none.
    pub quota: Option<Quota>,
}

impl Account {
    /// What a request counts as; `tokens` are those of a generation.
    ///
    /// ```
    /// use bulrushusher_accounts::{Account, RawAccount, Unit};
    /// let raw = RawAccount { name: "studio-7", unit: Unit::Tokens { plain: 200 }, ..RawAccount::default() };
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

/// A client account as it is configured.
#[derive(Clone, Copy, Debug)]
pub struct RawAccount<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its keys.
    pub keys: &'a [String],
    /// Rank of its requests.
    pub priority: Option<u8>,
    /// What its quota counts.
    pub unit: Unit,
    /// Units a second; 0 is no limit.
    pub per_second: f64,
    /// Units that may be used beyond that at once.
    pub burst: f64,
}

impl Default for RawAccount<'_> {
    /// An account without a name, keys or a limit.
    fn default() -> Self {
        RawAccount {
            name: "",
            keys: &[],
            priority: None,
            unit: Unit::Requests,
            per_second: 0.0,
            burst: 0.0,
        }
    }
}

/// Why an account was not accepted. No variant holds a key.
#[derive(Clone, Debug, Display, Error, PartialEq)]
pub enum AccountError {
    /// Its name is none.
    #[display("field `name`: {cause}")]
    Name {
        /// What is wrong.
        cause: NameError,
    },
    /// A number is negative or none.
    #[display(
        "account {account}, field `{field}` is {value}; give 0 for no limit, or a number above"
    )]
    Number {
        /// The account.
        account: ClientAccountName,
        /// The field.
        field: &'static str,
        /// What it is.
        value: f64,
    },
    /// A key is empty.
    #[display("account {account}, field `keys`: key {nth} is empty; give each key a text")]
    EmptyKey {
        /// The account.
        account: ClientAccountName,
        /// Which of its keys, from 1.
        nth: usize,
    },
    /// It has too many keys.
    #[display("account {account}, field `keys`: {count} keys; give {MOST_KEYS} at most")]
    TooManyKeys {
        /// The account.
        account: ClientAccountName,
        /// How many.
        count: usize,
    },
}

impl TryFrom<RawAccount<'_>> for Account {
    type Error = AccountError;

    fn try_from(raw: RawAccount<'_>) -> Result<Account, AccountError> {
        let name = ClientAccountName::try_from(raw.name);
        let name = name.map_err(|cause| AccountError::Name { cause })?;
        let per_second = checked(&name, "rate", raw.per_second)?;
        let burst = checked(&name, "burst", raw.burst)?;
        if raw.keys.len() > MOST_KEYS {
            return Err(AccountError::TooManyKeys { account: name, count: raw.keys.len() });
        }
        if let Some(at) = raw.keys.iter().position(String::is_empty) {
            return Err(AccountError::EmptyKey { account: name, nth: at + 1 });
        }
        Ok(Account {
            name,
            keys: raw.keys.iter().map(|key| KeyDigest::of(key)).collect(),
            priority: raw.priority,
            unit: raw.unit,
            quota: (per_second > 0.0).then_some(Quota { per_second, burst }),
        })
    }
}

fn checked(
    account: &ClientAccountName,
    field: &'static str,
    value: f64,
) -> Result<f64, AccountError> {
    match value.is_finite() && value >= 0.0 {
        true => Ok(value),
        false => Err(AccountError::Number { account: account.clone(), field, value }),
    }
}
