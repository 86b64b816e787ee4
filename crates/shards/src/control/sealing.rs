//! Copies at this daemon, and the end of holds that a later holder seals.

use async_std::channel;
use samphiremoor_base::event as log_event;
use samphiremoor_base::log_event;
use samphiremoor_claims::copies;
use samphiremoor_claims::journal;
use samphiremoor_claims::recovery;
use samphiremoor_claims::transition;
use samphiremoor_lease::row;

use crate::control;
use crate::event;
use crate::message;

impl control::ShardControl {
    /// Keeps batches of another daemon's hold, unless a later holder has sealed it here.
    pub(super) fn keep(
        &mut self,
        hold: event::HoldId,
        first_unwritten: u64,
        batches: Vec<journal::JournalBatch>,
    ) -> message::ShardResponse {
        match self.copies.store(hold.shard, hold.fence, first_unwritten, batches) {
            copies::StoreResponse::Stored => message::ShardResponse::Kept,
            copies::StoreResponse::Sealed => message::ShardResponse::Refused,
        }
    }

    /// Seals a daemon that may keep copies of earlier holders; it may be this one.
    pub(super) fn seal_member(&mut self, hold: event::HoldId, member: row::DaemonInstance) {
        if member != self.life {
            return self.effects.seal(hold, member);
        }
        let batches = self.seal_here(hold);
        let response = recovery::SealResponse::Sealed(batches);
        self.claim_input(hold, transition::ClaimInput::SealFinished { member, response });
    }

    /// Keeps what a closed holder has left, and forgets the holder when its runs have ended.
    pub(super) fn retire(&mut self, hold: event::HoldId) {
        let Some(holder) = self.holders.get_mut(&hold).filter(|holder| holder.is_closed()) else {
            return;
        };
        let batches = holder.seal(&mut Vec::new());
        let is_idle = holder.active_count() == 0;
        self.copies.store_local(hold.shard, batches);
        if is_idle {
            self.holders.remove(&hold);
            self.wakeups.remove(&hold);
            self.copying.remove(&hold);
        }
    }

    /// Seals this daemon for a later holder elsewhere.
    pub(super) fn seal(
        &mut self,
        hold: event::HoldId,
        responder: &channel::Sender<message::ShardResponse>,
    ) {
        log_event!(log_event::LogEvent::ShardSealed, shard = hold.shard, fence = hold.fence);
        let batches = self.seal_here(hold);
        control::respond(responder, message::ShardResponse::Sealed(batches));
    }

    /// Closes earlier holds of the shard here and refuses earlier holders' copies.
    fn seal_here(&mut self, hold: event::HoldId) -> Vec<journal::JournalBatch> {
        let is_earlier =
            |other: &&event::HoldId| other.shard == hold.shard && other.fence < hold.fence;
        let earlier: Vec<_> = self.holders.keys().filter(is_earlier).copied().collect();
        for hold in earlier {
            let Some(holder) = self.holders.get_mut(&hold) else { continue };
            let mut actions = Vec::new();
            let batches = holder.seal(&mut actions);
            self.copies.store_local(hold.shard, batches);
            self.claim_actions(hold, actions);
            self.retire(hold);
        }
        self.copies.seal(hold.shard, hold.fence)
    }
}
