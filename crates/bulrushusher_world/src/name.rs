//! Validated, immutable names that are cheap to clone.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// Maximum length of an idempotency key, in bytes.
pub const MAX_KEY_LEN: usize = 128;

/// Maximum length of a handle, in bytes, so that a request that names it stays small.
pub const MAX_HANDLE_LEN: usize = 256;

/// Why a string is not a valid name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NameError {
    /// The string is empty.
    #[display("{kind} name is empty; give it at least one character")]
    Empty {
        /// The kind of name, such as `service`.
        kind: &'static str,
    },
    /// The string is empty or too long.
    #[display("{kind} name has {len} bytes; give 1 to {max}")]
    Length {
        /// The kind of name, such as `endpoint`.
        kind: &'static str,
        /// Its length in bytes.
        len: usize,
        /// The maximum length in bytes.
        max: usize,
    },
    /// The string contains a character that is not allowed.
    #[display("{kind} name has the character {found:?}; use {allowed}")]
    Character {
        /// The kind of name, such as `endpoint`.
        kind: &'static str,
        /// The first such character.
        found: char,
        /// Which characters are allowed.
        allowed: &'static str,
    },
}

fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_LEN {
        return Err(NameError::Length { kind, len: text.len(), max: MAX_NAME_LEN });
    }
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    match text.chars().find(|c| !is_allowed(c)) {
        Some(found) => Err(NameError::Character {
            kind,
            found,
            allowed: "ASCII letters, digits, '-', '_', '.' and '/'",
        }),
        None => Ok(()),
    }
}

/// Checks a name that the platform or its operator assigns. These have no maximum length: what holds
/// them is limited as a whole.
fn check_assigned_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty { kind });
    }
    let is_outer_space =
        text.starts_with(char::is_whitespace) || text.ends_with(char::is_whitespace);
    match text.chars().find(|c| c.is_control()).or(is_outer_space.then_some(' ')) {
        Some(found) => Err(NameError::Character {
            kind,
            found,
            allowed: "no control characters, and spaces only between others",
        }),
        None => Ok(()),
    }
}

fn check_key(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_KEY_LEN {
        return Err(NameError::Length { kind, len: text.len(), max: MAX_KEY_LEN });
    }
    match text.chars().find(|c| !c.is_ascii_graphic()) {
        Some(found) => {
            Err(NameError::Character { kind, found, allowed: "visible ASCII characters" })
        }
        None => Ok(()),
    }
}

/// Checks a handle that another process assigns. It stands in headers and as a segment of a path, so that
/// it consists of what RFC 3986 allows there without escapes.
fn check_handle(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_HANDLE_LEN {
        return Err(NameError::Length { kind, len: text.len(), max: MAX_HANDLE_LEN });
    }
    let is_allowed = |c: &char| c.is_ascii_alphanumeric() || "-._~!$&'()*+,;=:@".contains(*c);
    // A segment of one or two dots names another path.
    let dots = matches!(text, "." | "..").then_some('.');
    match text.chars().find(|c| !is_allowed(c)).or(dots) {
        Some(found) => Err(NameError::Character {
            kind,
            found,
            allowed: "ASCII letters, digits and punctuation that paths allow",
        }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $check:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = NameError;
            fn try_from(text: &str) -> Result<$name, NameError> {
                $check($kind, text)?;
                Ok($name(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<$name, NameError> {
                $name::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.to_string()
            }
        }
    };
}

name_type!(
    /// Name of a VM.
    VmName, "VM", check_name);
name_type!(
    /// Name of a data centre, such as `ba-petrzalka`.
    ///
    /// ```
    /// use bulrushusher_world::DataCentreName;
    /// assert!(DataCentreName::try_from("ba-petrzalka").is_ok());
    /// assert!(DataCentreName::try_from("Queen's Park").is_ok());
    /// assert!(DataCentreName::try_from("ba\npetrzalka").is_err());
    /// ```
    DataCentreName, "data centre", check_assigned_name);
name_type!(
    /// Name of a region, a group of data centres that are close to each other.
    RegionName, "region", check_assigned_name);
name_type!(
    /// Name of an endpoint: one runner together with its agent.
    EndpointName, "endpoint", check_name);
name_type!(
    /// Name of an entry process.
    EntryName, "entry", check_name);
name_type!(
    /// Name of a service, such as `rationale-llm` or `board-app`.
    ServiceName, "service", check_assigned_name);
name_type!(
    /// Name of a model, as given in requests.
    ModelName, "model", check_name);
name_type!(
    /// Name of a client account.
    ClientAccountName, "client account", check_assigned_name);
name_type!(
    /// Name of a closing.
    ClosingName, "closing", check_name);
name_type!(
    /// Name of a deliverable class.
    ClassName, "deliverable class", check_name);
name_type!(
    /// Identifies one process lifetime of a runner; a restarted runner has a new one.
    RunnerId, "runner", check_assigned_name);
name_type!(
    /// Handle of a KV cache at the runner that has it.
    ///
    /// ```
    /// use bulrushusher_world::CacheHandle;
    /// assert!(CacheHandle::try_from("3fa09c41b7d5").is_ok());
    /// assert!(CacheHandle::try_from("a/b").is_err());
    /// assert!(CacheHandle::try_from("..").is_err());
    /// ```
    CacheHandle, "KV cache", check_handle);
name_type!(
    /// Id of a hold on memory at the runner that grants it.
    HoldId, "hold", check_handle);
name_type!(
    /// Name of a route of the gateway.
    RouteName, "route", check_assigned_name);
name_type!(
    /// A caller's idempotency key: 1 to 128 visible ASCII characters.
    RequestKey, "idempotency key", check_key);
