//! Snapshot of the holders of all shards, for the tasks that forward calls.

use samphiremoor_base::quantity;
use samphiremoor_claims::key;
use samphiremoor_lease::row;

/// The layout of the shards and their holders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ShardMap {
    /// The layout.
    pub(crate) layout: key::ShardLayout,
    /// Holder of each shard, indexed by the shard's number.
    pub(crate) holders: Vec<Option<ShardTarget>>,
}

impl ShardMap {
    /// Returns the holder of a shard.
    pub(crate) fn holder(&self, shard: quantity::ShardNumber) -> Option<&ShardTarget> {
        self.holders.get(usize::from(shard.get())).and_then(Option::as_ref)
    }
}

/// The holder of a shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ShardTarget {
    /// Daemon instance that holds the shard.
    pub(crate) instance: row::DaemonInstance,
    /// Fencing token of the lease. A call carries this token, so that a delayed call is not
    /// accepted by a later holder.
    pub(crate) fence: quantity::FencingToken,
}
