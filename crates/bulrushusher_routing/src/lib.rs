//! Routing decisions of an entry: which runners serve a request, retry budgets, and the quarantine
//! of requests that crash runners. Gateways use the last two as well.
//!
//! Nothing here does I/O or reads a clock; the random generator is seeded by the caller. An entry
//! updates a [`PairingTable`] with the configured endpoints and their load reports, and chooses a
//! pair of runners for each request from it.

mod digest;
mod load;
mod pairing;
mod policy;
mod prefix;
mod quarantine;
mod retry;

pub use digest::{DigestError, RequestDigest};
pub use load::LoadHint;
pub use pairing::{
    Chosen, NotPlaced, Pairing, PairingConfig, PairingTable, PromptRequest, ServiceRequest,
};
pub use policy::Policy;
pub use prefix::{PrefixConfig, PrefixIndex};
pub use quarantine::{
    CrashKey, CrashKeyError, CrashUpdate, CrashVerdict, KeySet, Quarantine, QuarantineConfig,
    QuarantineMatch, Quarantined, RequestKeys, SentRequest, Suspect,
};
pub use retry::{RetryBudget, RetryConfig};

/// The common types in one `use`.
pub mod prelude {
    pub use crate::{
        LoadHint, NotPlaced, Pairing, PairingConfig, PairingTable, Policy, PromptRequest,
        RetryBudget, RetryConfig, ServiceRequest,
    };
}
