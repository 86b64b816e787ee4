//! Durations and limits of claims.

use samphiremoor_base::time;

/// Delay after a failed operation on the table before the next one starts.
pub const TABLE_RETRY_DELAY: time::Millis = time::Millis::new(200);

/// Delay before a failed round of copies is retried.
pub const COPY_RETRY_DELAY: time::Millis = time::Millis::new(100);

/// Number of batches that a shard may close back to back before the flush interval limits their
/// rate.
pub const FLUSH_BURST: u64 = 4;

/// Number of flush intervals for which results wait for a claim that can share their batch.
pub const RESULT_FLUSH_INTERVALS: u64 = 2;

/// Maximum number of batches in one transaction that does not write the lease row.
pub const MAX_BATCHES_PER_WRITE: usize = 32;

/// Maximum number of rows that one transaction deletes.
pub const MAX_DELETES_PER_WRITE: usize = 64;

/// Time for which a refused request is remembered, so that a delayed duplicate of it is refused as
/// well.
pub const REFUSAL_RETENTION: time::Millis = time::Millis::new(60_000);

/// Assumed maximum duration of a run. The journal row of a claim outlives the retention time by
/// this duration, because the retention time starts when the call ends.
pub const MAX_RUN_TIME: time::Millis = time::Millis::new(600_000);

/// Durations and limits of a shard, from the settings.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimPolicy {
    /// Average time between two batches under load.
    pub flush_interval: time::Millis,
    /// Time without a response after which the table counts as unavailable.
    pub table_timeout: time::Millis,
    /// Maximum time until a claim must be durable.
    pub claim_timeout: time::Millis,
    /// Time for which finished calls are kept in the index.
    pub retention: time::Millis,
    /// Maximum number of calls in the index.
    pub max_keys: usize,
    /// Maximum number of entries that wait to be written to the table.
    pub max_backlog_entries: usize,
    /// Maximum size in bytes of the results that wait to be written to the table; further results
    /// are not stored.
    pub max_backlog_bytes: usize,
    /// Maximum size in bytes of a result that is stored.
    pub max_result_bytes: usize,
    /// Time for which a shard stays closed when all copies of a group are lost; `None` means that
    /// it never opens.
    pub lost_copies_wait: Option<time::Millis>,
    /// Delay after which a refused caller may retry.
    pub retry_after: time::Millis,
}

impl ClaimPolicy {
    /// Returns the time for which journal rows are kept.
    pub const fn row_retention(&self) -> time::Millis {
        time::Millis::new(self.retention.get() + MAX_RUN_TIME.get())
    }
}
