//! Parts of prompts that runners have survived.

use std::collections::HashMap;

use bulrushusher_time::Millis;

use super::keys::CrashKey;

/// Runs with a part that outlived the crash window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SoundRuns {
    /// Number of such runs at this gateway; 0 if only another gateway had some.
    pub count: u64,
    /// When the last of them outlived the window; zero if that is not known.
    pub last_at: Millis,
}

/// The parts that runners have survived lately. Callers choose the ids, so the table is bounded:
/// parts that are in use stay, as each run renews their entries, and of the others the older half is
/// dropped.
#[derive(Clone, Debug, Default)]
pub(super) struct SoundParts {
    recent: HashMap<CrashKey, SoundRuns>,
    older: HashMap<CrashKey, SoundRuns>,
}

impl SoundParts {
    /// Records a run of this gateway with the key, in a table of at most `max_entries`.
    pub(super) fn record(&mut self, key: CrashKey, max_entries: usize, now: Millis) {
        let count = self.get(key).unwrap_or_default().count.saturating_add(1);
        self.insert(key, SoundRuns { count, last_at: now }, max_entries);
    }

    /// Records that another gateway had such a run.
    pub(super) fn record_elsewhere(&mut self, key: CrashKey, max_entries: usize, last_at: Millis) {
        let known = self.get(key).unwrap_or_default();
        let runs = SoundRuns { last_at: last_at.max(known.last_at), ..known };
        self.insert(key, runs, max_entries);
    }

    /// The runs with a key; `None` if none are known.
    pub(super) fn get(&self, key: CrashKey) -> Option<SoundRuns> {
        self.recent.get(&key).or_else(|| self.older.get(&key)).copied()
    }

    fn insert(&mut self, key: CrashKey, runs: SoundRuns, max_entries: usize) {
        let half = (max_entries / 2).max(1);
        if self.recent.len() >= half && !self.recent.contains_key(&key) {
            self.older = std::mem::take(&mut self.recent);
        }
        self.recent.insert(key, runs);
    }
}
