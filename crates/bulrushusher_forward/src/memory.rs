//! Size of the hold on a decode runner's memory for a text generation.

use crate::PromptSize;

/// Sizing of holds.
#[derive(Clone, Copy, Debug)]
pub struct HoldConfig {
    /// Output tokens held per output token that the caller expects.
    pub per_expected_output: f64,
}

impl Default for HoldConfig {
    /// Holds only the prompt. A runner keeps a hold as long as the run lasts; with output included,
    /// seven runs occupied a runner and half of its memory was idle. The forecast accounts for the
    /// growth of runs.
    fn default() -> HoldConfig {
        HoldConfig { per_expected_output: 0.0 }
    }
}

/// Tokens to hold: the prompt and the expected output with its margin, limited to the maximum
/// output.
///
/// ```
/// use bulrushusher_forward::{HoldConfig, PromptSize, tokens_to_hold};
/// let size = PromptSize { prompt: 1_000, max_output: 900, expected_output: Some(300) };
/// assert_eq!(tokens_to_hold(&size, 0, HoldConfig { per_expected_output: 2.0 }), 1_600);
/// assert_eq!(tokens_to_hold(&size, 0, HoldConfig { per_expected_output: 4.0 }), 1_900);
/// ```
pub fn tokens_to_hold(size: &PromptSize, already_generated: u64, cfg: HoldConfig) -> u64 {
    let expected = match size.expected_output {
        Some(tokens) => (tokens as f64 * cfg.per_expected_output) as u64,
        None => size.max_output,
    };
    let output = expected.max(already_generated).min(size.max_output);
    size.prompt + output
}
