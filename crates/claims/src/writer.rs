//! Makes the entries of a shard's journal durable by writing them to the table or, while the table
//! is unavailable, by copying them to every peer of the copy set.
//!
//! At most one write to the table and one round of copies are in flight. A write whose response was
//! lost is repeated with the same rows, which is safe because it is conditional on the version of
//! the lease row.

mod copy_rounds;
mod table_writes;

use std::collections;
use std::mem;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::row;
use samphiremoor_platform::table;

use crate::copies;
use crate::journal;
use crate::policy;

/// Number of a round of copies.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct RoundNumber(pub u64);

/// An action that the caller of the writer carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterAction {
    /// Commits a transaction to the table.
    Commit(table::TableTransaction),
    /// Reads the lease row.
    ReadLease,
    /// Stores copies of batches at a peer.
    Copy {
        /// The round of copies.
        round: RoundNumber,
        /// The peer.
        member: row::DaemonInstance,
        /// Sequence number of the holder's first batch that is not in the table.
        first_unwritten: u64,
        /// The batches.
        batches: Vec<journal::JournalBatch>,
    },
}

/// Result of reading the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseReadResult {
    /// The lease row, or `None` if it does not exist.
    Found(Option<Box<row::VersionedLease>>),
    /// The read failed.
    Failed,
}

/// A peer's response to a copy request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyResponse {
    /// The peer stored the copies.
    Stored,
    /// A later holder has sealed the peer.
    Sealed,
    /// The peer has restarted and lost its copies.
    CopiesLost,
    /// The request failed or timed out.
    Failed,
}

impl From<copies::StoreResponse> for CopyResponse {
    fn from(response: copies::StoreResponse) -> CopyResponse {
        match response {
            copies::StoreResponse::Stored => CopyResponse::Stored,
            copies::StoreResponse::Sealed => CopyResponse::Sealed,
        }
    }
}

/// Effect of a response on the journal and the lease.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterEvent {
    /// Neither the durability of a batch nor the lease changed.
    NoChange,
    /// These batches have become durable.
    BatchesDurable(Vec<journal::JournalBatch>),
    /// The requested change of the lease row took effect, and these batches have become durable.
    LeaseWritten(Vec<journal::JournalBatch>),
    /// Another daemon holds the lease.
    LeaseLost,
}

/// A change of the lease row by its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseChange {
    /// Opens the shard: marks the copy sets of earlier holders as recovered and sets the copy set
    /// of this holder. The recovered batches are written in the same transaction.
    Open(row::CopySet),
    /// Replaces the copy set.
    ReplaceCopySet(row::CopySet),
    /// Releases the lease.
    Release,
}

#[derive(Clone, Debug)]
struct UnwrittenBatch {
    batch: journal::JournalBatch,
    is_durable: bool,
}

#[derive(Clone, Debug)]
struct WrittenRow {
    id: journal::BatchId,
    written_at: time::MonotonicTime,
}

/// Writes one shard's journal on behalf of one holder.
#[derive(Clone, Debug)]
pub struct JournalWriter {
    shard: quantity::ShardNumber,
    lease: row::VersionedLease,
    policy: policy::ClaimPolicy,
    /// Entries of the batch that is not closed yet.
    pending: Vec<journal::JournalEntry>,
    /// Size of the results that are not in the table yet.
    backlog_bytes: usize,
    /// Closed batches that are not in the table yet, the oldest first.
    unwritten: collections::VecDeque<UnwrittenBatch>,
    /// Sequence number of the batch that is not closed yet.
    next_seq: u64,
    /// The table operation in flight.
    in_flight: Option<table_writes::TableOperation>,
    write_count: u64,
    /// When the next batch is due at the average rate. Up to [`policy::FLUSH_BURST`] batches may be
    /// closed back to back, ahead of this time.
    next_flush: time::MonotonicTime,
    /// Since when entries have been waiting for a batch.
    pending_since: Option<time::MonotonicTime>,
    /// When the next table operation may start after a failed one.
    table_retry_at: Option<time::MonotonicTime>,
    /// The requested change of the lease row, until it has taken effect.
    lease_change: Option<LeaseChange>,
    /// Whether a write of the lease row may still take effect, so that the copy set in the table is
    /// not known.
    lease_write_uncertain: bool,
    /// Whether a write failed its condition, so that the lease row must be read to find out whether
    /// the lease is lost.
    must_read_lease: bool,
    /// The round of copies in flight.
    copy_round: Option<copy_rounds::CopyRound>,
    round_count: u64,
    /// When the next round of copies may start after a failed one.
    copy_retry_at: Option<time::MonotonicTime>,
    /// Whether peers may store batches of this holder.
    peers_have_copies: bool,
    /// Journal rows in the table, the oldest first.
    written_rows: collections::VecDeque<WrittenRow>,
}

impl JournalWriter {
    /// Creates a writer for a lease that was just acquired.
    pub fn new(
        shard: quantity::ShardNumber,
        lease: row::VersionedLease,
        policy: policy::ClaimPolicy,
    ) -> Self {
        JournalWriter {
            shard,
            lease,
            policy,
            pending: Vec::new(),
            backlog_bytes: 0,
            unwritten: collections::VecDeque::new(),
            next_seq: 0,
            in_flight: None,
            write_count: 0,
            next_flush: time::MonotonicTime::default(),
            pending_since: None,
            table_retry_at: None,
            lease_change: None,
            lease_write_uncertain: false,
            must_read_lease: false,
            copy_round: None,
            round_count: 0,
            copy_retry_at: None,
            peers_have_copies: false,
            written_rows: collections::VecDeque::new(),
        }
    }

    /// Returns the lease as this holder last wrote or read it.
    pub fn lease(&self) -> &row::VersionedLease {
        &self.lease
    }

    /// Returns the number of entries that are not in the table yet.
    pub fn backlog_entries(&self) -> usize {
        let unwritten: usize =
            self.unwritten.iter().map(|unwritten| unwritten.batch.entries.len()).sum();
        unwritten + self.pending.len()
    }

    /// Returns the size in bytes of the results that are not in the table yet.
    pub fn backlog_bytes(&self) -> usize {
        self.backlog_bytes
    }

    /// Adds an entry and returns the id of the batch that will contain it.
    pub fn push(&mut self, entry: journal::JournalEntry) -> journal::BatchId {
        self.backlog_bytes += entry.result_bytes();
        self.pending.push(entry);
        self.next_batch_id()
    }

    /// Removes entries of a batch that is not closed yet. Returns whether any were removed.
    pub fn retract(
        &mut self,
        batch: journal::BatchId,
        is_retracted: impl Fn(&journal::JournalEntry) -> bool,
    ) -> bool {
        if batch != self.next_batch_id() {
            return false;
        }
        let count_before = self.pending.len();
        self.pending.retain(|entry| !is_retracted(entry));
        self.pending.len() != count_before
    }

    /// Adds a batch of an earlier holder that is not in the table.
    pub fn push_recovered(&mut self, batch: journal::JournalBatch) {
        self.backlog_bytes += batch.result_bytes();
        // The batch counts as durable because the earlier holder may already have run its claims.
        self.unwritten.push_back(UnwrittenBatch { batch, is_durable: true });
    }

    /// Adds a journal row that the table already contains.
    pub fn add_written_row(&mut self, now: time::MonotonicTime, id: journal::BatchId) {
        self.written_rows.push_back(WrittenRow { id, written_at: now });
    }

    /// Requests a change of the lease row.
    pub fn request_lease_change(&mut self, change: LeaseChange) {
        self.lease_change = Some(change);
    }

    /// Returns whether a change of the lease row is requested or in flight.
    pub fn is_changing_lease(&self) -> bool {
        self.lease_change.is_some() || self.is_writing_lease() || self.lease_write_uncertain
    }

    /// Returns all batches that are not in the table, for a later holder. The caller must not use
    /// the writer for further writes.
    pub fn export_unwritten(&mut self) -> Vec<journal::JournalBatch> {
        self.close_batch();
        self.unwritten.iter().map(|unwritten| unwritten.batch.clone()).collect()
    }

    /// Closes a batch if it is due and adds the actions that are due.
    pub fn push_due_actions(&mut self, now: time::MonotonicTime, actions: &mut Vec<WriterAction>) {
        self.close_due_batch(now);
        self.push_table_action(now, actions);
        self.push_copies(now, actions);
    }

    /// Returns when [`JournalWriter::push_due_actions`] must be called again if no response arrives
    /// first.
    pub fn next_wakeup(&self, now: time::MonotonicTime) -> Option<time::MonotonicTime> {
        let has_work = !self.pending.is_empty() || self.has_non_durable();
        let flush_due_at = self.flush_due_at();
        let table_late_at = self
            .in_flight
            .as_ref()
            .map(|operation| operation.started_at + self.policy.table_timeout);
        [flush_due_at, table_late_at.filter(|_| has_work), self.table_retry_at, self.copy_retry_at]
            .into_iter()
            .flatten()
            .filter(|wakeup| *wakeup > now)
            .min()
    }

    fn is_writing_lease(&self) -> bool {
        self.in_flight.as_ref().is_some_and(table_writes::TableOperation::is_lease_write)
    }

    fn next_batch_id(&self) -> journal::BatchId {
        journal::BatchId { fence: self.lease.row.fence, seq: self.next_seq }
    }

    fn has_non_durable(&self) -> bool {
        self.unwritten.iter().any(|unwritten| !unwritten.is_durable)
    }

    fn close_batch(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let batch = journal::JournalBatch {
            id: self.next_batch_id(),
            entries: mem::take(&mut self.pending),
        };
        self.unwritten.push_back(UnwrittenBatch { batch, is_durable: false });
        self.next_seq += 1;
    }

    /// Closes a batch when it is due. While a write is in flight, entries keep accumulating in
    /// that batch, unless the table is late.
    fn close_due_batch(&mut self, now: time::MonotonicTime) {
        if self.pending.is_empty() {
            return;
        }
        self.pending_since.get_or_insert(now);
        // The last batch of a holder is written together with the released lease row.
        let is_releasing = matches!(self.lease_change, Some(LeaseChange::Release));
        let is_due = is_releasing || self.flush_due_at().is_some_and(|due_at| due_at <= now);
        let may_close = self.in_flight.is_none() || self.is_table_late(now);
        if is_due && may_close {
            self.next_flush = self.next_flush.max(now) + self.policy.flush_interval;
            self.pending_since = None;
            self.close_batch();
        }
    }

    /// Returns when the batch of the pending entries is due to be closed.
    ///
    /// A claim waits only as long as the rate limit of batches requires. Results wait longer, so
    /// that they can share a batch with a claim.
    fn flush_due_at(&self) -> Option<time::MonotonicTime> {
        let pending_since = self.pending_since?;
        let interval_ms = self.policy.flush_interval.get();
        let burst_ms = interval_ms * (policy::FLUSH_BURST - 1);
        let earliest_flush =
            time::MonotonicTime::new(self.next_flush.get().saturating_sub(burst_ms));
        let is_claim =
            |entry: &journal::JournalEntry| matches!(entry, journal::JournalEntry::Claimed { .. });
        if self.pending.iter().any(is_claim) {
            return Some(earliest_flush);
        }
        let max_wait = time::Millis::new(interval_ms * policy::RESULT_FLUSH_INTERVALS);
        Some(earliest_flush.max(pending_since + max_wait))
    }
}
