//! How far a gateway's configuration is that of the store.
//!
//! A gateway may receive a version that it cannot read. It has then *seen* the store's state up to
//! a revision, while an older version is still in force, and responses without further changes
//! confirm nothing.

/// The configuration in a response of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredConfiguration {
    /// The response lists changes, and none of them is to the configuration.
    Unchanged,
    /// The configuration was read and put in force.
    Readable,
    /// The configuration cannot be read, or the store has none.
    Unreadable,
}

/// Whether the latest configuration that the store has sent is in force.
///
/// Responses may be recorded in any order, also by several tasks. Each describes the state of the
/// store at its revision, so the one with the highest revision counts.
///
/// ```
/// use bulrushusher_forward::{ConfigurationCopy, StoredConfiguration};
/// let mut copy = ConfigurationCopy::default();
/// assert!(!copy.is_in_force());
/// copy.record(StoredConfiguration::Readable, 7);
/// assert!(copy.is_in_force());
/// copy.record(StoredConfiguration::Unreadable, 9);
/// copy.record(StoredConfiguration::Unchanged, 12);
/// assert!(!copy.is_in_force());
/// copy.record(StoredConfiguration::Readable, 13);
/// assert!(copy.is_in_force());
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConfigurationCopy {
    /// Highest revision of a response with a readable configuration.
    readable_at: u64,
    /// Highest revision of a response with an unreadable one.
    unreadable_at: u64,
}

impl ConfigurationCopy {
    /// Records a response that describes the store at `revision`. Returns true if the configuration
    /// in force is outdated from now on.
    pub fn record(&mut self, stored: StoredConfiguration, revision: u64) -> bool {
        let was_in_force = self.is_in_force();
        match stored {
            StoredConfiguration::Unchanged => {}
            StoredConfiguration::Readable => self.readable_at = self.readable_at.max(revision),
            StoredConfiguration::Unreadable => {
                self.unreadable_at = self.unreadable_at.max(revision);
            }
        }
        was_in_force && !self.is_in_force()
    }

    /// True if the latest configuration that the store has sent is in force.
    pub fn is_in_force(&self) -> bool {
        self.readable_at > self.unreadable_at
    }
}
