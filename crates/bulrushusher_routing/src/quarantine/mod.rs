//! The quarantine of requests that crash runners.
//!
//! A request may crash every runner that starts it, because of its whole content or because of a part
//! of its prompt that other requests have too. Callers retry with a new identity and at any gateway, so
//! crashes are recorded by keys: the digest of the whole request, and each part of the prompt but the
//! last one, which no other request has. All gateways share the records.
//!
//! A crash counts if the runner's process ended shortly after it had begun to answer the request. A
//! further crash counts only if the request was sent after the previous crash was known: when runners
//! end together, that is no evidence against any of the requests that they ran, and a crash that
//! several gateways observe counts once. A run that outlives the crash window clears all keys of its
//! request.
//!
//! Sound requests share parts with those that crash runners. A part is quarantined after a few crashes
//! in a row without a sound run, if meanwhile runs without it outlive the window; while several parts
//! cannot be told apart, only requests with all of them are refused.

use std::collections::HashMap;
use std::sync::Arc;

use bulrushusher_time::Millis;

mod keys;
mod sound;
mod update;

pub use keys::{CrashKey, CrashKeyError, KeySet, RequestKeys};
use sound::SoundParts;
pub use update::{CrashUpdate, Quarantined, Suspect};

/// When a request is quarantined, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuarantineConfig {
    /// A runner that ends within this time after it started a request may have crashed on it.
    pub crash_window: Millis,
    /// Consecutive crashes that put a whole request into quarantine.
    pub crash_threshold: u32,
    /// Consecutive crashes that put a part of prompts into quarantine that no runner is known to have
    /// survived.
    pub part_threshold: u32,
    /// The same for a part that runners have survived before, and while no run of any prompt outlives
    /// the crash window: then all that begins is cut off, and nothing tells the parts apart.
    pub sound_part_threshold: u32,
    /// Time from the first crash to a quarantine while no run of any request outlives the crash window.
    pub no_contrast_wait: Millis,
    /// How long the crashes of a key are kept after the last one.
    pub suspect_ttl: Millis,
    /// How long a quarantine lasts.
    pub duration: Millis,
    /// Maximum number of suspects, and also of entries in quarantine. Suspects with the fewest crashes
    /// are evicted first, then the oldest.
    pub max_entries: usize,
    /// Maximum number of parts of which it is kept that runners have survived them.
    pub max_sound_parts: usize,
}

impl Default for QuarantineConfig {
    /// An engine that a request crashes ends with the first token or two, some 50 ms after the
    /// start; the crash window of ten times that allows for a slow engine. Few runs are that young
    /// at any moment, so a second consecutive crash is no coincidence for one request. Many requests
    /// have a part in common, and some part is new at each moment, so that a coincidence is more
    /// likely there. Each further crash costs the caller nothing, but some ten other requests lose
    /// their answers. Callers retry a failed request within seconds or some minutes, which the suspect
    /// TTL covers. A quarantine of an hour gives the owner time to change the request; losing a few
    /// runners per such request and hour is acceptable.
    fn default() -> QuarantineConfig {
        QuarantineConfig {
            crash_window: Millis(500),
            crash_threshold: 2,
            part_threshold: 3,
            sound_part_threshold: 5,
            no_contrast_wait: Millis(2_000),
            suspect_ttl: Millis(600_000),
            duration: Millis(3_600_000),
            max_entries: 512,
            max_sound_parts: 8_192,
        }
    }
}

/// A request as it was sent to a runner, for [`Quarantine::record_crash`].
#[derive(Clone, Debug)]
pub struct SentRequest {
    keys: RequestKeys,
    sent_at: Millis,
    /// Consecutive crashes of each key that were known then; empty if there were none.
    crashes: Arc<[u32]>,
}

impl SentRequest {
    /// The request's keys.
    pub fn keys(&self) -> &RequestKeys {
        &self.keys
    }

    /// The request's keys, with the consecutive crashes that were known when it was sent.
    fn known_crashes(&self) -> impl Iterator<Item = (CrashKey, u32)> {
        let crashes = self.crashes.iter().copied().chain(std::iter::repeat(0));
        self.keys.iter().zip(crashes)
    }
}

/// The effect of a crash on the keys of its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// The request may run again.
    Suspected {
        /// Consecutive crashes of each of its keys that is suspected.
        suspects: Vec<Suspect>,
    },
    /// Keys of the request were put into quarantine by this crash.
    Quarantined {
        /// The new entries.
        entries: Vec<Quarantined>,
        /// Consecutive crashes of each suspected key, including the ones in quarantine.
        suspects: Vec<Suspect>,
    },
    /// The request was in quarantine already.
    Known,
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuarantineMatch {
    /// The entry that applies to it.
    pub entry: Quarantined,
    /// Time until the quarantine ends.
    pub remaining: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Crashes {
    consecutive: u32,
    first_at: Millis,
    last_at: Millis,
    /// True if a runner has survived a prompt without the key since the first of them.
    has_contrast: bool,
}

/// The quarantine of a set of keys.
#[derive(Clone, Copy, Debug)]
struct Verdict {
    since: Millis,
    /// Consecutive crashes by which it was decided.
    crashes: u32,
}

/// One gateway's record of the requests that have crashed runners.
///
/// ```
/// use bulrushusher_routing::{CrashVerdict, Quarantine, QuarantineConfig, RequestDigest, RequestKeys};
/// use bulrushusher_time::Millis;
/// let mut quarantine = Quarantine::new(QuarantineConfig::default());
/// let keys = RequestKeys::from(RequestDigest::of([b"/gen/x".as_slice()]));
/// // Two runners that end together while they run the request count as one crash.
/// let sent = quarantine.record_send(&keys, Millis(0));
/// let first = quarantine.record_crash(&sent, Millis(50));
/// assert!(matches!(first, CrashVerdict::Suspected { .. }));
/// assert_eq!(quarantine.record_crash(&sent, Millis(51)), first);
/// // The request is sent again, and another runner ends.
/// let sent = quarantine.record_send(&keys, Millis(800));
/// let verdict = quarantine.record_crash(&sent, Millis(900));
/// assert!(matches!(verdict, CrashVerdict::Quarantined { .. }));
/// assert!(quarantine.find(&keys, Millis(1_000)).is_some());
/// ```
#[derive(Clone, Debug)]
pub struct Quarantine {
    cfg: QuarantineConfig,
    suspects: HashMap<CrashKey, Crashes>,
    sound: SoundParts,
    verdicts: HashMap<KeySet, Verdict>,
}

impl Quarantine {
    /// An empty record.
    pub fn new(cfg: QuarantineConfig) -> Quarantine {
        Quarantine {
            cfg,
            suspects: HashMap::new(),
            sound: SoundParts::default(),
            verdicts: HashMap::new(),
        }
    }

    /// Replaces the configuration.
    pub fn reconfigure(&mut self, cfg: QuarantineConfig) {
        self.cfg = cfg;
    }

    /// True if a runner that ended `ran_for` after it began to answer a request may have crashed on
    /// it.
    pub fn in_crash_window(&self, ran_for: Millis) -> bool {
        ran_for <= self.cfg.crash_window
    }

    /// A key's consecutive crashes.
    pub fn crash_count(&self, key: impl Into<CrashKey>) -> u32 {
        self.suspects.get(&key.into()).map_or(0, |crashes| crashes.consecutive)
    }

    /// Records that a request is sent to a runner.
    pub fn record_send(&self, keys: &RequestKeys, now: Millis) -> SentRequest {
        let is_live = |it: &&Crashes| now.since(it.last_at) < self.cfg.suspect_ttl;
        let count = |key| self.suspects.get(&key).filter(is_live).map_or(0, |it| it.consecutive);
        let crashes: Vec<u32> = match self.suspects.is_empty() {
            true => Vec::new(),
            false => keys.iter().map(count).collect(),
        };
        SentRequest { keys: keys.clone(), sent_at: now, crashes: crashes.into() }
    }

    /// Records that a runner ended while it ran a request.
    pub fn record_crash(&mut self, sent: &SentRequest, now: Millis) -> CrashVerdict {
        if self.find(&sent.keys, now).is_some() {
            return CrashVerdict::Known;
        }
        self.expire_suspects(now);
        let mut suspects = Vec::new();
        for (key, before) in sent.known_crashes() {
            let sound = self.sound.get(key);
            // Another runner has survived the part meanwhile.
            if sound.is_some_and(|runs| runs.last_at >= sent.sent_at) {
                continue;
            }
            let crashes = before.saturating_add(1).max(self.crash_count(key));
            let known = self.suspects.get(&key);
            let suspect = Suspect {
                key,
                crashes,
                was_sound: sound.is_some(),
                has_contrast: known.is_some_and(|known| known.has_contrast),
                since: known.map_or(now, |known| known.first_at),
            };
            self.insert_suspect(suspect, now);
            suspects.push(suspect);
        }
        let entries = self.quarantine_due(&suspects, now);
        match entries.is_empty() {
            true => CrashVerdict::Suspected { suspects },
            false => CrashVerdict::Quarantined { entries, suspects },
        }
    }

    /// Records that a runner survived a request: it answered in full, or beyond the crash window.
    /// Returns the keys that were suspects or in quarantine; peers then have to clear them too.
    pub fn record_sound_run(&mut self, keys: &RequestKeys, now: Millis) -> Vec<CrashKey> {
        for key in keys.iter().filter(|key| matches!(key, CrashKey::Part(_))) {
            self.sound.record(key, self.cfg.max_sound_parts, now);
        }
        let keys: Vec<CrashKey> = keys.iter().collect();
        self.record_contrast(&keys);
        self.clear(&keys)
    }

    /// Applies a peer's update. Returns what the update lacks about the same keys, to be sent back to
    /// the peer.
    pub fn apply_update(&mut self, update: &CrashUpdate, now: Millis) -> CrashUpdate {
        let max = self.cfg.max_entries;
        let cleared = &update.cleared[..update.cleared.len().min(max)];
        for key in cleared.iter().filter(|key| matches!(key, CrashKey::Part(_))) {
            self.sound.record_elsewhere(*key, self.cfg.max_sound_parts, now);
        }
        self.record_contrast(cleared);
        self.clear(cleared);
        let mut missing = CrashUpdate::default();
        for entry in update.quarantined.iter().take(max) {
            let survived: Vec<CrashKey> =
                entry.keys.iter().filter(|k| self.survived(*k, entry)).collect();
            self.insert(entry, now);
            missing.cleared.extend(survived);
        }
        self.expire_suspects(now);
        for suspect in update.suspects.iter().take(max) {
            let known = self.crash_count(suspect.key);
            let was_sound = self.was_sound(suspect.key);
            self.insert_suspect(*suspect, now);
            if known > suspect.crashes || (was_sound && !suspect.was_sound) {
                let crashes = known.max(suspect.crashes);
                missing.suspects.push(Suspect { crashes, was_sound, ..*suspect });
            }
        }
        let suspects = update.suspects.iter().take(max);
        let keys: Vec<CrashKey> = suspects.map(|suspect| suspect.key).collect();
        missing.quarantined = self.entries(now);
        missing.quarantined.retain(|entry| {
            entry.keys.iter().all(|key| keys.contains(&key))
                && update.quarantined.iter().all(|it| it.keys != entry.keys)
        });
        missing
    }

    /// Puts keys into quarantine. Returns true if they were not there before; false also if the
    /// quarantine has ended already, or if runners have survived all of the keys since it began.
    pub fn insert(&mut self, entry: &Quarantined, now: Millis) -> bool {
        // The clock of another gateway may be ahead.
        let since = entry.since.min(now);
        let survived: Vec<CrashKey> =
            entry.keys.iter().filter(|key| self.survived(*key, entry)).collect();
        let duration = self.cfg.duration;
        let Some(keys) = entry.keys.without(&survived).filter(|_| now.since(since) < duration)
        else {
            return false;
        };
        self.verdicts.retain(|_, verdict| now.since(verdict.since) < duration);
        // A set with fewer keys refuses more requests, so the others that contain it are not needed.
        let is_in = |keys: &KeySet, other: &KeySet| keys.iter().all(|key| other.contains(key));
        if self.verdicts.keys().any(|it| *it != keys && is_in(it, &keys)) {
            return false;
        }
        self.verdicts.retain(|it, _| *it == keys || !is_in(&keys, it));
        if let Some(key @ CrashKey::Request(_)) = keys.sole() {
            self.suspects.remove(&key);
        }
        let verdict = Verdict { since, crashes: entry.crashes };
        let is_new = self.verdicts.insert(keys, verdict).is_none();
        if self.verdicts.len() > self.cfg.max_entries {
            let oldest = self.verdicts.iter().min_by_key(|(keys, it)| (it.since, *keys));
            if let Some(oldest) = oldest.map(|(keys, _)| keys.clone()) {
                self.verdicts.remove(&oldest);
            }
        }
        is_new
    }

    /// Removes the entries whose keys are all in `released`, with what was recorded against them. Returns
    /// the entries.
    pub fn release(&mut self, released: &KeySet) -> Vec<KeySet> {
        let is_released = |keys: &KeySet| keys.iter().all(|key| released.contains(key));
        let gone: Vec<KeySet> =
            self.verdicts.keys().filter(|it| is_released(it)).cloned().collect();
        self.verdicts.retain(|keys, _| !is_released(keys));
        for key in gone.iter().flat_map(KeySet::iter) {
            self.suspects.remove(&key);
        }
        gone
    }

    /// The entry because of which a request is refused; `None` if it may run.
    pub fn find(&self, keys: &RequestKeys, now: Millis) -> Option<QuarantineMatch> {
        let matching = self.verdicts.iter().filter(|(set, _)| set.matches(keys));
        let (set, verdict) = matching.max_by_key(|(_, verdict)| verdict.since)?;
        let remaining = verdict.since.plus(self.cfg.duration).since(now);
        let entry = to_entry(set, verdict);
        (remaining > Millis(0)).then_some(QuarantineMatch { entry, remaining })
    }

    /// All entries in quarantine, oldest first.
    pub fn entries(&self, now: Millis) -> Vec<Quarantined> {
        let lasts = |verdict: &Verdict| verdict.since.plus(self.cfg.duration) > now;
        let lasting = self.verdicts.iter().filter(|(_, verdict)| lasts(verdict));
        let mut all: Vec<Quarantined> =
            lasting.map(|(keys, verdict)| to_entry(keys, verdict)).collect();
        all.sort_by(|a, b| (a.since, &a.keys).cmp(&(b.since, &b.keys)));
        all
    }

    /// The parts of prompts with at least `crashes` consecutive crashes.
    pub fn suspected_parts(&self, crashes: u32) -> Vec<Suspect> {
        let suspects = self.suspects.iter().filter(|(_, it)| it.consecutive >= crashes);
        let parts = suspects.filter(|(key, _)| matches!(key, CrashKey::Part(_)));
        let mut parts: Vec<Suspect> = parts
            .map(|(key, it)| Suspect {
                key: *key,
                crashes: it.consecutive,
                was_sound: self.was_sound(*key),
                has_contrast: it.has_contrast,
                since: it.first_at,
            })
            .collect();
        parts.sort_unstable_by_key(|suspect| suspect.key);
        parts
    }

    /// Number of runs with the key that this gateway has seen outlive the crash window.
    pub fn sound_runs(&self, key: CrashKey) -> u64 {
        self.sound.get(key).map_or(0, |runs| runs.count)
    }

    /// True if runners are known to have survived the key.
    pub fn was_sound(&self, key: CrashKey) -> bool {
        self.sound.get(key).is_some()
    }

    /// Records a key's crashes, as another gateway or the store has them.
    pub fn add_suspect(&mut self, suspect: Suspect, now: Millis) {
        self.expire_suspects(now);
        self.insert_suspect(suspect, now);
    }

    fn insert_suspect(&mut self, suspect: Suspect, now: Millis) {
        let Suspect { key, crashes, was_sound, has_contrast, since } = suspect;
        if was_sound && !self.was_sound(key) {
            self.sound.record_elsewhere(key, self.cfg.max_sound_parts, Millis(0));
        }
        // The clock of another gateway may be ahead.
        let first_at = since.min(now);
        let first = Crashes { consecutive: 0, first_at, last_at: now, has_contrast };
        let known = self.suspects.entry(key).or_insert(first);
        known.has_contrast |= has_contrast;
        known.consecutive = known.consecutive.max(crashes);
        known.first_at = known.first_at.min(first_at);
        known.last_at = now;
        if self.suspects.len() > self.cfg.max_entries {
            let rank = |(key, it): &(&CrashKey, &Crashes)| (it.consecutive, it.last_at, **key);
            if let Some(weakest) = self.suspects.iter().min_by_key(rank).map(|(key, _)| *key) {
                self.suspects.remove(&weakest);
            }
        }
    }

    /// Puts those suspects into quarantine that have enough crashes: the whole request, and the parts as
    /// one entry, since any of them may be the one that crashes runners.
    fn quarantine_due(&mut self, suspects: &[Suspect], now: Millis) -> Vec<Quarantined> {
        let is_due = |suspect: &&Suspect| self.is_due(suspect, now);
        let (requests, parts): (Vec<CrashKey>, Vec<CrashKey>) = suspects
            .iter()
            .filter(is_due)
            .map(|suspect| suspect.key)
            .partition(|key| matches!(key, CrashKey::Request(_)));
        let sets = [requests, parts].into_iter().filter(|keys| !keys.is_empty());
        let crashes = suspects.iter().map(|suspect| suspect.crashes).max().unwrap_or(0);
        let entries =
            sets.map(|keys| Quarantined { keys: KeySet::from(keys), since: now, crashes });
        entries.filter(|entry| self.insert(entry, now)).collect()
    }

    fn expire_suspects(&mut self, now: Millis) {
        let ttl = self.cfg.suspect_ttl;
        self.suspects.retain(|_, crashes| now.since(crashes.last_at) < ttl);
    }

    fn is_due(&self, suspect: &Suspect, now: Millis) -> bool {
        let is_part = matches!(suspect.key, CrashKey::Part(_));
        if !is_part {
            return suspect.crashes >= self.cfg.crash_threshold;
        }
        if !suspect.has_contrast {
            return suspect.crashes >= self.cfg.sound_part_threshold
                && now.since(suspect.since) >= self.cfg.no_contrast_wait;
        }
        let threshold = match suspect.was_sound {
            true => self.cfg.sound_part_threshold,
            false => self.cfg.part_threshold,
        };
        suspect.crashes >= threshold
    }

    /// True if a run with the key has outlived the crash window after the entry was made.
    fn survived(&self, key: CrashKey, entry: &Quarantined) -> bool {
        self.sound.get(key).is_some_and(|runs| runs.last_at > entry.since)
    }

    /// Records that a runner survived a prompt with the keys, which tells them from the other suspects.
    fn record_contrast(&mut self, keys: &[CrashKey]) {
        if keys.iter().any(|key| matches!(key, CrashKey::Part(_))) {
            let others = self.suspects.iter_mut().filter(|(key, _)| !keys.contains(key));
            others.for_each(|(_, crashes)| crashes.has_contrast = true);
        }
    }

    /// Clears keys. Returns those that were suspects or in quarantine.
    fn clear(&mut self, keys: &[CrashKey]) -> Vec<CrashKey> {
        let is_quarantined = |key: &CrashKey| self.verdicts.keys().any(|it| it.contains(*key));
        let mut cleared: Vec<CrashKey> = keys.iter().copied().filter(is_quarantined).collect();
        if !cleared.is_empty() {
            let sets = std::mem::take(&mut self.verdicts);
            let left = sets.into_iter().filter_map(|(set, it)| Some((set.without(&cleared)?, it)));
            self.verdicts = left.collect();
        }
        for key in keys {
            if self.suspects.remove(key).is_some() && !cleared.contains(key) {
                cleared.push(*key);
            }
        }
        cleared
    }
}

fn to_entry(keys: &KeySet, verdict: &Verdict) -> Quarantined {
    Quarantined { keys: keys.clone(), since: verdict.since, crashes: verdict.crashes }
}
