//! Operations of a journal writer on the table: writes of batches and of the lease row, deletions
//! of old journal rows, and reads of the lease row.
//!
//! Every transaction is conditional on the version of the lease row, so a holder that has lost its
//! lease can't write any more.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::table;

use crate::journal;
use crate::policy;
use crate::writer;

/// Purpose of the operation in flight.
#[derive(Clone, Debug)]
enum OperationKind {
    /// Writes this number of batches, the oldest that are not in the table.
    WriteBatches(usize),
    /// Writes the lease row together with this number of batches, the oldest that are not in the
    /// table.
    WriteLease(Box<row::LeaseRow>, usize),
    /// Deletes this number of journal rows, the oldest in the table.
    DeleteRows(usize),
    /// Reads the lease row after a write failed its condition or the outcome of writing the lease
    /// row was unknown.
    ReadLease,
}

/// An operation in flight.
#[derive(Clone, Debug)]
pub(super) struct TableOperation {
    kind: OperationKind,
    pub(super) started_at: time::MonotonicTime,
}

impl TableOperation {
    /// Returns whether the operation writes the lease row.
    pub(super) fn is_lease_write(&self) -> bool {
        matches!(self.kind, OperationKind::WriteLease(..))
    }
}

impl writer::JournalWriter {
    /// Handles the outcome of the transaction in flight.
    pub fn handle_commit(
        &mut self,
        now: time::MonotonicTime,
        outcome: commit_outcome::CommitOutcome,
    ) -> writer::WriterEvent {
        let Some(operation) = self.in_flight.take() else { return writer::WriterEvent::NoChange };
        self.table_retry_at = match outcome {
            commit_outcome::CommitOutcome::Committed(_)
            | commit_outcome::CommitOutcome::Conflict => None,
            commit_outcome::CommitOutcome::NotApplied | commit_outcome::CommitOutcome::Unknown => {
                Some(now + policy::TABLE_RETRY_DELAY)
            }
        };
        match outcome {
            commit_outcome::CommitOutcome::Committed(version) => {
                self.handle_committed(now, operation.kind, version)
            }
            commit_outcome::CommitOutcome::Conflict => {
                self.must_read_lease = true;
                writer::WriterEvent::NoChange
            }
            commit_outcome::CommitOutcome::Unknown if operation.is_lease_write() => {
                self.lease_write_uncertain = true;
                self.must_read_lease = true;
                writer::WriterEvent::NoChange
            }
            commit_outcome::CommitOutcome::NotApplied | commit_outcome::CommitOutcome::Unknown => {
                writer::WriterEvent::NoChange
            }
        }
    }

    fn handle_committed(
        &mut self,
        now: time::MonotonicTime,
        kind: OperationKind,
        version: quantity::RowVersion,
    ) -> writer::WriterEvent {
        match kind {
            OperationKind::WriteBatches(count) => {
                writer::WriterEvent::BatchesDurable(self.mark_written(now, count))
            }
            OperationKind::WriteLease(row, count) => {
                let durable = self.mark_written(now, count);
                self.lease = row::VersionedLease { row: *row, version };
                self.lease_write_uncertain = false;
                self.lease_change = None;
                writer::WriterEvent::LeaseWritten(durable)
            }
            OperationKind::DeleteRows(count) => {
                self.written_rows.drain(..count);
                writer::WriterEvent::NoChange
            }
            OperationKind::ReadLease => writer::WriterEvent::NoChange,
        }
    }

    /// Handles the result of reading the lease row.
    pub fn handle_lease_read(
        &mut self,
        now: time::MonotonicTime,
        result: writer::LeaseReadResult,
    ) -> writer::WriterEvent {
        self.in_flight = None;
        let writer::LeaseReadResult::Found(lease_in_table) = result else {
            self.table_retry_at = Some(now + policy::TABLE_RETRY_DELAY);
            return writer::WriterEvent::NoChange;
        };
        self.table_retry_at = None;
        let is_same_lease = |lease: &row::VersionedLease| {
            lease.row.holder == self.lease.row.holder && lease.row.fence == self.lease.row.fence
        };
        let Some(lease_in_table) = lease_in_table.filter(|lease| is_same_lease(lease)) else {
            return writer::WriterEvent::LeaseLost;
        };
        self.must_read_lease = false;
        if lease_in_table.version == self.lease.version {
            // The earlier write may still arrive. Writing the row again is safe, because both
            // writes are conditional on the same version and only one of them can take effect.
            return writer::WriterEvent::NoChange;
        }
        self.lease = *lease_in_table;
        self.lease_write_uncertain = false;
        let is_change_written = self
            .lease_change
            .as_ref()
            .is_some_and(|change| self.updated_row(change) == self.lease.row);
        if !is_change_written {
            return writer::WriterEvent::NoChange;
        }
        self.lease_change = None;
        // The batches that the same transaction wrote still count as unwritten. They are written
        // again with the same contents.
        writer::WriterEvent::LeaseWritten(Vec::new())
    }

    /// Starts the next operation, unless one is in flight or a retry is not due yet.
    pub(super) fn push_table_action(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<writer::WriterAction>,
    ) {
        if self.in_flight.is_some() {
            return;
        }
        if self.table_retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        self.table_retry_at = None;
        if self.must_read_lease {
            self.in_flight =
                Some(TableOperation { kind: OperationKind::ReadLease, started_at: now });
            actions.push(writer::WriterAction::ReadLease);
            return;
        }
        if let Some(kind) = self.next_operation(now) {
            actions.push(writer::WriterAction::Commit(self.transaction(&kind)));
            self.in_flight = Some(TableOperation { kind, started_at: now });
        }
    }

    /// Returns the next write. Deletions come last because nothing waits for them.
    fn next_operation(&mut self, now: time::MonotonicTime) -> Option<OperationKind> {
        // Every change of the lease row replaces the copy set, so it waits until the round of
        // copies that uses the current set has ended.
        if let Some(change) = self.lease_change.as_ref().filter(|_| self.copy_round.is_none()) {
            return Some(OperationKind::WriteLease(
                Box::new(self.updated_row(change)),
                self.unwritten.len(),
            ));
        }
        if !self.unwritten.is_empty() {
            return Some(OperationKind::WriteBatches(self.next_batch_count()));
        }
        let is_old =
            |row: &&writer::WrittenRow| now.since(row.written_at) >= self.policy.row_retention();
        let count =
            self.written_rows.iter().take(policy::MAX_DELETES_PER_WRITE).take_while(is_old).count();
        (count > 0).then_some(OperationKind::DeleteRows(count))
    }

    fn next_batch_count(&self) -> usize {
        self.unwritten.len().min(policy::MAX_BATCHES_PER_WRITE)
    }

    fn updated_row(&self, change: &writer::LeaseChange) -> row::LeaseRow {
        let mut row = self.lease.row.clone();
        match change {
            writer::LeaseChange::Open(copy_set) => {
                row.unsealed.clear();
                row.copy_set = copy_set.clone();
            }
            writer::LeaseChange::ReplaceCopySet(copy_set) => row.copy_set = copy_set.clone(),
            writer::LeaseChange::Release => return row::LeaseRow::released(row.fence),
        }
        row
    }

    fn transaction(&mut self, kind: &OperationKind) -> table::TableTransaction {
        let write_number = self.write_count;
        self.write_count += 1;
        let write_id = format!("shard-{}-{}-{write_number}", self.shard, self.lease.row.fence);
        let lease_key = row::shard_key(self.shard);
        table::TableTransaction {
            write_id: write_id.parse().expect("letters, digits and dashes make an identifier"),
            conditions: vec![table::RowCondition::VersionIs(lease_key, self.lease.version)],
            writes: self.row_writes(kind),
        }
    }

    fn row_writes(&self, kind: &OperationKind) -> Vec<table::RowWrite> {
        match kind {
            OperationKind::WriteBatches(count) => self.batch_writes(*count),
            OperationKind::WriteLease(row, count) => {
                let mut writes = self.batch_writes(*count);
                writes.push(table::RowWrite::Put(row::shard_key(self.shard), row.encode()));
                writes
            }
            OperationKind::DeleteRows(count) => {
                let old_rows = self.written_rows.iter().take(*count);
                old_rows
                    .map(|row| table::RowWrite::Delete(journal::batch_key(self.shard, row.id)))
                    .collect()
            }
            OperationKind::ReadLease => Vec::new(),
        }
    }

    /// Returns the writes of the oldest `count` batches that are not in the table.
    fn batch_writes(&self, count: usize) -> Vec<table::RowWrite> {
        let put = |unwritten: &writer::UnwrittenBatch| {
            let key = journal::batch_key(self.shard, unwritten.batch.id);
            table::RowWrite::Put(key, unwritten.batch.encode())
        };
        self.unwritten.iter().take(count).map(put).collect()
    }

    /// Marks the oldest `count` unwritten batches as written and returns those that were not
    /// durable before.
    fn mark_written(
        &mut self,
        now: time::MonotonicTime,
        count: usize,
    ) -> Vec<journal::JournalBatch> {
        let drained: Vec<_> = self.unwritten.drain(..count).collect();
        for unwritten in &drained {
            self.backlog_bytes = self.backlog_bytes.saturating_sub(unwritten.batch.result_bytes());
            self.written_rows
                .push_back(writer::WrittenRow { id: unwritten.batch.id, written_at: now });
        }
        let newly_durable = drained.into_iter().filter(|unwritten| !unwritten.is_durable);
        newly_durable.map(|unwritten| unwritten.batch).collect()
    }

    /// Returns whether a failed operation waits for its retry or the operation in flight exceeds
    /// the timeout, so that claims are copied to peers.
    pub(super) fn is_table_late(&self, now: time::MonotonicTime) -> bool {
        let is_late = |operation: &TableOperation| {
            now.since(operation.started_at) >= self.policy.table_timeout
        };
        self.table_retry_at.is_some() || self.in_flight.as_ref().is_some_and(is_late)
    }
}
