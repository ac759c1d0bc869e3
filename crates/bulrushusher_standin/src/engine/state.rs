//! State of the engine, shared by its tasks under one lock.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use bulrushusher_time::{Clock, Millis};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::cache::PrefixCache;
use super::{Counts, EngineConfig, LoadReport, RunCount};

/// Finished runs that are kept so that their streams can be resumed.
const MAX_FINISHED: usize = 4_096;
/// Load samples that are kept.
const MAX_SAMPLES: usize = 256;

/// Faults that a test can inject.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// KV transfers out of this engine make no progress.
    pub stalled_link: bool,
    /// Decoding makes no progress.
    pub frozen: bool,
    /// The engine crashes when it starts to decode a prompt with this mark, and restarts
    /// immediately.
    pub crashes_on: Option<&'static str>,
}

/// State of a prefill result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum KvState {
    Held,
    Exported,
    Evicted,
}

#[derive(Debug)]
pub(super) struct PrefillResult {
    pub(super) mark: String,
    pub(super) tokens: usize,
    pub(super) computed: usize,
    pub(super) evict_at: Millis,
    pub(super) state: watch::Sender<KvState>,
}

#[derive(Debug)]
pub(super) struct Sequence {
    pub(super) mark: String,
    pub(super) max_tokens: usize,
    pub(super) produced: usize,
    pub(super) cancelled: bool,
    pub(super) progress: Arc<Notify>,
}

impl Sequence {
    pub(super) fn is_finished(&self) -> bool {
        self.cancelled || self.produced >= self.max_tokens
    }
}

#[derive(Debug)]
pub(super) struct Tables {
    pub(super) keys: BTreeMap<String, RunCount>,
    pub(super) prefilled_tokens: u64,
    pub(super) wasted_tokens: u64,
    pub(super) kv: HashMap<u64, PrefillResult>,
    pub(super) next_kv: u64,
    pub(super) link_free_at: Millis,
    pub(super) slots_used: usize,
    pub(super) sequences: HashMap<String, Sequence>,
    pub(super) active: BTreeSet<String>,
    pub(super) finished: VecDeque<String>,
    pub(super) queued_prefills: BTreeSet<(u64, u64)>,
    pub(super) prefill_running: bool,
    pub(super) next_ticket: u64,
    pub(super) cache: PrefixCache,
    pub(super) samples: VecDeque<(Millis, LoadReport)>,
    pub(super) faults: Faults,
    pub(super) max_fence: u64,
    pub(super) orders: Vec<String>,
    pub(super) crashes: u64,
}

/// Configuration and state of an engine.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) cfg: EngineConfig,
    pub(super) clock: Clock,
    pub(super) tables: Mutex<Tables>,
    /// Notified when a sequence starts.
    pub(super) sequence_started: Notify,
    /// Notified when the prefill queue changes.
    pub(super) prefill_queue_changed: Notify,
}

impl EngineState {
    pub(super) fn new(cfg: EngineConfig) -> EngineState {
        let tables = Tables {
            keys: BTreeMap::new(),
            prefilled_tokens: 0,
            wasted_tokens: 0,
            kv: HashMap::new(),
            next_kv: 1,
            link_free_at: Millis(0),
            slots_used: 0,
            sequences: HashMap::new(),
            active: BTreeSet::new(),
            finished: VecDeque::new(),
            queued_prefills: BTreeSet::new(),
            prefill_running: false,
            next_ticket: 0,
            cache: PrefixCache::new(&cfg),
            samples: VecDeque::new(),
            faults: Faults::default(),
            max_fence: 0,
            orders: Vec::new(),
            crashes: 0,
        };
        EngineState {
            cfg,
            clock: Clock::system(),
            tables: Mutex::new(tables),
            sequence_started: Notify::new(),
            prefill_queue_changed: Notify::new(),
        }
    }

    pub(super) fn counts(&self) -> Counts {
        let tables = self.tables.lock();
        Counts {
            keys: tables.keys.clone(),
            prefilled_tokens: tables.prefilled_tokens,
            wasted_tokens: tables.wasted_tokens,
            held_places: tables.slots_used,
            held_kv: tables.kv.len(),
            orders: tables.orders.clone(),
            crashes: tables.crashes,
        }
    }

    /// The most recent load sample that is at least `load_lag` old.
    pub(super) fn lagged_load(&self) -> LoadReport {
        let now = self.clock.now();
        let tables = self.tables.lock();
        let sample = tables.samples.iter().rev().find(|(at, _)| at.plus(self.cfg.load_lag) <= now);
        sample.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Takes a load sample and evicts expired prefill results.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        let load = LoadReport {
            running: tables.slots_used + usize::from(tables.prefill_running),
            waiting: tables.queued_prefills.len(),
        };
        tables.samples.push_back((now, load));
        if tables.samples.len() > MAX_SAMPLES {
            tables.samples.pop_front();
        }
        let expired: Vec<u64> =
            tables.kv.iter().filter(|(_, kv)| kv.evict_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            tables.discard_kv(id);
        }
    }
}

impl Tables {
    /// Evicts a prefill result and counts its computed tokens as wasted.
    pub(super) fn discard_kv(&mut self, id: u64) {
        if let Some(kv) = self.kv.remove(&id) {
            self.wasted_tokens += kv.computed as u64;
            kv.state.send(KvState::Evicted).ok();
        }
    }

    /// Simulates a crash and restart: all decode runs are lost.
    pub(super) fn crash(&mut self) {
        self.crashes += 1;
        for run in std::mem::take(&mut self.active) {
            self.slots_used -= 1;
            log::info!("standin: run {run} lost in a simulated engine crash");
        }
        self.finished.clear();
        for (_, sequence) in self.sequences.drain() {
            sequence.progress.notify_waiters();
        }
    }

    /// Frees the slot of a finished or cancelled sequence and keeps its tokens for resumes.
    pub(super) fn finish_sequence(&mut self, run: &str) {
        if !self.active.remove(run) {
            return;
        }
        self.slots_used -= 1;
        self.finished.push_back(run.to_owned());
        if self.finished.len() > MAX_FINISHED
            && let Some(oldest) = self.finished.pop_front()
        {
            self.sequences.remove(&oldest);
        }
    }
}
