//! How the stand-ins read a prompt: its tokens, its blocks and its mark.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of text in one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: usize = 256;

/// Tokens in a prompt.
///
/// ```
/// assert_eq!(bulrushusher_standin::prompt::tokens("12345678"), 2);
/// ```
pub fn tokens(prompt: &str) -> usize {
    prompt.len().div_ceil(BYTES_PER_TOKEN)
}

/// The chained hashes of the whole blocks of a prompt: block `n`'s covers blocks 0 to `n`.
pub fn blocks(prompt: &str) -> Vec<u64> {
    let mut chain = 0;
    let whole = prompt.as_bytes().chunks_exact(BLOCK_TOKENS * BYTES_PER_TOKEN);
    whole
        .map(|block| {
            chain = xxh3_64_with_seed(block, chain);
            chain
        })
        .collect()
}

/// The mark that the caller put behind the last `#` of a text, so that it can tell its own answer.
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

/// Token `n` of the answer to the request marked `mark`.
pub fn token(mark: &str, n: usize) -> String {
    format!("{mark}.{n} ")
}

/// The whole answer of `count` tokens.
pub fn answer(mark: &str, count: usize) -> String {
    (0..count).map(|n| token(mark, n)).collect()
}
