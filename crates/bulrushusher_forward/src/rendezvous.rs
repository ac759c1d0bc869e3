//! Which gateways come first for something: all that know the same gateways find the same ones.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// True when fewer than `most` of the `others` come before `own` in rendezvous order for `key`.
pub(crate) fn is_among_first<'a>(
    most: usize,
    key: &str,
    own: &str,
    others: impl Iterator<Item = &'a str>,
) -> bool {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let rank = |gateway: &str| xxh3_64_with_seed(gateway.as_bytes(), seed);
    let own = rank(own);
    others.filter(|other| rank(other) > own).take(most).count() < most
}
