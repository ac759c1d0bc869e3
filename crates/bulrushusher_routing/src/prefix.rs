//! A bounded index of the runners that are likely to have a prompt's prefix cached. Only a hint.

use std::collections::{HashMap, VecDeque};

/// Limits of the index.
#[derive(Clone, Copy, Debug)]
pub struct PrefixConfig {
    /// Maximum number of indexed blocks; the oldest are evicted first.
    pub max_blocks: usize,
}

impl Default for PrefixConfig {
    fn default() -> PrefixConfig {
        PrefixConfig { max_blocks: 16_384 }
    }
}

/// Maps each block to the runner that computed it last.
///
/// ```
/// use bulrushusher_routing::{PrefixConfig, PrefixIndex};
/// let mut index = PrefixIndex::new(PrefixConfig::default());
/// index.insert(&[1, 2, 3], 7);
/// assert_eq!(index.find(&[1, 2, 9]), Some((7, 2)));
/// assert_eq!(index.find(&[9]), None);
/// ```
#[derive(Debug)]
pub struct PrefixIndex {
    cfg: PrefixConfig,
    runners: HashMap<u64, usize>,
    order: VecDeque<u64>,
}

impl PrefixIndex {
    /// An empty index.
    pub fn new(cfg: PrefixConfig) -> PrefixIndex {
        PrefixIndex { cfg, runners: HashMap::new(), order: VecDeque::new() }
    }

    /// The runner that computed the longest indexed prefix of `blocks`, and the length of that
    /// prefix in blocks. Blocks are chained hashes: each covers all blocks before it.
    pub fn find(&self, blocks: &[u64]) -> Option<(usize, usize)> {
        let known = blocks.iter().rposition(|block| self.runners.contains_key(block))?;
        Some((self.runners[&blocks[known]], known + 1))
    }

    /// Records that `runner` computed `blocks`.
    pub fn insert(&mut self, blocks: &[u64], runner: usize) {
        for block in blocks {
            if self.runners.insert(*block, runner).is_none() {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > self.cfg.max_blocks {
            let Some(oldest) = self.order.pop_front() else { return };
            self.runners.remove(&oldest);
        }
    }

    /// Removes all blocks; needed when the numbering of the runners changes.
    pub fn clear(&mut self) {
        self.runners.clear();
        self.order.clear();
    }
}
