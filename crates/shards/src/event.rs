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

/// Identifies one holder of a shard.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct HolderId {
    /// The shard.
    pub(crate) shard: quantity::ShardNumber,
    /// Fencing token of the holder's lease.
    pub(crate) fence: quantity::FencingToken,
}

/// An event that the control thread handles.
pub(crate) enum ControlEvent {
    /// The layout of the shards is known.
    Layout(key::ShardLayout),
    /// An event of the lease manager.
    Lease(manager::LeaseInput),
    /// An event of a shard's holder.
    Claim(HolderId, transition::ClaimInput),
    /// A call was submitted.
    Submit {
        /// The holder that the call is sent to.
        holder_id: HolderId,
        /// The call.
        call: sync::Arc<call::KeyedCall>,
        /// Receives the response.
        responder: channel::Sender<transition::SubmitResponse>,
    },
    /// A holder on another daemon requests that copies are stored here.
    StoreCopies {
        /// The requesting holder.
        holder_id: HolderId,
        /// Sequence number of the holder's first batch that is not in the table.
        first_unwritten: u64,
        /// The batches.
        batches: Vec<journal::JournalBatch>,
        /// Receives the response.
        responder: channel::Sender<message::ShardResponse>,
    },
    /// A later holder on another daemon seals this daemon.
    Seal {
        /// The later holder.
        holder_id: HolderId,
        /// Receives the response.
        responder: channel::Sender<message::ShardResponse>,
    },
    /// A ping ended; `None` means that it failed.
    PingFinished(id::DaemonId, Option<rendezvous::CopyCandidate>),
    /// The daemon stops. The channel gets a message when every lease is released.
    Stop(channel::Sender<()>),
    /// The thread ends immediately.
    Quit,
}
