//! The prefix cache, and its late and lossy events.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bulrushusher_time::Millis;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{CacheEvent, EngineConfig};

/// Events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Blocks held, least recently used first out.
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

    /// How many of the blocks are cached from the start on.
    pub(super) fn cached_prefix(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.used_at.contains_key(block)).count()
    }

    /// Notes that the blocks are cached now.
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

    /// Published events after number `after`.
    pub(super) fn events(&self, after: u64, now: Millis) -> Vec<CacheEvent> {
        let is_out = |at: &Millis| at.plus(self.delay) <= now;
        let seen = self.events.iter().filter(|(at, e)| e.number > after && is_out(at));
        seen.map(|(_, event)| *event).collect()
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
