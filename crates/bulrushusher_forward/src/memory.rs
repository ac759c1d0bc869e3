//! How much decode memory is held for a generation.

use crate::PromptSize;

/// How holds are sized.
#[derive(Clone, Copy, Debug)]
pub struct HoldConfig {
    /// Output tokens held for each one that the caller expects.
    pub per_expected_output: f64,
}

impl Default for HoldConfig {
    /// Only the prompt is held: a runner keeps a hold for as long as the run lasts, and half of its
    /// memory then stood idle while seven runs had it to themselves. What runs grow into is left to
    /// the forecast.
    fn default() -> HoldConfig {
        HoldConfig { per_expected_output: 0.0 }
    }
}

/// Tokens to hold: the prompt and the expected output with its margin, never more than the most
/// that can be generated.
///
/// ```
/// use bulrushusher_forward::{HoldConfig, PromptSize, tokens_to_hold};
/// let size = PromptSize { prompt: 1_000, max_output: 900, expected_output: Some(300) };
/// assert_eq!(tokens_to_hold(&size, 0, HoldConfig { per_expected_output: 2.0 }), 1_600);
/// assert_eq!(tokens_to_hold(&size, 0, HoldConfig { per_expected_output: 4.0 }), 1_900);
/// ```
pub fn tokens_to_hold(size: &PromptSize, already_made: u64, cfg: HoldConfig) -> u64 {
    let expected = match size.expected_output {
        Some(tokens) => (tokens as f64 * cfg.per_expected_output) as u64,
        None => size.max_output,
    };
    let output = expected.max(already_made).min(size.max_output);
    size.prompt + output
}
