//! Client accounts: who may send what, and how much of it.
//!
//! [`AccountTable`] finds the account of a key, [`check_access`] decides whether a request may pass,
//! [`ConfigLease`] tells how long a configuration may be acted on without new word of the store, and
//! [`QuotaBook`] counts what accounts use over all gateways. Nothing here does I/O or reads a clock.

mod access;
mod account;
mod book;
mod bucket;
mod key;
mod lease;
mod quota;
mod spend;
mod table;
mod window;

pub use access::{Access, Credentials, Denial, Freshness, check_access};
pub use account::{Account, AccountError, Quota, RawAccount, Unit};
pub use book::QuotaBook;
pub use key::KeyDigest;
pub use lease::{ConfigLease, LeaseConfig};
pub use quota::{AccountUse, OverQuota, QuotaConfig, Sharing};
pub use spend::{AccountId, AccountSpend, Spends};
pub use table::{AccountTable, TableError};
