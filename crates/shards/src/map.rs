//! Snapshot of who holds which shard, for traffic.

use samphiremoor_base::quantity;
use samphiremoor_claims::key;
use samphiremoor_lease::row;

/// Layout of the shards and their holders.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ShardMap {
    /// The layout.
    pub(crate) layout: key::ShardLayout,
    /// Holder of each shard, by its number.
    pub(crate) holders: Vec<Option<ShardTarget>>,
}

impl ShardMap {
    /// The holder of a shard.
    pub(crate) fn holder(&self, shard: quantity::ShardNumber) -> Option<&ShardTarget> {
        self.holders.get(usize::from(shard.get())).and_then(Option::as_ref)
    }
}

/// The holder of a shard, and the hold that calls are meant for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct ShardTarget {
    /// The holder.
    pub(crate) life: row::DaemonInstance,
    /// Its fencing number: a call that arrives late must not reach a later hold.
    pub(crate) fence: quantity::FencingToken,
}
