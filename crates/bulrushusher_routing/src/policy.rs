//! How runners are chosen, and whether decode memory is reserved before the prefill.

use derive_more::Display;

/// A way to choose runners. All but [`Policy::Paired`] are baselines to compare with.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Each runner in turn; decode memory is asked for after the prefill.
    #[display("round-robin")]
    RoundRobin,
    /// The runner with the least load that its engine reports; decode memory after the prefill.
    #[display("least-loaded")]
    LeastLoaded,
    /// Chosen as `paired` does, but decode memory is asked for after the prefill.
    #[display("prefill-first")]
    PrefillFirst,
    /// Few choices by the freshest hints, and decode memory held before the prefill starts.
    #[default]
    #[display("paired")]
    Paired,
}

/// The text names no policy.
#[derive(Clone, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("`{given}` is no policy; give round-robin, least-loaded, prefill-first or paired")]
pub struct UnknownPolicy {
    given: String,
}

impl Policy {
    /// Every policy, baselines first.
    pub const ALL: [Policy; 4] =
        [Policy::RoundRobin, Policy::LeastLoaded, Policy::PrefillFirst, Policy::Paired];

    /// True when decode memory is held before the prefill starts.
    pub fn reserves_decode_first(self) -> bool {
        match self {
            Policy::Paired => true,
            Policy::RoundRobin | Policy::LeastLoaded | Policy::PrefillFirst => false,
        }
    }
}

impl TryFrom<&str> for Policy {
    type Error = UnknownPolicy;
    fn try_from(text: &str) -> Result<Policy, UnknownPolicy> {
        let found = Policy::ALL.into_iter().find(|policy| policy.to_string() == text);
        found.ok_or_else(|| UnknownPolicy { given: text.to_owned() })
    }
}
