//! Policies for choosing runners and for the order of decode reservation and prefill.

use derive_more::Display;

/// How runners are chosen. All but [`Policy::Paired`] are baselines for comparison.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Each runner in turn; decode memory is reserved after the prefill.
    #[display("round-robin")]
    RoundRobin,
    /// The runner with the least load by its engine's metrics; decode memory is reserved after the
    /// prefill.
    #[display("least-loaded")]
    LeastLoaded,
    /// Chooses as [`Policy::Paired`] does, but decode memory is reserved after the prefill.
    #[display("prefill-first")]
    PrefillFirst,
    /// The least loaded of a few sampled runners by load hints; decode memory is reserved before
    /// the prefill starts.
    #[default]
    #[display("paired")]
    Paired,
}

/// The text is not the name of a policy.
#[derive(Clone, Debug, Display, derive_more::Error, PartialEq, Eq)]
#[display("`{given}` is not a policy; give round-robin, least-loaded, prefill-first or paired")]
pub struct UnknownPolicy {
    given: String,
}

impl Policy {
    /// Every policy, baselines first.
    pub const ALL: [Policy; 4] =
        [Policy::RoundRobin, Policy::LeastLoaded, Policy::PrefillFirst, Policy::Paired];

    /// True if decode memory is reserved before the prefill starts.
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
