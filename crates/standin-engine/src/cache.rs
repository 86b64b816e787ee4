//! The prefix cache: blocks of prompt tokens, evicted by least recent use.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::blocks;

/// A change of the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block is in the cache now.
    Stored(blocks::BlockHash),
    /// The block is not in the cache any more.
    Evicted(blocks::BlockHash),
}

/// The blocks in an engine's memory.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    last_tick: u64,
    ticks: collections::HashMap<blocks::BlockHash, u64>,
    by_tick: collections::BTreeMap<u64, blocks::BlockHash>,
}

impl PrefixCache {
    /// An empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Number of blocks.
    pub fn len(&self) -> usize {
        self.ticks.len()
    }

    /// Whether there is no block.
    pub fn is_empty(&self) -> bool {
        self.ticks.is_empty()
    }

    /// Leading blocks of a prompt that are in the cache; they count as used.
    pub fn match_prefix(&mut self, blocks: &[blocks::BlockHash]) -> usize {
        let count = blocks.iter().take_while(|hash| self.ticks.contains_key(hash)).count();
        self.touch(&blocks[..count]);
        count
    }

    /// Stores the blocks of a prompt and returns what changed.
    pub fn store(&mut self, blocks: &[blocks::BlockHash]) -> Vec<CacheChange> {
        let kept = &blocks[..blocks.len().min(self.capacity)];
        let mut changes: Vec<_> = kept
            .iter()
            .filter(|hash| !self.ticks.contains_key(hash))
            .map(|hash| CacheChange::Stored(*hash))
            .collect();
        self.touch(kept);
        while self.ticks.len() > self.capacity {
            let Some((_, evicted)) = self.by_tick.pop_first() else { break };
            self.ticks.remove(&evicted);
            changes.push(CacheChange::Evicted(evicted));
        }
        changes
    }

    /// Marks blocks as used. The first block gets the latest mark: a block without the ones before
    /// it is of no use, so the last ones are evicted first.
    fn touch(&mut self, blocks: &[blocks::BlockHash]) {
        for hash in blocks.iter().rev() {
            self.last_tick += 1;
            if let Some(before) = self.ticks.insert(*hash, self.last_tick) {
                self.by_tick.remove(&before);
            }
            self.by_tick.insert(self.last_tick, *hash);
        }
    }
}
