//! Messages between daemons about shards. The entry daemon wraps them in its own messages.

use samphiremoor_base::quantity;
use samphiremoor_base::time;
use serde::Deserialize;
use serde::Serialize;

use crate::call;

/// What a daemon asks another about shards.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShardQuestion {
    /// Whether the daemon answers, asked before a call is forwarded to it.
    Ping,
    /// Runs the call, or joins it where it runs already. May be sent again.
    Submit {
        /// The shard of the call's key.
        shard: quantity::ShardNumber,
        /// The call.
        call: Box<call::OnceCall>,
        /// Longest time to wait for the answer before saying that the call still runs.
        wait: time::Millis,
    },
}

/// What a daemon answers about shards.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ShardAnswer {
    /// The daemon answers.
    Pong,
    /// The call ended.
    Ended(Box<call::OnceAnswer>),
    /// The call was taken and has not ended yet; ask again.
    Running,
    /// The daemon does not hold the shard, and it did not take the call.
    NotHolder,
}
