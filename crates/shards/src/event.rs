//! Events of the control thread.

use std::sync;

use async_std::channel;
use samphiremoor_base::id;
use samphiremoor_base::quantity;
use samphiremoor_claims::journal;
use samphiremoor_claims::key;
use samphiremoor_claims::transition;
use samphiremoor_lease::manager;
use samphiremoor_lease::rendezvous;

use crate::call;
use crate::message;

/// One hold of a shard's lease.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct HoldId {
    /// The shard.
    pub(crate) shard: quantity::ShardNumber,
    /// The fencing number.
    pub(crate) fence: quantity::FencingToken,
}

/// What happens to the control thread.
pub(crate) enum ControlEvent {
    /// The layout of the shards is known.
    Layout(key::ShardLayout),
    /// For the keeper of the leases.
    Lease(manager::LeaseInput),
    /// For the holder of a shard.
    Claim(HoldId, transition::ClaimInput),
    /// A send of a call.
    Submit {
        /// The hold that it is meant for.
        hold: HoldId,
        /// The call.
        call: sync::Arc<call::KeyedCall>,
        /// Takes the answer.
        responder: channel::Sender<transition::SubmitResponse>,
    },
    /// A holder wants copies kept here.
    Keep {
        /// The hold.
        hold: HoldId,
        /// The table has every batch before this number.
        first_unwritten: u64,
        /// The batches.
        batches: Vec<journal::JournalBatch>,
        /// Takes the answer.
        responder: channel::Sender<message::ShardResponse>,
    },
    /// A later holder seals this daemon.
    Seal {
        /// The later hold.
        hold: HoldId,
        /// Takes the answer.
        responder: channel::Sender<message::ShardResponse>,
    },
    /// A peer answered a ping, or did not.
    Pinged(id::DaemonId, Option<rendezvous::CopyCandidate>),
    /// The daemon stops; a message follows when every shard is given away.
    Stop(channel::Sender<()>),
    /// The thread ends at once.
    Quit,
}
