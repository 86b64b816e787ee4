//! Messages between daemons about shards. The entry daemon wraps them in its own messages.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use samphiremoor_claims::journal;
use samphiremoor_lease::row;
use serde::Deserialize;
use serde::Serialize;

use crate::call;

/// What a daemon asks another about shards. Each question may be sent again.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShardRequest {
    /// Whether the daemon answers, and which life it lives.
    Ping,
    /// Runs the call, or joins it where it runs already.
    Submit {
        /// Life of the holder that the call is meant for.
        incarnation: quantity::Incarnation,
        /// The shard of the call's key.
        shard: quantity::ShardNumber,
        /// Fencing number of the hold that the call is meant for.
        fence: quantity::FencingToken,
        /// The call.
        call: Box<call::KeyedCall>,
        /// Longest time to wait for the answer before saying that the call still runs.
        wait: time::Millis,
    },
    /// Keeps copies of claims.
    Keep {
        /// Life that the lease row names; another one must not answer for it.
        incarnation: quantity::Incarnation,
        /// The shard.
        shard: quantity::ShardNumber,
        /// Fencing number of the holder.
        fence: quantity::FencingToken,
        /// The table has every batch of the holder before this number.
        first_unwritten: u64,
        /// The batches.
        batches: Vec<journal::JournalBatch>,
    },
    /// Refuses copies of earlier holders from now on, and closes an earlier holder here.
    Seal {
        /// Life that the lease row names; another one must not answer for it.
        incarnation: quantity::Incarnation,
        /// The shard.
        shard: quantity::ShardNumber,
        /// Fencing number of the asking holder.
        fence: quantity::FencingToken,
    },
    /// A lease was given away: it can be taken.
    Released,
    /// Who holds a shard, as far as the daemon knows.
    Holder {
        /// The shard.
        shard: quantity::ShardNumber,
    },
}

/// What a daemon answers about shards.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShardResponse {
    /// The daemon answers.
    Pong {
        /// Its life.
        incarnation: quantity::Incarnation,
    },
    /// The call ended.
    Ended(Box<call::KeyedResponse>),
    /// The call was taken and has not ended yet; ask again.
    Running,
    /// The daemon does not hold the shard, and it did not run the call.
    NotHolder,
    /// The copies are kept.
    Kept,
    /// A later holder sealed the daemon: copies are refused.
    Refused,
    /// The daemon is sealed; these are the copies that it kept.
    Sealed(Vec<journal::JournalBatch>),
    /// The daemon lives another life and has lost what the named one kept or ran.
    OtherLife,
    /// The daemon stops and can't answer.
    Stopping,
    /// This daemon holds the shard.
    HeldBy {
        /// The holder.
        life: row::DaemonInstance,
        /// Its fencing number.
        fence: quantity::FencingToken,
    },
}
