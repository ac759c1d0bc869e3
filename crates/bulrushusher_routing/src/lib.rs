//! An entry's decisions: which runners, when to refuse early, limits, retry budgets, and which requests
//! are kept from runners. Gateways share the last two.
//!
//! Nothing here does I/O or reads a clock; randomness is seeded from outside. An entry feeds a
//! [`PairingTable`] with the endpoints in force and what it hears of their load, and asks it for a
//! pair of runners per request.

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
pub use quarantine::{CrashUpdate, Quarantine, QuarantineConfig, Quarantined, Suspect, CrashVerdict};
pub use retry::{RetryBudget, RetryConfig};

/// The common types in one `use`.
pub mod prelude {
    pub use crate::{
        LoadHint, NotPlaced, Pairing, PairingConfig, PairingTable, Policy, PromptRequest,
        RetryBudget, RetryConfig, ServiceRequest,
    };
}
