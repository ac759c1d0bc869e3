//! Rendezvous hashing: every process computes the same home for a key from the same endpoints.

use bulrushusher_world::{EndpointName, RequestKey};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The score of an endpoint for a text; the highest score wins.
pub fn rendezvous_score(text: &str, endpoint: &EndpointName) -> u64 {
    let seed = xxh3_64_with_seed(endpoint.as_str().as_bytes(), 0);
    xxh3_64_with_seed(text.as_bytes(), seed)
}

/// The home of a key among the endpoints of its service; `None` if `endpoints` is empty.
///
/// ```
/// use bulrushusher_once::home_of;
/// use bulrushusher_world::{EndpointName, RequestKey};
/// let key = RequestKey::try_from("order-7").unwrap();
/// let names: Vec<_> = ["d1", "d2"].map(|n| EndpointName::try_from(n).unwrap()).into();
/// let reversed: Vec<_> = names.iter().rev().cloned().collect();
/// assert_eq!(home_of(&key, &names), home_of(&key, &reversed));
/// ```
pub fn home_of<'a>(
    key: &RequestKey,
    endpoints: impl IntoIterator<Item = &'a EndpointName>,
) -> Option<&'a EndpointName> {
    endpoints.into_iter().max_by_key(|name| (rendezvous_score(key.as_str(), name), *name))
}
