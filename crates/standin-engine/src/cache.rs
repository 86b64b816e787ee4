//! Prefix cache of prompt-token blocks with least-recently-used eviction.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::blocks;

/// Change of the cache contents.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheChange {
    /// The block was stored.
    Stored(blocks::BlockHash),
    /// The block was evicted.
    Evicted(blocks::BlockHash),
}

/// Blocks in an engine's memory, ordered by last use.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    capacity: usize,
    last_tick: u64,
    ticks: collections::HashMap<blocks::BlockHash, u64>,
    by_tick: collections::BTreeMap<u64, blocks::BlockHash>,
}

impl PrefixCache {
    /// Creates an empty cache with room for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Returns the number of blocks.
    pub fn len(&self) -> usize {
        self.ticks.len()
    }

    /// Returns whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.ticks.is_empty()
    }

    /// Returns the number of leading blocks of a prompt that are in the cache, and marks them as
    /// used.
    pub fn match_prefix(&mut self, blocks: &[blocks::BlockHash]) -> usize {
        let count = blocks.iter().take_while(|hash| self.ticks.contains_key(hash)).count();
        self.touch(&blocks[..count]);
        count
    }

    /// Stores the blocks of a prompt and returns the resulting changes.
    pub fn store(&mut self, blocks: &[blocks::BlockHash]) -> Vec<CacheChange> {
        let stored = &blocks[..blocks.len().min(self.capacity)];
        let mut changes: Vec<_> = stored
            .iter()
            .filter(|hash| !self.ticks.contains_key(hash))
            .map(|hash| CacheChange::Stored(*hash))
            .collect();
        self.touch(stored);
        while self.ticks.len() > self.capacity {
            let Some((_, evicted)) = self.by_tick.pop_first() else { break };
            self.ticks.remove(&evicted);
            changes.push(CacheChange::Evicted(evicted));
        }
        changes
    }

    /// Marks blocks as used. Later blocks get earlier marks, so they are evicted first: a block is
    /// useless without the blocks before it.
    fn touch(&mut self, blocks: &[blocks::BlockHash]) {
        for hash in blocks.iter().rev() {
            self.last_tick += 1;
            if let Some(previous_tick) = self.ticks.insert(*hash, self.last_tick) {
                self.by_tick.remove(&previous_tick);
            }
            self.by_tick.insert(self.last_tick, *hash);
        }
    }
}
