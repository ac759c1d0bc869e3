//! Client accounts: authentication by API key, and quotas that all gateways enforce together.
//!
//! [`AccountTable`] looks up the account of a key, [`check_access`] decides whether a request is
//! allowed, [`ConfigLease`] limits how long a configuration may be used while the store does not
//! confirm it, and [`QuotaLimiter`] limits what accounts use across all gateways. The crate does no
//! I/O and reads no clock; callers pass in the current time.

mod access;
mod account;
mod bucket;
mod key;
mod lease;
mod limiter;
mod peer;
mod quota;
mod report;
mod table;
mod window;

pub use access::{Access, Credentials, Denial, Freshness, check_access};
pub use account::{Account, AccountError, Quota, RawAccount, Unit};
pub use key::KeyDigest;
pub use lease::{ConfigLease, LeaseConfig};
pub use limiter::QuotaLimiter;
pub use quota::{AccountUsage, OverQuota, QuotaConfig, Sharing};
pub use report::{AccountId, UsageCounter, UsageReport};
pub use table::{AccountTable, KeyHolder, TableError, UnreadableAccount};
