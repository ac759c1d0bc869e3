//! The prefix cache, and its delayed and lossy event log.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CacheEvent, EngineConfig};

/// Events that are kept for readers.
const MAX_EVENTS: usize = 4_096;

/// An LRU set of prompt blocks.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    loss: f64,
    delay: Millis,
    rng: ChaCha8Rng,
    used_at: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Millis, CacheEvent)>,
    next_event: u64,
}

impl PrefixCache {
    pub(super) fn new(cfg: &EngineConfig) -> PrefixCache {
        PrefixCache {
            capacity: cfg.cache_blocks,
            loss: cfg.event_loss,
            delay: cfg.event_delay,
            rng: ChaCha8Rng::seed_from_u64(cfg.seed),
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            uses: 0,
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    /// Length of the longest cached prefix of `blocks`, in blocks.
    pub(super) fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used_at.contains_key(block)).count()
    }

    /// Inserts the blocks, or marks them as most recently used, and evicts down to capacity.
    pub(super) fn store(&mut self, blocks: &[u64], now: Millis) {
        for block in blocks {
            self.uses += 1;
            match self.used_at.insert(*block, self.uses) {
                Some(before) => drop(self.by_use.remove(&before)),
                None => self.publish(*block, true, now),
            }
            self.by_use.insert(self.uses, *block);
        }
        while self.used_at.len() > self.capacity {
            let Some((_, block)) = self.by_use.pop_first() else { return };
            self.used_at.remove(&block);
            self.publish(block, false, now);
        }
    }

    /// Events after sequence number `after` that are published by `now`.
    pub(super) fn events(&self, after: u64, now: Millis) -> Vec<CacheEvent> {
        let is_published = |at: &Millis| at.plus(self.delay) <= now;
        let published = self.events.iter().filter(|(at, e)| e.number > after && is_published(at));
        published.map(|(_, event)| *event).collect()
    }

    fn publish(&mut self, block: u64, stored: bool, now: Millis) {
        let number = self.next_event;
        self.next_event += 1;
        if self.rng.random_bool(self.loss.clamp(0.0, 1.0)) {
            return;
        }
        self.events.push_back((now, CacheEvent { number, block, stored }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
