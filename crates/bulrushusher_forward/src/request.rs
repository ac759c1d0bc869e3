//! Properties of a forwarded request that decisions depend on.

use std::sync::Arc;

use derive_more::Display;

/// Identity of one attempt of a caller; a caller's retry has a new identity.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// The identity as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for RequestId {
    fn from(text: &str) -> RequestId {
        RequestId(text.into())
    }
}

/// Most tokens that a count of a caller, a peer or the configuration stands for. It exceeds all memory of
/// a fleet, and thousands of such counts can be added up without an overflow.
pub const MAX_TOKENS: u64 = 1 << 40;

/// Tokens in a number of events, [`MAX_TOKENS`] at the most: callers and runners give any event id.
///
/// ```
/// use bulrushusher_forward::{MAX_TOKENS, tokens_in_events};
/// assert_eq!(tokens_in_events(12, 4), 48);
/// assert_eq!(tokens_in_events(u64::MAX, 4), MAX_TOKENS);
/// ```
pub fn tokens_in_events(events: u64, tokens_per_event: u64) -> u64 {
    events.saturating_mul(tokens_per_event).min(MAX_TOKENS)
}

/// Size of a generation, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptSize {
    /// Prompt tokens.
    pub prompt: u64,
    /// Maximum output tokens.
    pub max_output: u64,
    /// Output tokens estimated by the caller, if given.
    pub expected_output: Option<u64>,
}

impl PromptSize {
    /// The size with each count limited to [`MAX_TOKENS`].
    #[must_use]
    pub fn limited(self) -> PromptSize {
        PromptSize {
            prompt: self.prompt.min(MAX_TOKENS),
            max_output: self.max_output.min(MAX_TOKENS),
            expected_output: self.expected_output.map(|tokens| tokens.min(MAX_TOKENS)),
        }
    }

    /// Expected output tokens: the caller's estimate, or half of the maximum.
    pub fn expected(&self) -> u64 {
        self.expected_output.unwrap_or(self.max_output / 2).clamp(1, self.max_output.max(1))
    }
}
