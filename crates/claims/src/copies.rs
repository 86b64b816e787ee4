//! Copies that a daemon keeps for the holders of shards while the table is unavailable.

use std::collections;

use samphiremoor_base::quantity;
use serde::Deserialize;
use serde::Serialize;

use crate::journal;

/// Answer to a request to keep batches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum KeepAnswer {
    /// The batches are kept.
    Kept,
    /// A later holder sealed this daemon: the asker no longer holds the lease.
    Sealed,
}

/// Every copy that one daemon keeps. It lives as long as the process.
#[derive(Clone, Debug, Default)]
pub struct CopyStore {
    shards: collections::BTreeMap<quantity::ShardNumber, ShardCopies>,
}

#[derive(Clone, Debug, Default)]
struct ShardCopies {
    /// Copies from holders with a smaller fencing number are refused.
    sealed_below: quantity::FencingToken,
    batches: collections::BTreeMap<journal::BatchId, journal::JournalBatch>,
}

impl CopyStore {
    /// Keeps batches of the holder with `fence`, and forgets its batches before `written`, which
    /// the table has.
    pub fn keep(
        &mut self,
        shard: quantity::ShardNumber,
        fence: quantity::FencingToken,
        written: u64,
        batches: Vec<journal::JournalBatch>,
    ) -> KeepAnswer {
        let copies = self.shards.entry(shard).or_default();
        if fence < copies.sealed_below {
            return KeepAnswer::Sealed;
        }
        copies.sealed_below = fence;
        // An earlier holder's batches are in the table: this holder wrote them before it opened.
        copies.batches.retain(|id, _| id.fence == fence && id.seq >= written);
        copies.batches.extend(batches.into_iter().map(|batch| (batch.id, batch)));
        KeepAnswer::Kept
    }

    /// Keeps what this daemon could not write itself while it held the shard.
    pub fn absorb(&mut self, shard: quantity::ShardNumber, batches: Vec<journal::JournalBatch>) {
        let copies = self.shards.entry(shard).or_default();
        copies.batches.extend(batches.into_iter().map(|batch| (batch.id, batch)));
    }

    /// Refuses copies of holders before `fence` from now on, and gives what they left.
    pub fn seal(
        &mut self,
        shard: quantity::ShardNumber,
        fence: quantity::FencingToken,
    ) -> Vec<journal::JournalBatch> {
        let copies = self.shards.entry(shard).or_default();
        copies.sealed_below = copies.sealed_below.max(fence);
        let earlier = copies.batches.values().filter(|batch| batch.id.fence < fence);
        earlier.cloned().collect()
    }

    /// Number of batches that are kept.
    pub fn batch_count(&self) -> usize {
        self.shards.values().map(|copies| copies.batches.len()).sum()
    }
}
