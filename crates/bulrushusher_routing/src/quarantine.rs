//! The quarantine of requests that crash runners.
//!
//! A request may crash every runner that starts it. Its caller retries it with a new identity and
//! at any gateway, so crashes are recorded by the digest of the request and shared among all
//! gateways. A crash counts if the runner's process ended shortly after it had started the request.
//! A further crash counts only if the request was sent after the previous crash was known: when
//! runners end together, that is no evidence against any of the requests that they ran. An answer
//! clears the request.

use std::collections::HashMap;

use bulrushusher_time::Millis;
use serde::{Deserialize, Serialize};

use crate::RequestDigest;

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// A runner that ends within this time after it started a request may have crashed on it.
    pub crash_window: Millis,
    /// Consecutive crashes that put a request into quarantine.
    pub crash_threshold: u32,
    /// How long a request's crashes are kept after the last one.
    pub suspect_ttl: Millis,
    /// How long a quarantine lasts.
    pub duration: Millis,
    /// Maximum number of suspects, and also of requests in quarantine; the oldest are evicted.
    pub max_entries: usize,
}

impl Default for QuarantineConfig {
    /// An engine that a request crashes ends with the first token or two, some 50 ms after the
    /// start; the crash window of ten times that allows for a slow engine. Few runs are that young
    /// at any moment, so a second consecutive crash is no coincidence. Each further crash costs the
    /// caller nothing, but some ten other requests lose their answers. Callers retry a failed
    /// request within seconds or some minutes, which the suspect TTL covers. A quarantine of an
    /// hour gives the owner time to change the request; losing one runner per such request and hour
    /// is acceptable.
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

/// A request with its consecutive crashes so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The request.
    pub digest: RequestDigest,
    /// Consecutive crashes, each of a run that started after the previous crash was known.
    pub crashes: u32,
}

/// A request in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
    /// The request.
    pub digest: RequestDigest,
    /// When the quarantine began: Unix time in ms by the clock of the gateway that decided it.
    #[serde(rename = "since_ms")]
    pub since: Millis,
}

/// Changes that gateways send each other about requests that crash runners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Requests that have crashed runners, but are not in quarantine.
    pub suspects: Vec<Suspect>,
    /// Requests in quarantine, which are not run.
    pub quarantined: Vec<Quarantined>,
    /// Former suspects that have been answered.
    pub cleared: Vec<RequestDigest>,
}

impl CrashUpdate {
    /// True if it contains no changes.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.quarantined.is_empty() && self.cleared.is_empty()
    }

    /// Merges a later update into this one.
    pub fn merge(&mut self, later: CrashUpdate) {
        self.suspects.retain(|suspect| !later.cleared.contains(&suspect.digest));
        for suspect in later.suspects {
            self.suspects.retain(|earlier| earlier.digest != suspect.digest);
            self.cleared.retain(|cleared| *cleared != suspect.digest);
            self.suspects.push(suspect);
        }
        for entry in later.quarantined {
            self.quarantined.retain(|earlier| earlier.digest != entry.digest);
            self.quarantined.push(entry);
        }
        for digest in later.cleared {
            self.cleared.retain(|earlier| *earlier != digest);
            self.cleared.push(digest);
        }
    }
}

/// The effect of a crash on its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run again.
    Suspected {
        /// Its consecutive crashes.
        crashes: u32,
    },
    /// The request was put into quarantine by this crash.
    Quarantined,
    /// The request was in quarantine already.
    Known,
}

#[derive(Clone, Copy, Debug)]
struct Crashes {
    consecutive: u32,
    last_at: Millis,
}

/// One gateway's record of the requests that have crashed runners.
///
/// ```
/// use bulrushusher_routing::{CrashVerdict, Quarantine, QuarantineConfig, RequestDigest};
/// use bulrushusher_time::Millis;
/// let mut quarantine = Quarantine::new(QuarantineConfig::default());
/// let digest = RequestDigest::of([b"/gen/x".as_slice()]);
/// // Two runners that end together while they run the request count as one crash.
/// let before = quarantine.crash_count(digest);
/// let suspected = CrashVerdict::Suspected { crashes: 1 };
/// assert_eq!(quarantine.record_crash(digest, before, Millis(50)), suspected);
/// assert_eq!(quarantine.record_crash(digest, before, Millis(51)), suspected);
/// // The request is sent again, and another runner ends.
/// let before = quarantine.crash_count(digest);
/// let verdict = quarantine.record_crash(digest, before, Millis(900));
/// assert_eq!(verdict, CrashVerdict::Quarantined);
/// assert!(quarantine.remaining(digest, Millis(1_000)).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    suspects: HashMap<RequestDigest, Crashes>,
    /// When the quarantine of each request began.
    quarantined_since: HashMap<RequestDigest, Millis>,
}

impl Quarantine {
    /// An empty record.
    pub fn new(cfg: QuarantineConfig) -> Quarantine {
        Quarantine { cfg, suspects: HashMap::new(), quarantined_since: HashMap::new() }
    }

    /// Replaces the configuration.
    pub fn reconfigure(&mut self, cfg: QuarantineConfig) {
        self.cfg = cfg;
    }

    /// True if a runner that ended `ran_for` after it started a request may have crashed on it.
    pub fn in_crash_window(&self, ran_for: Millis) -> bool {
        ran_for <= self.cfg.crash_window
    }

    /// A request's consecutive crashes. Read it when the request is sent to a runner, for
    /// [`Quarantine::record_crash`].
    pub fn crash_count(&self, digest: RequestDigest) -> u32 {
        self.suspects.get(&digest).map_or(0, |crashes| crashes.consecutive)
    }

    /// Records that a runner ended while it ran a request. `before` is the value of
    /// [`Quarantine::crash_count`] at the time when the request was sent to that runner.
    pub fn record_crash(
        &mut self,
        digest: RequestDigest,
        before: u32,
        now: Millis,
    ) -> CrashVerdict {
        if self.remaining(digest, now).is_some() {
            return CrashVerdict::Known;
        }
        let crashes = before.saturating_add(1).max(self.crash_count(digest));
        self.add_suspect(Suspect { digest, crashes }, now);
        match self.remaining(digest, now) {
            Some(_) => CrashVerdict::Quarantined,
            None => CrashVerdict::Suspected { crashes },
        }
    }

    /// Records that a request was answered. Returns true if it was a suspect; peers then have to
    /// clear it too.
    pub fn record_answer(&mut self, digest: RequestDigest) -> bool {
        self.suspects.remove(&digest).is_some()
    }

    /// Applies a peer's update. Returns what the update lacks about the same requests, to be sent
    /// back to the peer.
    pub fn apply_update(&mut self, update: &CrashUpdate, now: Millis) -> CrashUpdate {
        for digest in update.cleared.iter().take(self.cfg.max_entries) {
            self.suspects.remove(digest);
        }
        for entry in update.quarantined.iter().take(self.cfg.max_entries) {
            self.insert(*entry, now);
        }
        let mut missing = CrashUpdate::default();
        for suspect in update.suspects.iter().take(self.cfg.max_entries) {
            let known = self.crash_count(suspect.digest);
            self.add_suspect(*suspect, now);
            if let Some(entry) = self.entry(suspect.digest, now) {
                missing.quarantined.push(entry);
            } else if known > suspect.crashes {
                missing.suspects.push(Suspect { digest: suspect.digest, crashes: known });
            }
        }
        missing
    }

    /// Puts a request into quarantine. Returns true if it was not there before; false also if the
    /// quarantine has ended already.
    pub fn insert(&mut self, entry: Quarantined, now: Millis) -> bool {
        let Quarantined { digest, since } = entry;
        // The clock of another gateway may be ahead.
        let since = since.min(now);
        if now.since(since) >= self.cfg.duration {
            return false;
        }
        self.suspects.remove(&digest);
        let duration = self.cfg.duration;
        self.quarantined_since.retain(|_, since| now.since(*since) < duration);
        let is_new = self.quarantined_since.insert(digest, since).is_none();
        if self.quarantined_since.len() > self.cfg.max_entries {
            evict_oldest(&mut self.quarantined_since, |since| *since);
        }
        is_new
    }

    /// The remaining time of a request in quarantine; `None` if it may run.
    pub fn remaining(&self, digest: RequestDigest, now: Millis) -> Option<Millis> {
        let since = self.quarantined_since.get(&digest)?;
        Some(since.plus(self.cfg.duration).since(now)).filter(|left| *left > Millis(0))
    }

    /// All requests in quarantine, oldest first.
    pub fn entries(&self, now: Millis) -> Vec<Quarantined> {
        let mut all: Vec<Quarantined> =
            self.quarantined_since.keys().filter_map(|digest| self.entry(*digest, now)).collect();
        all.sort_by_key(|entry| (entry.since, entry.digest));
        all
    }

    fn entry(&self, digest: RequestDigest, now: Millis) -> Option<Quarantined> {
        self.remaining(digest, now)?;
        Some(Quarantined { digest, since: *self.quarantined_since.get(&digest)? })
    }

    fn add_suspect(&mut self, suspect: Suspect, now: Millis) {
        let Suspect { digest, crashes } = suspect;
        if self.remaining(digest, now).is_some() {
            return;
        }
        if crashes >= self.cfg.crash_threshold {
            self.insert(Quarantined { digest, since: now }, now);
            return;
        }
        let ttl = self.cfg.suspect_ttl;
        self.suspects.retain(|_, crashes| now.since(crashes.last_at) < ttl);
        let consecutive = crashes.max(self.crash_count(digest));
        self.suspects.insert(digest, Crashes { consecutive, last_at: now });
        if self.suspects.len() > self.cfg.max_entries {
            evict_oldest(&mut self.suspects, |crashes| crashes.last_at);
        }
    }
}

fn evict_oldest<T>(entries: &mut HashMap<RequestDigest, T>, at: impl Fn(&T) -> Millis) {
    let oldest = entries.iter().min_by_key(|(digest, entry)| (at(entry), **digest));
    if let Some(digest) = oldest.map(|(digest, _)| *digest) {
        entries.remove(&digest);
    }
}
