//! Requests that crash runners, as observed by this gateway and its peers.

use std::collections::HashSet;

use bulrushusher_routing::{
    CrashKey, CrashUpdate, CrashVerdict, KeySet, Quarantine, QuarantineMatch, Quarantined,
    RequestKeys, SentRequest, Suspect,
};
use bulrushusher_time::Millis;

use super::SharedState;

/// Crashes of a part from which on the store has them, for gateways that start after all others have
/// ended. Most parts with a single crash are soon cleared.
const STORED_CRASHES: u32 = 2;

/// The quarantine, with updates that the peers and the store have not received yet.
#[derive(Debug)]
pub(super) struct CrashState {
    pub quarantine: Quarantine,
    /// Update for the peers.
    for_peers: CrashUpdate,
    /// Update for the record in the store.
    for_store: CrashUpdate,
    /// Keys that the record contains, as far as this gateway knows.
    stored: HashSet<CrashKey>,
    /// Keys that the operator has released.
    released: KeySet,
}

impl CrashState {
    pub(super) fn new(quarantine: Quarantine, released: KeySet) -> CrashState {
        CrashState {
            quarantine,
            for_peers: CrashUpdate::default(),
            for_store: CrashUpdate::default(),
            stored: HashSet::new(),
            released,
        }
    }

    /// Schedules the removal of cleared keys from the record.
    fn clear_stored(&mut self, cleared: &[CrashKey]) {
        let stored = cleared.iter().copied().filter(|key| self.stored.contains(key)).collect();
        self.for_store.merge(CrashUpdate { cleared: stored, ..CrashUpdate::default() });
    }

    /// Applies what the operator has released. Returns the entries that this ended.
    fn apply_released(&mut self) -> Vec<KeySet> {
        let released = self.released.clone();
        let ended = self.quarantine.release(&released);
        let keys: Vec<CrashKey> = ended.iter().flat_map(KeySet::iter).collect();
        self.clear_stored(&keys);
        ended
    }
}

impl SharedState {
    /// The quarantine that applies to a request; `None` if it may run.
    pub(crate) fn find_quarantine(&self, keys: &RequestKeys) -> Option<QuarantineMatch> {
        self.crashes.lock().quarantine.find(keys, self.now())
    }

    /// True if a request must not be sent to runners.
    pub(crate) fn is_quarantined(&self, keys: &RequestKeys) -> bool {
        self.find_quarantine(keys).is_some()
    }

    /// Records that a request is sent to a runner, for [`SharedState::record_crash`].
    pub(crate) fn record_crash_risk(&self, keys: &RequestKeys) -> SentRequest {
        self.crashes.lock().quarantine.record_send(keys, self.now())
    }

    /// True if a runner that ended `ran_for` after it began to answer a request may have crashed
    /// because of it.
    pub(crate) fn in_crash_window(&self, ran_for: Millis) -> bool {
        self.crashes.lock().quarantine.in_crash_window(ran_for)
    }

    /// Number of runs with the key that this gateway has seen outlive the crash window.
    pub(crate) fn sound_runs(&self, key: CrashKey) -> u64 {
        self.crashes.lock().quarantine.sound_runs(key)
    }

    /// Records that a runner crashed on a request.
    pub(crate) fn record_crash(&self, sent: &SentRequest) -> CrashVerdict {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        let verdict = crashes.quarantine.record_crash(sent, now);
        let (quarantined, suspects) = match &verdict {
            CrashVerdict::Known => return verdict,
            CrashVerdict::Suspected { suspects } => (Vec::new(), suspects.clone()),
            CrashVerdict::Quarantined { entries, suspects } => (entries.clone(), suspects.clone()),
        };
        let is_stored =
            |it: &Suspect| matches!(it.key, CrashKey::Part(_)) && it.crashes >= STORED_CRASHES;
        let stored_suspects: Vec<Suspect> = suspects.iter().copied().filter(is_stored).collect();
        let cleared = Vec::new();
        crashes.for_store.merge(CrashUpdate {
            suspects: stored_suspects,
            quarantined: quarantined.clone(),
            cleared: cleared.clone(),
        });
        crashes.for_peers.merge(CrashUpdate { suspects, quarantined, cleared });
        drop(crashes);
        self.crash_update_due.notify_one();
        self.quarantine_due.notify_one();
        verdict
    }

    /// Records that a runner survived a request, which clears the request's keys.
    pub(crate) fn record_sound_run(&self, keys: &RequestKeys) {
        let mut crashes = self.crashes.lock();
        let cleared = crashes.quarantine.record_sound_run(keys, self.now());
        if cleared.is_empty() {
            return;
        }
        crashes.clear_stored(&cleared);
        crashes.for_peers.merge(CrashUpdate { cleared: cleared.clone(), ..CrashUpdate::default() });
        let is_store_due = !crashes.for_store.is_empty();
        drop(crashes);
        let cleared = KeySet::from(cleared);
        log::info!("quarantine: cleared keys={cleared} cause=\"a runner survived them\"");
        self.crash_update_due.notify_one();
        if is_store_due {
            self.quarantine_due.notify_one();
        }
    }

    /// Applies the reply of a peer to an update of this gateway. Others may need the word that runners
    /// have survived a suspect, which the reply was the first to tell.
    pub(crate) fn apply_crash_reply(&self, peer: &str, reply: &CrashUpdate) {
        let mut crashes = self.crashes.lock();
        let suspects = reply.suspects.iter().copied();
        let is_news = |it: &Suspect| it.was_sound && !crashes.quarantine.was_sound(it.key);
        let newly_sound: Vec<Suspect> = suspects.filter(is_news).collect();
        let is_due = !newly_sound.is_empty();
        crashes.for_peers.merge(CrashUpdate { suspects: newly_sound, ..CrashUpdate::default() });
        drop(crashes);
        if is_due {
            self.crash_update_due.notify_one();
        }
        self.apply_crash_update(peer, reply);
    }

    /// Applies the update of a peer. Returns what the peer lacks about the same keys.
    pub(crate) fn apply_crash_update(&self, peer: &str, update: &CrashUpdate) -> CrashUpdate {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        let before = crashes.quarantine.entries(now);
        let reply = crashes.quarantine.apply_update(update, now);
        crashes.clear_stored(&update.cleared);
        crashes.apply_released();
        let after = crashes.quarantine.entries(now);
        let is_store_due = !crashes.for_store.is_empty();
        drop(crashes);
        if is_store_due {
            self.quarantine_due.notify_one();
        }
        for entry in after.iter().filter(|entry| !before.contains(entry)) {
            log::info!(
                "quarantine: verdict keys={} since_ms={} source=peer peer={peer} crashes={}",
                entry.keys,
                entry.since.0,
                entry.crashes,
            );
        }
        reply
    }

    /// Applies the record of the store. Returns the number of entries that were new.
    pub(crate) fn apply_stored_crashes(&self, stored: &CrashUpdate) -> usize {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        crashes.stored = stored.keys().collect();
        let cleared = crashes.for_store.cleared.clone();
        for suspect in stored.suspects.iter().filter(|it| !cleared.contains(&it.key)) {
            crashes.quarantine.add_suspect(*suspect, now);
        }
        let entries = stored.quarantined.iter();
        let added = entries.filter(|entry| crashes.quarantine.insert(entry, now)).count();
        crashes.apply_released();
        added
    }

    /// Takes the update that the peers have not received yet.
    pub(crate) fn take_crash_update(&self) -> CrashUpdate {
        std::mem::take(&mut self.crashes.lock().for_peers)
    }

    /// The update that the store has not received yet.
    pub(crate) fn unwritten_crashes(&self) -> CrashUpdate {
        self.crashes.lock().for_store.clone()
    }

    /// Records that the store contains an update.
    pub(crate) fn mark_crashes_written(&self, written: &CrashUpdate) {
        let mut crashes = self.crashes.lock();
        crashes.for_store.suspects.retain(|it| !written.suspects.contains(it));
        crashes.for_store.quarantined.retain(|it| !written.quarantined.contains(it));
        crashes.for_store.cleared.retain(|it| !written.cleared.contains(it));
        crashes.stored.extend(written.keys());
        crashes.stored.retain(|key| !written.cleared.contains(key));
    }

    /// Schedules all entries to be written again, after the store was restored from an older copy.
    pub(crate) fn rewrite_crashes(&self) {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        let all = CrashUpdate {
            suspects: crashes.quarantine.suspected_parts(STORED_CRASHES),
            quarantined: crashes.quarantine.entries(now),
            cleared: Vec::new(),
        };
        if !all.is_empty() {
            crashes.for_store = all;
            drop(crashes);
            self.quarantine_due.notify_one();
        }
    }

    /// All keys in quarantine.
    pub(crate) fn all_quarantined(&self) -> Vec<Quarantined> {
        self.crashes.lock().quarantine.entries(self.now())
    }

    /// Ends the quarantine of keys, also of those that peers or the store still have.
    pub(super) fn set_released(&self, released: KeySet) {
        let mut crashes = self.crashes.lock();
        crashes.released = released;
        let ended = crashes.apply_released();
        drop(crashes);
        for keys in &ended {
            log::info!("quarantine: released keys={keys} cause=\"the operator's settings\"");
        }
        if !ended.is_empty() {
            self.quarantine_due.notify_one();
        }
    }
}
