//! The writes of a journal to the table: batches, the lease row, and deletes of old rows.
//!
//! Each is conditional on the version of the lease row, so a holder that lost its lease writes
//! nothing more.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::commit_outcome;
use samphiremoor_lease::row;
use samphiremoor_platform::table;

use crate::journal;
use crate::policy;
use crate::writer;

/// What the write in flight does.
#[derive(Clone, Debug)]
enum WriteKind {
    /// Writes the first batches that are not in the table.
    Batches(usize),
    /// Writes the lease row, with every batch that is not in the table.
    Lease(Box<row::LeaseRow>, usize),
    /// Deletes old rows.
    Delete(usize),
    /// Reads the lease row after a write of it whose end is not known or a refusal.
    Read,
}

/// The write in flight.
#[derive(Clone, Debug)]
pub(super) struct TableWrite {
    kind: WriteKind,
    pub(super) since: time::MonotonicTime,
}

impl TableWrite {
    /// Whether the lease row is written.
    pub(super) fn is_of_lease(&self) -> bool {
        matches!(self.kind, WriteKind::Lease(..))
    }
}

impl writer::JournalWriter {
    /// Settles the write in flight.
    pub fn table_answered(
        &mut self,
        now: time::MonotonicTime,
        answer: commit_outcome::CommitOutcome,
    ) -> writer::WriterEvent {
        let Some(write) = self.write.take() else { return writer::WriterEvent::Nothing };
        self.table_retry = match answer {
            commit_outcome::CommitOutcome::Committed(_)
            | commit_outcome::CommitOutcome::Conflict => None,
            commit_outcome::CommitOutcome::NotApplied | commit_outcome::CommitOutcome::Unknown => {
                Some(now + policy::TABLE_RETRY)
            }
        };
        match answer {
            commit_outcome::CommitOutcome::Committed(version) => {
                self.committed(now, write.kind, version)
            }
            commit_outcome::CommitOutcome::Conflict => {
                self.check_lease = true;
                writer::WriterEvent::Nothing
            }
            commit_outcome::CommitOutcome::Unknown if write.is_of_lease() => {
                self.lease_unsettled = true;
                self.check_lease = true;
                writer::WriterEvent::Nothing
            }
            commit_outcome::CommitOutcome::NotApplied | commit_outcome::CommitOutcome::Unknown => {
                writer::WriterEvent::Nothing
            }
        }
    }

    fn committed(
        &mut self,
        now: time::MonotonicTime,
        kind: WriteKind,
        version: quantity::RowVersion,
    ) -> writer::WriterEvent {
        match kind {
            WriteKind::Batches(count) => writer::WriterEvent::Secured(self.written(now, count)),
            WriteKind::Lease(row, count) => {
                let secured = self.written(now, count);
                self.lease = row::VersionedLease { row: *row, version };
                self.lease_unsettled = false;
                self.wanted = None;
                writer::WriterEvent::LeaseWritten(secured)
            }
            WriteKind::Delete(count) => {
                self.rows.drain(..count);
                writer::WriterEvent::Nothing
            }
            WriteKind::Read => writer::WriterEvent::Nothing,
        }
    }

    /// Settles a read of the lease row.
    pub fn lease_read(
        &mut self,
        now: time::MonotonicTime,
        reading: writer::LeaseReading,
    ) -> writer::WriterEvent {
        self.write = None;
        let writer::LeaseReading::Found(found) = reading else {
            self.table_retry = Some(now + policy::TABLE_RETRY);
            return writer::WriterEvent::Nothing;
        };
        self.table_retry = None;
        let is_ours = |held: &row::VersionedLease| {
            held.row.holder == self.lease.row.holder && held.row.fence == self.lease.row.fence
        };
        let Some(found) = found.filter(|held| is_ours(held)) else {
            return writer::WriterEvent::Lost;
        };
        self.check_lease = false;
        if found.version == self.lease.version {
            // The write of the row may still arrive; writing it again settles it either way.
            return writer::WriterEvent::Nothing;
        }
        self.lease = *found;
        self.lease_unsettled = false;
        let is_wanted =
            self.wanted.as_ref().is_some_and(|change| self.changed_row(change) == self.lease.row);
        if !is_wanted {
            return writer::WriterEvent::Nothing;
        }
        self.wanted = None;
        // Batches of the same transaction are written once more, which does no harm.
        writer::WriterEvent::LeaseWritten(Vec::new())
    }

    /// Starts a write if none is in flight and no retry is awaited.
    pub(super) fn drive_table(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<writer::WriterAction>,
    ) {
        if self.write.is_some() {
            return;
        }
        if self.table_retry.is_some_and(|retry| now < retry) {
            return;
        }
        self.table_retry = None;
        if self.check_lease {
            self.write = Some(TableWrite { kind: WriteKind::Read, since: now });
            actions.push(writer::WriterAction::ReadLease);
            return;
        }
        if let Some(kind) = self.next_write(now) {
            actions.push(writer::WriterAction::Commit(self.transaction(&kind)));
            self.write = Some(TableWrite { kind, since: now });
        }
    }

    /// What to write next; deletes come last, since nobody waits for them.
    fn next_write(&mut self, now: time::MonotonicTime) -> Option<WriteKind> {
        // A change of the copy set waits for the round that uses the present one.
        if let Some(change) = self.wanted.as_ref().filter(|_| self.round.is_none()) {
            return Some(WriteKind::Lease(
                Box::new(self.changed_row(change)),
                self.unwritten.len(),
            ));
        }
        if !self.unwritten.is_empty() {
            return Some(WriteKind::Batches(self.batches_that_fit()));
        }
        let is_old =
            |old: &&writer::OldRow| now.since(old.written_at) >= self.policy.row_retention();
        let count = self.rows.iter().take(policy::MAX_DELETES).take_while(is_old).count();
        (count > 0).then_some(WriteKind::Delete(count))
    }

    fn batches_that_fit(&self) -> usize {
        self.unwritten.len().min(policy::MAX_BATCHES)
    }

    fn changed_row(&self, change: &writer::LeaseChange) -> row::LeaseRow {
        let mut row = self.lease.row.clone();
        match change {
            writer::LeaseChange::Open(copy_set) => {
                row.unsealed.clear();
                row.copy_set = copy_set.clone();
            }
            writer::LeaseChange::Copies(copy_set) => row.copy_set = copy_set.clone(),
            writer::LeaseChange::Release => return row::LeaseRow::released(row.fence),
        }
        row
    }

    fn transaction(&mut self, kind: &WriteKind) -> table::TableTransaction {
        let number = self.write_count;
        self.write_count += 1;
        let write_id = format!("shard-{}-{}-{number}", self.shard, self.lease.row.fence);
        let lease_key = row::shard_key(self.shard);
        table::TableTransaction {
            write_id: write_id.parse().expect("numbers and dashes make an identifier"),
            conditions: vec![table::RowCondition::VersionIs(lease_key, self.lease.version)],
            writes: self.row_writes(kind),
        }
    }

    fn row_writes(&self, kind: &WriteKind) -> Vec<table::RowWrite> {
        match kind {
            WriteKind::Batches(count) => self.batch_writes(*count),
            WriteKind::Lease(row, count) => {
                let mut writes = self.batch_writes(*count);
                writes.push(table::RowWrite::Put(row::shard_key(self.shard), row.encode()));
                writes
            }
            WriteKind::Delete(count) => {
                let old = self.rows.iter().take(*count);
                old.map(|old| table::RowWrite::Delete(journal::batch_key(self.shard, old.id)))
                    .collect()
            }
            WriteKind::Read => Vec::new(),
        }
    }

    /// Writes of the first batches that are not in the table.
    fn batch_writes(&self, count: usize) -> Vec<table::RowWrite> {
        let put = |open: &writer::OpenBatch| {
            let key = journal::batch_key(self.shard, open.batch.id);
            table::RowWrite::Put(key, open.batch.encode())
        };
        self.unwritten.iter().take(count).map(put).collect()
    }

    /// Notes that the first batches are in the table; gives those that were not durable before.
    fn written(&mut self, now: time::MonotonicTime, count: usize) -> Vec<journal::JournalBatch> {
        let done: Vec<_> = self.unwritten.drain(..count).collect();
        for open in &done {
            self.backlog_bytes = self.backlog_bytes.saturating_sub(open.batch.result_bytes());
            self.rows.push_back(writer::OldRow { id: open.batch.id, written_at: now });
        }
        let secured = done.into_iter().filter(|open| !open.copied);
        secured.map(|open| open.batch).collect()
    }

    /// Whether claims should go to the peers instead of waiting for the table.
    pub(super) fn is_table_late(&self, now: time::MonotonicTime) -> bool {
        let is_late = |write: &TableWrite| now.since(write.since) >= self.policy.table_timeout;
        self.table_retry.is_some() || self.write.as_ref().is_some_and(is_late)
    }
}
