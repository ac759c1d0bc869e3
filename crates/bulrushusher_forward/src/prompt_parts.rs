//! The parts of which a prompt consists, as its caller states them.

use std::fmt;
use std::sync::Arc;

use derive_more::{Display, Error};

/// Maximum number of parts that are read of one list; a longer list is shortened in its middle.
pub const MAX_PROMPT_PARTS: usize = 32;

/// Largest number of hexadecimal digits of an id.
const MAX_ID_DIGITS: usize = 32;

/// Id of a part of a prompt. Prompts that begin alike or contain the same document share parts.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{_0:x}")]
pub struct PartId(u128);

/// Why a list of parts cannot be parsed.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("`{entry}` is not a part of a prompt; give ID:TOKENS with a hexadecimal id")]
pub struct PromptPartsError {
    /// The invalid entry.
    #[error(not(source))]
    pub entry: String,
}

impl PartId {
    /// The id in bytes, for digests.
    pub fn to_bytes(self) -> [u8; 16] {
        self.0.to_be_bytes()
    }
}

/// The ids of a prompt's parts in order. The last part belongs to the request itself or to its
/// session; other requests share the parts before it.
///
/// ```
/// use bulrushusher_forward::PromptParts;
/// let parts = PromptParts::try_from("5c1e07a2:800,91bd3f06:410,e4402b7d:250").unwrap();
/// assert_eq!(parts.to_string(), "5c1e07a2,91bd3f06,e4402b7d");
/// assert_eq!(parts.shared().len(), 2);
/// assert!(PromptParts::try_from("no list").is_err());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptParts(Arc<[PartId]>);

impl PromptParts {
    /// All parts but the last.
    pub fn shared(&self) -> &[PartId] {
        self.0.split_last().map_or(&[], |(_, shared)| shared)
    }
}

impl TryFrom<&str> for PromptParts {
    type Error = PromptPartsError;

    fn try_from(text: &str) -> Result<PromptParts, PromptPartsError> {
        let entries: Vec<&str> = text.split(',').map(str::trim).collect();
        let tail = entries.len().min(MAX_PROMPT_PARTS / 2);
        let head = entries.len().saturating_sub(tail).min(MAX_PROMPT_PARTS - tail);
        let kept = entries[..head].iter().chain(&entries[entries.len() - tail..]);
        let parse = |entry: &&str| {
            parse_entry(entry).ok_or_else(|| PromptPartsError { entry: (*entry).to_owned() })
        };
        kept.map(parse).collect::<Result<Arc<[PartId]>, _>>().map(PromptParts)
    }
}

impl fmt::Display for PromptParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("none");
        }
        for (n, part) in self.0.iter().enumerate() {
            write!(f, "{}{part}", if n > 0 { "," } else { "" })?;
        }
        Ok(())
    }
}

fn parse_entry(entry: &str) -> Option<PartId> {
    let (id, tokens) = entry.split_once(':')?;
    tokens.parse::<u64>().ok()?;
    let is_id = (1..=MAX_ID_DIGITS).contains(&id.len()) && !id.starts_with('+');
    u128::from_str_radix(id, 16).ok().filter(|_| is_id).map(PartId)
}
