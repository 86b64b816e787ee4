//! The rounds of copies at the peers of the copy set, while the table is late.
//!
//! A batch counts as durable once every peer of the set keeps it: the next holder has to reach
//! only one of them.

use samphiremoor_base::time;
use samphiremoor_lease::row;

use crate::policy;
use crate::writer;

/// The round in flight.
#[derive(Clone, Debug)]
pub(super) struct CopyRound {
    number: writer::RoundNumber,
    /// Number after the last batch of the round.
    end: u64,
    missing: row::CopySet,
}

impl writer::JournalWriter {
    /// Settles one peer's part of a round of copies.
    pub fn copy_answered(
        &mut self,
        now: time::MonotonicTime,
        round: writer::RoundNumber,
        member: &row::DaemonInstance,
        answer: writer::CopyAnswer,
    ) -> writer::WriterEvent {
        if self.round.as_ref().is_none_or(|current| current.number != round) {
            return writer::WriterEvent::Nothing;
        }
        match answer {
            writer::CopyAnswer::Kept => self.copy_kept(member),
            writer::CopyAnswer::Sealed => writer::WriterEvent::Lost,
            writer::CopyAnswer::Gone | writer::CopyAnswer::Failed => {
                self.round = None;
                self.copy_retry = Some(now + policy::COPY_RETRY);
                writer::WriterEvent::Nothing
            }
        }
    }

    /// Starts a round when claims wait for a late table, or when peers may forget what they keep.
    pub(super) fn drive_copies(
        &mut self,
        now: time::MonotonicTime,
        actions: &mut Vec<writer::WriterAction>,
    ) {
        let copy_set = &self.lease.row.copy_set;
        let is_blocked = self.round.is_some() || self.lease_unsettled || copy_set.is_empty();
        // A write of the lease row in flight changes the set.
        if is_blocked || self.is_writing_lease() {
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

    fn start_round(&mut self, actions: &mut Vec<writer::WriterAction>) {
        self.round_count += 1;
        let number = writer::RoundNumber(self.round_count);
        let unsecured = self.unwritten.iter().filter(|open| !open.copied);
        let batches: Vec<_> = unsecured.map(|open| open.batch.clone()).collect();
        // Batches of earlier holders have numbers of their own.
        let fence = self.lease.row.fence;
        let first = self.unwritten.iter().find(|open| open.batch.id.fence == fence);
        let written = first.map_or(self.next_seq, |open| open.batch.id.seq);
        for member in &self.lease.row.copy_set {
            let member = member.clone();
            let batches = batches.clone();
            actions.push(writer::WriterAction::Copy { round: number, member, written, batches });
        }
        let missing = self.lease.row.copy_set.clone();
        self.round = Some(CopyRound { number, end: self.next_seq, missing });
    }

    fn copy_kept(&mut self, member: &row::DaemonInstance) -> writer::WriterEvent {
        let Some(round) = &mut self.round else { return writer::WriterEvent::Nothing };
        round.missing.retain(|missing| missing != member);
        if !round.missing.is_empty() {
            return writer::WriterEvent::Nothing;
        }
        let end = round.end;
        self.round = None;
        let fresh = |open: &&mut writer::OpenBatch| !open.copied && open.batch.id.seq < end;
        let mut secured = Vec::new();
        for open in self.unwritten.iter_mut().filter(fresh) {
            open.copied = true;
            secured.push(open.batch.clone());
        }
        writer::WriterEvent::Secured(secured)
    }
}
