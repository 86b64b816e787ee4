//! Index of which replica is likely to cache which prompt block, in bounded memory.
//!
//! Blocks are recorded when a request is dispatched. The cached token counts and the cache events
//! that engines report correct the index. Two generations bound the memory: when the current one is
//! full, it replaces the previous one, whose blocks are dropped. A block that is used again moves
//! to the current generation.

use std::collections;
use std::hash;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use siphasher::sip;
use smallvec::SmallVec;

use crate::prefix;

/// Maximum number of replicas that are recorded for one block.
const MAX_HOLDERS: usize = 16;
/// Maximum number of blocks of one prompt that are recorded and looked up.
pub const MAX_PROMPT_BLOCKS: usize = 1_024;
/// Assumed cache capacity of a replica before the first miss, in tokens. It is practically
/// unlimited.
const INITIAL_CAPACITY_TOKENS: u64 = 1 << 40;
/// Number of consecutive cache events that may be lost without reducing the confidence in the
/// index.
const MAX_TOLERATED_LOST_EVENTS: u64 = 64;
/// Each hit raises the assumed capacity of a replica by that capacity divided by this number.
const CAPACITY_GROWTH_DIVISOR: u64 = 16;
/// Share of an expected hit that still counts after cache events were lost, in hundredths.
const CONFIDENCE_AFTER_GAP_PERCENT: u64 = 70;

/// Index of a replica within one picker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaSlot(pub u32);

/// A replica that is assumed to cache a block.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct BlockHolder {
    slot: ReplicaSlot,
    last_used_at: time::MonotonicTime,
    /// Number of tokens that the replica had computed in all when it last used the block.
    computed_at_use: u64,
}

type HolderList = SmallVec<[BlockHolder; 2]>;
type BlockMap = collections::HashMap<
    prefix::PrefixHash,
    HolderList,
    hash::BuildHasherDefault<sip::SipHasher13>,
>;

/// State of one replica's cache.
#[derive(Clone, Copy, Debug)]
struct CacheState {
    /// Estimated number of prompt tokens that the replica has computed in all.
    computed_tokens: u64,
    /// Assumed capacity of the cache, in tokens that the replica computes before it evicts a block.
    capacity_tokens: u64,
    /// When the cache was last cleared.
    cleared_at: Option<time::MonotonicTime>,
    /// When more than [`MAX_TOLERATED_LOST_EVENTS`] consecutive cache events were last lost.
    events_lost_at: Option<time::MonotonicTime>,
    /// Number of the next cache event.
    next_event_number: Option<u64>,
}

impl Default for CacheState {
    fn default() -> Self {
        CacheState {
            computed_tokens: 0,
            capacity_tokens: INITIAL_CAPACITY_TOKENS,
            cleared_at: None,
            events_lost_at: None,
            next_event_number: None,
        }
    }
}

/// Number of prompt tokens that one replica is expected to have cached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedHit {
    /// The replica.
    pub slot: ReplicaSlot,
    /// Number of cached tokens.
    pub tokens: quantity::TokenCount,
}

/// Run of blocks from the start of a prompt that one replica is assumed to cache.
#[derive(Clone, Copy, Debug)]
struct CachedRun {
    slot: ReplicaSlot,
    blocks: usize,
    /// Whether cache events were lost since the replica last used the last of the blocks.
    is_uncertain: bool,
}

impl CachedRun {
    fn expected_hit(&self) -> ExpectedHit {
        let percent = if self.is_uncertain { CONFIDENCE_AFTER_GAP_PERCENT } else { 100 };
        let blocks = self.blocks as u64 * percent / 100;
        let tokens = quantity::TokenCount::new(blocks * prefix::BLOCK_TOKENS);
        ExpectedHit { slot: self.slot, tokens }
    }
}

/// Index of the cached prompt blocks of all replicas.
#[derive(Debug)]
pub struct PrefixIndex {
    current_generation: BlockMap,
    previous_generation: BlockMap,
    /// Number of blocks at which the current generation is full.
    generation_blocks: usize,
    caches: Vec<CacheState>,
}

impl PrefixIndex {
    /// Creates an empty index that holds at most `max_blocks` blocks.
    pub fn new(max_blocks: usize) -> Self {
        PrefixIndex {
            current_generation: BlockMap::default(),
            previous_generation: BlockMap::default(),
            generation_blocks: (max_blocks / 2).max(1),
            caches: Vec::new(),
        }
    }

    /// Returns the number of recorded blocks.
    pub fn len(&self) -> usize {
        self.current_generation.len() + self.previous_generation.len()
    }

    /// Returns whether no block is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the replicas that are expected to cache the start of the prompt, and how much of it.
    pub fn expected_hits(&self, blocks: &[prefix::PrefixHash]) -> SmallVec<[ExpectedHit; 16]> {
        let mut runs: SmallVec<[CachedRun; 16]> = SmallVec::new();
        for (block_index, block) in blocks.iter().take(MAX_PROMPT_BLOCKS).enumerate() {
            let Some(holders) = self.holders(*block) else { break };
            for holder in holders.iter().filter(|holder| self.is_assumed_cached(holder)) {
                let is_uncertain = self.is_uncertain(holder);
                match runs.iter_mut().find(|run| run.slot == holder.slot) {
                    Some(run) if run.blocks == block_index => {
                        run.blocks = block_index + 1;
                        run.is_uncertain = is_uncertain;
                    }
                    None if block_index == 0 => {
                        runs.push(CachedRun { slot: holder.slot, blocks: 1, is_uncertain });
                    }
                    _ => {}
                }
            }
        }
        runs.iter().map(CachedRun::expected_hit).collect()
    }

    /// Returns the number of tokens that the replica has computed since it last used the last block
    /// of the expected hit; `None` if that block is not recorded for the replica.
    pub fn reuse_distance(
        &self,
        slot: ReplicaSlot,
        blocks: &[prefix::PrefixHash],
        expected_hit: quantity::TokenCount,
    ) -> Option<quantity::TokenCount> {
        let last_block = (expected_hit.get() / prefix::BLOCK_TOKENS).checked_sub(1)?;
        let holders = self.holders(*blocks.get(last_block as usize)?)?;
        let holder = holders.iter().find(|holder| holder.slot == slot)?;
        let cache = self.caches.get(slot.0 as usize)?;
        Some(quantity::TokenCount::new(
            cache.computed_tokens.saturating_sub(holder.computed_at_use),
        ))
    }

    /// Records that the replica caches all blocks of the prompt, for which it computes
    /// `computed_tokens` tokens.
    pub fn record_prompt(
        &mut self,
        slot: ReplicaSlot,
        blocks: &[prefix::PrefixHash],
        computed_tokens: quantity::TokenCount,
        now: time::MonotonicTime,
    ) {
        let cache = self.cache_mut(slot);
        cache.computed_tokens = cache.computed_tokens.saturating_add(computed_tokens.get());
        let computed_at_use = cache.computed_tokens;
        for block in blocks.iter().take(MAX_PROMPT_BLOCKS) {
            self.insert_holder(*block, BlockHolder { slot, last_used_at: now, computed_at_use });
        }
    }

    /// Adjusts the assumed capacity of a replica by comparing the expected hit with the number of
    /// tokens that its engine found cached.
    ///
    /// `reuse_distance` is that at the time of the dispatch.
    pub fn adjust_capacity(
        &mut self,
        slot: ReplicaSlot,
        expected_hit: quantity::TokenCount,
        reuse_distance: quantity::TokenCount,
        cached_tokens: quantity::TokenCount,
    ) {
        let cache = self.cache_mut(slot);
        if cached_tokens >= expected_hit {
            let grown_capacity_tokens = cache
                .capacity_tokens
                .saturating_add(cache.capacity_tokens / CAPACITY_GROWTH_DIVISOR);
            cache.capacity_tokens = grown_capacity_tokens.max(reuse_distance.get());
            return;
        }
        if reuse_distance.get() > 0 {
            cache.capacity_tokens = cache.capacity_tokens.min(reuse_distance.get());
        }
    }

    /// Applies cache events with consecutive numbers from `first_number`; skips those that were
    /// already applied.
    ///
    /// An eviction does not remove a block that was used after `newest_event_at`.
    pub fn apply_events(
        &mut self,
        slot: ReplicaSlot,
        first_number: u64,
        events: &[crate::picker::CacheEvent],
        newest_event_at: time::MonotonicTime,
    ) {
        let cache = self.cache_mut(slot);
        let lost_events = cache
            .next_event_number
            .map_or(0, |next_number| first_number.saturating_sub(next_number));
        if lost_events > MAX_TOLERATED_LOST_EVENTS {
            cache.events_lost_at = Some(newest_event_at);
        }
        let next_number = cache.next_event_number.unwrap_or(first_number);
        cache.next_event_number = Some(next_number.max(first_number + events.len() as u64));
        let applied_events = next_number.saturating_sub(first_number) as usize;
        for event in events.iter().skip(applied_events) {
            self.apply_event(slot, event, newest_event_at);
        }
    }

    /// Removes the blocks of the prompt for the replica, except those that it used after
    /// `dispatched_at`.
    pub fn remove_prompt(
        &mut self,
        slot: ReplicaSlot,
        blocks: &[prefix::PrefixHash],
        dispatched_at: time::MonotonicTime,
    ) {
        for block in blocks.iter().take(MAX_PROMPT_BLOCKS) {
            self.remove_holder(*block, slot, dispatched_at);
        }
    }

    /// Resets everything that is known about the cache of a replica.
    pub fn reset_replica(&mut self, slot: ReplicaSlot, now: time::MonotonicTime) {
        *self.cache_mut(slot) = CacheState { cleared_at: Some(now), ..CacheState::default() };
    }

    fn apply_event(
        &mut self,
        slot: ReplicaSlot,
        event: &crate::picker::CacheEvent,
        event_at: time::MonotonicTime,
    ) {
        match event {
            crate::picker::CacheEvent::Stored(blocks) => {
                let computed_at_use = self.cache_mut(slot).computed_tokens;
                for block in blocks {
                    self.insert_holder(
                        *block,
                        BlockHolder { slot, last_used_at: event_at, computed_at_use },
                    );
                }
            }
            crate::picker::CacheEvent::Evicted(blocks) => {
                for block in blocks {
                    self.remove_holder(*block, slot, event_at);
                }
            }
            crate::picker::CacheEvent::Cleared => self.cache_mut(slot).cleared_at = Some(event_at),
        }
    }

    fn holders(&self, block: prefix::PrefixHash) -> Option<&HolderList> {
        self.current_generation.get(&block).or_else(|| self.previous_generation.get(&block))
    }

    fn is_assumed_cached(&self, holder: &BlockHolder) -> bool {
        let Some(cache) = self.caches.get(holder.slot.0 as usize) else { return false };
        let is_cleared =
            cache.cleared_at.is_some_and(|cleared_at| holder.last_used_at <= cleared_at);
        !is_cleared
            && cache.computed_tokens.saturating_sub(holder.computed_at_use) <= cache.capacity_tokens
    }

    fn is_uncertain(&self, holder: &BlockHolder) -> bool {
        let cache = self.caches.get(holder.slot.0 as usize);
        cache
            .and_then(|cache| cache.events_lost_at)
            .is_some_and(|events_lost_at| holder.last_used_at <= events_lost_at)
    }

    fn cache_mut(&mut self, slot: ReplicaSlot) -> &mut CacheState {
        let index = slot.0 as usize;
        if index >= self.caches.len() {
            self.caches.resize_with(index + 1, CacheState::default);
        }
        &mut self.caches[index]
    }

    fn insert_holder(&mut self, block: prefix::PrefixHash, holder: BlockHolder) {
        if self.current_generation.len() >= self.generation_blocks {
            self.previous_generation = std::mem::take(&mut self.current_generation);
        }
        let promoted_holders = self.previous_generation.remove(&block);
        let holders = self
            .current_generation
            .entry(block)
            .or_insert_with(|| promoted_holders.unwrap_or_default());
        if let Some(existing) = holders.iter_mut().find(|existing| existing.slot == holder.slot) {
            if existing.last_used_at <= holder.last_used_at {
                *existing = holder;
            }
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            let oldest =
                holders.iter().enumerate().min_by_key(|(_, existing)| existing.last_used_at);
            if let Some((position, _)) = oldest {
                holders.swap_remove(position);
            }
        }
        holders.push(holder);
    }

    fn remove_holder(
        &mut self,
        block: prefix::PrefixHash,
        slot: ReplicaSlot,
        keep_if_used_after: time::MonotonicTime,
    ) {
        for generation in [&mut self.current_generation, &mut self.previous_generation] {
            let Some(holders) = generation.get_mut(&block) else { continue };
            holders
                .retain(|holder| holder.slot != slot || holder.last_used_at > keep_if_used_after);
            if holders.is_empty() {
                generation.remove(&block);
            }
        }
    }
}
