//! The stand-ins' tokenization of prompts, prefix-cache blocks, and the mark that identifies an
//! answer.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text per token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens per block of the prefix cache.
pub const BLOCK_TOKENS: usize = 256;

/// Number of tokens in a prompt, rounded up.
///
/// ```
/// assert_eq!(bulrushusher_standin::prompt::tokens("12345678"), 2);
/// ```
pub fn tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(BYTES_PER_TOKEN)
}

/// Chained hashes of the full blocks of a prompt: hash `n` covers blocks 0 to `n`.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut chain = 0;
    let full = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    full.map(|block| {
        chain = xxh3_64_with_seed(block, chain);
        chain
    })
    .collect()
}

/// The word after the last `#` of a text, by which a caller recognises the answer to its own
/// request.
///
/// ```
/// assert_eq!(bulrushusher_standin::prompt::mark("write a rationale #r7"), "r7");
/// assert_eq!(bulrushusher_standin::prompt::mark("no mark"), "unmarked");
/// ```
pub fn mark(text: &str) -> &str {
    match text.rsplit_once('#') {
        Some((_, mark)) => mark.split_whitespace().next().unwrap_or("unmarked"),
        None => "unmarked",
    }
}

/// Token `n` of the answer to the request with this mark.
pub fn token(mark: &str, n: usize) -> String {
    format!("{mark}.{n} ")
}

/// The complete answer of `count` tokens to the request with this mark.
pub fn answer(mark: &str, count: usize) -> String {
    (0..count).map(|n| token(mark, n)).collect()
}
