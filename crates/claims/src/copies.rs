//! Copies of journal batches that a daemon stores for the holders of shards while the table is
//! unavailable.

use std::collections;

use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::journal;

/// Result of a request to store copies.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum StoreResponse {
    /// The batches are stored.
    Stored,
    /// A later holder sealed this daemon, so the requesting holder has lost its lease.
    Sealed,
}

/// The copies that one daemon stores, in memory only.
#[derive(Clone, Debug, Default)]
pub struct CopyStore {
    shards: collections::BTreeMap<quantity::ShardNumber, ShardCopies>,
}

#[derive(Clone, Debug, Default)]
struct ShardCopies {
    /// Copies of holders with a smaller fencing token are rejected.
    min_fence: quantity::FencingToken,
    batches: collections::BTreeMap<journal::BatchId, journal::JournalBatch>,
}

impl CopyStore {
    /// Stores batches of the holder with `fence` and removes its batches before sequence number
    /// `first_unwritten`, which are in the table.
    pub fn store(
        &mut self,
        shard: quantity::ShardNumber,
        fence: quantity::FencingToken,
        first_unwritten: u64,
        batches: Vec<journal::JournalBatch>,
    ) -> StoreResponse {
        let copies = self.shards.entry(shard).or_default();
        if fence < copies.min_fence {
            return StoreResponse::Sealed;
        }
        copies.min_fence = fence;
        // Batches of earlier holders are in the table, because this holder wrote them there before
        // it opened the shard.
        copies.batches.retain(|id, _| id.fence == fence && id.seq >= first_unwritten);
        copies.batches.extend(batches.into_iter().map(|batch| (batch.id, batch)));
        StoreResponse::Stored
    }

    /// Stores batches that this daemon itself could not write while it held the shard.
    pub fn store_local(
        &mut self,
        shard: quantity::ShardNumber,
        batches: Vec<journal::JournalBatch>,
    ) {
        let copies = self.shards.entry(shard).or_default();
        copies.batches.extend(batches.into_iter().map(|batch| (batch.id, batch)));
    }

    /// Rejects copies of holders before `fence` from now on and returns the batches that they
    /// stored here.
    pub fn seal(
        &mut self,
        shard: quantity::ShardNumber,
        fence: quantity::FencingToken,
    ) -> Vec<journal::JournalBatch> {
        let copies = self.shards.entry(shard).or_default();
        copies.min_fence = copies.min_fence.max(fence);
        let earlier_batches = copies.batches.values().filter(|batch| batch.id.fence < fence);
        earlier_batches.cloned().collect()
    }

    /// Returns the number of stored batches.
    pub fn batch_count(&self) -> usize {
        self.shards.values().map(|copies| copies.batches.len()).sum()
    }
}
