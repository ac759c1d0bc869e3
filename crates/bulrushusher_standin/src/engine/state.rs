//! The engine's tables, shared by its tasks under one lock.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use bulrushusher_time::{Clock, Millis};
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use super::cache::PrefixCache;
use super::{Counts, EngineConfig, LoadReport, RunCount};

/// Finished runs kept so that their streams can be resumed.
const MAX_FINISHED: usize = 4_096;
/// Load samples kept.
const MAX_SAMPLES: usize = 256;

/// Faults that a test switches on and off.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// KV transfers out of this engine stand still.
    pub stalled_link: bool,
    /// Decode steps stand still.
    pub frozen: bool,
    /// The engine ends when it begins a prompt with this mark, and is back at once.
    pub crashes_on: Option<&'static str>,
}

/// What became of a prefill result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fate {
    Held,
    Exported,
    Evicted,
}

#[derive(Debug)]
pub(super) struct KvResult {
    pub(super) mark: String,
    pub(super) tokens: usize,
    pub(super) computed: usize,
    pub(super) evict_at: Millis,
    pub(super) fate: watch::Sender<Fate>,
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
    pub(super) fn is_over(&self) -> bool {
        self.cancelled || self.produced >= self.max_tokens
    }
}

#[derive(Debug)]
pub(super) struct Tables {
    pub(super) keys: BTreeMap<String, RunCount>,
    pub(super) prefilled_tokens: u64,
    pub(super) wasted_tokens: u64,
    pub(super) kv: HashMap<u64, KvResult>,
    pub(super) next_kv: u64,
    pub(super) link_free_at: Millis,
    pub(super) places_taken: usize,
    pub(super) sequences: HashMap<String, Sequence>,
    pub(super) active: BTreeSet<String>,
    pub(super) finished: VecDeque<String>,
    pub(super) prefills_waiting: BTreeSet<(u64, u64)>,
    pub(super) prefill_running: bool,
    pub(super) next_turn: u64,
    pub(super) cache: PrefixCache,
    pub(super) samples: VecDeque<(Millis, LoadReport)>,
    pub(super) faults: Faults,
    pub(super) highest_fence: u64,
    pub(super) orders: Vec<String>,
    pub(super) crashes: u64,
}

/// The engine.
#[derive(Debug)]
pub(super) struct EngineState {
    pub(super) cfg: EngineConfig,
    pub(super) clock: Clock,
    pub(super) tables: Mutex<Tables>,
    pub(super) work: Notify,
    pub(super) turn: Notify,
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
            places_taken: 0,
            sequences: HashMap::new(),
            active: BTreeSet::new(),
            finished: VecDeque::new(),
            prefills_waiting: BTreeSet::new(),
            prefill_running: false,
            next_turn: 0,
            cache: PrefixCache::new(&cfg),
            samples: VecDeque::new(),
            faults: Faults::default(),
            highest_fence: 0,
            orders: Vec::new(),
            crashes: 0,
        };
        EngineState {
            cfg,
            clock: Clock::system(),
            tables: Mutex::new(tables),
            work: Notify::new(),
            turn: Notify::new(),
        }
    }

    pub(super) fn counts(&self) -> Counts {
        let tables = self.tables.lock();
        Counts {
            keys: tables.keys.clone(),
            prefilled_tokens: tables.prefilled_tokens,
            wasted_tokens: tables.wasted_tokens,
            held_places: tables.places_taken,
            held_kv: tables.kv.len(),
            orders: tables.orders.clone(),
            crashes: tables.crashes,
        }
    }

    /// The load as it was reported, `load_lag` ago.
    pub(super) fn lagged_load(&self) -> LoadReport {
        let now = self.clock.now();
        let tables = self.tables.lock();
        let old = tables.samples.iter().rev().find(|(at, _)| at.plus(self.cfg.load_lag) <= now);
        old.map(|(_, load)| *load).unwrap_or_default()
    }

    /// Takes a load sample and evicts results whose time is over.
    pub(super) fn tick(&self) {
        let now = self.clock.now();
        let mut tables = self.tables.lock();
        let load = LoadReport {
            running: tables.places_taken + usize::from(tables.prefill_running),
            waiting: tables.prefills_waiting.len(),
        };
        tables.samples.push_back((now, load));
        if tables.samples.len() > MAX_SAMPLES {
            tables.samples.pop_front();
        }
        let old: Vec<u64> =
            tables.kv.iter().filter(|(_, kv)| kv.evict_at <= now).map(|(id, _)| *id).collect();
        for id in old {
            tables.discard_kv(id);
        }
    }
}

impl Tables {
    /// Frees a result that nobody used.
    pub(super) fn discard_kv(&mut self, id: u64) {
        if let Some(kv) = self.kv.remove(&id) {
            self.wasted_tokens += kv.computed as u64;
            kv.fate.send(Fate::Evicted).ok();
        }
    }

    /// The engine ends and starts again: it knows nothing of its runs any more.
    pub(super) fn crash(&mut self) {
        self.crashes += 1;
        for run in std::mem::take(&mut self.active) {
            self.places_taken -= 1;
            log::info!("standin: run {run} ends with its engine");
        }
        self.finished.clear();
        for (_, sequence) in self.sequences.drain() {
            sequence.progress.notify_waiters();
        }
    }

    /// Frees the place of a sequence that is over, and remembers it for resumes.
    pub(super) fn retire(&mut self, run: &str) {
        if !self.active.remove(run) {
            return;
        }
        self.places_taken -= 1;
        self.finished.push_back(run.to_owned());
        if self.finished.len() > MAX_FINISHED
            && let Some(oldest) = self.finished.pop_front()
        {
            self.sequences.remove(&oldest);
        }
    }
}
