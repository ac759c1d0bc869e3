//! What gateways tell each other about crashes.

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

use super::keys::{CrashKey, KeySet};

/// A key with its consecutive crashes so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The key.
    pub key: CrashKey,
    /// Consecutive crashes, each of a run that started after the previous crash was known.
    pub crashes: u32,
    /// True if runners are known to have survived the key before.
    pub was_sound: bool,
    /// True if a runner has survived a prompt without the key since the first of these crashes.
    pub has_contrast: bool,
    /// When the first of these crashes was recorded: Unix time in ms by the clock of that gateway.
    #[serde(rename = "since_ms")]
    pub since: Millis,
}

/// Keys in quarantine: requests with all of them are refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The keys.
    pub keys: KeySet,
    /// When the quarantine began: Unix time in ms by the clock of the gateway that decided it.
    #[serde(rename = "since_ms")]
    pub since: Millis,
    /// Consecutive crashes by which it was decided.
    pub crashes: u32,
}

/// Changes that gateways send each other about requests that crash runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Keys of requests that have crashed runners, whether in quarantine or not.
    pub suspects: Vec<Suspect>,
    /// Keys in quarantine.
    pub quarantined: Vec<Quarantined>,
    /// Former suspects that runners have survived.
    pub cleared: Vec<CrashKey>,
}

impl CrashUpdate {
    /// True if it contains no changes.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantined.is_empty() && self.cleared.is_empty()
    }

    /// The keys that are suspected or in quarantine by it.
    pub fn keys(&self) -> impl Iterator<Item = CrashKey> {
        let quarantined = self.quarantined.iter().flat_map(|entry| entry.keys.iter());
        quarantined.chain(self.suspects.iter().map(|suspect| suspect.key))
    }

    /// Merges a later update into this one.
    pub fn merge(&mut self, later: CrashUpdate) {
        self.suspects.retain(|suspect| !later.cleared.contains(&suspect.key));
        for suspect in later.suspects {
            self.suspects.retain(|earlier| earlier.key != suspect.key);
            self.cleared.retain(|cleared| *cleared != suspect.key);
            self.suspects.push(suspect);
        }
        for entry in later.quarantined {
            self.quarantined.retain(|earlier| earlier.keys != entry.keys);
            self.quarantined.push(entry);
        }
        for key in later.cleared {
            self.cleared.retain(|earlier| *earlier != key);
            self.cleared.push(key);
        }
    }
}
