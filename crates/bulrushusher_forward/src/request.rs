//! What the decisions need to know of a forwarded request.

use std::sync::Arc;

use derive_more::Display;

/// Identity of one attempt of a caller; a caller that tries again sends another one.
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
    /// Tokens of the prompt.
    pub prompt: u64,
    /// The most tokens that may be generated.
    pub most_output: u64,
    /// The caller's own estimate of the tokens generated, if it gave one.
    pub expected_output: Option<u64>,
}

impl PromptSize {
    /// Tokens expected: the caller's estimate, or half of the most.
    pub fn expected(&self) -> u64 {
        self.expected_output.unwrap_or(self.most_output / 2).clamp(1, self.most_output.max(1))
    }
}
