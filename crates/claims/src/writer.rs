//! Makes the entries of a shard's journal durable: in the table, or as copies at every peer of the
//! copy set while the table is unavailable.
//!
//! One write to the table and one round of copies are in flight at most. A write whose answer was
//! lost is sent again with the same rows; its condition makes that harmless.

use std::collections;
use std::mem;

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_lease::answer;
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
        member: row::DaemonLife,
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
    Found(Option<Box<row::HeldLease>>),
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

#[derive(Clone, Debug)]
struct TableWrite {
    kind: WriteKind,
    since: time::MonotonicTime,
}

#[derive(Clone, Debug)]
struct OpenBatch {
    batch: journal::JournalBatch,
    copied: bool,
}

#[derive(Clone, Debug)]
struct CopyRound {
    number: RoundNumber,
    /// Number after the last batch of the round.
    end: u64,
    missing: row::CopySet,
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
    lease: row::HeldLease,
    policy: policy::ClaimPolicy,
    pending: Vec<journal::JournalEntry>,
    backlog_bytes: usize,
    unwritten: collections::VecDeque<OpenBatch>,
    next_seq: u64,
    write: Option<TableWrite>,
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
    round: Option<CopyRound>,
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
        lease: row::HeldLease,
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
    pub fn lease(&self) -> &row::HeldLease {
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
        let is_writing =
            self.write.as_ref().is_some_and(|write| matches!(write.kind, WriteKind::Lease(..)));
        self.wanted.is_some() || is_writing || self.lease_unsettled
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

    /// Settles the write in flight.
    pub fn table_answered(
        &mut self,
        now: time::MonotonicTime,
        answer: answer::TableAnswer,
    ) -> WriterEvent {
        let Some(write) = self.write.take() else { return WriterEvent::Nothing };
        self.table_retry = match answer {
            answer::TableAnswer::Committed(_) | answer::TableAnswer::Refused => None,
            answer::TableAnswer::NotDone | answer::TableAnswer::Unknown => {
                Some(now + policy::TABLE_RETRY)
            }
        };
        match (answer, write.kind) {
            (answer::TableAnswer::Committed(_), WriteKind::Batches(count)) => {
                WriterEvent::Secured(self.written(now, count))
            }
            (answer::TableAnswer::Committed(version), WriteKind::Lease(row, count)) => {
                let secured = self.written(now, count);
                self.lease = row::HeldLease { row: *row, version };
                self.lease_unsettled = false;
                self.wanted = None;
                WriterEvent::LeaseWritten(secured)
            }
            (answer::TableAnswer::Committed(_), WriteKind::Delete(count)) => {
                self.rows.drain(..count);
                WriterEvent::Nothing
            }
            (answer::TableAnswer::Refused, _) => {
                self.check_lease = true;
                WriterEvent::Nothing
            }
            (answer::TableAnswer::Unknown, WriteKind::Lease(..)) => {
                self.lease_unsettled = true;
                self.check_lease = true;
                WriterEvent::Nothing
            }
            _ => WriterEvent::Nothing,
        }
    }

    /// Settles a read of the lease row.
    pub fn lease_read(&mut self, now: time::MonotonicTime, reading: LeaseReading) -> WriterEvent {
        self.write = None;
        let LeaseReading::Found(found) = reading else {
            self.table_retry = Some(now + policy::TABLE_RETRY);
            return WriterEvent::Nothing;
        };
        self.table_retry = None;
        let is_ours = |held: &row::HeldLease| {
            held.row.holder == self.lease.row.holder && held.row.fence == self.lease.row.fence
        };
        let Some(found) = found.filter(|held| is_ours(held)) else { return WriterEvent::Lost };
        self.check_lease = false;
        if found.version == self.lease.version {
            // The write of the row may still arrive; writing it again settles it either way.
            return WriterEvent::Nothing;
        }
        self.lease = *found;
        self.lease_unsettled = false;
        let is_wanted =
            self.wanted.as_ref().is_some_and(|change| self.changed_row(change) == self.lease.row);
        if !is_wanted {
            return WriterEvent::Nothing;
        }
        self.wanted = None;
        // Batches of the same transaction are written once more, which does no harm.
        WriterEvent::LeaseWritten(Vec::new())
    }

    /// Settles one peer's part of a round of copies.
    pub fn copy_answered(
        &mut self,
        now: time::MonotonicTime,
        round: RoundNumber,
        member: &row::DaemonLife,
        answer: CopyAnswer,
    ) -> WriterEvent {
        if self.round.as_ref().is_none_or(|current| current.number != round) {
            return WriterEvent::Nothing;
        }
        match answer {
            CopyAnswer::Kept => self.copy_kept(member),
            CopyAnswer::Sealed => WriterEvent::Lost,
            CopyAnswer::Gone | CopyAnswer::Failed => {
                self.round = None;
                self.copy_retry = Some(now + policy::COPY_RETRY);
                WriterEvent::Nothing
            }
        }
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

    fn drive_table(&mut self, now: time::MonotonicTime, actions: &mut Vec<WriterAction>) {
        if self.write.is_some() {
            return;
        }
        if self.table_retry.is_some_and(|retry| now < retry) {
            return;
        }
        self.table_retry = None;
        if self.check_lease {
            self.write = Some(TableWrite { kind: WriteKind::Read, since: now });
            actions.push(WriterAction::ReadLease);
            return;
        }
        if let Some(kind) = self.next_write(now) {
            actions.push(WriterAction::Commit(self.transaction(&kind)));
            self.write = Some(TableWrite { kind, since: now });
        }
    }

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
        let is_old = |old: &&OldRow| now.since(old.written_at) >= self.policy.row_retention();
        let count = self.rows.iter().take(policy::MAX_DELETES).take_while(is_old).count();
        (count > 0).then_some(WriteKind::Delete(count))
    }

    fn batches_that_fit(&self) -> usize {
        self.unwritten.len().min(policy::MAX_BATCHES)
    }

    fn changed_row(&self, change: &LeaseChange) -> row::LeaseRow {
        let mut row = self.lease.row.clone();
        match change {
            LeaseChange::Open(copy_set) => {
                row.unsealed.clear();
                row.copy_set = copy_set.clone();
            }
            LeaseChange::Copies(copy_set) => row.copy_set = copy_set.clone(),
            LeaseChange::Release => return row::LeaseRow::released(row.fence),
        }
        row
    }

    fn transaction(&mut self, kind: &WriteKind) -> table::TableTransaction {
        let lease_key = row::shard_key(self.shard);
        let put = |open: &OpenBatch| {
            let key = journal::batch_key(self.shard, open.batch.id);
            table::RowWrite::Put(key, open.batch.encode())
        };
        let writes = match kind {
            WriteKind::Batches(count) => self.unwritten.iter().take(*count).map(put).collect(),
            WriteKind::Lease(row, count) => {
                let mut writes: Vec<_> = self.unwritten.iter().take(*count).map(put).collect();
                writes.push(table::RowWrite::Put(lease_key.clone(), row.encode()));
                writes
            }
            WriteKind::Delete(count) => {
                let old = self.rows.iter().take(*count);
                old.map(|old| table::RowWrite::Delete(journal::batch_key(self.shard, old.id)))
                    .collect()
            }
            WriteKind::Read => Vec::new(),
        };
        let number = self.write_count;
        self.write_count += 1;
        let write_id = format!("shard-{}-{}-{number}", self.shard, self.lease.row.fence);
        table::TableTransaction {
            write_id: write_id.parse().expect("numbers and dashes make an identifier"),
            conditions: vec![table::RowCondition::VersionIs(lease_key, self.lease.version)],
            writes,
        }
    }

    /// Notes that the first batches are in the table; gives those that were not durable before.
    fn written(&mut self, now: time::MonotonicTime, count: usize) -> Vec<journal::JournalBatch> {
        let done: Vec<_> = self.unwritten.drain(..count).collect();
        for open in &done {
            self.backlog_bytes = self.backlog_bytes.saturating_sub(open.batch.result_bytes());
            self.rows.push_back(OldRow { id: open.batch.id, written_at: now });
        }
        let secured = done.into_iter().filter(|open| !open.copied);
        secured.map(|open| open.batch).collect()
    }

    fn drive_copies(&mut self, now: time::MonotonicTime, actions: &mut Vec<WriterAction>) {
        let copy_set = &self.lease.row.copy_set;
        let is_blocked = self.round.is_some() || self.lease_unsettled || copy_set.is_empty();
        // A write of the lease row in flight changes the set.
        let is_changing =
            self.write.as_ref().is_some_and(|write| matches!(write.kind, WriteKind::Lease(..)));
        if is_blocked || is_changing {
            return;
        }
        let is_needed = self.has_unsecured() && self.is_table_late(now);
        let is_prunable = self.has_copies && self.unwritten.is_empty();
        if !is_needed && !is_prunable {
            return;
        }
        if self.copy_retry.is_some_and(|retry| now < retry) {
            return;
        }
        self.copy_retry = None;
        // A round without batches tells the peers that the table has them all.
        self.has_copies = !is_prunable;
        self.start_round(actions);
    }

    fn is_table_late(&self, now: time::MonotonicTime) -> bool {
        let is_late = |write: &TableWrite| now.since(write.since) >= self.policy.table_timeout;
        self.table_retry.is_some() || self.write.as_ref().is_some_and(is_late)
    }

    fn start_round(&mut self, actions: &mut Vec<WriterAction>) {
        self.round_count += 1;
        let number = RoundNumber(self.round_count);
        let unsecured = self.unwritten.iter().filter(|open| !open.copied);
        let batches: Vec<_> = unsecured.map(|open| open.batch.clone()).collect();
        // Batches of earlier holders have numbers of their own.
        let fence = self.lease.row.fence;
        let first = self.unwritten.iter().find(|open| open.batch.id.fence == fence);
        let written = first.map_or(self.next_seq, |open| open.batch.id.seq);
        for member in &self.lease.row.copy_set {
            let member = member.clone();
            let batches = batches.clone();
            actions.push(WriterAction::Copy { round: number, member, written, batches });
        }
        let missing = self.lease.row.copy_set.clone();
        self.round = Some(CopyRound { number, end: self.next_seq, missing });
    }

    fn copy_kept(&mut self, member: &row::DaemonLife) -> WriterEvent {
        let Some(round) = &mut self.round else { return WriterEvent::Nothing };
        round.missing.retain(|missing| missing != member);
        if !round.missing.is_empty() {
            return WriterEvent::Nothing;
        }
        let end = round.end;
        self.round = None;
        let fresh = |open: &&mut OpenBatch| !open.copied && open.batch.id.seq < end;
        let mut secured = Vec::new();
        for open in self.unwritten.iter_mut().filter(fresh) {
            open.copied = true;
            secured.push(open.batch.clone());
        }
        WriterEvent::Secured(secured)
    }
}
