//! Which requests end the runners that run them, and are run no more.
//!
//! A request may crash whichever runner begins it. Its caller sends it again, with a new identity and
//! at any gateway, so that each crash must be remembered by what was asked for, and by all gateways.
//! A crash counts when the runner's process ended just after it had begun the request. A second one
//! counts only if the request was sent there after the first was known: runners that end together,
//! whatever they run, say nothing of a request. An answer clears it.

use std::collections::HashMap;

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

use crate::RequestDigest;

/// When a request is kept from runners, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// A runner that ends within this time after it began a request may have ended on it.
    pub crash_window: Millis,
    /// Crashes in a row that put a request into quarantine.
    pub crash_threshold: u32,
    /// How long a request's crashes are remembered after the last one.
    pub suspect_ttl: Millis,
    /// How long a quarantine lasts.
    pub duration: Millis,
    /// Requests that are remembered, and those in quarantine, at most; the oldest are forgotten.
    pub max_entries: usize,
}

impl Default for QuarantineConfig {
    /// An engine that cannot bear a request ends with its first token or two, some 50 ms after it
    /// began; ten times that leaves time for a slow one. Few runs are as young at any moment, so that
    /// the second crash in a row is no chance, and each one more costs the caller nothing but some ten
    /// others their answers. Callers send a failed request again within seconds or some minutes. An
    /// hour is time for its owner to change it; a runner for each such request and hour is bearable.
    fn default() -> QuarantineConfig {
        QuarantineConfig {
            crash_window: Millis(500),
            crash_threshold: 2,
            suspect_ttl: Millis(600_000),
            duration: Millis(3_600_000),
            max_entries: 512,
        }
    }
}

/// A request and its crashes in a row so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub digest: RequestDigest,
    /// Crashes, each of a run that began after the one before was known.
    pub crashes: u32,
}

/// A request in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub digest: RequestDigest,
    /// Since when, Unix time in ms by the clock of the gateway that saw it.
    #[serde(rename = "since_ms")]
    pub since: Millis,
}

/// What gateways tell each other of crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Requests that have crashed runners.
    pub suspects: Vec<Suspect>,
    /// Requests that are run no more.
    pub quarantined: Vec<Quarantined>,
    /// Requests that were answered after all.
    pub cleared: Vec<RequestDigest>,
}

impl CrashUpdate {
    /// True when it says nothing.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantined.is_empty() && self.cleared.is_empty()
    }

    /// Adds what other news say; they are the later ones.
    pub fn merge(&mut self, later: CrashUpdate) {
        self.suspects.retain(|suspect| !later.cleared.contains(&suspect.digest));
        for suspect in later.suspects {
            self.suspects.retain(|known| known.digest != suspect.digest);
            self.cleared.retain(|cleared| *cleared != suspect.digest);
            self.suspects.push(suspect);
        }
        for held in later.quarantined {
            self.quarantined.retain(|known| known.digest != held.digest);
            self.quarantined.push(held);
        }
        for digest in later.cleared {
            self.cleared.retain(|known| *known != digest);
            self.cleared.push(digest);
        }
    }
}

/// What a crash means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may run again.
    Suspected {
        /// Its crashes in a row.
        crashes: u32,
    },
    /// It is run no more from now on.
    Quarantined,
    /// It was in quarantine already.
    Known,
}

#[derive(Clone, Copy, Debug)]
struct Crashes {
    in_row: u32,
    at: Millis,
}

/// The requests that have crashed runners, as one gateway knows them.
///
/// ```
/// use bulrushusher_routing::{Quarantine, QuarantineConfig, RequestDigest, CrashVerdict};
/// use bulrushusher_time::Millis;
/// let mut quarantine = Quarantine::new(QuarantineConfig::default());
/// let digest = RequestDigest::of([b"/gen/x".as_slice()]);
/// // Two runners end together while they run it: one crash.
/// let before = quarantine.crash_count(digest);
/// assert_eq!(quarantine.record_crash(digest, before, Millis(50)), CrashVerdict::Suspected { crashes: 1 });
/// assert_eq!(quarantine.record_crash(digest, before, Millis(51)), CrashVerdict::Suspected { crashes: 1 });
/// // It is sent again, and another one ends.
/// let before = quarantine.crash_count(digest);
/// assert_eq!(quarantine.record_crash(digest, before, Millis(900)), CrashVerdict::Quarantined);
/// assert!(quarantine.remaining(digest, Millis(1_000)).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    suspects: HashMap<RequestDigest, Crashes>,
    held: HashMap<RequestDigest, Millis>,
}

impl Quarantine {
    /// No request has crashed a runner.
    pub fn new(cfg: QuarantineConfig) -> Quarantine {
        Quarantine { cfg, suspects: HashMap::new(), held: HashMap::new() }
    }

    /// Takes other bounds.
    pub fn reconfigure(&mut self, cfg: QuarantineConfig) {
        self.cfg = cfg;
    }

    /// True when a runner that ended so long after it began a request may have ended on it.
    pub fn in_crash_window(&self, ran_for: Millis) -> bool {
        ran_for <= self.cfg.crash_window
    }

    /// A request's crashes in a row; to be asked when it is sent to a runner.
    pub fn crash_count(&self, digest: RequestDigest) -> u32 {
        self.suspects.get(&digest).map_or(0, |crashes| crashes.in_row)
    }

    /// A runner ended on a request. `before` is what [`Quarantine::crash_count`] told when the request was
    /// sent to it.
    pub fn record_crash(&mut self, digest: RequestDigest, before: u32, now: Millis) -> CrashVerdict {
        if self.remaining(digest, now).is_some() {
            return CrashVerdict::Known;
        }
        let crashes = before.saturating_add(1).max(self.crash_count(digest));
        self.suspect(Suspect { digest, crashes }, now);
        match self.remaining(digest, now) {
            Some(_) => CrashVerdict::Quarantined,
            None => CrashVerdict::Suspected { crashes },
        }
    }

    /// A request was answered; true when it was suspected, which peers should know.
    pub fn record_answer(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Takes in a peer's news. Returns what is known of the same requests beyond them, for the peer.
    pub fn apply_update(&mut self, news: &CrashUpdate, now: Millis) -> CrashUpdate {
        for digest in news.cleared.iter().take(self.cfg.max_entries) {
            self.suspects.remove(digest);
        }
        for held in news.quarantined.iter().take(self.cfg.max_entries) {
            self.insert(*held, now);
        }
        let mut beyond = CrashUpdate::default();
        for suspect in news.suspects.iter().take(self.cfg.max_entries) {
            let known = self.crash_count(suspect.digest);
            self.suspect(*suspect, now);
            if let Some(held) = self.held(suspect.digest, now) {
                beyond.quarantined.push(held);
            } else if known > suspect.crashes {
                beyond.suspects.push(Suspect { digest: suspect.digest, crashes: known });
            }
        }
        beyond
    }

    /// A request is in quarantine; true when that was not known.
    pub fn insert(&mut self, held: Quarantined, now: Millis) -> bool {
        let Quarantined { digest, since } = held;
        // Another gateway's clock may be ahead.
        let since = since.min(now);
        if now.since(since) >= self.cfg.duration {
            return false;
        }
        self.suspects.remove(&digest);
        let lasts = self.cfg.duration;
        self.held.retain(|_, since| now.since(*since) < lasts);
        let is_new = self.held.insert(digest, since).is_none();
        if self.held.len() > self.cfg.max_entries {
            forget_oldest(&mut self.held, |since| *since);
        }
        is_new
    }

    /// How long a request is still kept from runners.
    pub fn remaining(&self, digest: RequestDigest, now: Millis) -> Option<Millis> {
        let since = self.held.get(&digest)?;
        Some(since.plus(self.cfg.duration).since(now)).filter(|left| *left > Millis(0))
    }

    /// All requests in quarantine, oldest first.
    pub fn entries(&self, now: Millis) -> Vec<Quarantined> {
        let mut all: Vec<Quarantined> =
            self.held.keys().filter_map(|digest| self.held(*digest, now)).collect();
        all.sort_by_key(|held| (held.since, held.digest));
        all
    }

    fn held(&self, digest: RequestDigest, now: Millis) -> Option<Quarantined> {
        self.remaining(digest, now)?;
        Some(Quarantined { digest, since: *self.held.get(&digest)? })
    }

    fn suspect(&mut self, suspect: Suspect, now: Millis) {
        let Suspect { digest, crashes } = suspect;
        if self.remaining(digest, now).is_some() {
            return;
        }
        if crashes >= self.cfg.crash_threshold {
            self.insert(Quarantined { digest, since: now }, now);
            return;
        }
        let remembered = self.cfg.suspect_ttl;
        self.suspects.retain(|_, crashes| now.since(crashes.at) < remembered);
        let in_row = crashes.max(self.crash_count(digest));
        self.suspects.insert(digest, Crashes { in_row, at: now });
        if self.suspects.len() > self.cfg.max_entries {
            forget_oldest(&mut self.suspects, |crashes| crashes.at);
        }
    }
}

fn forget_oldest<T>(known: &mut HashMap<RequestDigest, T>, at: impl Fn(&T) -> Millis) {
    let oldest = known.iter().min_by_key(|(digest, known)| (at(known), **digest));
    if let Some(digest) = oldest.map(|(digest, _)| *digest) {
        known.remove(&digest);
    }
}
