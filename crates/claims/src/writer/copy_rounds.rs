//! Rounds of copies at the peers of the copy set while the table is late.
//!
//! A batch is durable when every peer of the set has stored it, so the next holder needs to reach
//! only one of them.

use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::policy;
use crate::writer;

/// The round in flight.
#[derive(Clone, Debug)]
pub(super) struct CopyRound {
    number: writer::RoundNumber,
    /// Sequence number after that of the last batch of the round.
    end_seq: u64,
    /// Peers that have not stored the copies yet.
    awaited: row::CopySet,
}

impl writer::JournalWriter {
    /// Handles a peer's response in a round of copies.
    pub fn handle_copy_response(
        &mut self,
        now: time::MonotonicTime,
        round: writer::RoundNumber,
        member: &row::DaemonInstance,
        response: writer::CopyResponse,
    ) -> writer::WriterEvent {
        if self.copy_round.as_ref().is_none_or(|current| current.number != round) {
            return writer::WriterEvent::NoChange;
        }
        match response {
            writer::CopyResponse::Stored => self.handle_stored(member),
            writer::CopyResponse::Sealed => writer::WriterEvent::LeaseLost,
            writer::CopyResponse::CopiesLost | writer::CopyResponse::Failed => {
                self.copy_round = None;
                self.copy_retry_at = Some(now + policy::COPY_RETRY_DELAY);
                writer::WriterEvent::NoChange
            }
        }
    }

    /// Starts a round if batches that are not durable wait for a late table, or if the peers can
    /// remove their copies because the table contains all batches.
    pub(super) fn push_copies(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<writer::WriterAction>,
    ) {
        let copy_set = &self.lease.row.copy_set;
        let is_blocked =
            self.copy_round.is_some() || self.lease_write_uncertain || copy_set.is_empty();
        // A write of the lease row in flight may change the copy set.
        if is_blocked || self.is_writing_lease() {
            return;
        }
        let is_needed = self.has_non_durable() && self.is_table_late(now);
        let is_prunable = self.peers_have_copies && self.unwritten.is_empty();
        if !is_needed && !is_prunable {
            return;
        }
        if self.copy_retry_at.is_some_and(|retry_at| now < retry_at) {
            return;
        }
        self.copy_retry_at = None;
        // A round without batches tells the peers that the table contains all of them.
        self.peers_have_copies = !is_prunable;
        self.push_copy_round(actions);
    }

    fn push_copy_round(&mut self, actions: &mut Vec<writer::WriterAction>) {
        self.round_count += 1;
        let number = writer::RoundNumber(self.round_count);
        let non_durable = self.unwritten.iter().filter(|unwritten| !unwritten.is_durable);
        let batches: Vec<_> = non_durable.map(|unwritten| unwritten.batch.clone()).collect();
        // Sequence numbers count per fencing token, so those of earlier holders are not considered.
        let fence = self.lease.row.fence;
        let first_of_holder =
            self.unwritten.iter().find(|unwritten| unwritten.batch.id.fence == fence);
        let first_unwritten =
            first_of_holder.map_or(self.next_seq, |unwritten| unwritten.batch.id.seq);
        for member in &self.lease.row.copy_set {
            let member = member.clone();
            let batches = batches.clone();
            actions.push(writer::WriterAction::Copy {
                round: number,
                member,
                first_unwritten,
                batches,
            });
        }
        let awaited = self.lease.row.copy_set.clone();
        self.copy_round = Some(CopyRound { number, end_seq: self.next_seq, awaited });
    }

    /// Handles that a peer stored the copies of the round in flight. Its batches are durable when
    /// every peer has stored them.
    fn handle_stored(&mut self, member: &row::DaemonInstance) -> writer::WriterEvent {
        let Some(round) = &mut self.copy_round else { return writer::WriterEvent::NoChange };
        round.awaited.retain(|awaited| awaited != member);
        if !round.awaited.is_empty() {
            return writer::WriterEvent::NoChange;
        }
        let end_seq = round.end_seq;
        self.copy_round = None;
        let is_in_round = |unwritten: &&mut writer::UnwrittenBatch| {
            !unwritten.is_durable && unwritten.batch.id.seq < end_seq
        };
        let mut durable = Vec::new();
        for unwritten in self.unwritten.iter_mut().filter(is_in_round) {
            unwritten.is_durable = true;
            durable.push(unwritten.batch.clone());
        }
        writer::WriterEvent::BatchesDurable(durable)
    }
}
