//! Messages between daemons about shards. The entry daemon wraps them in its own messages.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_claims::journal;
use samphiremoor_lease::row;
use serde::Deserialize;
use serde::Serialize;

use crate::call;

/// A request to another daemon. Each request may be sent more than once.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShardRequest {
    /// Asks for the daemon's incarnation, and checks that the daemon responds.
    Ping,
    /// Runs the call, or waits for its outcome if it is already running.
    Submit {
        /// Incarnation of the daemon that the call is sent to.
        incarnation: quantity::Incarnation,
        /// Shard of the call's key.
        shard: quantity::ShardNumber,
        /// Fencing token of the holder that the call is sent to.
        fence: quantity::FencingToken,
        /// The call.
        call: Box<call::KeyedCall>,
        /// Maximum time to wait for the call's outcome before responding that the call is running.
        max_wait: time::Millis,
    },
    /// Stores copies of journal batches.
    StoreCopies {
        /// Incarnation that the lease row names. A later incarnation has lost the copies and must
        /// not store more.
        incarnation: quantity::Incarnation,
        /// The shard.
        shard: quantity::ShardNumber,
        /// Fencing token of the holder.
        fence: quantity::FencingToken,
        /// Sequence number of the holder's first batch that is not in the table.
        first_unwritten: u64,
        /// The batches.
        batches: Vec<journal::JournalBatch>,
    },
    /// Closes earlier holders on the daemon and makes it reject further copies of earlier holders.
    Seal {
        /// Incarnation that the lease row names. A later incarnation has lost the copies and must
        /// not be sealed instead.
        incarnation: quantity::Incarnation,
        /// The shard.
        shard: quantity::ShardNumber,
        /// Fencing token of the requesting holder.
        fence: quantity::FencingToken,
    },
    /// Reports that a lease was released and can be acquired.
    LeaseReleased,
    /// Asks for the holder of a shard, as far as the daemon knows it.
    LookUpHolder {
        /// The shard.
        shard: quantity::ShardNumber,
    },
}

/// A response to a [`ShardRequest`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShardResponse {
    /// The daemon is reachable.
    Pong {
        /// Incarnation of the daemon.
        incarnation: quantity::Incarnation,
    },
    /// The call has an outcome.
    Finished(Box<call::KeyedResponse>),
    /// The call was accepted and has no outcome yet; the request should be sent again.
    Running,
    /// The daemon does not hold the shard and did not run the call.
    NotHolder,
    /// The copies are stored.
    CopiesStored,
    /// A later holder has sealed the daemon, so the copies were rejected.
    CopiesRejected,
    /// The daemon is sealed; these are the batches that it stored.
    Sealed(Vec<journal::JournalBatch>),
    /// The daemon has restarted since the requested incarnation and has lost what that incarnation
    /// stored or ran.
    WrongIncarnation,
    /// The daemon is stopping and can't handle the request.
    Stopping,
    /// The holder of the shard, as far as the daemon knows it.
    HeldBy {
        /// Daemon instance that holds the shard.
        instance: row::DaemonInstance,
        /// Fencing token of the lease.
        fence: quantity::FencingToken,
    },
}
