//! Limits and times of the claims.

use samphiremoor_base::time;

/// Time after which a failed write to the table is sent again.
pub const TABLE_RETRY: time::Millis = time::Millis::new(200);

/// Time after which a failed round of copies is sent again.
pub const COPY_RETRY: time::Millis = time::Millis::new(100);

/// Batches of a shard that may follow each other at once before the flush interval paces them.
pub const FLUSH_BURST: u64 = 4;

/// Flush intervals for which results wait for a claim to be written with.
pub const RESULT_INTERVALS: u64 = 2;

/// Most batches in one transaction.
pub const MAX_BATCHES: usize = 32;

/// Most rows that one transaction deletes.
pub const MAX_DELETES: usize = 64;

/// Time for which a refused request is refused again if a copy of it arrives late.
pub const REFUSAL_MEMORY: time::Millis = time::Millis::new(60_000);

/// Longest run of a call; rows are kept this much longer than the keys in them.
pub const LONGEST_RUN: time::Millis = time::Millis::new(600_000);

/// Limits and times of a shard, from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimPolicy {
    /// Mean time between two batches under load.
    pub flush_interval: time::Millis,
    /// Time after which the table counts as unavailable.
    pub table_timeout: time::Millis,
    /// Longest wait for a claim to become durable.
    pub claim_timeout: time::Millis,
    /// Time for which ended calls are remembered.
    pub retention: time::Millis,
    /// Most keys that are remembered.
    pub max_keys: usize,
    /// Most entries that wait for the table.
    pub max_backlog: usize,
    /// Most bytes of results that wait for the table; further results are not kept.
    pub max_backlog_bytes: usize,
    /// Largest result that is kept, in bytes.
    pub max_result_bytes: usize,
    /// How long a shard whose copies are all lost stays closed; absent means for good.
    pub lost_copies_wait: Option<time::Millis>,
    /// When a refused caller is told to come back.
    pub retry_after: time::Millis,
}

impl ClaimPolicy {
    /// Time for which rows of the journal are kept.
    pub const fn row_retention(&self) -> time::Millis {
        time::Millis::new(self.retention.get() + LONGEST_RUN.get())
    }
}
