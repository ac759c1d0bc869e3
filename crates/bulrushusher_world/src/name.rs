//! Checked, shared, immutable names.

use std::sync::Arc;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// The longest name, in bytes.
pub const MAX_NAME_LEN: usize = 64;
/// The longest request key, in bytes.
pub const MAX_KEY_LEN: usize = 128;

/// Why a text is not a name.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty or too long.
    #[display("{kind} name has {len} bytes; give 1 to {max}")]
    Length {
        /// Which kind of name.
        kind: &'static str,
        /// Bytes given.
        len: usize,
        /// Bytes allowed.
        max: usize,
    },
    /// The text has a character that names may not have.
    #[display("{kind} name has the character {found:?}; use {allowed}")]
    Character {
        /// Which kind of name.
        kind: &'static str,
        /// The character.
        found: char,
        /// Which characters are allowed.
        allowed: &'static str,
    },
}

fn check_name(kind: &'static str, text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_LEN {
        return Err(NameError::Length { kind, len: text.len(), max: MAX_NAME_LEN });
    }
    let ok = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/');
    match text.chars().find(|c| !ok(c)) {
        Some(found) => Err(NameError::Character {
            kind,
            found,
            allowed: "ASCII letters, digits, '-', '_', '.' and '/'",
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

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:literal, $check:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
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
    /// assert!(DataCentreName::try_from("ba petrzalka").is_err());
    /// ```
    DataCentreName, "data centre", check_name);
name_type!(
    /// Name of an endpoint: one runner with the agent beside it.
    EndpointName, "endpoint", check_name);
name_type!(
    /// Name of an entry process.
    EntryName, "entry", check_name);
name_type!(
    /// Name of a service, such as `rationale-llm` or `board-app`.
    ServiceName, "service", check_name);
name_type!(
    /// Name of a model as callers ask for it.
    ModelName, "model", check_name);
name_type!(
    /// Name of a client account.
    ClientAccountName, "client account", check_name);
name_type!(
    /// Name of a closing.
    ClosingName, "closing", check_name);
name_type!(
    /// Name of a deliverable class.
    ClassName, "deliverable class", check_name);
name_type!(
    /// Identity of one start of a runner; a runner that starts again has another one.
    RunnerId, "runner", check_name);
name_type!(
    /// Name of a route of forwarded requests.
    RouteName, "route", check_name);
name_type!(
    /// A caller's idempotency key: 1 to 128 visible ASCII characters.
    RequestKey, "idempotency key", check_key);
