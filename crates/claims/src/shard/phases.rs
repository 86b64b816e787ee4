//! Transitions between the phases of a shard's holder.

use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::index;
use crate::journal;
use crate::shard;
use crate::transition;
use crate::writer;

impl shard::ShardHolder {
    /// Opens or closes the shard after the lease row was written.
    pub(super) fn handle_lease_written(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        match self.phase {
            shard::HolderPhase::Activating => {
                self.phase = shard::HolderPhase::Open;
                actions.push(transition::ClaimAction::Opened);
                for submission in self.pending.take_all() {
                    self.submit(now, submission, actions);
                }
            }
            // A change of the copy set that was in progress is not the release, which follows.
            shard::HolderPhase::Releasing if self.lease().row.holder.is_some() => {}
            shard::HolderPhase::Releasing => self.close(transition::CloseReason::Released, actions),
            shard::HolderPhase::Recovering(_)
            | shard::HolderPhase::Open
            | shard::HolderPhase::Closed => {}
        }
    }

    /// Replays the journal, so that the results in it are available before the shard is open.
    pub(super) fn handle_journal(
        &mut self,
        now: time::MonotonicTime,
        journal: Option<Vec<journal::JournalBatch>>,
    ) {
        let shard::HolderPhase::Recovering(recovery) = &mut self.phase else { return };
        for batch in journal.iter().flatten() {
            self.writer.add_written_row(now, batch.id);
            for entry in &batch.entries {
                self.index.replay(now, entry);
            }
        }
        recovery.handle_journal(now, journal);
    }

    /// Rebuilds the index from the journal and the peers' copies. Batches that only peers stored
    /// are queued to be written to the table, together with the lease row that opens the shard.
    pub(super) fn activate(&mut self, now: time::MonotonicTime) {
        let shard::HolderPhase::Recovering(recovery) = &self.phase else { return };
        let copies = recovery.unwritten_copies();
        let mut batches = recovery.journal().unwrap_or_default().to_vec();
        batches.extend(copies.iter().cloned());
        batches.sort_by_key(|batch| batch.id);
        self.index = index::CallIndex::new(self.policy.retention);
        for entry in batches.iter().flat_map(|batch| &batch.entries) {
            self.index.replay(now, entry);
        }
        for copy in copies {
            self.writer.push_recovered(copy);
        }
        self.writer.request_lease_change(writer::LeaseChange::Open(self.copy_set.clone()));
        self.phase = shard::HolderPhase::Activating;
    }

    /// Sets the wanted copy set and requests the change of the lease row, unless the shard is not
    /// open or another change of the lease row is in progress.
    pub(super) fn set_copy_set(&mut self, copy_set: row::CopySet) {
        self.copy_set = copy_set;
        let is_unchanged = self.writer.lease().row.copy_set == self.copy_set;
        if self.is_open() && !is_unchanged && !self.writer.is_changing_lease() {
            self.writer
                .request_lease_change(writer::LeaseChange::ReplaceCopySet(self.copy_set.clone()));
        }
    }

    /// Stops accepting claims. The lease is released when the running calls have finished.
    pub(super) fn release(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<transition::ClaimAction>,
    ) {
        match self.phase {
            shard::HolderPhase::Open => self.phase = shard::HolderPhase::Releasing,
            shard::HolderPhase::Recovering(_) | shard::HolderPhase::Activating => {
                // The lease row still names the copy sets of earlier holders, so the next holder
                // can recover them.
                self.close(transition::CloseReason::Lost, actions);
            }
            shard::HolderPhase::Releasing | shard::HolderPhase::Closed => {}
        }
        self.expire(now, actions);
    }
}
