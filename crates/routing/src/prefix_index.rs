//! Which replica is likely to hold which block of prompts, in bounded memory.
//!
//! Blocks are noted when a request is dispatched, and corrected by what engines say of cached
//! tokens and by their cache events. Two generations bound the memory: the older one is dropped
//! whole when the younger one is full, and a block that is used again moves to the younger.

use std::collections;
use std::hash;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use siphasher::sip;
use smallvec::SmallVec;

use crate::prefix;

/// Holders that are remembered for one block.
const MAX_HOLDERS: usize = 16;
/// Blocks of one prompt that are looked up.
pub const MAX_BLOCKS: usize = 1_024;
/// Tokens that a replica is believed to cache before a miss was seen.
const FIRST_CAPACITY_TOKENS: u64 = 1 << 40;
/// Lost events up to which nothing is doubted: each is about one block at most.
const HARMLESS_GAP_EVENTS: u64 = 64;
/// A hit raises the belief in a replica's capacity by this part of it.
const CAPACITY_GROWTH_DIVISOR: u64 = 16;
/// Share of an expectation that is kept after cache events were lost, in hundredths.
const CONFIDENCE_AFTER_GAP_PERCENT: u64 = 70;

/// Number of a replica within one picker.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ReplicaSlot(pub u32);

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct BlockHolder {
    slot: ReplicaSlot,
    seen: time::MonotonicTime,
    /// Tokens that the replica had computed when it used the block last.
    mark: u64,
}

type HolderList = SmallVec<[BlockHolder; 2]>;
type BlockMap = collections::HashMap<
    prefix::PrefixHash,
    HolderList,
    hash::BuildHasherDefault<sip::SipHasher13>,
>;

/// What is known of one replica's cache.
#[derive(Clone, Copy, Debug)]
struct CacheState {
    computed: u64,
    capacity: u64,
    cleared: Option<time::MonotonicTime>,
    gap: Option<time::MonotonicTime>,
    next_event: Option<u64>,
}

impl Default for CacheState {
    fn default() -> Self {
        CacheState {
            computed: 0,
            capacity: FIRST_CAPACITY_TOKENS,
            cleared: None,
            gap: None,
            next_event: None,
        }
    }
}

/// Tokens of a prompt that one replica is expected to have cached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExpectedHit {
    /// The replica.
    pub slot: ReplicaSlot,
    /// The tokens.
    pub tokens: quantity::TokenCount,
}

/// Blocks from the start of a prompt that one replica is believed to hold.
#[derive(Clone, Copy, Debug)]
struct HeldRun {
    slot: ReplicaSlot,
    blocks: usize,
    /// Events were lost since the last of the blocks was seen.
    is_doubtful: bool,
}

impl HeldRun {
    fn expected(&self) -> ExpectedHit {
        let percent = if self.is_doubtful { CONFIDENCE_AFTER_GAP_PERCENT } else { 100 };
        let blocks = self.blocks as u64 * percent / 100;
        let tokens = quantity::TokenCount::new(blocks * prefix::BLOCK_TOKENS);
        ExpectedHit { slot: self.slot, tokens }
    }
}

/// The history of all replicas.
#[derive(Debug)]
pub struct PrefixIndex {
    young: BlockMap,
    old: BlockMap,
    generation_blocks: usize,
    caches: Vec<CacheState>,
}

impl PrefixIndex {
    /// An empty history that remembers at most `max_blocks`.
    pub fn new(max_blocks: usize) -> Self {
        PrefixIndex {
            young: BlockMap::default(),
            old: BlockMap::default(),
            generation_blocks: (max_blocks / 2).max(1),
            caches: Vec::new(),
        }
    }

    /// Blocks that are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Replicas that are expected to hold the start of the prompt, and how much of it.
    pub fn expected_hits(&self, blocks: &[prefix::PrefixHash]) -> SmallVec<[ExpectedHit; 16]> {
        let mut runs: SmallVec<[HeldRun; 16]> = SmallVec::new();
        for (depth, block) in blocks.iter().take(MAX_BLOCKS).enumerate() {
            let Some(holders) = self.holders(*block) else { break };
            for holder in holders.iter().filter(|holder| self.is_believed(holder)) {
                let is_doubtful = self.is_doubtful(holder);
                match runs.iter_mut().find(|run| run.slot == holder.slot) {
                    Some(run) if run.blocks == depth => {
                        run.blocks = depth + 1;
                        run.is_doubtful = is_doubtful;
                    }
                    None if depth == 0 => {
                        runs.push(HeldRun { slot: holder.slot, blocks: 1, is_doubtful });
                    }
                    _ => {}
                }
            }
        }
        runs.iter().map(HeldRun::expected).collect()
    }

    /// Tokens that the replica computed since it used the last of the expected tokens.
    pub fn reuse_distance(
        &self,
        slot: ReplicaSlot,
        blocks: &[prefix::PrefixHash],
        expected: quantity::TokenCount,
    ) -> Option<quantity::TokenCount> {
        let last = (expected.get() / prefix::BLOCK_TOKENS).checked_sub(1)?;
        let holders = self.holders(*blocks.get(last as usize)?)?;
        let holder = holders.iter().find(|holder| holder.slot == slot)?;
        let cache = self.caches.get(slot.0 as usize)?;
        Some(quantity::TokenCount::new(cache.computed.saturating_sub(holder.mark)))
    }

    /// Notes that the replica computes or holds all blocks of the prompt from now on.
    pub fn record_prompt(
        &mut self,
        slot: ReplicaSlot,
        blocks: &[prefix::PrefixHash],
        computed: quantity::TokenCount,
        now: time::MonotonicTime,
    ) {
        let cache = self.cache(slot);
        cache.computed = cache.computed.saturating_add(computed.get());
        let mark = cache.computed;
        for block in blocks.iter().take(MAX_BLOCKS) {
            self.put(*block, BlockHolder { slot, seen: now, mark });
        }
    }

    /// Corrects the belief in a replica's capacity by what its engine found cached.
    ///
    /// `distance` is the reuse distance at the dispatch.
    pub fn adjust_capacity(
        &mut self,
        slot: ReplicaSlot,
        expected: quantity::TokenCount,
        distance: quantity::TokenCount,
        cached: quantity::TokenCount,
    ) {
        let cache = self.cache(slot);
        if cached >= expected {
            let grown = cache.capacity.saturating_add(cache.capacity / CAPACITY_GROWTH_DIVISOR);
            cache.capacity = grown.max(distance.get());
            return;
        }
        if distance.get() > 0 {
            cache.capacity = cache.capacity.min(distance.get());
        }
    }

    /// Applies cache events that were published in the order of their numbers.
    ///
    /// `at` is when the newest happened: a use of the block after it outweighs it.
    pub fn apply_events(
        &mut self,
        slot: ReplicaSlot,
        first_number: u64,
        events: &[crate::picker::CacheEvent],
        at: time::MonotonicTime,
    ) {
        let cache = self.cache(slot);
        let lost = cache.next_event.map_or(0, |next| first_number.saturating_sub(next));
        if lost > HARMLESS_GAP_EVENTS {
            cache.gap = Some(at);
        }
        let known = cache.next_event.unwrap_or(first_number);
        cache.next_event = Some(known.max(first_number + events.len() as u64));
        let seen_before = known.saturating_sub(first_number) as usize;
        for event in events.iter().skip(seen_before) {
            self.event(slot, event, at);
        }
    }

    /// Forgets that the replica holds the prompt, unless it used a block after `at`.
    pub fn remove_prompt(
        &mut self,
        slot: ReplicaSlot,
        blocks: &[prefix::PrefixHash],
        at: time::MonotonicTime,
    ) {
        for block in blocks.iter().take(MAX_BLOCKS) {
            self.remove(*block, slot, at);
        }
    }

    /// Forgets what is known of a replica.
    pub fn reset_replica(&mut self, slot: ReplicaSlot, now: time::MonotonicTime) {
        *self.cache(slot) = CacheState { cleared: Some(now), ..CacheState::default() };
    }

    fn event(
        &mut self,
        slot: ReplicaSlot,
        event: &crate::picker::CacheEvent,
        at: time::MonotonicTime,
    ) {
        match event {
            crate::picker::CacheEvent::Stored(blocks) => {
                let mark = self.cache(slot).computed;
                for block in blocks {
                    self.put(*block, BlockHolder { slot, seen: at, mark });
                }
            }
            crate::picker::CacheEvent::Evicted(blocks) => {
                for block in blocks {
                    self.remove(*block, slot, at);
                }
            }
            crate::picker::CacheEvent::Cleared => self.cache(slot).cleared = Some(at),
        }
    }

    fn holders(&self, block: prefix::PrefixHash) -> Option<&HolderList> {
        self.young.get(&block).or_else(|| self.old.get(&block))
    }

    fn is_believed(&self, holder: &BlockHolder) -> bool {
        let Some(cache) = self.caches.get(holder.slot.0 as usize) else { return false };
        let is_cleared = cache.cleared.is_some_and(|cleared| holder.seen <= cleared);
        !is_cleared && cache.computed.saturating_sub(holder.mark) <= cache.capacity
    }

    fn is_doubtful(&self, holder: &BlockHolder) -> bool {
        let cache = self.caches.get(holder.slot.0 as usize);
        cache.and_then(|cache| cache.gap).is_some_and(|gap| holder.seen <= gap)
    }

    fn cache(&mut self, slot: ReplicaSlot) -> &mut CacheState {
        let index = slot.0 as usize;
        if index >= self.caches.len() {
            self.caches.resize_with(index + 1, CacheState::default);
        }
        &mut self.caches[index]
    }

    fn put(&mut self, block: prefix::PrefixHash, holder: BlockHolder) {
        if self.young.len() >= self.generation_blocks {
            self.old = std::mem::take(&mut self.young);
        }
        let promoted = self.old.remove(&block);
        let holders = self.young.entry(block).or_insert_with(|| promoted.unwrap_or_default());
        if let Some(known) = holders.iter_mut().find(|known| known.slot == holder.slot) {
            if known.seen <= holder.seen {
                *known = holder;
            }
            return;
        }
        if holders.len() >= MAX_HOLDERS {
            let oldest = holders.iter().enumerate().min_by_key(|(_, known)| known.seen);
            if let Some((position, _)) = oldest {
                holders.swap_remove(position);
            }
        }
        holders.push(holder);
    }

    fn remove(&mut self, block: prefix::PrefixHash, slot: ReplicaSlot, at: time::MonotonicTime) {
        for map in [&mut self.young, &mut self.old] {
            let Some(holders) = map.get_mut(&block) else { continue };
            holders.retain(|holder| holder.slot != slot || holder.seen > at);
            if holders.is_empty() {
                map.remove(&block);
            }
        }
    }
}
