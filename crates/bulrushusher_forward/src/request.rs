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
    /// Expected output tokens: the caller's estimate, or half of the maximum.
    pub fn expected(&self) -> u64 {
        self.expected_output.unwrap_or(self.max_output / 2).clamp(1, self.max_output.max(1))
    }
}
