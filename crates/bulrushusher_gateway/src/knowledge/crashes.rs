//! Which requests crash runners, as this gateway and its peers saw it.

use bulrushusher_routing::{
    CrashUpdate, CrashVerdict, Quarantine, Quarantined, RequestDigest, Suspect,
};
use bulrushusher_time::Millis;

use super::Knowledge;

/// What is known of crashes, and what peers and the store have yet to be told.
#[derive(Debug)]
pub(super) struct CrashState {
    pub quarantine: Quarantine,
    /// For the peers.
    for_peers: CrashUpdate,
    /// Found out by this gateway, for the store.
    for_store: Vec<Quarantined>,
}

impl CrashState {
    pub(super) fn new(quarantine: Quarantine) -> CrashState {
        CrashState { quarantine, for_peers: CrashUpdate::default(), for_store: Vec::new() }
    }
}

impl Knowledge {
    /// How long the request is still kept from runners; `None` when it may run.
    pub(crate) fn quarantine_remaining(&self, digest: RequestDigest) -> Option<Millis> {
        self.crashes.lock().quarantine.remaining(digest, self.now())
    }

    /// Crashes in a row of a request that is sent to a runner now.
    pub(crate) fn crash_count(&self, digest: RequestDigest) -> u32 {
        self.crashes.lock().quarantine.crash_count(digest)
    }

    /// True when a runner that ended so long after it began a request may have ended on it.
    pub(crate) fn in_crash_window(&self, ran_for: Millis) -> bool {
        self.crashes.lock().quarantine.in_crash_window(ran_for)
    }

    /// A runner ended on a request that had crashed `before` others when it was sent.
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

    /// A request was answered.
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

    /// Takes in a peer's news; returns what it does not know of the same requests.
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

    /// Takes in what the store holds; returns how many requests are new in quarantine.
    pub(crate) fn insert_quarantined(&self, entries: &[Quarantined]) -> usize {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        entries.iter().filter(|entry| crashes.quarantine.insert(**entry, now)).count()
    }

    /// What peers have yet to be told.
    pub(crate) fn take_crash_update(&self) -> CrashUpdate {
        std::mem::take(&mut self.crashes.lock().for_peers)
    }

    /// What the store has yet to be told.
    pub(crate) fn unwritten_quarantined(&self) -> Vec<Quarantined> {
        self.crashes.lock().for_store.clone()
    }

    /// The store holds these.
    pub(crate) fn mark_quarantined_written(&self, written: &[Quarantined]) {
        self.crashes.lock().for_store.retain(|entry| !written.contains(entry));
    }

    /// The store has lost what it was told: it is told all again.
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
