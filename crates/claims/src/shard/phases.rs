//! The phases of a hold: what opens it, and what begins its release.

use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::journal;
use crate::ledger;
use crate::shard;
use crate::step;
use crate::writer;

impl shard::ShardHolder {
    /// Opens or closes the shard, now that the lease row says so.
    pub(super) fn lease_written(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        match self.phase {
            shard::HoldPhase::Adopting => {
                self.phase = shard::HoldPhase::Open;
                actions.push(step::ClaimAction::Opened);
                for send in self.held.take_all() {
                    self.submit(now, send, actions);
                }
            }
            shard::HoldPhase::Releasing => self.close(step::CloseReason::Released, actions),
            shard::HoldPhase::Opening(_) | shard::HoldPhase::Open | shard::HoldPhase::Closed => {}
        }
    }

    /// Replays the journal, so that results in it are answered before the shard is open.
    pub(super) fn journal_read(
        &mut self,
        now: time::MonotonicTime,
        journal: Option<Vec<journal::JournalBatch>>,
    ) {
        let shard::HoldPhase::Opening(opening) = &mut self.phase else { return };
        for batch in journal.iter().flatten() {
            self.writer.note_row(now, batch.id);
            for entry in &batch.entries {
                self.ledger.replay(now, entry);
            }
        }
        opening.journal_read(now, journal);
    }

    /// Builds the ledger from everything that is known and writes what only peers kept.
    pub(super) fn adopt(&mut self, now: time::MonotonicTime) {
        let shard::HoldPhase::Opening(opening) = &self.phase else { return };
        let copies = opening.unwritten_copies();
        let mut batches = opening.journal().unwrap_or_default().to_vec();
        batches.extend(copies.iter().cloned());
        batches.sort_by_key(|batch| batch.id);
        self.ledger = ledger::KeyLedger::new(self.policy.retention);
        for entry in batches.iter().flat_map(|batch| &batch.entries) {
            self.ledger.replay(now, entry);
        }
        for copy in copies {
            self.writer.adopt(copy);
        }
        self.writer.change_lease(writer::LeaseChange::Open(self.copy_set.clone()));
        self.phase = shard::HoldPhase::Adopting;
    }

    /// Changes the copy set, unless another change of the lease row is under way.
    pub(super) fn prefer_copies(&mut self, copy_set: row::CopySet) {
        self.copy_set = copy_set;
        let is_same = self.writer.lease().row.copy_set == self.copy_set;
        if self.is_open() && !is_same && !self.writer.is_changing_lease() {
            self.writer.change_lease(writer::LeaseChange::Copies(self.copy_set.clone()));
        }
    }

    /// Takes no more claims; the lease is given away once the runs have ended.
    pub(super) fn release(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<step::ClaimAction>,
    ) {
        match self.phase {
            shard::HoldPhase::Open => self.phase = shard::HoldPhase::Releasing,
            shard::HoldPhase::Opening(_) | shard::HoldPhase::Adopting => {
                // What earlier holders left is still in the lease row, for the next holder.
                self.close(step::CloseReason::Lost, actions);
            }
            shard::HoldPhase::Releasing | shard::HoldPhase::Closed => {}
        }
        self.expire(now, actions);
    }
}
