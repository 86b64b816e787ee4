//! Makes the entries of a shard's journal durable: in the table, or as copies at every peer of the
//! copy set while the table is unavailable.
//!
//! One write to the table and one round of copies are in flight at most. A write whose answer was
//! lost is sent again with the same rows; its condition makes that harmless.

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

/// What the writer wants done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterAction {
    /// Commit to the table.
    Commit(table::TableTransaction),
    /// Read the lease row.
    ReadLease,
    /// Have a peer keep batches.
    Copy {
        /// The round.
        round: RoundNumber,
        /// The peer.
        member: row::DaemonInstance,
        /// Every batch before this number is in the table.
        written: u64,
        /// The batches.
        batches: Vec<journal::JournalBatch>,
    },
}

/// The table's answer to a read of the lease row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseReading {
    /// The row, where it exists.
    Found(Option<Box<row::VersionedLease>>),
    /// No answer.
    Failed,
}

/// A peer's answer to a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CopyAnswer {
    /// The copy is kept.
    Kept,
    /// The peer was sealed by a later holder.
    Sealed,
    /// The peer lives another life and has lost what it kept.
    Gone,
    /// No answer.
    Failed,
}

impl From<copies::KeepAnswer> for CopyAnswer {
    fn from(answer: copies::KeepAnswer) -> CopyAnswer {
        match answer {
            copies::KeepAnswer::Kept => CopyAnswer::Kept,
            copies::KeepAnswer::Sealed => CopyAnswer::Sealed,
        }
    }
}

/// What an answer changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriterEvent {
    /// Nothing that matters outside.
    Nothing,
    /// These batches are durable now.
    Secured(Vec<journal::JournalBatch>),
    /// The lease row was changed as it was wanted; these batches are durable now.
    LeaseWritten(Vec<journal::JournalBatch>),
    /// Another daemon holds the lease.
    Lost,
}

/// Why a lease row is written by its holder.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseChange {
    /// The holder opens: earlier groups are sealed and their batches written, and from now on this
    /// set keeps copies.
    Open(row::CopySet),
    /// Another set keeps copies from now on.
    Copies(row::CopySet),
    /// The holder gives the lease away.
    Release,
}

#[derive(Clone, Debug)]
struct OpenBatch {
    batch: journal::JournalBatch,
    copied: bool,
}

#[derive(Clone, Debug)]
struct OldRow {
    id: journal::BatchId,
    written_at: time::MonotonicTime,
}

/// Writer of one shard's journal, for one hold of its lease.
#[derive(Clone, Debug)]
pub struct JournalWriter {
    shard: quantity::ShardNumber,
    lease: row::VersionedLease,
    policy: policy::ClaimPolicy,
    pending: Vec<journal::JournalEntry>,
    backlog_bytes: usize,
    unwritten: collections::VecDeque<OpenBatch>,
    next_seq: u64,
    write: Option<table_writes::TableWrite>,
    write_count: u64,
    /// When the next batch would be due at an even pace; batches may run ahead of it a little.
    next_flush: time::MonotonicTime,
    /// Since when entries wait for a batch.
    pending_since: Option<time::MonotonicTime>,
    table_retry: Option<time::MonotonicTime>,
    wanted: Option<LeaseChange>,
    /// A write of the lease row may take effect later: which copy set holds is not known.
    lease_unsettled: bool,
    /// A write was refused: the lease row tells whether the lease is lost.
    check_lease: bool,
    round: Option<copy_rounds::CopyRound>,
    round_count: u64,
    copy_retry: Option<time::MonotonicTime>,
    /// Peers may keep batches of this holder.
    has_copies: bool,
    rows: collections::VecDeque<OldRow>,
}

impl JournalWriter {
    /// A writer for a lease that was just taken.
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
            write: None,
            write_count: 0,
            next_flush: time::MonotonicTime::default(),
            pending_since: None,
            table_retry: None,
            wanted: None,
            lease_unsettled: false,
            check_lease: false,
            round: None,
            round_count: 0,
            copy_retry: None,
            has_copies: false,
            rows: collections::VecDeque::new(),
        }
    }

    /// The lease as this holder knows it.
    pub fn lease(&self) -> &row::VersionedLease {
        &self.lease
    }

    /// Number of entries that are not in the table yet.
    pub fn backlog(&self) -> usize {
        let unwritten: usize = self.unwritten.iter().map(|open| open.batch.entries.len()).sum();
        unwritten + self.pending.len()
    }

    /// Bytes of results that are not in the table yet.
    pub fn backlog_bytes(&self) -> usize {
        self.backlog_bytes
    }

    /// Adds an entry and gives the batch that it will be in.
    pub fn push(&mut self, entry: journal::JournalEntry) -> journal::BatchId {
        self.backlog_bytes += entry.result_bytes();
        self.pending.push(entry);
        self.next_id()
    }

    /// Takes back entries that are in no batch yet.
    pub fn retract(
        &mut self,
        batch: journal::BatchId,
        is_meant: impl Fn(&journal::JournalEntry) -> bool,
    ) -> bool {
        if batch != self.next_id() {
            return false;
        }
        let before = self.pending.len();
        self.pending.retain(|entry| !is_meant(entry));
        self.pending.len() != before
    }

    /// Takes over batches of an earlier holder that are not in the table.
    pub fn adopt(&mut self, batch: journal::JournalBatch) {
        self.backlog_bytes += batch.result_bytes();
        // They count as durable: their claims may have been run by the earlier holder.
        self.unwritten.push_back(OpenBatch { batch, copied: true });
    }

    /// Notes a row that the table has already.
    pub fn note_row(&mut self, now: time::MonotonicTime, id: journal::BatchId) {
        self.rows.push_back(OldRow { id, written_at: now });
    }

    /// Asks for a change of the lease row.
    pub fn change_lease(&mut self, change: LeaseChange) {
        self.wanted = Some(change);
    }

    /// Whether a change of the lease row is wanted or in flight.
    pub fn is_changing_lease(&self) -> bool {
        self.wanted.is_some() || self.is_writing_lease() || self.lease_unsettled
    }

    /// Everything that is not in the table, for a later holder. Nothing is written after it.
    pub fn surrender(&mut self) -> Vec<journal::JournalBatch> {
        self.cut_batch();
        self.unwritten.iter().map(|open| open.batch.clone()).collect()
    }

    /// Starts what can be started now.
    pub fn drive(&mut self, now: time::MonotonicTime, actions: &mut Vec<WriterAction>) {
        self.drive_flush(now);
        self.drive_table(now, actions);
        self.drive_copies(now, actions);
    }

    /// When the writer wants to be driven again, if not by an answer.
    pub fn next_wakeup(&self, now: time::MonotonicTime) -> Option<time::MonotonicTime> {
        let has_work = !self.pending.is_empty() || self.has_unsecured();
        let due_flush = self.flush_due_at();
        let due_copy = self.write.as_ref().map(|write| write.since + self.policy.table_timeout);
        [due_flush, due_copy.filter(|_| has_work), self.table_retry, self.copy_retry]
            .into_iter()
            .flatten()
            .filter(|due| *due > now)
            .min()
    }

    fn is_writing_lease(&self) -> bool {
        self.write.as_ref().is_some_and(table_writes::TableWrite::is_of_lease)
    }

    fn next_id(&self) -> journal::BatchId {
        journal::BatchId { fence: self.lease.row.fence, seq: self.next_seq }
    }

    fn has_unsecured(&self) -> bool {
        self.unwritten.iter().any(|open| !open.copied)
    }

    fn cut_batch(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let batch =
            journal::JournalBatch { id: self.next_id(), entries: mem::take(&mut self.pending) };
        self.unwritten.push_back(OpenBatch { batch, copied: false });
        self.next_seq += 1;
    }

    /// Closes a batch when one is due, but gathers more entries while the table is at work.
    fn drive_flush(&mut self, now: time::MonotonicTime) {
        if self.pending.is_empty() {
            return;
        }
        self.pending_since.get_or_insert(now);
        // The last row of a hold goes along with the release.
        let is_released = matches!(self.wanted, Some(LeaseChange::Release));
        let is_due = is_released || self.flush_due_at().is_some_and(|due| due <= now);
        let is_free = self.write.is_none() || self.is_table_late(now);
        if is_due && is_free {
            self.next_flush = self.next_flush.max(now) + self.policy.flush_interval;
            self.pending_since = None;
            self.cut_batch();
        }
    }

    /// When the waiting entries should be closed into a batch.
    ///
    /// A claim is held up by the pace of batches only; results wait for a claim to go with.
    fn flush_due_at(&self) -> Option<time::MonotonicTime> {
        let since = self.pending_since?;
        let interval = self.policy.flush_interval.get();
        let ahead = interval * (policy::FLUSH_BURST - 1);
        let paced = time::MonotonicTime::new(self.next_flush.get().saturating_sub(ahead));
        let is_claim =
            |entry: &journal::JournalEntry| matches!(entry, journal::JournalEntry::Claimed { .. });
        if self.pending.iter().any(is_claim) {
            return Some(paced);
        }
        let patience = time::Millis::new(interval * policy::RESULT_INTERVALS);
        Some(paced.max(since + patience))
    }
}
