//! Which requests crash runners, as this gateway and its peers saw it.

use bulrushusher_routing::{
    CrashUpdate, CrashVerdict, Quarantine, Quarantined, RequestDigest, Suspect,
};
use bulrushusher_time::Millis;

use super::Knowledge;

/// What is known of crashes, and what peers and the store have yet to be told.
#[derive(Debug)]
pub(super) struct KnownCrashes {
    pub quarantine: Quarantine,
    /// For the peers.
    to_tell: CrashUpdate,
    /// Found out by this gateway, for the store.
    to_write: Vec<Quarantined>,
}

impl KnownCrashes {
    pub(super) fn new(quarantine: Quarantine) -> KnownCrashes {
        KnownCrashes { quarantine, to_tell: CrashUpdate::default(), to_write: Vec::new() }
    }
}

impl Knowledge {
    /// How long the request is still kept from runners; `None` when it may run.
    pub(crate) fn quarantine_left(&self, digest: RequestDigest) -> Option<Millis> {
        self.crashes.lock().quarantine.remaining(digest, self.now())
    }

    /// Crashes in a row of a request that is sent to a runner now.
    pub(crate) fn crashes_before(&self, digest: RequestDigest) -> u32 {
        self.crashes.lock().quarantine.crash_count(digest)
    }

    /// True when a runner that ended so long after it began a request may have ended on it.
    pub(crate) fn may_blame(&self, ran_for: Millis) -> bool {
        self.crashes.lock().quarantine.in_crash_window(ran_for)
    }

    /// A runner ended on a request that had crashed `before` others when it was sent.
    pub(crate) fn note_crash(&self, digest: RequestDigest, before: u32) -> CrashVerdict {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        let verdict = crashes.quarantine.record_crash(digest, before, now);
        let news = match verdict {
            CrashVerdict::Known => return verdict,
            CrashVerdict::Suspected { crashes } => CrashUpdate {
                suspects: vec![Suspect { digest, crashes }],
                ..CrashUpdate::default()
            },
            CrashVerdict::Quarantined => {
                let held = Quarantined { digest, since: now };
                crashes.to_write.push(held);
                CrashUpdate { quarantined: vec![held], ..CrashUpdate::default() }
            }
        };
        crashes.to_tell.merge(news);
        drop(crashes);
        self.crashes_due.notify_one();
        self.quarantine_due.notify_one();
        verdict
    }

    /// A request was answered.
    pub(crate) fn note_answer(&self, digest: RequestDigest) {
        let mut crashes = self.crashes.lock();
        if crashes.quarantine.record_answer(digest) {
            crashes.to_tell.merge(CrashUpdate { cleared: vec![digest], ..CrashUpdate::default() });
            drop(crashes);
            log::info!("quarantine: cleared digest={digest} cause=\"it was answered\"");
            self.crashes_due.notify_one();
        }
    }

    /// Takes in a peer's news; returns what it does not know of the same requests.
    pub(crate) fn hear_crashes(&self, peer: &str, news: &CrashUpdate) -> CrashUpdate {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        let before = crashes.quarantine.entries(now).len();
        let beyond = crashes.quarantine.apply_update(news, now);
        let held = crashes.quarantine.entries(now).len();
        drop(crashes);
        if held > before {
            log::info!("quarantine: heard peer={peer} held={held} before={before}");
        }
        beyond
    }

    /// Takes in what the store holds; returns how many requests are new in quarantine.
    pub(crate) fn hold_quarantined(&self, held: &[Quarantined]) -> usize {
        let now = self.now();
        let mut crashes = self.crashes.lock();
        held.iter().filter(|held| crashes.quarantine.insert(**held, now)).count()
    }

    /// What peers have yet to be told.
    pub(crate) fn take_crash_news(&self) -> CrashUpdate {
        std::mem::take(&mut self.crashes.lock().to_tell)
    }

    /// What the store has yet to be told.
    pub(crate) fn quarantined_to_write(&self) -> Vec<Quarantined> {
        self.crashes.lock().to_write.clone()
    }

    /// The store holds these.
    pub(crate) fn quarantined_written(&self, written: &[Quarantined]) {
        self.crashes.lock().to_write.retain(|held| !written.contains(held));
    }

    /// The store has lost what it was told: it is told all again.
    pub(crate) fn write_quarantined_again(&self) {
        let all = self.all_quarantined();
        if !all.is_empty() {
            self.crashes.lock().to_write = all;
            self.quarantine_due.notify_one();
        }
    }

    /// All requests in quarantine.
    pub(crate) fn all_quarantined(&self) -> Vec<Quarantined> {
        self.crashes.lock().quarantine.entries(self.now())
    }
}
