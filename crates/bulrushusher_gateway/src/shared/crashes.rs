//! Requests that crash runners, as observed by this gateway and its peers.

use bulrushusher_routing::{
    CrashUpdate, CrashVerdict, Quarantine, Quarantined, RequestDigest, Suspect,
};
use bulrushusher_time::Millis;

use super::SharedState;

/// The quarantine, with updates that the peers and the store have not received yet.
#[derive(Debug)]
pub(super) struct CrashState {
    pub quarantine: Quarantine,
    /// Update for the peers.
    for_peers: CrashUpdate,
    /// Entries that this gateway has added, for the store.
    for_store: Vec<Quarantined>,
}

impl CrashState {
    pub(super) fn new(quarantine: Quarantine) -> CrashState {
        CrashState { quarantine, for_peers: CrashUpdate::default(), for_store: Vec::new() }
    }
}

impl SharedState {
    /// Time until the request leaves quarantine. `None` if it may run.
    pub(crate) fn quarantine_remaining(&self, digest: RequestDigest) -> Option<Millis> {
        self.crashes.lock().quarantine.remaining(digest, self.now())
    }

    /// Number of consecutive crashes of a request.
    pub(crate) fn crash_count(&self, digest: RequestDigest) -> u32 {
        self.crashes.lock().quarantine.crash_count(digest)
    }

    /// True if a runner that ended `ran_for` after it started a request may have crashed because of
    /// it.
    pub(crate) fn in_crash_window(&self, ran_for: Millis) -> bool {
        self.crashes.lock().quarantine.in_crash_window(ran_for)
    }

    /// Records that a runner crashed on a request that had `crashes_before` crashes when it was
    /// sent.
    pub(crate) fn record_crash(&self, digest: RequestDigest, crashes_before: u32) -> CrashVerdict {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        let verdict = crashes.quarantine.record_crash(digest, crashes_before, now);
        let update = match verdict {
            CrashVerdict::Known => return verdict,
            CrashVerdict::Suspected { crashes } => CrashUpdate {
                suspects: vec![Suspect { digest, crashes }],
                ..CrashUpdate::default()
            },
            CrashVerdict::Quarantined => {
                let entry = Quarantined { digest, since: now };
                crashes.for_store.push(entry);
                CrashUpdate { quarantined: vec![entry], ..CrashUpdate::default() }
            }
        };
        crashes.for_peers.merge(update);
        drop(crashes);
        self.crash_update_due.notify_one();
        self.quarantine_due.notify_one();
        verdict
    }

    /// Records that a request was answered, which clears its crashes.
    pub(crate) fn record_answer(&self, digest: RequestDigest) {
        let mut crashes = self.crashes.lock();
        if crashes.quarantine.record_answer(digest) {
            crashes
                .for_peers
                .merge(CrashUpdate { cleared: vec![digest], ..CrashUpdate::default() });
            drop(crashes);
            log::info!("quarantine: cleared digest={digest} cause=\"it was answered\"");
            self.crash_update_due.notify_one();
        }
    }

    /// Applies the update of a peer. Returns what the peer lacks about the same requests.
    pub(crate) fn apply_crash_update(&self, peer: &str, update: &CrashUpdate) -> CrashUpdate {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        let before = crashes.quarantine.entries(now).len();
        let reply = crashes.quarantine.apply_update(update, now);
        let held = crashes.quarantine.entries(now).len();
        drop(crashes);
        if held > before {
            log::info!("quarantine: entries received peer={peer} held={held} before={before}");
        }
        reply
    }

    /// Inserts the entries of the store. Returns the number of new ones.
    pub(crate) fn insert_quarantined(&self, entries: &[Quarantined]) -> usize {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        entries.iter().filter(|entry| crashes.quarantine.insert(**entry, now)).count()
    }

    /// Takes the update that the peers have not received yet.
    pub(crate) fn take_crash_update(&self) -> CrashUpdate {
        std::mem::take(&mut self.crashes.lock().for_peers)
    }

    /// Entries that the store has not received yet.
    pub(crate) fn unwritten_quarantined(&self) -> Vec<Quarantined> {
        self.crashes.lock().for_store.clone()
    }

    /// Records that the store holds these entries.
    pub(crate) fn mark_quarantined_written(&self, written: &[Quarantined]) {
        self.crashes.lock().for_store.retain(|entry| !written.contains(entry));
    }

    /// Schedules all entries to be written again, after the store was restored from an older copy.
    pub(crate) fn rewrite_quarantined(&self) {
        let all = self.all_quarantined();
        if !all.is_empty() {
            self.crashes.lock().for_store = all;
            self.quarantine_due.notify_one();
        }
    }

    /// All requests in quarantine.
    pub(crate) fn all_quarantined(&self) -> Vec<Quarantined> {
        self.crashes.lock().quarantine.entries(self.now())
    }
}
