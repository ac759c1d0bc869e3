//! Rendezvous hashing: gateways that know the same peers agree on who comes first for a key.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// True when fewer than `count` of the `others` precede `own` in rendezvous order for `key`.
pub(crate) fn is_among_first<'a>(
    count: usize,
    key: &str,
    own: &str,
    others: impl Iterator<Item = &'a str>,
) -> bool {
    let rank = ranking(key);
    let own = rank(own);
    others.filter(|other| rank(other) > own).take(count).count() < count
}

/// Rank of each gateway for `key`; the highest comes first.
pub(crate) fn ranking(key: &str) -> impl Fn(&str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    move |gateway| xxh3_64_with_seed(gateway.as_bytes(), seed)
}
