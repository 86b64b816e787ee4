//! Stores copies of journal batches, seals daemons on behalf of later holders and retires closed
//! holders.

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
    /// Stores copies for a holder on another daemon, unless a later holder has sealed this daemon.
    /// Removes the copies of that holder's batches before sequence number `first_unwritten`.
    pub(super) fn store_copies(
        &mut self,
        holder_id: event::HolderId,
        first_unwritten: u64,
        batches: Vec<journal::JournalBatch>,
    ) -> message::ShardResponse {
        match self.copies.store(holder_id.shard, holder_id.fence, first_unwritten, batches) {
            copies::StoreResponse::Stored => message::ShardResponse::CopiesStored,
            copies::StoreResponse::Sealed => message::ShardResponse::CopiesRejected,
        }
    }

    /// Seals `member`, a daemon that may store copies of earlier holders, on behalf of the holder
    /// `holder_id`. Another daemon is sealed by a request, this daemon directly.
    pub(super) fn seal_member(&mut self, holder_id: event::HolderId, member: row::DaemonInstance) {
        if member != self.instance {
            return self.effects.seal(holder_id, member);
        }
        let batches = self.seal_locally(holder_id);
        let response = recovery::SealResponse::Sealed(batches);
        self.handle_claim_input(
            holder_id,
            transition::ClaimInput::SealFinished { member, response },
        );
    }

    /// Stores copies of the unwritten batches of a closed holder, and removes the holder when its
    /// runs have finished. Does nothing for a holder that is not closed.
    pub(super) fn retire_closed(&mut self, holder_id: event::HolderId) {
        let Some(holder) = self.holders.get_mut(&holder_id).filter(|holder| holder.is_closed())
        else {
            return;
        };
        // Sealing a holder that is already closed adds no actions.
        let batches = holder.seal(&mut Vec::new());
        let is_idle = holder.active_count() == 0;
        self.copies.store_local(holder_id.shard, batches);
        if is_idle {
            self.holders.remove(&holder_id);
            self.wakeups.remove(&holder_id);
            self.copying_holders.remove(&holder_id);
        }
    }

    /// Seals this daemon on behalf of a later holder on another daemon.
    pub(super) fn handle_seal(
        &mut self,
        holder_id: event::HolderId,
        responder: &channel::Sender<message::ShardResponse>,
    ) {
        log_event!(
            log_event::LogEvent::ShardSealed,
            shard = holder_id.shard,
            fence = holder_id.fence
        );
        let batches = self.seal_locally(holder_id);
        control::respond(responder, message::ShardResponse::Sealed(batches));
    }

    /// Closes the holders on this daemon that are earlier than `holder_id`, rejects further copies
    /// of earlier holders from now on and returns the batches that this daemon stores for them.
    fn seal_locally(&mut self, holder_id: event::HolderId) -> Vec<journal::JournalBatch> {
        let is_earlier = |other: &&event::HolderId| {
            other.shard == holder_id.shard && other.fence < holder_id.fence
        };
        let earlier_ids: Vec<_> = self.holders.keys().filter(is_earlier).copied().collect();
        for earlier_id in earlier_ids {
            let Some(holder) = self.holders.get_mut(&earlier_id) else { continue };
            let mut actions = Vec::new();
            let batches = holder.seal(&mut actions);
            self.copies.store_local(earlier_id.shard, batches);
            self.execute_claim_actions(earlier_id, actions);
            self.retire_closed(earlier_id);
        }
        self.copies.seal(holder_id.shard, holder_id.fence)
    }
}
