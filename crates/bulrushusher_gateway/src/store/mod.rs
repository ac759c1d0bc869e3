//! Access to the platform's store: watches and lists it, and writes records.

pub(crate) mod feed;
pub(crate) mod intake;
pub(crate) mod orders;
pub(crate) mod quarantine;
pub(crate) mod renewing;
pub(crate) mod streams;
pub(crate) mod versions;

use bulrushusher_time::Millis;
use serde::de::DeserializeOwned;

/// Timeout of a call for a record that gateways keep in the store. A healthy store answers within milliseconds.
const CALL_TIMEOUT: Millis = Millis(500);

/// Delay before a retry after a failed call or a conflicting write of another gateway.
const RETRY_DELAY: Millis = Millis(700);

/// Maximum number of characters of another writer's text in one log line.
const MAX_LOGGED_CHARS: usize = 80;

/// Parses a record that gateways keep in the store. A record of another writer counts as empty and is
/// overwritten by the next write.
fn parse_record<T: Default + DeserializeOwned>(name: &str, value: serde_json::Value) -> T {
    serde_json::from_value(value).unwrap_or_else(|e| {
        log::warn!("{name}: record passed over name={name} cause=\"{e}\"");
        T::default()
    })
}

/// Replaces control characters and quotes in another writer's text, and truncates it, for the log.
pub(crate) fn sanitized(text: &str) -> String {
    text.chars()
        .take(MAX_LOGGED_CHARS)
        .map(|c| if c.is_control() || c == '"' { '?' } else { c })
        .collect()
}
